"""The platform's lagging list of VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum

import msgspec
from expression import Result

from briarrun_adapters.platform import JsonClient, PlatformFailure
from briarrun_wire.http_client import HttpPool


class VmRole(StrEnum):
    """Name what a VM does."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class VmState(StrEnum):
    """Name whether a VM is staying."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """Describe a VM; ``address`` is ``host:port`` of its service."""

    vm_id: str
    address: str
    domain: str
    role: VmRole
    state: VmState = VmState.LIVE


class VmListing(msgspec.Struct, frozen=True):
    """Hold the VMs as of ``taken_at`` (wall-clock seconds)."""

    taken_at: float
    vms: tuple[Vm, ...]


class VmList(ABC):
    """Read the list of live and leaving VMs."""

    @abstractmethod
    async def fetch(self, timeout_s: float = 1.0) -> Result[VmListing, PlatformFailure]:
        """Return the current list."""


class HttpVmList(VmList):
    """Read the list over HTTP."""

    def __init__(self, address: str, pool: HttpPool) -> None:
        self._caller = JsonClient(address, pool)

    async def fetch(self, timeout_s: float = 1.0) -> Result[VmListing, PlatformFailure]:
        """Return the current list."""
        return await self._caller.call(
            "GET", "/v1/vms", VmListing, idempotent=True, timeout_s=timeout_s
        )
