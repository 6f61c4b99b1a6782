"""The append-only log service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any

import msgspec
from expression import Error, Ok, Result

from briarrun_adapters.platform import JsonClient, PlatformFailure
from briarrun_wire.http_client import HttpPool


class LogEntry(msgspec.Struct, frozen=True):
    """Hold a record, still undecoded, and its offset."""

    offset: int
    record: dict[str, Any]


class LogPage(msgspec.Struct, frozen=True):
    """Hold the answer to a read.

    ``first`` is the oldest retained offset, ``next`` the offset after the last appended
    record; ``records`` can end before ``next``.
    """

    first: int
    next: int
    records: tuple[LogEntry, ...] = ()

    @property
    def read_to(self) -> int | None:
        """Return the offset to continue at, or None if no record was returned."""
        return self.records[-1].offset + 1 if self.records else None


class _Appended(msgspec.Struct, frozen=True):
    offsets: tuple[int, ...]


class LogService(ABC):
    """Append to and read the fleet's log."""

    @abstractmethod
    async def append(
        self, records: Sequence[dict[str, Any]], timeout_s: float = 1.0
    ) -> Result[tuple[int, ...], PlatformFailure]:
        """Append records in order and return their offsets.

        A failure with ``certain`` set had no effect; any other may have had one, and
        only reading the log resolves it.
        """

    @abstractmethod
    async def read(
        self,
        from_offset: int,
        limit: int = 1000,
        wait_s: float = 0.0,
        timeout_s: float = 1.0,
    ) -> Result[LogPage, PlatformFailure]:
        """Return records from an offset, waiting up to ``wait_s`` for the first.

        ``timeout_s`` counts from the end of the wait.
        """


class HttpLogService(LogService):
    """Speak to the log service over HTTP."""

    def __init__(self, address: str, pool: HttpPool) -> None:
        self._caller = JsonClient(address, pool)

    async def append(
        self, records: Sequence[dict[str, Any]], timeout_s: float = 1.0
    ) -> Result[tuple[int, ...], PlatformFailure]:
        """Append records in order and return their offsets."""
        reply = await self._caller.call(
            "POST",
            "/v1/append",
            _Appended,
            body={"records": records},
            idempotent=False,
            timeout_s=timeout_s,
        )
        match reply:
            case Result(tag="ok", ok=appended):
                if len(appended.offsets) != len(records):
                    return Error(PlatformFailure(False, "offsets do not match records"))
                return Ok(appended.offsets)
            case Result(error=failure):
                return Error(failure)

    async def read(
        self,
        from_offset: int,
        limit: int = 1000,
        wait_s: float = 0.0,
        timeout_s: float = 1.0,
    ) -> Result[LogPage, PlatformFailure]:
        """Return records from an offset, waiting up to ``wait_s`` for the first."""
        wait_ms = int(wait_s * 1000)
        return await self._caller.call(
            "GET",
            f"/v1/read?from={from_offset}&max={limit}&wait_ms={wait_ms}",
            LogPage,
            idempotent=True,
            timeout_s=wait_s + timeout_s,
        )
