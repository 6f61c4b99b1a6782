"""Choose what starts where. Pure: reads and charges the ledger, does no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from briarrun_cell.advice_candidates import (
    MAX_WORKERS,
    ApprovalRates,
    choose_candidates,
)
from briarrun_cell.fitting import (
    fit,
    fits_when_empty,
    largest_free,
    resources_per_task,
    task_capacity,
)
from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.ranking import FairShares, Rank, rank
from briarrun_cell.workers import Run, Worker
from briarrun_core.resources import NOTHING, Resources

HEADROOM_FRACTION = 0.125
"""Part of a headroom worker's capacity that only the most urgent queue may use."""

HEADROOM_EVERY = 2
"""Every so many workers one keeps headroom for the most urgent queue."""

TICKET_MARGIN_S = 0.25
"""A ticket that expires within this time is renewed before it is used."""

RESERVING_GANGS = 2
"""Gangs at the head of the order for which less urgent work leaves room."""

RESERVATION_S = 6.0
"""Time for which a gang keeps less urgent work from its workers; without a bound, one
gang that finds no room would stop all work behind it."""

FRESH_GANGS = 3
"""Waiting gangs at the head of the order whose tickets are kept fresh."""

FRESH_STEPS = 8
"""Other waiting steps at the head of the order whose tickets are kept fresh, so that
room that becomes free is used without a call to the advice service."""

