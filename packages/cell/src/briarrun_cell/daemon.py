"""Process on an entry VM: serves callers and may be elected as holder of the cell."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable
from dataclasses import dataclass

from briarrun_cell.client_limits import (
    CALLERS,
    OPERATIONS,
    PEERS,
    READINESS,
    ClientReport,
    bounds_of,
)
from briarrun_cell.clock import Clock
from briarrun_cell.config_view import ConfigDecoder
from briarrun_cell.core import CellCore, CorePorts
from briarrun_cell.frontend import Frontend
from briarrun_cell.logs import ComponentLog
from briarrun_cell.metrics import Metrics
from briarrun_cell.operations import OperationsHandler
from briarrun_cell.peers import (
    PeerAdviceProxy,
    PeerHandler,
    PeerRecordRelay,
    PeerReplicaClient,
)
from briarrun_cell.ports import Advisor, Store, Workers
from briarrun_cell.registry import EntryDecoder
from briarrun_cell.settings import CellSettings
from briarrun_wire.client_bounds import ClientBudget, ProcessBounds
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_server import HttpHandler, HttpServer
from briarrun_wire.http_types import HttpLimits, HttpRequest, HttpResponse

DRAIN_NOTICE_S = 2.6
"""Time for which a stopping VM still accepts connections, until its readiness probes
have kept new ones away."""

KILL_MARGIN_S = 0.8
"""Time before the end of the grace period at which a stopping process exits."""

MAX_BODY_BYTES = 256 * 1024
"""Maximum size of the body of a caller's request, and of requests that need no body."""

WRITE_BUFFER_BYTES = 16 * 1024
"""Unsent part of answers above which a connection's next request waits. An answer to a
caller has some hundred bytes."""

_LIMITS = HttpLimits(
    max_body_bytes=MAX_BODY_BYTES, write_buffer_bytes=WRITE_BUFFER_BYTES
)
_PEER_LIMITS = HttpLimits(write_buffer_bytes=WRITE_BUFFER_BYTES)

_LOG = ComponentLog("main")


@dataclass(frozen=True, slots=True)
class Adapters:
    """Implementations of the external interfaces."""

    store: Store
    workers: Workers
    advisor: Advisor
    config_decoder: ConfigDecoder
    entry_decoder: EntryDecoder
    caller_handler: Callable[[Frontend, Clock, Metrics], HttpHandler]
    readiness_path: str
    metrics_address: str
    metrics_path: str


class _ReadinessHandler(HttpHandler):
    def __init__(self, path: str, ready: Callable[[], bool]) -> None:
        self._path = path
        self._ready = ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        if request.path != self._path:
            return HttpResponse.of_error(404, "not-found", "no such path")
        return HttpResponse(200 if self._ready() else 503)


class CellDaemon:
    """Servers for callers, peers, readiness probes and metrics around a ``CellCore``."""

    def __init__(
        self, settings: CellSettings, adapters: Adapters, clock: Clock
    ) -> None:
        self._settings = settings
        self._adapters = adapters
        self._clock = clock
        self._stopping = asyncio.Event()
        proxy = PeerAdviceProxy(settings.vm, adapters.advisor, HttpPool())
        relay = PeerRecordRelay(HttpPool())
        self._core = CellCore(
            settings,
            CorePorts(
                adapters.store,
                adapters.workers,
                proxy,
                relay,
                PeerReplicaClient(HttpPool()),
                adapters.config_decoder,
                adapters.entry_decoder,
            ),
            clock,
        )

    @property
    def ready(self) -> bool:
        """Whether this VM should get new connections."""
        return not self._stopping.is_set() and self._core.up_to_date

    def stop(self) -> None:
        """Start a graceful shutdown."""
        if not self._stopping.is_set():
            _LOG.info("stopping")
            self._stopping.set()

    async def run(self) -> None:
        """Serve until ``stop`` is called, then drain the connections."""
        _LOG.info("starting", incarnation=self._core.incarnation)
        adapters, metrics = self._adapters, self._core.metrics
        handler = adapters.caller_handler(self._core.frontend, self._clock, metrics)
        report = ClientReport(metrics, self._clock)
        budget = ClientBudget(self._client_bounds(), report)
        metrics.export_clients(budget)
        callers = HttpServer(handler, _LIMITS, budget, CALLERS)
        readiness = _ReadinessHandler(adapters.readiness_path, lambda: self.ready)
        peers = PeerHandler(
            adapters.advisor, self._core.write_for_peer, self._core.local_view
        )
        await _bind(
            HttpServer(peers, _PEER_LIMITS, budget, PEERS), self._settings.peer_address
        )
        await _bind(callers, self._settings.callers_address)
        await _bind(
            HttpServer(readiness, _LIMITS, budget, READINESS),
            self._settings.readiness_address,
        )
        port = int(adapters.metrics_address.rpartition(":")[2])
        operations = OperationsHandler(adapters.metrics_path, metrics, self._core, port)
        await _bind(
            HttpServer(operations, _LIMITS, budget, OPERATIONS),
            adapters.metrics_address,
        )
        self._core.start()
        await self._stopping.wait()
        await self._shut_down(callers)

    def _client_bounds(self) -> ProcessBounds:
        """Return the bounds on clients; the process may have fewer descriptors."""
        descriptors = self._settings.file_descriptors
        of_process, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if of_process != resource.RLIM_INFINITY:
            descriptors = min(descriptors, of_process)
        return bounds_of(self._settings.memory_mb, descriptors)

    async def _shut_down(self, callers: HttpServer) -> None:
        """Release the claim, then serve until the connections are drained."""
        began_at = self._clock.now()
        await self._core.election.release()
        callers.draining = True
        await asyncio.sleep(DRAIN_NOTICE_S)
        left_s = self._settings.grace_s - KILL_MARGIN_S
        left_s -= self._clock.now() - began_at
        try:
            async with asyncio.timeout(max(0.1, left_s)):
                await callers.drain()
        except TimeoutError:
            _LOG.warning(
                "requests still open at the end of the grace period",
                open=callers.active,
            )
        self._core.close()
        _LOG.info("stopped")


async def _bind(server: HttpServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
