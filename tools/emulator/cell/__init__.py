"""Fakes of a cell's outside in virtual time, with the faults of the real one."""
