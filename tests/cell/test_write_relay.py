"""Tests of submissions that are stored through the holder."""

from __future__ import annotations

import asyncio
import random

import pytest

from briarrun_cell.clock import LoopClock
from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.ports import Record
from briarrun_cell.record_writer import RecordWriter, WriteOutcome, WriteResult
from briarrun_cell.store_monitor import ObservedStore, StoreMonitor
from briarrun_cell.write_relay import PAUSE_S, RecordRelay, SubmissionWriter
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step
from tools.emulator.cell.store import FakeStore, StoreView

pytestmark = pytest.mark.looptime

URGENT_START_S = 1.2
"""Time within which urgent work starts, from docs/CAPACITY.md."""

SLOW_FACTOR = 40.0
APPEND_S = 0.001
SUBMISSIONS_PER_S = 60


async def _submit(cell: FakeCell, waits_s: list[float]) -> None:
    spec = cell.spec(step(1, 300, cores=100), queue="urgent")
    sent_at = asyncio.get_running_loop().time()
    reply = await cell.submit(spec)
    if reply.request_outcome is not RequestOutcome.ACCEPTED:
        waits_s.append(float("inf"))
        return
    while spec.job_id not in cell.fleet.first_start_by_job:
        await asyncio.sleep(0.02)
    waits_s.append(cell.fleet.first_start_by_job[spec.job_id] - sent_at)


@pytest.mark.parametrize("seed", range(3))
@with_cell(vms=20, workers=20)
async def test_submissions_at_many_vms_while_the_store_is_slow(
    cell: FakeCell, seed: int
) -> None:
    """Guards against a queue of appends that the store refuses."""
    await asyncio.sleep(2.0)
    cell.store.append_s = APPEND_S
    cell.store.faults.slow_factor = SLOW_FACTOR
    waits_s: list[float] = []
    async with asyncio.TaskGroup() as tasks:
        for _ in range(4 * SUBMISSIONS_PER_S):
            tasks.create_task(_submit(cell, waits_s))
            await asyncio.sleep(1 / SUBMISSIONS_PER_S)
    in_time = sum(wait_s <= URGENT_START_S for wait_s in waits_s)
    assert in_time >= 0.95 * len(waits_s)


@pytest.mark.parametrize("seed", range(3))
@with_cell(vms=4)
async def test_lost_answers_to_relayed_writes(cell: FakeCell, seed: int) -> None:
    """Guards against a job that is refused or runs twice after a lost answer."""
    await asyncio.sleep(2.0)
    cell.lose_relay_answers = 1.0
    specs = [cell.spec(step(1, 100)) for _ in range(20)]
    for spec in specs:
        reply = await cell.submit(spec)
        assert reply.request_outcome is RequestOutcome.ACCEPTED
        await asyncio.sleep(0.3)
    assert not await cell.finished({spec.job_id for spec in specs}, 5.0)


@pytest.mark.parametrize("frozen", [False, True], ids=["killed", "frozen"])
@with_cell(vms=4)
async def test_submission_while_the_holder_is_lost(
    cell: FakeCell, frozen: bool
) -> None:
    """Guards against submissions that fail until there is another holder."""
    await asyncio.sleep(2.0)
    holder = await cell.wait_for_holder()
    if frozen:
        holder.store.running.clear()
    else:
        cell.kill_vm(holder.name)
    others = [name for name in cell.vms_by_name if name != holder.name]
    specs = [cell.spec(step(1, 100)) for _ in others]
    replies = await asyncio.gather(
        *(cell.submit(spec, vm) for spec, vm in zip(specs, others, strict=True))
    )
    outcomes = {reply.request_outcome for reply in replies}
    assert outcomes == {RequestOutcome.ACCEPTED}
    holder.store.running.set()
    assert not await cell.finished({spec.job_id for spec in specs}, 8.0)


class _ScriptedRelay(RecordRelay):
    def __init__(self, outcome: WriteOutcome) -> None:
        self._outcome = outcome
        self.calls = 0

    async def write_via(
        self,
        address: str,
        record: Record,
        *,
        send_within_s: float,
        timeout_s: float,
        priority: int = 0,
    ) -> WriteResult:
        self.calls += 1
        return WriteResult(self._outcome)


@pytest.mark.parametrize(
    ("relayed", "store_is_down", "expected"),
    [
        (WriteOutcome.STORED, True, WriteOutcome.STORED),
        (WriteOutcome.NOT_STORED, False, WriteOutcome.STORED),
        (WriteOutcome.NOT_STORED, True, WriteOutcome.NOT_STORED),
        (WriteOutcome.UNREACHABLE, False, WriteOutcome.UNREACHABLE),
        (WriteOutcome.UNKNOWN, False, WriteOutcome.STORED),
        (WriteOutcome.UNKNOWN, True, WriteOutcome.UNKNOWN),
    ],
)
async def test_outcome_of_a_write_that_the_holder_did_not_confirm(
    relayed: WriteOutcome, store_is_down: bool, expected: WriteOutcome
) -> None:
    """Guards against a caller who is told that a job that may be stored has not run."""
    store = FakeStore(random.Random(1))
    store.faults.down = store_is_down
    clock = LoopClock()
    observed = ObservedStore(StoreView(store), clock)
    monitor = StoreMonitor(observed, clock, lambda: 0)
    appender = RecordWriter(observed, clock, monitor)
    running = asyncio.ensure_future(appender.run())
    relay = _ScriptedRelay(relayed)
    writer = SubmissionWriter(appender, relay, lambda: "holder:1", clock, monitor)
    written = await writer.write(Record("j/1", b"{}"), 0.1, 0.9)
    assert written.outcome is expected
    await writer.write(Record("j/2", b"{}"), 0.1, 0.9)
    assert relay.calls == (2 if relayed is WriteOutcome.STORED else 1)
    await asyncio.sleep(PAUSE_S)
    await writer.write(Record("j/3", b"{}"), 0.1, 0.9)
    assert relay.calls == (3 if relayed is WriteOutcome.STORED else 2)
    running.cancel()
