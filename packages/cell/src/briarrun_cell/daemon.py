"""One process on an entry VM: a front that may also hold the cell."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from briarrun_cell.accepting import RecordWriter
from briarrun_cell.clock import Clock
from briarrun_cell.config_view import ConfigDecoder, ConfigView
from briarrun_cell.election import Election
from briarrun_cell.front import Front
from briarrun_cell.holder import CARETAKING_S, Holder, HolderParts
from briarrun_cell.job_table import JobTable
from briarrun_cell.ledger import LeaseTerms
from briarrun_cell.logs import PartLog
from briarrun_cell.metrics import Metrics
from briarrun_cell.nodes import EntryVm, EntryVmTable
from briarrun_cell.peers import PeerAdviceProxy, PeerHandler
from briarrun_cell.ports import (
    Advisor,
    AppendOutcome,
    Record,
    Store,
    Topic,
    Workers,
)
from briarrun_cell.registry import EntryDecoder, Registry
from briarrun_cell.settings import CellSettings
from briarrun_cell.stream import JobStreamReader
from briarrun_cell.tail import TopicTail
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_server import HttpHandler, HttpServer
from briarrun_wire.http_types import HttpLimits, HttpRequest, HttpResponse

CONFIG_WAIT_S = 1.0
"""Longest wait of one read of the configuration, whose age decides about keys."""

JOBS_WAIT_S = 1.0
"""Longest wait of one read of the job stream."""

SLOW_WAIT_S = 5.0
"""Longest wait of one read of a topic that changes rarely."""

FRONT_JOBS_PACE_S = 0.08
"""Pause between reads of the job stream on a VM that does not hold the cell."""

HOLDER_JOBS_PACE_S = 0.012
"""Pause between reads of the job stream on the holder."""

REGISTRY_PACE_S = 1.0
"""Pause between reads of the worker registry on a VM that does not hold the cell."""

HOLDER_REGISTRY_PACE_S = 0.25
"""Pause between reads of the worker registry on the holder."""

READY_CONFIG_AGE_S = 2.4
"""A VM whose configuration is older takes no new connections."""

READY_VIEW_AGE_S = 2.4
"""A VM whose view of the jobs is older takes no new connections."""

LEASE_S = 3.2
"""Length of a run's lease, if workers grant it."""

START_ORDER_S = 2.0
"""Time for which a start order is good."""

DRAIN_NOTICE_S = 2.6
"""Time for which a stopping VM keeps serving, until it gets no new connections."""

KILL_MARGIN_S = 0.8
"""Time before the announced kill at which a stopping VM ends in any case."""

REGISTER_RETRY_S = 0.3
"""Pause before a VM tries again to register."""

STORE_DISTANCE_FACTOR = 8.0
"""Candidates wait for this multiple of their round trip to the store, so that one near
the store takes over."""

_LOG = PartLog("main")


@dataclass(frozen=True, slots=True)
class Adapters:
    """Hold the implementations of everything outside."""

    store: Store
    workers: Workers
    advisor: Advisor
    config_decoder: ConfigDecoder
    entry_decoder: EntryDecoder
    caller_handler: Callable[[Front, Clock, Metrics], HttpHandler]
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


class _MetricsHandler(HttpHandler):
    def __init__(self, path: str, metrics: Metrics) -> None:
        self._path = path
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpResponse:
        if request.path != self._path:
            return HttpResponse.of_error(404, "not-found", "no such path")
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        return HttpResponse(200, self._metrics.render(), headers)


