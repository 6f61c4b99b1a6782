"""Command line of briarrun."""
