"""The parts of one process of the cell, without its listening sockets."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from briarrun_cell.advice import AdviceProxy
from briarrun_cell.clock import Clock
from briarrun_cell.config_view import ConfigDecoder, ConfigView
from briarrun_cell.election import Election
from briarrun_cell.entry_vms import EntryVm, EntryVmTable
from briarrun_cell.frontend import Frontend
from briarrun_cell.holder import LEASE_RENEWAL_GRACE_S, Holder, HolderDependencies
from briarrun_cell.job_table import JobTable
from briarrun_cell.ledger import LeaseDurations
from briarrun_cell.logs import ComponentLog
from briarrun_cell.metrics import Metrics
from briarrun_cell.ports import AppendOutcome, Record, Store, Topic, Workers
from briarrun_cell.record_writer import RecordWriter
from briarrun_cell.registry import EntryDecoder, WorkerRegistry
from briarrun_cell.settings import CellSettings
from briarrun_cell.stream import JobStreamListener
from briarrun_cell.tail import TopicTail

CONFIG_WAIT_S = 1.0
"""Longest wait of one read of the configuration, whose age decides about keys."""

JOBS_WAIT_S = 1.0
"""Longest wait of one read of the job stream."""

SLOW_WAIT_S = 5.0
"""Longest wait of one read of a topic that changes rarely."""

FRONT_JOBS_PACE_S = 0.7
"""Pause between reads of the job stream on a VM that does not hold the cell; a caller
who asks for a job that is not final ends it."""

HOLDER_JOBS_PACE_S = 0.012
"""Pause between reads of the job stream on the holder."""

REGISTRY_PACE_S = 1.0
"""Pause between reads of the worker registry on a VM that does not hold the cell."""

HOLDER_REGISTRY_PACE_S = 0.25
"""Pause between reads of the worker registry on the holder."""

READY_CONFIG_AGE_S = 3.0
"""A VM whose configuration is older takes no new connections."""

READY_VIEW_AGE_S = 3.0
"""A VM whose view of the jobs is older takes no new connections."""

LEASE_S = 3.2
"""Length of a run's lease, if workers grant it."""

START_ORDER_S = 2.0
"""Time for which a start order is good."""

REGISTER_RETRY_S = 0.3
"""Pause before a VM tries again to register."""

STORE_DISTANCE_FACTOR = 8.0
"""Candidates wait for this multiple of their round trip to the store, so that one near
the store takes over."""

MAX_DISTANCE_HANDICAP_S = 0.25
"""Longest wait of a candidate for its distance from the store."""

CLAIMS_PACE_PER_VM_S = 0.02
"""Pause between reads of the claims for each VM of the cell: the more candidates there
are, the sooner one of them sees that the last claim is old."""

MAX_CLAIMS_PACE_S = 0.6
"""Longest pause between reads of the claims."""

CLAIMS_PATIENCE_S = 0.1
"""Longest wait for claims that may have been written since the last read."""

LARGE_VM_CORES = 1.0
"""A VM with fewer cores leaves the cell to a larger one, if there is any."""

SMALL_VM_HANDICAP_S = 0.25
"""Wait of a candidate on a small VM."""

_LOG = ComponentLog("main")


@dataclass(frozen=True, slots=True)
class CorePorts:
    """Hold the implementations of what the core talks to."""

    store: Store
    workers: Workers
    advice_proxy: AdviceProxy
    config_decoder: ConfigDecoder
    entry_decoder: EntryDecoder


