"""HTTP/1.1 client that sends its requests over one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from expression import Error, Ok, Result

from briarrun_wire.http_client import PoolLimits
from briarrun_wire.http_exchange import ClientConnection, ExchangeFailed
from briarrun_wire.http_types import HttpFailure, HttpFailureKind, HttpResponse


class HttpSession:
    """Requests to one process, one after the other over one connection.

    As long as the connection is open, the same process answers.
    """

    def __init__(self, address: str, limits: PoolLimits) -> None:
        self.address = address
        self._limits = limits
        self._connection: ClientConnection | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._requests = 0

    @property
    def unused(self) -> bool:
        """Whether there is neither an open connection nor a request."""
        return not self._requests and not self.connected

    @property
    def connected(self) -> bool:
        """Whether the connection is open and no request is in progress on it."""
        return self._connection is not None and self._connection.reusable

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        timeout_s: float,
        connect: bool,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send one request, at most once, and return the complete response.

        Without ``connect`` nothing is sent unless the connection is still open.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        self._stop_idle_timer()
        self._requests += 1
        try:
            # Two iterations of the event loop process a close that has already arrived.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            if not self.connected:
                if not connect:
                    detail = f"the connection to {self.address} is closed"
                    failure = HttpFailure(HttpFailureKind.CLOSED, False, detail)
                    return Error(failure)
                await self._connect(deadline)
            assert self._connection is not None
            return Ok(
                await self._connection.exchange(
                    self.address, method, target, headers, body, deadline
                )
            )
        except ExchangeFailed as failed:
            return Error(failed.failure)
        finally:
            self._requests -= 1
            self._start_idle_timer()

    def close(self) -> None:
        """Close the connection; the next request may open another."""
        self._stop_idle_timer()
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _connect(self, deadline: float) -> None:
        self.close()
        now = asyncio.get_running_loop().time()
        self._connection = await ClientConnection.open(
            self.address,
            min(deadline, now + self._limits.connect_timeout_s),
            self._limits.max_response_bytes,
        )

    def _start_idle_timer(self) -> None:
        if self.connected:
            loop = asyncio.get_running_loop()
            delay_s = self._limits.idle_timeout_s
            self._idle_timer = loop.call_later(delay_s, self.close)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
