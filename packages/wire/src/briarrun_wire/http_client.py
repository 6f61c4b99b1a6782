"""HTTP/1.1 client connections and a pool per address, over asyncio and h11."""

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
    """Bound the connections to one address.

    A pooled connection that has been idle for longer than ``max_idle_non_idempotent_s`` carries no
    non-idempotent request.
    """

    max_connections: int = 64
    max_idle: int = 8
    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 30.0
    max_idle_non_idempotent_s: float = 0.05
    max_response_bytes: int = 16 * 1024 * 1024


@dataclass(slots=True)
class _Lane:
    """Hold the connections to one address."""

    idle: deque[ClientConnection] = field(default_factory=deque)
    in_use: int = 0
    waiters: deque[asyncio.Future[None]] = field(default_factory=deque)


class HttpPool:
    """Send requests over pooled connections, by address."""

    def __init__(self, limits: PoolLimits | None = None) -> None:
        self._limits = limits or PoolLimits()
        self._lanes_by_address: dict[str, _Lane] = {}
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
        """Send one request, at most once, and return the whole answer.

        ``address`` is ``host:port``. The connection is closed if the answer is not
        complete after ``timeout_s`` seconds or the task is cancelled. Nothing is sent
        once ``send_within_s`` seconds have passed. There is no retry.
        """
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        deadline = called_at + timeout_s
        send_by = called_at + send_within_s
        lane = self._lanes_by_address.setdefault(address, _Lane())
        if lane.in_use < self._limits.max_connections and not lane.waiters:
            lane.in_use += 1
        elif not await self._wait_for_place(lane, min(deadline, send_by)):
            waited_s = min(timeout_s, send_within_s)
            detail = f"no free connection to {address} in {waited_s:.3f} s"
            return Error(HttpFailure(HttpFailureKind.CONNECTION_LIMIT, False, detail))
        connection: ClientConnection | None = None
        try:
            connection = await self._connection(
                address, idempotent, min(deadline, send_by)
            )
            # The process can have been frozen since, so the time is read again.
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
        lane = self._lanes_by_address.get(address)
        if lane is None:
            return
        while lane.idle:
            lane.idle.pop().close()
        if not lane.in_use and not lane.waiters:
            del self._lanes_by_address[address]

    async def close(self) -> None:
        """Close the idle connections; those in use close when their request ends."""
        self._closed = True
        if self._sweep is not None:
            self._sweep.cancel()
        for address in list(self._lanes_by_address):
            self.close_idle_connections(address)
        await asyncio.sleep(0)

    async def _wait_for_place(self, lane: _Lane, deadline: float) -> bool:
        """Wait for a connection in use to be released; False after the deadline."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        lane.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            self._give_up(lane, waiter)
            return False
        except asyncio.CancelledError:
            self._give_up(lane, waiter)
            raise
        return True

    def _give_up(self, lane: _Lane, waiter: asyncio.Future[None]) -> None:
        if waiter.done() and not waiter.cancelled():
            self._pass_on(lane)
        elif waiter in lane.waiters:
            lane.waiters.remove(waiter)

    def _pass_on(self, lane: _Lane) -> None:
        """Give a place to the next waiter or count it free."""
        while lane.waiters:
            waiter = lane.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        lane.in_use -= 1

    def _release(self, address: str, connection: ClientConnection | None) -> None:
        lane = self._lanes_by_address[address]
        if connection is not None:
            if connection.reusable and not self._closed:
                lane.idle.append(connection)
            else:
                connection.close()
        self._pass_on(lane)
        self._trim(address, lane)
        if lane.idle:
            self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        if self._sweep is None and not self._closed:
            delay_s = self._limits.idle_timeout_s
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(delay_s, self._close_idle)

    def _close_idle(self) -> None:
        self._sweep = None
        for address, lane in list(self._lanes_by_address.items()):
            self._trim(address, lane)
        if any(lane.idle for lane in self._lanes_by_address.values()):
            self._schedule_sweep()

    def _trim(self, address: str, lane: _Lane) -> None:
        """Close connections that were idle for too long, or are too many."""
        oldest = asyncio.get_running_loop().time() - self._limits.idle_timeout_s
        while lane.idle and (
            len(lane.idle) > self._limits.max_idle
            or lane.idle[0].idle_since <= oldest
            or not lane.idle[0].reusable
        ):
            lane.idle.popleft().close()
        if not lane.idle and not lane.in_use and not lane.waiters:
            self._lanes_by_address.pop(address, None)

    async def _connection(
        self, address: str, idempotent: bool, deadline: float
    ) -> ClientConnection:
        lane = self._lanes_by_address[address]
        if lane.idle and not idempotent:
            # Two turns of the loop process a close that has already arrived.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        now = asyncio.get_running_loop().time()
        age_limit = (
            self._limits.idle_timeout_s
            if idempotent
            else self._limits.max_idle_non_idempotent_s
        )
        while lane.idle:
            connection = lane.idle.pop()
            if connection.reusable and now - connection.idle_since <= age_limit:
                return connection
            if idempotent or not connection.reusable:
                connection.close()
                continue
            lane.idle.append(connection)
            break
        # Idle connections count towards the limit of connections to one address.
        while lane.idle and lane.in_use + len(lane.idle) > self._limits.max_connections:
            lane.idle.popleft().close()
        connect_by = min(deadline, now + self._limits.connect_timeout_s)
        return await ClientConnection.open(
            address, connect_by, self._limits.max_response_bytes
        )
