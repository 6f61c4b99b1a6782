"""Shutdown and memory use of daemon processes."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from tests.daemon.cluster import KEY, document
from tools.emulator.fleet import FleetPlan, ProcessFleet

pytestmark = pytest.mark.processes
IDLE_LIMIT_MB = 64


async def test_sigterm_cuts_nothing_off(tmp_path: Path) -> None:
    """SIGTERM must not interrupt requests; an idle daemon must stay below its limit."""
    plan = FleetPlan(("zagreb",), daemons_per_domain=3, workers=1, upstreams=2)
    fleet = ProcessFleet(plan, tmp_path)
    try:
        await fleet.start(document(["zagreb"]))
        holder = await _holder(fleet)
        vm = next(vm for vm in fleet.entry_vms if vm.vm_id == holder)
        assert vm.child is not None
        assert _resident_mb(vm.child.process.pid) < IDLE_LIMIT_MB
        running = [
            asyncio.ensure_future(_call(fleet, any_vm.http_address))
            for any_vm in fleet.entry_vms
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        assert await vm.child.stop(10.0) == 0
        assert await asyncio.gather(*running) == ["done"] * 12
        others = [v.http_address for v in fleet.entry_vms if v is not vm]
        calls = [_call(fleet, address) for address in others]
        assert await asyncio.gather(*calls) == ["done"] * 2
    finally:
        statuses = await fleet.stop()
    assert set(statuses.values()) == {0}


async def _holder(fleet: ProcessFleet) -> str:
    async with asyncio.timeout(10):
        while True:
            answer = await fleet.get(fleet.entry_vms[0].http_address, "/v1/status")
            assert answer is not None
            electors = answer.json()["authority"]["electors"]
            holder = answer.json()["domains"]["zagreb"]
            if holder and len(electors) == len(fleet.entry_vms):
                return str(holder)
            await asyncio.sleep(0.1)


async def _call(fleet: ProcessFleet, address: str) -> str:
    result = await fleet.pool.request(
        address,
        "POST",
        "/v1/queues/plan/requests",
        headers=[("Authorization", f"Bearer {KEY.token}")],
        body=json.dumps({"work_s": 1.0}).encode(),
        idempotent=False,
        timeout_s=20.0,
    )
    return (result.ok.header("Briarrun-Outcome") or "") if result.is_ok() else "cut off"


def _resident_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024
