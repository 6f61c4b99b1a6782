"""A partition of some minions beside short freezes of the holder loses a task."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin_2 import FINISH_S, TROUBLE, Cell, run  # noqa: E402

CUT = ("m0", "m1")
CUT_S = 5.0
FIRST_FREEZE_S = 2.9
"""Time into the partition from which all orders that it met are stop orders."""
FREEZES = 2
FREEZE_S = 0.42
PAUSE_S = 0.55
"""Time between two freezes; stop orders are repeated every 0.5 s."""
TRAFFIC_S = 14.0
JOBS_PER_S = 12
STEPS = [{"count": 2, "cpu": 1000, "requestedMemoryMb": 64, "estimatedMs": 400}]


async def traffic(cell: Cell) -> None:
    """Hand in jobs of two short tasks."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + TRAFFIC_S
    calls = []
    while loop.time() < ends_at:
        calls.append(asyncio.ensure_future(cell.submit(STEPS)))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*calls)


async def trouble(cell: Cell) -> None:
    """Partition two minions, and meanwhile freeze the holder for short times."""
    await asyncio.sleep(3.0)
    for minion_id in CUT:
        cell.minions_by_id[minion_id].link.cut()
    cell.record.note(f"partition of {CUT} begins")
    await asyncio.sleep(FIRST_FREEZE_S)
    for _ in range(FREEZES):
        holder = cell.holder()
        holder.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        holder.signal(signal.SIGCONT)
        cell.record.note(f"{holder.name} was frozen for {FREEZE_S} s")
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(CUT_S - FIRST_FREEZE_S - FREEZES * (FREEZE_S + PAUSE_S))
    for minion_id in CUT:
        cell.minions_by_id[minion_id].link.heal()
    cell.record.note("the partition ends")


async def play(cell: Cell) -> list[str]:
    """Return what broke the rule LOST."""
    plays = [traffic(cell)]
    if TROUBLE:
        plays.append(trouble(cell))
    await asyncio.gather(*plays)
    cell.record.note("the traffic ends")
    await asyncio.sleep(FINISH_S)
    accepted = [job for job in cell.jobs.values() if job.accepted]
    left = [job for job in accepted if await cell.ask(job) != "completed"]
    idle = {job.job_id for job in left}
    for _ in range(33):
        used, total = cell.in_use()
        if used > total / 2:
            idle.clear()
        idle = {job_id for job_id in idle if not cell.running(job_id)}
        await asyncio.sleep(0.1)
    broken = []
    for job in left:
        state = await cell.ask(job)
        if state in ("410", "no answer", "failed", "cancelled"):
            broken.append(f"LOST: accepted job {job.job_id} is shown as {state}")
        elif job.job_id in idle:
            broken.append(
                f"LOST: accepted job {job.job_id} is {state}, and had nothing running for"
                f" 3 s, {FINISH_S:.0f} s after the end of the traffic"
            )
    cell.record.note(f"{len(accepted)} jobs accepted, {len(left)} not completed")
    print(f"{len(accepted)} jobs accepted, {len(left)} not completed")
    return broken


sys.exit(run(play, HERE))
