"""Tests of orders that are on their way while their worker starts again."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_cell.decisions.planner import Planner
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import EndKind, EndReport, RunReport, StepSpec, WorkerEntry
from briarrun_cell.orders import OrderSender
from briarrun_cell.ports import OrderOutcome, StartOrder, WorkerAnswer, Workers
from briarrun_cell.workers import GiveUpReason, Run, RunState, StopReason
from briarrun_core.resources import Resources
from tests.cell.rounds import step_of
from tests.cell.test_ledger import ManualClock, entry, job, make_ledger, poll, started
from tests.cell.test_unsettled_starts import Guard

pytestmark = pytest.mark.looptime


class _Term(Guard):
    """Term that may be fenced off."""

    fenced = False

    def on_fenced(self) -> None:
        self.fenced = True


class _Slow(Workers):
    """Orders take 50 ms; those below the worker's token are refused."""

    def __init__(self, outcome: OrderOutcome = OrderOutcome.DONE) -> None:
        self.token = 0
        self._outcome = outcome

    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout_s: float
    ) -> WorkerAnswer:
        return await self._answer(order.token)

    async def stop(
        self, worker: WorkerEntry, task: object, run: int, token: int, timeout_s: float
    ) -> WorkerAnswer:
        return await self._answer(token)

    async def poll(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def _answer(self, token: int) -> WorkerAnswer:
        await asyncio.sleep(0.05)
        fenced = token < self.token
        return WorkerAnswer(OrderOutcome.FENCED if fenced else self._outcome)


def _list_as_running(ledger: Ledger, run: Run) -> None:
    poll(ledger, run.worker, running=(RunReport(run.task, run.number, "", 0, 0.0),))


@pytest.mark.parametrize("by_another", [False, True], ids=["itself", "another holder"])
@pytest.mark.parametrize("order", ["start", "stop"])
@pytest.mark.parametrize("listed", [False, True])
async def test_holder_is_not_fenced_off_by_its_own_poll(
    order: str, listed: bool, by_another: bool
) -> None:
    """Guards against a term that ends since a worker started again during an order."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (placement,) = Planner(ledger).plan().placements
    (run,) = placement.runs
    term, workers = _Term(), _Slow()
    sender = OrderSender(workers, ledger, ledger.clock, term)
    if order == "stop":
        run.state = RunState.STARTING
        ledger.on_started(run)
        ledger.stop(run, StopReason.JOB_FINAL)
        sending = asyncio.create_task(sender.stop(run))
    else:
        sending = asyncio.create_task(sender.start(run, placement.step))
    await asyncio.sleep(0.01)
    if listed:
        _list_as_running(ledger, run)
    if by_another:
        workers.token = run.worker.token + 1
    else:
        (successor,) = ledger.set_workers([entry("w0", born_ms=2)], [])
        workers.token = successor.token
        poll(ledger, successor)
    await sending
    assert term.fenced is by_another


@pytest.mark.parametrize("settled", [False, True], ids=["unanswered", "answered"])
@pytest.mark.parametrize("order", ["stop", "superseded"])
async def test_stopped_run_that_the_next_life_runs_is_stopped_there(
    order: str, settled: bool
) -> None:
    """Guards against a run that nobody stops since an earlier life had stopped it."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (run,) = started(ledger)
    run.unanswered_starts = 1
    if order == "stop":
        ledger.stop(run, StopReason.JOB_FINAL)
        if settled:
            ledger.stops.clear()
            sender = OrderSender(_Slow(), ledger, ledger.clock, Guard())
            await sender.stop(run)
    else:
        run.state = RunState.STARTING
        ledger.await_inventory(run, "superseded")
    (successor,) = ledger.set_workers([entry("w0", born_ms=2)], [])
    _list_as_running(ledger, run)
    assert run.worker is successor and run.state is RunState.STOPPING
    assert ledger.stops == [run]


async def test_late_refusal_does_not_stop_the_next_run_of_a_gang() -> None:
    """Guards against a gang that is stopped for an order of an earlier run."""
    ledger = make_ledger(workers=2)
    need = Resources(5000, 10)
    job(ledger, "j", StepSpec(need=need, estimated_ms=1000, count=2, gang=True))
    (placement,) = Planner(ledger).plan().placements
    workers = _Slow(OrderOutcome.UNREACHABLE)
    sender = OrderSender(workers, ledger, ledger.clock, Guard())
    sending = asyncio.create_task(sender.start(placement.runs[0], placement.step))
    await asyncio.sleep(0.01)
    for run in placement.runs:
        ledger.give_up(run, GiveUpReason.WORKER_ENDED)
    later = started(ledger)
    await sending
    assert [run.state for run in later] == [RunState.RUNNING] * 2


def test_worker_that_returns_shows_no_gap_of_ends() -> None:
    """Guards against an alarm about ends that were read before an entry expired."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (run,) = started(ledger)
    end = EndReport(57, run.task, run.number, EndKind.DONE, "")
    poll(ledger, run.worker, ended=(end,))
    ledger.set_workers([], [])
    (back,) = ledger.set_workers([entry("w0")], [])
    assert isinstance(ledger.clock, ManualClock)
    ledger.clock.time += 100.0
    ledger.expire()
    later = EndReport(58, run.task, run.number + 1, EndKind.STOPPED, "")
    poll(ledger, back, ended=(later,))
    assert ledger.end_gaps == 0


def test_next_life_is_as_registered_as_the_one_before() -> None:
    """Guards against new runs on a worker that has left the registry."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (run,) = started(ledger)
    ledger.set_workers([], [])
    assert not ledger.replace_worker(run.worker, entry("w0", born_ms=2)).registered


def test_adopted_run_waits_for_the_inventory_of_the_next_life() -> None:
    """Guards against a second run of a task that an earlier holder has ordered twice."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    step_id = step_of(ledger, "j").step_id
    (worker,) = ledger.workers_by_id.values()
    poll(ledger, worker, running=(RunReport(step_id.task(0), 7, "", 0, 0.0),))
    (successor,) = ledger.set_workers([entry("w0", born_ms=2)], [])
    assert [run.worker for run in step_of(ledger, "j").runs()] == [successor]
    poll(ledger, successor)
    assert step_of(ledger, "j").pending == {0}
