"""All-or-nothing placement of gangs, and time-limited reservations of workers."""

from __future__ import annotations

from dataclasses import dataclass, field

from briarrun_core.model import JobKind
from briarrun_core.policy import Policy
from briarrun_core.resources import Resources
from briarrun_core.worker_table import WorkerTable, fit_count

GANG_RETRY_S = 0.1
"""Minimum time until a gang that does not fit is tried again. It is tried only if
resources have become available in between."""


def find_gang_placement(
    table: WorkerTable, need: Resources, count: int, reserved: tuple[str, ...] = ()
) -> list[str] | None:
    """Return a worker for each of ``count`` tasks, or ``None`` if not all fit.

    Workers in ``reserved`` are used first. No resources are charged.
    """
    chosen: list[str] = []
    for worker_id in reserved:
        if worker_id in table and table.is_schedulable(worker_id):
            fitting = fit_count(need, table.unheld(worker_id))
            chosen += [worker_id] * min(fitting, count - len(chosen))
    remaining = count - len(chosen)
    if remaining <= 0:
        return chosen
    for worker_id in table.workers_that_fit(need):
        # A worker that left and rejoined is no longer reserved in the table.
        if worker_id in reserved:
            continue
        fitting = fit_count(need, table.unheld(worker_id))
        chosen += [worker_id] * min(fitting, count - len(chosen))
        if len(chosen) >= count:
            return chosen
    return None


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers that only one job may use until the reservation expires."""

    job_id: str
    workers: tuple[str, ...]
    until: float


@dataclass(slots=True)
class _History:
    reservation_count: int = 0
    not_before: float = 0.0


@dataclass(slots=True)
class Reservations:
    """The active reservation, if any, and the reservation history of each job.

    There is at most one reservation at a time, and its duration is limited. If it
    expires unused, no reservation is made for a pause of the same duration, in which
    smaller tasks can use the workers. Each further reservation of the same job lasts
    twice as long, up to a maximum.
    """

    active: Reservation | None = None
    _not_before: float = 0.0
    _history_by_job: dict[str, _History] = field(default_factory=dict)

    def may_open(self, job_id: str, now: float) -> bool:
        """Return whether a reservation may be made for the job now."""
        history = self._history_by_job.get(job_id)
        return (
            self.active is None
            and now >= self._not_before
            and (history is None or now >= history.not_before)
        )

    def open(
        self,
        table: WorkerTable,
        job_id: str,
        workers: list[str],
        policy: Policy,
        now: float,
    ) -> Reservation:
        """Reserve the workers for a job."""
        history = self._history_by_job.setdefault(job_id, _History())
        duration = min(
            policy.reserve_for_s * 2**history.reservation_count, policy.reserve_max_s
        )
        history.reservation_count += 1
        history.not_before = now + 2 * duration
        self.active = Reservation(job_id, tuple(workers), now + duration)
        for worker_id in workers:
            table.reserve(worker_id, job_id)
        return self.active

    def close(self, table: WorkerTable) -> None:
        """Release the active reservation, if any."""
        if self.active is not None:
            for worker_id in self.active.workers:
                table.reserve(worker_id, None)
            self.active = None

    def expire(self, table: WorkerTable, now: float) -> None:
        """Release the reservation if its time has passed, and start the pause."""
        if self.active is not None and now >= self.active.until:
            history = self._history_by_job[self.active.job_id]
            self._not_before = now + (history.not_before - self.active.until)
            self.close(table)

    def forget(self, table: WorkerTable, job_id: str) -> None:
        """Release a job's reservation and delete its history."""
        if self.active is not None and self.active.job_id == job_id:
            self.close(table)
        self._history_by_job.pop(job_id, None)


def choose_workers_to_reserve(
    table: WorkerTable, need: Resources, count: int
) -> list[str]:
    """Return the workers that are likely to fit the whole gang soonest.

    Services and gangs are assumed to keep running. Workers are taken in ascending order
    of the fraction of their remaining capacity that is in use. The list is empty if the
    gang would not fit even after all batch tasks have ended.
    """
    candidates: list[tuple[float, str, int]] = []
    for worker_id in table.ids():
        if (
            not table.is_schedulable(worker_id)
            or table.reserved_for(worker_id) is not None
        ):
            continue
        view = table.view(worker_id)
        available = view.capacity
        for task in table.tasks(worker_id):
            if task.kind is not JobKind.BATCH:
                available -= task.resources
        fitting = fit_count(need, available)
        if fitting:
            used = (available - table.free(worker_id)).dominant_fraction(view.capacity)
            candidates.append((used, worker_id, fitting))
    candidates.sort()
    chosen: list[str] = []
    for _, worker_id, fitting in candidates:
        chosen.append(worker_id)
        count -= fitting
        if count <= 0:
            return chosen
    return []
