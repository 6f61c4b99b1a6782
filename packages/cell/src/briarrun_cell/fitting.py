"""Choose workers for the tasks of a step by room and preference. Pure."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import replace

from briarrun_cell.jobs import Step
from briarrun_cell.workers import Worker
from briarrun_core.resources import Resources

SLOW_WORKER = 1.8
"""A worker whose runs take this multiple of their estimates is used last."""


def resources_per_task(step: Step) -> Resources:
    """Return the room that one task takes; a filler takes no cores."""
    need = step.spec.need
    return replace(need, cores=0) if step.spec.filler else need


def largest_free(workers: Iterable[Worker]) -> Resources:
    """Return the largest free amount of each resource on any one worker."""
    free = [worker.free() for worker in workers]
    return Resources(
        max((each.cores for each in free), default=0),
        max((each.memory_mib for each in free), default=0),
        max((each.accelerators for each in free), default=0),
    )


def task_capacity(step: Step, room: Resources) -> int:
    """Return how many tasks of a step a room holds."""
    need = resources_per_task(step)
    fitting = [
        available // amount
        for available, amount in (
            (room.cores, need.cores),
            (room.memory_mib, need.memory_mib),
            (room.accelerators, need.accelerators),
        )
        if amount
    ]
    most = max(0, min(fitting, default=step.spec.count))
    if step.spec.max_per_worker:
        most = min(most, step.spec.max_per_worker)
    return most


def fits_when_empty(step: Step, workers: Iterable[Worker]) -> bool:
    """Tell whether the workers could hold a whole gang if they were empty."""
    total = 0
    for worker in workers:
        total += task_capacity(step, worker.entry.capacity)
        if total >= step.spec.count:
            return True
    return total >= step.spec.count


def fit(
    step: Step, indexes: list[int], room_by_worker: Mapping[Worker, Resources]
) -> list[tuple[int, Worker]]:
    """Return a worker for each task, up to the first that finds no room.

    Takes the most preferred worker until it is full, then the next one.
    """
    need = resources_per_task(step)
    bound = step.spec.max_per_worker
    heap = []
    for order, (worker, room) in enumerate(room_by_worker.items()):
        held = worker.count_by_step.get(step.step_id, 0)
        if need.fits_in(room) and (not bound or held < bound):
            heap.append((preference(step, worker, need, room), order, worker, room))
    heapq.heapify(heap)
    added: dict[Worker, int] = {}
    chosen: list[tuple[int, Worker]] = []
    for index in indexes:
        if not heap:
            break
        _, order, worker, room = heapq.heappop(heap)
        chosen.append((index, worker))
        added[worker] = added.get(worker, 0) + 1
        left = room - need
        held = worker.count_by_step.get(step.step_id, 0) + added[worker]
        if need.fits_in(left) and (not bound or held < bound):
            entry = (preference(step, worker, need, left), order, worker, left)
            heapq.heappush(heap, entry)
    return chosen


def preference(
    step: Step, worker: Worker, need: Resources, room: Resources
) -> tuple[bool, bool, bool, float]:
    """Prefer sound and fast workers near the data, and among them the fullest."""
    far = bool(step.spec.data_rack) and worker.entry.rack != step.spec.data_rack
    left = (room - need).dominant_fraction(worker.entry.capacity)
    return (
        worker.worker_id in step.failed_on,
        worker.health.slowness > SLOW_WORKER,
        far,
        left,
    )
