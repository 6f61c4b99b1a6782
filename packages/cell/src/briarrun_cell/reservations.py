"""Capacity reserved for gangs that wait until enough of it is free at once. No I/O.

Load pattern: wide gangs among many smaller tasks on a full cell. Whatever becomes free
is taken by the smaller tasks, so a gang never finds room. Blocking all workers that may
run the gang leaves most of them idle until the last one is free. Therefore a gang gets
the workers that are expected to be free first, and other tasks may use them meanwhile if
they end in time (backfilling).
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from briarrun_cell.fitting import resources_per_task, task_capacity
from briarrun_cell.jobs import Step
from briarrun_cell.workers import Run, Worker
from briarrun_core.resources import Resources

MAX_RESERVATIONS = 6
"""Maximum number of waiting gangs with reserved capacity, by rank."""

MAX_LATE = 1
"""Maximum number of reservations for gangs that will end late."""

MAX_LEAD_S = 10.0
"""Maximum time until a reservation begins. Estimates of run times are too rough to plan
further ahead."""

REFRESH_INTERVAL_S = 0.1
"""Interval at which reservations are made anew, since runs end earlier or later than
expected."""

OVERDUE_FRACTION = 0.1
"""Expected rest of a run that takes longer than expected, as a fraction of that time."""


@dataclass(slots=True)
class _Reservation:
    """Capacity for one gang from ``begins_at`` on.

    ``spare_by_worker`` is what the reserved workers have left for other tasks then.
    """

    step: Step
    begins_at: float
    late: bool
    spare_by_worker: dict[str, Resources] = field(default_factory=dict)

    def take(self, worker: Worker, amount: Resources) -> None:
        """Reduce what a worker has left for other tasks."""
        left = self.spare_by_worker[worker.worker_id] - amount
        self.spare_by_worker[worker.worker_id] = left


def expected_end(run: Run, expected_s: float, now: float) -> float:
    """Return when a run is expected to end, later than now.

    ``expected_s`` is the expected run time. The reported progress is more precise than
    that, unless the run continues from a checkpoint.
    """
    if run.percent >= 10 and run.percent_at > run.since and not run.resumed:
        expected_s = (run.percent_at - run.since) * 100 / run.percent
    return max(run.since + expected_s, now + OVERDUE_FRACTION * expected_s)


class Reservations:
    """Reservations of waiting gangs, in the order in which they were first made.

    A reservation is kept until its gang starts or can no longer end in time, so that
    capacity that has become free for it is not lost to a gang that came later. The most
    urgent steps may use it nevertheless. ``run_time_s`` returns the expected run time of
    the tasks of a step.
    """

    def __init__(self, run_time_s: Callable[[Step], float]) -> None:
        self._run_time_s = run_time_s
        self._by_step: dict[Step, _Reservation] = {}
        self._by_worker: dict[str, list[_Reservation]] = {}
        self._renewed_at = float("-inf")

    def __contains__(self, step: Step) -> bool:
        """Return whether a step has a reservation."""
        return step in self._by_step

    def renew(self, now: float) -> list[Step]:
        """Drop all reservations if they are to be made anew; return their steps."""
        if now - self._renewed_at < REFRESH_INTERVAL_S:
            return []
        self._renewed_at = now
        steps = list(self._by_step)
        self._by_step.clear()
        self._by_worker.clear()
        return steps

    def available(
        self, step: Step, worker: Worker, free: Resources, now: float
    ) -> Resources:
        """Return the part of the free resources that a step may use."""
        held = self._by_worker.get(worker.worker_id)
        if not held:
            return free
        ends_at = now + self._run_time_s(step)
        for each in held:
            if each.step is not step and ends_at > each.begins_at:
                free = free.minimum(each.spare_by_worker[worker.worker_id])
        return free

    def note_placed(self, step: Step, workers: Iterable[Worker], now: float) -> None:
        """Record that tasks of a step start on workers, one for each entry."""
        mine = self._by_step.pop(step, None)
        if mine is not None:
            for worker_id in mine.spare_by_worker:
                self._by_worker[worker_id].remove(mine)
        if not self._by_step:
            return
        ends_at = now + self._run_time_s(step)
        need = resources_per_task(step)
        for worker in workers:
            for each in self._by_worker.get(worker.worker_id, ()):
                if ends_at > each.begins_at:
                    each.take(worker, need)

    def reserve(
        self,
        step: Step,
        free_by_worker: Mapping[Worker, Resources],
        expected_run_s: Callable[[Run], float],
        now: float,
    ) -> None:
        """Reserve capacity for a gang on the workers that can run it first.

        ``free_by_worker`` are the workers that may run the gang with what they have
        free for it. Does nothing if the gang has a reservation, or if it would start
        too late to be of use.
        """
        if step in self._by_step or len(self._by_step) >= MAX_RESERVATIONS:
            return
        forecast = _forecast(step, free_by_worker, expected_run_s, now)
        if forecast is None:
            return
        ends_at = forecast.begins_at + self._run_time_s(step)
        late = ends_at > step.job.target_end_at
        if late and (
            ends_at > step.job.latest_useful_end_at
            or sum(each.late for each in self._by_step.values()) >= MAX_LATE
        ):
            return
        reservation = _Reservation(step, forecast.begins_at, late)
        need = resources_per_task(step)
        missing = step.spec.count
        for worker, slots in forecast.slots_by_worker:
            tasks = min(missing, slots)
            if tasks <= 0:
                break
            missing -= tasks
            taken = need.scaled(tasks)
            held = self._by_worker.setdefault(worker.worker_id, [])
            for other in held:
                other.take(worker, taken)
            free = forecast.free_by_worker[worker]
            reservation.spare_by_worker[worker.worker_id] = free - taken
            held.append(reservation)
        self._by_step[step] = reservation


@dataclass(frozen=True, slots=True)
class _Forecast:
    """When a gang can start, and what its workers have free then.

    ``slots_by_worker`` is in descending order of slots.
    """

    begins_at: float
    free_by_worker: dict[Worker, Resources]
    slots_by_worker: list[tuple[Worker, int]]


def _forecast(
    step: Step,
    free_by_worker: Mapping[Worker, Resources],
    expected_run_s: Callable[[Run], float],
    now: float,
) -> _Forecast | None:
    """Return when a gang can start, None if that is too far away."""
    free = dict(free_by_worker)
    slots = {worker: task_capacity(step, free[worker]) for worker in free}
    total = sum(slots.values())
    runs = [run for worker in free for run in worker.runs_by_id.values()]
    ends = [
        (expected_end(run, expected_run_s(run), now), order, run)
        for order, run in enumerate(runs)
    ]
    heapq.heapify(ends)
    begins_at = now
    while total < step.spec.count:
        if not ends:
            return None
        begins_at, _, run = heapq.heappop(ends)
        if begins_at > now + MAX_LEAD_S:
            return None
        free[run.worker] = free[run.worker] + run.need
        total -= slots[run.worker]
        slots[run.worker] = task_capacity(step, free[run.worker])
        total += slots[run.worker]
    ordered = sorted(slots.items(), key=lambda each: -each[1])
    return _Forecast(begins_at, free, ordered)
