"""Tests that no task runs again after its end, beside faults of workers and links."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.model import JobSpec, StepSpec
from briarrun_cell.ports import Topic
from briarrun_core.resources import Resources
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step
from tools.emulator.cell.fleet import FakeWorker, WorkerFaults

pytestmark = pytest.mark.looptime

LOAD_S = 12.0
"""Duration of the load beside workers that start again and again."""

SETTLE_S = 15.0
"""Time after a load in which its jobs must end."""


async def _submit(cell: FakeCell, *steps: StepSpec) -> JobSpec:
    spec = cell.spec(*steps)
    while (await cell.submit(spec)).request_outcome is not RequestOutcome.ACCEPTED:
        await asyncio.sleep(0.05)
    return spec


async def _send_load(cell: FakeCell, seconds: float, longest_ms: int = 500) -> None:
    """Submit short jobs, some with gangs and chains."""
    rng = cell.rng
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    while loop.time() < end_at:
        await asyncio.sleep(rng.expovariate(8.0))
        run_ms = rng.randint(150, longest_ms)
        shape = rng.choice(("one", "wide", "gang", "chain"))
        if shape == "one":
            await _submit(cell, step(1, run_ms))
        elif shape == "wide":
            await _submit(cell, step(rng.randint(2, 6), run_ms))
        elif shape == "gang":
            await _submit(cell, step(rng.randint(2, 4), run_ms, gang=True))
        else:
            await _submit(cell, step(2, run_ms), step(2, run_ms, after=(0,)))


async def _run_load(cell: FakeCell) -> None:
    await _send_load(cell, LOAD_S)
    await asyncio.sleep(SETTLE_S)


def _workers(cell: FakeCell) -> list[FakeWorker]:
    """Return the newest life of each worker."""
    newest: dict[str, FakeWorker] = {}
    for worker in cell.fleet.workers_by_address.values():
        known = newest.get(worker.entry.worker_id)
        if known is None or known.entry.born_ms < worker.entry.born_ms:
            newest[worker.entry.worker_id] = worker
    return list(newest.values())


async def _restart(
    cell: FakeCell, worker: FakeWorker, down_s: float, breaks_calls: bool = False
) -> FakeWorker:
    """Start a worker again under its id, which it registers a little later."""
    cell.fleet.crash(worker, refuses=True, breaks_calls=breaks_calls)
    if down_s:
        await asyncio.sleep(down_s)
    life = cell.fleet.rebirth(worker, faults=worker.faults)
    loop = asyncio.get_running_loop()
    loop.call_later(0.3, cell.register, life.entry)
    return life


async def _lose_first_answers(cell: FakeCell, gang: bool, run_ms: int) -> JobSpec:
    """Run a step whose first starts are not answered, and its ends read late.

    Half of the workers answer neither starts nor polls, but do what they are told.
    """
    await asyncio.sleep(0.5 + cell.rng.random())
    lossy = _workers(cell)[:2]
    for worker in lossy:
        worker.faults.lost_starts = worker.faults.lost_polls = 1.0
    spec = await _submit(cell, step(4, run_ms, cores=3000, gang=gang))
    while spec.job_id not in cell.fleet.first_start_by_job:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    for worker in lossy:
        worker.faults.lost_starts = 0.0
    await asyncio.sleep(1.0)
    for worker in lossy:
        worker.faults.lost_polls = 0.0
    return spec


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("gang", [False, True], ids=["plain", "gang"])
@pytest.mark.parametrize("run_ms", [150, 250, 390])
@with_cell(max_attempts=3)
async def test_done_run_whose_repeated_start_is_refused_does_not_run_again(
    cell: FakeCell, seed: int, gang: bool, run_ms: int
) -> None:
    """Guards against a refusal of an ended run that is taken for "not started" (TWICE)."""
    spec = await _lose_first_answers(cell, gang, run_ms)
    assert await cell.finished({spec.job_id}, SETTLE_S) == set()
    await asyncio.sleep(3.0)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("gang", [False, True], ids=["plain", "gang"])
@pytest.mark.parametrize("run_ms", [150, 250, 390])
@with_cell(max_attempts=2)
async def test_failed_run_whose_repeated_start_is_refused_counts_as_an_attempt(
    cell: FakeCell, seed: int, gang: bool, run_ms: int
) -> None:
    """Guards against more failed runs than the attempts of a task (BUDGET)."""
    await asyncio.sleep(0.5 + cell.rng.random())
    for worker in _workers(cell):
        worker.faults.lost_starts = worker.faults.lost_polls = 1.0
    spec = cell.spec(step(2 if gang else 1, run_ms, cores=5000, gang=gang))
    cell.fleet.poison.add(spec.job_id)
    while (await cell.submit(spec)).request_outcome is not RequestOutcome.ACCEPTED:
        await asyncio.sleep(0.05)
    while cell.fleet.starts < spec.steps[0].count:
        await asyncio.sleep(0.01)
    lossy = [worker for worker in _workers(cell) if worker.runs_by_id]
    for worker in _workers(cell):
        worker.faults.lost_starts = 0.0
        if worker in lossy:
            # The later runs are on other workers, whose ends are read at once.
            cell.register(replace(worker.entry, draining=True))
        else:
            worker.faults.lost_polls = 0.0
    await asyncio.sleep(1.2)
    for worker in lossy:
        worker.faults.lost_polls = 0.0
    assert await cell.finished({spec.job_id}, SETTLE_S) == set()
    await asyncio.sleep(3.0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("breaks_calls", [False, True], ids=["hang", "break"])
@pytest.mark.parametrize("registers", [True, False], ids=["entry", "no-entry"])
@pytest.mark.parametrize("down_s", [0.0, 0.05, 0.3])
@with_cell()
async def test_next_life_forgets_no_end_before_it_is_read(
    cell: FakeCell, seed: int, breaks_calls: bool, registers: bool, down_s: float
) -> None:
    """Guards against a cursor of an earlier life of a worker (TWICE)."""
    load = asyncio.create_task(_run_load(cell))
    for _ in range(int(LOAD_S / 0.8)):
        await asyncio.sleep(0.8)
        worker = cell.rng.choice(_workers(cell))
        cell.fleet.crash(worker, refuses=True, breaks_calls=breaks_calls)
        if down_s:
            await asyncio.sleep(down_s)
        life = cell.fleet.rebirth(worker)
        if registers:
            cell.register(life.entry)
    await load


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("late_s", [2.0, 4.0])
@with_cell()
async def test_late_polls_do_no_harm_in_the_next_life(
    cell: FakeCell, seed: int, late_s: float
) -> None:
    """Guards against polls that are carried out in a later life (TWICE)."""
    await _run_beside_late_calls(cell, late_s, orders=0.0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("late_s", [2.0, 4.0])
@with_cell()
async def test_late_orders_do_no_harm_in_the_next_life(
    cell: FakeCell, seed: int, late_s: float
) -> None:
    """Guards against polls and orders that are carried out in a later life (TWICE)."""
    await _run_beside_late_calls(cell, late_s, orders=0.2)


async def _run_beside_late_calls(cell: FakeCell, late_s: float, orders: float) -> None:
    for worker in _workers(cell):
        worker.faults.late_polls, worker.faults.late_s = 0.2, late_s
        worker.faults.late_orders = orders
    load = asyncio.create_task(_run_load(cell))
    for _ in range(int(LOAD_S / 1.3)):
        await asyncio.sleep(1.3)
        await _restart(cell, cell.rng.choice(_workers(cell)), 0.0)
    await load


@pytest.mark.parametrize("run_ms", [700, 2_500])
@pytest.mark.parametrize("cut_s", [0.6, 1.5, 3.0])
@pytest.mark.parametrize("returns", [False, True], ids=["expired", "registers again"])
@pytest.mark.parametrize("refuses", [False, True], ids=["silent", "refuses"])
@with_cell()
async def test_tasks_of_a_draining_worker_that_is_cut_off_run_nowhere_else(
    cell: FakeCell, run_ms: int, cut_s: float, returns: bool, refuses: bool
) -> None:
    """Guards against a cut that is taken for the end of a process (TWICE)."""
    spec = await _submit(cell, step(8, run_ms))
    while cell.fleet.starts < 8:
        await asyncio.sleep(0.01)
    leaving = next(each for each in _workers(cell) if each.runs_by_id)
    entry = replace(leaving.entry, draining=True)
    cell.register(entry)
    await asyncio.sleep(0.1)
    leaving.faults = WorkerFaults(cut=True, cut_refuses=refuses)
    cell.store.put(Topic.WORKERS, entry.worker_id, None)
    await asyncio.sleep(cut_s)
    leaving.faults.cut = False
    if returns:
        cell.register(entry)
    assert await cell.finished({spec.job_id}, SETTLE_S) == set()
    await asyncio.sleep(3.0)


@pytest.mark.parametrize("held_up", ["", "polls", "store"])
@pytest.mark.parametrize("tasks", [400, 600, 1_600])
@with_cell(workers=1, capacity=Resources(160_000, 640_000))
async def test_ends_beyond_the_first_page_are_not_missing_runs(
    cell: FakeCell, tasks: int, held_up: str
) -> None:
    """Guards against a run beyond a full page of ends that counts as lost (TWICE)."""
    spec = await _submit(cell, step(tasks, 600, cores=100))
    while cell.fleet.starts < tasks:
        await asyncio.sleep(0.01)
    (worker,) = _workers(cell)
    if held_up == "polls":
        worker.faults.lost_polls = 1.0
    elif held_up == "store":
        cell.store.faults.slow_factor = 50.0
    await asyncio.sleep(2.0)
    worker.faults.lost_polls = 0.0
    cell.store.faults.slow_factor = 1.0
    assert await cell.finished({spec.job_id}, SETTLE_S) == set()
    await asyncio.sleep(3.0)
    assert not cell.fleet.violations, cell.fleet.violations[:3]
    assert cell.fleet.starts == tasks


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cores", [2_000, 16_000])
@pytest.mark.parametrize("moves", [False, True], ids=["same address", "moves"])
@with_cell()
async def test_next_life_of_another_size_or_address_is_another_worker(
    cell: FakeCell, seed: int, cores: int, moves: bool
) -> None:
    """Guards against orders that are meant for a smaller, larger or moved worker."""
    load = asyncio.create_task(_run_load(cell))
    for number in range(int(LOAD_S / 1.5)):
        await asyncio.sleep(1.5)
        worker = cell.rng.choice(_workers(cell))
        entry = worker.entry
        address = f"{entry.worker_id}:{number + 2}" if moves else entry.address
        size = cores if entry.capacity.cores == 8_000 else 8_000
        cell.fleet.crash(worker, refuses=True)
        life = cell.fleet.rebirth(
            worker, address=address, capacity=Resources(size, 32_000)
        )
        cell.register(life.entry)
    await load
