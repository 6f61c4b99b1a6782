"""Selection of the workers to include in a request to the advice service. No I/O.

The service takes longer for each worker in a request and limits their number. In large
pools, workers without free capacity are therefore left out.
"""

from __future__ import annotations

from collections.abc import Sequence

from briarrun_cell.decisions.fitting import task_capacity
from briarrun_cell.jobs import ADVICE_WORKERS, Step
from briarrun_cell.workers import Worker

MAX_WORKERS = 100
"""Maximum number of workers per request."""

SPARE_FACTOR = 2.5
"""Free capacity to have approved, as a multiple of the step's tasks. Other work takes
part of the capacity before the step starts."""

PRIOR_ASKED = 9.0
"""Number of workers in the prior of the approval rate; one third counts as approved."""


class ApprovalRates:
    """Estimates of the fraction of workers that the service approves, by queue."""

    def __init__(self) -> None:
        self._asked_by_queue: dict[str, float] = {}
        self._approved_by_queue: dict[str, float] = {}

    def note(self, queue: str, asked: int, approved: int) -> None:
        """Update the estimate of a queue with one answer."""
        asked_before = self._asked_by_queue.get(queue, PRIOR_ASKED)
        approved_before = self._approved_by_queue.get(queue, PRIOR_ASKED / 3)
        self._asked_by_queue[queue] = asked_before + asked
        self._approved_by_queue[queue] = approved_before + approved

    def rate(self, queue: str) -> float:
        """Return the estimated fraction of approved workers, above 0."""
        asked = self._asked_by_queue.get(queue, PRIOR_ASKED)
        return max(0.02, self._approved_by_queue.get(queue, PRIOR_ASKED / 3) / asked)


def choose_candidates(
    step: Step, workers: Sequence[Worker], rates: ApprovalRates
) -> tuple[Worker, ...]:
    """Return the workers to ask about, those with the most free capacity first.

    Chooses enough workers for the tasks of the step, but at least ``ADVICE_WORKERS``,
    the number on which the expected duration of a call is based.
    """
    if len(workers) <= ADVICE_WORKERS:
        return tuple(workers)
    free_slots = [
        (task_capacity(step, worker.free()), order)
        for order, worker in enumerate(workers)
    ]
    free_slots.sort(key=lambda each: (-each[0], each[1]))
    wanted = step.spec.count * SPARE_FACTOR / rates.rate(step.job.queue.name)
    chosen: list[Worker] = []
    found = 0
    for free, order in free_slots:
        if len(chosen) >= MAX_WORKERS:
            break
        if len(chosen) >= ADVICE_WORKERS and (found >= wanted or not free):
            break
        chosen.append(workers[order])
        found += free
    return tuple(chosen)
