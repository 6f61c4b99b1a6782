"""A small deployment: the project's processes with stand-ins of everything around."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins import http1
from standins.store import Store
from standins.workers import Fleet

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "planner"
KEY = "key-of-roster-1"
PREFIX = "/plans/"
HOST = "plans.example"
ZONES = ("z1", "z2", "z3")
READY_S = 20.0
MAX_ADDED_VMS = 4

# The bounds of the site file that claim.txt names.
SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ipAddress = "{ip}"
zone = "{zone}"
region = "r1"
internalPortRange = [{peer}, {peer}]
seedNodes = []
bootstrap = {bootstrap}
heartbeatIntervalMs = 1500
orders = "invocation"
advice = "{advice}"
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[listenAddresses]
frontendAddr = "{ip}:{callers}"
readinessAddr = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 4000
ackTimeoutMs = 5000
drainMs = 2500
gracePeriodS = 6
lossSlackMs = 200
configApplyMs = 2500
revocationMs = 5000
strictRevocation = true
maxHoldMs = 6000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpointIntervalS = 1
leaseDurationMs = 3000
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
"""


class Vm:
    """One entry VM and its process."""

    def __init__(
        self, name: str, zone: str, ip: str, ports: list[int], log: Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.callers, self.ready, self.peer = ports
        self.log = log
        self.settings = log.with_suffix(".toml")
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        """Address for clients."""
        return f"{self.ip}:{self.callers}"


class Cell:
    """Entry VMs, workers, the store and the advice service on loopback addresses."""

    def __init__(self, folder: Path, vms: int = 3, workers: int = 6) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.began_at = time.monotonic()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self.store = Store()
        self.fleet = Fleet(self.store, SERVICE, self.note)
        self.vms: dict[str, Vm] = {}
        self._all_processes: list[asyncio.subprocess.Process] = []
        self._network = ""
        self._last_vm = 0
        self._last_of_zone: dict[str, int] = {}
        self._advice = http1.Server(self._advise)
        self._counts = (vms, workers)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["entry"]["run"])
        self.version = 0

    def note(self, text: str) -> None:
        """Write a line into record.txt."""
        self._record.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self._record.flush()

    async def start(self) -> None:
        """Start everything and wait until all VMs are ready."""
        vms, workers = self._counts
        await self.store.server.start()
        await self._advice.start()
        self.publish()
        for number in range(workers):
            zone = ZONES[number % len(ZONES)]
            await self.fleet.add(f"i-{number:010x}", zone, f"r1-{number // 8}")
        self.fleet.start_beats()
        self._network = _free_network(vms + MAX_ADDED_VMS)
        started = [self._new_vm(ZONES[each % len(ZONES)]) for each in range(vms)]
        for vm in started:
            await self.start_vm(vm, bootstrap=True)
        async with asyncio.timeout(READY_S):
            for vm in started:
                while not await self.is_ready(vm):
                    await asyncio.sleep(0.1)
        self.note("all VMs are ready")

    def _new_vm(self, zone: str) -> Vm:
        self._last_vm += 1
        ip = f"{self._network}.{self._last_vm}"
        ports = [_free_port(ip) for _ in range(3)]
        self._last_of_zone[zone] = self._last_of_zone.get(zone, 0) + 1
        name = f"frontend-{zone}-{self._last_of_zone[zone]}"
        log = Path(self._temporary.name) / f"{name}.log"
        vm = self.vms[name] = Vm(name, zone, ip, ports, log)
        return vm

    async def add_vm(self, zone: str) -> Vm:
        """Start the process of a further VM."""
        vm = self._new_vm(zone)
        await self.start_vm(vm)
        return vm

    async def start_vm(self, vm: Vm, bootstrap: bool = False) -> None:
        """Start the process of a VM with the command of the deploy file."""
        vm.settings.write_text(
            SETTINGS.format(
                name=vm.name,
                ip=vm.ip,
                zone=vm.zone,
                peer=vm.peer,
                callers=vm.callers,
                ready=vm.ready,
                advice=self._advice.address,
                store=self.store.server.address,
                bootstrap=str(bootstrap).lower(),
            )
        )
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["BRIARRUN_SETTINGS"] = str(vm.settings)
        with vm.log.open("ab") as stream:
            vm.process = await asyncio.create_subprocess_exec(
                *self._command, stdout=stream, stderr=stream, env=env, cwd=ROOT
            )
        self._all_processes.append(vm.process)
        self.note(f"{vm.name}: process started")

    async def is_ready(self, vm: Vm) -> bool:
        """Return whether the readiness probe of a VM succeeds."""
        answer = await http1.call(f"{vm.ip}:{vm.ready}", "GET", "/-/readiness")
        return answer is not None and answer.status == 200

    async def kill(self, vm: Vm) -> None:
        """Kill the process of a VM."""
        assert vm.process is not None
        vm.process.kill()
        await vm.process.wait()
        self.note(f"{vm.name}: process killed")

    def holder(self) -> Vm | None:
        """Return the VM that last wrote to the store under a condition."""
        value = self.store.newest("keyed.holder", "holder")
        return None if value is None else self.vms.get(json.loads(value)["vm"])

    def publish(self) -> None:
        """Write the configuration as the operator does."""
        self.version += 2
        route = {
            "name": "r-plans",
            "hostname": HOST,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 3000,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 2.0,
            "public": False,
        }
        tenant = {
            "name": "roster",
            "apiKeys": [KEY],
            "weight": 20,
            "upperBound": {"cpu": 0, "requestedMemoryMb": 0, "gpus": 0},
        }
        document = {
            "version": self.version,
            "routes": [route],
            "services": [{"name": SERVICE, "admissionCheck": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": [tenant],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def _advise(self, request: http1.Request) -> http1.Response:
        rows = [[name, f"t-{name}"] for name in request.json()["workers"]]
        return http1.Response.of_json(200, {"approved": rows, "validityMs": 2000})

    # Clients

    async def call(
        self,
        method: str,
        job_id: str,
        content: object = None,
        vm: Vm | None = None,
        timeout_s: float = 3.0,
    ) -> http1.Response | None:
        """Send one client's call to a VM, as the platform would choose one."""
        chosen = vm or random.choice(list(self.vms.values()))
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        answer = await http1.call(
            chosen.address,
            method,
            PREFIX + job_id,
            headers=headers,
            content=content,
            timeout_s=timeout_s,
        )
        seen = "no answer"
        if answer is not None:
            seen = f"{answer.status} {answer.body.decode()[:120]}"
        self.note(f"client: {method} {job_id} at {chosen.name}: {seen}")
        return answer

    async def submit(self, job_id: str, content: object) -> bool:
        """Hand a job in, with retries after 502, 504 or no answer."""
        for _ in range(5):
            answer = await self.call("POST", job_id, content)
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job_id: str) -> str:
        """Return the state of a job, or why there is none."""
        for _ in range(4):
            answer = await self.call("GET", job_id)
            if answer is not None and answer.status == 200:
                return answer.json()["state"]
            if answer is not None and answer.status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return "no answer"

    # End

    async def stop(self) -> None:
        """End all processes that this cell started."""
        for process in self._all_processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self._all_processes:
            await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for vm in self.vms.values():
                (Path(keep) / vm.log.name).write_bytes(vm.log.read_bytes())
        self._temporary.cleanup()
        self._record.close()


def _free_port(ip: str) -> int:
    """Return a port that is free on an address, below the range of outgoing ones."""
    for port in random.sample(range(15_000, 30_000), 100):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port
    raise OSError(f"no port is free on {ip}")


def _free_network(hosts: int) -> str:
    """Return the start of addresses on which the fixed port of the metrics is free."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for number in range(1, hosts + 1):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{number}", 9464))
        except OSError:
            continue
        return network
    raise OSError("no loopback network is free")


def run_case(
    case: Callable[[Cell, bool], Awaitable[bool]],
    folder: Path,
    vms: int = 3,
    workers: int = 6,
) -> int:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> int:
        cell = Cell(folder, vms, workers)
        try:
            async with asyncio.timeout(115):
                await cell.start()
                broken = await case(cell, trouble)
            cell.note("RESULT: the rule was broken" if broken else "RESULT: it held")
            return 1 if broken else 0
        except Exception as error:  # The case could not run as planned.
            cell.note(f"RESULT: the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await cell.stop()

    return asyncio.run(play())
