"""Which submissions the holder turns away. No I/O.

Load pattern: a customer submits jobs at several times its usual rate for a long time, or
jobs that do not fit any worker. What it has waiting then needs longer, at the limit of
the customer, than the results of further jobs are of use. These would be stored, would
wait, and would hold resources of the cell without any use. A refusal tells the caller at
once, and when it may try again.

A job is turned away only if that is certain, so all bounds are lower ones.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from briarrun_cell.decisions.ranking import RateMeter
from briarrun_cell.decisions.store_silence import jitter
from briarrun_cell.jobs import (
    LATE_FACTOR,
    Job,
    Step,
    critical_path_ms,
    objective_s,
)
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import Customer, JobSpec, Queue, WorkerEntry
from briarrun_cell.workers import RunState
from briarrun_core.resources import Resources

MIN_RUN_TIME_RATIO = 0.5
MAX_RUN_TIME_RATIO = 2.0
"""Bounds of the ratio of actual to estimated run time: the lower one for the work that
is waiting, the upper one for the time in which a job is of use. Estimates are off by 20
to 90 %."""

RATE_WINDOW_S = 10.0
"""Time by which jobs may come early and still count as within the rate of a customer. It
is longer than for the ranking, since a job that ranks last may still be of use."""

MAX_WORK_AGE_S = 0.25
"""Maximum age of what is known of the work of the customers. It is not computed anew for
each submission, of which there may be a hundred a second."""

JOBS_PER_WORK_AGE = 250
"""Number of jobs above which what is known may be older in proportion, so that computing
it takes less than a hundredth of the processor time."""

MAX_RETRY_AFTER_S = 10
"""Maximum Retry-After of a refusal for load."""

SPREAD_S = 3
"""Number of seconds over which refused callers of less urgent queues return."""


class RefusalReason(StrEnum):
    """Why a job is turned away."""

    NEVER_RUNS = "never-runs"
    BACKLOG = "backlog"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a job; a job that can never run has no time to retry."""

    reason: RefusalReason
    detail: str
    retry_after_s: int | None = None


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """Lower bound of the work that is left of a step, with what its rank depends on.

    The work is in units of each resource, used for a second: millicores, MiB and
    accelerators.
    """

    over_rate: bool
    priority: int
    on_time: bool
    target_end_at: float
    remaining_s: float
    least: tuple[float, float, float]

    def precedes(self, other: WaitingWork) -> bool:
        """Return whether this work surely ranks before that of a new job.

        Of two steps of one priority that can both be in time, the one that must end
        earlier and takes less time ranks first in any order of the planner. A step that
        is late ranks behind a new job. Work of a customer beyond its rate ranks behind
        less urgent work, too, but often fits beside it.
        """
        if self.priority > other.priority or self.over_rate > other.over_rate:
            return False
        if self.priority < other.priority or self.over_rate < other.over_rate:
            return True
        return (
            self.on_time
            and self.target_end_at <= other.target_end_at
            and self.remaining_s <= other.remaining_s
        )


def least_work(step: Step, now: float) -> tuple[float, float, float]:
    """Return a lower bound of the work that is left of a step.

    Services have no end, and the progress of tasks that resume is not known.
    """
    spec = step.spec
    if spec.service:
        return (0.0, 0.0, 0.0)
    least_s = spec.estimated_ms / 1000 * MIN_RUN_TIME_RATIO
    seconds = 0.0
    if not step.progress.checkpoints_by_index:
        seconds += least_s * len(step.pending)
    for runs in step.active.values():
        for run in runs:
            if run.state is RunState.RUNNING and not run.resumed:
                seconds += max(0.0, least_s - (now - run.since))
    need = spec.need
    return (
        need.cores * seconds,
        need.memory_mib * seconds,
        need.accelerators * seconds,
    )


def least_time_s(work: Iterable[WaitingWork], limit: Resources) -> float:
    """Return the least time that work takes within a limit; amounts of 0 mean none."""
    cores = memory = accelerators = 0.0
    for each in work:
        cores += each.least[0]
        memory += each.least[1]
        accelerators += each.least[2]
    return max(
        cores / limit.cores if limit.cores else 0.0,
        memory / limit.memory_mib if limit.memory_mib else 0.0,
        accelerators / limit.accelerators if limit.accelerators else 0.0,
    )


def work_by_customer(jobs: Iterable[Job], now: float) -> dict[str, list[WaitingWork]]:
    """Return the work of the customers that is not too late to be of use."""
    work: dict[str, list[WaitingWork]] = {}
    for job in jobs:
        if job.final:
            continue
        found = work.setdefault(job.spec.customer, [])
        for step in job.steps_by_id.values():
            left_s = step.remaining_s
            if step.done or now + left_s > job.latest_useful_end_at:
                continue
            found.append(
                WaitingWork(
                    job.over_rate,
                    job.queue.priority,
                    now + left_s <= job.target_end_at,
                    job.target_end_at,
                    left_s,
                    least_work(step, now),
                )
            )
    return work


