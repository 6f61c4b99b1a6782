"""Dispatch of peer messages to the components that handle them."""

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
    """Message transport between instances; see ``briarrun_wire.peer.PeerNetwork``."""

    async def start(self) -> None:
        """Bind the socket and start to receive messages."""

    @property
    def address(self) -> str:
        """The bound ``host:port``."""

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Connect to new peers and close the connections to removed ones."""

    def send(self, vm_id: str, message: PeerMessage) -> bool:
        """Queue a message to a peer; return False if it was certainly not sent."""

    async def call(
        self, vm_id: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, CallFailure]:
        """Send a message and return the reply."""

    def is_connected(self, vm_id: str) -> bool:
        """Return whether the peer has answered recently."""

    @property
    def traffic_by_region(self) -> Mapping[str, TrafficCount]:
        """The traffic with peers by their region."""

    async def close(self) -> None:
        """Close all sockets."""


class _MessageCounters:
    """Message counters by type, cached because looking up a labelled counter is slow."""

    def __init__(self, metrics: Metrics, direction: str) -> None:
        self._metrics = metrics
        self._direction = direction
        self._counters: dict[type, Counter] = {}

    def add(self, message_type: type) -> None:
        counter = self._counters.get(message_type)
        if counter is None:
            counter = self._metrics.peer_messages.labels(
                self._direction, message_type.__name__
            )
            self._counters[message_type] = counter
        counter.inc()


class PeerRouter(PeerHandler):
    """Passes each message to the handler that is registered for its type."""

    def __init__(self, metrics: Metrics) -> None:
        self._received = _MessageCounters(metrics, "received")
        self._handlers: dict[type, MessageHandler] = {}
        self._call_handlers: dict[type, CallHandler] = {}

    def handle(self, message_type: type[M], handler: Callable[[str, M], None]) -> None:
        """Register the handler of a type of messages without a reply."""
        self._handlers[message_type] = handler

    def handle_call(
        self,
        message_type: type[M],
        handler: Callable[[str, M], Awaitable[PeerMessage | None]],
    ) -> None:
        """Register the handler of a type of calls."""
        self._call_handlers[message_type] = handler

    def on_message(self, sender: str, message: PeerMessage) -> None:
        """Pass a message to its handler; ignore a type without a handler."""
        message_type = type(message)
        self._received.add(message_type)
        handler = self._handlers.get(message_type)
        if handler is not None:
            handler(sender, message)

    async def on_call(self, sender: str, message: PeerMessage) -> PeerMessage | None:
        """Return the reply of the registered handler."""
        message_type = type(message)
        self._received.add(message_type)
        handler = self._call_handlers.get(message_type)
        if handler is None:
            _LOG.warning(
                "received a call of a type without a handler",
                kind=message_type.__name__,
                sender=sender,
            )
            return None
        return await handler(sender, message)


class Peers:
    """Messages and calls to peers; those to this VM are handled without a socket."""

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
        self._sent = _MessageCounters(metrics, "sent")

    def send(self, vm_id: str, message: PeerMessage) -> bool:
        """Queue a message; return False if it was certainly not sent."""
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
        """Return whether a peer has answered recently."""
        return vm_id == self.vm_id or self._transport.is_connected(vm_id)

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Replace the set of peers."""
        self._transport.set_peers(peers)
