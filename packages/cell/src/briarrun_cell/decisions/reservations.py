"""Reservations of capacity for gangs on a full cell, with conservative backfill. No I/O.

Load pattern: wide gangs on a cell whose capacity is scarce, beside a stream of small
tasks. Small tasks fill each gap at once, so that a gang never finds all its capacity. If
whole workers are blocked for a gang instead, many cores are idle until it starts.

A reservation is an estimate of one holder, made from run times and progress. It is made
anew all the time, and given up if the expected start moves away too often or too far.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from heapq import nlargest
from statistics import median

from briarrun_cell.decisions.fitting import (
    SLOW_WORKER_RATIO,
    resources_per_task,
    task_capacity,
)
from briarrun_cell.decisions.waiting import ExpectedStart
from briarrun_cell.jobs import Step, StepAdvice
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import StepId, StepSpec
from briarrun_cell.workers import Run, RunState, Worker
from briarrun_core.resources import NOTHING, Resources

MAX_RESERVATIONS = 2
"""Maximum number of gangs with a reservation, by rank."""

MAX_CANDIDATES = 150
"""Maximum number of approved workers that are considered for a gang, those with most
free cores first. It bounds the cost on large cells."""

UPDATE_INTERVAL_S = 0.1
"""Interval at which reservations are computed anew. Rounds may follow within 4 ms, and
progress is reported a few times a second at most."""

SLIP_TOLERANCE_S = 0.5
"""Delay of the expected start that does not count as a slip. Progress is reported in
whole percents, so the end of a run of some seconds is known to a few tenths."""

MAX_SLIPS = 6
"""Number of slips after which a reservation is given up."""

MAX_SLIP_S = 6.0
"""Total delay of the expected start after which a reservation is given up. Without a
limit, a gang that never fits would keep capacity from all less urgent work."""

MAX_AHEAD_S = 12.0
"""Time to the expected start above which nothing is reserved yet."""

RETRY_PAUSE_S = 6.0
"""Time after which a gang whose reservation was given up may have another one. Until
then it is the turn of others."""

BACKFILL_CAUTION = 1.5
"""Factor on the cautious run time of a step that is to end before a reservation begins.
A step that ends too late costs the gang its start, one that waits costs little."""

START_S = 0.1
"""Time from a decision to the start of a run."""

STOP_S = 1.0
"""Time from a stop order to the end of the run."""

MIN_PERCENT = 3
"""Progress from which the run time is extrapolated. Below it, the rounding to whole
percents is too large an error."""

OVERRUN_FRACTION = 0.1
"""Expected remaining time of a run that has taken longer than expected, as a fraction
of the time that it has taken."""

MIN_SPEED_RATIO = 0.5
MAX_SPEED_RATIO = 3.0
"""Bounds of the slowness of a worker relative to the others. Slowness also contains the
errors of estimates."""

TICKET_LEAD_S = 0.3
"""Time before the expected start at which the tickets should have come, since the start
may be possible earlier and the call may have to wait for a VM."""

TICKET_VALIDITY_LEFT_S = 0.3
"""Validity that tickets should have left at the expected start."""

TICKETS_FACTOR = 2.0
"""Capacity of the workers for which tickets are requested, as a multiple of the tasks.
Work of a higher rank may take the capacity of some of them."""

_LOG = ComponentLog("holder")


@dataclass(frozen=True, slots=True)
class Outlook:
    """Free resources of a worker now, and what its runs will release, in time order."""

    free: Resources
    releases: tuple[tuple[float, Resources], ...] = ()


def expected_end(run: Run, spec: StepSpec, ratio: float, now: float) -> float:
    """Return the time at which a run is expected to release its resources.

    ``ratio`` is the expected ratio of actual to estimated run time on its worker. It
    counts only until the run has reported progress.
    """
    if spec.service:
        return math.inf
    if run.state is RunState.STOPPING:
        return max(run.since + STOP_S, now)
    estimated_s = spec.estimated_ms / 1000 * ratio
    if run.resumed:
        end = run.percent_at + estimated_s * (100 - run.percent) / 100
    elif run.state is not RunState.RUNNING:
        end = run.since + START_S + estimated_s
    elif run.percent >= MIN_PERCENT:
        took_s = run.percent_at - run.since
        end = run.since + took_s * 100 / min(100.0, run.percent + 0.5)
    else:
        end = run.since + estimated_s
    if end > now:
        return end
    return now + OVERRUN_FRACTION * max(START_S, now - run.since)


def earliest_start(
    step: Step, outlook_by_worker: Mapping[Worker, Outlook], now: float
) -> tuple[float, dict[Worker, int]] | None:
    """Return when the workers can hold all tasks of a gang, and how many each can then.

    The workers are in the order in which they should be used. None means never.
    """
    tasks_by_worker: dict[Worker, int] = {}
    events: list[tuple[float, int, Worker, int]] = []
    total = 0
    for order, (worker, outlook) in enumerate(outlook_by_worker.items()):
        free = outlook.free
        tasks = task_capacity(step, free)
        if tasks:
            tasks_by_worker[worker] = tasks
            total += tasks
        for at, need in outlook.releases:
            if at == math.inf:
                break
            free = free + need
            then = task_capacity(step, free)
            if then > tasks:
                tasks = then
                events.append((at, order, worker, then))
    start_at = now
    if total < step.spec.count:
        events.sort(key=lambda event: event[:2])
        for at, _, worker, tasks in events:
            total += tasks - tasks_by_worker.get(worker, 0)
            tasks_by_worker[worker] = tasks
            start_at = at
            if total >= step.spec.count:
                break
        else:
            return None
    ordered = sorted(
        tasks_by_worker.items(),
        key=lambda each: (each[0].health.slowness > SLOW_WORKER_RATIO, -each[1]),
    )
    return start_at, dict(ordered)


def first_workers(
    tasks_by_worker: Mapping[Worker, int], count: int
) -> dict[Worker, int]:
    """Return how many of the tasks go to each worker, filling one after the other."""
    chosen = {}
    for worker, tasks in tasks_by_worker.items():
        if count <= 0:
            break
        chosen[worker] = min(tasks, count)
        count -= tasks
    return chosen


def may_backfill(ends_at: float, start_at: float) -> bool:
    """Return whether a step may use the gap before a reservation begins."""
    return ends_at <= start_at


def slips_too_much(slips: int, slipped_s: float) -> bool:
    """Return whether a reservation is to be given up."""
    return slips > MAX_SLIPS or slipped_s > MAX_SLIP_S


def tickets_due(
    advice: StepAdvice,
    workers: Iterable[Worker],
    start_at: float,
    call_s: float,
    now: float,
) -> bool:
    """Return whether tickets for a start at that time are to be requested now."""
    if now < start_at - call_s - TICKET_LEAD_S:
        return False
    needed_until = start_at + TICKET_VALIDITY_LEFT_S
    return any(
        advice.tickets_by_worker[w.incarnation_id].expires_at < needed_until
        for w in workers
        if w.incarnation_id in advice.tickets_by_worker
    )


@dataclass(slots=True)
class Reservation:
    """Capacity that is kept for a gang from its expected start on.

    ``capacity_at`` is the expected time of the capacity, ``start_at`` that of capacity
    and tickets. ``tasks_by_worker`` are the tasks on the workers that the gang is
    expected to use, ``workers`` all that are kept for it: estimates are rough, so that
    others of them are often free first, and work of a higher rank takes some of them.
    ``candidates`` are the workers for which tickets are requested.
    """

    step: Step
    made_at: float
    first_start_at: float
    capacity_at: float
    start_at: float
    tasks_by_worker: dict[Worker, int]
    workers: frozenset[Worker]
    candidates: tuple[Worker, ...]
    seen_at: float
    slips: int = 0

    def tickets_due(self, now: float) -> bool:
        """Return whether tickets for the start are to be requested now."""
        terms = self.step.job.queue.advice
        if terms is None:
            return False
        call_s = terms.call_s(len(self.candidates))
        return tickets_due(
            self.step.advice, self.candidates, self.capacity_at, call_s, now
        )


@dataclass(slots=True)
class Holds:
    """Reservations that are in force for the steps that a round has still to plan."""

    earliest_end: Callable[[Step], float]
    ends_at: Callable[[Step, Worker], float]
    _latest_start_at: float = float("-inf")
    _start_by_worker: dict[Worker, float] = field(default_factory=dict)
    _expected: dict[Worker, Resources] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Return whether any reservation is in force."""
        return bool(self._start_by_worker)

    def add(self, reservation: Reservation) -> None:
        """Put a reservation in force."""
        need, start_at = resources_per_task(reservation.step), reservation.start_at
        for worker, tasks in reservation.tasks_by_worker.items():
            expected = self._expected.get(worker, NOTHING)
            self._expected[worker] = expected + need.scaled(tasks)
        self._latest_start_at = max(start_at, self._latest_start_at)
        for worker in reservation.workers:
            earlier = self._start_by_worker.get(worker, math.inf)
            self._start_by_worker[worker] = min(start_at, earlier)

    def expected_on(self, worker: Worker) -> Resources:
        """Return what the gangs are expected to use on a worker."""
        return self._expected.get(worker, NOTHING)

    def admitted(self, step: Step, workers: list[Worker]) -> list[Worker]:
        """Return the workers on which a step may start now."""
        starts = self._start_by_worker
        if not may_backfill(self.earliest_end(step), self._latest_start_at):
            return [worker for worker in workers if worker not in starts]
        return [
            worker
            for worker in workers
            if worker not in starts
            or may_backfill(self.ends_at(step, worker), starts[worker])
        ]


