"""Tests of work that is still due after the coroutine that did it has ended."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any, cast

import pytest

from briarrun_cell.decisions.planner import Planner
from briarrun_cell.holder import CLEANUP_INTERVAL_S
from briarrun_cell.job_table import JobTable
from briarrun_cell.journal import COMPACT_AFTER_S, Journal
from briarrun_cell.model import JobSpec, RunReport
from briarrun_cell.orders import OrderSender
from briarrun_cell.ports import (
    AppendResult,
    OrderOutcome,
    Record,
    Topic,
    WorkerAnswer,
    Workers,
)
from briarrun_cell.reconciler import STOP_REPEAT_S
from briarrun_cell.records import decode
from briarrun_cell.workers import Run, RunState, StopReason
from tests.cell.running import with_cell
from tests.cell.test_ledger import ManualClock, job, make_ledger, poll, started
from tests.cell.test_unsettled_starts import Guard
from tools.emulator.cell.cell import FakeCell, step
from tools.emulator.cell.store import FakeStore, StoreView

pytestmark = pytest.mark.looptime


class _Term(Guard):
    """Term that may end and become valid again."""

    valid = True

    def is_holder(self) -> bool:
        return self.valid


class _Answers(Workers):
    """Answers orders in turn; an exception is raised instead."""

    def __init__(self, *answers: OrderOutcome | Exception) -> None:
        self._answers = list(answers)
        self.calls = 0

    async def start(self, *_: object) -> WorkerAnswer:
        return await self._answer()

    async def stop(self, *_: object) -> WorkerAnswer:
        return await self._answer()

    async def poll(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def _answer(self) -> WorkerAnswer:
        self.calls += 1
        await asyncio.sleep(0.01)
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return WorkerAnswer(answer)


class _Order:
    """Start or stop order of one run, and the term in which it is sent."""

    def __init__(self, kind: str, workers: Workers) -> None:
        self.ledger = make_ledger(workers=1)
        self.term = _Term()
        self._sender = OrderSender(workers, self.ledger, self.ledger.clock, self.term)
        self._kind = kind
        job(self.ledger, "j")
        if kind == "start":
            (placement,) = Planner(self.ledger).plan().placements
            (self.run,) = placement.runs
        else:
            (self.run,) = started(self.ledger)
            self.ledger.stop(self.run, StopReason.JOB_FINAL)

    async def send(self) -> None:
        if self._kind == "stop":
            await self._sender.stop(self.run)
            return
        step = self.ledger.step_of(self.run.task)
        assert step is not None
        await self._sender.start(self.run, step)

    def abandoned(self) -> list[Run]:
        return self._sender.find_abandoned()


@pytest.mark.parametrize("kind", ["start", "stop"])
@pytest.mark.parametrize(
    "failure",
    [OrderOutcome.UNKNOWN, RuntimeError("bug")],
    ids=["term ends", "exception"],
)
async def test_order_whose_sender_ends_is_sent_again(
    kind: str, failure: OrderOutcome | Exception
) -> None:
    """Guards against a run that stays as it is since nobody sends its order (LOST)."""
    workers = _Answers(failure, OrderOutcome.DONE)
    order = _Order(kind, workers)
    sending = asyncio.create_task(order.send())
    await asyncio.sleep(0.005)
    assert order.abandoned() == []
    order.term.valid = False
    await asyncio.wait({sending})
    assert order.abandoned() == [order.run]
    order.term.valid = True
    await order.send()
    assert workers.calls == 2 and order.run.answered_at is not None
    assert order.abandoned() == []


@pytest.mark.parametrize("kind", ["start", "stop"])
async def test_order_is_sent_by_one_coroutine_at_a_time(kind: str) -> None:
    """Guards against a second sender beside one that goes on."""
    workers = _Answers(OrderOutcome.UNKNOWN, OrderOutcome.DONE)
    order = _Order(kind, workers)
    await asyncio.gather(order.send(), order.send())
    assert workers.calls == 2 and order.abandoned() == []


async def test_start_order_to_an_evacuated_domain_is_not_abandoned() -> None:
    """Guards against starts in a failure domain that is under evacuation."""
    order = _Order("start", _Answers(OrderOutcome.UNKNOWN))
    order.term.valid = True
    sending = asyncio.create_task(order.send())
    await asyncio.sleep(0.005)
    order.ledger.evacuated_domains = frozenset({"fd"})
    await sending
    assert order.run.state is RunState.STARTING and order.abandoned() == []


@pytest.mark.parametrize(
    ("polled_after_s", "repeated"),
    [(0.1, False), (STOP_REPEAT_S, False), (STOP_REPEAT_S + 0.1, True)],
)
async def test_stopped_run_that_goes_on_is_stopped_again(
    polled_after_s: float, repeated: bool
) -> None:
    """Guards against a run that goes on for ever after an answered stop order (LOST)."""
    order = _Order("stop", _Answers(OrderOutcome.DONE))
    await order.send()
    run, clock = order.run, order.ledger.clock
    assert isinstance(clock, ManualClock)
    clock.time += polled_after_s
    report = RunReport(run.task, run.number, "", 0, 0.0)
    poll(order.ledger, run.worker, running=(report,))
    assert order.abandoned() == ([run] if repeated else [])


async def test_progress_that_could_not_be_encoded_is_stored_later() -> None:
    """Guards against starts that wait for ever since the journal has ended (LOST)."""
    ledger = make_ledger()
    store = StoreView(FakeStore(random.Random(1)))
    for name in ("first", "second", "third"):
        job(ledger, name)
        ledger.dirty.add(name)
    odd = ledger.jobs_by_id["second"].progress
    odd.begun = cast("bool", object())
    journal = Journal(store, ledger.clock, ledger, JobTable(), 60.0, lambda: None)
    await journal.fence()
    running = asyncio.create_task(journal.run())
    try:
        flushed = asyncio.create_task(journal.wait_flushed())
        await asyncio.sleep(0.5)
        assert not flushed.done()
        odd.begun = True
        async with asyncio.timeout(5.0):
            await flushed
    finally:
        running.cancel()
    result = await store.read(Topic.JOBS, 0, wait_s=0.0, timeout_s=1.0)
    assert {record.key for record in result.records} == {
        "p/first",
        "p/second",
        "p/third",
    }


@with_cell()
async def test_old_jobs_are_deleted_although_one_deletion_failed(
    cell: FakeCell,
) -> None:
    """Guards against jobs that are kept for ever after one exception."""
    spec = cell.spec(step(1, 100))
    await cell.submit(spec)
    assert await cell.finished(cell.accepted, 5.0) == set()
    holder = await cell.wait_for_holder()
    append, failures = holder.store.append, 0

    async def fail_once(
        topic: Topic, records: Sequence[Record], **options: Any
    ) -> AppendResult:
        nonlocal failures
        if topic is Topic.JOBS and not options.get("producer") and not failures:
            failures += 1
            raise RuntimeError("bug")
        return await append(topic, records, **options)

    holder.store.append = fail_once  # type: ignore[method-assign]
    await asyncio.sleep(COMPACT_AFTER_S + 3 * CLEANUP_INTERVAL_S)
    assert failures == 1
    newest = cell.store.newest(Topic.JOBS).records
    kept = [content for _, content in map(decode, newest)]
    assert all(not each.steps for each in kept if isinstance(each, JobSpec))
