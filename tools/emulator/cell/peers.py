"""Calls between the VMs of an emulated cell."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

from briarrun_cell.advice import AdviceProxy
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.job_view import (
    CountAnswer,
    JobAnswer,
    LocalJobView,
    PeerUnavailable,
    ReplicaClient,
)
from briarrun_cell.model import StepId
from briarrun_cell.peers import RELAY_MARGIN_S
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable, Record
from briarrun_cell.record_writer import WriteOutcome, WriteResult
from briarrun_cell.write_relay import RecordRelay

if TYPE_CHECKING:
    from tools.emulator.cell.cell import CellVm, FakeCell

RELAY_LATENCY_S = 0.002
"""Time that a record takes from one VM to another."""


class DirectProxy(AdviceProxy):
    """Ask through another VM of the same cell."""

    def __init__(self, cell: FakeCell) -> None:
        self._cell = cell

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        """Return the approved workers; raises ``AdviceUnavailable``."""
        found = self._cell.vms_by_name[vm.vm]
        if found.core is None:
            await asyncio.sleep(timeout_s)
            raise AdviceUnavailable(f"{vm.vm} is down")
        return await found.advisor.advise(step, worker_ids, timeout_s)


class DirectRelay(RecordRelay):
    """Let another VM of the same cell store a record."""

    def __init__(self, cell: FakeCell, sender: CellVm) -> None:
        self._cell = cell
        self._sender = sender

    async def write_via(
        self,
        address: str,
        record: Record,
        *,
        send_within_s: float,
        timeout_s: float,
        priority: int = 0,
    ) -> WriteResult:
        """Return the outcome, ``UNKNOWN`` if there is no answer in time."""
        peer = self._cell.vms_by_name[address.partition(":")[0]]
        await self._sender.store.running.wait()
        if peer.core is None:
            return WriteResult(WriteOutcome.NOT_STORED)
        # A frozen peer handles the call when it runs again.
        call = asyncio.ensure_future(
            self._handle(peer, record, timeout_s - RELAY_MARGIN_S, priority)
        )
        try:
            async with asyncio.timeout(timeout_s):
                result = await asyncio.shield(call)
        except TimeoutError:
            return WriteResult(WriteOutcome.UNKNOWN)
        if self._cell.rng.random() < self._cell.lose_relay_answers:
            return WriteResult(WriteOutcome.UNKNOWN)
        return result

    async def _handle(
        self, peer: CellVm, record: Record, settle_s: float, priority: int
    ) -> WriteResult:
        await asyncio.sleep(RELAY_LATENCY_S)
        await peer.store.running.wait()
        if peer.core is None:
            return await asyncio.Future()
        return await peer.core.write_for_peer(record, settle_s, priority)


class DirectReplicas(ReplicaClient):
    """Ask another VM of the same cell."""

    def __init__(self, cell: FakeCell, sender: CellVm) -> None:
        self._cell = cell
        self._sender = sender

    async def state_at(
        self, vm: EntryVm, job_id: str, wait_for_outcome: bool, timeout_s: float
    ) -> JobAnswer:
        """Return the state as the replica knows it."""
        view = await self._reach(vm, timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                return await view.state(job_id, wait_for_outcome=wait_for_outcome)
        except TimeoutError as error:
            raise PeerUnavailable(f"{vm.vm} is silent") from error

    async def confirmed_state_at(
        self, vm: EntryVm, job_id: str, timeout_s: float
    ) -> JobAnswer:
        """Return the state after the replica has read all that is stored."""
        view = await self._reach(vm, timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                return await view.confirmed_state(job_id)
        except TimeoutError as error:
            raise PeerUnavailable(f"{vm.vm} is silent") from error

    async def count_at(self, vm: EntryVm, queue: str, timeout_s: float) -> CountAnswer:
        """Return the count as the replica knows it."""
        return await (await self._reach(vm, timeout_s)).count_waiting(queue)

    async def _reach(self, vm: EntryVm, timeout_s: float) -> LocalJobView:
        await self._sender.store.running.wait()
        await asyncio.sleep(RELAY_LATENCY_S)
        peer = self._cell.vms_by_name[vm.vm]
        if peer.removed:
            await asyncio.sleep(timeout_s)
        if peer.core is None or not peer.store.running.is_set():
            raise PeerUnavailable(f"{vm.vm} is down")
        return peer.core.local_view