class CellCore:
    """Follow the store, serve callers and stand for election as holder."""

    def __init__(
        self,
        settings: CellSettings,
        ports: CorePorts,
        clock: Clock,
        incarnation: str | None = None,
    ) -> None:
        self._settings = settings
        self._store = ports.store
        self._clock = clock
        self.incarnation = incarnation or secrets.token_hex(4)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.metrics = Metrics()
        self.table = JobTable()
        self.config = ConfigView(ports.config_decoder)
        lease_s = min(LEASE_S, settings.max_lease_s - 0.2)
        terms = LeaseDurations(
            lease_s=lease_s,
            start_s=START_ORDER_S,
            longest_s=lease_s * 1.05 + LEASE_RENEWAL_GRACE_S,
        )
        self._registry = WorkerRegistry(ports.entry_decoder, clock, terms.longest_s)
        self._vms = EntryVmTable()
        store = ports.store
        self._config_tail = TopicTail(
            store, Topic.CONFIG, self.config, clock, wait_s=CONFIG_WAIT_S
        )
        self._jobs_tail = TopicTail(
            store,
            Topic.JOBS,
            JobStreamListener(self.table),
            clock,
            wait_s=JOBS_WAIT_S,
            read_pause_s=FRONT_JOBS_PACE_S,
        )
        self._registry_tail = TopicTail(
            store,
            Topic.WORKERS,
            self._registry,
            clock,
            wait_s=SLOW_WAIT_S,
            read_pause_s=REGISTRY_PACE_S,
        )
        self._writer = RecordWriter(
            store,
            clock,
            lambda: max(self._jobs_tail.answered_at, self._config_tail.answered_at),
        )
        self.frontend = Frontend(
            self.config,
            self._config_tail,
            self.table,
            self._jobs_tail,
            self._writer,
            clock,
            settings.max_config_age_s,
        )
        self.holder = Holder(
            HolderDependencies(
                store=store,
                workers=ports.workers,
                proxy=ports.advice_proxy,
                clock=clock,
                table=self.table,
                jobs_tail=self._jobs_tail,
                registry=self._registry,
                config=self.config,
                vms=self._advice_vms,
                terms=terms,
                keep_final_s=settings.keep_final_s * 1.5,
                metrics=self.metrics,
                registry_tail=self._registry_tail,
                jobs_read_pause_s=HOLDER_JOBS_PACE_S,
                registry_read_pause_s=HOLDER_REGISTRY_PACE_S,
            )
        )
        self.election = Election(
            store,
            clock,
            settings.vm,
            settings.peer_address,
            self.incarnation,
            self.holder,
            rng=random.Random(self.incarnation),
            confirm=self._confirm_claims,
            eligible=self._knows_jobs,
        )
        self._claims_tail = TopicTail(
            store, Topic.HOLDER, self.election, clock, wait_s=SLOW_WAIT_S
        )
        self._vms.on_change = self._pace_claims

    def _knows_jobs(self) -> bool:
        return self._jobs_tail.age_s() <= READY_VIEW_AGE_S

    async def _confirm_claims(self) -> None:
        await self._claims_tail.refresh(CLAIMS_PATIENCE_S)

    def _pace_claims(self, vms: int) -> None:
        read_pause_s = min(MAX_CLAIMS_PACE_S, CLAIMS_PACE_PER_VM_S * vms)
        self._claims_tail.read_pause_s = read_pause_s

    def _advice_vms(self) -> list[EntryVm]:
        """Return the VMs that may ask for advice, this one first."""
        own = self._settings.vm
        region = self._settings.region
        return sorted(
            self._vms.by_name.values(),
            key=lambda vm: (vm.vm != own, vm.region != region, vm.vm),
        )

    @property
    def up_to_date(self) -> bool:
        """Tell whether the configuration and the jobs are known as of now."""
        return (
            self.config.loaded
            and not self.frontend.store_is_unreachable
            and self._config_tail.age_s() <= READY_CONFIG_AGE_S
            and self._knows_jobs()
        )

    def start(self) -> None:
        """Begin to follow the store and to stand for election."""
        self._follow_topics()
        self._keep("register", self._register)
        self._keep("writer", self._writer.run)
        self._keep("election", self._run_election)

    def close(self) -> None:
        """Stop everything at once."""
        if self.holder.session is not None:
            self.holder.session.close()
        for task in self._tasks:
            task.cancel()

    def _follow_topics(self) -> None:
        store, clock = self._store, self._clock
        vms_tail = TopicTail(store, Topic.VMS, self._vms, clock, wait_s=SLOW_WAIT_S)
        for name, tail in (
            ("config", self._config_tail),
            ("jobs", self._jobs_tail),
            ("holder", self._claims_tail),
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
            result = await self._store.append(Topic.VMS, [record], timeout_s=1.0)
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
        await self.config.known()
        sent_at = self._clock.now()
        try:
            await self._store.newest(Topic.HOLDER, timeout_s=1.0)
        except Exception as error:  # Only the distance is measured here.
            _LOG.warning("could not measure the store", detail=str(error))
        distance_s = self._clock.now() - sent_at
        claim_delay_s = min(MAX_DISTANCE_HANDICAP_S, STORE_DISTANCE_FACTOR * distance_s)
        if self._settings.cores < LARGE_VM_CORES:
            claim_delay_s += SMALL_VM_HANDICAP_S
        self.election.claim_delay_s = claim_delay_s
        await self.election.run()

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
