"""A leaving worker that is cut off is taken for ended, and its tasks run twice."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins.cell import Cell, run_case

JOB = "00000000000000aa"
TASK_S = 12.0
TASKS = 4

CUT_AFTER_S = 0.5
"""Time from the notice of leaving to the cut."""

CUT_S = 5.0
"""Length of the cut; ``node_cut`` with ``servers`` has 5.5 in the site file."""

STAYS_S = 9.0
"""Time from the notice after which the worker exits: over ``drainMs``, 2.5 s."""


async def case(cell: Cell, trouble: bool) -> bool:
    """Let a worker drain, cut it off meanwhile; return whether a task ran twice."""
    cell.fleet.lengths_s[JOB] = TASK_S
    step = {
        "count": TASKS,
        "cpu": 4000,
        "requestedMemoryMb": 64,
        "estimatedMs": int(TASK_S * 1000),
    }
    assert await cell.submit(JOB, {"specification": "plan", "steps": [step]})
    async with asyncio.timeout(5.0):
        while len(cell.fleet.starts) < TASKS:
            await asyncio.sleep(0.05)
    await asyncio.sleep(1.5)

    name = cell.fleet.starts[0][3]
    worker = cell.fleet.workers[name]
    worker.drain()
    cell.note(f"{name}: reports that it is draining")
    await asyncio.sleep(CUT_AFTER_S)
    if trouble:
        cell.note(f"{name}: is cut off from the store and from all VMs, and runs on")
        worker.reaches_store = False
        worker.server.refuse()
        await asyncio.sleep(CUT_S)
        cell.note(f"{name}: the cut ends")
        await worker.server.start()
        worker.reaches_store = True
        worker.beat()
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(STAYS_S - CUT_S - CUT_AFTER_S)
    worker.reaches_store = False
    worker.crash(refuses=True)
    cell.store.put("keyed.servers", name, None)
    cell.note(f"{name}: exits and leaves the store")
    await asyncio.sleep(TASK_S + 4.0)
    cell.note(f"{JOB} is {await cell.state(JOB)} at the end")
    return bool(cell.fleet.doubles)


sys.exit(run_case(case, Path(__file__).parent, workers=16))
