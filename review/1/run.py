"""VMs that replace those of one zone never again answer for the state of a job."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins.cell import Cell, Vm, run_case
from standins.dark import DarkAddress

ZONE = "z1"
VMS = 9
JOBS = 6
GONE_S = 2.0
"""Time from the end of a machine to the start of the one that replaces it."""

SETTLE_S = 6.0
"""Time between replacements; over ``contactMs``, 4 s."""

FINISH_S = 14.0
"""``finish_s`` of the site."""

DEADLINE_S = 3.0
"""Deadline of the clients' requests."""


async def ask(cell: Cell, job_id: str, vms: list[Vm]) -> bool:
    """Ask for a job as a client of the zone does, until an answer comes or time is up."""
    until = time.monotonic() + FINISH_S
    tries = 0
    while time.monotonic() < until:
        vm = vms[tries % len(vms)]
        tries += 1
        answer = await cell.call("GET", job_id, vm=vm, timeout_s=DEADLINE_S)
        if answer is not None and answer.status == 200:
            return True
        await asyncio.sleep(1.0)  # What Retry-After says.
    return False


async def case(cell: Cell, trouble: bool) -> bool:
    """Replace the VMs of a zone one by one; return whether jobs get no answer there."""
    job = {
        "specification": "booking",
        "steps": [
            {"count": 1, "cpu": 500, "requestedMemoryMb": 64, "estimatedMs": 500}
        ],
    }
    accepted = []
    for number in range(JOBS):
        job_id = f"0000000000000{number:02x}a"
        if await cell.submit(job_id, job):
            accepted.append(job_id)
    live = [vm for vm in cell.vms.values() if vm.zone == ZONE]
    dark = []
    if trouble:
        for vm in list(live):
            await cell.kill(vm)
            cell.note(f"{vm.name}: its machine is removed for good")
            dark += [DarkAddress(vm.ip, port) for port in (vm.peer, vm.callers)]
            del cell.vms[vm.name]
            live.remove(vm)
            await asyncio.sleep(GONE_S)
            live.append(await cell.add_vm(ZONE))
            await asyncio.sleep(SETTLE_S - GONE_S)
    await asyncio.sleep(SETTLE_S)
    for vm in live:
        ready = await cell.is_ready(vm)
        cell.note(f"{vm.name}: readiness is {ready}")

    answered = {}
    for job_id in accepted[:2]:
        answered[job_id] = await ask(cell, job_id, live)
    for vm in cell.vms.values():
        if vm not in live:
            await cell.call("GET", accepted[0], vm=vm)
    for each in dark:
        each.close()
    lost = [job_id for job_id, known in answered.items() if not known]
    cell.note(f"{len(answered)} jobs asked for in {ZONE}, no answer for {len(lost)}")
    return bool(lost)


sys.exit(run_case(case, Path(__file__).parent, vms=VMS))
