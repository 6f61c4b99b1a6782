"""Choose what starts where. Pure: reads and charges the ledger, does no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.ranking import Rank, Shares, rank
from briarrun_cell.workers import Run, Worker
from briarrun_core.resources import NOTHING, Resources

SLOW_WORKER = 1.8
"""A worker whose runs take this multiple of their estimates is used last."""

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

MAX_BLOCKED_STEPS = 80
"""Steps that found no room after which a round of planning ends."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold charged runs of one step; ``renew`` if their tickets are too old."""

    step: Step
    runs: tuple[Run, ...]
    renew: bool


@dataclass(frozen=True, slots=True)
class Question:
    """Ask the advice service which of the workers may run a step."""

    step: Step
    workers: tuple[Worker, ...]
    rank: Rank


@dataclass(slots=True)
class Plan:
    """Hold the decisions of one round."""

    placements: list[Placement] = field(default_factory=list)
    questions: list[Question] = field(default_factory=list)


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
    blocked_gangs: int = 0


class Planner:
    """Place waiting steps in order of their rank."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def plan(self) -> Plan:
        """Return what starts now and which advice is needed; charges the runs."""
        ledger = self._ledger
        now = ledger.clock.now()
        usable = [w for w in ledger.workers_by_id.values() if w.usable(now)]
        priorities = [q.priority for q in ledger.config.queues_by_name.values()]
        round_ = _Round(now, usable, min(priorities, default=0), _largest(usable))
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
        shares = Shares.measure(ledger.config, ledger.usage_by_customer, total)
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
        if advised and not self._approved(step, order, pool, round_, plan):
            return
        allowed = [w for w in pool if self._allowed(step, w)] if advised else pool
        lesser = step.job.queue.priority > round_.urgent_priority
        if lesser and round_.reserved:
            allowed = [w for w in allowed if w.worker_id not in round_.reserved]
        chosen = self._choose(step, allowed, round_)
        if not chosen:
            self._note_blocked(step, order, pool, lesser, round_, plan)
            return
        step.blocked_since = None
        if step.spec.gang:
            runs = self._ledger.place_gang(step, [worker for _, worker in chosen])
        else:
            runs = [self._ledger.place(step, index, w) for index, w in chosen]
        renew = advised and any(
            not self._fresh(step, run.worker, round_.now) for run in runs
        )
        plan.placements.append(Placement(step, tuple(runs), renew))
        round_.largest = _largest(round_.usable)

    # Advice

    def _approved(
        self, step: Step, order: Rank, pool: list[Worker], round_: _Round, plan: Plan
    ) -> bool:
        """Tell whether the approved workers are known; ask if they are not."""
        advice = step.advice
        fresh = [w for w in pool if life_of(w) not in advice.asked]
        stale = step.blocked_since is not None and bool(fresh)
        wanted = not advice.known or stale
        if wanted and not advice.asking and round_.now >= advice.retry_at and fresh:
            plan.questions.append(Question(step, tuple(fresh), order))
        return advice.known

    def _allowed(self, step: Step, worker: Worker) -> bool:
        return life_of(worker) in step.advice.tickets_by_worker

    def _fresh(self, step: Step, worker: Worker, now: float) -> bool:
        ticket = step.advice.tickets_by_worker.get(life_of(worker))
        return ticket is not None and now + TICKET_MARGIN_S <= ticket.expires_at

    # Room

    def _room(self, step: Step, worker: Worker, urgent: bool) -> Resources:
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
        if not _need_of(step).fits_in(round_.largest):
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
        need = _need_of(step)
        room_by_worker = {w: self._room(step, w, urgent) for w in allowed}
        taken = {w: w.count_by_step.get(step.step_id, 0) for w in room_by_worker}
        chosen = []
        for index in indexes:
            fitting = [
                w
                for w, room in room_by_worker.items()
                if need.fits_in(room)
                and (
                    not step.spec.max_per_worker or taken[w] < step.spec.max_per_worker
                )
            ]
            if not fitting:
                break
            best = min(
                fitting, key=lambda w: _preference(step, w, need, room_by_worker[w])
            )
            room_by_worker[best] = room_by_worker[best] - need
            taken[best] += 1
            chosen.append((index, best))
        return chosen

    def _note_blocked(
        self,
        step: Step,
        order: Rank,
        pool: list[Worker],
        lesser: bool,
        round_: _Round,
        plan: Plan,
    ) -> None:
        """Keep room and tickets for the gangs that wait at the head of the order."""
        round_.blocked += 1
        if step.blocked_since is None:
            step.blocked_since = round_.now
        if not step.spec.gang or self._allowance(step) < step.spec.count:
            return
        candidates = pool
        if step.job.queue.advice is not None:
            candidates = [w for w in pool if self._allowed(step, w)]
        if not _could_hold(step, candidates):
            return
        waited_s = round_.now - step.blocked_since
        patient = waited_s <= RESERVATION_S
        if lesser and patient and round_.reserving < RESERVING_GANGS:
            round_.reserving += 1
            round_.reserved.update(w.worker_id for w in candidates)
        self._keep_fresh(step, order, candidates, round_, plan)

    def _keep_fresh(
        self,
        step: Step,
        order: Rank,
        candidates: list[Worker],
        round_: _Round,
        plan: Plan,
    ) -> None:
        advice, terms = step.advice, step.job.queue.advice
        if terms is None or advice.asking or round_.blocked_gangs >= FRESH_GANGS:
            return
        round_.blocked_gangs += 1
        if round_.now < advice.retry_at:
            return
        soon = round_.now + terms.call_s(len(candidates)) + TICKET_MARGIN_S
        if any(
            advice.tickets_by_worker[life_of(w)].expires_at < soon
            for w in candidates
            if life_of(w) in advice.tickets_by_worker
        ):
            plan.questions.append(Question(step, tuple(candidates), order))


def _largest(workers: Iterable[Worker]) -> Resources:
    """Return the largest free amount of each resource on any one worker."""
    free = [worker.free() for worker in workers]
    return Resources(
        max((each.cores for each in free), default=0),
        max((each.memory_mib for each in free), default=0),
        max((each.accelerators for each in free), default=0),
    )


def _need_of(step: Step) -> Resources:
    """Return the room that one task takes; a filler takes no cores."""
    need = step.spec.need
    return replace(need, cores=0) if step.spec.filler else need


def _could_hold(step: Step, workers: Iterable[Worker]) -> bool:
    """Tell whether the workers could hold a whole gang if they were empty."""
    need, places = _need_of(step), 0
    for worker in workers:
        capacity = worker.entry.capacity
        fitting = [
            available // amount
            for available, amount in (
                (capacity.cores, need.cores),
                (capacity.memory_mib, need.memory_mib),
                (capacity.accelerators, need.accelerators),
            )
            if amount
        ]
        most = min(fitting, default=step.spec.count)
        if step.spec.max_per_worker:
            most = min(most, step.spec.max_per_worker)
        places += most
    return places >= step.spec.count


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


def life_of(worker: Worker) -> str:
    """Return the key of one life of a worker, for which a ticket is valid."""
    return f"{worker.worker_id}@{worker.entry.born_ms}"


def hash_of(worker: Worker) -> int:
    """Return a number that is the same for a worker in every process."""
    return sum(worker.worker_id.encode())


def _preference(
    step: Step, worker: Worker, need: Resources, room: Resources
) -> tuple[bool, bool, bool, float]:
    """Prefer sound and fast workers near the data, and among them the fullest."""
    far = bool(step.spec.data_rack) and worker.entry.rack != step.spec.data_rack
    left = (room - need).dominant_fraction(worker.entry.capacity)
    return (
        worker.worker_id in step.failed_on,
        worker.health.slowness > SLOW_WORKER,
        far,
        left,
    )
