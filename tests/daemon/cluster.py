"""Cluster of daemons of one or more failure domains in one event loop."""

from __future__ import annotations

import asyncio
import functools
import inspect
import itertools
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from briarrun_adapters.vm_list import Vm, VmRole, VmState
from briarrun_core.configuration import digest_of, merge_patch
from briarrun_core.keys import generate_key
from briarrun_core.records import ConfigRecord, encode_record
from briarrun_core.resources import Resources
from briarrun_daemon.clock import Clock
from briarrun_daemon.daemon import Adapters, Daemon
from briarrun_daemon.settings import Settings
from briarrun_wire.http_types import HttpRequest, HttpResponse
from tests.daemon.fakes import (
    FakeLog,
    FakeTransport,
    FakeUpstreams,
    FakeVmList,
    FakeWorkers,
    Gate,
    LogStore,
    Network,
    Upstream,
    Worker,
    wall,
)

KEY = generate_key("k1", "planners", secret=b"1" * 32)
OPERATOR = generate_key("op", "planners", operator=True, secret=b"2" * 32)
CURVE_KEY = "x" * 40
REGION = "region-1"


def document(domains: list[str]) -> dict[str, Any]:
    return {
        "domains_by_name": {name: {"name": name, "region": REGION} for name in domains},
        "teams_by_id": {
            team: {
                "team_id": team,
                "limit": {
                    "cores": 600_000,
                    "memory_mib": 600_000,
                    "accelerators": 60,
                    "slots": 60,
                },
            }
            for team in ("planners", "open")
        },
        "queues_by_name": {
            "plan": {"name": "plan", "teams": ["planners"]},
            "public": {"name": "public", "open_to_all": True},
        },
        "keys_by_id": {
            new.key.key_id: {
                "key_id": new.key.key_id,
                "team": new.key.team,
                "secret_sha256": new.key.secret_sha256,
                "operator": new.key.operator,
            }
            for new in (KEY, OPERATOR)
        },
    }


