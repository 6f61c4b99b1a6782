"""Tests of the scheduler of a cell."""
