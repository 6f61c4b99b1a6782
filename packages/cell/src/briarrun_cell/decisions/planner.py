"""Placement of waiting steps on workers. Charges the ledger, does no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from briarrun_cell.decisions.advice_candidates import (
    MAX_WORKERS,
    ApprovalRates,
    choose_candidates,
)
from briarrun_cell.decisions.customer_limits import CustomerLimits
from briarrun_cell.decisions.fitting import (
    fit,
    fits_when_empty,
    resources_per_task,
    roomiest,
    task_capacity,
)
from briarrun_cell.decisions.headroom import UrgentHeadroom
from briarrun_cell.decisions.planning_round import (
    TICKET_MARGIN_S,
    PlanningRound,
    approved_for,
)
from briarrun_cell.decisions.ranking import Demand, Rank, ShareOrder, StepOrder
from briarrun_cell.decisions.ticket_renewal import RenewalLimits
from briarrun_cell.decisions.turns import MAX_BLOCKED_STEPS, next_in_turn
from briarrun_cell.decisions.wait_reasons import (
    find_wait_reason,
    reason_without_advice,
)
from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.workers import Run, Worker, worst_in_quarantine
from briarrun_core.resources import NOTHING, Resources

MAX_RESERVING_GANGS = 2
"""Maximum number of waiting gangs with reserved workers, by rank."""

MAX_RESERVATION_S = 6.0
"""Maximum time for which workers are reserved for a gang. Without a limit, a gang that
never fits would block all less urgent work."""

MAX_ADVICE_REQUESTS = 32
"""Maximum number of advice requests of one round. Choosing the candidates of a request
takes a millisecond on a large cell; after an outage hundreds of steps wait for one."""

MAX_YIELD_S = 1.0
"""Time for which a blocked step leaves the headroom and workers in quarantine alone, if
the pool is not scarce."""

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

    def request_advice(
        self, step: Step, workers: tuple[Worker, ...], step_rank: Rank
    ) -> None:
        """Add a request about some workers; the step makes no other until it ends."""
        self.advice_requests.append(AdviceRequest(step, workers, step_rank))
        step.advice.request_in_flight = step.advice.requested = True


class Planner:
    """Places waiting steps in the order of their rank.

    ``count_vms`` returns the number of VMs through which advice can be requested.
    """

    def __init__(
        self,
        ledger: Ledger,
        count_vms: Callable[[], int] = int,
        order: StepOrder | None = None,
    ) -> None:
        self._ledger = ledger
        self.order = order or ShareOrder()
        self._count_vms = count_vms
        self._headroom = UrgentHeadroom()
        self._limits = CustomerLimits(ledger)
        self.rates = ApprovalRates()

    def kept_on(self, worker: Worker) -> Resources:
        """Return the resources of a worker that less urgent tasks leave free."""
        return self._headroom.kept_on(worker)

    def plan(self) -> Plan:
        """Plan one round: charge the runs to start, and collect the advice requests."""
        ledger = self._ledger
        now = ledger.clock.now()
        alive: list[Worker] = []
        evacuated: list[Worker] = []
        for worker in ledger.workers_by_id.values():
            if worker.takes_orders(now):
                left = ledger.is_evacuated(worker)
                (evacuated if left else alive).append(worker)
        quarantined = worst_in_quarantine(alive, now)
        left_out = set(quarantined)
        usable = [w for w in alive if w not in left_out]
        priorities = [q.priority for q in ledger.config.queues_by_name.values()]
        round_ = PlanningRound(
            now,
            usable,
            quarantined,
            min(priorities, default=0),
            self._headroom,
            RenewalLimits.for_vms(self._count_vms()),
            evacuated,
        )
        self._limits.refresh()
        plan = Plan()
        later = []
        for step_rank, step in self._waiting(now, usable):
            if not self._limits.admit(step):
                self._pass_over_limited(step, step_rank, round_, plan)
            elif round_.blocked < MAX_BLOCKED_STEPS:
                self._try_plan_step(step, step_rank, round_, plan)
            else:
                later.append((step_rank, step))
            if step.startable:
                self._limits.hold_for(step, now)
        for step_rank, step in next_in_turn(later, round_.largest, now):
            self._try_plan_step(step, step_rank, round_, plan)
        return plan

    def _try_plan_step(
        self, step: Step, step_rank: Rank, round_: PlanningRound, plan: Plan
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
        self, step: Step, step_rank: Rank, round_: PlanningRound, plan: Plan
    ) -> None:
        """Note the wait of a step whose customer is at its limit.

        The first of these ask for advice, so that they start when the limit admits them.
        """
        step.note_wait(WaitReason.CUSTOMER_LIMIT, round_.now)
        round_.limited += 1
        advised = step.job.queue.advice is not None
        if advised and not step.advice.answered and round_.limited <= MAX_BLOCKED_STEPS:
            self._request_advice(step, step_rank, round_.pool_of(step), round_, plan)

    def _waiting(self, now: float, usable: list[Worker]) -> list[tuple[Rank, Step]]:
        ledger = self._ledger
        total = NOTHING
        for worker in usable:
            total = total + worker.entry.capacity
        wall_ms = ledger.clock.wall_ms()
        steps = [
            step
            for job in ledger.jobs_by_id.values()
            if not job.final
            for step in job.ready_steps(wall_ms)
            if ledger.startable(step)
        ]
        self.order.begin_round(
            Demand(
                now,
                ledger.config,
                ledger.usage_by_customer,
                total,
                steps,
                ledger.run_time_ratios,
                ledger.shares,
            )
        )
        waiting = [(self.order.rank(step), step) for step in steps]
        waiting.sort(key=lambda each: (each[0], each[1].step_id))
        return waiting

    def _plan_step(
        self, step: Step, step_rank: Rank, round_: PlanningRound, plan: Plan
    ) -> None:
        step.examined_at = round_.now
        step.advice.requested = step.advice.request_in_flight
        pool = round_.pool_of(step)
        yields = self._yields(step, round_)
        if not yields:
            pool = pool + round_.quarantined_of(step)
        advised = step.job.queue.advice is not None
        if advised:
            self._request_advice(step, step_rank, pool, round_, plan)
            if not step.advice.answered:
                step.note_wait(reason_without_advice(step, round_), round_.now)
                return
        approved = approved_for(step, pool)
        need = resources_per_task(step)
        ready = [w for w in approved if need.fits_in(w.free())]
        if advised:
            ready = [w for w in ready if round_.ticket_is_fresh(step, w)]
        chosen = self._choose_among(step, ready, round_, yields=yields)
        if chosen:
            round_.largest_is_exact = False
            step.blocked_since = step.wait = None
            if not round_.is_less_urgent(step):
                self._headroom.note_task(step.spec.need)
            if step.spec.gang:
                runs = self._ledger.place_gang(step, [worker for _, worker in chosen])
            else:
                runs = [self._ledger.place(step, index, w) for index, w in chosen]
            plan.placements.append(Placement(step, tuple(runs)))
        else:
            self._mark_blocked(step, approved, round_)
            self._note_wait(step, approved, round_)
        if advised and step.startable:
            self._renew_tickets(step, step_rank, approved, round_, plan)

    def _choose_among(
        self, step: Step, ready: list[Worker], round_: PlanningRound, *, yields: bool
    ) -> list[tuple[int, Worker]]:
        """Return workers for the step, among those with capacity and a valid ticket.

        A step that no longer yields takes the headroom, and then workers in quarantine.
        """
        less_urgent = round_.is_less_urgent(step)
        sound = ready
        if not yields:
            sound = [worker for worker in ready if worker not in round_.quarantined]
        if less_urgent and round_.reserved:
            sound = [w for w in sound if w.worker_id not in round_.reserved]
        chosen = self._choose_workers(step, sound, round_, headroom=less_urgent)
        if not chosen and not yields:
            chosen = self._choose_workers(step, sound, round_, headroom=False)
        if not chosen and len(sound) < len(ready) and _may_try_quarantined(step):
            unreserved = [w for w in ready if w.worker_id not in round_.reserved]
            chosen = self._choose_workers(step, unreserved, round_, headroom=False)
        return chosen

    def _yields(self, step: Step, round_: PlanningRound) -> bool:
        """Return whether the step leaves free capacity to others.

        Load pattern: a few jobs in a cell that is mostly idle, each approved for a few
        workers only, and these are kept from it. While capacity is scarce that makes
        way for others; otherwise the job would wait for nothing.
        """
        if step.blocked_since is None or round_.now < step.blocked_since + MAX_YIELD_S:
            return True
        if step.wait is not None and step.wait.reason is WaitReason.WORKERS:
            return False
        return round_.is_scarce(step)

    def _note_wait(
        self, step: Step, approved: list[Worker], round_: PlanningRound
    ) -> None:
        """Record why the step was not placed; it is not found out in every round."""
        checked_at = step.wait.checked_at if step.wait else float("-inf")
        if round_.now >= checked_at + WAIT_CHECK_INTERVAL_S:
            known = self._ledger.workers_by_id.values()
            reason = find_wait_reason(step, approved, known, round_)
            step.note_wait(reason, round_.now)

    # Advice

    def _request_advice(
        self,
        step: Step,
        step_rank: Rank,
        pool: list[Worker],
        round_: PlanningRound,
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
            unqueried = _unqueried(step, round_.quarantined_of(step))
        if unqueried:
            candidates = choose_candidates(step, unqueried, self.rates)
            plan.request_advice(step, candidates, step_rank)

    def _renew_tickets(
        self,
        step: Step,
        step_rank: Rank,
        approved: list[Worker],
        round_: PlanningRound,
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
        if not self._limits.admit(step):
            return
        stale = [
            w
            for w in approved
            if advice.tickets_by_worker[w.incarnation_id].expires_at < soon
        ]
        if not stale:
            return
        if not self._keeps_tickets_fresh(step, round_) and not any(
            task_capacity(step, w.free()) and not round_.ticket_is_fresh(step, w)
            for w in stale
        ):
            return
        by_room = sorted(approved, key=lambda w: -task_capacity(step, w.free()))
        candidates = tuple(by_room[:MAX_WORKERS])
        plan.request_advice(step, candidates, step_rank)

    def _keeps_tickets_fresh(self, step: Step, round_: PlanningRound) -> bool:
        """Return whether the tickets of the step are to be renewed in advance."""
        if step.spec.gang:
            round_.gangs_kept_fresh += 1
            return round_.gangs_kept_fresh <= round_.renewal_limits.gangs
        round_.steps_kept_fresh += 1
        return round_.steps_kept_fresh <= round_.renewal_limits.steps

    # Capacity

    def _choose_workers(
        self,
        step: Step,
        allowed: list[Worker],
        round_: PlanningRound,
        *,
        headroom: bool,
    ) -> list[tuple[int, Worker]]:
        """Return a worker for each task to start; for a gang, all or none."""
        if not resources_per_task(step).fits_in(round_.largest):
            return []
        indexes = self._ledger.startable(step)[: self._limits.tasks_admitted(step)]
        if step.spec.gang and len(indexes) < step.spec.count:
            return []
        if step.spec.same_rack:
            for rack in sorted({worker.entry.rack for worker in allowed}):
                inside = [w for w in allowed if w.entry.rack == rack]
                chosen = self._fit(step, indexes, inside, round_, headroom=headroom)
                if len(chosen) == len(indexes):
                    return chosen
        chosen = self._fit(step, indexes, allowed, round_, headroom=headroom)
        if not chosen:
            round_.correct_largest()
        if step.spec.gang and len(chosen) < step.spec.count:
            return []
        return chosen

    def _fit(
        self,
        step: Step,
        indexes: list[int],
        allowed: Iterable[Worker],
        round_: PlanningRound,
        *,
        headroom: bool,
    ) -> list[tuple[int, Worker]]:
        return fit(
            step,
            indexes,
            {w: round_.available(w, headroom=headroom) for w in allowed},
            round_.now,
        )

    def _mark_blocked(
        self, step: Step, approved: list[Worker], round_: PlanningRound
    ) -> None:
        """Record that the step has no placement; reserve workers for the first gangs."""
        round_.blocked += 1
        if step.blocked_since is None:
            step.blocked_since = round_.now
        if not step.spec.gang or self._limits.tasks_admitted(step) < step.spec.count:
            return
        if not fits_when_empty(step, approved):
            return
        waited_s = round_.now - step.blocked_since
        may_reserve = waited_s <= MAX_RESERVATION_S
        less_urgent = round_.is_less_urgent(step)
        if less_urgent and may_reserve and round_.reserving < MAX_RESERVING_GANGS:
            round_.reserving += 1
            reserved = self._workers_to_reserve(step, approved, round_)
            round_.reserved.update(w.worker_id for w in reserved)

    def _workers_to_reserve(
        self, step: Step, approved: list[Worker], round_: PlanningRound
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
        if round_.is_scarce(step):
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
