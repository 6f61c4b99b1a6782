"""Tests of the daemon, most of them in one event loop with virtual time."""
