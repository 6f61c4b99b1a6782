"""The processes of a cell and stand-ins of everything around them, on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from dataclasses import dataclass, field, replace
from pathlib import Path

from briarrun_cell.model import WorkerEntry
from briarrun_cell.ports import Topic
from briarrun_core.resources import Resources
from briarrun_wire.http_server import HttpServer
from tests.soak.http_store import StoreHandler
from tests.soak.http_workers import AdviceHandler, WorkerHandler
from tools.emulator.cell.fleet import FakeAdvisor, FakeWorker, Fleet
from tools.emulator.cell.store import FakeStore, StoreView
from tools.emulator.processes import Child, PortReservations
from tools.emulator.relay import Relay

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "deploy" / "briarrun_cell.py"
POOL = "planner"
QUEUES = ("urgent", "normal")
MAX_ATTEMPTS = 8
GRACE_S = 6.0
START_S = 10.0
REVOCATION_S = 5.0
HIGHEST_LIMIT = Resources(48_000, 0)
LOWEST_LIMIT = Resources(12_000, 0)

LOWERED_LIMIT_S = 5.0
"""Time after which a lowered limit binds; until then the former one may be in force."""

SETTINGS = """
nodeName = "{name}"
zone = "z1"
region = "r1"
ipAddress = "{ip}"
internalPortRange = [{peer}, {peer}]
advice = "{advice}"
[listenAddresses]
frontendAddr = "{ip}:{callers}"
readinessAddr = "{ip}:{ready}"
[platform]
address = "{store}"
[bounds]
revocationMs = 5000
maxHoldMs = 6000
gracePeriodS = 6
status_s = 120
[limits]
cpuShare = 1.0
cpuCores = 1
"""


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Choose the size of a soak; ``faults_per_s`` of them begin on average."""

    seed: int = 1
    duration_s: float = 20.0
    vms: int = 3
    workers: int = 6
    callers: int = 12
    faults_per_s: float = 1.2


@dataclass(eq=False)
class SoakVm:
    """Hold one VM: its process, its way to the store and where callers reach it.

    ``disturbed_at`` is when it was last killed, paused or cut off, in the future while
    it is; ``stopping`` that it was told to stop.
    """

    name: str
    settings: Path
    log: Path
    callers_address: str
    ready_address: str
    view: StoreView
    relay: Relay
    child: Child | None = None
    disturbed_at: float = float("-inf")
    stopping: bool = False

    @property
    def host(self) -> str:
        """Return the host that callers' requests name."""
        return self.callers_address.partition(":")[0]

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        with self.log.open("ab") as stream:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                stdout=stream,
                stderr=stream,
                env={**environment, "BRIARRUN_SETTINGS": str(self.settings)},
            )
        self.child = Child(self.name, process)
        self.stopping = False

    def disturb(self, for_s: float = 0.0) -> None:
        """Note that the VM, or its way to the store, is disturbed.

        Promises with a time bound hold again some time after the disturbance has ended.
        """
        self.disturbed_at = asyncio.get_running_loop().time() + for_s


@dataclass(eq=False)
class SoakWorker:
    """Hold one worker and the relay in front of it."""

    worker: FakeWorker
    relay: Relay
    server: HttpServer


