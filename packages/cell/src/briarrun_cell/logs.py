"""Structured logging with a rate limit and a count of dropped lines."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

import eliot
import msgspec

from briarrun_cell.clock import Clock

MAX_LINES_PER_S = 400
"""Maximum number of lines per second; further lines are counted and dropped."""

MAX_PENDING_BYTES = 256 * 1024
"""Maximum size of buffered output; further lines are dropped."""

_COMPONENTS = frozenset(
    [
        "advice",
        "authority",
        "config",
        "drain",
        "front",
        "holder",
        "jobs",
        "log",
        "main",
        "membership",
        "registry",
        "replication",
        "store",
        "upstream",
        "worker",
    ]
)


class ComponentLog:
    """Logger of one component of a process."""

    def __init__(self, component: str) -> None:
        if component not in _COMPONENTS:
            raise ValueError(f"unknown log component {component!r}")
        self._component = component

    def info(self, message: str, **fields: Any) -> None:
        """Log a decision or a change of state."""
        self._write("info", message, fields)

    def warning(self, message: str, **fields: Any) -> None:
        """Log a fault from which the process recovers."""
        self._write("warning", message, fields)

    def error(self, message: str, **fields: Any) -> None:
        """Log a fault that needs an operator."""
        self._write("error", message, fields)

    def _write(self, level: str, message: str, fields: dict[str, Any]) -> None:
        eliot.log_message(
            message_type=f"{self._component}:{level}",
            message=f"{self._component}: {message}",
            **fields,
        )


class BoundedWriter:
    """Writes messages as JSON lines without blocking on a slow reader."""

    def __init__(
        self, vm: str, clock: Clock, write: Callable[[bytes], int], max_per_s: int
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._write = write
        self._max_per_s = max_per_s
        self._second = 0
        self._written = 0
        self._pending = b""
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message, or drop and count it above the rate limit."""
        wall_ms = self._clock.wall_ms()
        if wall_ms // 1000 != self._second:
            self._second = wall_ms // 1000
            self._written = 0
            if self.dropped and self._emit(
                {
                    "message_type": "main:warning",
                    "message": "main: log lines were dropped",
                    "dropped": self.dropped,
                    "wall_ms": wall_ms,
                }
            ):
                self.dropped = 0
        if self._written >= self._max_per_s:
            self.dropped += 1
            return
        line = {
            key: value
            for key, value in message.items()
            if key not in ("task_uuid", "task_level", "timestamp")
        }
        line["wall_ms"] = wall_ms
        if self._emit(line):
            self._written += 1
        else:
            self.dropped += 1

    def _emit(self, line: dict[str, Any]) -> bool:
        line["vm"] = self._vm
        encoded = msgspec.json.encode(line, enc_hook=str) + b"\n"
        if len(self._pending) + len(encoded) > MAX_PENDING_BYTES:
            # A full buffer is written here, since no further line fits into it.
            self._flush()
        if len(self._pending) + len(encoded) > MAX_PENDING_BYTES:
            return False
        self._pending += encoded
        self._flush()
        return True

    def _flush(self) -> None:
        try:
            written = self._write(self._pending)
        except BlockingIOError:
            return
        self._pending = self._pending[written:]


def start_logging(vm: str, clock: Clock) -> BoundedWriter:
    """Log to standard output, which is made non-blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = BoundedWriter(
        vm, clock, lambda data: os.write(descriptor, data), MAX_LINES_PER_S
    )
    eliot.add_destinations(writer)
    return writer
