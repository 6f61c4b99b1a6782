"""Server side of one HTTP/1.1 connection: an asyncio protocol based on h11."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from http import HTTPStatus
from typing import Protocol, cast
from urllib.parse import parse_qsl

import h11

from briarrun_wire.http_types import HttpLimits, HttpRequest, HttpResponse

LINGER_S = 1.0
"""Time that a client has to read a final error response. Closing at once would reset
the connection and discard the response if the client is still sending."""

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_UNSUPPORTED_METHODS = (b"CONNECT", b"TRACE")


class ConnectionOwner(Protocol):
    """Server to which a connection belongs."""

    limits: HttpLimits
    draining: bool

    async def answer(self, request: HttpRequest) -> HttpResponse | None:
        """Return the response, or None to close the connection; must not raise."""

    def opened(self, connection: ServerConnection) -> bool:
        """Register a connection; return False if there are too many."""

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


class ServerConnection(asyncio.Protocol):
    """Connection that processes its requests one at a time, in order."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._h11 = self._new_parser()
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
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
        self._enter_phase(Phase.IDLE)
        if not self._owner.opened(self):
            self._refuse(503, "overloaded", "too many connections")

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection; a running handler is not cancelled."""
        self._transport = None
        self._owner.closed(self)

    def data_received(self, data: bytes) -> None:
        """Pass received data to the parser."""
        if self.phase is Phase.LINGER:
            return
        if self.phase is Phase.IDLE:
            self._enter_phase(Phase.HEADER)
        self._h11.receive_data(data)
        self._process_input()

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
        if self.phase is Phase.WRITE:
            self._next_cycle()

    def check_deadline(self, now: float) -> None:
        """Send an error or close if the time-out of the current phase has expired."""
        if now < self.deadline or self._transport is None:
            return
        if self.phase in (Phase.HEADER, Phase.BODY):
            self._refuse(408, "timeout", f"{self.phase} took too long")
        elif self.phase is Phase.WRITE:
            self._transport.abort()
        elif self.phase in (Phase.IDLE, Phase.LINGER):
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close unless a request is in flight."""
        if self._transport is not None and not self.in_flight:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately, discarding unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def _enter_phase(self, phase: Phase) -> None:
        limits = self._owner.limits
        self.phase = phase
        self.deadline = (
            self._loop.time()
            + {
                Phase.IDLE: limits.idle_timeout_s,
                Phase.HEADER: limits.header_timeout_s,
                Phase.BODY: limits.body_timeout_s,
                Phase.HANDLER: float("inf"),
                Phase.WRITE: limits.write_timeout_s,
                Phase.LINGER: LINGER_S,
            }[phase]
        )

    def _process_input(self) -> None:
        """Process parser events until more data or a response is needed."""
        if self.phase in (Phase.HANDLER, Phase.WRITE):
            self._pause_if_buffer_full()
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
        while self.phase in (Phase.HEADER, Phase.BODY, Phase.IDLE):
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
                self._append_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
            else:
                self._close()
                return

    def _start_request(self, request: h11.Request) -> None:
        limits = self._owner.limits
        self._request = request
        self._body = []
        self._body_bytes = 0
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
        self._enter_phase(Phase.BODY)

    def _append_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._owner.limits.max_body_bytes:
            self._refuse_body()
            return
        self._body.append(data)

    def _refuse_body(self) -> None:
        limit = self._owner.limits.max_body_bytes
        self._refuse(413, "body-too-large", f"the body may have {limit} bytes")

    def _dispatch(self) -> None:
        assert self._request is not None
        self._enter_phase(Phase.HANDLER)
        request = _request_of(self._request, b"".join(self._body), self._client)
        self._body = []
        self._task = self._loop.create_task(self._answer(request))

    async def _answer(self, request: HttpRequest) -> None:
        response = await self._owner.answer(request)
        if self._transport is None or self._transport.is_closing():
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
        pending, eof = self._h11.trailing_data
        self._enter_phase(Phase.HEADER if pending else Phase.IDLE)
        if self._transport is not None:
            self._transport.resume_reading()
        if pending or eof:
            self._process_input()

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

    def _pause_if_buffer_full(self) -> None:
        pending, _ = self._h11.trailing_data
        if len(pending) > self._owner.limits.max_header_bytes and self._transport:
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
