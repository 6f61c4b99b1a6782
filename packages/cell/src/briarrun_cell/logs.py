"""Structured log lines, bounded per second, with a count of what was dropped."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

import eliot
import msgspec

from briarrun_cell.clock import Clock

MAX_LINES_PER_S = 400
"""Lines that one process writes per second; further ones are counted and dropped."""

MAX_PENDING_BYTES = 256 * 1024
"""Output that waits for a reader; beyond it lines are dropped."""

_PARTS = frozenset(
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
    """Write the log lines of one part of a process."""

    def __init__(self, part: str) -> None:
        if part not in _PARTS:
            raise ValueError(f"unknown log part {part!r}")
        self._part = part

    def info(self, sentence: str, **fields: Any) -> None:
        """Report a decision or a change of state."""
        self._write("info", sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Report a fault that the daemon copes with."""
        self._write("warning", sentence, fields)

    def error(self, sentence: str, **fields: Any) -> None:
        """Report a fault that needs an operator."""
        self._write("error", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        eliot.log_message(
            message_type=f"{self._part}:{level}",
            message=f"{self._part}: {sentence}",
            **fields,
        )


class BoundedWriter:
    """Encode messages as JSON lines and never block on the reader."""

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
        """Write one message, or count it as dropped."""
        wall_ms = self._clock.wall_ms()
        if wall_ms // 1000 != self._second:
            self._second = wall_ms // 1000
            self._written = 0
            if self.dropped:
                self._emit(
                    {
                        "message_type": "main:warning",
                        "message": "main: log lines were dropped",
                        "dropped": self.dropped,
                        "wall_ms": wall_ms,
                    }
                )
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
        self._emit(line)

    def _emit(self, line: dict[str, Any]) -> None:
        line["vm"] = self._vm
        encoded = msgspec.json.encode(line, enc_hook=str) + b"\n"
        if len(self._pending) + len(encoded) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._written += 1
        self._pending += encoded
        try:
            written = self._write(self._pending)
        except BlockingIOError:
            return
        self._pending = self._pending[written:]


def start_logging(vm: str, clock: Clock) -> BoundedWriter:
    """Send log lines to standard output, which becomes non-blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = BoundedWriter(
        vm, clock, lambda data: os.write(descriptor, data), MAX_LINES_PER_S
    )
    eliot.add_destinations(writer)
    return writer
