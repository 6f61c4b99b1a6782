"""Ranking of waiting steps while capacity is scarce.

It protects other work from bursts of jobs and from customers that use much more than
their share.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from briarrun_cell.jobs import Job, Step
from briarrun_cell.model import CellConfig
from briarrun_core.resources import NOTHING, Resources

SHARE_TOLERANCE = 1.5
"""Multiple of its share above which a customer ranks behind others."""

RATE_WINDOW_S = 1.0
"""Burst size of a customer's rate limit, in seconds at the full rate."""


class DeadlineStatus(IntEnum):
    """Whether a job can still end within the time that its caller expects."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


@dataclass(frozen=True, slots=True)
class FairShares:
    """Customers that use more than their share of the cell."""

    above_share: frozenset[str]

    @classmethod
    def measure(
        cls,
        config: CellConfig,
        usage_by_customer: Mapping[str, Resources],
        total: Resources,
    ) -> FairShares:
        """Compare the dominant share of each customer with its part of all weights."""
        weights = sum(each.weight for each in config.customers_by_name.values())
        above_share = set()
        for name, customer in config.customers_by_name.items():
            used = usage_by_customer.get(name, NOTHING).dominant_fraction(total)
            share = customer.weight / weights if weights else 1.0
            if used > SHARE_TOLERANCE * share:
                above_share.add(name)
        return cls(frozenset(above_share))


def deadline_status(
    job: Job, step: Step, now: float, run_time_ratio: float = 1.0
) -> DeadlineStatus:
    """Return whether the job will be on time if the step starts now.

    ``run_time_ratio`` is the expected ratio of actual to estimated run time.
    """
    end = now + step.remaining_s * run_time_ratio
    if end <= job.target_end_at:
        return DeadlineStatus.ON_TIME
    return (
        DeadlineStatus.LATE
        if end <= job.latest_useful_end_at
        else DeadlineStatus.TOO_LATE
    )


class RateMeter:
    """Leaky bucket that detects jobs submitted above a customer's rate.

    The weight of a customer is also its rate in jobs per second. ``window_s`` is the
    size of a burst that is admitted, in seconds at the full rate.
    """

    def __init__(self, window_s: float = RATE_WINDOW_S) -> None:
        self._window_s = window_s
        self._level_by_customer: dict[str, tuple[float, float]] = {}

    def exceeds(self, customer: str, rate_per_s: float, at_s: float) -> bool:
        """Record a job and return whether it exceeds the rate."""
        burst = max(1.0, rate_per_s * self._window_s)
        level, last_s = self._level_by_customer.get(customer, (0.0, at_s))
        level = max(0.0, level - max(0.0, at_s - last_s) * rate_per_s)
        exceeded = level + 1 > burst
        self._level_by_customer[customer] = (
            level if exceeded else level + 1,
            max(at_s, last_s),
        )
        return exceeded


Rank = tuple[bool, bool, int, int, bool, float]


def rank(
    step: Step, shares: FairShares, now: float, run_time_ratio: float = 1.0
) -> Rank:
    """Return the rank of a step; steps of lower rank start first.

    Within one priority, jobs that can still be on time come before jobs that are late
    already. Otherwise a backlog would make all later jobs late as well. Whether a job
    is too late to be of use is decided by its estimate alone, since it then comes last.
    """
    job = step.job
    expected = deadline_status(job, step, now, run_time_ratio)
    if expected is DeadlineStatus.TOO_LATE:
        expected = max(DeadlineStatus.LATE, deadline_status(job, step, now))
    return (
        job.over_rate,
        expected is DeadlineStatus.TOO_LATE,
        job.queue.priority,
        expected,
        job.spec.customer in shares.above_share,
        job.target_end_at - step.remaining_s * run_time_ratio,
    )
