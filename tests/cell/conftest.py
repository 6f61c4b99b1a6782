"""Log lines of the cell, shown for tests that fail."""

from tests.daemon.conftest import show_log_lines

__all__ = ["show_log_lines"]
