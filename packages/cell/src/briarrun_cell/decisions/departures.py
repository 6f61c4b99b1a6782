"""Which runs to move off workers that will be gone. No I/O.

Load pattern: machines are taken back with a notice of a few seconds. Runs that are longer
than the notice lose all their work, although many of them could save their progress.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from briarrun_cell.decisions.fitting import fit, resources_per_task
from briarrun_cell.decisions.planning_round import approved_for, in_pool
from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import TaskId
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
        """Return the runs to be stopped now, the most valuable ones first."""
        now = self._ledger.clock.now()
        oldest = now - MIN_STOP_INTERVAL_S
        self._stopped_at_by_task = {
            task: at for task, at in self._stopped_at_by_task.items() if at > oldest
        }
        candidates = list(self._candidates(now))
        if not candidates:
            return []
        free_by_worker = self._free_by_worker(now)
        chosen: list[Departure] = []
        away: Counter[Step] = Counter()
        for _, step, runs, left_s in sorted(candidates, key=lambda each: each[0]):
            if not _may_be_away(step, away[step] + len(runs)):
                continue
            fits = self._take_room(step, runs, free_by_worker)
            if fits or left_s <= STOP_LEAD_S:
                chosen.append(Departure(step, runs, left_s, fits))
                away[step] += len(runs)
                for run in runs:
                    self._stopped_at_by_task[run.task] = now
        return chosen

    def _candidates(
        self, now: float
    ) -> Iterator[tuple[tuple[object, ...], Step, tuple[Run, ...], float]]:
        """Return runs that save their progress and end too late, with a sort key.

        The key puts urgent queues first, and then the runs that would lose most work.
        """
        seen: set[Step] = set()
        for worker in self._ledger.workers_by_id.values():
            left_s = _left_s(worker, now)
            if left_s is None or left_s <= 0:
                continue
            for run in worker.runs_by_id.values():
                step = self._ledger.step_of(run.task)
                if step is None or not step.spec.checkpoints or step.job.final:
                    continue
                runs: tuple[Run, ...] = (run,)
                if step.spec.gang:
                    if step in seen:
                        continue
                    seen.add(step)
                    runs = tuple(step.runs())
                    left_s = min(_left_s(each.worker, now) or left_s for each in runs)
                elif len(step.active[run.task.ordinal]) > 1:
                    continue  # Another copy runs elsewhere.
                if not self._movable(runs):
                    continue
                if self._ends_within(step, runs, left_s - END_MARGIN_S, now):
                    continue
                cores = step.spec.need.cores
                lost = sum(cores * (now - each.since) for each in runs)
                yield (step.job.queue.priority, -lost, run.task), step, runs, left_s

    def _movable(self, runs: tuple[Run, ...]) -> bool:
        return all(
            run.state is RunState.RUNNING and run.task not in self._stopped_at_by_task
            for run in runs
        )

    def _ends_within(
        self, step: Step, runs: tuple[Run, ...], left_s: float, now: float
    ) -> bool:
        if step.spec.service:
            return False
        ratio = self._ledger.run_time_ratios.cautious(step.job.queue.name)
        estimated_s = step.spec.estimated_ms / 1000 * ratio
        return all(expected_left_s(run, estimated_s, now) <= left_s for run in runs)

    def _free_by_worker(self, now: float) -> dict[Worker, Resources]:
        """Return the room for moved tasks, without that for those moved before."""
        ledger = self._ledger
        free_by_worker = {
            worker: worker.free()
            for worker in ledger.workers_by_id.values()
            if worker.takes_orders(now)
            and not worker.quarantined(now)
            and not ledger.is_evacuated(worker)
        }
        for worker in ledger.workers_by_id.values():
            for run in worker.runs_by_id.values():
                step = ledger.step_of(run.task)
                leaving = run.stop_reason == StopReason.DEPARTURE
                if step is not None and leaving and not step.spec.gang:
                    self._take_room(step, (run,), free_by_worker)
        return free_by_worker

    def _take_room(
        self,
        step: Step,
        runs: tuple[Run, ...],
        free_by_worker: dict[Worker, Resources],
    ) -> bool:
        """Take the room for the tasks of some runs elsewhere, if there is enough."""
        need = resources_per_task(step)
        available = dict(free_by_worker)
        for run in runs:
            if run.worker in available:
                available[run.worker] = available[run.worker] + need
        pool = approved_for(step, in_pool(step, available))
        room_by_worker = {w: available[w] - self._kept(step, w) for w in pool}
        indexes = [run.task.ordinal for run in runs]
        places = fit(step, indexes, room_by_worker)
        if len(places) < len(runs):
            return False
        for _, worker in places:
            available[worker] = available[worker] - need
        free_by_worker.update(available)
        return True

    def _kept(self, step: Step, worker: Worker) -> Resources:
        """Return what the step leaves free on a worker."""
        queues = self._ledger.config.queues_by_name.values()
        urgent = min((queue.priority for queue in queues), default=0)
        if self._kept_on is None or step.job.queue.priority <= urgent:
            return NOTHING
        return self._kept_on(worker)


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


def _may_be_away(step: Step, count: int) -> bool:
    """Return whether further tasks of the step may be stopped."""
    if step.spec.max_unavailable is None:
        return True
    running = sum(
        any(run.state is RunState.RUNNING for run in runs)
        for runs in step.active.values()
    )
    left = step.spec.count - len(step.progress.done)
    return left - running + count <= step.spec.max_unavailable
