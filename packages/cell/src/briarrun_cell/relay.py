"""Serve callers through a peer while the store turns only this VM away.

Answers the trouble in which the store, or the way to it, is lost for some VMs: their
callers need not come back elsewhere.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from briarrun_cell.accepting import WriteOutcome
from briarrun_cell.clock import Clock
from briarrun_cell.logs import PartLog
from briarrun_cell.model import JobState
from briarrun_cell.nodes import EntryVm
from briarrun_cell.ports import Record

MAX_PEERS = 3
"""Peers that are asked for one request."""

WRITE_TIMEOUT_S = 0.6
"""Time after which a peer's answer to a write counts as lost."""

STATE_TIMEOUT_S = 0.3
"""Time after which a peer's answer about a job counts as lost."""

PAUSE_S = 0.5
"""Time for which no peer is asked after none of them could help."""

_LOG = PartLog("front")


class PeerUnavailable(Exception):  # noqa: N818 - the peer's state, not a defect
    """A peer had no usable answer."""


class PeerFronts(ABC):
    """Call the fronts of other VMs."""

    @abstractmethod
    async def write(
        self, vm: EntryVm, record: Record, timeout_s: float
    ) -> WriteOutcome:
        """Let a peer store a record."""

    @abstractmethod
    async def state(
        self, vm: EntryVm, job_id: str, timeout_s: float
    ) -> JobState | None:
        """Return a job's state, None if unknown; raises ``PeerUnavailable``."""


class PeerRelay:
    """Choose peers and ask them one after the other."""

    def __init__(
        self,
        peers: PeerFronts,
        vms: Callable[[], list[EntryVm]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._vms = vms
        self._clock = clock
        self._rng = rng
        self._paused_until = float("-inf")

    def _chosen(self) -> list[EntryVm]:
        if self._clock.now() < self._paused_until:
            return []
        vms = self._vms()
        return self._rng.sample(vms, min(MAX_PEERS, len(vms)))

    async def write(self, record: Record) -> WriteOutcome:
        """Let the first peer that can store a record; it was not stored by this VM.

        After a lost answer no further peer is asked, since the record may be stored.
        """
        for vm in self._chosen():
            outcome = await self._peers.write(vm, record, WRITE_TIMEOUT_S)
            _LOG.info("relayed a write", key=record.key, via=vm.vm, outcome=outcome)
            if outcome is not WriteOutcome.NOT_STORED:
                return outcome
        self._pause()
        return WriteOutcome.NOT_STORED

    async def state(self, job_id: str) -> JobState | None:
        """Return what a peer knows of a job, None if no peer knows it."""
        for vm in self._chosen():
            try:
                return await self._peers.state(vm, job_id, STATE_TIMEOUT_S)
            except PeerUnavailable as error:
                _LOG.info(
                    "a peer could not answer", job=job_id, via=vm.vm, detail=str(error)
                )
        self._pause()
        return None

    def _pause(self) -> None:
        self._paused_until = max(self._paused_until, self._clock.now() + PAUSE_S)
