"""A job handed in again, after a cancellation found that it did not exist, never runs."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin_2 import FINISH_S, TROUBLE, Cell, run  # noqa: E402

STEPS = [{"count": 2, "cpu": 500, "requestedMemoryMb": 64, "estimatedMs": 400}]


async def play(cell: Cell) -> list[str]:
    """Return whether the job is shown as cancelled without cause."""
    for _ in range(3):
        await cell.submit(STEPS)
    holder = cell.holder()
    first, other = [node for node in cell.nodes_by_name.values() if node is not holder]
    job, body = cell.new_job(STEPS)
    if TROUBLE:
        first.signal(signal.SIGKILL)
        await first.process.wait()
        cell.record.note(f"{first.name} was killed")
    status, _ = await cell.call("POST", job.target, body, first)
    if TROUBLE:
        if status is not None:
            raise RuntimeError("a machine without power has answered")
        await asyncio.sleep(1.0)
        await cell.start_node(first)
        # The client does not know whether its job was taken, and makes sure.
        status, _ = await cell.call("DELETE", job.target, b"", other)
        if status != 410:
            return [f"the job did not exist, but DELETE was answered {status}"]
        cell.record.note("the client was told that no such job exists")
        await asyncio.sleep(2.0)
        status, _ = await cell.call("POST", job.target, body, other)
    if status != 200:
        return [f"LOST: the job was not accepted: {status}"]
    cell.record.note("accepted")
    await asyncio.sleep(FINISH_S)
    state = await cell.ask(job)
    if state == "completed":
        return []
    return [
        f"LOST: accepted job {job.job_id} is shown as {state}, {FINISH_S:.0f} s after it"
        f" was accepted; {cell.fleet.first_start_by_job.get(job.job_id, 'never')} began"
    ]


sys.exit(run(play, HERE))
