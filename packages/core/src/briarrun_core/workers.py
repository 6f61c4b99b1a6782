"""What the holder knows of each worker of its failure domain."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from briarrun_core.ledger_events import WorkerSet, WorkerSnapshot
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.views import WorkerState


@dataclass(slots=True)
class Worker:
    """Hold a worker.

    ``known_after`` is the wall-clock time that an inventory must be newer than before
    the worker may be given work. ``foreign`` holds the resources of listed attempts
    that the ledger has not charged; they take up room until they are gone.
    """

    worker_id: str
    rack: str = ""
    capacity: Resources = NOTHING
    draining: bool = False
    leaving: bool = False
    known_after: float = -math.inf
    taken_at: float = -math.inf
    last_contact_at: float = -math.inf
    silent: bool = True
    uncharged_by_attempt: dict[tuple[str, int], Resources] = field(default_factory=dict)

    @property
    def is_known(self) -> bool:
        """Tell whether an inventory newer than any earlier authority was read."""
        return self.taken_at > self.known_after

    @property
    def uncharged_total(self) -> Resources:
        """Return what attempts take up that the ledger has not charged."""
        total = NOTHING
        for amount in self.uncharged_by_attempt.values():
            total += amount
        return total

    @property
    def state(self) -> WorkerState:
        """Return whether the worker may be given tasks."""
        if not self.is_known:
            return WorkerState.UNKNOWN
        if self.silent:
            return WorkerState.SILENT
        if self.draining or self.leaving:
            return WorkerState.DRAINING
        return WorkerState.AVAILABLE


class WorkerTracker:
    """Hold workers by id.

    ``known_after`` applies to workers that are added later, too: the old holder may
    have used workers that the replica does not know.
    """

    def __init__(self) -> None:
        self.workers_by_id: dict[str, Worker] = {}
        self.known_after = -math.inf

    def get_or_add(self, worker_id: str) -> Worker:
        """Return a worker, adding one without capacity if it is not known."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            worker = Worker(worker_id, known_after=self.known_after)
            self.workers_by_id[worker_id] = worker
        return worker

    def apply_set(self, event: WorkerSet) -> None:
        """Note what an event says of a worker."""
        worker = self.get_or_add(event.worker_id)
        worker.rack, worker.capacity = event.rack, event.capacity
        worker.draining = event.draining

    def snapshot(self) -> tuple[WorkerSnapshot, ...]:
        """Return the replicated state of every worker, in order of id."""
        return tuple(
            WorkerSnapshot(
                worker_id=worker_id,
                rack=worker.rack,
                capacity=worker.capacity,
                draining=worker.draining,
            )
            for worker_id, worker in sorted(self.workers_by_id.items())
        )

    def restore(self, snapshots: tuple[WorkerSnapshot, ...]) -> None:
        """Replace the state by a snapshot."""
        self.workers_by_id = {
            kept.worker_id: Worker(
                kept.worker_id, kept.rack, kept.capacity, kept.draining
            )
            for kept in snapshots
        }
