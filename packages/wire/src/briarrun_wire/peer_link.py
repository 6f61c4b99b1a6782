"""Connection to one peer, which is replaced when the peer stops responding on it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import zmq
import zmq.asyncio

from briarrun_core.chart import Chart
from briarrun_wire.codec import encode_message
from briarrun_wire.messages import Ping

PROBE_AFTER_S = 0.1
"""Time without a reply after which a ping is sent. Heartbeats within a domain are
acknowledged every 0.1 s, so only idle or broken connections are pinged."""

CANDIDATE_TIMEOUT_S = 1.0
"""Time after which a replacement that has received nothing is itself replaced."""

RECONNECT_MS = 100
RECONNECT_MAX_MS = 500
CONNECT_TIMEOUT_MS = 1000

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of a link's sockets; keys are Z85 bytes."""

    instance: str
    public_key: bytes
    secret_key: bytes
    max_queued_messages: int
    max_message_bytes: int
    silence_s: float


class Dealer:
    """DEALER socket that passes received messages to a callback."""

    def __init__(
        self,
        context: zmq.asyncio.Context,
        settings: LinkSettings,
        address: str,
        number: int,
        on_payload: Callable[[Dealer, bytes], None],
        on_ping: Callable[[int], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_ping = on_ping
        self._on_payload = on_payload
        self._chart = Chart.from_file("connection")
        self.state = self._chart.document.initial
        self.opened_at = self._loop.time()
        self.unanswered_since: float | None = None
        self._next_ping_at = 0.0
        socket = context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, settings.max_queued_messages)
        socket.setsockopt(zmq.RCVHWM, settings.max_queued_messages)
        socket.setsockopt(zmq.MAXMSGSIZE, settings.max_message_bytes)
        # Without a connection, a send fails at once. Messages queued during a network
        # partition would be stale when delivered after it.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.IDENTITY, f"{settings.instance}#{number}".encode())
        socket.setsockopt(zmq.CURVE_SERVERKEY, settings.public_key)
        socket.setsockopt(zmq.CURVE_PUBLICKEY, settings.public_key)
        socket.setsockopt(zmq.CURVE_SECRETKEY, settings.secret_key)
        socket.connect(f"tcp://{address}")
        self._socket = socket
        self._receiver = self._loop.create_task(self._receive())

    def send(self, payload: bytes) -> bool:
        """Queue a payload; return False without a connection or if its queue is full."""
        sent = try_send(self._socket, [payload])
        # A failed send counts as unanswered too: libzmq does not reconnect a socket whose
        # handshake was refused, so the socket must be replaced.
        if self.unanswered_since is None:
            self.unanswered_since = self._loop.time()
        return sent

    def probe(self, now: float) -> None:
        """Send a ping if the connection is new or a sent message has had no reply."""
        unanswered_since = self.unanswered_since
        is_new = self.state == "connecting"
        due = (
            is_new
            if unanswered_since is None
            else now - unanswered_since >= PROBE_AFTER_S
        )
        if due and now >= self._next_ping_at and self.send(_PING):
            self._next_ping_at = now + PROBE_AFTER_S
            self._on_ping(len(_PING))

    def check_silence(self, now: float, silence_s: float) -> bool:
        """Return whether a sent message has had no reply for ``silence_s``."""
        unanswered_since = self.unanswered_since
        overdue = unanswered_since is not None and now - unanswered_since >= silence_s
        if overdue and self.state == "open":
            self._step("quiet")
        return overdue

    def close(self, replaced: bool = False) -> None:
        """Close the socket, discarding queued messages."""
        if self.state == "connecting":
            self._step("timed_out")
        elif self.state == "silent" and replaced:
            self._step("replaced")
        else:
            self._step("close")
            self._step("closed")
        self._receiver.cancel()
        self._socket.close(linger=0)

    def _step(self, event: str) -> None:
        self.state = self._chart.step(self.state, event)

    async def _receive(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            self.unanswered_since = None
            if self.state != "open":
                self._step("opened" if self.state == "connecting" else "heard")
            self._on_payload(self, frames[-1])


class Link:
    """Connection to a peer that replaces its socket when the peer does not respond."""

    def __init__(
        self,
        context: zmq.asyncio.Context,
        settings: LinkSettings,
        address: str,
        next_number: Callable[[], int],
        on_payload: Callable[[bytes], None],
        on_ping: Callable[[int], None],
    ) -> None:
        self.address = address
        self.replaced = 0
        self._context = context
        self._settings = settings
        self._next_number = next_number
        self._on_payload = on_payload
        self._on_ping = on_ping
        self._current = self._open()
        self._candidate: Dealer | None = None

    def send(self, payload: bytes) -> bool:
        """Queue a payload; return False without a connection or if its queue is full."""
        return self._current.send(payload)

    def is_connected(self, now: float) -> bool:
        """Return whether the peer has responded and is not silent."""
        overdue = self._current.check_silence(now, self._settings.silence_s)
        return self._current.state == "open" and not overdue

    def tick(self, now: float) -> None:
        """Probe the connection, and open a replacement if the peer is silent."""
        self._current.probe(now)
        if not self._current.check_silence(now, self._settings.silence_s):
            self._drop_candidate()
            return
        candidate = self._candidate
        if candidate is not None and now - candidate.opened_at > CANDIDATE_TIMEOUT_S:
            self._drop_candidate()
        if self._candidate is None:
            self._candidate = self._open()
        self._candidate.probe(now)

    def close(self) -> None:
        """Close all sockets."""
        self._drop_candidate()
        self._current.close()

    def _open(self) -> Dealer:
        number = self._next_number()
        return Dealer(
            self._context,
            self._settings,
            self.address,
            number,
            self._on_dealer_payload,
            self._on_ping,
        )

    def _on_dealer_payload(self, dealer: Dealer, payload: bytes) -> None:
        if dealer is self._candidate:
            _LOG.info("peer: replaced the silent connection to %s", self.address)
            self._current.close(replaced=True)
            self._current, self._candidate = dealer, None
            self.replaced += 1
        if dealer is self._current:
            self._on_payload(payload)

    def _drop_candidate(self) -> None:
        if self._candidate is not None:
            self._candidate.close()
            self._candidate = None


def try_send(socket: zmq.asyncio.Socket, frames: list[bytes]) -> bool:
    """Send without blocking; return False if the socket cannot accept the message."""
    if socket.closed:
        return False
    sending = socket.send_multipart(frames, flags=zmq.DONTWAIT)
    assert isinstance(sending, asyncio.Future)
    return sending.done() and sending.exception() is None


_PING = encode_message(Ping(nonce=0))
