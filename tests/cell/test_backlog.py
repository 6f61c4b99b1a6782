"""Tests of a backlog of hundreds of jobs, which a cell has after an outage.

The cost of a step of the scheduler is counted in function calls, which are the same in
every run.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Sequence
from functools import partial
from types import FrameType
from typing import Any

import msgspec
import pytest

from briarrun_cell.advice import AdviceDispatcher, AdviceProxy
from briarrun_cell.clock import LoopClock
from briarrun_cell.decisions.advice_candidates import ApprovalRates
from briarrun_cell.decisions.planner import (
    MAX_ADVICE_REQUESTS,
    AdviceRequest,
    Plan,
    Planner,
)
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import AdviceTerms, StepId, StepSpec
from briarrun_cell.ports import AdviceAnswer
from briarrun_core.resources import Resources
from tests.cell.test_ledger import URGENT, entry, job, make_ledger, poll

ADVISED = msgspec.structs.replace(
    URGENT,
    name="advised",
    advice=AdviceTerms(decision_s=0.013, per_worker_s=0.0002, validity_s=2.0),
)


def count_calls(run: Callable[[], object]) -> int:
    """Return how many functions are called, those of extension modules included."""
    calls = 0

    def note(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        run()
    finally:
        sys.setprofile(None)
    return calls


def _large_cell(waiting: int) -> Ledger:
    ledger = make_ledger()
    for worker in ledger.set_workers(
        [entry(f"x{n}", cores=64_000) for n in range(270)], []
    ):
        poll(ledger, worker)
    for number in range(waiting):
        spec = StepSpec(count=3, need=Resources(16_000, 10), estimated_ms=640)
        job(ledger, f"j{number:04}", spec, queue=ADVISED)
    return ledger


class _SilentAdvice(AdviceProxy):
    """Keeps every VM occupied."""

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        await asyncio.Future()
        raise AssertionError("not reached")


@pytest.mark.looptime
async def test_cost_of_an_advice_request_does_not_grow_with_the_queue() -> None:
    """Guards against a holder that is busy with requests which cannot be sent yet.

    It blocked for seconds, so its claim and the leases of its runs were not renewed.
    """
    ledger = _large_cell(waiting=1001)
    vms = [
        EntryVm(vm=f"vm{n:02}", address="", failure_domain="", region="")
        for n in range(97)
    ]
    dispatcher = AdviceDispatcher(
        LoopClock(), lambda: vms, _SilentAdvice(), ApprovalRates(), lambda: None
    )
    workers = tuple(ledger.workers_by_id.values())[:30]
    rank = (False, False, 0, 0, False, 0.0)
    costs = []
    for waiting in ledger.jobs_by_id.values():
        (step,) = waiting.steps_by_id.values()
        request = AdviceRequest(step, workers, rank)
        costs.append(count_calls(partial(dispatcher.enqueue, request)))
    assert costs[1000] <= 2 * costs[100]
    dispatcher.close()


def _plan_into(plans: list[Plan], planner: Planner) -> None:
    plans.append(planner.plan())


def test_first_round_after_an_outage_is_short() -> None:
    """Guards against a round that scans all workers for each of the waiting steps."""
    costs = {}
    for waiting in (50, 800):
        planner = Planner(_large_cell(waiting), lambda: 97)
        plans: list[Plan] = []
        costs[waiting] = count_calls(partial(_plan_into, plans, planner))
        first = [each.step.job.job_id for each in plans[0].advice_requests]
        assert first == [f"j{number:04}" for number in range(MAX_ADVICE_REQUESTS)]
    assert costs[800] - costs[50] < 750 * 270
