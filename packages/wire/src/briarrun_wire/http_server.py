"""HTTP/1.1 server based on asyncio and h11."""

from __future__ import annotations

import asyncio
import logging
import socket
from abc import ABC, abstractmethod

from briarrun_wire.client_bounds import (
    ClientBudget,
    Holding,
    ListenerBounds,
    ProcessBounds,
)
from briarrun_wire.http_connection import ServerConnection, timeouts_of
from briarrun_wire.http_types import HttpLimits, HttpRequest, HttpResponse

BACKLOG = 1024

READ_BYTES = 16 * 1024
"""Size of one read. Larger ones would be received ahead of the request in progress."""

ACCEPT_BATCH = 64
"""Connections accepted in one iteration of the event loop, so that a wave of new ones
does not hold up the requests of others."""

ACCEPT_RETRY_S = 0.1
"""Pause after a failed accept; the usual cause is a lack of file descriptors."""

TIMEOUT_CHECK_INTERVAL_S = 0.1
"""Interval at which one timer checks the time-outs of all connections. A timer per
request phase would cost several timer operations per request."""

DRAIN_IDLE_S = 0.5
"""Time that an idle connection stays open while draining, since a request may already be
in transit."""

_LOG = logging.getLogger(__name__)


class HttpHandler(ABC):
    """Handler of HTTP requests; called concurrently, once per request."""

    @abstractmethod
    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response; an exception becomes a 500 with outcome ``unknown``."""


class CloseConnection(Exception):  # noqa: N818 - a signal to the server, not an error
    """Raised by a handler to close the connection without a response."""


class HttpServer:
    """HTTP server that passes the requests of each connection to a handler in order.

    Without a ``budget`` for the listener of that name, only the connections are bounded.
    """

    def __init__(
        self,
        handler: HttpHandler,
        limits: HttpLimits | None = None,
        budget: ClientBudget | None = None,
        listener: str = "",
    ) -> None:
        self.limits = limits or HttpLimits()
        self.budget = budget or _budget_of_one(listener, self.limits)
        self._name = listener
        self.draining = False
        self.timeout_s_by_phase = timeouts_of(self.limits)
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._handler = handler
        self._connections: set[ServerConnection] = set()
        self._listener: socket.socket | None = None
        self._pending_setups: set[asyncio.Task[None]] = set()
        self._timeout_task: asyncio.Task[None] | None = None
        self._bound = ""
        self._handlers_running = 0
        self._changed = asyncio.Event()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Bind and start accepting, or raise ``OSError`` if the address is in use."""
        loop = asyncio.get_running_loop()
        listener = socket.create_server((host, port), backlog=BACKLOG)
        listener.setblocking(False)
        bound_host, bound_port = listener.getsockname()[:2]
        self._bound = f"{bound_host}:{bound_port}"
        # `loop.create_server` drops connections that it accepted just before `close`.
        # This server accepts connections itself so that a drain serves them.
        self._listener = listener
        loop.add_reader(listener.fileno(), self._accept, ACCEPT_BATCH)
        self._timeout_task = loop.create_task(self._check_timeouts())

    @property
    def address(self) -> str:
        """Bound ``host:port``."""
        return self._bound

    @property
    def active(self) -> int:
        """Number of requests in flight."""
        return sum(1 for connection in self._connections if connection.in_flight)

    async def drain(self) -> None:
        """Stop accepting, finish the requests in flight, then close."""
        self.draining = True
        await self._stop_accepting()
        grace_end = asyncio.get_running_loop().time() + DRAIN_IDLE_S
        while self._connections or self._handlers_running:
            if asyncio.get_running_loop().time() >= grace_end:
                for connection in list(self._connections):
                    connection.close_if_idle()
            self._changed.clear()
            try:
                async with asyncio.timeout(TIMEOUT_CHECK_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                continue
        await self.close()

    async def close(self) -> int:
        """Close all connections and return the number of aborted requests."""
        cut_off = self.active
        await self._stop_accepting()
        for connection in list(self._connections):
            connection.abort()
        if self._timeout_task is not None:
            self._timeout_task.cancel()
            self._timeout_task = None
        await asyncio.sleep(0)
        return cut_off

    async def answer(self, request: HttpRequest) -> HttpResponse | None:
        """Return the handler's response, 500 if it raises, or None to close."""
        self._handlers_running += 1
        try:
            return await self._handler.handle(request)
        except CloseConnection:
            return None
        except Exception:
            _LOG.exception(
                "http: handler failed for %s %s", request.method, request.path
            )
            detail = "the request could not be completed"
            return HttpResponse.of_error(500, "internal", detail, "unknown")
        finally:
            self._handlers_running -= 1
            self._changed.set()

    def opened(self, connection: ServerConnection) -> None:
        """Register a connection."""
        self._connections.add(connection)

    def closed(self, connection: ServerConnection) -> None:
        """Unregister a connection."""
        self._connections.discard(connection)
        self._changed.set()

    def _accept(self, count: int) -> None:
        """Accept up to a number of connections in the backlog."""
        if self._listener is None:
            return
        loop = asyncio.get_running_loop()
        for _ in range(count):
            try:
                accepted, address = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                _LOG.warning("http: cannot accept a connection: %s", error)
                loop.remove_reader(self._listener.fileno())
                loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)
                return
            holding = self.budget.admit(self._name, address[0], loop.time())
            if holding is None:
                accepted.close()
                continue
            accepted.setblocking(False)
            setup = loop.create_task(self._set_up_connection(accepted, holding))
            self._pending_setups.add(setup)
            setup.add_done_callback(self._pending_setups.discard)

    def _resume_accepting(self) -> None:
        if self._listener is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listener.fileno(), self._accept, ACCEPT_BATCH)

    async def _set_up_connection(
        self, accepted: socket.socket, holding: Holding
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.connect_accepted_socket(
                lambda: ServerConnection(self, holding), accepted
            )
        except OSError as error:
            _LOG.warning("http: cannot set up an accepted connection: %s", error)
            accepted.close()
            self.budget.release(holding)

    async def _stop_accepting(self) -> None:
        if self._listener is None:
            return
        self._accept(BACKLOG)
        listener, self._listener = self._listener, None
        asyncio.get_running_loop().remove_reader(listener.fileno())
        listener.close()
        await asyncio.gather(*self._pending_setups)

    async def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = loop.time()
            for holding in self.budget.make_room(self._name, now):
                holding.close()
            for connection in list(self._connections):
                connection.check_deadline(now)


def _budget_of_one(listener: str, limits: HttpLimits) -> ClientBudget:
    """Return a budget that bounds the connections of one listener."""
    bounds = ListenerBounds(connections=limits.max_connections, makes_room=False)
    return ClientBudget(ProcessBounds({listener: bounds}))
