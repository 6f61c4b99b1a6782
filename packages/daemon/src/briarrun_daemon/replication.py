"""Replication of the holder's state to the other members of its domain."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from expression import Result

from briarrun_core.claims import vm_of
from briarrun_core.ledger import Ledger
from briarrun_core.ledger_events import LedgerEvent, LedgerSnapshot
from briarrun_core.request_records import (
    RequestEvent,
    RequestRecords,
    RequestsSnapshot,
)
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.peers import Peers
from briarrun_daemon.tasks import TaskGroup
from briarrun_wire.messages import (
    PeerMessage,
    ReplicaRequest,
    ReplicaSnapshot,
    Replicate,
    ReplicateAck,
)

_LOG = ComponentLog("replication")
_REQUEST_EVENT_TAGS = ("request-begun", "request-finished")
MAX_BUFFERED_BATCHES = 10_000


class EpochEndedError(Exception):
    """The epoch ended before its events were replicated."""


class DomainState(msgspec.Struct, frozen=True):
    """Full state of a domain in the form in which it is sent to replicas."""

    ledger: LedgerSnapshot
    requests: RequestsSnapshot


class ReplicationSource:
    """Sends the events of one epoch to the members and tracks acknowledgements."""

    def __init__(
        self, epoch: int, peers: Peers, required: Callable[[], frozenset[str]]
    ) -> None:
        self.epoch = epoch
        self.seq = 0
        self._peers = peers
        self._required = required
        self._members: set[str] = set()
        self._acked_by_member: dict[str, int] = {}
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    def publish(self, events: list[Any]) -> int:
        """Send events as one batch and return the batch's number."""
        self.seq += 1
        message = Replicate(epoch=self.epoch, seq=self.seq, events=events)
        for member in self._members:
            self._peers.send(vm_of(member), message)
        return self.seq

    def add_member(self, instance: str) -> None:
        """Send all later batches to a member, which gets the current state as well.

        An earlier instance on the same VM is replaced.
        """
        replaced = {m for m in self._members if vm_of(m) == vm_of(instance)}
        self._members = (self._members - replaced) | {instance}

    def on_ack(self, instance: str, message: ReplicateAck) -> None:
        """Record which batch a member has applied."""
        if message.epoch != self.epoch:
            return
        acked = self._acked_by_member.get(instance, -1)
        self._acked_by_member[instance] = max(acked, message.seq)
        self.check()

    def is_complete(self, instance: str) -> bool:
        """Return whether a member has applied all batches."""
        return self._acked_by_member.get(instance, -1) == self.seq

    @property
    def members(self) -> frozenset[str]:
        """The members to which events are sent."""
        return frozenset(self._members)

    @property
    def has_replicas(self) -> bool:
        """Whether there is another elector whose replica can make events durable."""
        return bool(self._required())

    @property
    def replicated_seq(self) -> int:
        """The last batch that every other elector has applied.

        Without another elector this is the last batch that was sent, because no
        instance could take over without having it.
        """
        required = self._required()
        acked = (self._acked_by_member.get(peer, -1) for peer in required)
        return min(acked, default=self.seq)

    async def wait_replicated(self, seq: int) -> None:
        """Wait until every other elector has applied a batch."""
        if self.replicated_seq >= seq:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = (seq, future)
        self._waiters.append(waiter)
        try:
            await future
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def end(self) -> None:
        """Fail all waiters, because this epoch's events are no longer sent."""
        for _, future in list(self._waiters):
            if not future.done():
                future.set_exception(EpochEndedError(self.epoch))

    def check(self) -> None:
        """Wake the waiters whose batch is replicated.

        Must also be called when a claim changes the electors.
        """
        if not self._waiters:
            return
        reached = self.replicated_seq
        for seq, future in list(self._waiters):
            if seq <= reached and not future.done():
                future.set_result(None)


