"""Choose which workers to name in a question to the advice service. Pure.

Answers the load of a large pool: a call takes longer with each worker that it names,
and names at most so many, so that workers without room are left out.
"""

from __future__ import annotations

from collections.abc import Sequence

from briarrun_cell.fitting import task_capacity
from briarrun_cell.jobs import ADVICE_WORKERS, Step
from briarrun_cell.workers import Worker

MAX_WORKERS = 100
"""Workers that one call may name."""

SPARE_FACTOR = 2.5
"""Approved places asked for, as a multiple of a step's tasks; some are taken by other
work before the step starts."""

PRIOR_ASKED = 9.0
"""Workers asked about, before any answer, of which a third counts as approved."""


class ApprovalRates:
    """Learn which part of the workers the service approves, by queue."""

    def __init__(self) -> None:
        self._asked_by_queue: dict[str, float] = {}
        self._approved_by_queue: dict[str, float] = {}

    def note(self, queue: str, asked: int, approved: int) -> None:
        """Take note of an answer."""
        asked_before = self._asked_by_queue.get(queue, PRIOR_ASKED)
        approved_before = self._approved_by_queue.get(queue, PRIOR_ASKED / 3)
        self._asked_by_queue[queue] = asked_before + asked
        self._approved_by_queue[queue] = approved_before + approved

    def rate(self, queue: str) -> float:
        """Return the expected part of approved workers, above 0."""
        asked = self._asked_by_queue.get(queue, PRIOR_ASKED)
        return max(0.02, self._approved_by_queue.get(queue, PRIOR_ASKED / 3) / asked)


def choose_candidates(
    step: Step, workers: Sequence[Worker], rates: ApprovalRates
) -> tuple[Worker, ...]:
    """Return the workers to ask about, those with the most room first.

    Names enough for the step's tasks to find room, and at least as many as callers'
    expectation of one call is based on.
    """
    if len(workers) <= ADVICE_WORKERS:
        return tuple(workers)
    room = [
        (task_capacity(step, worker.free()), order)
        for order, worker in enumerate(workers)
    ]
    room.sort(key=lambda each: (-each[0], each[1]))
    wanted = step.spec.count * SPARE_FACTOR / rates.rate(step.job.queue.name)
    chosen: list[Worker] = []
    found = 0
    for free, order in room:
        if len(chosen) >= MAX_WORKERS:
            break
        if len(chosen) >= ADVICE_WORKERS and (found >= wanted or not free):
            break
        chosen.append(workers[order])
        found += free
    return tuple(chosen)
