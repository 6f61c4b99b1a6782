"""Tests of the evacuation of failure domains."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from briarrun_cell.decisions.planner import Planner
from briarrun_cell.evacuations import Evacuations
from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.model import StepSpec
from briarrun_cell.orders import OrderSender
from briarrun_cell.ports import (
    OrderOutcome,
    ReadResult,
    Record,
    StoreUnavailable,
    Topic,
)
from briarrun_cell.workers import RunState
from briarrun_core.resources import Resources
from tests.cell.rounds import make_queue
from tests.cell.running import with_cell
from tests.cell.test_ledger import job, make_ledger
from tests.cell.test_unsettled_starts import Guard, _Scripted
from tools.emulator.cell.cell import FakeCell, FakeDecoder, step

pytestmark = pytest.mark.looptime

TWO = ("fd1", "fd2")


async def _submit_for(cell: FakeCell, seconds: float) -> None:
    """Submit short jobs that fill three workers, one after the other."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    while loop.time() < end_at:
        reply = await cell.submit(cell.spec(step(14, 200)))
        assert reply.request_outcome is RequestOutcome.ACCEPTED
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("fault", ["none", "holder lost", "history lost"])
@with_cell(failure_domains=TWO)
async def test_no_task_starts_in_an_evacuated_failure_domain(
    cell: FakeCell, fault: str
) -> None:
    """Guards against starts in a failure domain that the operator evacuates."""
    cell.evacuate("a domain without workers")
    cell.evacuate("fd1")
    await _submit_for(cell, 0.3)
    cell.end_evacuation("fd1")
    cell.evacuate("fd1")
    cell.store.put(Topic.CONFIG, "evacuate/", b"{}")
    await _submit_for(cell, 5.0)
    if fault == "holder lost":
        cell.kill_vm((await cell.wait_for_holder()).name)
    elif fault == "history lost":
        cell.store.truncate(Topic.CONFIG)
    await _submit_for(cell, 4.0)
    cell.end_evacuation("fd1")
    before = cell.fleet.starts_by_domain["fd1"]
    await _submit_for(cell, 3.0)
    assert cell.fleet.starts_by_domain["fd1"] > before
    assert await cell.finished(cell.accepted, 10.0) == set()


@with_cell(failure_domains=TWO)
async def test_all_workers_are_evacuated_and_taken_back(cell: FakeCell) -> None:
    """Guards against runs that an evacuation ends, and jobs that it loses."""
    running = cell.spec(step(2, 9_000))
    await cell.submit(running)
    await asyncio.sleep(0.5)
    for name in TWO:
        cell.evacuate(name)
    await asyncio.sleep(0.5)
    waiting = cell.spec(step(4, 200, gang=True))
    await cell.submit(waiting)
    await asyncio.sleep(7.0)
    core = (await cell.wait_for_holder()).core
    assert core is not None
    explanation = core.explain(waiting.job_id)
    assert "(evacuated)" in str(explanation), explanation
    text = core.metrics.render().decode()
    assert "briarrun_evacuated_failure_domains 2.0" in text
    assert "briarrun_evacuated_workers 4.0" in text
    for name in TWO:
        cell.end_evacuation(name)
    assert await cell.finished(cell.accepted, 4.0) == set()
    assert cell.fleet.starts == 6, "a run was ended and its task started again"


@with_cell(failure_domains=TWO, capacity=Resources(4000, 32000))
async def test_holder_is_lost_between_assignment_and_start(cell: FakeCell) -> None:
    """Guards against a new holder that starts a task where the old one assigned it."""
    cell.fleet.max_order_delay_s = 60.0
    await cell.submit(cell.spec(step(12, 300)))
    await asyncio.sleep(0.2)
    assigned = cell.store.values(Topic.JOBS)[-1].value
    assert assigned is not None and b"w0" in assigned and b"w1" in assigned
    assert not cell.fleet.starts
    cell.kill_vm((await cell.wait_for_holder()).name)
    cell.fleet.max_order_delay_s = 0.0
    cell.evacuate("fd1")
    assert await cell.finished(cell.accepted, 20.0) == set()
    assert set(cell.fleet.starts_by_domain) == {"fd2"}


