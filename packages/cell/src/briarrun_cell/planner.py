"""Placement of waiting steps on workers. Charges the ledger, does no I/O."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
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
    roomiest,
    task_capacity,
    tasks_fit,
)
from briarrun_cell.headroom import UrgentHeadroom
from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ranking import FairShares, Rank, rank
from briarrun_cell.ticket_renewal import RenewalLimits
from briarrun_cell.waiting import WaitReason
from briarrun_cell.workers import Run, Worker, worst_in_quarantine
from briarrun_core.resources import NOTHING, Resources

TICKET_MARGIN_S = 0.25
"""Remaining validity below which a ticket is renewed before use."""

MAX_RESERVING_GANGS = 2
"""Maximum number of waiting gangs with reserved workers, by rank."""

MAX_RESERVATION_S = 6.0
"""Maximum time for which workers are reserved for a gang. Without a limit, a gang that
never fits would block all less urgent work."""

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

MAX_ADVICE_REQUESTS = 32
"""Maximum number of advice requests of one round. Choosing the candidates of a request
takes a millisecond on a large cell; after an outage hundreds of steps wait for one."""

MAX_YIELD_S = 1.0
"""Time for which a blocked step leaves the headroom and workers in quarantine alone, if
the pool is not scarce."""

SCARCE_FRACTION = 0.5
"""Fraction of a pool in use from which capacity is scarce. Below it callers may expect
that a job which could run does."""

WAIT_CHECK_INTERVAL_S = 0.5
"""Interval at which the reason is found out for which a step waits."""

_LOG = ComponentLog("holder")


@dataclass(frozen=True, slots=True)
class Placement:
    """Planned runs of one step, already charged in the ledger."""

    step: Step
    runs: tuple[Run, ...]


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Request to the advice service: which of the workers may run the step."""

    step: Step
    workers: tuple[Worker, ...]
    rank: Rank


@dataclass(slots=True)
class Plan:
    """Decisions of one planning round."""

    placements: list[Placement] = field(default_factory=list)
    advice_requests: list[AdviceRequest] = field(default_factory=list)


@dataclass(slots=True)
class _Round:
    now: float
    usable: list[Worker]
    quarantined: list[Worker]
    urgent_priority: int
    largest: Resources
    renewal_limits: RenewalLimits
    pools: dict[tuple[str, str], list[Worker]] = field(default_factory=dict)
    used_by_pool: dict[str, tuple[Resources, Resources]] = field(default_factory=dict)
    reserved: set[str] = field(default_factory=set)
    reserving: int = 0
    kept_by_worker: dict[Worker, Resources] = field(default_factory=dict)
    largest_is_exact: bool = True
    blocked: int = 0
    limited: int = 0
    gangs_kept_fresh: int = 0
    steps_kept_fresh: int = 0


