"""Processor time and bytes of the holder's calls to a worker stand-in."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import uvloop

from briarrun_adapters.worker import HttpWorkerClient, Lease, TaskStart
from briarrun_core.resources import Resources
from briarrun_wire.http_client import HttpPool, PoolLimits
from tools.capacity.processes import Relay
from tools.capacity.slopes import Fit, fit_line

TASKS_ON_WORKER = (1, 6, 64)
CALLS = 400


@dataclass(frozen=True, slots=True)
class CallCost:
    """Hold the mean processor time (us) and TCP payload (bytes) of a call."""

    time_us: float
    bytes: float


async def _cost(
    call: Callable[[], Awaitable[object]], calls: int, relay: Relay
) -> CallCost:
    """Run a call several times over one connection.

    Time is meaningful only without a relay, bytes only through one.
    """
    before = relay.count
    begin = time.process_time()
    for _ in range(calls):
        await call()
    spent = time.process_time() - begin
    return CallCost(spent / calls * 1e6, (relay.count - before) / calls)


async def _renew(client: HttpWorkerClient, leases: list[Lease], where: str) -> object:
    return await client.renew(where, leases)


async def _measure(tasks: int) -> dict[str, CallCost]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tools.emulator.worker",
        "--cores",
        "1000000",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    pool = HttpPool(PoolLimits())
    try:
        if process.stdout is None:
            raise RuntimeError("the stand-in worker has no output")
        line = json.loads(await process.stdout.readline())
        address = line["addresses_by_name"]["standin"]
        relay = Relay(int(address.rpartition(":")[2]))
        await relay.start()
        counted = f"127.0.0.1:{relay.port}"
        client = HttpWorkerClient(pool)
        until = time.time() + 60.0
        leases = []
        for index in range(tasks):
            name = f"domain-00.job-{index:08d}/3"
            order = TaskStart(
                task_id=name,
                attempt=1,
                epoch=1,
                resources=Resources(1500, 2048),
                lease_until=until,
                command="/opt/planner/bin/run --input s3/roster --day 2026-12-04",
            )
            found = await client.start(address, order)
            if found.is_error():
                raise RuntimeError(f"the stand-in worker refused a start: {found}")
            leases.append(Lease(task_id=name, attempt=1, lease_until=until))
        costs = {}
        calls: dict[str, Callable[[str], Awaitable[object]]] = {
            "inventory": client.inventory,
            "renewal": partial(_renew, client, leases),
        }
        for name, call in calls.items():
            direct = await _cost(partial(call, address), CALLS, relay)
            through = await _cost(partial(call, counted), 20, relay)
            costs[name] = CallCost(direct.time_us, through.bytes)
        relay.close()
        return costs
    finally:
        await pool.close()
        process.kill()
        await process.wait()


def call_figures() -> list[Fit]:
    """Return time and bytes of inventories and renewals against tasks on a worker."""
    by_size = [uvloop.run(_measure(tasks)) for tasks in TASKS_ON_WORKER]
    fits = []
    for name in ("inventory", "renewal"):
        costs = [found[name] for found in by_size]
        for what, unit, values in (
            ("time in the holder", "us", [c.time_us for c in costs]),
            ("TCP payload, both directions", "bytes", [c.bytes for c in costs]),
        ):
            fits.append(
                fit_line(
                    f"{name} of one worker, {what}",
                    unit,
                    "tasks on the worker",
                    TASKS_ON_WORKER,
                    values,
                )
            )
    return fits
