"""Client side of one HTTP/1.1 connection."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import cast

import h11

from briarrun_wire.http_types import (
    REQUEST_ID_HEADER,
    HttpFailure,
    HttpFailureKind,
    HttpResponse,
)

_REQUEST_ID = REQUEST_ID_HEADER.lower().encode("ascii")
_BODYLESS = (204, 304)


class ExchangeFailed(Exception):  # noqa: N818 - named after its failure
    """Failed request; ``failure`` describes it."""

    def __init__(
        self,
        kind: HttpFailureKind,
        sent: bool,
        detail: str,
        connection_refused: bool = False,
    ) -> None:
        super().__init__(detail)
        self.failure = HttpFailure(kind, sent, detail, connection_refused)


class ClientConnection(asyncio.Protocol):
    """Client connection that processes one request at a time."""

    def __init__(self, max_response_bytes: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._max_response_bytes = max_response_bytes
        self._waiting: asyncio.Future[HttpResponse] | None = None
        self._head: h11.Response | None = None
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self._method = ""
        self._request_id = b""
        self._broken = False
        self.idle_since = self._loop.time()

    @classmethod
    async def open(
        cls, address: str, deadline: float, max_response_bytes: int
    ) -> ClientConnection:
        """Connect to ``host:port``, or raise ``ExchangeFailed`` with ``sent`` false."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(deadline):
                _, connection = await loop.create_connection(
                    lambda: cls(max_response_bytes), host, int(port)
                )
        except (OSError, ValueError, TimeoutError) as error:
            detail = f"cannot connect to {address}: {error or 'timed out'}"
            kind = HttpFailureKind.CONNECT_FAILED
            refused = isinstance(error, ConnectionRefusedError)
            raise ExchangeFailed(kind, False, detail, refused) from error
        return connection

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            not self._broken
            and self._transport is not None
            and not self._transport.is_closing()
            and self._h11.our_state is h11.IDLE
        )

    def close(self) -> None:
        """Close immediately, discarding unsent data."""
        self._broken = True
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        address: str,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        deadline: float,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        Raises ``ExchangeFailed`` on failure; the connection is then closed.
        """
        encoded = self._encode(address, method, target, headers, body)
        if self._transport is None or self._transport.is_closing() or self._broken:
            detail = f"{address} closed the connection before the request was sent"
            raise ExchangeFailed(HttpFailureKind.CLOSED, False, detail)
        if self._loop.time() >= deadline:
            self.close()
            detail = f"the deadline passed before the request to {address} was sent"
            raise ExchangeFailed(HttpFailureKind.TIMEOUT, False, detail)
        self._waiting = self._loop.create_future()
        timer = self._loop.call_at(deadline, self._time_out, address)
        done = False
        try:
            self._transport.write(encoded)
            response = await self._waiting
            done = True
            return response
        finally:
            timer.cancel()
            self._waiting = None
            if not done:
                self.close()

    def _time_out(self, address: str) -> None:
        detail = f"no whole answer from {address} before the deadline"
        self._fail(HttpFailureKind.TIMEOUT, detail)

    def _encode(
        self,
        address: str,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
    ) -> bytes:
        self._method = method
        self._head = None
        self._parts = []
        self._received_bytes = 0
        self._request_id = b""
        raw = [(b"Host", address.encode("ascii"))]
        try:
            for name, value in headers:
                raw.append((name.encode("ascii"), value.encode("latin-1")))
                if name == REQUEST_ID_HEADER:
                    self._request_id = value.encode("latin-1")
            if body or method in ("POST", "PUT", "PATCH"):
                raw.append((b"Content-Length", b"%d" % len(body)))
            request = h11.Request(method=method, target=target, headers=raw)
            parts = [self._h11.send(request)]
            if body:
                parts.append(self._h11.send(h11.Data(data=body)))
            parts.append(self._h11.send(h11.EndOfMessage()))
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self.close()
            detail = f"the request cannot be sent: {error}"
            raise ExchangeFailed(HttpFailureKind.MALFORMED, False, detail) from error
        return b"".join(part for part in parts if part)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports do not derive from ``asyncio.Transport``.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, if any."""
        self._transport = None
        self._fail(HttpFailureKind.CLOSED, f"connection lost: {exc or 'closed'}")

    def eof_received(self) -> bool:
        """Fail the request unless its response is complete, and close."""
        self._process_data(b"")
        return False

    def data_received(self, data: bytes) -> None:
        """Pass received data to the parser."""
        self._process_data(data)

    def _process_data(self, data: bytes) -> None:
        if self._waiting is None or self._waiting.done():
            # Data without an outstanding request cannot be a response to any request.
            self._broken = True
            if self._transport is not None:
                self._transport.close()
            return
        try:
            self._h11.receive_data(data)
            while self._process_event():
                pass
        except h11.RemoteProtocolError as error:
            if data:
                detail = f"the answer is not valid: {error}"
                self._fail(HttpFailureKind.MALFORMED, detail)
            else:
                detail = "the connection was closed before the whole answer"
                self._fail(HttpFailureKind.CLOSED, detail)

    def _process_event(self) -> bool:
        """Process one parser event; return False if there is none left."""
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            self._head = event
            return self._check_head(event)
        if isinstance(event, h11.Data):
            self._parts.append(bytes(event.data))
            self._received_bytes += len(event.data)
            if self._received_bytes > self._max_response_bytes:
                detail = f"the answer has over {self._max_response_bytes} bytes"
                self._fail(HttpFailureKind.TOO_LARGE, detail)
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._complete()
            return False
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(HttpFailureKind.CLOSED, "connection closed before the response")
            return False
        return True

    def _check_head(self, head: h11.Response) -> bool:
        """Reject a response without a length, or to another request."""
        values_by_name = dict(head.headers)
        framed = (
            b"content-length" in values_by_name
            or b"transfer-encoding" in values_by_name
        )
        bodyless = head.status_code in _BODYLESS or self._method == "HEAD"
        if not framed and not bodyless:
            # Without a length, a truncated response would look like a complete one.
            self._fail(HttpFailureKind.MALFORMED, "the response has no length")
            return False
        answered = values_by_name.get(_REQUEST_ID)
        if answered and self._request_id and answered != self._request_id:
            detail = f"the answer is for request {answered.decode('latin-1')}"
            self._fail(HttpFailureKind.MISMATCHED, detail)
            return False
        return True

    def _complete(self) -> None:
        assert self._head is not None and self._waiting is not None
        head = self._head
        response = HttpResponse(
            head.status_code,
            b"".join(self._parts),
            tuple(
                (n.decode("ascii"), v.decode("latin-1"))
                for n, v in head.headers.raw_items()
            ),
        )
        extra, _ = self._h11.trailing_data
        if (
            extra
            or self._h11.our_state is not h11.DONE
            or self._h11.their_state is not h11.DONE
        ):
            self._broken = True
        else:
            self._h11.start_next_cycle()
        self.idle_since = self._loop.time()
        self._waiting.set_result(response)

    def _fail(self, kind: HttpFailureKind, detail: str) -> None:
        self._broken = True
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(ExchangeFailed(kind, True, detail))
        if self._transport is not None:
            self._transport.abort()