class CellDaemon:
    """Wire the parts of one process and run them until it is told to stop."""

    def __init__(
        self, settings: CellSettings, adapters: Adapters, clock: Clock
    ) -> None:
        self._settings = settings
        self._adapters = adapters
        self._clock = clock
        self._incarnation = secrets.token_hex(4)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._stopping = asyncio.Event()
        self.metrics = Metrics()
        self._table = JobTable()
        self._config = ConfigView(adapters.config_decoder)
        lease_s = min(LEASE_S, settings.max_lease_s - 0.2)
        terms = LeaseTerms(
            lease_s=lease_s,
            start_s=START_ORDER_S,
            longest_s=lease_s * 1.05 + CARETAKING_S,
        )
        self._registry = Registry(adapters.entry_decoder, clock, terms.longest_s)
        self._vms = EntryVmTable()
        store = adapters.store
        self._config_tail = TopicTail(
            store, Topic.CONFIG, self._config, clock, wait_s=CONFIG_WAIT_S
        )
        self._jobs_tail = TopicTail(
            store,
            Topic.JOBS,
            JobStreamReader(self._table),
            clock,
            wait_s=JOBS_WAIT_S,
            pace_s=FRONT_JOBS_PACE_S,
        )
        self._registry_tail = TopicTail(
            store,
            Topic.WORKERS,
            self._registry,
            clock,
            wait_s=SLOW_WAIT_S,
            pace_s=REGISTRY_PACE_S,
        )
        self._writer = RecordWriter(store, clock)
        self._front = Front(
            self._config,
            self._config_tail,
            self._table,
            self._jobs_tail,
            self._writer,
            clock,
            settings.max_config_age_s,
        )
        proxy = PeerAdviceProxy(settings.vm, adapters.advisor, HttpPool())
        self._holder = Holder(
            HolderParts(
                store=store,
                workers=adapters.workers,
                proxy=proxy,
                clock=clock,
                table=self._table,
                jobs_tail=self._jobs_tail,
                registry=self._registry,
                config=self._config,
                vms=self._advice_vms,
                terms=terms,
                keep_final_s=settings.keep_final_s * 1.5,
                metrics=self.metrics,
                registry_tail=self._registry_tail,
                jobs_pace_s=HOLDER_JOBS_PACE_S,
                registry_pace_s=HOLDER_REGISTRY_PACE_S,
            )
        )
        self._election = Election(
            store,
            clock,
            settings.vm,
            settings.peer_address,
            self._incarnation,
            self._holder,
            rng=random.Random(self._incarnation),
        )

    def _advice_vms(self) -> list[EntryVm]:
        """Return the VMs that may ask for advice, this one first."""
        own = self._settings.vm
        region = self._settings.region
        return sorted(
            self._vms.by_name.values(),
            key=lambda vm: (vm.vm != own, vm.region != region, vm.vm),
        )

    @property
    def ready(self) -> bool:
        """Tell whether this VM should get new connections."""
        return (
            not self._stopping.is_set()
            and self._config.loaded
            and self._config_tail.age_s() <= READY_CONFIG_AGE_S
            and self._jobs_tail.age_s() <= READY_VIEW_AGE_S
        )

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        if not self._stopping.is_set():
            _LOG.info("is stopping", vm=self._settings.vm)
            self._stopping.set()

    async def run(self) -> None:
        """Serve until told to stop, then let requests end."""
        _LOG.info("starts", incarnation=self._incarnation)
        handler = self._adapters.caller_handler(self._front, self._clock, self.metrics)
        callers = HttpServer(handler, HttpLimits(max_body_bytes=262144))
        readiness = HttpServer(
            _ReadinessHandler(self._adapters.readiness_path, lambda: self.ready)
        )
        peers = HttpServer(PeerHandler(self._adapters.advisor))
        metrics = HttpServer(_MetricsHandler(self._adapters.metrics_path, self.metrics))
        await _bind(peers, self._settings.peer_address)
        await _bind(callers, self._settings.callers_address)
        await _bind(readiness, self._settings.readiness_address)
        await _bind(metrics, self._adapters.metrics_address)
        self._follow_topics()
        self._keep("register", self._register)
        self._keep("writer", self._writer.run)
        self._keep("election", self._run_election)
        await self._stopping.wait()
        await self._shut_down(callers)

    def _follow_topics(self) -> None:
        store, clock = self._adapters.store, self._clock
        holder_tail = TopicTail(
            store, Topic.HOLDER, self._election, clock, wait_s=SLOW_WAIT_S
        )
        vms_tail = TopicTail(store, Topic.VMS, self._vms, clock, wait_s=SLOW_WAIT_S)
        for name, tail in (
            ("config", self._config_tail),
            ("jobs", self._jobs_tail),
            ("holder", holder_tail),
            ("registry", self._registry_tail),
            ("vms", vms_tail),
        ):
            self._keep(f"tail of {name}", tail.run)

    async def _register(self) -> None:
        """Tell the other VMs how to reach this one; measure the way to the store."""
        entry = EntryVm(
            vm=self._settings.vm,
            address=self._settings.peer_address,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
        )
        record = Record(entry.vm, msgspec.json.encode(entry))
        while True:
            sent_at = self._clock.now()
            result = await self._adapters.store.append(
                Topic.VMS, [record], timeout_s=1.0
            )
            if result.outcome is AppendOutcome.DONE:
                return
            await asyncio.sleep(REGISTER_RETRY_S)
            _LOG.warning(
                "could not register",
                outcome=result.outcome,
                detail=result.detail,
                waited_s=self._clock.now() - sent_at,
            )

    async def _run_election(self) -> None:
        await self._config.known()
        sent_at = self._clock.now()
        try:
            await self._adapters.store.newest(Topic.HOLDER, timeout_s=1.0)
        except Exception as error:  # Only the distance is measured here.
            _LOG.warning("could not measure the store", detail=str(error))
        distance_s = self._clock.now() - sent_at
        self._election.handicap_s = min(0.5, STORE_DISTANCE_FACTOR * distance_s)
        await self._election.run()

    async def _shut_down(self, callers: HttpServer) -> None:
        """Give up the cell, then serve until connections have moved elsewhere."""
        began_at = self._clock.now()
        await self._election.release()
        callers.draining = True
        await asyncio.sleep(DRAIN_NOTICE_S)
        last_s = self._settings.grace_s - KILL_MARGIN_S
        try:
            async with asyncio.timeout(
                max(0.1, last_s - (self._clock.now() - began_at))
            ):
                await callers.drain()
        except TimeoutError:
            _LOG.warning("requests were still open at the end", open=callers.active)
        for task in self._tasks:
            task.cancel()
        _LOG.info("has stopped")

    def _keep(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = asyncio.get_running_loop().create_task(_restart(name, run))
        self._tasks.add(task)


async def _restart(name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a loop until cancelled; a defect is reported and the loop starts again."""
    while True:
        try:
            await run()
            return
        except Exception as error:  # A defect in one part must not end the others.
            _LOG.error(f"the loop {name} failed", detail=repr(error))
            await asyncio.sleep(REGISTER_RETRY_S)


async def _bind(server: HttpServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
