"""Room kept free for urgent work, learnt from its recent peaks.

Without it every urgent task at saturation waits for a checkpoint of another task, and
a flood of batch work makes small teams' urgent work many times slower.
"""

from __future__ import annotations

from briarrun_core.resources import NOTHING, Resources
from briarrun_core.worker_table import WorkerTable, fit_count

WINDOW_S = 30.0
"""Peaks of this window and the one before it count."""

MARGIN = 1.15
"""Factor on the peak, so that a slightly higher one still finds room."""

MOST = 0.05
"""Largest part of the domain kept free; bounds the loss of packing to a wave of urgent
work that does not return."""


class UrgentHeadroom:
    """Track urgent usage and tell how many tasks' room to keep free for it."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._window_end = 0.0
        self._running = 0
        self._peaks = (0, 0)
        self._sum = NOTHING
        self._count = 0

    def on_start(self, need: Resources) -> None:
        """Take note of an urgent start."""
        self._running += 1
        self._sum += need
        self._count += 1
        self._peaks = (max(self._peaks[0], self._running), self._peaks[1])

    def on_end(self) -> None:
        """Take note of an urgent task's end."""
        self._running -= 1

    def advance(self, now: float) -> None:
        """Begin a new window when the old one has ended."""
        if self._count and self._table.unit.is_zero:
            self._table.set_unit(self._mean_size())
        if now < self._window_end:
            return
        idle = now >= self._window_end + WINDOW_S
        self._peaks = (self._running, 0 if idle else self._peaks[0])
        self._window_end = now + WINDOW_S
        if self._count:
            self._table.set_unit(self._mean_size())
        self._sum, self._count = NOTHING, 0

    def _mean_size(self) -> Resources:
        n = self._count
        return Resources(
            -(-self._sum.cores // n),
            -(-self._sum.memory_mib // n),
            -(-self._sum.accelerators // n),
            -(-self._sum.slots // n),
        )

    def wanted(self) -> int:
        """Return for how many urgent tasks room should be free now."""
        unit = self._table.unit
        if unit.is_zero:
            return 0
        peak = int(max(self._peaks) * MARGIN)
        total = self._table.total
        most = fit_count(unit, total) if unit.fits_in(total) else 0
        return max(0, min(peak - self._running, int(most * MOST)))

    def is_below_target(self) -> bool:
        """Tell whether less is free than urgent work should find."""
        return self._table.free_unit_count < self.wanted()

    def allows_start(self, worker_id: str, need: Resources) -> bool:
        """Tell whether other work may take this much room of a worker."""
        wanted = self.wanted()
        if not wanted:
            return True
        return self._table.free_units_after(worker_id, need) >= wanted
