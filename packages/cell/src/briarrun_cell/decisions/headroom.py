"""Capacity that is kept free for the most urgent queue. No I/O.

Load pattern: a burst of urgent jobs while less urgent work fills the cell. Free cores
help only if a whole urgent task fits into those of a single worker, so the amount kept
on a worker follows the size of urgent tasks.
"""

from __future__ import annotations

import math

from briarrun_cell.workers import Worker
from briarrun_core.resources import NOTHING, Resources

CELL_FRACTION = 0.0625
"""Fraction of all cores that is kept free."""

MIN_WORKER_FRACTION = 0.125
"""Minimum fraction of the cores of a worker that is kept if it keeps any."""

MAX_WORKER_FRACTION = 0.75
"""Maximum fraction of the cores of a worker that is kept."""

SIZE_WEIGHT = 0.05
"""Weight of the latest urgent task in the mean size."""

SIZE_FACTOR = 1.25
"""Headroom on a worker as a multiple of the mean size, so that larger tasks fit too."""


class UrgentHeadroom:
    """Cores kept free on some of the workers, sized by recent urgent tasks."""

    def __init__(self) -> None:
        self._mean_cores = 0.0

    def note_task(self, need: Resources) -> None:
        """Record the resources of a task of the most urgent queue, in millicores."""
        if not self._mean_cores:
            self._mean_cores = float(need.cores)
        self._mean_cores += SIZE_WEIGHT * (need.cores - self._mean_cores)

    def kept_on(self, worker: Worker) -> Resources:
        """Return the resources of the worker that less urgent tasks must leave free."""
        capacity = worker.entry.capacity.cores
        if capacity <= 0:
            return NOTHING
        fraction = min(
            MAX_WORKER_FRACTION,
            max(MIN_WORKER_FRACTION, SIZE_FACTOR * self._mean_cores / capacity),
        )
        interval = math.ceil(fraction / CELL_FRACTION)
        if _stable_hash(worker) % interval:
            return NOTHING
        return Resources(cores=int(capacity * fraction))


def _stable_hash(worker: Worker) -> int:
    """Return a hash of the worker id that is the same in every process."""
    return sum(worker.worker_id.encode())