@dataclass(slots=True)
class ReservationCounts:
    """What has become of reservations since the counts were last taken."""

    made: int = 0
    given_up: int = 0
    fulfilled: int = 0


class GangReservations:
    """Reservations of one holder, and the state of the runs that they follow from."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._held: dict[StepId, Reservation] = {}
        self._retry_at: dict[StepId, float] = {}
        self._usual_slowness = 1.0
        self._now = 0.0
        self._update_at = float("-inf")
        self._updating = False
        self._in_force = 0
        self._outlooks: dict[Worker, tuple[Resources, Outlook]] = {}
        self.counts = ReservationCounts()
        self.holds = Holds(self._earliest_end, self._ends_at)

    @property
    def held(self) -> int:
        """Number of gangs with a reservation."""
        return len(self._held)

    def take_counts(self) -> ReservationCounts:
        """Return the counts, and begin new ones."""
        counts, self.counts = self.counts, ReservationCounts()
        return counts

    def of(self, step: Step) -> Reservation | None:
        """Return the reservation of a step."""
        return self._held.get(step.step_id)

    def begin_round(self, now: float, workers: Iterable[Worker]) -> Holds:
        """Begin a round, in which no reservation is in force yet."""
        self._now = now
        self._updating = now >= self._update_at
        if self._updating:
            self._update_at = now + UPDATE_INTERVAL_S
            self._usual_slowness = median([w.health.slowness for w in workers] or [1.0])
        self._outlooks.clear()
        self._in_force = 0
        self.holds = Holds(self._earliest_end, self._ends_at)
        return self.holds

    def end_round(self) -> None:
        """Drop the reservations of steps that the round has not left waiting."""
        dropped = [each for each in self._held.values() if each.seen_at < self._now]
        for reservation in dropped:
            self._drop(reservation)
        for step_id, retry_at in list(self._retry_at.items()):
            if self._now >= retry_at:
                del self._retry_at[step_id]

    def reserve(
        self, step: Step, approved: list[Worker], kept_on: Callable[[Worker], Resources]
    ) -> None:
        """Keep the reservation of a blocked gang up to date, or make one.

        ``kept_on`` returns what is kept free on a worker for other reasons.
        """
        if self._in_force >= MAX_RESERVATIONS:
            return
        reservation = self._held.get(step.step_id)
        if reservation is None:
            if self._now < self._retry_at.get(step.step_id, 0.0):
                return
        elif not self._updating and reservation.workers <= set(approved):
            reservation.seen_at = self._now
            self._in_force += 1
            self.holds.add(reservation)
            return
        self._update(step, reservation, approved, kept_on)

    def give_up(self, step: Step) -> None:
        """Give up the reservation of a step that has been blocked for too long."""
        reservation = self._held.get(step.step_id)
        if reservation is not None:
            self._give_up(reservation, reservation.start_at)

    def on_placed(self, step: Step) -> None:
        """Record that a step has been placed."""
        reservation = self._held.get(step.step_id)
        if reservation is None:
            return
        self._drop(reservation)
        self.counts.fulfilled += 1
        _LOG.info(
            "gang with a reservation is placed",
            job=step.job.job_id,
            step=step.step_id.step,
            held_ms=round((self._now - reservation.made_at) * 1000),
            late_ms=round((self._now - reservation.first_start_at) * 1000),
            slips=reservation.slips,
        )

    def _drop(self, reservation: Reservation) -> None:
        del self._held[reservation.step.step_id]
        reservation.step.expected_start = None

    def _update(
        self,
        step: Step,
        reservation: Reservation | None,
        approved: list[Worker],
        kept_on: Callable[[Worker], Resources],
    ) -> None:
        now = self._now
        considered = approved
        if len(approved) > MAX_CANDIDATES:
            considered = nlargest(MAX_CANDIDATES, approved, lambda w: w.free().cores)
        found = earliest_start(step, self._beside_holds(considered, kept_on), now)
        if found is None:
            # The gang can only use what is kept free once capacity is not scarce.
            found = earliest_start(step, self._beside_holds(considered), now)
        if found is None or found[0] > now + MAX_AHEAD_S:
            if reservation is not None:
                self._give_up(reservation, found[0] if found else math.inf)
            else:
                self._retry_at[step.step_id] = now + UPDATE_INTERVAL_S
            return
        capacity_at, possible = found
        chosen = first_workers(possible, step.spec.count)
        candidates = first_workers(
            possible, math.ceil(step.spec.count * TICKETS_FACTOR)
        )
        start_at = self._with_tickets(step, capacity_at, chosen, len(candidates))
        if reservation is None:
            reservation = Reservation(
                step, now, start_at, 0.0, start_at, chosen, frozenset(), (), now
            )
            self._held[step.step_id] = reservation
            self.counts.made += 1
            _LOG.info(
                "reserved capacity for a gang",
                job=step.job.job_id,
                step=step.step_id.step,
                tasks=step.spec.count,
                workers=len(chosen),
                start_in_ms=round((start_at - now) * 1000),
            )
        elif start_at > reservation.start_at + SLIP_TOLERANCE_S:
            reservation.slips += 1
        slipped_s = start_at - reservation.first_start_at
        if slips_too_much(reservation.slips, slipped_s):
            self._give_up(reservation, start_at)
            return
        reservation.capacity_at, reservation.start_at = capacity_at, start_at
        reservation.tasks_by_worker = chosen
        # A gang that only lacks tickets needs no more workers than it will occupy.
        kept = chosen if capacity_at <= now else approved
        reservation.workers = frozenset(kept)
        reservation.candidates = tuple(candidates)
        reservation.seen_at = now
        step.expected_start = ExpectedStart(start_at, len(chosen))
        self._in_force += 1
        self.holds.add(reservation)

    def _beside_holds(
        self,
        workers: Iterable[Worker],
        kept_on: Callable[[Worker], Resources] = lambda worker: NOTHING,
    ) -> dict[Worker, Outlook]:
        outlook_by_worker = {}
        for worker in workers:
            outlook = self._outlook(worker)
            taken = kept_on(worker) + self.holds.expected_on(worker)
            if not taken.is_zero:
                outlook = Outlook(outlook.free - taken, outlook.releases)
            outlook_by_worker[worker] = outlook
        return outlook_by_worker

    def _with_tickets(
        self,
        step: Step,
        capacity_at: float,
        workers: Iterable[Worker],
        asked: int,
    ) -> float:
        """Return the time at which there are tickets, too."""
        terms, advice = step.job.queue.advice, step.advice
        if terms is None:
            return capacity_at
        if all(
            advice.tickets_by_worker[w.incarnation_id].expires_at > capacity_at
            for w in workers
        ):
            return capacity_at
        return max(capacity_at, self._now + terms.call_s(asked))

    def _give_up(self, reservation: Reservation, start_at: float) -> None:
        step = reservation.step
        self._drop(reservation)
        self._retry_at[step.step_id] = self._now + RETRY_PAUSE_S
        self.counts.given_up += 1
        slipped_s = min(start_at - reservation.first_start_at, 1e6)
        _LOG.info(
            "gave up the reservation of a gang",
            job=step.job.job_id,
            step=step.step_id.step,
            held_ms=round((self._now - reservation.made_at) * 1000),
            slips=reservation.slips,
            slipped_ms=round(slipped_s * 1000),
        )

    def _earliest_end(self, step: Step) -> float:
        """Return a time by which a step has probably ended if its workers are fast."""
        return self._ends_after(step, 1.0)

    def _ends_at(self, step: Step, worker: Worker) -> float:
        """Return a time by which a step that starts now will probably have ended."""
        return self._ends_after(step, max(1.0, self._speed_ratio(worker)))

    def _ends_after(self, step: Step, speed_ratio: float) -> float:
        if step.spec.service:
            return math.inf
        ratio = self._ledger.run_time_ratios.cautious(step.job.queue.name)
        expected_s = step.spec.estimated_ms / 1000 * ratio * speed_ratio
        return self._now + START_S + expected_s * BACKFILL_CAUTION

    def _speed_ratio(self, worker: Worker) -> float:
        ratio = worker.health.slowness / max(0.1, self._usual_slowness)
        return min(max(ratio, MIN_SPEED_RATIO), MAX_SPEED_RATIO)

    def _outlook(self, worker: Worker) -> Outlook:
        known = self._outlooks.get(worker)
        if known is not None and known[0] is worker.used:
            return known[1]
        releases = []
        speed_ratio = self._speed_ratio(worker)
        ratios = self._ledger.run_time_ratios
        for run in worker.runs_by_id.values():
            step = self._ledger.step_of(run.task)
            if step is None:
                continue
            expected, _ = ratios.expected(
                step.job.queue.name, step.spec.estimated_ms / 1000
            )
            ratio = expected * speed_ratio
            releases.append((expected_end(run, step.spec, ratio, self._now), run.need))
        releases.sort(key=lambda each: each[0])
        outlook = Outlook(worker.free(), tuple(releases))
        self._outlooks[worker] = (worker.used, outlook)
        return outlook
