"""Tests of the order in which queued calls to the advice service are made."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
import pytest

from briarrun_cell.advice import AdviceDispatcher, AdviceProxy
from briarrun_cell.clock import LoopClock
from briarrun_cell.decisions.advice_candidates import ApprovalRates
from briarrun_cell.decisions.planner import AdviceRequest
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.model import (
    AdviceTerms,
    StepId,
)
from briarrun_cell.ports import (
    AdviceAnswer,
)
from tests.cell.rounds import ROUND_S, TERMS, step_of
from tests.cell.test_ledger import (
    NORMAL,
    job,
    make_ledger,
)


class _Advice(AdviceProxy):
    """Takes the time of a call and records which jobs were asked about."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        self.asked.append(step.job_id)
        await asyncio.sleep(0.3)
        return AdviceAnswer(dict.fromkeys(worker_ids, "t"), TERMS.validity_s)


@pytest.mark.looptime
async def test_first_request_is_not_behind_renewals_for_ever() -> None:
    """Guards against a step that is never asked about beside renewals of blocked ones."""
    ledger = make_ledger(workers=4)
    slow = AdviceTerms(decision_s=0.3, per_worker_s=0.0, validity_s=1.5)
    queue = msgspec.structs.replace(NORMAL, name="slow", advice=slow)
    names = [f"j{number}" for number in range(11)]
    for name in [*names, "zz"]:
        job(ledger, name, queue=queue)
    vms = [
        EntryVm(vm=f"vm{n}", address="", failure_domain="", region="") for n in range(3)
    ]
    proxy = _Advice()
    dispatcher = AdviceDispatcher(
        LoopClock(), lambda: vms, proxy, ApprovalRates(), lambda: None
    )
    workers = tuple(ledger.workers_by_id.values())
    urgent = (False, False, 0, 0, False, 0.0)
    last = (False, False, 2, 0, False, 0.0)
    loop = asyncio.get_running_loop()
    renewed_at = dict.fromkeys(names, float("-inf"))
    for round_ in range(200):
        for name in names:
            step = step_of(ledger, name)
            fresh = loop.time() < renewed_at[name] + 1.5 - 0.3 - 0.25
            if not step.advice.request_in_flight and not fresh:
                renewed_at[name] = loop.time()
                dispatcher.enqueue(AdviceRequest(step, workers, urgent))
        if round_ == 0:
            dispatcher.enqueue(AdviceRequest(step_of(ledger, "zz"), workers, last))
        await asyncio.sleep(ROUND_S)
    dispatcher.close()
    assert "zz" in proxy.asked
