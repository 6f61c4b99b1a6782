"""Tests that a step which could start is not passed over, and of why a step waits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from briarrun_cell.decisions.headroom import UrgentHeadroom
from briarrun_cell.decisions.planner import Plan, Planner
from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import Step, StepAdvice, Ticket
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import AdviceTerms, Customer, JobSpec, Queue, StepSpec
from briarrun_cell.workers import MAX_QUARANTINED_FRACTION
from briarrun_core.resources import Resources
from tests.cell.test_ledger import NORMAL, URGENT, ManualClock, job, make_ledger

LIMITED = Customer("c", ("k",), 100.0, Resources(1, 1))
SMALL = StepSpec(need=Resources(1000, 10), estimated_ms=1000)
HUGE = StepSpec(need=Resources(9000, 10), estimated_ms=1000)
"""A task that is larger than any worker."""

ROUND_S = 0.05
"""Time between two scheduling rounds."""

LOST_AFTER_S = 3.0
"""Time for which a job that could run may wait in a cell that is not full."""

TERMS = AdviceTerms(decision_s=0.1, per_worker_s=0.001, validity_s=1.5)


def _ledger(workers: int) -> Ledger:
    """Return a ledger with a customer ``d`` without a limit."""
    ledger = make_ledger(workers)
    unlimited = Customer("d", ("k2",), 100.0, Resources())
    customers = {**ledger.config.customers_by_name, "d": unlimited}
    ledger.set_config(replace(ledger.config, version=2, customers_by_name=customers))
    return ledger


def _limit_customer(ledger: Ledger) -> None:
    customers = {**ledger.config.customers_by_name, "c": LIMITED}
    ledger.set_config(replace(ledger.config, version=3, customers_by_name=customers))


def _job_of_other_customer(
    ledger: Ledger, step: StepSpec = SMALL, queue: Queue = NORMAL
) -> Step:
    spec = JobSpec(
        job_id="zz",
        terms=queue,
        customer="d",
        payload="x",
        steps=(step,),
        accepted_ms=ledger.clock.wall_ms(),
    )
    ledger.set_job(spec.job_id, JobEntry(spec=spec))
    return _step(ledger, spec.job_id)


def _step(ledger: Ledger, job_id: str) -> Step:
    (step,) = ledger.jobs_by_id[job_id].steps_by_id.values()
    return step


def _approve(ledger: Ledger, step: Step, workers: list[str], validity_s: float) -> None:
    """Give the step tickets for some workers, the only ones that are approved."""
    assert isinstance(ledger.clock, ManualClock)
    expires_at = ledger.clock.now() + validity_s
    everyone = ledger.workers_by_id.values()
    step.advice = StepAdvice(
        tickets_by_worker={
            worker.incarnation_id: Ticket("t", expires_at)
            for worker in everyone
            if worker.worker_id in workers
        },
        queried=frozenset(worker.incarnation_id for worker in everyone),
        answered=True,
    )


def _placed(plan: Plan) -> list[str]:
    return [placement.step.job.job_id for placement in plan.placements]


@pytest.mark.parametrize("blocked", [79, 80, 200, 2000])
@pytest.mark.parametrize("cause", ["customer at its limit", "larger than any worker"])
def test_job_behind_many_that_can_not_start_is_started(
    blocked: int, cause: str
) -> None:
    """Guards against a round that ends before a job although workers are idle (LOST)."""
    ledger = _ledger(workers=20)
    if cause == "customer at its limit":
        _limit_customer(ledger)
    step = SMALL if cause == "customer at its limit" else HUGE
    for number in range(blocked):
        job(ledger, f"b{number:04}", step, queue=URGENT)
    _job_of_other_customer(ledger)
    assert _placed(Planner(ledger).plan()) == ["zz"]


@pytest.mark.parametrize("blocked", [79, 200, 2000])
def test_job_behind_many_whose_workers_are_full_is_started(blocked: int) -> None:
    """Guards against a round that ends before a job although workers are idle (LOST).

    The steps before it fit on idle workers, but are not approved for these.
    """
    ledger = _ledger(workers=20)
    full = StepSpec(count=2, need=Resources(8000, 10), estimated_ms=1000)
    _approve(
        ledger,
        _step(ledger, job(ledger, "full", full, queue=_queue(0, advised=True)).job_id),
        ["w0", "w1"],
        validity_s=60.0,
    )
    planner = Planner(ledger)
    assert _placed(planner.plan()) == ["full"]
    for number in range(blocked):
        spec = job(ledger, f"b{number:04}", queue=_queue(1, advised=True))
        _approve(ledger, _step(ledger, spec.job_id), ["w0", "w1"], validity_s=60.0)
    _job_of_other_customer(ledger, queue=_queue(2))
    assert _place_for(ledger, LOST_AFTER_S, planner) == ["zz"]


def _queue(priority: int, *, advised: bool = False) -> Queue:
    return msgspec.structs.replace(
        NORMAL,
        name=f"q{priority}",
        priority=priority,
        advice=TERMS if advised else None,
    )


GANG = StepSpec(count=4, need=Resources(1000, 10), estimated_ms=1000, gang=True)


def test_job_beside_a_gang_that_only_waits_for_tickets_is_started() -> None:
    """Guards against idle workers that are all reserved for a gang (LOST)."""
    ledger = _ledger(workers=4)
    job(ledger, "gang", GANG, queue=_queue(1, advised=True))
    _approve(ledger, _step(ledger, "gang"), ["w0", "w1", "w2", "w3"], validity_s=0.0)
    _job_of_other_customer(ledger, queue=_queue(2))
    assert _placed(Planner(ledger).plan()) == ["zz"]


def _place_for(
    ledger: Ledger, seconds: float, planner: Planner | None = None
) -> list[str]:
    """Plan rounds for a while, with polls of all workers; return what was placed."""
    planner = planner or Planner(ledger)
    assert isinstance(ledger.clock, ManualClock)
    placed = []
    for _ in range(round(seconds / ROUND_S)):
        ledger.clock.time += ROUND_S
        for worker in ledger.workers_by_id.values():
            worker.contact_at = ledger.clock.now()
        placed += _placed(planner.plan())
    return placed


def test_worker_in_quarantine_is_asked_about() -> None:
    """Guards against a job that is never asked about, as its worker failed (LOST)."""
    ledger = _ledger(workers=4)
    only = ledger.workers_by_id["w0"]
    only.update_entry(replace(only.entry, labels=("special", "r1")))
    only.health.quarantine(ledger.clock.now())
    special = msgspec.structs.replace(SMALL, required_label="special")
    step = _job_of_other_customer(ledger, special, _queue(1, advised=True))
    (request,) = Planner(ledger).plan().advice_requests
    assert request.step is step and request.workers == (only,)


@pytest.mark.parametrize(("waiting", "asked"), [(1, 1), (20, 20)])
def test_steps_at_the_limit_ask_for_advice_in_advance(waiting: int, asked: int) -> None:
    """Guards against capacity under a limit that stays idle until advice has come."""
    ledger = _ledger(workers=4)
    _limit_customer(ledger)
    for number in range(waiting):
        job(ledger, f"l{number:02}", queue=_queue(1, advised=True))
    planner = Planner(ledger)
    assert len(planner.plan().advice_requests) == asked
    assert not planner.plan().advice_requests


@pytest.mark.parametrize("kind", ["task", "gang"])
def test_job_whose_approved_workers_are_quarantined_is_started(kind: str) -> None:
    """Guards against a job that waits for a quarantine of up to 30 s (LOST).

    The workers failed tasks of other jobs, whose own fault it may have been. Other
    workers are idle, but not approved for the step.
    """
    ledger = _ledger(workers=20)
    step = _job_of_other_customer(
        ledger, GANG if kind == "gang" else SMALL, _queue(1, advised=True)
    )
    _approve(ledger, step, ["w0", "w1"], validity_s=60.0)
    for worker_id in ("w0", "w1"):
        health = ledger.workers_by_id[worker_id].health
        for _ in range(4):
            health.quarantine(ledger.clock.now())
    assert _place_for(ledger, LOST_AFTER_S) == ["zz"]


def test_job_that_fits_only_beside_no_headroom_is_started() -> None:
    """Guards against a job that waits while capacity is kept for urgent tasks (LOST)."""
    ledger = _ledger(workers=20)
    job(ledger, "urgent", StepSpec(need=Resources(4000, 10)), queue=URGENT)
    planner, headroom = Planner(ledger), UrgentHeadroom()
    assert _placed(planner.plan()) == ["urgent"]
    headroom.note_task(Resources(4000, 10))
    whole = StepSpec(need=Resources(8000, 10), estimated_ms=1000)
    step = _job_of_other_customer(ledger, whole, _queue(1, advised=True))
    kept = [
        worker.worker_id
        for worker in ledger.workers_by_id.values()
        if not worker.runs_by_id and not headroom.kept_on(worker).is_zero
    ]
    _approve(ledger, step, kept, validity_s=60.0)
    assert _place_for(ledger, LOST_AFTER_S, planner) == ["zz"]


def _reason_of(ledger: Ledger, step: Step) -> WaitReason | None:
    plan = Planner(ledger).plan()
    assert step.job.job_id not in _placed(plan)
    return step.wait.reason if step.wait else None


def _waits_for_advice(ledger: Ledger) -> Step:
    return _job_of_other_customer(ledger, queue=_queue(1, advised=True))


def _waits_for_approval(ledger: Ledger) -> Step:
    step = _waits_for_advice(ledger)
    _approve(ledger, step, [], validity_s=60.0)
    return step


def _waits_for_workers(ledger: Ledger) -> Step:
    step = _waits_for_advice(ledger)
    _approve(ledger, step, ["w0"], validity_s=60.0)
    ledger.workers_by_id["w0"].contact_at = float("-inf")
    return step


def _waits_for_size(ledger: Ledger) -> Step:
    return _job_of_other_customer(ledger, HUGE)


def _waits_for_limit(ledger: Ledger) -> Step:
    _limit_customer(ledger)
    return _step(ledger, job(ledger, "j").job_id)


def _waits_for_capacity(ledger: Ledger) -> Step:
    job(ledger, "filler", StepSpec(count=8, need=Resources(8000, 10)), queue=URGENT)
    return _job_of_other_customer(ledger)


def _waits_for_quarantine(ledger: Ledger) -> Step:
    ledger.workers_by_id["w0"].health.quarantine(ledger.clock.now())
    job(ledger, "filler", StepSpec(count=8, need=Resources(8000, 10)), queue=URGENT)
    return _job_of_other_customer(ledger)


def _waits_for_tickets(ledger: Ledger) -> Step:
    step = _waits_for_advice(ledger)
    _approve(ledger, step, ["w0", "w1"], validity_s=0.0)
    return step


def _waits_for_reservation(ledger: Ledger) -> Step:
    whole = Resources(8000, 10)
    job(ledger, "busy", StepSpec(count=3, need=whole, estimated_ms=1), queue=URGENT)
    gang = StepSpec(count=4, need=whole, estimated_ms=1000, gang=True)
    job(ledger, "gang", gang, queue=_queue(1))
    return _job_of_other_customer(ledger, queue=_queue(2))


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (_waits_for_advice, WaitReason.ADVICE),
        (_waits_for_approval, WaitReason.NOT_APPROVED),
        (_waits_for_workers, WaitReason.WORKERS),
        (_waits_for_size, WaitReason.SIZE),
        (_waits_for_limit, WaitReason.CUSTOMER_LIMIT),
        (_waits_for_capacity, WaitReason.CAPACITY),
        (_waits_for_quarantine, WaitReason.QUARANTINE),
        (_waits_for_tickets, WaitReason.TICKETS),
        (_waits_for_reservation, WaitReason.RESERVATION),
    ],
)
def test_reason_for_which_a_step_waits(
    prepare: Callable[[Ledger], Step], reason: WaitReason
) -> None:
    """Guards against a wait that nobody can explain."""
    ledger = _ledger(workers=4)
    assert _reason_of(ledger, prepare(ledger)) is reason


@pytest.mark.parametrize("failed", [2, 10, 20])
def test_wave_of_failing_jobs_takes_few_workers_away(failed: int) -> None:
    """Guards against a cell without workers after tasks that fail by their own fault."""
    ledger = _ledger(workers=20)
    for worker in list(ledger.workers_by_id.values())[:failed]:
        worker.health.quarantine(ledger.clock.now())
    whole = StepSpec(count=20, need=Resources(8000, 10), estimated_ms=1000)
    _job_of_other_customer(ledger, whole, URGENT)
    (placement,) = Planner(ledger).plan().placements
    left_out = round(20 * MAX_QUARANTINED_FRACTION)
    assert len(placement.runs) == 20 - min(failed, left_out)


def test_worst_workers_stay_in_quarantine() -> None:
    """Guards against tasks on workers that fail everything, after such a wave."""
    ledger = _ledger(workers=20)
    for worker in ledger.workers_by_id.values():
        worker.health.quarantine(ledger.clock.now())
    for worker_id in ("w3", "w17"):
        ledger.workers_by_id[worker_id].health.quarantine(ledger.clock.now())
    whole = StepSpec(count=20, need=Resources(8000, 10), estimated_ms=1000)
    _job_of_other_customer(ledger, whole, URGENT)
    (placement,) = Planner(ledger).plan().placements
    assert {"w3", "w17"}.isdisjoint(run.worker.worker_id for run in placement.runs)
