"""Which VMs are in the fleet, and which instance holds each failure domain."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from briarrun_core.claims import ClaimState, vm_of
from briarrun_core.model import FleetConfig
from briarrun_daemon.settings import Settings
from briarrun_wire.messages import Heartbeat
from briarrun_wire.peer import PeerAddress

HOLDER_HEARD_S = 3.0
"""How long a heartbeat that says ``holding`` names the holder before the claim does."""


@dataclass(slots=True)
class _Held:
    instance: str
    epoch: int
    heard_at: float


class Directory:
    """Find members and holders by failure domain."""

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
        self._configured = frozenset(self._peers_by_vm)
        for peer in settings.peers:
            self._region_by_domain[peer.domain] = peer.region
        self._claims_by_domain: dict[str, ClaimState] = {}
        self._held_by_domain: dict[str, _Held] = {}
        self._domains: list[str] = []
        self._nearest: list[str] = []
        self._set_names(set(self._region_by_domain))

    def set_domains(self, config: FleetConfig) -> None:
        """Take over the configured domains and regions."""
        for domain in config.domains_by_name.values():
            self._region_by_domain[domain.name] = domain.region
        if config.domains_by_name:
            self._set_names(set(config.domains_by_name) | {self._domain})

    def _set_names(self, names: set[str]) -> None:
        own_region = self.region_of(self._domain)
        self._domains = sorted(names)
        self._nearest = sorted(
            names,
            key=lambda name: (
                name != self._domain,
                self.region_of(name) != own_region,
                name,
            ),
        )

    def set_claims(self, claims_by_domain: Mapping[str, ClaimState]) -> None:
        """Take over the claims that the log shows."""
        self._claims_by_domain = dict(claims_by_domain)

    def set_listed_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Take over the entry VMs of the VM list; configured ones stay known."""
        listed = {peer.vm_id: peer for peer in peers}
        kept = {
            vm_id: peer
            for vm_id, peer in self._peers_by_vm.items()
            if vm_id in self._configured and vm_id not in listed
        }
        self._peers_by_vm = {**kept, **listed}

    def record_heartbeat(self, sender: str, message: Heartbeat, now: float) -> None:
        """Note who says that it holds its domain."""
        held = self._held_by_domain.get(message.domain)
        if message.holding and (held is None or message.epoch >= held.epoch):
            self._held_by_domain[message.domain] = _Held(sender, message.epoch, now)

    def peer_addresses(self) -> list[PeerAddress]:
        """Return every other entry VM."""
        return [p for p in self._peers_by_vm.values() if p.vm_id != self._vm_id]

    def members_of(self, domain: str) -> list[str]:
        """Return the VM ids of a domain's known members, in order."""
        members = {p.vm_id for p in self._peers_by_vm.values() if p.domain == domain}
        if domain == self._domain:
            members.add(self._vm_id)
        return sorted(members)

    def domains(self) -> list[str]:
        """Return the configured domains in name order."""
        return self._domains

    def region_of(self, domain: str) -> str:
        """Return a domain's region, or an empty string."""
        return self._region_by_domain.get(domain, "")

    def holder_vm(self, domain: str, now: float) -> str | None:
        """Return the VM that most likely holds a domain, or None."""
        claim = self._claims_by_domain.get(domain)
        held = self._held_by_domain.get(domain)
        if held is not None and now - held.heard_at > HOLDER_HEARD_S:
            held = None
        if held is not None and (claim is None or held.epoch >= claim.epoch):
            return vm_of(held.instance)
        return vm_of(claim.holder) if claim is not None and claim.holder else None

    def has_recent_holder(self, domain: str, now: float) -> bool:
        """Tell whether someone said lately that it holds a domain."""
        held = self._held_by_domain.get(domain)
        return held is not None and now - held.heard_at <= HOLDER_HEARD_S

    def nearest_domains(self) -> list[str]:
        """Return all domains: the own one, the same region, then the others."""
        return self._nearest