@with_cell(vms=2, failure_domains=TWO)
async def test_new_holder_reads_the_evacuations_before_it_decides(
    cell: FakeCell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a takeover by a VM that could not read requests for a while."""
    holder = await cell.wait_for_holder()
    (other,) = (vm for vm in cell.vms_by_name.values() if vm is not holder)
    read, unreadable = other.store.read, {Topic.CONFIG}

    async def read_others(topic: Topic, start: int, **times: float) -> ReadResult:
        if topic in unreadable:
            await asyncio.sleep(0.5)
            raise StoreUnavailable("no answer")
        return await read(topic, start, **times)

    monkeypatch.setattr(other.store, "read", read_others)
    for _ in range(20):
        await cell.submit(cell.spec(step(14, 1_500)), holder.name)
    await asyncio.sleep(1.0)
    cell.evacuate("fd1")
    await asyncio.sleep(6.0)
    cell.kill_vm(holder.name)
    await asyncio.sleep(3.0)
    unreadable.clear()
    assert await cell.finished(cell.accepted, 60.0) == set()


@pytest.mark.parametrize("sent", [False, True], ids=["not sent", "not answered"])
async def test_start_order_is_not_sent_after_the_evacuation(sent: bool) -> None:
    """Guards against an order to an evacuated worker, and capacity given up too early."""
    ledger = make_ledger(3)
    gang = StepSpec(count=2, need=Resources(5000, 10), gang=not sent)
    job(ledger, "j", gang)
    planner = Planner(ledger)
    (placement,) = planner.plan().placements
    lost, run = placement.step, placement.runs[0]

    class _Evacuating(_Scripted):
        async def start(self, *_: object) -> object:  # type: ignore[override]
            ledger.evacuated_domains = frozenset({"fd"})
            return await super().start(*_)

    workers = _Evacuating((OrderOutcome.UNKNOWN, OrderOutcome.DONE))
    sender = OrderSender(workers, ledger, ledger.clock, Guard())
    if not sent:
        ledger.evacuated_domains = frozenset({"fd"})
    await sender.start(run, lost)
    assert run.state is (RunState.STARTING if sent else RunState.OVER)
    assert lost.pending == (set() if sent else {0, 1})
    assert not lost.progress.failed_runs_by_index
    assert not planner.plan().placements
    ledger.evacuated_domains = frozenset()
    assert len(planner.plan().placements) == (0 if sent else 1)


@pytest.mark.parametrize("evacuated", [1, 2])
def test_gang_whose_workers_are_partly_evacuated(evacuated: int) -> None:
    """Guards against a gang that starts in part, or not although it would fit."""
    ledger = make_ledger(4)
    for worker in list(ledger.workers_by_id.values())[:evacuated]:
        worker.entry = replace(worker.entry, failure_domain="away")
    ledger.evacuated_domains = frozenset({"away"})
    job(ledger, "j", StepSpec(count=3, need=Resources(5000, 10), gang=True))
    job(ledger, "advised", queue=make_queue(0, advised=True))
    plan = Planner(ledger).plan()
    runs = [run for each in plan.placements for run in each.runs]
    assert len(runs) == (3 if evacuated == 1 else 0)
    (request,) = plan.advice_requests
    asked = [*request.workers, *(run.worker for run in runs)]
    assert not any(ledger.is_evacuated(worker) for worker in asked)


def test_record_that_cannot_be_read_leaves_the_others_in_force() -> None:
    """Guards against an odd record that ends other evacuations, or hides its own."""
    evacuations = Evacuations(FakeDecoder())
    evacuations.on_snapshot([Record("evacuate/a", b"{}")], 0.0)
    odd = [Record("evacuate/", b"{}"), Record("evacuate/b", b"]")]
    evacuations.on_records([*odd, Record("config", b"0"), Record("wave/1", b"")], 0.0)
    assert evacuations.failure_domains == {"a", "b"}
    evacuations.on_records([Record("evacuate/a", None)], 0.0)
    evacuations.on_snapshot([Record("evacuate/c", b"{}")], 0.0)
    assert evacuations.failure_domains == {"c"}
