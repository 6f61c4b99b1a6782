"""Tests of leases of workers that start again under their id and are then cut off."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from briarrun_cell.frontend import RequestOutcome
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step
from tools.emulator.cell.fleet import FakeWorker, WorkerFaults

pytestmark = pytest.mark.looptime

WORKERS = 8
RUN_MS = 12_000
SUBMIT_INTERVAL_S = 0.9
DOWN_S = 0.6
CUT_S = 9.0
SETTLE_S = 2.0
HOLDER_LOST_BEFORE_CUT_S = 0.5


async def _submit_long_jobs(cell: FakeCell, gangs: bool) -> None:
    """Submit jobs of long tasks that occupy three quarters of the cell."""
    while True:
        spec = cell.spec(step(2, RUN_MS, 2_000, gang=gangs and cell.number % 2 == 0))
        while (await cell.submit(spec)).request_outcome is not RequestOutcome.ACCEPTED:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SUBMIT_INTERVAL_S)


def _lives(cell: FakeCell, names: tuple[str, ...]) -> list[FakeWorker]:
    return [cell.fleet.workers_by_address[f"{name}:1"] for name in names]


async def _restart(
    cell: FakeCell, names: tuple[str, ...], registers_after_s: float
) -> None:
    """Crash workers silently, and start them again under their ids."""
    lives = _lives(cell, names)
    for life in lives:
        cell.fleet.crash(life)
    await asyncio.sleep(DOWN_S)
    loop = asyncio.get_running_loop()
    for life in lives:
        successor = cell.fleet.rebirth(life)
        loop.call_later(registers_after_s, cell.register, successor.entry)


def _set_cut(cell: FakeCell, names: tuple[str, ...], cut: bool) -> None:
    for life in _lives(cell, names):
        life.faults = WorkerFaults(cut=cut)


async def _check_restarts_before_a_cut(
    cell: FakeCell,
    *,
    cut_after_s: float,
    restarts: int = 1,
    gangs: bool = False,
    holder_lost: bool = False,
    registers_after_s: float = 1.2,
) -> None:
    """Run long tasks while half of the workers restart and are cut off a little later."""
    names = ("w0", "w1")
    load = asyncio.create_task(_submit_long_jobs(cell, gangs))
    await asyncio.sleep(2.0)
    for _ in range(2):
        for _ in range(restarts):
            await _restart(cell, names, registers_after_s)
            await asyncio.sleep(0.2 if restarts > 1 else 0.0)
        lost = ""
        if holder_lost:
            await asyncio.sleep(max(0.0, cut_after_s - HOLDER_LOST_BEFORE_CUT_S))
            lost = (await cell.wait_for_holder()).name
            cell.kill_vm(lost)
            await asyncio.sleep(min(cut_after_s, HOLDER_LOST_BEFORE_CUT_S))
        else:
            await asyncio.sleep(cut_after_s)
        _set_cut(cell, names, True)
        await asyncio.sleep(CUT_S)
        if lost:
            cell.start_vm(lost)
        _set_cut(cell, names, False)
        await asyncio.sleep(4.0)
    load.cancel()
    await asyncio.sleep(SETTLE_S)


@pytest.mark.parametrize("cut_after_s", [0.0, 0.02, 0.1, 0.5, 1.5, 2.0, 4.0])
@pytest.mark.parametrize("max_lease_s", [6.0, 10.0, 20.0])
async def test_tasks_of_a_restarted_worker_that_is_cut_off_run_nowhere_else(
    max_lease_s: float, cut_after_s: float
) -> None:
    """Guards against leases that are longer than the holder assumes (TWICE).

    A call to the former life reaches the next one, on whose clock its time is far ahead.
    """

    @with_cell(workers=WORKERS, max_lease_s=max_lease_s)
    async def check(cell: FakeCell) -> None:
        await _check_restarts_before_a_cut(cell, cut_after_s=cut_after_s)

    await check()


@pytest.mark.parametrize("cut_after_s", [0.05, 1.5])
@pytest.mark.parametrize(
    "variant",
    [
        {"restarts": 2},
        {"gangs": True},
        {"holder_lost": True},
        {"registers_after_s": 0.0},
        {"restarts": 2, "gangs": True, "holder_lost": True},
    ],
    ids=lambda variant: " ".join(variant),
)
@with_cell(workers=WORKERS, max_lease_s=10.0)
async def test_leases_of_restarted_workers_beside_other_changes(
    cell: FakeCell, variant: dict[str, Any], cut_after_s: float
) -> None:
    """Guards against the same fault beside restarts, gangs and takeovers (TWICE)."""
    await _check_restarts_before_a_cut(cell, cut_after_s=cut_after_s, **variant)
