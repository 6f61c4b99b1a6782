"""Order of waiting work when capacity is tight.

Answers the loads in which a burst of one kind, or one customer far beyond its share,
competes with everybody else for the same workers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from briarrun_cell.jobs import Job, Step
from briarrun_cell.model import CellConfig
from briarrun_core.resources import NOTHING, Resources

SHARE_TOLERANCE = 1.5
"""A customer may use this multiple of its share before others go first."""

RATE_WINDOW_S = 1.0
"""Jobs of this many seconds may come at once within a customer's rate."""


class Prospect(IntEnum):
    """Tell whether a job can still end in the time that its caller expects."""

    ON_TIME = 0
    LATE = 1
    HOPELESS = 2


@dataclass(frozen=True, slots=True)
class FairShares:
    """Tell which customers use more than their share of the cell."""

    over: frozenset[str]

    @classmethod
    def measure(
        cls,
        config: CellConfig,
        usage_by_customer: Mapping[str, Resources],
        total: Resources,
    ) -> FairShares:
        """Compare each customer's dominant fraction with its part of all weights."""
        weights = sum(each.weight for each in config.customers_by_name.values())
        over = set()
        for name, customer in config.customers_by_name.items():
            used = usage_by_customer.get(name, NOTHING).dominant_fraction(total)
            share = customer.weight / weights if weights else 1.0
            if used > SHARE_TOLERANCE * share:
                over.add(name)
        return cls(frozenset(over))


def prospect(job: Job, step: Step, now: float) -> Prospect:
    """Return whether the job can still be on time if the step starts now."""
    end = now + step.remaining_s
    if end <= job.target_end_at:
        return Prospect.ON_TIME
    return Prospect.LATE if end <= job.latest_useful_end_at else Prospect.HOPELESS


class RateMeter:
    """Tell which jobs a customer submitted beyond the rate that its weight grants.

    A customer's weight is also the number of jobs per second that it is owed.
    """

    def __init__(self) -> None:
        self._level_by_customer: dict[str, tuple[float, float]] = {}

    def exceeds(self, customer: str, rate_per_s: float, at_s: float) -> bool:
        """Take note of a job; return whether it is beyond the rate."""
        burst = max(1.0, rate_per_s * RATE_WINDOW_S)
        level, last_s = self._level_by_customer.get(customer, (0.0, at_s))
        level = max(0.0, level - max(0.0, at_s - last_s) * rate_per_s)
        exceeded = level + 1 > burst
        self._level_by_customer[customer] = (
            level if exceeded else level + 1,
            max(at_s, last_s),
        )
        return exceeded


Rank = tuple[bool, bool, int, int, bool, float]


def rank(step: Step, shares: FairShares, now: float) -> Rank:
    """Return the place of a step in the order of starting; lower goes first.

    Within one priority a job that can still be on time goes before one that is late
    already, so that a backlog does not make every later job late as well.
    """
    job = step.job
    expected = prospect(job, step, now)
    return (
        job.excess,
        expected is Prospect.HOPELESS,
        job.queue.priority,
        expected,
        job.spec.customer in shares.over,
        job.target_end_at - step.remaining_s,
    )
