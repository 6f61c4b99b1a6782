"""One job with a long schedule keeps all later jobs of the cell from starting."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins.cell import Cell, run_case

HOUR_MS = 3_600_000
HOURS_OF_A_YEAR = 8_760
HOURS_OF_A_DAY = 24

LATER_JOBS = 10
FINISH_S = 14.0
"""``finish_s`` of the site."""


def step(**fields: object) -> dict:
    """Return a small step."""
    return {"count": 1, "cpu": 500, "requestedMemoryMb": 64, "estimatedMs": 500} | fields


def hourly(hours: int) -> dict:
    """Return a job of three steps that runs every hour, from now on."""
    return {
        "specification": "hourly report",
        "steps": [step(), step(after=[0]), step(after=[1])],
        "firstRunMs": time.time_ns() // 1_000_000 + 500,
        "intervalMs": HOUR_MS,
        "repetitions": hours,
    }


async def case(cell: Cell, trouble: bool) -> bool:
    """Hand in one scheduled job, then ordinary ones; return whether these are lost."""
    simple = {"specification": "booking", "steps": [step(count=2)]}
    assert await cell.submit("00000000000000aa", simple)
    await asyncio.sleep(3.0)
    assert await cell.state("00000000000000aa") == "completed"

    hours = HOURS_OF_A_YEAR if trouble else HOURS_OF_A_DAY
    if not await cell.submit("00000000000000bb", hourly(hours)):
        cell.note("the scheduled job was not accepted, so nothing is owed for it")
    await asyncio.sleep(3.0)

    accepted = []
    for number in range(LATER_JOBS):
        job_id = f"000000000001{number:02x}aa"
        if await cell.submit(job_id, simple):
            accepted.append(job_id)
        await asyncio.sleep(0.3)
    await asyncio.sleep(FINISH_S)

    lost = []
    for job_id in accepted:
        state = await cell.state(job_id)
        started = any(task.startswith(job_id) for _, task, _, _ in cell.fleet.starts)
        if not started and state not in ("completed", "failed"):
            lost.append(job_id)
    running = sum(len(worker.runs) for worker in cell.fleet.workers.values())
    total = sum(worker.cores for worker in cell.fleet.workers.values())
    cell.note(
        f"{len(accepted)} later jobs accepted, {len(lost)} of them have had no task "
        f"running since, {FINISH_S} s and more; {running} tasks run on workers with "
        f"{total} millicores; largest refused record: "
        f"{max(cell.store.refused_sizes, default=0)} bytes, "
        f"{len(cell.store.refused_sizes)} times"
    )
    return bool(lost) and running == 0


sys.exit(run_case(case, Path(__file__).parent))