@dataclass
class Cluster:
    """Daemons and the in-memory platform, workers and upstreams that they share."""

    domains: dict[str, list[str]]
    timing: dict[str, Any] = field(default_factory=dict)
    workers_per_domain: int = 2
    upstreams_per_domain: int = 2

    def __post_init__(self) -> None:
        self.log = LogStore()
        self.network = Network()
        self.daemons: dict[str, Daemon] = {}
        self.gates: dict[str, Gate] = {}
        self.leaving: set[str] = set()
        self.incarnations = itertools.count(1)
        self.workers = {
            f"{domain}-w{n}": Worker(Resources(64_000, 256_000, 8))
            for domain in self.domains
            for n in range(self.workers_per_domain)
        }
        self.upstreams = {
            f"{domain}-u{n}": Upstream()
            for domain in self.domains
            for n in range(self.upstreams_per_domain)
        }
        self.generation = 0
        self.document: dict[str, Any] = {}

    # Platform

    def publish(self, changes: dict[str, Any]) -> None:
        self.document = merge_patch(self.document, changes)
        record = ConfigRecord(
            record_id=f"config-{self.generation}",
            base_generation=self.generation,
            changes=changes,
            digest=digest_of(self.document),
        )
        self.generation += 1
        self.log.records.append(encode_record(record))

    def vms(self) -> list[Vm]:
        entries = [
            Vm(vm_id, vm_id, self.domain_of(vm_id), VmRole.ENTRY)
            for vm_id in self.daemons
        ]
        others = [
            Vm(
                name,
                name,
                name.rpartition("-")[0],
                role,
                VmState.LEAVING if name in self.leaving else VmState.LIVE,
            )
            for names, role in (
                (self.workers, VmRole.WORKER),
                (self.upstreams, VmRole.UPSTREAM),
            )
            for name in names
        ]
        return entries + others

    def domain_of(self, vm_id: str) -> str:
        return next(name for name, vms in self.domains.items() if vm_id in vms)

    # Daemons

    def settings(self, vm_id: str) -> Settings:
        return Settings.model_validate(
            {
                "vm_id": vm_id,
                "failure_domain": self.domain_of(vm_id),
                "region": REGION,
                "http_listen": "127.0.0.1:0",
                "peer_listen": "127.0.0.1:0",
                "fleet_key": {"public": CURVE_KEY, "secret": CURVE_KEY},
                "log_service": "127.0.0.1:1",
                "peers": [
                    {
                        "vm_id": other,
                        "domain": name,
                        "region": REGION,
                        "address": "127.0.0.1:1",
                    }
                    for name, vms in self.domains.items()
                    for other in vms
                    if other != vm_id
                ],
                "timing": self.timing,
            }
        )

    def make_adapters(self, vm_id: str, gate: Gate) -> Adapters:
        return Adapters(
            FakeLog(self.log, gate),
            FakeVmList(self.vms, gate),
            FakeWorkers(self.workers, gate),
            FakeUpstreams(self.upstreams, gate),
        )

    def make_transport(self, vm_id: str, instance: str, handler: Any) -> FakeTransport:
        return FakeTransport(self.network, vm_id, instance, handler)

    def make_clock(self, vm_id: str) -> Clock:
        return Clock(asyncio.get_running_loop(), wall)

    async def start(self, vm_id: str) -> Daemon:
        gate = self.gates[vm_id] = Gate()

        def make_transport(instance: str, handler: Any) -> FakeTransport:
            transport = self.make_transport(vm_id, instance, handler)
            transport.gate = gate
            return transport

        daemon = Daemon(
            self.settings(vm_id),
            self.make_adapters(vm_id, gate),
            make_transport,
            self.make_clock(vm_id),
            f"{vm_id}.{next(self.incarnations):08x}",
        )
        self.daemons[vm_id] = daemon
        await daemon.start(listen=False)
        return daemon

    async def start_all(self) -> None:
        if not self.log.records:
            self.publish(document(list(self.domains)))
        for vms in self.domains.values():
            for vm_id in vms:
                await self.start(vm_id)
        await self.wait_until(self.is_settled, 5.0)

    def is_settled(self) -> bool:
        """Return whether all domains have a holder, all electors and known upstreams."""
        return all(
            self.holder(domain) is not None
            and self.electors(domain) == len(vms)
            and self.known_upstreams(domain)
            for domain, vms in self.domains.items()
        )

    def electors(self, domain: str) -> int:
        holder = self.holder(domain)
        claim = holder.role.authority.claim if holder else None
        return len(claim.electors) if claim else 0

    def known_upstreams(self, domain: str) -> bool:
        holder = self.holder(domain)
        if holder is None or holder.holder.components is None:
            return False
        upstreams = holder.holder.components.epoch.slots.upstreams_by_id.values()
        known = [u.is_known for u in upstreams]
        return len(known) == self.upstreams_per_domain and all(known)

    def holders(self, domain: str) -> list[Daemon]:
        return [
            daemon
            for vm_id, daemon in self.daemons.items()
            if vm_id in self.domains[domain]
            and daemon.role.may_act()
            and not self.gates[vm_id].frozen
        ]

    def holder(self, domain: str) -> Daemon | None:
        found = self.holders(domain)
        return found[0] if found else None

    def standbys(self, domain: str) -> list[Daemon]:
        holder = self.holder(domain)
        return [
            daemon
            for vm_id, daemon in self.daemons.items()
            if vm_id in self.domains[domain] and daemon is not holder
        ]

    async def kill(self, daemon: Daemon) -> None:
        vm_id = daemon.settings.vm_id
        self.gates[vm_id].dead = True
        del self.daemons[vm_id]
        await daemon.close()

    async def close(self) -> None:
        for daemon in list(self.daemons.values()):
            await daemon.close()

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> float:
        """Wait for a condition and return the time it took; fail after ``seconds``."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not condition():
            assert loop.time() - started < seconds, "the condition was not reached"
            await asyncio.sleep(0.005)
        return loop.time() - started

    # Callers

    async def request(
        self,
        daemon: Daemon,
        request_id: str | None = None,
        *,
        queue: str = "plan",
        token: str | None = KEY.token,
        idempotent: bool = False,
        deadline_ms: int = 10_000,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        sent = {
            "briarrun-idempotent": str(idempotent).lower(),
            "briarrun-deadline-ms": str(deadline_ms),
            **_authorization(token),
            **(headers or {}),
        }
        if request_id is not None:
            sent["idempotency-key"] = request_id
        return await daemon.front.handle(
            HttpRequest("POST", f"/v1/queues/{queue}/requests", {}, sent, b"body")
        )

    async def submit(self, daemon: Daemon, **fields: Any) -> HttpResponse:
        body = {
            "kind": "batch",
            "resources": {"cores": 1000, "memory_mib": 100},
            "idempotent": True,
            **fields,
        }
        return await daemon.front.handle(
            HttpRequest(
                "POST",
                "/v1/queues/plan/jobs",
                {},
                _authorization(KEY.token),
                json.dumps(body).encode(),
            )
        )

    async def get(self, daemon: Daemon, path: str, method: str = "GET") -> HttpResponse:
        headers = _authorization(OPERATOR.token)
        return await daemon.front.handle(HttpRequest(method, path, {}, headers))

    # State of upstreams and workers

    def wall(self) -> float:
        return wall()

    def runs(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for upstream in self.upstreams.values():
            total += upstream.runs
        return total

    def running(self) -> Counter[str]:
        return Counter(
            task for worker in self.workers.values() for task in worker.running()
        )


Test = Callable[..., Awaitable[None]]


def with_cluster(
    domains: dict[str, list[str]], **fields: Any
) -> Callable[[Test], Test]:
    """Decorate a test so that it gets a started cluster as its first argument.

    A fixture would start the cluster before looptime has set the loop's time, so that
    its timers would never fire.
    """

    def decorate(test: Test) -> Test:
        @functools.wraps(test)
        async def run(**parameters: Any) -> None:
            cluster = Cluster(dict(domains), **fields)
            try:
                await cluster.start_all()
                await test(cluster, **parameters)
            finally:
                await cluster.close()

        names = list(inspect.signature(test).parameters.values())[1:]
        run.__signature__ = inspect.Signature(names)  # type: ignore[attr-defined]
        return run

    return decorate


def _authorization(token: str | None) -> dict[str, str]:
    return {"authorization": f"Bearer {token}"} if token else {}


def outcome(response: HttpResponse) -> str:
    return response.header("Briarrun-Outcome") or ""
