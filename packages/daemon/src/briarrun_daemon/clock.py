"""Monotonic and wall-clock time of the daemon."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class Clock:
    """The event loop's time and a wall-clock time derived from it.

    The system's wall clock is read only by ``synchronize``, so that tests which advance
    the loop's time advance both. A step of the system's wall clock takes effect at the
    next ``synchronize``.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        self._loop = loop
        self._read_wall = read_wall
        self._offset = read_wall() - loop.time()

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return self._loop.time()

    def wall(self) -> float:
        """Return the wall-clock time in seconds."""
        return self._loop.time() + self._offset

    def to_wall(self, moment: float) -> float:
        """Convert a time of the event loop to wall-clock time."""
        return moment + self._offset

    def synchronize(self) -> float:
        """Read the system's wall clock again and return the correction in seconds."""
        before = self._offset
        self._offset = self._read_wall() - self._loop.time()
        return self._offset - before