class Planner:
    """Places waiting steps in the order of their rank.

    ``count_vms`` returns the number of VMs through which advice can be requested.
    """

    def __init__(self, ledger: Ledger, count_vms: Callable[[], int] = int) -> None:
        self._ledger = ledger
        self._count_vms = count_vms
        self._headroom = UrgentHeadroom()
        self._uncertain_usage_by_customer: dict[str, Resources] = {}
        self.rates = ApprovalRates()

    def plan(self) -> Plan:
        """Plan one round: charge the runs to start, and collect the advice requests."""
        ledger = self._ledger
        now = ledger.clock.now()
        alive = [w for w in ledger.workers_by_id.values() if w.takes_orders(now)]
        quarantined = worst_in_quarantine(alive, now)
        left_out = set(quarantined)
        usable = [w for w in alive if w not in left_out]
        priorities = [q.priority for q in ledger.config.queues_by_name.values()]
        round_ = _Round(
            now,
            usable,
            quarantined,
            min(priorities, default=0),
            largest_free(alive),
            RenewalLimits.for_vms(self._count_vms()),
        )
        self._uncertain_usage_by_customer = ledger.uncertain_usage_by_customer()
        plan = Plan()
        later = []
        for step_rank, step in self._waiting(now, usable):
            if not self._within_limit(step):
                self._pass_over_limited(step, step_rank, round_, plan)
            elif round_.blocked < MAX_BLOCKED_STEPS:
                self._try_plan_step(step, step_rank, round_, plan)
            else:
                later.append((step_rank, step))
        for step_rank, step in _next_in_turn(later, round_):
            self._try_plan_step(step, step_rank, round_, plan)
        return plan

    def _try_plan_step(
        self, step: Step, step_rank: Rank, round_: _Round, plan: Plan
    ) -> None:
        try:
            self._plan_step(step, step_rank, round_, plan)
        except Exception as error:  # One job must not stop the planning of others.
            _LOG.error(
                "could not plan a step",
                job=step.job.job_id,
                step=step.step_id.step,
                detail=repr(error),
            )

    def _pass_over_limited(
        self, step: Step, step_rank: Rank, round_: _Round, plan: Plan
    ) -> None:
        """Note the wait of a step whose customer is at its limit.

        The first of these ask for advice, so that they start when the limit admits them.
        """
        step.note_wait(WaitReason.CUSTOMER_LIMIT, round_.now)
        round_.limited += 1
        advised = step.job.queue.advice is not None
        if advised and not step.advice.answered and round_.limited <= MAX_BLOCKED_STEPS:
            self._request_advice(step, step_rank, _pool_of(step, round_), round_, plan)

    def _waiting(self, now: float, usable: list[Worker]) -> list[tuple[Rank, Step]]:
        ledger = self._ledger
        total = NOTHING
        for worker in usable:
            total = total + worker.entry.capacity
        shares = FairShares.measure(ledger.config, ledger.usage_by_customer, total)
        wall_ms = ledger.clock.wall_ms()
        ratios = ledger.run_time_ratios
        waiting = [
            (rank(step, shares, now, ratios.cautious(job.queue.name)), step)
            for job in ledger.jobs_by_id.values()
            if not job.final
            for step in job.ready_steps(wall_ms)
            if ledger.startable(step)
        ]
        waiting.sort(key=lambda each: (each[0], each[1].step_id))
        return waiting

    def _plan_step(
        self, step: Step, step_rank: Rank, round_: _Round, plan: Plan
    ) -> None:
        step.examined_at = round_.now
        step.advice.requested = step.advice.request_in_flight
        pool = _pool_of(step, round_)
        yields = self._yields(step, round_)
        if not yields:
            pool = pool + _in_pool(step, round_.quarantined)
        advised = step.job.queue.advice is not None
        approved = pool
        if advised:
            self._request_advice(step, step_rank, pool, round_, plan)
            if not step.advice.answered:
                step.note_wait(WaitReason.ADVICE, round_.now)
                return
            approved = [
                w for w in pool if w.incarnation_id in step.advice.tickets_by_worker
            ]
        need = resources_per_task(step)
        ready = [w for w in approved if need.fits_in(w.free())]
        if advised:
            ready = [w for w in ready if self._ticket_is_fresh(step, w, round_.now)]
        less_urgent = step.job.queue.priority > round_.urgent_priority
        sound = [w for w in ready if w not in round_.quarantined]
        if less_urgent and round_.reserved:
            sound = [w for w in sound if w.worker_id not in round_.reserved]
        chosen = self._choose_workers(step, sound, round_, headroom=less_urgent)
        if not chosen and not yields:
            chosen = self._choose_workers(step, sound, round_, headroom=False)
        if not chosen and len(sound) < len(ready) and _may_try_quarantined(step):
            unreserved = [w for w in ready if w.worker_id not in round_.reserved]
            chosen = self._choose_workers(step, unreserved, round_, headroom=False)
        if chosen:
            round_.largest_is_exact = False
            step.blocked_since = step.wait = None
            if not less_urgent:
                self._headroom.note_task(step.spec.need)
            if step.spec.gang:
                runs = self._ledger.place_gang(step, [worker for _, worker in chosen])
            else:
                runs = [self._ledger.place(step, index, w) for index, w in chosen]
            plan.placements.append(Placement(step, tuple(runs)))
        else:
            self._mark_blocked(step, approved, less_urgent, round_)
            self._note_wait(step, approved, round_)
        if advised and step.startable:
            self._renew_tickets(step, step_rank, approved, round_, plan)

    def _yields(self, step: Step, round_: _Round) -> bool:
        """Return whether the step leaves free capacity to others.

        Load pattern: a few jobs in a cell that is mostly idle, each approved for a few
        workers only, and these are kept from it. While capacity is scarce that makes
        way for others; otherwise the job would wait for nothing.
        """
        if step.blocked_since is None or round_.now < step.blocked_since + MAX_YIELD_S:
            return True
        if step.wait is not None and step.wait.reason is WaitReason.WORKERS:
            return False
        return self._is_scarce(step, round_)

    def _is_scarce(self, step: Step, round_: _Round) -> bool:
        """Return whether much of a resource that the step needs is in use."""
        pool, need = step.job.queue.pool, step.spec.need
        amounts = round_.used_by_pool.get(pool)
        if amounts is None:
            used = total = NOTHING
            for worker in (*round_.usable, *round_.quarantined):
                if worker.entry.pool == pool:
                    used = used + worker.used
                    total = total + worker.entry.capacity
            amounts = round_.used_by_pool[pool] = (used, total)
        used, total = amounts
        return any(
            amount and taken >= SCARCE_FRACTION * available
            for amount, taken, available in (
                (need.cores, used.cores, total.cores),
                (need.memory_mib, used.memory_mib, total.memory_mib),
                (need.accelerators, used.accelerators, total.accelerators),
            )
        )

    def _note_wait(self, step: Step, approved: list[Worker], round_: _Round) -> None:
        """Record why the step was not placed; it is not found out in every round."""
        checked_at = step.wait.checked_at if step.wait else float("-inf")
        if round_.now >= checked_at + WAIT_CHECK_INTERVAL_S:
            step.note_wait(self._wait_reason(step, approved, round_), round_.now)

    def _wait_reason(
        self, step: Step, approved: list[Worker], round_: _Round
    ) -> WaitReason:
        """Return the first of the conditions for a placement that is not met."""
        if not self._within_limit(step):
            return WaitReason.CUSTOMER_LIMIT
        count = step.spec.count if step.spec.gang else 1
        if not tasks_fit(step, count, (w.entry.capacity for w in approved)):
            return self._lack_of_workers(step, count)
        if not tasks_fit(step, count, (w.free() for w in approved)):
            return self._lack_of_capacity(step, count, approved, round_)
        headroom = step.job.queue.priority > round_.urgent_priority
        available = {w: self._available(w, round_, headroom=headroom) for w in approved}
        if not tasks_fit(step, count, available.values()):
            return WaitReason.HEADROOM
        if step.job.queue.advice is not None:
            fresh = [
                free
                for worker, free in available.items()
                if self._ticket_is_fresh(step, worker, round_.now)
            ]
            if not tasks_fit(step, count, fresh):
                return WaitReason.TICKETS
        # The only other conditions are a reservation, and the number of tasks of the
        # step that a worker may hold.
        return WaitReason.RESERVATION if round_.reserved else WaitReason.CAPACITY

    def _lack_of_capacity(
        self, step: Step, count: int, approved: list[Worker], round_: _Round
    ) -> WaitReason:
        """Return why the approved workers have too little free capacity."""
        quarantined = _in_pool(step, round_.quarantined)
        if step.job.queue.advice is not None:
            tickets = step.advice.tickets_by_worker
            quarantined = [w for w in quarantined if w.incarnation_id in tickets]
        free = [worker.free() for worker in {*approved, *quarantined}]
        if tasks_fit(step, count, free):
            return WaitReason.QUARANTINE
        return WaitReason.CAPACITY

    def _lack_of_workers(self, step: Step, count: int) -> WaitReason:
        """Return why the usable and approved workers are not enough for the step."""
        pool = _in_pool(step, self._ledger.workers_by_id.values())
        if step.job.queue.advice is not None:
            if any(w.incarnation_id not in step.advice.queried for w in pool):
                return WaitReason.ADVICE
            tickets = step.advice.tickets_by_worker
            pool = [w for w in pool if w.incarnation_id in tickets]
            if not pool:
                return WaitReason.NOT_APPROVED
        if tasks_fit(step, count, (w.entry.capacity for w in pool)):
            return WaitReason.WORKERS
        return WaitReason.SIZE

    # Advice

    def _request_advice(
        self,
        step: Step,
        step_rank: Rank,
        pool: list[Worker],
        round_: _Round,
        plan: Plan,
    ) -> None:
        """Request advice for the step, and for further workers while it is blocked."""
        advice = step.advice
        if advice.request_in_flight or round_.now < advice.retry_at:
            return
        if advice.answered and step.blocked_since is None:
            return
        if len(plan.advice_requests) >= MAX_ADVICE_REQUESTS:
            return
        unqueried = _unqueried(step, pool)
        if not unqueried:
            # Approval lasts longer than a quarantine.
            unqueried = _unqueried(step, _in_pool(step, round_.quarantined))
        if unqueried:
            candidates = choose_candidates(step, unqueried, self.rates)
            plan.advice_requests.append(AdviceRequest(step, candidates, step_rank))
            advice.request_in_flight = advice.requested = True

    def _ticket_is_fresh(self, step: Step, worker: Worker, now: float) -> bool:
        ticket = step.advice.tickets_by_worker.get(worker.incarnation_id)
        return ticket is not None and now + TICKET_MARGIN_S <= ticket.expires_at

    def _renew_tickets(
        self,
        step: Step,
        step_rank: Rank,
        approved: list[Worker],
        round_: _Round,
        plan: Plan,
    ) -> None:
        """Renew the tickets of a waiting step in a single request.

        For the first waiting steps, tickets are renewed before capacity becomes free.
        For other steps they are renewed once a worker has capacity and only its ticket
        is missing. Otherwise, steps with many tasks would leave capacity idle while
        their tickets are renewed one at a time.
        """
        advice, terms = step.advice, step.job.queue.advice
        if terms is None or advice.request_in_flight or round_.now < advice.retry_at:
            return
        soon = round_.now + terms.call_s(len(approved)) + TICKET_MARGIN_S
        if not self._within_limit(step):
            return
        stale = [
            w
            for w in approved
            if advice.tickets_by_worker[w.incarnation_id].expires_at < soon
        ]
        if not stale:
            return
        if not self._keeps_tickets_fresh(step, round_) and not any(
            task_capacity(step, w.free())
            and not self._ticket_is_fresh(step, w, round_.now)
            for w in stale
        ):
            return
        by_room = sorted(approved, key=lambda w: -task_capacity(step, w.free()))
        candidates = tuple(by_room[:MAX_WORKERS])
        plan.advice_requests.append(AdviceRequest(step, candidates, step_rank))
        advice.request_in_flight = advice.requested = True

    def _keeps_tickets_fresh(self, step: Step, round_: _Round) -> bool:
        """Return whether the tickets of the step are to be renewed in advance."""
        if step.spec.gang:
            round_.gangs_kept_fresh += 1
            return round_.gangs_kept_fresh <= round_.renewal_limits.gangs
        round_.steps_kept_fresh += 1
        return round_.steps_kept_fresh <= round_.renewal_limits.steps

    # Capacity

    def _available(
        self, worker: Worker, round_: _Round, *, headroom: bool
    ) -> Resources:
        """Return the free resources, without the headroom if that is to be left."""
        if not headroom:
            return worker.free()
        kept = round_.kept_by_worker.get(worker)
        if kept is None:
            kept = round_.kept_by_worker[worker] = self._headroom.kept_on(worker)
        return worker.free() - kept

    def _tasks_within_limit(self, step: Step) -> int:
        """Return how many pending tasks the customer's limit allows to start."""
        name = step.job.spec.customer
        customer = self._ledger.config.customers_by_name.get(name)
        count = len(step.pending)
        if customer is None:
            return count
        used = self._ledger.usage_by_customer.get(name, NOTHING)
        used = used + self._uncertain_usage_by_customer.get(name, NOTHING)
        need, limit = step.spec.need, customer.limit
        for amount, bound, taken in (
            (need.cores, limit.cores, used.cores),
            (need.memory_mib, limit.memory_mib, used.memory_mib),
            (need.accelerators, limit.accelerators, used.accelerators),
        ):
            if amount and bound:
                count = min(count, max(0, (bound - taken) // amount))
        return count

    def _within_limit(self, step: Step) -> bool:
        """Return whether the customer's limit allows a start: of a gang, all tasks."""
        wanted = step.spec.count if step.spec.gang else 1
        return self._tasks_within_limit(step) >= wanted

    def _choose_workers(
        self, step: Step, allowed: list[Worker], round_: _Round, *, headroom: bool
    ) -> list[tuple[int, Worker]]:
        """Return a worker for each task to start; for a gang, all or none."""
        if not resources_per_task(step).fits_in(round_.largest):
            return []
        indexes = self._ledger.startable(step)[: self._tasks_within_limit(step)]
        if step.spec.gang and len(indexes) < step.spec.count:
            return []
        if step.spec.same_rack:
            for rack in sorted({worker.entry.rack for worker in allowed}):
                inside = [w for w in allowed if w.entry.rack == rack]
                chosen = self._fit(step, indexes, inside, round_, headroom=headroom)
                if len(chosen) == len(indexes):
                    return chosen
        chosen = self._fit(step, indexes, allowed, round_, headroom=headroom)
        if not chosen and not round_.largest_is_exact:
            round_.largest = largest_free([*round_.usable, *round_.quarantined])
            round_.largest_is_exact = True
        if step.spec.gang and len(chosen) < step.spec.count:
            return []
        return chosen

    def _fit(
        self,
        step: Step,
        indexes: list[int],
        allowed: Iterable[Worker],
        round_: _Round,
        *,
        headroom: bool,
    ) -> list[tuple[int, Worker]]:
        return fit(
            step,
            indexes,
            {w: self._available(w, round_, headroom=headroom) for w in allowed},
        )

    def _mark_blocked(
        self, step: Step, approved: list[Worker], less_urgent: bool, round_: _Round
    ) -> None:
        """Record that the step has no placement; reserve workers for the first gangs."""
        round_.blocked += 1
        if step.blocked_since is None:
            step.blocked_since = round_.now
        if not step.spec.gang or self._tasks_within_limit(step) < step.spec.count:
            return
        if not fits_when_empty(step, approved):
            return
        waited_s = round_.now - step.blocked_since
        may_reserve = waited_s <= MAX_RESERVATION_S
        if less_urgent and may_reserve and round_.reserving < MAX_RESERVING_GANGS:
            round_.reserving += 1
            reserved = self._workers_to_reserve(step, approved, round_)
            round_.reserved.update(w.worker_id for w in reserved)

    def _workers_to_reserve(
        self, step: Step, approved: list[Worker], round_: _Round
    ) -> Iterable[Worker]:
        """Return the workers to reserve for a gang that is blocked.

        A gang that only lacks tickets needs no more workers than it will occupy. If it
        lacks capacity, it can be placed soonest if nobody else starts on any of them;
        while capacity is not scarce, the ones with the most free capacity are enough.
        """
        unreserved = [w for w in approved if w.worker_id not in round_.reserved]
        indexes = self._ledger.startable(step)
        chosen = self._fit(step, indexes, unreserved, round_, headroom=True)
        if len(chosen) == step.spec.count:
            return {worker for _, worker in chosen}
        if self._is_scarce(step, round_):
            return approved
        return roomiest(step, unreserved)


def _may_try_quarantined(step: Step) -> bool:
    """Return whether a step that no longer yields may use a worker in quarantine.

    If sound workers could hold it, it waits for these once one of its tasks has failed.
    """
    only_these = step.wait is not None and step.wait.reason is WaitReason.WORKERS
    return only_these or not step.failed_on


def _unqueried(step: Step, workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers to ask the advice service about, beside those asked before.

    Once some workers are approved, tasks that are no gang need only those with capacity.
    """
    advice = step.advice
    unqueried = [w for w in workers if w.incarnation_id not in advice.queried]
    if advice.answered and not step.spec.gang:
        unqueried = [w for w in unqueried if task_capacity(step, w.free())]
    return unqueried


def _next_in_turn(
    later: list[tuple[Rank, Step]], round_: _Round
) -> list[tuple[Rank, Step]]:
    """Return the steps after the first blocked ones that this round looks at, by rank.

    These are the ones whose last look is the longest ago, of those that can be placed or
    have to be asked about. An answer is used at once, since its tickets expire.
    """
    due = []
    for number, (_, step) in enumerate(later):
        unasked = step.job.queue.advice is not None and not step.advice.answered
        if unasked and step.advice.request_in_flight:
            step.note_wait(WaitReason.ADVICE, round_.now)
        elif unasked or resources_per_task(step).fits_in(round_.largest):
            if step.wait is None:
                step.note_wait(WaitReason.TURN, round_.now)
            answered = step.advice.requested and not step.advice.request_in_flight
            due.append((float("-inf") if answered else step.examined_at, number))
        else:
            step.note_wait(WaitReason.CAPACITY, round_.now)
    count = max(MIN_STEPS_IN_TURN, math.ceil(len(due) / MAX_ROUNDS_BETWEEN_TURNS))
    chosen = heapq.nsmallest(count, due)
    return [later[number] for number in sorted(number for _, number in chosen)]


def _pool_of(step: Step, round_: _Round) -> list[Worker]:
    """Return the usable workers in the pool of the step with the required label."""
    key = (step.job.queue.pool, step.spec.required_label)
    pool = round_.pools.get(key)
    if pool is None:
        pool = round_.pools[key] = _in_pool(step, round_.usable)
    return pool


def _in_pool(step: Step, workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers in the pool of the step with the required label."""
    pool, label = step.job.queue.pool, step.spec.required_label
    return [
        worker
        for worker in workers
        if worker.entry.pool == pool and (not label or label in worker.entry.labels)
    ]
