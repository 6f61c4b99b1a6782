"""Structured logging with a rate limit and a count of dropped lines."""

from __future__ import annotations

import os
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

import eliot
import msgspec

from briarrun_cell.clock import Clock

MAX_LINES_PER_S = 400
"""Maximum number of info lines per second; further lines are counted and dropped."""

MAX_WARNINGS_PER_S = 100
"""Maximum number of warnings and errors of one component per second."""

MAX_INFO_SHARE = 1 / 4
"""Maximum share of the info lines that have the same message."""

MAX_WARNING_SHARE = 1 / 2
"""Maximum share of a component's warnings and errors that have the same message."""

RARE_SHARE = 1 / 8
"""Share of a budget that is kept for messages with few lines in the second."""

RARE_LINES = 5
"""Number of lines of a message per second that may use the share for rare ones."""

MAX_PENDING_BYTES = 256 * 1024
"""Maximum size of buffered output; further lines are dropped."""

MAX_PENDING_INFO_BYTES = 192 * 1024
"""Size of buffered output above which info lines are dropped."""

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


class _Budget:
    """Numbers of lines that may be written in one second, in total and by message."""

    def __init__(self, max_lines: int, max_share: float) -> None:
        self._max_lines = max_lines
        self._max_common_lines = max_lines - int(max_lines * RARE_SHARE)
        self._max_lines_of_message = int(max_lines * max_share)
        self._lines = 0
        self._lines_by_message: Counter[str] = Counter()

    def allows(self, message: str) -> bool:
        """Return whether a further line with a message may be written."""
        lines = self._lines_by_message[message]
        if lines < RARE_LINES:
            return self._lines < self._max_lines
        return (
            self._lines < self._max_common_lines and lines < self._max_lines_of_message
        )

    def use(self, message: str) -> None:
        """Count a written line."""
        self._lines += 1
        self._lines_by_message[message] += 1

    def renew(self) -> None:
        """Begin a second."""
        self._lines = 0
        self._lines_by_message.clear()


class BoundedWriter:
    """Writes messages as JSON lines without blocking on a slow reader.

    The info lines share one budget of lines per second; the warnings and errors of
    each component have another.
    """

    def __init__(
        self, vm: str, clock: Clock, write: Callable[[bytes], int], max_per_s: int
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._write = write
        self._info_budget = _Budget(max_per_s, MAX_INFO_SHARE)
        self._warning_budgets_by_component: dict[str, _Budget] = {}
        self._second = 0
        self._pending = b""
        self._dropped_by_message: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last notice of it."""
        return self._dropped_by_message.total()

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message, or drop and count it above the rate limit."""
        wall_ms = self._clock.wall_ms()
        if wall_ms // 1000 != self._second:
            self._second = wall_ms // 1000
            self._begin_second(wall_ms)
        component, _, level = str(message.get("message_type", "")).partition(":")
        text = str(message.get("message", ""))
        is_info = level == "info"
        budget = self._info_budget if is_info else self._warning_budget(component)
        if not budget.allows(text):
            self._dropped_by_message[text] += 1
            return
        line = {
            key: value
            for key, value in message.items()
            if key not in ("task_uuid", "task_level", "timestamp")
        }
        line["wall_ms"] = wall_ms
        if self._emit(line, MAX_PENDING_INFO_BYTES if is_info else MAX_PENDING_BYTES):
            budget.use(text)
        else:
            self._dropped_by_message[text] += 1

    def _begin_second(self, wall_ms: int) -> None:
        self._info_budget.renew()
        for budget in self._warning_budgets_by_component.values():
            budget.renew()
        if self._dropped_by_message and self._emit(
            {
                "message_type": "main:warning",
                "message": "main: log lines were dropped",
                "dropped": self.dropped,
                "dropped_by_kind": dict(self._dropped_by_message.most_common()),
                "wall_ms": wall_ms,
            },
            MAX_PENDING_BYTES,
        ):
            self._dropped_by_message.clear()

    def _warning_budget(self, component: str) -> _Budget:
        budget = self._warning_budgets_by_component.get(component)
        if budget is None:
            budget = self._warning_budgets_by_component[component] = _Budget(
                MAX_WARNINGS_PER_S, MAX_WARNING_SHARE
            )
        return budget

    def _emit(self, line: dict[str, Any], max_pending_bytes: int) -> bool:
        line["vm"] = self._vm
        encoded = msgspec.json.encode(line, enc_hook=str) + b"\n"
        if len(self._pending) + len(encoded) > max_pending_bytes:
            # A full buffer is written here, since no further line fits into it.
            self._flush()
        if len(self._pending) + len(encoded) > max_pending_bytes:
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
