"""Check that no job waits while capacity that it could use is idle.

It uses what is true in the emulated cell: runs on workers, ends, approvals. Beliefs of
the planner, such as quarantine, tickets, reservations or headroom, are only reported.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarrun_cell.decisions.customer_shares import CustomerShares
from briarrun_cell.decisions.ranking import Demand, Rank, ShareOrder
from briarrun_cell.jobs import Step
from briarrun_cell.model import JobSpec, StepId, StepSpec, TaskId
from briarrun_core.resources import NOTHING, Resources
from tools.emulator.cell.fleet import FakeWorker
from tools.emulator.cell.workload import tasks_in

if TYPE_CHECKING:
    from tools.emulator.cell.holder_replay import HolderReplay

MAX_IDLE_S = 3.0
"""Time for which a step may wait beside idle capacity."""

MAX_USED_FRACTION = 0.5
"""Fraction of the pool, and of a customer's limit, that is in use in a busy cell."""

SPARE_FACTOR = 2
"""Multiple of a task, or of all tasks of a gang, that idle workers must have room for."""

RECOVERY_S = 2.5
"""Time after an outage of the holder, of advice or of a worker in which what was under way
is settled: a stop order is repeated, and a poll that began before it may take a second."""


@dataclass(frozen=True, slots=True)
class WaitDetails:
    """What the holder believes about a waiting step; counts of workers or steps.

    ``approved`` counts the idle approved workers that have room; of these, ``usable``
    those that answer the holder, ``quarantined`` those that it uses last, ``queried``
    those it has asked about, ``fresh`` those for which it has a valid ticket. ``reasons_before`` counts the steps that are ranked
    before it by the reason for which they wait.
    """

    reason: str
    rank: Rank
    steps_before: int
    gangs_before: int
    approved: int
    usable: int
    quarantined: int
    queried: int
    fresh: int
    advice_in_flight: bool
    reasons_before: dict[str, int]


@dataclass(slots=True)
class Violation:
    """Step that was not started for ``lasted_s`` although it could have been."""

    step: StepId
    queue: str
    customer: str
    count: int
    gang: bool
    at_s: float
    lasted_s: float
    used_fraction: float
    after_traffic: bool
    details: WaitDetails | None


@dataclass(slots=True)
class _Pool:
    """Sound workers with what they have free, and what is in use."""

    free_by_worker: dict[str, Resources]
    tasks_by_worker: dict[str, dict[StepId, int]]
    usage_by_customer: dict[str, Resources]
    running_jobs: set[str]
    used_fraction: float