class SizesSeen:
    """Capacities and labels of the workers of each pool in this term."""

    def __init__(self) -> None:
        self._entries_by_id: dict[str, WorkerEntry] = {}
        self._sizes_by_pool: dict[str, set[tuple[Resources, tuple[str, ...]]]] = {}

    def note(self, entries: Iterable[WorkerEntry]) -> None:
        """Record the workers of the registry."""
        for entry in entries:
            if self._entries_by_id.get(entry.worker_id) is entry:
                continue
            self._entries_by_id[entry.worker_id] = entry
            size = (entry.capacity, entry.labels)
            self._sizes_by_pool.setdefault(entry.pool, set()).add(size)

    def has_workers(self, pool: str) -> bool:
        """Return whether the pool has had workers."""
        return pool in self._sizes_by_pool

    def fits(self, need: Resources, pool: str, label: str) -> bool:
        """Return whether a task fits into a worker, or no such worker is known."""
        sizes = [
            capacity
            for capacity, labels in self._sizes_by_pool.get(pool, ())
            if not label or label in labels
        ]
        return not sizes or any(need.fits_in(capacity) for capacity in sizes)


def why_it_never_runs(
    spec: JobSpec, queue: Queue, customer: Customer | None, sizes: SizesSeen
) -> str | None:
    """Return why a job can never run, None if it may."""
    for number, step in enumerate(spec.steps):
        need = step.need
        on_worker = Resources(
            0 if step.filler else need.cores, need.memory_mib, need.accelerators
        )
        if step.count and not sizes.fits(on_worker, queue.pool, step.required_label):
            return f"a task of step {number} is larger than any worker"
        if customer is None or not step.count:
            continue
        count = step.count if step.gang else 1
        for name, amount, limit in (
            ("cores", need.cores, customer.limit.cores),
            ("memory", need.memory_mib, customer.limit.memory_mib),
            ("accelerators", need.accelerators, customer.limit.accelerators),
        ):
            if limit and amount * count > limit:
                what = "the gang" if step.gang else "a task"
                return (
                    f"{what} of step {number} needs more {name} than the customer's "
                    f"limit: {amount * count} of {limit}"
                )
    return None


def retry_after_s(wait_s: float, urgency: int, job_id: str) -> int:
    """Return the whole seconds after which there will be room for a job.

    Callers of less urgent queues are spread over a longer time, by the ids of the jobs.
    """
    spread = jitter(job_id, SPREAD_S if urgency else 1)
    return min(MAX_RETRY_AFTER_S, max(1, ceil(wait_s)) + spread)


class AdmissionControl:
    """Reviews the submissions of one term of the holder."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._work_by_customer: dict[str, list[WaitingWork]] = {}
        self._computed_at = float("-inf")
        self._lasting_rates = RateMeter(RATE_WINDOW_S)
        self._rates = RateMeter()
        self.sizes = SizesSeen()

    def review(self, spec: JobSpec) -> Refusal | None:
        """Return why a job is turned away, None if it is admitted."""
        ledger = self._ledger
        queue = ledger.config.queues_by_name.get(spec.queue, spec.terms)
        customer = ledger.config.customers_by_name.get(spec.customer)
        if not self.sizes.has_workers(queue.pool):
            return None
        detail = why_it_never_runs(spec, queue, customer, self.sizes)
        if detail is not None:
            return Refusal(RefusalReason.NEVER_RUNS, detail)
        if customer is None:
            return None
        over_rate = self._is_over_rate(customer)
        priorities = {each.priority for each in ledger.config.queues_by_name.values()}
        urgency = sum(each < queue.priority for each in priorities)
        if spec.occurrences or not (over_rate or urgency):
            return None
        return self._review_backlog(spec, queue, customer, over_rate, urgency)

    def _is_over_rate(self, customer: Customer) -> bool:
        """Return whether a job is beyond the rate for both the ranking and longer."""
        now = self._ledger.clock.now()
        name, rate = customer.name, customer.weight
        lasting = self._lasting_rates.exceeds(name, rate, now)
        return self._rates.exceeds(name, rate, now) and lasting

    def _review_backlog(
        self,
        spec: JobSpec,
        queue: Queue,
        customer: Customer,
        over_rate: bool,
        urgency: int,
    ) -> Refusal | None:
        now = self._ledger.clock.now()
        expected_s = objective_s(spec, queue)
        own = WaitingWork(
            over_rate,
            queue.priority,
            True,
            now + expected_s,
            critical_path_ms(spec) / 1000,
            (0.0, 0.0, 0.0),
        )
        self._refresh(now)
        work = self._work_by_customer.get(customer.name, [])
        before = [each for each in work if each.precedes(own)]
        wait_s = least_time_s(before, customer.limit) - (now - self._computed_at)
        useful_s = LATE_FACTOR * (
            expected_s
            + queue.stretch * (MAX_RUN_TIME_RATIO - 1) * critical_path_ms(spec) / 1000
        )
        if wait_s <= useful_s:
            return None
        return Refusal(
            RefusalReason.BACKLOG,
            f"what the customer has waiting needs {wait_s:.1f} s at its limit, and the "
            f"job is of no use after {useful_s:.1f} s",
            retry_after_s(wait_s - useful_s, urgency, spec.job_id),
        )

    def _refresh(self, now: float) -> None:
        """Find out the work of the customers, unless that was done a short time ago."""
        jobs = self._ledger.jobs_by_id
        max_age_s = MAX_WORK_AGE_S * max(1.0, len(jobs) / JOBS_PER_WORK_AGE)
        if now >= self._computed_at + max_age_s:
            self._computed_at = now
            self._work_by_customer = work_by_customer(jobs.values(), now)
