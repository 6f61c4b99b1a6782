"""Benchmarks and capacity measurements of briarrun."""
