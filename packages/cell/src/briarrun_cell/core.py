"""Components of one process of the cell, without its listening sockets."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from briarrun_cell.admission_gate import AdmissionGate
from briarrun_cell.advice import AdviceProxy
from briarrun_cell.clock import Clock
from briarrun_cell.config_view import ConfigDecoder, ConfigView
from briarrun_cell.decisions.admission import AdmissionControl
from briarrun_cell.election import MAX_CLAIM_AGE_S, Election
from briarrun_cell.entry_vms import EntryVm, EntryVmTable, renewal_interval_s
from briarrun_cell.evacuations import Evacuations
from briarrun_cell.explanation import JobExplanation
from briarrun_cell.frontend import WRITE_RETRY_S, Frontend
from briarrun_cell.holder import LEASE_RENEWAL_GRACE_S, Holder, HolderDependencies
from briarrun_cell.job_table import JobTable
from briarrun_cell.job_view import JobView, LocalJobView, PeerJobView, ReplicaClient
from briarrun_cell.leases import LeaseDurations
from briarrun_cell.logs import ComponentLog
from briarrun_cell.metrics import Metrics
from briarrun_cell.operations import Explainer, NotHolder
from briarrun_cell.ports import AppendOutcome, Record, Store, Topic, Workers
from briarrun_cell.progress_size import ProgressBounds
from briarrun_cell.record_writer import RecordWriter, WriteOutcome, WriteResult
from briarrun_cell.registry import EntryDecoder, WorkerRegistry
from briarrun_cell.replicas import choose_replicas, is_replica, nearest_first
from briarrun_cell.settings import CellSettings
from briarrun_cell.store_monitor import ObservedStore, StoreMonitor
from briarrun_cell.stream import JobStreamListener
from briarrun_cell.tail import TopicListeners, TopicTail
from briarrun_cell.write_relay import RecordRelay, SubmissionWriter

CONFIG_WAIT_S = 1.0
"""Long-poll time of a read of the configuration; keys are refused if it is too old."""

JOBS_WAIT_S = 1.0
"""Long-poll time of a read of the job stream."""

CLAIMS_WAIT_S = 1.0
"""Long-poll time of a read of the claims, which come ten times a second."""

RARE_TOPIC_WAIT_S = 5.0
"""Long-poll time of a read of a topic that changes rarely."""

VMS_READ_PAUSE_S = 1.5
"""Pause between reads of the list of VMs."""

JOBS_READ_PAUSE_S = 0.7
"""Pause between reads of the job stream on a VM that is not the holder. A request for
the state of an unfinished job ends the pause."""

HOLDER_JOBS_READ_PAUSE_S = 0.012
"""Pause between reads of the job stream on the holder."""

REGISTRY_READ_PAUSE_S = 1.0
"""Pause between reads of the worker registry on a VM that is not the holder."""

HOLDER_REGISTRY_READ_PAUSE_S = 0.25
"""Pause between reads of the worker registry on the holder."""

MAX_REGISTRY_AGE_S = 12.0
"""Age of the worker registry above which no submission is turned away. While nothing
changes, the view is up to two long polls old."""

MAX_UNHEARD_FOR_REFUSALS_S = 1.0
"""Time without an answer of the store after which no submission is turned away."""

READY_CONFIG_AGE_S = 3.0
"""Age of the configuration above which a VM reports that it is not ready."""

TAKEOVER_CONFIG_AGE_S = 2.5
"""Maximum age of the configuration topic's view when a new holder begins to decide. An
evacuation is in force 5 s after its request, and start orders are valid for 2 s. Long
polls make the view of a reachable store up to 2 s old."""

READY_VIEW_AGE_S = 3.0
"""Age of the job view above which a VM reports that it is not ready."""

LEASE_S = 5.8
"""Duration of a run's lease, unless workers grant less. A worker that is cut off for a
few seconds keeps its work, and so does a cell whose holder is replaced."""

START_ORDER_VALIDITY_S = 2.0
"""Time after which a worker no longer carries out a start order."""

VMS_LOAD_TIMEOUT_S = 5.0
"""Maximum wait for the VMs and the claims before a VM chooses its role."""

ROLE_REVIEW_S = 0.2
"""Interval at which a VM that is no replica checks whether it is to become one."""

MAX_UNSERVED_S = 5.0
"""Time without a holder, or without answers of replicas, after which another VM follows
the job stream, so that it can become the holder. Time without the store is left out."""

QUIET_REGISTRATIONS_S = 0.4
"""Time without a further registration after which the list of VMs counts as complete."""

MAX_FIRST_REGISTRATIONS_S = 1.0
"""Maximum time for which a VM that registers for the first time waits for others."""

REGISTRATIONS_REVIEW_S = 0.03
"""Interval at which a VM that waits for registrations looks at the list of VMs."""

REGISTER_RETRY_S = 0.3
"""Pause before a failed registration or background task is repeated."""

RENEWAL_RETRY_S = 1.0
"""Pause before a failed renewal of the entry of this VM is repeated."""

RENEWAL_JITTER = 0.1
"""Fraction by which the interval between renewals varies, so that VMs which started
together spread their writes."""

ROUND_TRIP_DELAY_FACTOR = 8.0
"""Multiple of the round trip to the store by which a candidate delays its claim, so
that a VM near the store takes over."""

MAX_ROUND_TRIP_DELAY_S = 0.25
"""Maximum delay of a claim because of the round trip to the store."""

CLAIMS_READ_PAUSE_PER_VM_S = 0.02
"""Pause between reads of the claims, per VM of the cell. With more candidates, each
can read less often and one of them still sees soon that the last claim is old."""

MAX_CLAIMS_READ_PAUSE_S = 0.6
"""Maximum pause between reads of the claims."""

CLAIMS_REFRESH_TIMEOUT_S = 0.1
"""Maximum wait for claims written since the last read, before claiming."""

LARGE_VM_CORES = 1.0
"""Cores below which a VM counts as small and delays its claim."""

SMALL_VM_CLAIM_DELAY_S = 0.25
"""Delay of a claim by a small VM, so that a larger one takes over."""

_LOG = ComponentLog("main")


@dataclass(frozen=True, slots=True)
class CorePorts:
    """Implementations of the interfaces that the core uses."""

    store: Store
    workers: Workers
    advice_proxy: AdviceProxy
    relay: RecordRelay
    replicas: ReplicaClient
    config_decoder: ConfigDecoder
    entry_decoder: EntryDecoder


class CellCore(Explainer):
    """Store readers, frontend and election candidate of one process."""

    def __init__(
        self,
        settings: CellSettings,
        ports: CorePorts,
        clock: Clock,
        incarnation: str | None = None,
    ) -> None:
        self._settings = settings
        store = self._store = ObservedStore(ports.store, clock)
        self._clock = clock
        self.incarnation = incarnation or secrets.token_hex(4)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.metrics = Metrics()
        self.table = JobTable()
        self.config = ConfigView(ports.config_decoder)
        self._evacuations = Evacuations(ports.config_decoder)
        self.metrics.evacuated_domains.set_function(
            lambda: len(self._evacuations.failure_domains)
        )
        lease_s = min(LEASE_S, settings.max_lease_s - 0.2)
        lease_durations = LeaseDurations(
            lease_s=lease_s,
            start_s=START_ORDER_VALIDITY_S,
            longest_s=max(
                lease_s * 1.05 + LEASE_RENEWAL_GRACE_S, settings.max_lease_s * 1.05
            ),
            granted_s=settings.max_lease_s,
        )
        self._registry = WorkerRegistry(
            ports.entry_decoder, clock, lease_durations.longest_s
        )
        self._vms = EntryVmTable()
        self._config_tail = TopicTail(
            store,
            Topic.CONFIG,
            TopicListeners(self.config, self._evacuations),
            clock,
            wait_s=CONFIG_WAIT_S,
        )
        self._jobs_tail = TopicTail(
            store,
            Topic.JOBS,
            JobStreamListener(self.table),
            clock,
            wait_s=JOBS_WAIT_S,
            read_pause_s=JOBS_READ_PAUSE_S,
        )
        self._vms_tail = TopicTail(
            store,
            Topic.VMS,
            self._vms,
            clock,
            wait_s=RARE_TOPIC_WAIT_S,
            read_pause_s=VMS_READ_PAUSE_S,
        )
        self._registry_tail = TopicTail(
            store,
            Topic.WORKERS,
            self._registry,
            clock,
            wait_s=RARE_TOPIC_WAIT_S,
            read_pause_s=REGISTRY_READ_PAUSE_S,
        )
        self._monitor = StoreMonitor(
            store,
            clock,
            lambda: self._config_tail.next_offset,
            self.metrics.set_store_silent,
        )
        self._writer = RecordWriter(store, clock, self._monitor)
        self._gate = AdmissionGate(self._admission, self.table, clock)
        self.local_view = LocalJobView(self.table, self._jobs_tail, clock)
        self._nearest_replicas: list[EntryVm] = []
        self._peer_view = PeerJobView(
            ports.replicas, lambda: self._nearest_replicas, clock
        )
        self._is_replica = asyncio.Event()
        self.frontend = Frontend(
            self.config,
            self._config_tail,
            self._job_view,
            self._jobs_tail,
            SubmissionWriter(
                self._writer,
                ports.relay,
                self._holder_address,
                clock,
                self._monitor,
                self._gate.review,
            ),
            clock,
            settings.max_config_age_s,
            ProgressBounds(store.limits.record_bytes),
            self._monitor,
            self.metrics.observe_refusal,
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
                evacuations=self._evacuations,
                confirm_config=self._confirm_config,
                vms=self._advice_vms,
                lease_durations=lease_durations,
                keep_final_s=settings.keep_final_s * 1.5,
                metrics=self.metrics,
                registry_tail=self._registry_tail,
                jobs_read_pause_s=HOLDER_JOBS_READ_PAUSE_S,
                registry_read_pause_s=HOLDER_REGISTRY_READ_PAUSE_S,
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
            eligible=self._job_view_is_fresh,
        )
        self._claims_tail = TopicTail(
            store, Topic.HOLDER, self.election, clock, wait_s=CLAIMS_WAIT_S
        )
        self._vms.on_change = self._on_vms

    def _holder_address(self) -> str | None:
        return self.election.other_holder_address()

    def explain(self, job_id: str) -> JobExplanation | NotHolder | None:
        """Explain where a job stands; only the holder can."""
        session = self.holder.session
        if session is not None and session.is_holder():
            return session.waits.explain(job_id)
        claim = self.election.other_holder()
        return NotHolder() if claim is None else NotHolder(claim.vm, claim.address)

    async def write_for_peer(
        self, record: Record, settle_s: float, priority: int
    ) -> WriteResult:
        """Store a record that another VM has accepted, unless this one turns it away."""
        if self._monitor.is_silent():
            return WriteResult(WriteOutcome.UNREACHABLE)
        refused = self._gate.review(record)
        if refused is not None:
            return refused
        outcome = await self._writer.write(
            record, WRITE_RETRY_S, settle_s, priority=priority
        )
        return WriteResult(outcome)

    def _admission(self) -> AdmissionControl | None:
        """Return the admission control of a holder whose views are current."""
        session = self.holder.session
        if session is None or not session.recovered or not session.is_holder():
            return None
        if (
            self._config_tail.age_s() > READY_CONFIG_AGE_S
            or self._registry_tail.age_s() > MAX_REGISTRY_AGE_S
            or self._monitor.unheard_s() > MAX_UNHEARD_FOR_REFUSALS_S
        ):
            return None
        return session.admission

    @property
    def vms_by_name(self) -> dict[str, EntryVm]:
        """VMs of the cell that renew their entries, as far as this one knows."""
        return self._vms.by_name

    def _job_view_is_fresh(self) -> bool:
        return self._jobs_tail.age_s() <= READY_VIEW_AGE_S

    async def _confirm_config(self) -> None:
        await self._config_tail.wait_confirmed(TAKEOVER_CONFIG_AGE_S)

    async def _confirm_claims(self) -> None:
        await self._claims_tail.refresh(CLAIMS_REFRESH_TIMEOUT_S)

    def _on_vms(self) -> None:
        vms = self._vms.by_name
        self._claims_tail.read_pause_s = min(
            MAX_CLAIMS_READ_PAUSE_S, CLAIMS_READ_PAUSE_PER_VM_S * len(vms)
        )
        replicas = choose_replicas(vms.values())
        self._nearest_replicas = nearest_first(self._own_entry(), replicas)

    # Replicas

    @property
    def is_replica(self) -> bool:
        """Whether this VM follows the job stream, or has decided to do so."""
        return self._is_replica.is_set()

    def _job_view(self) -> JobView:
        """Return the own view once it is loaded, and that of other VMs before."""
        if self._jobs_tail.confirmed_at is not None:
            return self.local_view
        return self._peer_view

    def _advice_vms(self) -> list[EntryVm]:
        """Return the VMs through which advice can be requested, this one first."""
        own = self._own_entry()
        known = {**self._vms.by_name, own.vm: own}
        return sorted(
            known.values(),
            key=lambda vm: (vm.vm != own.vm, vm.region != own.region, vm.vm),
        )

    @property
    def up_to_date(self) -> bool:
        """Whether the views of the configuration and the jobs are recent."""
        return (
            self.config.loaded
            and not self.frontend.store_is_unreachable
            and self._config_tail.age_s() <= READY_CONFIG_AGE_S
            and (self._job_view_is_fresh() or not self.is_replica)
        )

    def start(self) -> None:
        """Start to read the store and to take part in the election."""
        self._follow_topics()
        self._supervise("registration", self._keep_registered)
        self._supervise("store monitor", self._monitor.run)
        self._supervise("writer", self._writer.run)
        self._supervise("election", self._run_election)

    def close(self) -> None:
        """Cancel all tasks."""
        if self.holder.session is not None:
            self.holder.session.close()
        self._monitor.close()
        for task in self._tasks:
            task.cancel()

    def _follow_topics(self) -> None:
        for name, tail in (
            ("config", self._config_tail),
            ("holder", self._claims_tail),
            ("vms", self._vms_tail),
        ):
            self._supervise(f"tail of {name}", tail.run)
        self._supervise("tail of jobs", self._follow_jobs)
        self._supervise("tail of registry", self._follow_registry)
        self._supervise("replica choice", self._choose_role)

    async def _follow_jobs(self) -> None:
        await self._is_replica.wait()
        await self._jobs_tail.run()

    async def _follow_registry(self) -> None:
        await self._is_replica.wait()
        await self._registry_tail.run()

    async def _choose_role(self) -> None:
        """Become a replica if this VM is to be one, or if no replica serves the cell."""
        registered_before = False
        try:
            async with asyncio.timeout(VMS_LOAD_TIMEOUT_S):
                await self._vms_tail.wait_for_offset(0)
                registered_before = self._settings.vm in self._vms.by_name
                await self._claims_tail.wait_for_offset(0)
        except TimeoutError:
            _LOG.warning("VMs and claims could not be read before the jobs")
        if not registered_before and not self.election.held_last:
            with self._vms_tail.followed():
                await self._wait_for_first_registrations()
        if self._is_chosen() or self.election.held_last:
            self._is_replica.set()
            return
        _LOG.info("asking replicas for jobs", vms=len(self._vms.by_name))
        reason = await self._wait_for_promotion()
        _LOG.warning(
            "following the job stream", reason=reason, unheld_s=self.election.unheld_s()
        )
        self._is_replica.set()

    def _is_chosen(self) -> bool:
        return is_replica(self._own_entry(), self._vms.by_name.values())

    async def _wait_for_promotion(self) -> str:
        """Wait until this VM is to become a replica, and return the reason."""
        served_at = self._clock.now()
        while self._clock.now() < served_at + MAX_UNSERVED_S:
            await asyncio.sleep(ROLE_REVIEW_S)
            if self._is_chosen():
                return "other replicas are gone"
            if self.frontend.store_is_unreachable or await self._replicas_serve():
                served_at = self._clock.now()
        return "no replica serves the cell"

    async def _wait_for_first_registrations(self) -> None:
        """Wait until this VM is listed and the list has not grown for a while.

        When a cell starts for the first time, its VMs register one by one.
        """
        began_at = grown_at = self._clock.now()
        known = 0
        while self._clock.now() < began_at + MAX_FIRST_REGISTRATIONS_S:
            if len(self._vms.by_name) > known:
                known = len(self._vms.by_name)
                grown_at = self._clock.now()
            listed = self._settings.vm in self._vms.by_name
            if listed and self._clock.now() >= grown_at + QUIET_REGISTRATIONS_S:
                return
            await asyncio.sleep(REGISTRATIONS_REVIEW_S)

    async def _replicas_serve(self) -> bool:
        """Return whether the cell has a holder and replicas answer questions."""
        held = self.election.unheld_s() <= MAX_CLAIM_AGE_S
        return held and await self._peer_view.serves()

    def _own_entry(self) -> EntryVm:
        return EntryVm(
            vm=self._settings.vm,
            address=self._settings.peer_address,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
            cores=self._settings.cores,
            renewed_every_s=renewal_interval_s(len(self._vms.by_name)),
        )

    async def _keep_registered(self) -> None:
        """Publish the entry of this VM in the store, and renew it until cancelled.

        Waits for the list of VMs, which shows whether this is the first registration.
        The holder also removes the entries of VMs that are gone.
        """
        await self._vms_tail.wait_for_offset(0)
        rng = random.Random(self.incarnation)
        retry_s = REGISTER_RETRY_S
        while True:
            entry = self._own_entry()
            batch = [Record(entry.vm, msgspec.json.encode(entry))]
            if self.election.is_holder:
                batch += [Record(name, None) for name in sorted(self._vms.gone)]
            sent_at = self._clock.now()
            result = await self._store.append(Topic.VMS, batch, timeout_s=1.0)
            if result.outcome is AppendOutcome.DONE:
                retry_s = RENEWAL_RETRY_S
                jitter = rng.uniform(1 - RENEWAL_JITTER, 1 + RENEWAL_JITTER)
                await asyncio.sleep(entry.renewed_every_s * jitter)
                continue
            await asyncio.sleep(retry_s)
            _LOG.warning(
                "registration of this VM failed",
                outcome=result.outcome,
                detail=result.detail,
                waited_s=self._clock.now() - sent_at,
            )

    async def _run_election(self) -> None:
        await self.config.wait_loaded()
        sent_at = self._clock.now()
        try:
            await self._store.newest(Topic.HOLDER, timeout_s=1.0)
        except Exception as error:  # Only the round trip is measured here.
            _LOG.warning(
                "could not measure the round trip to the store", detail=str(error)
            )
        round_trip_s = self._clock.now() - sent_at
        claim_delay_s = min(
            MAX_ROUND_TRIP_DELAY_S, ROUND_TRIP_DELAY_FACTOR * round_trip_s
        )
        if self._settings.cores < LARGE_VM_CORES:
            claim_delay_s += SMALL_VM_CLAIM_DELAY_S
        self.election.claim_delay_s = claim_delay_s
        await self.election.run()

    def _supervise(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        task = asyncio.get_running_loop().create_task(_run_with_restarts(name, run))
        self._tasks.add(task)


async def _run_with_restarts(
    name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run a task until it returns; log any exception and restart it."""
    while True:
        try:
            await run()
            return
        except Exception as error:  # A bug in one task must not end the others.
            _LOG.error(f"background task {name} failed; restarting", detail=repr(error))
            await asyncio.sleep(REGISTER_RETRY_S)