@dataclass
class World:
    """Run a cell; ``broken`` lists the promises that were broken."""

    plan: SoakPlan
    directory: Path
    vms_by_name: dict[str, SoakVm] = field(default_factory=dict)
    workers_by_id: dict[str, SoakWorker] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    key_by_customer: dict[str, str] = field(default_factory=dict)
    withdrawn_at_by_key: dict[str, float] = field(default_factory=dict)
    version: int = 0
    limit: Resources = LOWEST_LIMIT

    def __post_init__(self) -> None:
        """Build the stand-ins; nothing runs before ``start``."""
        self.rng = random.Random(self.plan.seed)
        self.store = FakeStore(random.Random(self.plan.seed + 1))
        self.fleet = Fleet(random.Random(self.plan.seed + 2))
        self.key_by_customer = {name: f"{name}-1" for name in ("roster", "stalls")}
        self._servers: list[HttpServer] = []
        self._ports = PortReservations()
        self._number_of_keys = 1
        # An address of its own for each VM, since metrics use a fixed port.
        self._network = f"127.{os.getpid() % 200 + 20}.{time.monotonic_ns() % 250 + 1}"

    async def start(self) -> None:
        """Start everything and wait until every VM is ready."""
        for number in range(self.plan.workers):
            await self.add_worker(f"w{number}")
        for number in range(self.plan.vms):
            await self._add_vm(number)
        self.publish()
        for vm in self.vms_by_name.values():
            await vm.start()

    async def _serve(self, server: HttpServer) -> Relay:
        await server.start()
        self._servers.append(server)
        relay = Relay(server.address)
        await relay.start()
        return relay

    async def _add_vm(self, number: int) -> None:
        name, ip = f"vm{number}", f"{self._network}.{number + 1}"
        view = StoreView(self.store)
        relay = await self._serve(HttpServer(StoreHandler(view)))
        advice = HttpServer(AdviceHandler(FakeAdvisor()))
        await advice.start()
        self._servers.append(advice)
        ports = [self._ports.reserve() for _ in range(3)]
        settings = self.directory / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                callers=ports[0],
                ready=ports[1],
                peer=ports[2],
                advice=advice.address,
                store=relay.address,
            )
        )
        self.vms_by_name[name] = SoakVm(
            name,
            settings,
            self.directory / f"{name}.log",
            f"{ip}:{ports[0]}",
            f"{ip}:{ports[1]}",
            view,
            relay,
        )

    async def add_worker(self, worker_id: str) -> None:
        """Start and register a worker."""
        capacity = Resources(8000, 32000)
        born_ms = time.time_ns() // 1_000_000
        labels = ("a", "rack1")
        entry = WorkerEntry(
            worker_id, born_ms, "", POOL, "z1", capacity, labels, "rack1", False
        )
        # The handler looks the worker up by the address that its relay gets.
        handler = WorkerHandler(self.fleet, entry)
        server = HttpServer(handler)
        relay = await self._serve(server)
        entry = replace(entry, address=relay.address)
        handler.entry = entry
        worker = self.fleet.add(entry)
        self.workers_by_id[worker_id] = SoakWorker(worker, relay, server)
        self.register(entry)

    def register(self, entry: WorkerEntry) -> None:
        """Write a worker's entry as the worker does."""
        document = {
            "service": entry.pool,
            "address": entry.address,
            "zone": entry.failure_domain,
            "state": "draining" if entry.draining else "ready",
            "capacity": {
                "cpu": entry.capacity.cores,
                "requestedMemoryMb": entry.capacity.memory_mib,
            },
            "labels": list(entry.labels),
            "born": entry.born_ms,
        }
        value = json.dumps(document).encode()
        self.store.put(Topic.WORKERS, entry.worker_id, value)

    def rebirth(self, worker_id: str) -> None:
        """Start the next life of a worker under its id, at its address."""
        held = self.workers_by_id[worker_id]
        held.worker = self.fleet.rebirth(held.worker)
        self.register(held.worker.entry)

    def publish(self) -> None:
        """Write a configuration as the operator does."""
        self.version += self.rng.randint(1, 4)
        routes = [
            {
                "name": f"{name}-{vm.name}",
                "hostname": vm.host,
                "pathPrefix": f"/{name}/",
                "service": POOL,
                "targetLatencyMs": 1000,
                "priority": priority,
                "maxAttempts": MAX_ATTEMPTS,
                "stretch": 2.0,
                "advice": {"decisionMs": 10, "perWorkerMs": 0.1, "validityMs": 2000},
            }
            for priority, name in enumerate(QUEUES)
            for vm in self.vms_by_name.values()
        ]
        tenants = [
            {
                "name": name,
                "apiKeys": [key],
                "weight": 50,
                "upperBound": {"cpu": self.limit.cores},
            }
            for name, key in self.key_by_customer.items()
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": POOL}],
            "tenants": tenants,
        }
        value = json.dumps(document).encode()
        self.store.put(Topic.CONFIG, "config", value)
        self._allow(self.limit)

    def _allow(self, limit: Resources) -> None:
        allowed = self.fleet.limits_by_customer
        if all(limit.cores >= each.cores for each in allowed.values()):
            self.fleet.limits_by_customer = dict.fromkeys(self.key_by_customer, limit)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LOWERED_LIMIT_S, self._allow_newest)

    def _allow_newest(self) -> None:
        self.fleet.limits_by_customer = dict.fromkeys(self.key_by_customer, self.limit)

    def replace_key(self, customer: str) -> None:
        """Withdraw a customer's key and grant another one."""
        self._number_of_keys += 1
        old = self.key_by_customer[customer]
        self.key_by_customer[customer] = f"{customer}-{self._number_of_keys}"
        self.publish()
        self.withdrawn_at_by_key[old] = asyncio.get_running_loop().time()

    def allow_all(self) -> None:
        """Raise the limit, so that every accepted gang can start."""
        self.limit = HIGHEST_LIMIT
        self.publish()

    def disturb(self, for_s: float = 0.0) -> None:
        """Note that every VM's way to the store is disturbed."""
        for vm in self.vms_by_name.values():
            vm.disturb(for_s)

    def holder(self) -> SoakVm | None:
        """Return the VM whose claim was stored last."""
        claims = self.store.values(Topic.HOLDER)
        if not claims or claims[-1].value is None:
            return None
        return self.vms_by_name.get(json.loads(claims[-1].value)["vm"])

    async def stop(self) -> None:
        """End every process that was started here, and every stand-in."""
        children = [vm.child for vm in self.vms_by_name.values() if vm.child]
        await asyncio.gather(*(child.stop(GRACE_S + 2) for child in children))
        self._ports.close()
        for vm in self.vms_by_name.values():
            await vm.relay.close()
        for held in self.workers_by_id.values():
            await held.relay.close()
