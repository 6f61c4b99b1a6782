"""Tests of the runs that are moved off workers that will be gone."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from briarrun_cell.decisions.departures import STOP_LEAD_S, Departures
from briarrun_cell.decisions.planner import Planner
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import StepSpec
from briarrun_cell.workers import StopReason
from briarrun_core.resources import Resources
from tests.cell.rounds import step_of
from tests.cell.running import with_cell
from tests.cell.test_ledger import ManualClock, job, make_ledger, started
from tools.emulator.cell.cell import FakeCell, step

NOTICE_S = 5.5


async def _replay(cell: FakeCell) -> float:
    """Run jobs on machines that are taken back one after the other.

    Returns the time until all jobs ended.
    """
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    for number in range(48):
        fields = {"checkpoints": number % 3 > 0, "gang": number % 4 == 0}
        run_ms = (1_500, 6_000, 14_000)[number % 3]
        await cell.submit(cell.spec(step(3, run_ms, 1_000, **fields)))
    for number in range(8):
        await asyncio.sleep(2.0)
        cell.preempt(cell.fleet.workers_by_address[f"w{number}:1"], NOTICE_S)
        cell.add_worker(f"w{number + 8}")
    assert await cell.finished(cell.accepted, 120.0) == set()
    return loop.time() - began_at


@pytest.mark.looptime
@pytest.mark.parametrize("moves", [False, True], ids=["without", "with"])
@with_cell(workers=8)
async def test_work_lost_with_machines_that_are_taken_back(
    cell: FakeCell, monkeypatch: pytest.MonkeyPatch, moves: bool
) -> None:
    """Guards against the loss of work that could have been saved within the notice."""
    if not moves:
        monkeypatch.setattr(Departures, "choose", lambda self: [])
    took_s = await _replay(cell)
    print(
        f"lost {cell.fleet.lost_core_s:.0f} core-seconds, all ended in {took_s:.1f} s"
    )
    core = (await cell.wait_for_holder()).core
    assert core is not None
    metric = f'briarrun_stopped_runs_total{{reason="{StopReason.DEPARTURE}"}}'
    assert (metric in core.metrics.render().decode()) is moves
    if moves:
        assert cell.fleet.lost_core_s == 0.0
    else:
        assert cell.fleet.lost_core_s > 100.0, "the load shows nothing"


@pytest.mark.looptime
@with_cell(workers=2)
async def test_holder_is_lost_between_the_stop_and_the_next_start(
    cell: FakeCell,
) -> None:
    """Guards against progress that was saved and is lost with the holder."""
    loop = asyncio.get_running_loop()
    for saves in (True, False):
        spec = cell.spec(step(8, 9_000, checkpoints=saves), queue="urgent")
        await cell.submit(spec)
    await asyncio.sleep(1.0)
    leaving = next(
        worker
        for worker in cell.fleet.workers_by_address.values()
        for task, _ in worker.runs_by_id
        if task.job_id.endswith("1")
    )
    cell.preempt(leaving, NOTICE_S)
    preempted_at = loop.time()
    while not any(run.stopping for run in leaving.runs_by_id.values()):
        await asyncio.sleep(0.01)
    assert loop.time() - preempted_at > NOTICE_S - STOP_LEAD_S - 1.0, "no room before"
    cell.kill_vm((await cell.wait_for_holder()).name)
    cell.add_worker("w2")
    assert await cell.finished(cell.accepted, 9.0) == set()
    assert cell.fleet.lost_core_s == 0.0


def _moved(ledger: Ledger, departures: Departures) -> list[int]:
    """Return the tasks that are stopped now."""
    runs = [run for each in departures.choose() for run in each.runs]
    for run in runs:
        ledger.stop(run, StopReason.DEPARTURE)
    return sorted(run.task.ordinal for run in runs)


LONG: dict[str, Any] = {"checkpoints": True, "estimated_ms": 20_000}
ALL = [0, 1, 2, 3]


@pytest.mark.parametrize(
    ("fields", "room", "at_once", "at_last"),
    [
        (LONG, 4, ALL, []),
        (LONG, 2, [0, 1], [2, 3]),
        (LONG, 0, [], ALL),
        ({**LONG, "checkpoints": False}, 4, [], []),
        ({**LONG, "estimated_ms": 3_000}, 4, [], []),
        ({**LONG, "gang": True}, 4, ALL, []),
        ({**LONG, "gang": True}, 3, [], ALL),
        ({**LONG, "max_unavailable": 1}, 4, [0], []),
        ({**LONG, "max_unavailable": 0}, 0, [], []),
        ({**LONG, "service": True, "estimated_ms": 100}, 4, ALL, []),
    ],
)
def test_choice_of_the_runs_to_stop(
    fields: dict[str, Any], room: int, at_once: list[int], at_last: list[int]
) -> None:
    """Guards against runs that are stopped for nothing, too late, or in part."""
    ledger = make_ledger(1)
    assert isinstance(ledger.clock, ManualClock)
    (leaving,) = ledger.workers_by_id.values()
    job(ledger, "j", StepSpec(count=4, need=Resources(2000, 10), **fields))
    assert len(started(ledger)) == 4
    entry = replace(
        leaving.entry, draining=True, remaining_s=NOTICE_S, read_at=ledger.clock.now()
    )
    other = replace(leaving.entry, worker_id="w1", capacity=Resources(2000 * room, 99))
    leaving.update_entry(entry)
    for worker in ledger.set_workers([entry, other], []):
        worker.inventory_known, worker.contact_at = True, 1e9
    departures = Departures(ledger)
    assert _moved(ledger, departures) == at_once
    ledger.clock.time += NOTICE_S - STOP_LEAD_S
    assert _moved(ledger, departures) == at_last


def test_task_is_not_stopped_twice_in_a_short_time() -> None:
    """Guards against a task that only moves while several workers leave."""
    ledger = make_ledger(3)
    assert isinstance(ledger.clock, ManualClock)
    job(ledger, "j", StepSpec(need=Resources(2000, 10), **LONG))
    departures, stops = Departures(ledger), []
    for _ in range(16):
        for run in step_of(ledger, "j").runs():
            entry = run.worker.entry
            now = ledger.clock.now()
            run.worker.update_entry(
                replace(entry, draining=True, remaining_s=1.0, read_at=now)
            )
        if _moved(ledger, departures):
            stops.append(ledger.clock.now())
            (run,) = step_of(ledger, "j").runs()
            ledger.drop_run(run)
            ledger.requeue(run.task, "saved")
        ledger.clock.time += 0.25
        for worker in ledger.workers_by_id.values():
            worker.contact_at = ledger.clock.now()
        for placement in Planner(ledger).plan().placements:
            for run in placement.runs:
                ledger.on_started(run)
                run.state = run.state.RUNNING
    assert len(stops) == 2 and stops[1] - stops[0] >= 2.0
