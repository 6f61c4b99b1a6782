"""Exit statuses of the command line and the error that sets them."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses, documented in docs/operators.md."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_RUN = 6
    UNKNOWN = 7


class CommandError(Exception):
    """Error that ends a command with a message and an exit status."""

    def __init__(self, status: ExitStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
