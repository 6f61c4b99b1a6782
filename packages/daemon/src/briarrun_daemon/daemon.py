"""Wiring of the components of one daemon."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from briarrun_adapters.log_service import LogService
from briarrun_adapters.upstream import UpstreamClient
from briarrun_adapters.vm_list import VmList
from briarrun_adapters.worker import WorkerClient
from briarrun_core.admission import Admission, AdmissionSettings
from briarrun_core.authority import Authority
from briarrun_daemon.authority_role import AuthorityRole, authority_settings
from briarrun_daemon.clock import Clock
from briarrun_daemon.context import Context
from briarrun_daemon.directory import Directory
from briarrun_daemon.drain import Drain, DrainableServer, ExitCode
from briarrun_daemon.front_slots import SlotFinder
from briarrun_daemon.frontend import Frontend
from briarrun_daemon.frontend_jobs import JobHandler
from briarrun_daemon.frontend_requests import RequestHandler
from briarrun_daemon.holder import DomainHolder
from briarrun_daemon.holder_client import HolderClient
from briarrun_daemon.log_tail import LogTail
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.membership import Membership
from briarrun_daemon.metrics import Metrics
from briarrun_daemon.peers import PeerRouter, Peers, PeerTransport
from briarrun_daemon.settings import Settings, split_address
from briarrun_daemon.tasks import TaskGroup
from briarrun_wire.http_server import HttpServer
from briarrun_wire.http_types import HttpLimits
from briarrun_wire.peer import PeerHandler

_LOG = ComponentLog("main")
CLOCK_CHECK_INTERVAL_S = 1.0
"""Short enough that the drift of the wall clock against the monotonic clock between two
checks is far below the skew bound."""


@dataclass(frozen=True, slots=True)
class Adapters:
    """Clients of the platform services that the daemon uses."""

    log: LogService
    vm_list: VmList | None
    workers: WorkerClient
    upstreams: UpstreamClient


TransportFactory = Callable[[str, PeerHandler], PeerTransport]


def new_instance(vm_id: str) -> str:
    """Return an instance id that no earlier process on the VM has used."""
    return f"{vm_id}.{secrets.token_hex(6)}"


class _DrainableFrontEnd(DrainableServer):
    def __init__(self, server: HttpServer, front: Frontend) -> None:
        self._server = server
        self._front = front

    @property
    def active(self) -> int:
        return self._server.active

    async def drain(self) -> None:
        self._front.draining = True
        await self._server.drain()


class Daemon:
    """One daemon: creates its components, starts them and stops them."""

    def __init__(
        self,
        settings: Settings,
        adapters: Adapters,
        make_transport: TransportFactory,
        clock: Clock,
        instance: str | None = None,
    ) -> None:
        self.settings = settings
        self.instance = instance or new_instance(settings.vm_id)
        self.clock = clock
        self.metrics = Metrics()
        self.tasks = TaskGroup()
        timing, domain = settings.timing, settings.failure_domain
        self.tail = LogTail(adapters.log, clock, timing, settings.limits, self.metrics)
        self.directory = Directory(settings)
        router = PeerRouter(self.metrics)
        self.transport = make_transport(self.instance, router)
        self.peers = Peers(
            settings.vm_id, self.instance, self.transport, router, self.metrics
        )
        authority = Authority.from_config(
            authority_settings(timing), domain, self.instance
        )
        self.role = AuthorityRole(
            authority, self.instance, domain, self.tail, clock, self.metrics, self.tasks
        )
        self.context = Context(
            settings=settings,
            instance=self.instance,
            clock=clock,
            role=self.role,
            tail=self.tail,
            peers=self.peers,
            directory=self.directory,
            metrics=self.metrics,
            workers=adapters.workers,
            upstreams=adapters.upstreams,
        )
        self.holder = DomainHolder(self.context, self.tasks)
        self.role.set_epoch_handler(self.holder)
        self.admission = Admission.from_config(
            AdmissionSettings(cut_off_serve_s=timing.cut_off_serve_s), domain
        )
        self.membership = Membership(
            settings,
            self.peers,
            self.directory,
            self.role,
            self.tail,
            self.admission,
            self.holder,
            adapters.vm_list,
            clock,
            self.metrics,
            self.tasks,
        )
        # The order matters: the configuration of a read is applied before the end of
        # the read is recorded, and the authority learns the claim before the holder
        # acts on new limits.
        for listener in (self.membership, self.role, self.holder):
            self.tail.add_listener(listener)
        self.metrics.export_traffic(lambda: self.transport.traffic_by_region)
        self.front = self._make_front()
        self.server = HttpServer(self.front, _http_limits(settings))
        self.drain = Drain(
            _DrainableFrontEnd(self.server, self.front), self.role, clock, timing
        )

    def _make_front(self) -> Frontend:
        settings, clock = self.settings, self.clock
        calls = HolderClient(self.peers, self.directory, clock)
        slots = SlotFinder(calls, self.directory, clock)
        requests = RequestHandler(
            settings,
            calls,
            slots,
            self.context.upstreams,
            clock,
            self.metrics,
            self.tasks,
        )
        jobs = JobHandler(settings, calls, self.directory, clock)
        return Frontend(
            self.context,
            self.admission,
            requests,
            jobs,
            calls,
            self.status,
            lambda: self.drain.begin(),
        )

    async def start(self, listen: bool = True) -> None:
        """Bind all sockets and start all components."""
        await self.transport.start()
        self.peers.set_peers(self.directory.peer_addresses())
        if listen:
            host, port = split_address(self.settings.http_listen)
            await self.server.start(host, port)
        self.tasks.supervise("log", self.tail.run)
        self.tasks.supervise("authority", self.role.run)
        self.tasks.supervise("heartbeats", self.membership.run_heartbeats)
        self.tasks.supervise("VM list", self.membership.run_vm_list)
        self.tasks.supervise("clock", self._check_wall_clock)
        _LOG.info(
            "daemon started",
            http=self.server.address if listen else "",
            peers=self.transport.address,
            domain=self.settings.failure_domain,
        )

    async def run(self) -> ExitCode:
        """Run until the daemon is drained and return its exit status."""
        await self.start()
        try:
            return await self.drain.run()
        finally:
            await self.close()

    async def close(self) -> None:
        """Cancel all tasks and close all sockets."""
        if self.holder.components is not None:
            await self.holder.components.epoch.close()
        await self.tasks.close()
        await self.server.close()
        await self.transport.close()

    async def _check_wall_clock(self) -> None:
        while True:
            await asyncio.sleep(CLOCK_CHECK_INTERVAL_S)
            step_s = self.clock.synchronize()
            if abs(step_s) > self.settings.timing.skew_bound_s:
                _LOG.error(
                    "wall clock was stepped by more than the skew bound", step_s=step_s
                )

    def status(self) -> dict[str, Any]:
        """Return the daemon's status for operators."""
        authority, fleet, now = self.role.authority, self.tail.fleet, self.clock.now()
        components = self.holder.components
        contact_at = self.admission.contact_at
        return {
            "vm_id": self.settings.vm_id,
            "instance": self.instance,
            "domain": self.settings.failure_domain,
            "generation": fleet.generation,
            "ready": self.admission.is_ready(),
            "draining": self.drain.started,
            "authority": {
                "state": authority.state.value,
                "epoch": authority.epoch,
                "holder": authority.holder,
                "electors": list(authority.claim.electors) if authority.claim else [],
                "may_act": self.role.may_act(),
            },
            "log": {"available": self.tail.available, "next": fleet.next_offset},
            "contact_age_s": None if contact_at is None else now - contact_at,
            "domains": {
                domain: self.directory.holder_vm(domain, now)
                for domain in self.directory.domains()
            },
            "held": None if components is None else components.status(),
        }


def _http_limits(settings: Settings) -> HttpLimits:
    return HttpLimits(
        max_header_bytes=settings.limits.max_header_bytes,
        max_body_bytes=settings.limits.max_body_bytes,
        max_connections=settings.limits.max_connections,
    )
