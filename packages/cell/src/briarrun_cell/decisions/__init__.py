"""Decisions of the scheduler, apart from I/O."""
