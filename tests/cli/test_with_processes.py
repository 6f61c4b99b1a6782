"""Test of the command line with real daemons and emulated services."""

import asyncio
import json
import os
from pathlib import Path
from typing import Any

import pytest

from briarrun_cli.exits import ExitStatus
from tools.emulator.fleet import FleetPlan, ProcessFleet
from tools.emulator.processes import binary
from tools.emulator.workload import OPERATOR, document

TAKES_EFFECT_WITHIN_S = 5.0
JOB_ID = "zagreb.roster-1"
JOB = {
    "job_id": JOB_ID,
    "kind": "batch",
    "tasks": 2,
    "resources": {"cores": 1000, "memory_mib": 64},
    "idempotent": True,
    "command": "sleep 0.1",
}


class CommandLine:
    """Runner of the ``briarrun`` command for one fleet."""

    def __init__(self, fleet: ProcessFleet, folder: Path) -> None:
        self._folder = folder
        self._environment = os.environ | {
            "BRIARRUN_LOG": fleet.addresses_by_name["log"],
            "BRIARRUN_ENTRY": fleet.entry_vms[0].http_address,
        }

    async def run(self, *arguments: str, **environment: str) -> tuple[int, Any]:
        """Return the exit status and the decoded JSON output."""
        process = await asyncio.create_subprocess_exec(
            binary("briarrun"),
            *arguments,
            "--json",
            cwd=self._folder,
            env=self._environment | environment,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, json.loads(output) if output else None


@pytest.mark.processes
async def test_grant_submit_withdraw(tmp_path: Path) -> None:
    """A withdrawn key must be rejected by every instance within seconds."""
    fleet = ProcessFleet(
        FleetPlan(domains=("split", "zagreb"), daemons_per_domain=2, workers=2),
        tmp_path,
    )
    folder = tmp_path / "fleet"
    folder.mkdir()
    (folder / "job.json").write_text(json.dumps(JOB))
    try:
        await fleet.start(document(fleet.plan.domains))
        command = CommandLine(fleet, folder)
        assert await command.run("config", "pull") == (0, {"generation": 1})
        status, granted = await command.run("key", "grant", "roster", "office-1")
        assert (status, granted["generation"]) == (0, 2)
        key = granted["key"]
        accepted = await submit_until_admitted(command, key)
        assert accepted["job_id"] == JOB_ID
        await wait_until_done(command, key)
        status, explained = await command.run("explain", JOB_ID, BRIARRUN_KEY=key)
        assert status == 0
        assert explained["explanation"] == f"job {JOB_ID} has ended as done"
        assert (await command.run("key", "withdraw", "office-1"))[0] == 0
        withdrawn_at = asyncio.get_running_loop().time()
        await asyncio.gather(
            *(
                wait_until_refused(fleet, vm.http_address, key)
                for vm in fleet.entry_vms
            ),
        )
        assert asyncio.get_running_loop().time() - withdrawn_at < TAKES_EFFECT_WITHIN_S
        status, _ = await command.run("submit", "roster", "job.json", BRIARRUN_KEY=key)
        assert status == ExitStatus.NOT_RUN
        assert (await command.run("drain", BRIARRUN_KEY=OPERATOR.token))[0] == 0
        child = fleet.entry_vms[0].child
        assert child is not None
        async with asyncio.timeout(10):
            assert await child.process.wait() == 0
    finally:
        await fleet.stop()


async def submit_until_admitted(command: CommandLine, key: str) -> Any:
    """Submit the job repeatedly until the granted key is in force."""
    async with asyncio.timeout(TAKES_EFFECT_WITHIN_S):
        while True:
            status, data = await command.run(
                "submit", "roster", "job.json", BRIARRUN_KEY=key
            )
            if status == 0:
                return data
            assert status == ExitStatus.NOT_RUN


async def wait_until_done(command: CommandLine, key: str) -> None:
    """Poll the job's state until it is done."""
    async with asyncio.timeout(10):
        while True:
            status, data = await command.run("status", JOB_ID, BRIARRUN_KEY=key)
            if status == 0 and data["state"] == "done":
                return


async def wait_until_refused(fleet: ProcessFleet, address: str, key: str) -> None:
    """Send requests to one instance until it rejects the key."""
    async with asyncio.timeout(TAKES_EFFECT_WITHIN_S):
        while True:
            answer = await fleet.pool.request(
                address,
                "POST",
                "/v1/queues/roster/requests",
                headers=(("Authorization", f"Bearer {key}"),),
                body=b"{}",
                idempotent=True,
                timeout_s=2,
            )
            if answer.is_ok() and answer.ok.status == 401:
                return
            await asyncio.sleep(0.02)
