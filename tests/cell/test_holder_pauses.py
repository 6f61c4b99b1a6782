"""Tests of holders that stand still for about as long as their term."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_cell.ledger import Ledger
from briarrun_cell.model import JobSpec
from tests.cell.running import with_cell
from tools.emulator.cell.cell import CellVm, FakeCell, step

pytestmark = pytest.mark.looptime

SUBMIT_INTERVAL_S = 0.04
LOAD_S = 5.0
CUT_AT_S = 1.0
CUT_S = 5.0
FIRST_PAUSE_S = 1.5
"""Time into the cut from which runs that did not start are stopped."""

PAUSES = 4
PAUSE_INTERVAL_S = 0.35
SETTLE_S = 8.0
"""Time after the faults in which every order is carried out and every end is read."""


def _ledger(vm: CellVm) -> Ledger:
    assert vm.core is not None and vm.core.holder.session is not None
    return vm.core.holder.session.ledger


async def _submit_and_cancel(cell: FakeCell) -> None:
    """Submit short jobs, and cancel some of them while they run."""
    loop = asyncio.get_running_loop()
    cancelled: list[JobSpec] = []
    ends_at = loop.time() + LOAD_S
    while loop.time() < ends_at:
        kind = cell.number % 4
        spec = cell.spec(step(2, 3_000 if kind == 0 else 300, 400, gang=kind == 1))
        await cell.submit(spec)
        if kind == 0:
            cancelled.append(spec)
        if len(cancelled) > 3:
            await cell.cancel(cancelled.pop(0))
        await asyncio.sleep(SUBMIT_INTERVAL_S)
    for spec in cancelled:
        await cell.cancel(spec)


async def _pause_holder(cell: FakeCell, pause_s: float) -> None:
    for _ in range(PAUSES):
        holder = await cell.wait_for_holder()
        holder.store.running.clear()
        await asyncio.sleep(pause_s)
        holder.store.running.set()
        await asyncio.sleep(PAUSE_INTERVAL_S)


@pytest.mark.parametrize("phase_s", [0.0, 0.12, 0.24, 0.36])
@pytest.mark.parametrize("pause_s", [0.30, 0.36, 0.40, 0.42, 0.46, 0.50])
@with_cell()
async def test_short_pause_of_the_holder_leaves_nothing_undone(
    cell: FakeCell, pause_s: float, phase_s: float
) -> None:
    """Guards against orders that are forgotten when a term ends and is renewed (LOST).

    While a worker is cut off, orders to start and to stop its runs are repeated, and
    ends are not read.
    """
    load = asyncio.create_task(_submit_and_cancel(cell))
    await asyncio.sleep(CUT_AT_S)
    cut = cell.fleet.workers_by_address["w0:1"]
    cut.faults.cut = True
    asyncio.get_running_loop().call_later(CUT_S, setattr, cut.faults, "cut", False)
    await asyncio.sleep(FIRST_PAUSE_S + phase_s)
    await _pause_holder(cell, pause_s)
    await load
    await asyncio.sleep(SETTLE_S)
    assert await cell.finished(cell.accepted, 0.1) == set()
    ledger = _ledger(await cell.wait_for_holder())
    for worker in ledger.workers_by_id.values():
        assert not worker.runs_by_id, [
            (run.task, run.state) for run in worker.runs_by_id.values()
        ]
    for life in cell.fleet.workers_by_address.values():
        assert not life.runs_by_id and not life.ended
