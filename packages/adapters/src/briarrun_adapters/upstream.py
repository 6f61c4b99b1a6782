"""Upstreams, which answer requests."""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec
from expression import Result

from briarrun_adapters.platform import JsonClient, PlatformFailure
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_types import (
    REQUEST_ID_HEADER,
    START_BY_HEADER,
    HttpFailure,
    HttpResponse,
)


class UpstreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an upstream as of ``taken_at`` (wall-clock seconds)."""

    slots: int
    connections: int
    active: int
    draining: bool
    taken_at: float


class UpstreamClient(ABC):
    """Speak to upstreams; ``address`` is the upstream's ``host:port``."""

    @abstractmethod
    async def send(
        self,
        address: str,
        request_id: str,
        body: bytes,
        *,
        path: str = "/",
        content_type: str = "application/octet-stream",
        start_by_wall: float,
        send_within_s: float,
        idempotent: bool,
        timeout_s: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request once and return the whole answer of any status.

        The connection is closed after ``timeout_s`` seconds without the whole answer.
        Nothing is sent once ``send_within_s`` seconds have passed.
        """

    @abstractmethod
    async def status(
        self, address: str, timeout_s: float = 1.0
    ) -> Result[UpstreamStatus, PlatformFailure]:
        """Return the upstream's slots and load."""


class HttpUpstreamClient(UpstreamClient):
    """Speak to upstreams over HTTP."""

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool

    async def send(
        self,
        address: str,
        request_id: str,
        body: bytes,
        *,
        path: str = "/",
        content_type: str = "application/octet-stream",
        start_by_wall: float,
        send_within_s: float,
        idempotent: bool,
        timeout_s: float,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request once and return the whole answer of any status."""
        headers = [
            ("Content-Type", content_type),
            (REQUEST_ID_HEADER, request_id),
            (START_BY_HEADER, f"{start_by_wall:.6f}"),
        ]
        return await self._pool.request(
            address,
            "POST",
            path,
            headers=headers,
            body=body,
            idempotent=idempotent,
            timeout_s=timeout_s,
            send_within_s=send_within_s,
        )

    async def status(
        self, address: str, timeout_s: float = 1.0
    ) -> Result[UpstreamStatus, PlatformFailure]:
        """Return the upstream's slots and load."""
        return await JsonClient(address, self._pool).call(
            "GET", "/v1/status", UpstreamStatus, idempotent=True, timeout_s=timeout_s
        )
