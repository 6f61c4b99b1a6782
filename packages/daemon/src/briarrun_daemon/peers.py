"""Dispatch of peer messages to the parts that handle them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Protocol, TypeVar

from expression import Error, Ok, Result
from prometheus_client import Counter

from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.metrics import Metrics
from briarrun_wire.messages import PeerMessage
from briarrun_wire.peer import (
    CallFailure,
    CallFailureKind,
    PeerAddress,
    PeerHandler,
    TrafficCount,
)

M = TypeVar("M")
MessageHandler = Callable[[str, Any], None]
CallHandler = Callable[[str, Any], Awaitable[PeerMessage | None]]
_LOG = ComponentLog("membership")


class PeerTransport(Protocol):
    """Carry messages between instances; see ``briarrun_wire.peer.PeerNetwork``."""

    async def start(self) -> None:
        """Bind and begin to receive."""

    @property
    def address(self) -> str:
        """Return the bound ``host:port``."""

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Connect to new peers and close the connections to absent ones."""

    def send(self, vm_id: str, message: PeerMessage) -> bool:
        """Queue a message to a peer."""

    async def call(
        self, vm_id: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, CallFailure]:
        """Send a message and return the reply."""

    def is_connected(self, vm_id: str) -> bool:
        """Tell whether the peer has answered lately."""

    @property
    def traffic_by_region(self) -> Mapping[str, TrafficCount]:
        """Return the traffic by the peer's region."""

    async def close(self) -> None:
        """Close every socket."""


class _Counts:
    """Count messages by type; finding a labelled counter costs more than counting."""

    def __init__(self, metrics: Metrics, direction: str) -> None:
        self._metrics = metrics
        self._direction = direction
        self._counters: dict[type, Counter] = {}

    def add(self, kind: type) -> None:
        counter = self._counters.get(kind)
        if counter is None:
            counter = self._metrics.peer_messages.labels(self._direction, kind.__name__)
            self._counters[kind] = counter
        counter.inc()


class PeerRouter(PeerHandler):
    """Pass each message to the part that registered for its type."""

    def __init__(self, metrics: Metrics) -> None:
        self._received = _Counts(metrics, "received")
        self._handlers: dict[type, MessageHandler] = {}
        self._call_handlers: dict[type, CallHandler] = {}

    def handle(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """Register the handler of messages without a reply."""
        self._handlers[kind] = handler

    def handle_call(
        self, kind: type[M], handler: Callable[[str, M], Awaitable[PeerMessage | None]]
    ) -> None:
        """Register the handler of calls."""
        self._call_handlers[kind] = handler

    def on_message(self, sender: str, message: PeerMessage) -> None:
        """Pass on a message; a type without a handler is ignored."""
        kind = type(message)
        self._received.add(kind)
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(sender, message)

    async def on_call(self, sender: str, message: PeerMessage) -> PeerMessage | None:
        """Return the reply of the registered handler."""
        kind = type(message)
        self._received.add(kind)
        handler = self._call_handlers.get(kind)
        if handler is None:
            _LOG.warning("a call has no handler", kind=kind.__name__, sender=sender)
            return None
        return await handler(sender, message)


class Peers:
    """Send to peers; a message to this VM is handled without a socket."""

    def __init__(
        self,
        vm_id: str,
        instance: str,
        transport: PeerTransport,
        router: PeerRouter,
        metrics: Metrics,
    ) -> None:
        self.vm_id = vm_id
        self.instance = instance
        self.router = router
        self._transport = transport
        self._sent = _Counts(metrics, "sent")

    def send(self, vm_id: str, message: PeerMessage) -> bool:
        """Queue a message; False if it was certainly not sent."""
        self._sent.add(type(message))
        if vm_id == self.vm_id:
            self.router.on_message(self.instance, message)
            return True
        return self._transport.send(vm_id, message)

    async def call(
        self, vm_id: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, CallFailure]:
        """Send a call and return its reply."""
        self._sent.add(type(message))
        if vm_id != self.vm_id:
            return await self._transport.call(vm_id, message, timeout_s)
        reply = await self.router.on_call(self.instance, message)
        if reply is None:
            return Error(CallFailure(CallFailureKind.TIMEOUT, True, "no reply"))
        return Ok(reply)

    def is_connected(self, vm_id: str) -> bool:
        """Tell whether a peer has answered lately."""
        return vm_id == self.vm_id or self._transport.is_connected(vm_id)

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Replace the set of peers."""
        self._transport.set_peers(peers)
