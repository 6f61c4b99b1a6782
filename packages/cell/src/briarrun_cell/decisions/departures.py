"""Which runs to move off workers that will be gone. No I/O.

Load pattern: machines are taken back with a notice of a few seconds. Runs that are longer
than the notice lose all their work, although many of them could save their progress.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from briarrun_cell.decisions.fitting import resources_per_task, task_capacity
from briarrun_cell.decisions.planning_round import approved_for, in_pool
from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import StepId, TaskId
from briarrun_cell.workers import Run, RunState, StopReason, Worker
from briarrun_core.resources import NOTHING, Resources

STOP_LEAD_S = 1.6
"""Time before the end of a worker by which its runs are stopped at the latest: workers
take up to 0.9 s for a stop. The rest is 0.25 s of margin, 0.25 s for the read of the entry
and 0.2 s between two reviews."""

END_MARGIN_S = 0.25
"""Time before the end of a worker by which a run has to end, so that its end is read."""

MIN_STOP_INTERVAL_S = 2.0
"""Minimum time between two stops of a task. Several workers may leave one after the
other, and a task that only moves makes no progress."""

MAX_SEARCHES = 4
"""Maximum number of searches for room in one review. Each takes up to 4 ms with 1,900
workers; steps that are not looked at are stopped later, or when it is due."""

MIN_PACE_PERCENT = 3
"""Progress from which the pace of a run says more than the estimate of its job, which may
be off by half."""


@dataclass(frozen=True, slots=True)
class Departure:
    """Runs of a step to stop: one task, or all members of a gang.

    ``left_s`` is the minimum time for which their worker stays. ``fits_elsewhere`` tells
    whether other workers have room for them now.
    """

    step: Step
    runs: tuple[Run, ...]
    left_s: float
    fits_elsewhere: bool


class Departures:
    """Chooses the runs to stop on workers that drain and name the time that is left.

    ``kept_on`` returns the headroom of a worker, which less urgent tasks leave free.
    """

    def __init__(
        self, ledger: Ledger, kept_on: Callable[[Worker], Resources] | None = None
    ) -> None:
        self._ledger = ledger
        self._kept_on = kept_on
        self._stopped_at_by_task: dict[TaskId, float] = {}

    def choose(self) -> list[Departure]:
        """Return the runs to be stopped now, the most valuable steps first."""
        now = self._ledger.clock.now()
        oldest = now - MIN_STOP_INTERVAL_S
        self._stopped_at_by_task = {
            task: at for task, at in self._stopped_at_by_task.items() if at > oldest
        }
        found = self._candidates(now)
        if not found:
            return []
        room = _Room(self._ledger, self._kept_on, now)
        chosen = []
        for step in sorted(found, key=lambda step: _urgency(step, found[step], now)):
            chosen += _choose_of(step, found[step], room)
        for departure in chosen:
            for run in departure.runs:
                self._stopped_at_by_task[run.task] = now
        return chosen

    def _candidates(self, now: float) -> dict[Step, list[tuple[float, Run]]]:
        """Return the runs that save their progress and end too late, by step.

        Each has the time for which its worker stays at least. Of a gang, all members are
        listed with the time of the first worker that leaves.
        """
        found: dict[Step, list[tuple[float, Run]]] = {}
        for worker in self._ledger.workers_by_id.values():
            left_s = _left_s(worker, now)
            if left_s is None or left_s <= 0:
                continue
            for run in worker.runs_by_id.values():
                step = self._ledger.step_of(run.task)
                if step is None or not step.spec.checkpoints or step.job.final:
                    continue
                if step.spec.gang:
                    known = found.get(step, [])
                    first_s = min([left_s, *(each[0] for each in known[:1])])
                    runs = step.runs()
                else:
                    first_s, runs = left_s, [run]
                    if len(step.active[run.task.ordinal]) > 1:
                        continue  # Another copy runs elsewhere.
                if not self._must_move(step, runs, first_s - END_MARGIN_S, now):
                    continue
                listed = [(first_s, each) for each in runs]
                if step.spec.gang:
                    found[step] = listed
                else:
                    found.setdefault(step, []).extend(listed)
        return found

    def _must_move(
        self, step: Step, runs: list[Run], left_s: float, now: float
    ) -> bool:
        """Return whether the runs can be stopped, and would not end in time."""
        if any(
            run.state is not RunState.RUNNING or run.task in self._stopped_at_by_task
            for run in runs
        ):
            return False
        if step.spec.service:
            return True
        ratio = self._ledger.run_time_ratios.cautious(step.job.queue.name)
        estimated_s = step.spec.estimated_ms / 1000 * ratio
        return any(expected_left_s(run, estimated_s, now) > left_s for run in runs)


class _Room:
    """Free resources of the workers to which tasks can move.

    The number of searches in one review is bounded, since each looks at all workers.
    """

    def __init__(
        self,
        ledger: Ledger,
        kept_on: Callable[[Worker], Resources] | None,
        now: float,
    ) -> None:
        self._free_by_worker = {
            worker: worker.free()
            for worker in ledger.workers_by_id.values()
            if worker.takes_orders(now)
            and not worker.quarantined(now)
            and not ledger.is_evacuated(worker)
        }
        self._kept_on = kept_on
        queues = ledger.config.queues_by_name.values()
        self._urgent = min((queue.priority for queue in queues), default=0)
        self._searches = 0
        moving: Counter[Step] = Counter()
        for worker in ledger.workers_by_id.values():
            for run in worker.runs_by_id.values():
                if run.stop_reason != StopReason.DEPARTURE:
                    continue
                step = ledger.step_of(run.task)
                if step is not None:
                    moving[step] += 1
        for step, count in moving.items():
            self.take(step, count, [])

    def take(self, step: Step, count: int, stopped: list[Run]) -> int:
        """Take the room for some tasks of a step, and return for how many there is any.

        For a gang there is room for all or none, beside that of its ``stopped`` members.
        """
        if self._searches >= MAX_SEARCHES:
            return 0
        self._searches += 1
        need = resources_per_task(step)
        given_back = Counter(run.worker for run in stopped if step.spec.gang)
        taken: dict[Worker, Resources] = {}
        missing = count
        for worker in approved_for(step, in_pool(step, self._free_by_worker)):
            free = self._free_by_worker[worker]
            for _ in range(given_back[worker]):
                free = free + need
            if not need.fits_in(free):
                continue
            fitting = min(missing, task_capacity(step, free - self._kept(step, worker)))
            for _ in range(fitting):
                free = free - need
            taken[worker] = free
            missing -= max(0, fitting)
            if not missing:
                break
        if missing and step.spec.gang:
            return 0
        self._free_by_worker.update(taken)
        return count - missing

    def _kept(self, step: Step, worker: Worker) -> Resources:
        """Return what the step leaves free on a worker."""
        if self._kept_on is None or step.job.queue.priority <= self._urgent:
            return NOTHING
        return self._kept_on(worker)


def _urgency(
    step: Step, runs: list[tuple[float, Run]], now: float
) -> tuple[int, float, StepId]:
    """Return the sort key of a step: its queue, then the work that would be lost."""
    lost_s = sum(now - run.since for _, run in runs)
    return step.job.queue.priority, -lost_s * step.spec.need.cores, step.step_id


def _choose_of(
    step: Step, found: list[tuple[float, Run]], room: _Room
) -> list[Departure]:
    """Return which of the runs of a step are stopped now."""
    found = sorted(found, key=lambda each: (each[0], each[1].since, each[1].task))
    allowed = _may_be_away(step)
    if step.spec.gang and allowed < len(found):
        return []
    found = found[:allowed]
    if not found:
        return []
    runs = [run for _, run in found]
    fitting = room.take(step, len(runs), runs)
    if step.spec.gang:
        left_s = found[0][0]
        if fitting or left_s <= STOP_LEAD_S:
            return [Departure(step, tuple(runs), left_s, bool(fitting))]
        return []
    return [
        Departure(step, (run,), left_s, number < fitting)
        for number, (left_s, run) in enumerate(found)
        if number < fitting or left_s <= STOP_LEAD_S
    ]


def expected_left_s(run: Run, estimated_s: float, now: float) -> float:
    """Return the expected time until the end of a run, from its pace if that is known."""
    total_s = estimated_s
    if run.base_percent is not None:
        gained = run.percent - run.base_percent
        if gained >= MIN_PACE_PERCENT:
            total_s = (run.percent_at - run.base_at) * 100 / gained
    return total_s * (100 - run.percent) / 100 - (now - run.percent_at)


def _left_s(worker: Worker, now: float) -> float | None:
    """Return for how long a worker stays at least; None if it does not leave."""
    entry = worker.entry
    if not entry.draining or entry.remaining_s is None or worker.dead:
        return None
    return entry.read_at + entry.remaining_s - now


def _may_be_away(step: Step) -> int:
    """Return how many further tasks of the step may be stopped."""
    if step.spec.max_unavailable is None:
        return step.spec.count
    running = sum(
        any(run.state is RunState.RUNNING for run in runs)
        for runs in step.active.values()
    )
    away = step.spec.count - len(step.progress.done) - running
    return max(0, step.spec.max_unavailable - away)
