"""Directory of the fleet's VMs and of the holder of each failure domain."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from briarrun_core.claims import ClaimState, vm_of
from briarrun_core.model import FleetConfig
from briarrun_daemon.settings import Settings
from briarrun_wire.messages import Heartbeat
from briarrun_wire.peer import PeerAddress

HOLDER_HEARTBEAT_VALIDITY_S = 3.0
"""Time for which a heartbeat with ``holding`` identifies the holder, even before the
claim does."""


@dataclass(slots=True)
class _HolderReport:
    instance: str
    epoch: int
    received_at: float


class Directory:
    """Members and holders by failure domain."""

    def __init__(self, settings: Settings) -> None:
        self._vm_id = settings.vm_id
        self._domain = settings.failure_domain
        self._region_by_domain = {settings.failure_domain: settings.region}
        self._peers_by_vm = {
            peer.vm_id: PeerAddress(
                vm_id=peer.vm_id,
                address=peer.address,
                domain=peer.domain,
                region=peer.region,
            )
            for peer in settings.peers
        }
        self._configured_vms = frozenset(self._peers_by_vm)
        for peer in settings.peers:
            self._region_by_domain[peer.domain] = peer.region
        self._claims_by_domain: dict[str, ClaimState] = {}
        self._reports_by_domain: dict[str, _HolderReport] = {}
        self._domains: list[str] = []
        self._nearest_domains: list[str] = []
        self._set_domain_names(set(self._region_by_domain))

    def set_domains(self, config: FleetConfig) -> None:
        """Set the domains and regions from the configuration."""
        for domain in config.domains_by_name.values():
            self._region_by_domain[domain.name] = domain.region
        if config.domains_by_name:
            self._set_domain_names(set(config.domains_by_name) | {self._domain})

    def _set_domain_names(self, names: set[str]) -> None:
        own_region = self.region_of(self._domain)
        self._domains = sorted(names)
        self._nearest_domains = sorted(
            names,
            key=lambda name: (
                name != self._domain,
                self.region_of(name) != own_region,
                name,
            ),
        )

    def set_claims(self, claims_by_domain: Mapping[str, ClaimState]) -> None:
        """Set the claims that were read from the log."""
        self._claims_by_domain = dict(claims_by_domain)

    def set_listed_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Set the entry VMs from the VM list; configured VMs are kept."""
        listed = {peer.vm_id: peer for peer in peers}
        kept = {
            vm_id: peer
            for vm_id, peer in self._peers_by_vm.items()
            if vm_id in self._configured_vms and vm_id not in listed
        }
        self._peers_by_vm = {**kept, **listed}

    def record_heartbeat(self, sender: str, message: Heartbeat, now: float) -> None:
        """Record the sender of a heartbeat if it reports to hold its domain."""
        report = self._reports_by_domain.get(message.domain)
        if message.holding and (report is None or message.epoch >= report.epoch):
            self._reports_by_domain[message.domain] = _HolderReport(
                sender, message.epoch, now
            )

    def peer_addresses(self) -> list[PeerAddress]:
        """Return the addresses of all other entry VMs."""
        return [p for p in self._peers_by_vm.values() if p.vm_id != self._vm_id]

    def members_of(self, domain: str) -> list[str]:
        """Return the sorted VM ids of a domain's known members."""
        members = {p.vm_id for p in self._peers_by_vm.values() if p.domain == domain}
        if domain == self._domain:
            members.add(self._vm_id)
        return sorted(members)

    def domains(self) -> list[str]:
        """Return the configured domains, sorted by name."""
        return self._domains

    def region_of(self, domain: str) -> str:
        """Return a domain's region, or an empty string."""
        return self._region_by_domain.get(domain, "")

    def holder_vm(self, domain: str, now: float) -> str | None:
        """Return the VM that most likely holds a domain, or None if unknown."""
        claim = self._claims_by_domain.get(domain)
        report = self._reports_by_domain.get(domain)
        if (
            report is not None
            and now - report.received_at > HOLDER_HEARTBEAT_VALIDITY_S
        ):
            report = None
        if report is not None and (claim is None or report.epoch >= claim.epoch):
            return vm_of(report.instance)
        return vm_of(claim.holder) if claim is not None and claim.holder else None

    def has_recent_holder(self, domain: str, now: float) -> bool:
        """Return whether a recent heartbeat reported to hold a domain."""
        report = self._reports_by_domain.get(domain)
        return (
            report is not None
            and now - report.received_at <= HOLDER_HEARTBEAT_VALIDITY_S
        )

    def nearest_domains(self) -> list[str]:
        """Return all domains: the own domain, those of its region, then the others."""
        return self._nearest_domains
