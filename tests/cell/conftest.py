"""Fixture that shows the log lines of failed tests."""

from tests.daemon.conftest import show_log_lines

__all__ = ["show_log_lines"]
