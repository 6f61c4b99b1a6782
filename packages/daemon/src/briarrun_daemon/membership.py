"""Heartbeats, fleet membership, and relay of the configuration between daemons."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

from expression import Result

from briarrun_adapters.vm_list import Vm, VmList, VmListing, VmRole, VmState
from briarrun_core.admission import Admission
from briarrun_core.claims import vm_of
from briarrun_core.configuration import ConfigError, ConfigVersion
from briarrun_core.events import ConfigChanged, FleetEvent, SectionLoaded
from briarrun_core.sections import CONFIG_SECTION
from briarrun_daemon.authority_role import AuthorityRole
from briarrun_daemon.clock import Clock
from briarrun_daemon.directory import Directory
from briarrun_daemon.log_tail import LogListener, LogTail
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.metrics import Metrics
from briarrun_daemon.peers import Peers
from briarrun_daemon.settings import Settings
from briarrun_daemon.tasks import TaskGroup
from briarrun_wire.messages import (
    ConfigDocument,
    ConfigRequest,
    DomainLoad,
    Heartbeat,
    HeartbeatAck,
    PeerMessage,
)
from briarrun_wire.peer import PeerAddress

_LOG = ComponentLog("membership")
# A daemon that does not hold its domain needs the VM list only to find replaced VMs. The
# gap must not exceed 10 s: the authority would assume that the list is not being read.
FOLLOWER_VM_LIST_INTERVALS = 5


class MembershipDelegate(ABC):
    """Domain state that heartbeats report, and receiver of what members report."""

    @abstractmethod
    def load_for(self, domain: str) -> DomainLoad | None:
        """Return the load to report to another domain, or None while following."""

    @abstractmethod
    def replica_seq(self) -> int:
        """Return the number of the last batch sent to the replicas, or 0."""

    @abstractmethod
    def on_load(self, domain: str, load: DomainLoad) -> None:
        """Handle the load that another domain has reported."""

    @abstractmethod
    def on_member_heartbeat(self, instance: str, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat from a member of this domain."""

    @abstractmethod
    def on_platform_vms(self, vms: Sequence[Vm]) -> None:
        """Handle the VMs of this domain in the VM list."""