MAX_BLOCKED_STEPS = 80
"""Steps that found no room after which a round of planning ends."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold charged runs of one step."""

    step: Step
    runs: tuple[Run, ...]


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask the advice service which of the workers may run a step."""

    step: Step
    workers: tuple[Worker, ...]
    rank: Rank


@dataclass(slots=True)
class Plan:
    """Hold the decisions of one round."""

    placements: list[Placement] = field(default_factory=list)
    advice_requests: list[AdviceRequest] = field(default_factory=list)


@dataclass(slots=True)
class _Round:
    now: float
    usable: list[Worker]
    urgent_priority: int
    largest: Resources
    pools: dict[tuple[str, str], list[Worker]] = field(default_factory=dict)
    reserved: set[str] = field(default_factory=set)
    reserving: int = 0
    blocked: int = 0
    fresh_gangs: int = 0
    fresh_steps: int = 0


class Planner:
    """Place waiting steps in order of their rank."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self.rates = ApprovalRates()

    def plan(self) -> Plan:
        """Return what starts now and which advice is needed; charges the runs."""
        ledger = self._ledger
        now = ledger.clock.now()
        usable = [w for w in ledger.workers_by_id.values() if w.usable(now)]
        priorities = [q.priority for q in ledger.config.queues_by_name.values()]
        round_ = _Round(now, usable, min(priorities, default=0), largest_free(usable))
        plan = Plan()
        for order, step in self._waiting(now, usable):
            if round_.blocked >= MAX_BLOCKED_STEPS:
                break
            self._consider(step, order, round_, plan)
        return plan

    def _waiting(self, now: float, usable: list[Worker]) -> list[tuple[Rank, Step]]:
        ledger = self._ledger
        total = NOTHING
        for worker in usable:
            total = total + worker.entry.capacity
        shares = FairShares.measure(ledger.config, ledger.usage_by_customer, total)
        wall_ms = ledger.clock.wall_ms()
        waiting = [
            (rank(step, shares, now), step)
            for job in ledger.jobs_by_id.values()
            if not job.final
            for step in job.ready_steps(wall_ms)
            if ledger.startable(step)
        ]
        waiting.sort(key=lambda each: (each[0], each[1].step_id))
        return waiting

    def _consider(self, step: Step, order: Rank, round_: _Round, plan: Plan) -> None:
        pool = _pool_of(step, round_)
        advised = step.job.queue.advice is not None
        approved = ready = pool
        if advised:
            self._ask_about_new(step, order, pool, round_, plan)
            if not step.advice.known:
                return
            approved = [
                w for w in pool if w.incarnation_id in step.advice.tickets_by_worker
            ]
            ready = [w for w in approved if self._fresh(step, w, round_.now)]
        lesser = step.job.queue.priority > round_.urgent_priority
        if lesser and round_.reserved:
            ready = [w for w in ready if w.worker_id not in round_.reserved]
        chosen = self._choose(step, ready, round_)
        if chosen:
            step.blocked_since = None
            if step.spec.gang:
                runs = self._ledger.place_gang(step, [worker for _, worker in chosen])
            else:
                runs = [self._ledger.place(step, index, w) for index, w in chosen]
            plan.placements.append(Placement(step, tuple(runs)))
        else:
            self._note_blocked(step, approved, lesser, round_)
        if advised and step.startable:
            self._renew(step, order, approved, round_, plan)

    # Advice

    def _ask_about_new(
        self, step: Step, order: Rank, pool: list[Worker], round_: _Round, plan: Plan
    ) -> None:
        """Ask about workers for the first time; about further ones if it is blocked."""
        advice = step.advice
        if advice.asking or round_.now < advice.retry_at:
            return
        if advice.known and step.blocked_since is None:
            return
        unknown = [w for w in pool if w.incarnation_id not in advice.asked]
        if advice.known and not step.spec.gang:
            unknown = [w for w in unknown if task_capacity(step, w.free())]
        if unknown:
            asked = choose_candidates(step, unknown, self.rates)
            plan.advice_requests.append(AdviceRequest(step, asked, order))
            advice.asking = True

    def _fresh(self, step: Step, worker: Worker, now: float) -> bool:
        ticket = step.advice.tickets_by_worker.get(worker.incarnation_id)
        return ticket is not None and now + TICKET_MARGIN_S <= ticket.expires_at

    def _renew(
        self,
        step: Step,
        order: Rank,
        approved: list[Worker],
        round_: _Round,
        plan: Plan,
    ) -> None:
        """Renew the tickets of a waiting step.

        Answers the load in which wide steps wait for room: their tickets are renewed
        together, before room becomes free for the steps at the head of the order, and
        otherwise once a ticket is all that is missing.
        """
        advice, terms = step.advice, step.job.queue.advice
        if terms is None or advice.asking or round_.now < advice.retry_at:
            return
        soon = round_.now + terms.call_s(len(approved)) + TICKET_MARGIN_S
        stale = [
            w
            for w in approved
            if advice.tickets_by_worker[w.incarnation_id].expires_at < soon
        ]
        if not stale:
            return
        if not self._stays_fresh(step, round_) and not any(
            task_capacity(step, w.free()) and not self._fresh(step, w, round_.now)
            for w in stale
        ):
            return
        roomiest = sorted(approved, key=lambda w: -task_capacity(step, w.free()))
        asked = tuple(roomiest[:MAX_WORKERS])
        plan.advice_requests.append(AdviceRequest(step, asked, order))
        advice.asking = True

    def _stays_fresh(self, step: Step, round_: _Round) -> bool:
        """Tell whether a step is near enough to the head of the order."""
        if self._allowance(step) < 1:
            return False
        if step.spec.gang:
            round_.fresh_gangs += 1
            return round_.fresh_gangs <= FRESH_GANGS
        round_.fresh_steps += 1
        return round_.fresh_steps <= FRESH_STEPS

    # Room

    def _room(self, worker: Worker, urgent: bool) -> Resources:
        free = worker.free()
        if not urgent and hash_of(worker) % HEADROOM_EVERY == 0:
            kept = int(worker.entry.capacity.cores * HEADROOM_FRACTION)
            free = free - Resources(cores=kept)
        return free

    def _allowance(self, step: Step) -> int:
        """Return how many tasks of the step the customer's limit still admits."""
        name = step.job.spec.customer
        customer = self._ledger.config.customers_by_name.get(name)
        count = len(step.pending)
        if customer is None:
            return count
        used = self._ledger.usage_by_customer.get(name, NOTHING)
        need, limit = step.spec.need, customer.limit
        for amount, bound, taken in (
            (need.cores, limit.cores, used.cores),
            (need.memory_mib, limit.memory_mib, used.memory_mib),
            (need.accelerators, limit.accelerators, used.accelerators),
        ):
            if amount and bound:
                count = min(count, max(0, (bound - taken) // amount))
        return count

    def _choose(
        self, step: Step, allowed: list[Worker], round_: _Round
    ) -> list[tuple[int, Worker]]:
        """Return a worker for each task that can start; all or none of a gang."""
        if not resources_per_task(step).fits_in(round_.largest):
            return []
        indexes = self._ledger.startable(step)[: self._allowance(step)]
        if step.spec.gang and len(indexes) < step.spec.count:
            return []
        if step.spec.same_rack:
            for rack in sorted({worker.entry.rack for worker in allowed}):
                inside = [w for w in allowed if w.entry.rack == rack]
                chosen = self._fit(step, indexes, inside, round_)
                if len(chosen) == len(indexes):
                    return chosen
        chosen = self._fit(step, indexes, allowed, round_)
        if not chosen:
            round_.largest = largest_free(round_.usable)
        if step.spec.gang and len(chosen) < step.spec.count:
            return []
        return chosen

    def _fit(
        self,
        step: Step,
        indexes: list[int],
        allowed: Iterable[Worker],
        round_: _Round,
    ) -> list[tuple[int, Worker]]:
        urgent = step.job.queue.priority <= round_.urgent_priority
        return fit(step, indexes, {w: self._room(w, urgent) for w in allowed})

    def _note_blocked(
        self, step: Step, approved: list[Worker], lesser: bool, round_: _Round
    ) -> None:
        """Keep room for the gangs that wait at the head of the order."""
        round_.blocked += 1
        if step.blocked_since is None:
            step.blocked_since = round_.now
        if not step.spec.gang or self._allowance(step) < step.spec.count:
            return
        if not fits_when_empty(step, approved):
            return
        waited_s = round_.now - step.blocked_since
        patient = waited_s <= RESERVATION_S
        if lesser and patient and round_.reserving < RESERVING_GANGS:
            round_.reserving += 1
            round_.reserved.update(w.worker_id for w in approved)


def _pool_of(step: Step, round_: _Round) -> list[Worker]:
    """Return the usable workers of the step's pool that have its label."""
    key = (step.job.queue.pool, step.spec.required_label)
    pool = round_.pools.get(key)
    if pool is None:
        pool = round_.pools[key] = [
            worker
            for worker in round_.usable
            if worker.entry.pool == key[0]
            and (not key[1] or key[1] in worker.entry.labels)
        ]
    return pool


def hash_of(worker: Worker) -> int:
    """Return a number that is the same for a worker in every process."""
    return sum(worker.worker_id.encode())
