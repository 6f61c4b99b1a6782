"""Tests of the choice of workers for advice requests, and of the use of tickets."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from briarrun_cell.decisions.advice_candidates import (
    MAX_WORKERS,
    ApprovalRates,
    choose_candidates,
)
from briarrun_cell.decisions.planner import Planner
from briarrun_cell.jobs import ADVICE_WORKERS, Step, Ticket
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import AdviceTerms, StepId, StepSpec
from briarrun_core.resources import Resources
from tests.cell.test_ledger import NORMAL, job, make_ledger

TERMS = AdviceTerms(decision_s=0.2, per_worker_s=0.0, validity_s=2.0)


def advised_step(ledger: Ledger, count: int, gang: bool = False) -> Step:
    """Add a job whose queue requires advice and return its step."""
    queue = msgspec.structs.replace(NORMAL, advice=TERMS)
    queues = {**ledger.config.queues_by_name, "normal": queue}
    ledger.set_config(replace(ledger.config, queues_by_name=queues))
    spec = StepSpec(count=count, need=Resources(1000, 10), estimated_ms=1000, gang=gang)
    job(ledger, "j1", spec, queue=queue)
    return ledger.jobs_by_id["j1"].steps_by_id[StepId("j1", 0, 0)]


def grant(ledger: Ledger, step: Step, fresh: set[str]) -> None:
    """Add a ticket for every worker; those not in ``fresh`` have expired."""
    now = ledger.clock.now()
    for worker in ledger.workers_by_id.values():
        expires_at = now + 2.0 if worker.worker_id in fresh else now - 1.0
        step.advice.tickets_by_worker[worker.incarnation_id] = Ticket("t", expires_at)
    step.advice.queried = frozenset(step.advice.tickets_by_worker)
    step.advice.answered = True


def test_fresh_tickets_are_used_while_others_are_renewed() -> None:
    """Guards against valid tickets left unused until others are renewed."""
    ledger = make_ledger(workers=2)
    step = advised_step(ledger, count=10)
    grant(ledger, step, fresh={"w1"})
    plan = Planner(ledger).plan()
    runs = [run for placement in plan.placements for run in placement.runs]
    assert {run.worker.worker_id for run in runs} == {"w1"}
    (question,) = plan.advice_requests
    assert {worker.worker_id for worker in question.workers} == {"w0", "w1"}


def test_fresh_tickets_are_used_during_a_renewal() -> None:
    """Guards against valid tickets left unused while a renewal is in flight."""
    ledger = make_ledger(workers=2)
    step = advised_step(ledger, count=10)
    grant(ledger, step, fresh={"w1"})
    step.advice.request_in_flight = True
    plan = Planner(ledger).plan()
    runs = [run for placement in plan.placements for run in placement.runs]
    assert {run.worker.worker_id for run in runs} == {"w1"}
    assert plan.advice_requests == []


def test_tickets_of_the_first_waiting_steps_are_renewed_before_they_expire() -> None:
    """Guards against freed capacity that stays idle until tickets are renewed."""
    ledger = make_ledger(workers=1)
    step = advised_step(ledger, count=20)
    grant(ledger, step, fresh={"w0"})
    planner = Planner(ledger)
    assert planner.plan().advice_requests == []
    for ticket in step.advice.tickets_by_worker.values():
        ticket.expires_at = ledger.clock.now() + 0.3
    (question,) = planner.plan().advice_requests
    assert question.step is step


@pytest.mark.parametrize(
    ("workers", "count", "gang", "least", "most"),
    [
        (20, 1, False, 20, 20),
        (150, 1, False, ADVICE_WORKERS, ADVICE_WORKERS),
        (150, 400, False, ADVICE_WORKERS + 1, MAX_WORKERS),
        (150, 2000, True, MAX_WORKERS, MAX_WORKERS),
    ],
)
def test_number_of_workers_asked_about(
    workers: int, count: int, gang: bool, least: int, most: int
) -> None:
    """Guards against calls slowed down by workers that the step does not need."""
    ledger = make_ledger(workers=workers)
    step = advised_step(ledger, count, gang)
    pool = list(ledger.workers_by_id.values())
    asked = choose_candidates(step, pool, ApprovalRates())
    assert least <= len(asked) <= most


def test_workers_with_room_are_asked_about_first() -> None:
    """Guards against requests for full workers of a large pool."""
    ledger = make_ledger(workers=120)
    step = advised_step(ledger, count=1)
    pool = list(ledger.workers_by_id.values())
    for worker in pool[:90]:
        worker.update_entry(replace(worker.entry, capacity=Resources(0, 0)))
    asked = choose_candidates(step, pool, ApprovalRates())
    assert set(asked) >= set(pool[90:])


def test_approval_rate_follows_the_answers() -> None:
    """Guards against too few approved workers for queues with strict policies."""
    rates = ApprovalRates()
    prior = rates.rate("q")
    rates.note("q", asked=100, approved=5)
    assert rates.rate("q") < prior
    assert rates.rate("other") == prior
