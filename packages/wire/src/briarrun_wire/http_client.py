"""HTTP/1.1 client with a connection pool per address, based on asyncio and h11."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from briarrun_wire.http_exchange import ClientConnection, ExchangeFailed
from briarrun_wire.http_types import HttpFailure, HttpFailureKind, HttpResponse


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits on the connections to one address.

    A non-idempotent request is not sent on a pooled connection that has been idle for
    longer than ``max_idle_non_idempotent_s``, since the server may be closing it.
    """

    max_connections: int = 64
    max_idle: int = 8
    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 30.0
    max_idle_non_idempotent_s: float = 0.05
    max_response_bytes: int = 16 * 1024 * 1024


@dataclass(slots=True)
class _AddressPool:
    """Connections to one address and the requests that wait for one."""

    idle: deque[ClientConnection] = field(default_factory=deque)
    in_use: int = 0
    waiters: deque[asyncio.Future[None]] = field(default_factory=deque)


class HttpPool:
    """HTTP client that pools its connections by address."""

    def __init__(self, limits: PoolLimits | None = None) -> None:
        self._limits = limits or PoolLimits()
        self._pools_by_address: dict[str, _AddressPool] = {}
        self._closed = False
        self._cleanup_timer: asyncio.TimerHandle | None = None

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        idempotent: bool,
        timeout_s: float,
        send_within_s: float = math.inf,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send one request, at most once, and return the complete response.

        ``address`` is ``host:port``. The connection is closed if the response is not
        complete after ``timeout_s`` seconds or the task is cancelled. The request is not
        sent later than ``send_within_s`` seconds after the call, and it is not retried.
        """
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        deadline = called_at + timeout_s
        send_by = called_at + send_within_s
        pool = self._pools_by_address.setdefault(address, _AddressPool())
        if pool.in_use < self._limits.max_connections and not pool.waiters:
            pool.in_use += 1
        elif not await self._wait_for_slot(pool, min(deadline, send_by)):
            waited_s = min(timeout_s, send_within_s)
            detail = f"no free connection to {address} in {waited_s:.3f} s"
            return Error(HttpFailure(HttpFailureKind.CONNECTION_LIMIT, False, detail))
        connection: ClientConnection | None = None
        try:
            connection = await self._connection(
                address, idempotent, min(deadline, send_by)
            )
            # Read the time again: the process may have been suspended meanwhile.
            if loop.time() >= send_by:
                detail = f"not sent to {address} within {send_within_s:.3f} s"
                return Error(HttpFailure(HttpFailureKind.TIMEOUT, False, detail))
            return Ok(
                await connection.exchange(
                    address, method, target, headers, body, deadline
                )
            )
        except ExchangeFailed as failed:
            return Error(failed.failure)
        finally:
            self._release(address, connection)

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an address."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            return
        while pool.idle:
            pool.idle.pop().close()
        if not pool.in_use and not pool.waiters:
            del self._pools_by_address[address]

    async def close(self) -> None:
        """Close the idle connections; those in use close when their request ends."""
        self._closed = True
        if self._cleanup_timer is not None:
            self._cleanup_timer.cancel()
        for address in list(self._pools_by_address):
            self.close_idle_connections(address)
        await asyncio.sleep(0)

    async def _wait_for_slot(self, pool: _AddressPool, deadline: float) -> bool:
        """Wait for a free connection slot; return False if the deadline passes first."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        pool.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            self._abandon_wait(pool, waiter)
            return False
        except asyncio.CancelledError:
            self._abandon_wait(pool, waiter)
            raise
        # The slot may have become free just as the deadline passed.
        if asyncio.get_running_loop().time() >= deadline:
            self._release_slot(pool)
            return False
        return True

    def _abandon_wait(self, pool: _AddressPool, waiter: asyncio.Future[None]) -> None:
        if waiter.done() and not waiter.cancelled():
            self._release_slot(pool)
        elif waiter in pool.waiters:
            pool.waiters.remove(waiter)

    def _release_slot(self, pool: _AddressPool) -> None:
        """Pass a connection slot to the next waiter, or mark it as free."""
        while pool.waiters:
            waiter = pool.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        pool.in_use -= 1

    def _release(self, address: str, connection: ClientConnection | None) -> None:
        pool = self._pools_by_address[address]
        if connection is not None:
            if connection.reusable and not self._closed:
                pool.idle.append(connection)
            else:
                connection.close()
        self._release_slot(pool)
        self._trim(address, pool)
        if pool.idle:
            self._schedule_cleanup()

    def _schedule_cleanup(self) -> None:
        if self._cleanup_timer is None and not self._closed:
            delay_s = self._limits.idle_timeout_s
            loop = asyncio.get_running_loop()
            self._cleanup_timer = loop.call_later(delay_s, self._close_expired)

    def _close_expired(self) -> None:
        self._cleanup_timer = None
        for address, pool in list(self._pools_by_address.items()):
            self._trim(address, pool)
        if any(pool.idle for pool in self._pools_by_address.values()):
            self._schedule_cleanup()

    def _trim(self, address: str, pool: _AddressPool) -> None:
        """Close idle connections that exceed the idle time-out or the idle limit."""
        oldest = asyncio.get_running_loop().time() - self._limits.idle_timeout_s
        while pool.idle and (
            len(pool.idle) > self._limits.max_idle
            or pool.idle[0].idle_since <= oldest
            or not pool.idle[0].reusable
        ):
            pool.idle.popleft().close()
        if not pool.idle and not pool.in_use and not pool.waiters:
            self._pools_by_address.pop(address, None)

    async def _connection(
        self, address: str, idempotent: bool, deadline: float
    ) -> ClientConnection:
        pool = self._pools_by_address[address]
        if pool.idle and not idempotent:
            # Two iterations of the event loop process a close that has already arrived.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        now = asyncio.get_running_loop().time()
        age_limit = (
            self._limits.idle_timeout_s
            if idempotent
            else self._limits.max_idle_non_idempotent_s
        )
        while pool.idle:
            connection = pool.idle.pop()
            if connection.reusable and now - connection.idle_since <= age_limit:
                return connection
            if idempotent or not connection.reusable:
                connection.close()
                continue
            pool.idle.append(connection)
            break
        # Idle connections count towards ``max_connections``.
        while pool.idle and pool.in_use + len(pool.idle) > self._limits.max_connections:
            pool.idle.popleft().close()
        connect_by = min(deadline, now + self._limits.connect_timeout_s)
        return await ClientConnection.open(
            address, connect_by, self._limits.max_response_bytes
        )
