"""With a few long schedules no process can take the cell over after a kill."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from standins.cell import Cell, run_case

DAY_MS = 86_400_000
HOUR_MS = 3_600_000
HOURS_OF_A_YEAR = 8_760
SCHEDULES = int(os.environ.get("SCHEDULES", "12"))

LATER_JOBS = 5
RESTART_S = 0.5
"""Time after which the platform starts a process that ended."""

FINISH_S = 14.0
"""``finish_s`` of the site."""

STEP = {"count": 1, "cpu": 500, "requestedMemoryMb": 64, "estimatedMs": 500}
SIMPLE = {"specification": "booking", "steps": [STEP | {"count": 2}]}


def hourly() -> dict:
    """Return a job that runs every hour for a year, from tomorrow on."""
    return {
        "specification": "hourly report",
        "steps": [STEP],
        "firstRunMs": time.time_ns() // 1_000_000 + DAY_MS,
        "intervalMs": HOUR_MS,
        "repetitions": HOURS_OF_A_YEAR,
    }


async def hand_in(cell: Cell, group: str) -> list[str]:
    """Hand in small jobs and return those that were accepted."""
    accepted = []
    for number in range(LATER_JOBS):
        job_id = f"0000000000{group}{number:02x}aa"
        if await cell.submit(job_id, SIMPLE):
            accepted.append(job_id)
        await asyncio.sleep(0.3)
    return accepted


async def lost(cell: Cell, job_ids: list[str]) -> list[str]:
    """Return the accepted jobs of which no task has started."""
    started = {task.partition(".")[0] for _, task, _, _ in cell.fleet.starts}
    return [job_id for job_id in job_ids if job_id not in started]


async def case(cell: Cell, trouble: bool) -> bool:
    """Kill the holder while the cell keeps schedules; return whether jobs are lost."""
    for number in range(SCHEDULES):
        assert await cell.submit(f"000000000002{number:02x}aa", hourly())
        await asyncio.sleep(0.5)
    await asyncio.sleep(3.0)
    before = await hand_in(cell, "03")
    await asyncio.sleep(3.0)
    assert before and not await lost(cell, before), "not served before the kill"

    if trouble:
        holder = cell.holder()
        assert holder is not None
        await cell.kill(holder)
        await asyncio.sleep(RESTART_S)
        await cell.start_vm(holder)
    accepted = await hand_in(cell, "01")
    await asyncio.sleep(FINISH_S)
    missing = await lost(cell, accepted)
    running = sum(len(worker.runs) for worker in cell.fleet.workers.values())
    cell.note(
        f"{len(accepted)} later jobs accepted, {len(missing)} of them have had no task "
        f"running since, {FINISH_S} s and more; {running} tasks run on all workers"
    )
    return bool(missing) and running == 0


sys.exit(run_case(case, Path(__file__).parent, vms=6))
