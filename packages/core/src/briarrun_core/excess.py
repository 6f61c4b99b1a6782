"""Choice of the tasks to give up when a limit or a capacity was lowered."""

from __future__ import annotations

from collections.abc import Iterable

from briarrun_core.jobs import Task
from briarrun_core.ledger_core import LedgerCore
from briarrun_core.ledger_events import StopCause
from briarrun_core.model import TaskState, Urgency
from briarrun_core.resources import NOTHING, Resources

EXCESS_CHECKPOINT_S = 2.0
"""Time for a checkpoint of excess work; a lowered limit must hold within seconds."""

_RANK_BY_URGENCY = {Urgency.LOW: 0, Urgency.NORMAL: 1, Urgency.URGENT: 2}


class ExcessReducer:
    """Give up work of teams above their slice and on workers above their capacity."""

    def __init__(self, core: LedgerCore) -> None:
        self._core = core

    def reduce(self, now: float) -> None:
        """Order checkpoints and stops until every checked limit will hold."""
        core = self._core
        for team in core.teams_to_check if core.slices_known else ():
            tasks = core.job_registry.tasks_by_team.get(team, {})
            limit = core.slices_by_team.get(team, NOTHING)
            self._give_up(tasks.values(), limit, now)
        if core.slices_known:
            core.teams_to_check.clear()
        for worker_id in core.workers_to_check:
            worker = core.workers.workers_by_id.get(worker_id)
            if worker is not None and worker.is_known:
                tasks = core.job_registry.tasks_by_worker.get(worker_id, {})
                self._give_up(tasks.values(), worker.capacity, now)
        core.workers_to_check.clear()

    def _give_up(self, tasks: Iterable[Task], limit: Resources, now: float) -> None:
        """Give up the least urgent and latest started tasks above a limit.

        A task that cannot be started again goes after the others of its urgency. Tasks
        that are already ending count as gone.
        """
        kept = NOTHING
        candidates = []
        for task in tasks:
            if task.state in (TaskState.STARTING, TaskState.RUNNING):
                kept += task.spec.resources
                candidates.append(task)
        candidates.sort(key=_loss)
        for task in candidates:
            excess = _positive_parts(kept - limit)
            if excess.is_zero:
                return
            if not _shares_a_part(task.spec.resources, excess):
                continue
            kept -= task.spec.resources
            if task.state is TaskState.RUNNING and task.spec.idempotent:
                self._core.checkpoint(task, now + EXCESS_CHECKPOINT_S)
            else:
                self._core.stop(task, StopCause.EXCESS)


def _loss(task: Task) -> tuple[int, bool, float]:
    return (
        _RANK_BY_URGENCY[task.spec.urgency],
        not task.spec.idempotent,
        -task.started_at,
    )


def _positive_parts(amount: Resources) -> Resources:
    return Resources(
        max(amount.cores, 0),
        max(amount.memory_mib, 0),
        max(amount.accelerators, 0),
        max(amount.slots, 0),
    )


def _shares_a_part(amount: Resources, excess: Resources) -> bool:
    return bool(
        (amount.cores and excess.cores)
        or (amount.memory_mib and excess.memory_mib)
        or (amount.accelerators and excess.accelerators)
    )
