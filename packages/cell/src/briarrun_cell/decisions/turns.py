"""Which of many blocked steps a planning round looks at. No I/O.

Load pattern: hundreds of steps that cannot start, of a customer that sends many times
its usual, rank before a few jobs that could run. A round that ends after some steps
without a placement bounds its cost, but never looks at those jobs.
"""

from __future__ import annotations

import heapq
import math

from briarrun_cell.decisions.fitting import resources_per_task
from briarrun_cell.decisions.ranking import Rank
from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.jobs import Step
from briarrun_core.resources import Resources

MAX_BLOCKED_STEPS = 80
"""Number of steps without a placement after which a round looks at no further workers
in the order of rank. Steps whose customer is at its limit need no look at workers and
do not count."""

MIN_STEPS_IN_TURN = 40
"""Number of later steps for which a round looks at workers all the same. They take
turns, so that a step which fits is found however many others are blocked before it."""

MAX_ROUNDS_BETWEEN_TURNS = 20
"""Number of rounds in which each of the later steps has its turn, however many wait.
Rounds are about 0.1 s apart at most, so that is 2 s."""


def next_in_turn(
    later: list[tuple[Rank, Step]], largest: Resources, now: float
) -> list[tuple[Rank, Step]]:
    """Return the steps after the first blocked ones that a round looks at, by rank.

    These are the ones whose last look is the longest ago, of those that can be placed or
    have to be asked about. An answer is used at once, since its tickets expire.
    ``largest`` is the largest free amount of each resource on any worker.
    """
    due = []
    for number, (_, step) in enumerate(later):
        unasked = step.job.queue.advice is not None and not step.advice.answered
        if unasked and step.advice.request_in_flight:
            step.note_wait(WaitReason.ADVICE, now)
        elif unasked or resources_per_task(step).fits_in(largest):
            if step.wait is None:
                step.note_wait(WaitReason.TURN, now)
            answered = step.advice.requested and not step.advice.request_in_flight
            due.append((float("-inf") if answered else step.examined_at, number))
        else:
            step.note_wait(WaitReason.CAPACITY, now)
    count = max(MIN_STEPS_IN_TURN, math.ceil(len(due) / MAX_ROUNDS_BETWEEN_TURNS))
    chosen = heapq.nsmallest(count, due)
    return [later[number] for number in sorted(number for _, number in chosen)]