class Membership(LogListener):
    """Exchanges heartbeats and keeps members and configuration up to date."""

    def __init__(
        self,
        settings: Settings,
        peers: Peers,
        directory: Directory,
        role: AuthorityRole,
        tail: LogTail,
        admission: Admission,
        view: MembershipDelegate,
        vm_list: VmList | None,
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._peers = peers
        self._directory = directory
        self._role = role
        self._tail = tail
        self._admission = admission
        self._view = view
        self._vm_list = vm_list
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._requesting: set[str] = set()
        self._remote_sent_at = -self._timing.remote_heartbeat_interval_s
        self.draining = False
        router = peers.router
        router.handle(Heartbeat, self._on_heartbeat)
        router.handle(HeartbeatAck, self._on_ack)
        router.handle_call(ConfigRequest, self._on_config_request)

    # Heartbeats

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._send_heartbeats()
            await asyncio.sleep(self._timing.heartbeat_interval_s)

    def _send_heartbeats(self) -> None:
        now = self._clock.now()
        is_remote_due = (
            now - self._remote_sent_at >= self._timing.remote_heartbeat_interval_s
        )
        # Only the holder needs frequent acknowledgements. Frequent heartbeats between
        # standbys would be two thirds of a domain's peer traffic and exceed the limit of
        # 6 KB/s per VM.
        if is_remote_due or self._role.authority.holder == self._peers.instance:
            for vm_id in self._directory.members_of(self._settings.failure_domain):
                if vm_id != self._settings.vm_id:
                    self._peers.send(vm_id, self._heartbeat(now, None))
        if not is_remote_due:
            return
        self._remote_sent_at = now
        for domain, vm_id in self._remote_contacts(now):
            load = self._view.load_for(domain) if self._role.may_act() else None
            self._peers.send(vm_id, self._heartbeat(now, load))

    def _remote_contacts(self, now: float) -> list[tuple[str, str]]:
        """Return the VMs of other domains to send heartbeats to.

        Holders send heartbeats to holders. A member that has no holder of its own and
        cannot read the log sends them to all known VMs, so that a replaced VM can
        obtain the configuration.
        """
        directory, own = self._directory, self._settings.failure_domain
        others = [name for name in directory.domains() if name != own]
        if self._role.may_act() or self._role.authority.holder == self._peers.instance:
            contacts = [(name, directory.holder_vm(name, now)) for name in others]
            known = [(name, vm_id) for name, vm_id in contacts if vm_id]
            if known or self._tail.available:
                return known
        elif self._tail.available or directory.has_recent_holder(own, now):
            return []
        return [
            (name, vm_id) for name in others for vm_id in directory.members_of(name)
        ]

    def _heartbeat(self, now: float, load: DomainLoad | None) -> Heartbeat:
        claim = self._role.authority.claim
        contact_at = self._admission.contact_at
        return Heartbeat(
            sender=self._peers.instance,
            domain=self._settings.failure_domain,
            epoch=claim.epoch if claim else 0,
            revision=claim.revision if claim else 0,
            generation=self._tail.fleet.generation,
            sent_at=now,
            log_next=self._tail.fleet.next_offset,
            load=load,
            holding=self._role.may_act(),
            draining=self.draining,
            replica_seq=self._view.replica_seq(),
            contact_age_s=None if contact_at is None else now - contact_at,
        )

    def _on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        now = self._clock.now()
        self._directory.record_heartbeat(sender, message, now)
        same_domain = message.domain == self._settings.failure_domain
        promise = False
        if same_domain:
            promise = self._role.authority.on_heartbeat(sender, now)
            self._view.on_member_heartbeat(sender, message)
        elif message.load is not None:
            self._view.on_load(message.domain, message.load)
        claim = self._role.authority.claim
        self._peers.send(
            vm_of(sender),
            HeartbeatAck(
                sender=self._peers.instance,
                sent_at=message.sent_at,
                promise=promise,
                generation=self._tail.fleet.generation,
                epoch=claim.epoch if claim else 0,
                revision=claim.revision if claim else 0,
                domain=self._settings.failure_domain,
            ),
        )
        self._on_generation(
            sender, message.domain, message.generation, message.contact_age_s
        )

    def _on_ack(self, sender: str, message: HeartbeatAck) -> None:
        if message.domain == self._settings.failure_domain:
            self._role.authority.on_heartbeat_ack(
                sender, message.sent_at, message.promise
            )
        self._on_generation(sender, message.domain, message.generation, None)

    # Configuration

    def _on_generation(
        self, sender: str, domain: str, generation: int, contact_age_s: float | None
    ) -> None:
        now = self._clock.now()
        self._admission.on_peer(domain, generation, now, contact_age_s)
        if generation > self._tail.fleet.generation and sender not in self._requesting:
            self._requesting.add(sender)
            self._tasks.start(self._request_config(sender))

    async def _request_config(self, sender: str) -> None:
        try:
            reply = await self._peers.call(
                vm_of(sender), ConfigRequest(), self._timing.peer_call_timeout_s
            )
        finally:
            self._requesting.discard(sender)
        match reply:
            case Result(tag="ok", ok=ConfigDocument() as document):
                self._adopt(sender, document)
            case _:
                return

    def _adopt(self, sender: str, document: ConfigDocument) -> None:
        version = ConfigVersion(
            generation=document.generation,
            offset=document.offset,
            document=document.document,
        )
        try:
            adopted = self._tail.fleet.adopt(version)
        except ConfigError as error:
            _LOG.error("relayed configuration is invalid", detail=str(error))
            return
        if adopted:
            _LOG.info(
                "configuration adopted from a peer",
                generation=document.generation,
                sender=sender,
            )
            self.apply_config()

    async def _on_config_request(
        self, sender: str, message: ConfigRequest
    ) -> PeerMessage | None:
        version = self._tail.fleet.config_version
        return ConfigDocument(
            generation=version.generation,
            offset=version.offset,
            document=version.document,
        )

    def apply_config(self) -> None:
        """Apply the newest configuration to admission and directory."""
        fleet = self._tail.fleet
        self._admission.on_config(fleet.config, fleet.generation)
        self._directory.set_domains(fleet.config)
        self._metrics.generation.set(fleet.generation)

    def on_log_events(self, events: Sequence[FleetEvent]) -> None:
        """Apply configuration and claims that were read from the log."""
        if any(isinstance(event, ConfigChanged | SectionLoaded) for event in events):
            self.apply_config()
        self._directory.set_claims(self._tail.fleet.claims_by_domain)

    def on_log_caught_up(self, started_at: float, finished_at: float) -> None:
        """Record contact with the log as of the start of the read."""
        fleet = self._tail.fleet
        self._admission.on_log_read(started_at, fleet.is_section_known(CONFIG_SECTION))

    # VM list

    async def run_vm_list(self) -> None:
        """Read the VM list until cancelled."""
        if self._vm_list is None:
            return
        skipped_intervals = FOLLOWER_VM_LIST_INTERVALS
        while True:
            skipped_intervals += 1
            is_follower = not self._role.may_act()
            if not is_follower or skipped_intervals >= FOLLOWER_VM_LIST_INTERVALS:
                skipped_intervals = 0
                await self._read_vm_list(self._vm_list)
            await asyncio.sleep(self._timing.vm_list_interval_s)

    async def _read_vm_list(self, vm_list: VmList) -> None:
        result = await vm_list.fetch(self._timing.log_call_timeout_s)
        match result:
            case Result(tag="ok", ok=listing):
                self._on_listing(listing)
            case Result(error=failure):
                _LOG.warning("VM list cannot be read", detail=failure.detail)

    def _on_listing(self, listing: VmListing) -> None:
        now = self._clock.now()
        live = frozenset(vm.vm_id for vm in listing.vms)
        self._role.authority.on_vm_list(live, now)
        entries = [vm for vm in listing.vms if vm.role is VmRole.ENTRY]
        self._directory.set_listed_peers(
            [
                PeerAddress(
                    vm_id=vm.vm_id,
                    address=vm.address,
                    domain=vm.domain,
                    region=self._directory.region_of(vm.domain),
                )
                for vm in entries
                if vm.state is VmState.LIVE
            ]
        )
        self._peers.set_peers(self._directory.peer_addresses())
        own = self._settings.failure_domain
        self._view.on_platform_vms([vm for vm in listing.vms if vm.domain == own])
