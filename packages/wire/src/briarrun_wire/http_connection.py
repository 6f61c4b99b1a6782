"""Server side of one HTTP/1.1 connection: an asyncio protocol based on h11."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from enum import StrEnum
from http import HTTPStatus
from typing import Protocol, cast
from urllib.parse import parse_qsl

import h11

from briarrun_wire.client_bounds import (
    Activity,
    ClientBudget,
    Holding,
    is_to_be_paused,
)
from briarrun_wire.http_types import HttpLimits, HttpRequest, HttpResponse

LINGER_S = 1.0
"""Time that a client has to read a final error response. Closing at once would reset
the connection and discard the response if the client is still sending."""

MAX_EVENTS_PER_TURN = 64
"""Parser events of one connection per iteration of the event loop. A body may come in
chunks of few bytes, thousands in one read."""

_ENDS_OF_HEAD = (b"\n\r\n", b"\n\n")
_MIN_HEADER_BYTES = len(b"a:\r\n")

MAX_DISCARDED_BYTES = 256 * 1024
"""Input that is discarded after a final answer. It is the rest of an ordinary body; a
client that sends more does not wait for the answer."""

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_UNSUPPORTED_METHODS = (b"CONNECT", b"TRACE")


class ConnectionOwner(Protocol):
    """Server to which a connection belongs.

    ``read_buffer`` is used for one read at a time: the event loop fills it and passes
    it on before the next read, so that all connections of the server can share it.
    """

    limits: HttpLimits
    draining: bool
    budget: ClientBudget
    read_buffer: memoryview
    timeout_s_by_phase: Mapping[Phase, float]

    async def answer(self, request: HttpRequest) -> HttpResponse | None:
        """Return the response, or None to close the connection; must not raise."""

    def opened(self, connection: ServerConnection) -> None:
        """Register a connection."""

    def closed(self, connection: ServerConnection) -> None:
        """Unregister a connection."""


class Phase(StrEnum):
    """Phase of a connection; each has its own time-out."""

    IDLE = "idle"
    HEADER = "header"
    BODY = "body"
    HANDLER = "handler"
    WRITE = "write"
    LINGER = "linger"


def timeouts_of(limits: HttpLimits) -> Mapping[Phase, float]:
    """Return the time-outs of all phases, in seconds."""
    return {
        Phase.IDLE: limits.idle_timeout_s,
        Phase.HEADER: limits.header_timeout_s,
        Phase.BODY: limits.body_timeout_s,
        Phase.HANDLER: float("inf"),
        Phase.WRITE: limits.write_timeout_s,
        Phase.LINGER: LINGER_S,
    }


_ACTIVITY_BY_PHASE = {
    Phase.IDLE: Activity.IDLE,
    Phase.HEADER: Activity.RECEIVING,
    Phase.BODY: Activity.RECEIVING,
    Phase.HANDLER: Activity.HANDLING,
    Phase.WRITE: Activity.SENDING,
    Phase.LINGER: Activity.SENDING,
}


class ServerConnection(asyncio.BufferedProtocol):
    """Connection that processes its requests one at a time, in order.

    The owner's budget decides what the connection may hold.
    """

    def __init__(self, owner: ConnectionOwner, holding: Holding) -> None:
        self._owner = owner
        self._holding = holding
        self._loop = asyncio.get_running_loop()
        self._h11 = self._new_parser()
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._received = 0
        self._in_handler = 0
        self._discarded = 0
        self._continues = False
        self._client = ""
        self._task: asyncio.Task[None] | None = None
        self._write_paused = False
        self._eof = False
        self.phase = Phase.IDLE
        self.deadline = 0.0

    @property
    def in_flight(self) -> bool:
        """Whether a request has begun to arrive and its response is not yet written."""
        return self.phase not in (Phase.IDLE, Phase.LINGER)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it if there are too many."""
        # uvloop's transports do not derive from ``asyncio.Transport``.
        self._transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self._client = f"{peer[0]}:{peer[1]}" if peer else ""
        self._transport.set_write_buffer_limits(self._owner.limits.write_buffer_bytes)
        self._enter_phase(Phase.IDLE)
        self._owner.opened(self)
        self._holding.close = self.abort
        if self._holding.refused:
            self._refuse(503, "overloaded", "too many connections")
        elif self._holding.closing:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection; a running handler is not cancelled."""
        self._transport = None
        if self._in_handler:
            # The request counts until its handler ends; what was ahead of it is freed.
            self._h11 = self._new_parser()
            self._received = 0
            self._note_holding()
        else:
            self._owner.budget.release(self._holding)
        self._owner.closed(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received data to the parser."""
        if self.phase is Phase.LINGER:
            self._discarded += nbytes
            if self._discarded > MAX_DISCARDED_BYTES:
                self.abort()
            return
        if self.phase is Phase.IDLE:
            self._enter_phase(Phase.HEADER)
        self._h11.receive_data(bytes(self._owner.read_buffer[:nbytes]))
        self._received += nbytes
        self._process_input()
        # Counted afterwards, so that a whole request is answered 503 at a bound.
        self._note_holding()

    def eof_received(self) -> bool:
        """Finish the request in flight, then close."""
        if self.phase in (Phase.IDLE, Phase.LINGER):
            return False
        self._eof = True
        self._h11.receive_data(b"")
        self._process_input()
        return self._transport is not None and not self._transport.is_closing()

    def pause_writing(self) -> None:
        """Record that the client does not read, so that the write time-out applies."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Continue with the next request once the response is written."""
        self._write_paused = False
        self._note_holding()
        if self.phase is Phase.WRITE and not self._is_closed:
            self._next_cycle()

    def check_deadline(self, now: float) -> None:
        """Send an error or close if the time-out of the current phase has expired."""
        if self._transport is None:
            return
        if self._holding.unsent:
            self._note_holding()
        if now < self.deadline:
            return
        if self.phase in (Phase.IDLE, Phase.LINGER):
            self._close_in_time(now)
        elif self._is_closed:
            return
        elif self.phase in (Phase.HEADER, Phase.BODY):
            self._refuse(408, "timeout", f"{self.phase} took too long")
        elif self.phase is Phase.WRITE:
            self._transport.abort()

    def _close_in_time(self, now: float) -> None:
        """Close; ``close`` of a transport waits for ever for a client to read."""
        assert self._transport is not None
        if not self._transport.get_write_buffer_size():
            self._transport.close()
        elif now >= self.deadline + self._owner.limits.write_timeout_s:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is in flight."""
        if self._transport is not None and not self.in_flight:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately, discarding unsent data."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def _is_closed(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _note_holding(self) -> None:
        """Tell the budget what is held, and close the connections that it names."""
        holding, pending, request = self._holding, self._received, self._in_handler
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        if (
            pending == holding.pending
            and request == holding.request
            and unsent == holding.unsent
        ):
            return
        now = self._loop.time()
        for each in self._owner.budget.update(holding, pending, request, unsent, now):
            each.close()

    def _enter_phase(self, phase: Phase) -> None:
        self.phase = phase
        now = self._loop.time()
        self._holding.activity = _ACTIVITY_BY_PHASE[phase]
        self._holding.since = now
        self.deadline = now + self._owner.timeout_s_by_phase[phase]

    def _process_input(self) -> None:
        """Process parser events until more data or a response is needed."""
        if self.phase in (Phase.HANDLER, Phase.WRITE):
            self._pause_if_ahead()
            return
        try:
            self._process_events()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            if status == 431:
                self._refuse(431, "header-too-large", str(error))
            else:
                self._refuse(status, "invalid-request", str(error))

    def _process_events(self) -> None:
        events = 0
        while self.phase in (Phase.HEADER, Phase.BODY, Phase.IDLE):
            if events == MAX_EVENTS_PER_TURN:
                self._continue_soon()
                return
            events += 1
            if self.phase is Phase.HEADER and self._has_too_many_headers():
                self._refuse(431, "header-too-large", "too many headers")
                return
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                if self._h11.they_are_waiting_for_100_continue:
                    self._write(
                        self._h11.send(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                    )
                return
            if isinstance(event, h11.Request):
                self._start_request(event)
            elif isinstance(event, h11.Data):
                self._append_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
            else:
                self._close()
                return

    def _continue_soon(self) -> None:
        """Process the rest of the input after what other connections have received."""
        if self._transport is not None and not self._continues:
            self._continues = True
            self._transport.pause_reading()
            self._loop.call_soon(self._continue)

    def _continue(self) -> None:
        self._continues = False
        if self._is_closed or self.phase is Phase.LINGER:
            return
        self._process_rest()

    def _process_rest(self) -> None:
        """Process the pending input; read on once it has no whole request or chunk."""
        self._process_input()
        if self.phase in (Phase.HEADER, Phase.BODY, Phase.IDLE) and not (
            self._continues or self._is_closed
        ):
            assert self._transport is not None
            self._transport.resume_reading()

    def _has_too_many_headers(self) -> bool:
        """Return whether a head is not to be parsed, which takes 3 us a header."""
        max_headers = self._owner.limits.max_headers
        if self._received <= max_headers * _MIN_HEADER_BYTES:
            return False
        head, _ = self._h11.trailing_data
        # The first line is the request line.
        if head.count(b"\n") <= max_headers + 1:
            return False
        ends = [end for end in map(head.find, _ENDS_OF_HEAD) if end >= 0]
        return head.count(b"\n", 0, min(ends, default=len(head)) + 1) > max_headers + 1

    def _start_request(self, request: h11.Request) -> None:
        limits = self._owner.limits
        self._body = bytearray()
        raw = request.headers.raw_items()
        size = len(request.target) + sum(len(n) + len(v) + 4 for n, v in raw)
        if len(raw) > limits.max_headers or size > limits.max_header_bytes:
            self._refuse(431, "header-too-large", f"{len(raw)} headers, {size} bytes")
            return
        if request.http_version not in (b"1.0", b"1.1"):
            self._refuse(505, "invalid-request", "HTTP version is not supported")
            return
        if request.method in _UNSUPPORTED_METHODS:
            self._refuse(405, "invalid-request", "method is not supported")
            return
        names = [name for name, _ in request.headers]
        if b"content-length" in names:
            if b"transfer-encoding" in names:
                detail = "both Content-Length and Transfer-Encoding"
                self._refuse(400, "invalid-request", detail)
                return
            if int(dict(request.headers)[b"content-length"]) > limits.max_body_bytes:
                self._refuse_body()
                return
        self._request = request
        self._enter_phase(Phase.BODY)

    def _append_body(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._owner.limits.max_body_bytes:
            self._refuse_body()
            return
        self._body += data

    def _refuse_body(self) -> None:
        limit = self._owner.limits.max_body_bytes
        self._refuse(413, "body-too-large", f"the body may have {limit} bytes")

    def _dispatch(self) -> None:
        assert self._request is not None
        self._enter_phase(Phase.HANDLER)
        pending, _ = self._h11.trailing_data
        self._in_handler = self._received - len(pending)
        self._received = len(pending)
        self._note_holding()
        if self._is_closed:
            # The request does not begin, and its client is not told anything.
            self._in_handler = 0
            return
        if not self._owner.budget.may_handle(self._holding):
            self._in_handler = 0
            self._body = bytearray()
            self._refuse(503, "overloaded", "too much input is pending")
            return
        self._pause_if_ahead()
        request = _request_of(self._request, bytes(self._body), self._client)
        self._body = bytearray()
        self._task = self._loop.create_task(self._answer(request))

    async def _answer(self, request: HttpRequest) -> None:
        response = await self._owner.answer(request)
        if self._transport is None:
            self._owner.budget.release(self._holding)
            return
        self._in_handler = 0
        if self._transport.is_closing():
            return
        if response is None:
            self._transport.abort()
            return
        try:
            encoded = self._encode(response, with_body=request.method != "HEAD")
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            # h11 cannot send anything after a failed send, so use a new parser.
            self._h11 = self._new_parser()
            detail = f"the answer cannot be sent: {error}"
            broken = HttpResponse.of_error(500, "internal", detail, "unknown")
            encoded = self._encode(broken, with_body=True, close=True)
        self._write(encoded)
        if self._write_paused:
            self._enter_phase(Phase.WRITE)
            self._note_holding()
        else:
            self._next_cycle()

    def _encode(
        self, response: HttpResponse, with_body: bool, close: bool = False
    ) -> bytes:
        headers = [
            (n.encode("ascii"), v.encode("latin-1")) for n, v in response.headers
        ]
        if response.status != 204:
            headers.append((b"Content-Length", b"%d" % len(response.body)))
        if close or self._owner.draining:
            headers.append((b"Connection", b"close"))
        head = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=_PHRASES.get(response.status, b""),
        )
        parts = [self._h11.send(head)]
        if with_body and response.body and response.status != 204:
            parts.append(self._h11.send(h11.Data(data=response.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _next_cycle(self) -> None:
        if (self._h11.our_state, self._h11.their_state) != (h11.DONE, h11.DONE):
            self._close()
            return
        self._h11.start_next_cycle()
        self._request = None
        pending, _ = self._h11.trailing_data
        self._received = len(pending)
        self._enter_phase(Phase.HEADER if pending else Phase.IDLE)
        self._note_holding()
        if self._is_closed:
            return
        self._process_rest()

    def _refuse(self, status: int, reason: str, detail: str) -> None:
        """Send an error response and close; the parser cannot continue after it."""
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = HttpResponse.of_error(status, reason, detail)
            self._write(self._encode(response, with_body=True, close=True))
        self._close()

    def _close(self) -> None:
        """Close the write side; the rest closes at the client's EOF or after ``LINGER_S``."""
        self._enter_phase(Phase.LINGER)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
            if self._eof:
                self._transport.close()
            else:
                self._transport.write_eof()

    def _write(self, data: bytes | None) -> None:
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _pause_if_ahead(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if is_to_be_paused(self._holding.activity, self._received):
            self._transport.pause_reading()

    def _new_parser(self) -> h11.Connection:
        size = self._owner.limits.max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=size)


def _request_of(request: h11.Request, body: bytes, client: str) -> HttpRequest:
    headers: dict[str, str] = {}
    for raw_name, raw_value in request.headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    target = request.target.decode("ascii")
    if not target.startswith("/") and "://" in target:
        target = "/" + target.partition("://")[2].partition("/")[2]
    path, _, query = target.partition("?")
    return HttpRequest(
        method=request.method.decode("ascii"),
        path=path,
        query=dict(parse_qsl(query, keep_blank_values=True)) if query else {},
        headers=headers,
        body=body,
        client=client,
    )
