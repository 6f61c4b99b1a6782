"""Tests of the reasons for which steps wait."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import Step, StepAdvice, Ticket
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import AdviceTerms, Customer, JobSpec, Queue, StepSpec
from briarrun_cell.planner import Plan, Planner
from briarrun_cell.waiting import WaitReason
from briarrun_core.resources import Resources
from tests.cell.test_ledger import NORMAL, URGENT, ManualClock, job, make_ledger

LIMITED = Customer("c", ("k",), 100.0, Resources(1, 1))
SMALL = StepSpec(need=Resources(1000, 10), estimated_ms=1000)
HUGE = StepSpec(need=Resources(9000, 10), estimated_ms=1000)
"""A task that is larger than any worker."""

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


def _queue(priority: int, *, advised: bool = False) -> Queue:
    return msgspec.structs.replace(
        NORMAL,
        name=f"q{priority}",
        priority=priority,
        advice=TERMS if advised else None,
    )


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
