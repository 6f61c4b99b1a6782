"""Network between instances over pyzmq sockets with CURVE encryption."""

from __future__ import annotations

import asyncio
import functools
import hmac
import itertools
import logging
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
import zmq
import zmq.asyncio
from expression import Error, Ok, Result
from zmq.auth.base import Authenticator

from briarrun_wire.codec import decode_message, encode_message
from briarrun_wire.decode import DecodeError
from briarrun_wire.messages import CallRefused, PeerMessage, Ping, Pong
from briarrun_wire.peer_link import Link, LinkSettings, try_send
from briarrun_wire.peer_types import (
    CallFailure,
    CallFailureKind,
    PeerAddress,
    PeerHandler,
    PeerSettings,
    TrafficCount,
)

__all__ = [
    "CallFailure",
    "CallFailureKind",
    "PeerAddress",
    "PeerHandler",
    "PeerNetwork",
    "PeerSettings",
    "TrafficCount",
    "vm_id_of",
]

TICK_S = 0.05
MAX_CALLS_IN_PROGRESS = 10_000

_LOG = logging.getLogger(__name__)


class PeerNetwork:
    """Peer connections of an instance: a ROUTER socket and one DEALER socket per peer."""

    def __init__(self, settings: PeerSettings, handler: PeerHandler) -> None:
        self._settings = settings
        self._handler = handler
        self._context = zmq.asyncio.Context()
        self._link_settings = LinkSettings(
            settings.instance,
            settings.public_key.encode("ascii"),
            settings.secret_key.encode("ascii"),
            settings.max_queued_messages,
            settings.max_message_bytes,
            settings.silence_s,
        )
        self._router: zmq.asyncio.Socket | None = None
        self._authenticator: Authenticator | None = None
        self._bound = ""
        self._peers_by_vm: dict[str, PeerAddress] = {}
        self._links_by_vm: dict[str, Link] = {}
        self._incoming_by_vm: dict[str, _IncomingConnection] = {}
        self._traffic_by_vm: dict[str, TrafficCount] = {}
        self._connection_numbers = itertools.count(1)
        self._call_ids = itertools.count(1)
        self._pending_by_call: dict[int, asyncio.Future[PeerMessage]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Bind the ROUTER socket, or raise ``OSError`` if the address is in use."""
        self._authenticator = Authenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            "*", credentials_provider=_SingleKeyProvider(self._link_settings.public_key)
        )
        self._spawn(self._authenticate(self._authenticator))
        self._router = router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.SNDHWM, self._settings.max_queued_messages)
        router.setsockopt(zmq.RCVHWM, self._settings.max_queued_messages)
        router.setsockopt(zmq.MAXMSGSIZE, self._settings.max_message_bytes)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        router.setsockopt(zmq.HANDSHAKE_IVL, 1000)
        router.setsockopt(zmq.TCP_KEEPALIVE, 1)
        router.setsockopt(zmq.CURVE_SERVER, 1)
        router.setsockopt(zmq.CURVE_SECRETKEY, self._link_settings.secret_key)
        port = self._settings.bind_port or "*"
        try:
            router.bind(f"tcp://{self._settings.bind_host}:{port}")
        except zmq.ZMQError as error:
            await self.close()
            raise OSError(error.errno, f"cannot bind peer socket: {error}") from error
        endpoint = router.getsockopt(zmq.LAST_ENDPOINT)
        assert isinstance(endpoint, bytes)
        self._bound = endpoint.decode().removeprefix("tcp://")
        self._spawn(self._receive(router))
        self._spawn(self._tick_links())

    @property
    def address(self) -> str:
        """Bound ``host:port``."""
        return self._bound

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Connect to new peers and close the connections to removed ones."""
        self._peers_by_vm = {peer.vm_id: peer for peer in peers}
        for vm_id, link in list(self._links_by_vm.items()):
            peer = self._peers_by_vm.get(vm_id)
            if peer is None or peer.address != link.address:
                link.close()
                del self._links_by_vm[vm_id]
        for vm_id, peer in self._peers_by_vm.items():
            if vm_id not in self._links_by_vm:
                self._links_by_vm[vm_id] = Link(
                    self._context,
                    self._link_settings,
                    peer.address,
                    lambda: next(self._connection_numbers),
                    functools.partial(self._on_reply, vm_id),
                    functools.partial(self._count_sent, vm_id, sent=True),
                )

    def send(self, vm_id: str, message: PeerMessage) -> bool:
        """Queue a message; return False without a connection or if its queue is full."""
        link = self._links_by_vm.get(vm_id)
        payload = encode_message(message)
        sent = link is not None and link.send(payload)
        self._count_sent(vm_id, len(payload), sent)
        return sent

    def reply(self, instance: str, message: PeerMessage) -> bool:
        """Queue a message on the connection that an instance opened to this one."""
        incoming = self._incoming_by_vm.get(vm_id_of(instance))
        if incoming is None or incoming.instance != instance:
            return False
        return self._send_back(incoming, message)

    async def call(
        self, vm_id: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, CallFailure]:
        """Send a message with a new ``call_id`` and return the reply."""
        call_id = next(self._call_ids)
        reply: asyncio.Future[PeerMessage] = asyncio.get_running_loop().create_future()
        self._pending_by_call[call_id] = reply
        try:
            if not self.send(vm_id, with_call_id(message, call_id)):
                detail = f"no connection to {vm_id}, or its queue is full"
                return Error(CallFailure(CallFailureKind.NOT_CONNECTED, False, detail))
            async with asyncio.timeout(timeout_s):
                return Ok(await reply)
        except TimeoutError:
            detail = f"no reply from {vm_id} in {timeout_s:.3f} s"
            return Error(CallFailure(CallFailureKind.TIMEOUT, True, detail))
        finally:
            del self._pending_by_call[call_id]

    def is_connected(self, vm_id: str) -> bool:
        """Return whether the connection to a peer is open and not silent."""
        link = self._links_by_vm.get(vm_id)
        return link is not None and link.is_connected(asyncio.get_running_loop().time())

    @property
    def traffic_by_vm(self) -> dict[str, TrafficCount]:
        """Traffic by peer VM id."""
        return self._traffic_by_vm

    @property
    def traffic_by_region(self) -> dict[str, TrafficCount]:
        """Traffic by the peer's region; peers not in the peer list count as ``""``."""
        totals: dict[str, TrafficCount] = {}
        for vm_id, count in self._traffic_by_vm.items():
            peer = self._peers_by_vm.get(vm_id)
            total = totals.setdefault(peer.region if peer else "", TrafficCount())
            total.messages_sent += count.messages_sent
            total.bytes_sent += count.bytes_sent
            total.messages_received += count.messages_received
            total.bytes_received += count.bytes_received
            total.messages_dropped += count.messages_dropped
        return totals

    async def close(self) -> None:
        """Close all sockets, discarding queued messages."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._links_by_vm.values():
            link.close()
        self._links_by_vm.clear()
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None
        if self._router is not None:
            self._router.close(linger=0)
            self._router = None
        self._context.destroy(linger=0)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick_links(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for link in list(self._links_by_vm.values()):
                link.tick(loop.time())
            await asyncio.sleep(TICK_S)

    async def _authenticate(self, authenticator: Authenticator) -> None:
        # pyzmq's asyncio authenticator removes its file descriptor from the event loop
        # only after closing it, when another socket may already have the same number.
        requests = zmq.asyncio.Socket.shadow(authenticator.zap_socket.underlying)
        try:
            while True:
                await authenticator.handle_zap_message(await requests.recv_multipart())
        finally:
            requests.close()

    async def _receive(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            try:
                self._on_frames(frames)
            except Exception:
                _LOG.exception("peer: failed to process a message")

    def _on_frames(self, frames: list[bytes]) -> None:
        """Process a message received on the ROUTER socket."""
        if len(frames) != 2:
            _LOG.warning("peer: dropped a message of %d frames", len(frames))
            return
        identity, payload = frames
        instance, _, number = identity.decode("utf-8", "replace").rpartition("#")
        if not instance or not number.isdecimal():
            _LOG.warning("peer: dropped a message with malformed identity %r", identity)
            return
        message = self._decode(vm_id_of(instance), payload)
        if message is None:
            return
        incoming = _IncomingConnection(instance, identity, int(number))
        if isinstance(message, Ping):
            pong = Pong(nonce=message.nonce)
            self._send_back(incoming, pong)
            return
        self._update_incoming(incoming)
        call_id: int = getattr(message, "call_id", 0)
        if not call_id:
            self._handler.on_message(instance, message)
        elif len(self._tasks) < MAX_CALLS_IN_PROGRESS:
            self._spawn(self._serve(incoming, message, call_id))
        else:
            refusal = CallRefused(call_id=call_id, reason="overloaded")
            self._send_back(incoming, refusal)

    async def _serve(
        self, incoming: _IncomingConnection, message: PeerMessage, call_id: int
    ) -> None:
        try:
            reply = await self._handler.on_call(incoming.instance, message)
        except Exception:
            _LOG.exception("peer: handler failed for %s", type(message).__name__)
            return
        if reply is None:
            return
        answer = with_call_id(reply, call_id)
        # The caller may have replaced the connection on which it sent the call.
        latest = self._incoming_by_vm.get(vm_id_of(incoming.instance))
        if (
            latest is not None
            and latest.instance == incoming.instance
            and latest.number > incoming.number
            and self._send_back(latest, answer)
        ):
            return
        self._send_back(incoming, answer)

    def _on_reply(self, vm_id: str, payload: bytes) -> None:
        """Process a message received on a DEALER socket."""
        message = self._decode(vm_id, payload)
        if message is None or isinstance(message, Pong):
            return
        call_id: int = getattr(message, "call_id", 0)
        if call_id:
            waiting = self._pending_by_call.get(call_id)
            if waiting is not None and not waiting.done():
                waiting.set_result(message)
            return
        sender: str = getattr(message, "sender", "") or vm_id
        try:
            self._handler.on_message(sender, message)
        except Exception:
            _LOG.exception("peer: handler failed for %s", type(message).__name__)

    def _decode(self, vm_id: str, payload: bytes) -> PeerMessage | None:
        count = self._traffic_by_vm.setdefault(vm_id, TrafficCount())
        count.messages_received += 1
        count.bytes_received += len(payload)
        try:
            return decode_message(payload)
        except DecodeError as error:
            _LOG.warning("peer: dropped a message from %s: %s", vm_id, error)
            return None

    def _update_incoming(self, incoming: _IncomingConnection) -> None:
        vm_id = vm_id_of(incoming.instance)
        known = self._incoming_by_vm.get(vm_id)
        if (
            known is None
            or known.instance != incoming.instance
            or known.number < incoming.number
        ):
            self._incoming_by_vm[vm_id] = incoming

    def _send_back(self, incoming: _IncomingConnection, message: PeerMessage) -> bool:
        vm_id = vm_id_of(incoming.instance)
        payload = encode_message(message)
        sent = self._router is not None and try_send(
            self._router, [incoming.identity, payload]
        )
        self._count_sent(vm_id, len(payload), sent)
        if not sent and self._incoming_by_vm.get(vm_id) == incoming:
            # The connection is closed; the peer's next message gives the current one.
            del self._incoming_by_vm[vm_id]
        return sent

    def _count_sent(self, vm_id: str, size: int, sent: bool) -> None:
        count = self._traffic_by_vm.setdefault(vm_id, TrafficCount())
        if sent:
            count.messages_sent += 1
            count.bytes_sent += size
        else:
            count.messages_dropped += 1


class _SingleKeyProvider:
    """CURVE credentials provider that accepts a single client key."""

    def __init__(self, public_key: bytes) -> None:
        self._public_key = public_key

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client key, in Z85, is accepted."""
        return hmac.compare_digest(key, self._public_key)


@dataclass(frozen=True, slots=True)
class _IncomingConnection:
    """Connection that a peer opened; newer connections have higher numbers."""

    instance: str
    identity: bytes
    number: int


def vm_id_of(instance: str) -> str:
    """Return the VM id that an instance id contains."""
    return instance.rpartition(".")[0] or instance


def with_call_id(message: PeerMessage, call_id: int) -> PeerMessage:
    """Return a copy of the message with its ``call_id`` set."""
    changed: PeerMessage = msgspec.structs.replace(message, call_id=call_id)
    return changed
