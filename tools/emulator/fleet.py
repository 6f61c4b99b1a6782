"""A fleet of real processes: daemons and the stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import zmq

from briarrun_adapters.log_service import HttpLogService
from briarrun_core.configuration import digest_of
from briarrun_core.records import ConfigRecord, encode_record
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_types import HttpResponse
from tools.emulator.processes import Child, PortReservations, binary
from tools.emulator.relay import Relay


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Say what to start; VMs are named ``<domain>-<number>``.

    With ``relays`` each VM's connections to the log, and those that peers open to it, go
    through relays that can be silenced or cut.
    """

    domains: tuple[str, ...] = ("osijek", "split", "zagreb")
    daemons_per_domain: int = 3
    workers: int = 6
    upstreams: int = 4
    upstream_slots: int = 8
    upstream_connections: int = 64
    relays: bool = False
    timing: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class EntryVm:
    """Hold a daemon and its addresses."""

    vm_id: str
    domain: str
    http_address: str
    peer_address: str
    child: Child | None = None
    peer_relay: Relay | None = None
    log_relay: Relay | None = None

    @property
    def advertised(self) -> str:
        """Return the address at which peers reach this VM."""
        return self.peer_relay.address if self.peer_relay else self.peer_address


class ProcessFleet:
    """Start, fault, stop and read a fleet in a directory of its own."""

    def __init__(self, plan: FleetPlan, directory: Path) -> None:
        self.plan = plan
        self.directory = directory
        self.pool = HttpPool()
        self.controls_by_name: dict[str, str] = {}
        self.children_by_name: dict[str, Child] = {}
        self.addresses_by_name: dict[str, str] = {}
        self.domain_by_name: dict[str, str] = {}
        public, secret = zmq.curve_keypair()
        self._fleet_key = {"public": public.decode(), "secret": secret.decode()}
        self._ports = PortReservations()
        self.entry_vms = [
            EntryVm(
                f"{domain}-{number}",
                domain,
                f"127.0.0.1:{self._ports.reserve()}",
                f"127.0.0.1:{self._ports.reserve()}",
            )
            for domain in plan.domains
            for number in range(1, plan.daemons_per_domain + 1)
        ]

    async def start(self, document: dict[str, Any]) -> None:
        """Start everything, publish a configuration and wait until all are ready."""
        plan = self.plan
        await asyncio.gather(
            self._start_standin("log_service", "log"),
            self._start_standin("vm_list", "vms"),
            self._start_standin("worker", "worker", "--count", str(plan.workers)),
            *(
                self._start_standin(
                    "upstream",
                    f"upstream-{number}",
                    "--slots",
                    str(plan.upstream_slots),
                    "--connections",
                    str(plan.upstream_connections),
                )
                for number in range(plan.upstreams)
            ),
        )
        for kind in ("worker", "upstream"):
            names = [n for n in self.addresses_by_name if n.startswith(f"{kind}-")]
            for number, name in enumerate(sorted(names)):
                self.domain_by_name[name] = plan.domains[number % len(plan.domains)]
        if plan.relays:
            await self._start_relays()
        await self.publish_vms()
        await self.publish(document)
        await asyncio.gather(*(self.start_daemon(vm) for vm in self.entry_vms))
        async with asyncio.timeout(30):
            await asyncio.gather(*(self._wait_ready(vm) for vm in self.entry_vms))

    async def start_daemon(self, vm: EntryVm) -> None:
        """Start a daemon, also after it was stopped or killed."""
        path = self.directory / f"{vm.vm_id}.json"
        path.write_text(json.dumps(self._settings(vm)))
        log = self.directory / f"{vm.vm_id}.log"
        vm.child = await Child.start(vm.vm_id, log, binary("briarrund"), str(path))
        self.children_by_name[vm.vm_id] = vm.child

    async def publish(self, document: dict[str, Any]) -> None:
        """Append the first generation of the configuration."""
        record = ConfigRecord(
            record_id="config-1",
            base_generation=0,
            changes=document,
            digest=digest_of(document),
        )
        log = HttpLogService(self.addresses_by_name["log"], self.pool)
        result = await log.append([encode_record(record)])
        assert result.is_ok(), result

    async def publish_vms(self) -> None:
        """Make the VM list show what is running."""
        vms = self.list_vms({vm.vm_id: vm.advertised for vm in self.entry_vms})
        await self.post(self.addresses_by_name["vms"], "/v1/vms", {"vms": vms})

    def list_vms(self, entry_addresses: dict[str, str]) -> list[dict[str, str]]:
        """Return what is running, with the entry VMs at the given addresses."""
        vms = [
            {
                "vm_id": vm.vm_id,
                "address": entry_addresses[vm.vm_id],
                "domain": vm.domain,
                "role": "entry",
                "state": "live",
            }
            for vm in self.entry_vms
            if vm.child is None or vm.child.is_running
        ]
        return vms + [
            {
                "vm_id": name,
                "address": self.addresses_by_name[name],
                "domain": domain,
                "role": name.partition("-")[0],
                "state": "live",
            }
            for name, domain in self.domain_by_name.items()
            if name not in self.children_by_name
            or self.children_by_name[name].is_running
        ]

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, after which the VM list no longer shows it."""
        child = self.children_by_name[name]
        child.signal(signal.SIGKILL)
        await child.process.wait()
        await self.publish_vms()

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Switch faults of a stand-in."""
        group = "worker" if name.startswith("worker") else name
        control = self.controls_by_name[group]
        await self.post(control, "/faults", {"target": name, **faults})

    async def post(self, address: str, path: str, body: object) -> HttpResponse:
        """Post JSON to a stand-in."""
        result = await self.pool.request(
            address,
            "POST",
            path,
            body=msgspec.json.encode(body),
            idempotent=True,
            timeout_s=5,
        )
        assert result.is_ok() and result.ok.status == 200, result
        return result.ok

    async def get(
        self, address: str, path: str, token: str = ""
    ) -> HttpResponse | None:
        """Return a daemon's or stand-in's answer, or None if there is none."""
        headers = [("Authorization", f"Bearer {token}")] if token else []
        result = await self.pool.request(
            address, "GET", path, headers=headers, idempotent=True, timeout_s=5
        )
        return result.ok if result.is_ok() else None

    def records(self) -> list[dict[str, Any]]:
        """Return what all stand-ins recorded, killed ones included, by time."""
        found = [
            json.loads(line)
            for path in self.directory.glob("*.records")
            for line in path.read_text().splitlines()
        ]
        return sorted(found, key=lambda record: float(record["at"]))

    def resident_mib(self) -> list[float]:
        """Return the resident memory of the running daemons, smallest first."""
        running = [
            vm.child for vm in self.entry_vms if vm.child and vm.child.is_running
        ]
        return sorted(child.resident_mib() for child in running)

    async def stop(self, within_s: float = 10.0) -> dict[str, int]:
        """Stop all daemons with SIGTERM, then the stand-ins; return exit statuses."""
        running = [
            vm.child for vm in self.entry_vms if vm.child and vm.child.is_running
        ]
        statuses = await asyncio.gather(*(child.stop(within_s) for child in running))
        for child in self.children_by_name.values():
            child.signal(signal.SIGKILL)
        await asyncio.gather(
            *(c.process.wait() for c in self.children_by_name.values())
        )
        for vm in self.entry_vms:
            for relay in (vm.peer_relay, vm.log_relay):
                if relay is not None:
                    await relay.close()
        await self.pool.close()
        self._ports.close()
        names = [child.name for child in running]
        return dict(zip(names, statuses, strict=True))

    async def _start_relays(self) -> None:
        for vm in self.entry_vms:
            vm.peer_relay = Relay(vm.peer_address)
            vm.log_relay = Relay(self.addresses_by_name["log"])
            await vm.peer_relay.start()
            await vm.log_relay.start()

    def address_for(self, vm: EntryVm, name: str) -> str:
        """Return where a daemon finds a stand-in or another daemon."""
        if name == "log" and vm.log_relay:
            return vm.log_relay.address
        peers = {peer.vm_id: peer.advertised for peer in self.entry_vms}
        return peers.get(name) or self.addresses_by_name[name]

    async def _start_standin(self, kind: str, name: str, *options: str) -> None:
        child = await Child.start(
            name,
            self.directory / f"{name}.log",
            sys.executable,
            "-m",
            f"tools.emulator.{kind}",
            "--name",
            name,
            "--records",
            str(self.directory / f"{name}.records"),
            *options,
        )
        self.children_by_name[name] = child
        bound = await child.first_line()
        self.controls_by_name[name] = bound["control"]
        self.addresses_by_name.update(bound["addresses_by_name"])

    async def _wait_ready(self, vm: EntryVm) -> None:
        while True:
            if vm.child is None or not vm.child.is_running:
                log = (self.directory / f"{vm.vm_id}.log").read_text()
                raise RuntimeError(f"{vm.vm_id} ended while starting: {log[-2000:]}")
            response = await self.get(vm.http_address, "/readyz")
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(0.1)

    def _settings(self, vm: EntryVm) -> dict[str, Any]:
        return {
            "vm_id": vm.vm_id,
            "failure_domain": vm.domain,
            "region": "eu",
            "http_listen": vm.http_address,
            "peer_listen": vm.peer_address,
            "fleet_key": self._fleet_key,
            "log_service": self.address_for(vm, "log"),
            "vm_list": self.address_for(vm, "vms"),
            "peers": [
                {
                    "vm_id": peer.vm_id,
                    "domain": peer.domain,
                    "region": "eu",
                    "address": self.address_for(vm, peer.vm_id),
                }
                for peer in self.entry_vms
                if peer is not vm
            ],
            "timing": self.plan.timing,
        }