class Replica:
    """The domain's state: updated by the holder's batches, or owned by the holder."""

    def __init__(
        self,
        make_ledger: Callable[[], Ledger],
        make_records: Callable[[], RequestRecords],
        peers: Peers,
        tasks: TaskGroup,
        call_timeout_s: float,
    ) -> None:
        self.ledger = make_ledger()
        self.records = make_records()
        self.epoch = 0
        self.seq = -1
        self._peers = peers
        self._tasks = tasks
        self._call_timeout_s = call_timeout_s
        self._buffered: deque[Replicate] = deque(maxlen=MAX_BUFFERED_BATCHES)
        self._fetching = False
        peers.router.handle(Replicate, self._on_replicate)

    def take_over(self, epoch: int) -> None:
        """Stop following; batches of is_older epochs are no longer applied."""
        self.epoch, self.seq = epoch, 0
        self._buffered.clear()

    def on_holder(self, holder: str, epoch: int, seq: int) -> None:
        """Compare with the position in the holder's heartbeat and catch up if behind.

        Heartbeats and batches share a connection, so a higher number in a heartbeat
        means that a batch was lost.
        """
        if holder == self._peers.instance or epoch < self.epoch:
            return
        if epoch > self.epoch or seq > self.seq:
            self._fetch(holder)
        elif seq == self.seq:
            self._acknowledge(holder)

    def state(self) -> DomainState:
        """Return the complete state."""
        return DomainState(self.ledger.snapshot(), self.records.snapshot())

    def _on_replicate(self, sender: str, message: Replicate) -> None:
        if message.epoch < self.epoch:
            return
        if self._fetching:
            self._buffered.append(message)
            return
        if message.epoch > self.epoch or message.seq > self.seq + 1:
            self._buffered.append(message)
            self._fetch(sender)
            return
        if message.seq == self.seq + 1:
            self._apply(message)
        self._acknowledge(sender)

    def _apply(self, message: Replicate) -> None:
        for event in message.events:
            if event.get("type") in _REQUEST_EVENT_TAGS:
                self.records.apply(msgspec.convert(event, RequestEvent))
            else:
                self.ledger.apply(msgspec.convert(event, LedgerEvent))
        self.seq = message.seq

    def _acknowledge(self, holder: str) -> None:
        ack = ReplicateAck(epoch=self.epoch, seq=self.seq, sender=self._peers.instance)
        self._peers.send(vm_of(holder), ack)

    def _fetch(self, holder: str) -> None:
        if not self._fetching:
            self._fetching = True
            self._tasks.start(self._fetch_snapshot(holder))

    async def _fetch_snapshot(self, holder: str) -> None:
        try:
            reply = await self._peers.call(
                vm_of(holder),
                ReplicaRequest(sender=self._peers.instance),
                self._call_timeout_s,
            )
        finally:
            self._fetching = False
        match reply:
            case Result(tag="ok", ok=ReplicaSnapshot() as snapshot):
                self._restore(holder, snapshot)
            case _:
                _LOG.warning("no snapshot received from the holder", holder=holder)

    def _restore(self, holder: str, snapshot: ReplicaSnapshot) -> None:
        is_older = (snapshot.epoch, snapshot.seq) < (self.epoch, self.seq)
        if is_older or snapshot.epoch < self.epoch:
            return
        state = msgspec.convert(snapshot.state, DomainState)
        self.ledger.restore(state.ledger)
        self.records.restore(state.requests)
        self.epoch, self.seq = snapshot.epoch, snapshot.seq
        _LOG.info(
            "replica restored from the holder's snapshot",
            epoch=self.epoch,
            seq=self.seq,
        )
        buffered, self._buffered = list(self._buffered), deque(
            maxlen=MAX_BUFFERED_BATCHES
        )
        for message in buffered:
            if message.epoch == self.epoch and message.seq == self.seq + 1:
                self._apply(message)
        self._acknowledge(holder)


def snapshot_reply(source: ReplicationSource, replica: Replica) -> PeerMessage:
    """Return the holder's complete state as of the last batch."""
    return ReplicaSnapshot(
        epoch=source.epoch,
        seq=source.seq,
        state=msgspec.to_builtins(replica.state(), builtin_types=(bytes,)),
    )
