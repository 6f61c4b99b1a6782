"""Choice of tasks to checkpoint: few tasks that lose little run time."""

from __future__ import annotations

from collections.abc import Callable, Collection

from briarrun_core.resources import Resources
from briarrun_core.worker_table import RunningTask, WorkerTable

WORKER_CANDIDATE_LIMIT = 16
"""Number of workers compared for one task. Bounds the time of a decision."""


def choose_victims(
    tasks: list[RunningTask], available: Resources, need: Resources
) -> list[RunningTask]:
    """Return tasks whose end makes ``need`` fit, or an empty list if there are none.

    If one task suffices, a single one is returned. Otherwise tasks are added in order
    of lowest urgency and least run time lost, and those that turn out not to be needed
    are removed again.
    """
    tasks = sorted(tasks, key=lambda t: (-t.rank, -t.started_at, t.task_id))
    sufficient = [t for t in tasks if need.fits_in(available + t.resources)]
    if sufficient:
        return [
            min(sufficient, key=lambda t: (-t.rank, t.resources.cores, -t.started_at))
        ]
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
    being_checkpointed: Collection[str],
) -> tuple[str, list[RunningTask]] | None:
    """Return the cheapest worker to free ``need`` on, and its tasks to checkpoint.

    The cost is compared by the number of tasks, then by lowest urgency, smallest size
    and latest start. Tasks in ``leaving``, which are already being checkpointed, count
    as ended. The list of tasks is empty if their resources suffice.
    """
    best: tuple[str, list[RunningTask]] | None = None
    best_cost: tuple[float, int, int, float, str] = (float("inf"), 0, 0, 0.0, "")
    for worker_id in table.reclaimable(need, WORKER_CANDIDATE_LIMIT):
        available = table.unheld(worker_id)
        eligible = []
        for task in table.tasks(worker_id):
            if task.task_id in being_checkpointed:
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
