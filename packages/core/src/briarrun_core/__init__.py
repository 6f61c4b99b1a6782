"""Scheduling, lease and membership logic of briarrun, free of input and output."""
