"""Emulator of what briarrun serves: log service, VM list, workers, upstreams, load."""
