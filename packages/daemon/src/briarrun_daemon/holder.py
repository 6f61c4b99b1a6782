"""State of this daemon's failure domain while it holds the domain or follows."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from briarrun_adapters.vm_list import Vm, VmRole, VmState
from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.events import FleetEvent
from briarrun_core.ledger import Ledger
from briarrun_core.ledger_orders import LedgerSettings
from briarrun_core.request_records import RequestRecords, RequestSettings
from briarrun_core.snapshots import SnapshotSchedule
from briarrun_daemon.authority_role import EpochHandler
from briarrun_daemon.context import Context
from briarrun_daemon.epoch_components import EpochComponents
from briarrun_daemon.job_service import refuse_call
from briarrun_daemon.log_tail import LogListener
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.membership import MembershipDelegate
from briarrun_daemon.replication import Replica, snapshot_reply
from briarrun_daemon.settings import Settings
from briarrun_daemon.slot_service import refuse_slot
from briarrun_daemon.tasks import TaskGroup
from briarrun_wire.messages import (
    CancelJob,
    DomainLoad,
    Heartbeat,
    JobQuery,
    PeerMessage,
    RecordBegin,
    RecordFinish,
    ReplicaRequest,
    ReplicateAck,
    RequestQuery,
    SlotRelease,
    SlotRequest,
    SubmitJob,
)

_LOG = ComponentLog("holder")
# Id, address, and whether the VM is leaving.
Endpoint = tuple[str, str, bool]
EpochCall = Callable[[EpochComponents, Any], Awaitable[PeerMessage]]


class DomainHolder(EpochHandler, MembershipDelegate, LogListener):
    """State of the failure domain: a replica, or the components of a held epoch.

    Called by the authority when an epoch begins or ends, by the membership for
    heartbeats, and by the log reader.
    """

    def __init__(self, context: Context, tasks: TaskGroup) -> None:
        self.context = context
        self._tasks = tasks
        self._parts: EpochComponents | None = None
        settings = context.settings
        self.replica = Replica(
            lambda: Ledger.from_config(
                ledger_settings(settings), settings.failure_domain
            ),
            lambda: RequestRecords.from_config(request_settings(settings)),
            context.peers,
            tasks,
            settings.timing.peer_call_timeout_s,
        )
        self.snapshots = SnapshotSchedule(
            settings.failure_domain, settings.timing.log_retention_s
        )
        self.loads_by_domain: dict[str, DomainLoad] = {}
        self._workers_by_id = {w.id: (w.id, w.address, False) for w in settings.workers}
        self._upstreams_by_id = {
            u.id: (u.id, u.address, False) for u in settings.upstreams
        }
        self._listed_vms: tuple[Vm, ...] = ()
        self._register()

    @property
    def components(self) -> EpochComponents | None:
        """The components of the held epoch, or None while this daemon follows."""
        return self._parts

    def _register(self) -> None:
        router = self.context.peers.router
        router.handle(ReplicateAck, self._on_ack)
        router.handle(SlotRelease, self._on_release)
        router.handle_call(ReplicaRequest, self._on_replica_request)
        router.handle_call(SlotRequest, self._on_slot_request)
        self._register_call(SubmitJob, lambda components, m: components.jobs.submit(m))
        self._register_call(CancelJob, lambda components, m: components.jobs.cancel(m))
        self._register_call(JobQuery, lambda components, m: components.jobs.query(m))
        self._register_call(
            RecordBegin, lambda components, m: components.records.begin(m)
        )
        self._register_call(
            RecordFinish, lambda components, m: components.records.finish(m)
        )
        self._register_call(
            RequestQuery, lambda components, m: components.records.query(m)
        )

    def _register_call(self, kind: type[Any], call: EpochCall) -> None:
        async def handle(sender: str, message: Any) -> PeerMessage | None:
            if self._parts is None:
                return refuse_call(self._not_holder())
            return await call(self._parts, message)

        self.context.peers.router.handle_call(kind, handle)

    def _not_holder(self) -> Refused:
        return Refused(
            RefusalReason.NO_AUTHORITY,
            f"{self.context.instance} does not hold"
            f" {self.context.settings.failure_domain}",
        )

    # Epochs

    def begin_epoch(
        self, epoch: int, previous_term_end: float, state_lost: bool
    ) -> None:
        """Recover the domain's state and start the components of the epoch."""
        previous_term_end_wall = self.context.clock.to_wall(previous_term_end)
        components = EpochComponents(
            self.context,
            self.replica,
            self.snapshots,
            epoch,
            previous_term_end_wall,
            state_lost,
        )
        self._parts = components
        self._set_endpoints()
        for domain, load in self.loads_by_domain.items():
            components.on_load(domain, load)
        components.begin()
        _LOG.info(
            "began to hold the failure domain",
            epoch=epoch,
            amnesiac=state_lost,
            domain=self.context.settings.failure_domain,
        )

    def end_epoch(self, epoch: int) -> None:
        """Stop the components of the epoch and follow the next holder."""
        components, self._parts = self._parts, None
        if components is not None:
            components.end()
            self._tasks.start(components.epoch.close())
            _LOG.info("no longer holds the failure domain", epoch=epoch)

    # Messages and calls from peers

    def _on_ack(self, sender: str, message: ReplicateAck) -> None:
        if self._parts is not None:
            self._parts.epoch.source.on_ack(sender, message)
            self._parts.epoch.sync_replicated_seq()

    def _on_release(self, sender: str, message: SlotRelease) -> None:
        if self._parts is not None:
            self._parts.slots.release(message)

    async def _on_slot_request(
        self, sender: str, message: SlotRequest
    ) -> PeerMessage | None:
        if self._parts is None:
            return refuse_slot(self._not_holder())
        return await self._parts.slots.request(message)

    async def _on_replica_request(
        self, sender: str, message: ReplicaRequest
    ) -> PeerMessage | None:
        if self._parts is None:
            return refuse_call(self._not_holder())
        self._parts.epoch.flush()
        self._parts.epoch.source.add_member(message.sender)
        return snapshot_reply(self._parts.epoch.source, self.replica)

    # Membership

    def load_for(self, domain: str) -> DomainLoad | None:
        """Return the load to report to another domain, or None while following."""
        return None if self._parts is None else self._parts.load_for(domain)

    def replica_seq(self) -> int:
        """Return the number of the last batch sent to the replicas, or 0."""
        return self._parts.epoch.source.seq if self._parts is not None else 0

    def on_load(self, domain: str, load: DomainLoad) -> None:
        """Store the load that another domain has reported."""
        self.loads_by_domain[domain] = load
        if self._parts is not None:
            self._parts.on_load(domain, load)

    def on_member_heartbeat(self, instance: str, heartbeat: Heartbeat) -> None:
        """Compare the replica with the holder's and catch up if it is behind."""
        if heartbeat.holding:
            self.replica.on_holder(instance, heartbeat.epoch, heartbeat.replica_seq)

    def on_platform_vms(self, vms: Sequence[Vm]) -> None:
        """Update the workers and upstreams of this domain from the VM list."""
        if tuple(vms) != self._listed_vms:
            self._listed_vms = tuple(vms)
            self._set_endpoints()

    def _set_endpoints(self) -> None:
        if self._parts is None:
            return
        self._parts.workers.set_workers(
            _merge(self._workers_by_id, self._listed_vms, VmRole.WORKER)
        )
        self._parts.slots.set_upstreams(
            _merge(self._upstreams_by_id, self._listed_vms, VmRole.UPSTREAM)
        )

    # Log

    def on_log_events(self, events: Sequence[FleetEvent]) -> None:
        """Track the snapshots of all sections."""
        self.snapshots.observe(list(events), self.context.clock.now())

    def on_log_caught_up(self, started_at: float, finished_at: float) -> None:
        """Apply the limits and the configuration that the log contains."""
        self.snapshots.on_caught_up()
        if self._parts is not None:
            self._parts.on_log_caught_up()
        else:
            # The holder does not replicate the expiry of request records, so each
            # replica expires its own.
            self.replica.records.expire(self.context.clock.wall())


def _merge(
    configured: dict[str, Endpoint], listed: Sequence[Vm], role: VmRole
) -> list[Endpoint]:
    """Merge configured and listed endpoints; only listed ones can be leaving."""
    merged = dict(configured)
    for vm in listed:
        if vm.role is role:
            merged[vm.vm_id] = (vm.vm_id, vm.address, vm.state is VmState.LEAVING)
    return list(merged.values())


def ledger_settings(settings: Settings) -> LedgerSettings:
    """Derive the ledger's settings from the daemon's settings."""
    timing = settings.timing
    return LedgerSettings(
        task_lease_s=timing.task_lease_s,
        renew_interval_s=timing.renew_interval_s,
        skew_bound_s=timing.skew_bound_s,
        worker_silent_s=max(3.0, 1.5 * timing.inventory_interval_s),
    )


def request_settings(settings: Settings) -> RequestSettings:
    """Derive the settings of request records from the daemon's settings."""
    return RequestSettings(
        request_record_s=settings.timing.request_record_s,
        max_answer_bytes=settings.limits.max_record_answer_bytes,
    )
