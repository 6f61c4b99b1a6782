"""Time that counts suspension."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Give elapsed and wall-clock time."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds that never go back and count suspension."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since 1970."""


class SystemClock(Clock):
    """Read the machine's clocks; the event loop's does not count suspension."""

    def now(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return milliseconds since 1970."""
        return time.time_ns() // 1_000_000


class LoopClock(Clock):
    """Follow the running event loop, for tests in virtual time."""

    def __init__(self, wall_start_ms: int = 1_700_000_000_000) -> None:
        self._wall_start_ms = wall_start_ms
        self.skipped_s = 0.0

    def now(self) -> float:
        """Return the loop's time plus the time skipped by suspensions."""
        return asyncio.get_running_loop().time() + self.skipped_s

    def wall_ms(self) -> int:
        """Return milliseconds since 1970."""
        return self._wall_start_ms + int(self.now() * 1000)
