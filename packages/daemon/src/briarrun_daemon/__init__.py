"""The briarrun entry VM daemon."""
