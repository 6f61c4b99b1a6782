"""Headroom for urgent tasks, sized by their recent peak.

Without headroom every urgent task in a saturated domain waits for another task to be
checkpointed, and a large amount of batch work makes the urgent work of small teams many
times slower.
"""

from __future__ import annotations

from briarrun_core.resources import NOTHING, Resources
from briarrun_core.worker_table import WorkerTable, fit_count

WINDOW_S = 30.0
"""Length of a window; the peaks of the current and the previous window are used."""

PEAK_FACTOR = 1.15
"""Factor applied to the peak, so that a slightly higher peak still fits."""

MAX_DOMAIN_FRACTION = 0.05
"""Largest fraction of the domain's capacity that is kept free. Bounds the capacity lost
after a burst of urgent work that does not recur."""


class UrgentHeadroom:
    """Tracker of running urgent tasks and of the headroom to keep free for more."""

    def __init__(self, table: WorkerTable) -> None:
        self._table = table
        self._window_end = 0.0
        self._running = 0
        self._peaks = (0, 0)
        self._size_sum = NOTHING
        self._start_count = 0

    def on_start(self, need: Resources) -> None:
        """Record the start of an urgent task."""
        self._running += 1
        self._size_sum += need
        self._start_count += 1
        self._peaks = (max(self._peaks[0], self._running), self._peaks[1])

    def on_end(self) -> None:
        """Record the end of an urgent task."""
        self._running -= 1

    def advance(self, now: float) -> None:
        """Start a new window if the current one has ended."""
        if self._start_count and self._table.unit.is_zero:
            self._table.set_unit(self._mean_size())
        if now < self._window_end:
            return
        idle = now >= self._window_end + WINDOW_S
        self._peaks = (self._running, 0 if idle else self._peaks[0])
        self._window_end = now + WINDOW_S
        if self._start_count:
            self._table.set_unit(self._mean_size())
        self._size_sum, self._start_count = NOTHING, 0

    def _mean_size(self) -> Resources:
        n = self._start_count
        return Resources(
            -(-self._size_sum.cores // n),
            -(-self._size_sum.memory_mib // n),
            -(-self._size_sum.accelerators // n),
            -(-self._size_sum.slots // n),
        )

    def target_task_count(self) -> int:
        """Return how many more urgent tasks should fit into the free resources now."""
        unit = self._table.unit
        if unit.is_zero:
            return 0
        peak = int(max(self._peaks) * PEAK_FACTOR)
        total = self._table.total
        capacity_units = fit_count(unit, total) if unit.fits_in(total) else 0
        return max(
            0, min(peak - self._running, int(capacity_units * MAX_DOMAIN_FRACTION))
        )

    def is_below_target(self) -> bool:
        """Return whether the free resources are below the headroom."""
        return self._table.free_unit_count < self.target_task_count()

    def allows_start(self, worker_id: str, need: Resources) -> bool:
        """Return whether a non-urgent task on the worker leaves the headroom free."""
        target = self.target_task_count()
        if not target:
            return True
        return self._table.free_units_after(worker_id, need) >= target
