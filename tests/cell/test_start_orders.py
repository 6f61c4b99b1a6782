"""Tests of start orders, and of the progress that is stored before them."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from briarrun_cell.clock import LoopClock
from briarrun_cell.decisions.planner import Planner
from briarrun_cell.job_table import JobTable
from briarrun_cell.journal import Journal
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import WorkerEntry
from briarrun_cell.orders import OrderSender
from briarrun_cell.ports import (
    AppendOutcome,
    OrderOutcome,
    StartOrder,
    Store,
    StoreLimits,
    WorkerAnswer,
    Workers,
)
from briarrun_cell.workers import RunState
from tests.cell.rounds import ROUND_S, step_of
from tests.cell.test_ledger import ManualClock, job, make_ledger, poll
from tests.cell.test_unsettled_starts import Guard


class _Refusing(Workers):
    """Refuses every start for want of a ticket."""

    async def start(self, *_: object) -> WorkerAnswer:
        return WorkerAnswer(OrderOutcome.BAD_TICKET)

    async def stop(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def poll(self, *_: object) -> WorkerAnswer:
        raise AssertionError


async def test_start_refused_for_want_of_a_ticket_is_withdrawn() -> None:
    """Guards against a task that waits for an order to lapse although it was refused.

    The worker knows of the queue's advice before the holder does.
    """
    ledger = make_ledger()
    job(ledger, "j")
    (placement,) = Planner(ledger).plan().placements
    (run,) = placement.runs
    sender = OrderSender(_Refusing(), ledger, ledger.clock, Guard())
    await sender.start(run, placement.step)
    assert run.state is RunState.OVER and placement.step.pending == {0}


class _SlowStore:
    """Takes 0.1 s for an append, in which the progress of 450 jobs changes."""

    limits = StoreLimits()

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    async def append(self, *_: object, **__: object) -> SimpleNamespace:
        await asyncio.sleep(0.1)
        self._ledger.dirty.update(self._ledger.jobs_by_id)
        return SimpleNamespace(outcome=AppendOutcome.DONE, end=0, detail="")


@pytest.mark.looptime
async def test_starts_do_not_wait_for_progress_that_comes_after_them() -> None:
    """Guards against starts that wait as long as more jobs change than fit an append."""
    ledger = make_ledger()
    for number in range(450):
        job(ledger, f"j{number:04}")
    ledger.dirty.update(ledger.jobs_by_id)
    store = cast("Store", _SlowStore(ledger))
    journal = Journal(store, LoopClock(), ledger, JobTable(), 60.0, lambda: None)
    running = asyncio.create_task(journal.run())
    try:
        async with asyncio.timeout(3.0):
            await journal.wait_flushed()
    finally:
        running.cancel()


class _Full(Workers):
    """Of the workers only ``w0`` refuses starts, for want of room."""

    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout_s: float
    ) -> WorkerAnswer:
        full = worker.worker_id == "w0"
        return WorkerAnswer(OrderOutcome.NO_CAPACITY if full else OrderOutcome.DONE)

    async def stop(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def poll(self, *_: object) -> WorkerAnswer:
        raise AssertionError


async def test_task_refused_by_one_worker_is_tried_on_another() -> None:
    """Guards against a task that is sent to the same full worker beside idle ones."""
    ledger = make_ledger(workers=4)
    job(ledger, "j")
    planner = Planner(ledger)
    sender = OrderSender(_Full(), ledger, ledger.clock, Guard())
    assert isinstance(ledger.clock, ManualClock)
    for _ in range(round(3.0 / ROUND_S)):
        ledger.clock.time += ROUND_S
        for worker in ledger.workers_by_id.values():
            poll(ledger, worker)
        for placement in planner.plan().placements:
            for run in placement.runs:
                await sender.start(run, placement.step)
        if step_of(ledger, "j").active:
            break
    assert step_of(ledger, "j").active
