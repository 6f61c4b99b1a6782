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
    proven_alive_s: float = 0.05
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
        self._sweep: asyncio.TimerHandle | None = None

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
        address_pool = self._pools_by_address.setdefault(address, _AddressPool())
        if (
            address_pool.in_use < self._limits.max_connections
            and not address_pool.waiters
        ):
            address_pool.in_use += 1
        elif not await self._wait_for_slot(address_pool, min(deadline, send_by)):
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

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        address_pool = self._pools_by_address.get(address)
        if address_pool is None:
            return
        while address_pool.idle:
            address_pool.idle.pop().close()
        if not address_pool.in_use and not address_pool.waiters:
            del self._pools_by_address[address]

    async def close(self) -> None:
        """Close the idle connections; those in use close when their request ends."""
        self._closed = True
        if self._sweep is not None:
            self._sweep.cancel()
        for address in list(self._pools_by_address):
            self.forget(address)
        await asyncio.sleep(0)

    async def _wait_for_slot(self, address_pool: _AddressPool, deadline: float) -> bool:
        """Wait for a free connection slot; return False if the deadline passes first."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        address_pool.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            self._abandon_wait(address_pool, waiter)
            return False
        except asyncio.CancelledError:
            self._abandon_wait(address_pool, waiter)
            raise
        return True

    def _abandon_wait(
        self, address_pool: _AddressPool, waiter: asyncio.Future[None]
    ) -> None:
        if waiter.done() and not waiter.cancelled():
            self._release_slot(address_pool)
        elif waiter in address_pool.waiters:
            address_pool.waiters.remove(waiter)

    def _release_slot(self, address_pool: _AddressPool) -> None:
        """Pass a connection slot to the next waiter, or mark it as free."""
        while address_pool.waiters:
            waiter = address_pool.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        address_pool.in_use -= 1

    def _release(self, address: str, connection: ClientConnection | None) -> None:
        address_pool = self._pools_by_address[address]
        if connection is not None:
            if connection.reusable and not self._closed:
                address_pool.idle.append(connection)
            else:
                connection.close()
        self._release_slot(address_pool)
        self._trim(address, address_pool)
        if address_pool.idle:
            self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        if self._sweep is None and not self._closed:
            delay_s = self._limits.idle_timeout_s
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(delay_s, self._close_idle)

    def _close_idle(self) -> None:
        self._sweep = None
        for address, address_pool in list(self._pools_by_address.items()):
            self._trim(address, address_pool)
        if any(address_pool.idle for address_pool in self._pools_by_address.values()):
            self._schedule_sweep()

    def _trim(self, address: str, address_pool: _AddressPool) -> None:
        """Close idle connections that exceed the idle time-out or the idle limit."""
        oldest = asyncio.get_running_loop().time() - self._limits.idle_timeout_s
        while address_pool.idle and (
            len(address_pool.idle) > self._limits.max_idle
            or address_pool.idle[0].idle_since <= oldest
            or not address_pool.idle[0].reusable
        ):
            address_pool.idle.popleft().close()
        if (
            not address_pool.idle
            and not address_pool.in_use
            and not address_pool.waiters
        ):
            self._pools_by_address.pop(address, None)

    async def _connection(
        self, address: str, idempotent: bool, deadline: float
    ) -> ClientConnection:
        address_pool = self._pools_by_address[address]
        if address_pool.idle and not idempotent:
            # Two iterations of the event loop process a close that has already arrived.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        now = asyncio.get_running_loop().time()
        age_limit = (
            self._limits.idle_timeout_s if idempotent else self._limits.proven_alive_s
        )
        while address_pool.idle:
            connection = address_pool.idle.pop()
            if connection.reusable and now - connection.idle_since <= age_limit:
                return connection
            if idempotent or not connection.reusable:
                connection.close()
                continue
            address_pool.idle.append(connection)
            break
        # Idle connections count towards ``max_connections``.
        while (
            address_pool.idle
            and address_pool.in_use + len(address_pool.idle)
            > self._limits.max_connections
        ):
            address_pool.idle.popleft().close()
        connect_by = min(deadline, now + self._limits.connect_timeout_s)
        return await ClientConnection.open(
            address, connect_by, self._limits.max_response_bytes
        )
