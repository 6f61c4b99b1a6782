"""Choice of workers for the tasks of a step by free resources and preference. No I/O."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import replace

from briarrun_cell.jobs import Step
from briarrun_cell.workers import Worker
from briarrun_core.resources import Resources

SLOW_WORKER_RATIO = 1.8
"""Ratio of actual to estimated run time above which a worker is used last."""


def resources_per_task(step: Step) -> Resources:
    """Return the resources that one task occupies; a filler occupies no cores."""
    need = step.spec.need
    return replace(need, cores=0) if step.spec.filler else need


def largest_free(workers: Iterable[Worker]) -> Resources:
    """Return the largest free amount of each resource on any single worker."""
    free = [worker.free() for worker in workers]
    return Resources(
        max((each.cores for each in free), default=0),
        max((each.memory_mib for each in free), default=0),
        max((each.accelerators for each in free), default=0),
    )


def task_capacity(step: Step, available: Resources) -> int:
    """Return how many tasks of a step fit into the available resources."""
    need = resources_per_task(step)
    most = None
    for free_amount, amount in (
        (available.cores, need.cores),
        (available.memory_mib, need.memory_mib),
        (available.accelerators, need.accelerators),
    ):
        if amount:
            fitting = free_amount // amount
            most = fitting if most is None else min(most, fitting)
    most = step.spec.count if most is None else max(0, most)
    if step.spec.max_per_worker:
        most = min(most, step.spec.max_per_worker)
    return most


def fits_when_empty(step: Step, workers: Iterable[Worker]) -> bool:
    """Return whether all tasks of the step would fit if the workers were idle."""
    return tasks_fit(step, step.spec.count, (w.entry.capacity for w in workers))


def tasks_fit(step: Step, count: int, free_amounts: Iterable[Resources]) -> bool:
    """Return whether that many tasks fit into the resources of several workers."""
    total = 0
    for available in free_amounts:
        total += task_capacity(step, available)
        if total >= count:
            return True
    return total >= count


def roomiest(step: Step, workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers with the most free capacity that hold the step when idle."""
    chosen = []
    missing = step.spec.count
    for worker in sorted(workers, key=lambda w: -w.free().cores):
        if missing <= 0:
            break
        holds = task_capacity(step, worker.entry.capacity)
        if holds:
            chosen.append(worker)
            missing -= holds
    return chosen


def fit(
    step: Step,
    indexes: list[int],
    available_by_worker: Mapping[Worker, Resources],
    now: float = math.inf,
) -> list[tuple[int, Worker]]:
    """Return a worker for each task, up to the first task that does not fit.

    Fills the most preferred worker first, then the next one. ``now`` is the time of the
    starts; without it, all workers count as warm.
    """
    need = resources_per_task(step)
    bound = step.spec.max_per_worker
    heap = []
    for order, (worker, available) in enumerate(available_by_worker.items()):
        held = worker.count_by_step.get(step.step_id, 0)
        if need.fits_in(available) and (not bound or held < bound):
            heap.append(
                (
                    preference(step, worker, need, available, now),
                    order,
                    worker,
                    available,
                )
            )
    heapq.heapify(heap)
    added: dict[Worker, int] = {}
    chosen: list[tuple[int, Worker]] = []
    for index in indexes:
        if not heap:
            break
        _, order, worker, available = heapq.heappop(heap)
        chosen.append((index, worker))
        added[worker] = added.get(worker, 0) + 1
        remaining = available - need
        held = worker.count_by_step.get(step.step_id, 0) + added[worker]
        if need.fits_in(remaining) and (not bound or held < bound):
            entry = (
                preference(step, worker, need, remaining, now),
                order,
                worker,
                remaining,
            )
            heapq.heappush(heap, entry)
    return chosen


def preference(
    step: Step, worker: Worker, need: Resources, available: Resources, now: float
) -> tuple[bool, int, bool, float]:
    """Return the sort key of a worker; the lowest is preferred.

    Workers on which the step has not failed come first, then those that are neither slow
    nor cold, then those in the rack of the data, then the fullest ones. Steps choose in
    the order of their rank, so urgent ones get the warm workers first.

    Load pattern: workers come back after an outage, and the first runs on them take
    several times as long.
    """
    far = bool(step.spec.data_rack) and worker.entry.rack != step.spec.data_rack
    remaining = (available - need).dominant_fraction(worker.entry.capacity)
    return (
        worker.worker_id in step.failed_on,
        (worker.health.slowness > SLOW_WORKER_RATIO) + worker.is_cold(now),
        far,
        remaining,
    )
