"""Placement of gangs as a whole, and reservations of bounded length."""

from __future__ import annotations

from dataclasses import dataclass, field

from briarrun_core.model import JobKind
from briarrun_core.policy import Policy
from briarrun_core.resources import Resources
from briarrun_core.worker_table import WorkerTable, fit_count

GANG_RETRY_S = 0.1
"""A gang that does not fit is tried again no sooner, and only if room has grown."""


def find_gang_placement(
    table: WorkerTable, need: Resources, count: int, reserved: tuple[str, ...] = ()
) -> list[str] | None:
    """Return a worker for each of ``count`` tasks, or ``None`` if not all fit.

    Workers in ``reserved`` are used first. Nothing is charged.
    """
    chosen: list[str] = []
    for worker_id in reserved:
        if worker_id in table and table.is_schedulable(worker_id):
            fitting = fit_count(need, table.unheld(worker_id))
            chosen += [worker_id] * min(fitting, count - len(chosen))
    left = count - len(chosen)
    if left <= 0:
        return chosen
    for worker_id in table.workers_that_fit(need):
        fitting = fit_count(need, table.unheld(worker_id))
        chosen += [worker_id] * min(fitting, count - len(chosen))
        if len(chosen) >= count:
            return chosen
    return None


@dataclass(frozen=True, slots=True)
class Reservation:
    """Keep workers closed to all but one job for a time."""

    job_id: str
    workers: tuple[str, ...]
    until: float


@dataclass(slots=True)
class _History:
    times: int = 0
    not_before: float = 0.0


@dataclass(slots=True)
class Reservations:
    """Allow one reservation at a time, each of bounded length.

    One that ends unused is followed by a pause of the same length, in which smaller
    tasks use the workers; the job's next one is twice as long, up to a maximum.
    """

    active: Reservation | None = None
    _not_before: float = 0.0
    _history_by_job: dict[str, _History] = field(default_factory=dict)

    def may_open(self, job_id: str, now: float) -> bool:
        """Tell whether the job may get a reservation now."""
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
        """Close the workers to all other jobs."""
        history = self._history_by_job.setdefault(job_id, _History())
        length = min(policy.reserve_for_s * 2**history.times, policy.reserve_max_s)
        history.times += 1
        history.not_before = now + 2 * length
        self.active = Reservation(job_id, tuple(workers), now + length)
        for worker_id in workers:
            table.reserve(worker_id, job_id)
        return self.active

    def close(self, table: WorkerTable) -> None:
        """Open the reserved workers to all jobs again."""
        if self.active is not None:
            for worker_id in self.active.workers:
                table.reserve(worker_id, None)
            self.active = None

    def expire(self, table: WorkerTable, now: float) -> None:
        """End a reservation whose time has passed and begin the pause."""
        if self.active is not None and now >= self.active.until:
            history = self._history_by_job[self.active.job_id]
            self._not_before = now + (history.not_before - self.active.until)
            self.close(table)

    def forget(self, table: WorkerTable, job_id: str) -> None:
        """Drop a job's reservation and history."""
        if self.active is not None and self.active.job_id == job_id:
            self.close(table)
        self._history_by_job.pop(job_id, None)


def choose_workers_to_reserve(
    table: WorkerTable, need: Resources, count: int
) -> list[str]:
    """Return the workers likely to have room for a whole gang soonest.

    Services and gangs are taken to stay; the workers with the smallest part of the rest
    in use come first. An empty list means that even then the gang would not fit.
    """
    rows: list[tuple[float, str, int]] = []
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
            rows.append((used, worker_id, fitting))
    rows.sort()
    chosen: list[str] = []
    for _, worker_id, fitting in rows:
        chosen.append(worker_id)
        count -= fitting
        if count <= 0:
            return chosen
    return []