class IdleOracle:
    """Notes since when each step waits beside idle capacity; call ``check`` often."""

    def __init__(self, replay: HolderReplay) -> None:
        self._replay = replay
        self._since_by_step: dict[StepId, float] = {}
        self._violations_by_step: dict[StepId, Violation] = {}
        self._impaired_at = float("-inf")
        self._unsound_at_by_worker: dict[str, float] = {}
        self._approved_by_step: dict[StepId, list[str]] = {}

    @property
    def violations(self) -> list[Violation]:
        """Violations so far, the earliest first."""
        return list(self._violations_by_step.values())

    def check(self) -> None:
        """Compare the emulated cell with the jobs that wait."""
        replay, now = self._replay, asyncio.get_running_loop().time()
        if replay.session is None or replay.advice.impaired:
            self._impaired_at = now
        pool = self._pool()
        idle: set[StepId] = set()
        calm = now - self._impaired_at > RECOVERY_S
        if calm and pool.used_fraction < MAX_USED_FRACTION:
            idle = {
                step_id
                for step_id, spec in self._due()
                if self._fits(step_id, spec, pool)
            }
        self._since_by_step = {
            step_id: self._since_by_step.get(step_id, now) for step_id in sorted(idle)
        }
        for step_id, since in self._since_by_step.items():
            if now - since >= MAX_IDLE_S:
                self._note(step_id, now - since, pool, now)

    def _pool(self) -> _Pool:
        pool = _Pool({}, {}, {}, set(), 0.0)
        used, total = NOTHING, NOTHING
        specs = self._replay.fleet.specs_by_id
        for worker in self._replay.fleet.workers_by_address.values():
            if worker.dead:
                continue
            in_use = NOTHING
            tasks: dict[StepId, int] = {}
            for run in worker.runs_by_id.values():
                in_use = in_use + run.need
                customer = specs[run.task.job_id].customer
                usage = pool.usage_by_customer.get(customer, NOTHING)
                pool.usage_by_customer[customer] = usage + run.need
                pool.running_jobs.add(run.task.job_id)
                tasks[run.task.step_id] = tasks.get(run.task.step_id, 0) + 1
            used, total = used + in_use, total + worker.entry.capacity
            worker_id = worker.entry.worker_id
            if not _is_sound(worker):
                self._unsound_at_by_worker[worker_id] = (
                    asyncio.get_running_loop().time()
                )
            else:
                pool.free_by_worker[worker_id] = worker.entry.capacity - in_use
                pool.tasks_by_worker[worker_id] = tasks
        pool.used_fraction = used.dominant_fraction(total)
        return pool

    def _due(self) -> Iterable[tuple[StepId, JobSpec]]:
        """Return the first step that is not done of each job that is not final.

        Its turn has come once the ends of the step before it are taken note of.
        """
        fleet = self._replay.fleet
        for job_id, entry in self._replay.table.by_id.items():
            if entry.final or entry.spec is None:
                continue
            noted = True
            for number, step in enumerate(entry.spec.steps):
                step_id = StepId(job_id, 0, number)
                if not _is_done(step_id, step, fleet.done):
                    if noted:
                        yield step_id, entry.spec
                    break
                noted = _is_done(step_id, step, fleet.done_noted)

    def _fits(self, step_id: StepId, spec: JobSpec, pool: _Pool) -> bool:
        if step_id.job_id in pool.running_jobs:
            return False
        lapses_at = self._replay.lost_runs_until_by_job.get(step_id.job_id, 0.0)
        if asyncio.get_running_loop().time() < lapses_at or self._is_unsettled(step_id):
            return False
        step = spec.steps[step_id.step]
        count = step.count if step.gang else 1
        customer = self._replay.customers_by_name[spec.customer].customer()
        used = pool.usage_by_customer.get(spec.customer, NOTHING)
        if used.dominant_fraction(customer.limit) >= MAX_USED_FRACTION:
            return False
        if not (used + step.need.scaled(count)).fits_in(customer.limit):
            return False
        found = 0
        for worker_id in self._approved(step_id):
            found += _task_capacity(step_id, step, worker_id, pool)
            if found >= SPARE_FACTOR * count:
                return True
        return False

    def _is_unsettled(self, step_id: StepId) -> bool:
        """Return whether all tasks have orders that unsound workers may carry out yet.

        They must not run twice, so they wait for the workers or for their leases.
        """
        session, now = self._replay.session, asyncio.get_running_loop().time()
        assert session is not None
        job = session.ledger.jobs_by_id.get(step_id.job_id)
        step = job.steps_by_id[step_id] if job is not None else None
        if step is None or step.startable:
            return False
        never = float("-inf")
        return any(
            now - self._unsound_at_by_worker.get(run.worker.worker_id, never)
            <= RECOVERY_S
            for run in step.runs()
        )

    def _approved(self, step_id: StepId) -> list[str]:
        approved = self._approved_by_step.get(step_id)
        if approved is None:
            ids = [
                each.entry.worker_id
                for each in self._replay.fleet.workers_by_address.values()
            ]
            approved = self._replay.advice.approved(step_id, ids)
            self._approved_by_step[step_id] = approved
        return approved

    def _note(self, step_id: StepId, lasted_s: float, pool: _Pool, now: float) -> None:
        known = self._violations_by_step.get(step_id)
        if known is not None:
            known.lasted_s = max(known.lasted_s, lasted_s)
            return
        spec = self._replay.fleet.specs_by_id[step_id.job_id]
        step = spec.steps[step_id.step]
        self._violations_by_step[step_id] = Violation(
            step_id,
            spec.queue,
            spec.customer,
            step.count,
            step.gang,
            now,
            lasted_s,
            pool.used_fraction,
            now >= self._replay.load.lasts_s,
            self._details(step_id, step, pool, now),
        )

    def _details(
        self, step_id: StepId, spec: StepSpec, pool: _Pool, now: float
    ) -> WaitDetails | None:
        session = self._replay.session
        assert session is not None
        ledger = session.ledger
        job = ledger.jobs_by_id.get(step_id.job_id)
        if job is None:
            return None
        step = job.steps_by_id[step_id]
        total = NOTHING
        for worker in ledger.workers_by_id.values():
            total = total + worker.entry.capacity
        waiting = [
            other
            for each in ledger.jobs_by_id.values()
            if not each.final
            for other in each.ready_steps(ledger.clock.wall_ms())
        ]
        order = ShareOrder()
        order.begin_round(
            Demand(
                now,
                ledger.config,
                ledger.usage_by_customer,
                total,
                waiting,
                ledger.run_time_ratios,
                CustomerShares(),
            )
        )
        own = order.rank(step)
        before = [
            other for other in waiting if other is not step and order.rank(other) < own
        ]
        idle = [
            ledger.workers_by_id[worker_id]
            for worker_id in self._approved(step_id)
            if worker_id in ledger.workers_by_id
            and _task_capacity(step_id, spec, worker_id, pool)
        ]
        ids = [each.incarnation_id for each in idle]
        tickets = step.advice.tickets_by_worker
        return WaitDetails(
            _reason(step),
            own,
            len(before),
            sum(each.spec.gang for each in before),
            len(idle),
            sum(each.takes_orders(now) for each in idle),
            sum(each.quarantined(now) for each in idle),
            sum(each in step.advice.queried for each in ids),
            sum(each in tickets and tickets[each].expires_at > now for each in ids),
            step.advice.request_in_flight,
            dict(Counter(_reason(each) for each in before)),
        )


def _reason(step: Step) -> str:
    if step.wait is not None:
        return str(step.wait.reason)
    return "active" if step.active else "none"


def _is_sound(worker: FakeWorker) -> bool:
    faults = worker.faults
    unsound = faults.cut or faults.fails_all or faults.hangs or faults.late_orders
    return not unsound and not worker.entry.draining


def _is_done(step_id: StepId, step: StepSpec, done: set[TaskId]) -> bool:
    if step.gang:
        return any(step_id.task(index) in done for index in range(step.count))
    return all(step_id.task(index) in done for index in range(step.count))


def _task_capacity(step_id: StepId, step: StepSpec, worker_id: str, pool: _Pool) -> int:
    """Return how many tasks of a step fit into what is free on a worker."""
    free = pool.free_by_worker.get(worker_id)
    if free is None:
        return 0
    fitting = min(step.count, tasks_in(free, step.need))
    if step.max_per_worker:
        held = pool.tasks_by_worker[worker_id].get(step_id, 0)
        fitting = min(fitting, step.max_per_worker - held)
    return max(0, fitting)
