"""Scheduler of a cell whose state is kept in a linearizable store.

The VMs of the cell elect one of them as the holder, which makes all scheduling
decisions. Every VM serves callers.
"""
