"""Choice of tasks to checkpoint, as few and as little run as possible."""

from __future__ import annotations

from collections.abc import Callable, Collection

from briarrun_core.resources import Resources
from briarrun_core.worker_table import RunningTask, WorkerTable

WORKERS_COMPARED = 16
"""Workers looked at for one task; bounds the cost of a decision."""


def choose_victims(
    tasks: list[RunningTask], available: Resources, need: Resources
) -> list[RunningTask]:
    """Return the tasks whose end would make ``need`` fit, none if it cannot.

    Lowest urgency goes first, then the least run time lost. A task that the others make
    superfluous is spared.
    """
    tasks = sorted(tasks, key=lambda t: (-t.rank, -t.started_at, t.task_id))
    single = [t for t in tasks if need.fits_in(available + t.resources)]
    if single:
        return [min(single, key=lambda t: (-t.rank, t.resources.cores, -t.started_at))]
    chosen: list[RunningTask] = []
    for task in tasks:
        chosen.append(task)
        available += task.resources
        if need.fits_in(available):
            break
    else:
        return []
    for task in list(chosen):
        if need.fits_in(available - task.resources):
            chosen.remove(task)
            available -= task.resources
    return chosen


def choose_preemption(
    table: WorkerTable,
    need: Resources,
    may_checkpoint: Callable[[RunningTask], bool],
    leaving: Collection[str],
) -> tuple[str, list[RunningTask]] | None:
    """Return the worker and its tasks whose checkpoint costs least for ``need``.

    Fewest tasks come first, then the lowest urgency, the smallest and the last started.
    Tasks that are ``leaving`` already count as gone. No task at all is returned if
    their room is enough.
    """
    best: tuple[str, list[RunningTask]] | None = None
    best_cost: tuple[float, int, int, float, str] = (float("inf"), 0, 0, 0.0, "")
    for worker_id in table.reclaimable(need, WORKERS_COMPARED):
        available = table.unheld(worker_id)
        eligible = []
        for task in table.tasks(worker_id):
            if task.task_id in leaving:
                available += task.resources
            elif may_checkpoint(task):
                eligible.append(task)
        if need.fits_in(available):
            return worker_id, []
        victims = choose_victims(eligible, available, need)
        if not victims:
            continue
        cost = (
            len(victims),
            -min(t.rank for t in victims),
            sum(t.resources.cores for t in victims),
            -min(t.started_at for t in victims),
            worker_id,
        )
        if cost < best_cost:
            best, best_cost = (worker_id, victims), cost
    return best
