"""Clocks whose time includes periods in which the machine was suspended."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of elapsed time and wall-clock time."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds, including time spent suspended."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock(Clock):
    """Clocks of the operating system.

    The clock of the event loop is not used because it stops during suspension.
    """

    def now(self) -> float:
        """Return seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class LoopClock(Clock):
    """Clock of the running event loop, for tests in virtual time."""

    def __init__(self, wall_start_ms: int = 1_700_000_000_000) -> None:
        self._wall_start_ms = wall_start_ms
        self.skipped_s = 0.0

    def now(self) -> float:
        """Return the time of the loop plus the simulated suspensions."""
        return asyncio.get_running_loop().time() + self.skipped_s

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self._wall_start_ms + int(self.now() * 1000)
