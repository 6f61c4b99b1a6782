"""Ranking of waiting steps while capacity is scarce.

Load pattern: demand exceeds the capacity, of the cell or of a customer's limit. In the
order of deadlines, the whole backlog ends a little too late. Here a bounded part of it
is given up early and runs later, and the rest is on time.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum

from briarrun_cell.decisions.customer_shares import CustomerShares
from briarrun_cell.decisions.run_times import RunTimeRatios
from briarrun_cell.jobs import LATE_FACTOR, Job, Step
from briarrun_cell.model import CellConfig, StepId
from briarrun_core.resources import NOTHING, Resources

SHARE_TOLERANCE = 1.5
"""Multiple of its share above which a customer ranks behind others."""

RATE_WINDOW_S = 10.0
"""Burst size of a customer's rate limit, in seconds at the full rate. Of the jobs of a
customer that keeps to its rate on average, 1 % are beyond it with 10 s, and 28 % with one
second (replay of uneven_load, seed 1)."""

MOMENTARY_RATE_WINDOW_S = 1.0
"""The same for jobs that only come after others of the same level and customer rate while
demand exceeds the capacity."""

SCARCE_DEMAND = 1.0
"""Demand as a fraction of the capacity above which demand exceeds it."""

AMPLE_DEMAND = 0.85
"""Fraction below which it no longer does. The difference keeps the order from changing
with each job that arrives or ends."""

MEASURE_INTERVAL_S = 0.2
"""Interval at which demand, shares and sizes are measured. Rounds come up to 25 times a
second; measuring in each of them took 2.3 ms for 500 steps."""

SIZE_RATIO = 4.0
"""Ratio of the work of steps of two successive sizes. Steps of about the same size are in
the order of their deadlines. A ratio of 1.4 served the large gangs of uneven_load worse."""

SMALLEST_SIZE = -1000
"""Size below that of all work."""

AGED_FACTOR = 2.0
"""Multiple of the time in which its result is of use after which a job is aged."""

AGEING_INTERVAL_S = 5.0
"""Minimum time between two aged steps that go before others. In an overload that does not
end, all waiting steps are aged in the end; at most this many of them hold up others."""


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


Rank = tuple[float, ...]
"""Rank of a step; steps of lower rank start first. Two ranks of one order have the same
length."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What customers use, and the steps that wait, at one moment.

    ``total`` is the capacity of the usable workers.
    """

    now: float
    config: CellConfig
    usage_by_customer: Mapping[str, Resources]
    total: Resources
    steps: Sequence[Step]
    ratios: RunTimeRatios
    shares: CustomerShares


class StepOrder(ABC):
    """Order in which waiting steps are started and advice about them is requested."""

    @abstractmethod
    def begin_round(self, demand: Demand) -> None:
        """Take in the demand of a round."""

    @abstractmethod
    def rank(self, step: Step) -> Rank:
        """Return the rank of a step in the round."""


class DeadlineOrder(StepOrder):
    """Order of deadlines among the steps of a queue; customers above their share last.

    Within one priority, jobs that can still be on time come before jobs that are late
    already. Otherwise a backlog would make all later jobs late as well. Whether a job
    is too late to be of use is decided by its estimate alone, since it then comes last.
    """

    def begin_round(self, demand: Demand) -> None:
        """Find the customers above their share."""
        self._now = demand.now
        self._ratios = demand.ratios
        self._shares = FairShares.measure(
            demand.config, demand.usage_by_customer, demand.total
        )

    def rank(self, step: Step) -> Rank:
        """Return the rank of a step in the round."""
        job = step.job
        ratio = self._ratios.cautious(job.queue.name)
        expected = deadline_status(job, step, self._now, ratio)
        if expected is DeadlineStatus.TOO_LATE:
            expected = max(DeadlineStatus.LATE, deadline_status(job, step, self._now))
        return (
            job.early,
            expected is DeadlineStatus.TOO_LATE,
            job.queue.priority,
            expected,
            job.spec.customer in self._shares.above_share,
            job.target_end_at - step.remaining_s * ratio,
        )


class ShareOrder(StepOrder):
    """Order by share and by remaining work while demand exceeds the capacity.

    Jobs beyond their customer's rate come last, and before them those that are too late
    to be of use. Within one priority, jobs that can be on time come before late ones.
    While demand exceeds the capacity, customers then come in the order of the use of
    their shares, and steps with little work left before those with much. This also holds
    among the steps of a customer whose limit is below its demand.
    """

    def __init__(self) -> None:
        self._shares = CustomerShares()
        self._now = 0.0
        self._ratios = RunTimeRatios()
        self._total = NOTHING
        self._limited: set[str] = set()
        self._urgent_priority = 0
        self._measured_at = float("-inf")
        self._known: dict[StepId, tuple[float, float, int]] = {}
        self._aged: StepId | None = None
        self._aged_at = float("-inf")

    def begin_round(self, demand: Demand) -> None:
        """Add up the demand, and update the shares of the customers."""
        self._now = demand.now
        if demand.now < self._measured_at + MEASURE_INTERVAL_S:
            return
        self._measured_at = demand.now
        self._known.clear()
        self._ratios, self._total = demand.ratios, demand.total
        self._shares = demand.shares
        self._shares.update(
            demand.now, demand.config, demand.usage_by_customer, demand.total
        )
        priorities = [q.priority for q in demand.config.queues_by_name.values()]
        self._urgent_priority = min(priorities, default=0)
        self._measure_demand(demand)
        self._choose_aged(demand.steps)

    def _measure_demand(self, demand: Demand) -> None:
        """Find out whether demand exceeds the capacity, or the limits of customers."""
        cores: dict[str, int] = {}
        memory_mib: dict[str, int] = {}
        for name, used in demand.usage_by_customer.items():
            cores[name], memory_mib[name] = used.cores, used.memory_mib
        for step in demand.steps:
            name, need, count = (
                step.job.spec.customer,
                step.spec.need,
                len(step.pending),
            )
            cores[name] = cores.get(name, 0) + count * need.cores
            memory_mib[name] = memory_mib.get(name, 0) + count * need.memory_mib
        wanted = Resources(sum(cores.values()), sum(memory_mib.values()))
        shares = self._shares
        shares.scarce = _exceeds(wanted, demand.total, shares.scarce)
        self._limited = {
            name
            for name, customer in demand.config.customers_by_name.items()
            if _exceeds(
                Resources(cores.get(name, 0), memory_mib.get(name, 0)),
                customer.limit,
                name in self._limited,
            )
        }

    def _choose_aged(self, steps: Sequence[Step]) -> None:
        """Keep the aged step that goes before others until it is placed, or choose one."""
        if any(step.step_id == self._aged for step in steps):
            return
        self._aged = None
        if self._now < self._aged_at + AGEING_INTERVAL_S:
            return
        aged = [step for step in steps if is_aged(step.job, self._now)]
        if aged:
            first = min(aged, key=lambda step: (step.job.accepted_at, step.step_id))
            self._aged, self._aged_at = first.step_id, self._now

    def rank(self, step: Step) -> Rank:
        """Return the rank of a step in the round."""
        job, queue = step.job, step.job.queue
        customer = job.spec.customer
        if step.step_id == self._aged:
            return (False, False, queue.priority, 0, SMALLEST_SIZE, 0, 0, 0, 0.0)
        known = self._known.get(step.step_id)
        if known is None:
            ratios = self._ratios.expected(queue.name, step.spec.estimated_ms / 1000)
            known = self._known[step.step_id] = (*ratios, size_of(step, self._total))
        ratio, objective_ratio, size = known
        status, latest_start_at = expected_status(
            step, self._now, ratio, objective_ratio
        )
        scarce = self._shares.scarce or customer in self._limited
        # Urgent steps are small, and all of them are to start within a second.
        sized = scarce and queue.priority > self._urgent_priority
        return (
            job.over_rate,
            status is DeadlineStatus.TOO_LATE,
            queue.priority,
            status,
            self._shares.level(customer) if self._shares.scarce else 0,
            scarce and job.early,
            scarce and not was_started(step),
            size if sized else 0,
            latest_start_at,
        )


def _exceeds(wanted: Resources, available: Resources, exceeded: bool) -> bool:
    """Return whether demand exceeds what there is; amounts of 0 mean no limit."""
    bound = AMPLE_DEMAND if exceeded else SCARCE_DEMAND
    return any(
        most and amount > bound * most
        for amount, most in (
            (wanted.cores, available.cores),
            (wanted.memory_mib, available.memory_mib),
        )
    )


def expected_status(
    step: Step, now: float, ratio: float, objective_ratio: float
) -> tuple[DeadlineStatus, float]:
    """Return whether the job will be on time if the step starts now.

    Also returns the latest start with which it will be. ``ratio`` is the expected ratio of
    actual to estimated run time, ``objective_ratio`` the part of it by which the objective
    is off (``RunTimeRatios.expected``). The objective of a job follows
    from its run time, so that both change if its estimate is unlike others of its queue.
    """
    job, queue = step.job, step.job.queue
    further_s = queue.stretch * (objective_ratio - 1) * job.critical_path_s
    run_s = step.remaining_s * ratio
    latest_start_at = job.target_end_at + further_s - run_s
    if now <= latest_start_at:
        return DeadlineStatus.ON_TIME, latest_start_at
    useful_end_at = job.latest_useful_end_at + LATE_FACTOR * further_s
    if now + run_s <= useful_end_at:
        return DeadlineStatus.LATE, latest_start_at
    return DeadlineStatus.TOO_LATE, latest_start_at


def is_aged(job: Job, now: float) -> bool:
    """Return whether a job waits for so long that it goes before others in its turn."""
    useful_s = job.latest_useful_end_at - job.accepted_at
    return now > job.accepted_at + AGED_FACTOR * useful_s


def was_started(step: Step) -> bool:
    """Return whether a gang was started and stopped; its work is partly done."""
    return step.spec.gang and bool(step.progress.assigned_by_index)


def size_of(step: Step, total: Resources) -> int:
    """Return the size of the remaining work of a step, in steps of a logarithm."""
    tasks = len(step.pending) * max(step.spec.estimated_ms, 1)
    work = tasks * step.spec.need.dominant_fraction(total)
    if work <= 0:
        return SMALLEST_SIZE
    return math.floor(math.log(work, SIZE_RATIO))
