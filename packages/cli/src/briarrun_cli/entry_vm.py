"""HTTP client of entry VMs."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from expression import Result

from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_wire.decode import DecodeError
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_types import OUTCOME_HEADER, HttpResponse


class EntryVm:
    """Client of one entry VM with an optional key."""

    def __init__(
        self,
        address: str,
        pool: HttpPool,
        key: str | None,
        timeout_s: float,
    ) -> None:
        self._address = address
        self._pool = pool
        self._key = key
        self._timeout_s = timeout_s

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: tuple[tuple[str, str], ...] = (),
        idempotent: bool = True,
    ) -> Any:
        """Return the decoded response, or raise ``CommandError`` if it is an error."""
        encoded = b"" if body is None else json.dumps(body).encode()
        response = await self.send(method, path, encoded, headers, idempotent)
        return decode_response(response)

    async def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        idempotent: bool = True,
    ) -> HttpResponse:
        """Return the complete response of any status."""
        key_header = (("Authorization", f"Bearer {self._key}"),) if self._key else ()
        result = await self._pool.request(
            self._address,
            method,
            path,
            headers=(*key_header, *headers),
            body=body,
            idempotent=idempotent,
            timeout_s=self._timeout_s,
        )
        match result:
            case Result(tag="ok", ok=response):
                return response
            case Result(error=failure):
                status = ExitStatus.UNKNOWN if failure.sent else ExitStatus.UNREACHABLE
                message = f"{self._address}: {failure.kind}: {failure.detail}"
                raise CommandError(status, message)


@asynccontextmanager
async def open_entry_vm(
    address: str,
    key: str | None,
    timeout_s: float,
) -> AsyncIterator[EntryVm]:
    """Return a context manager with a client of the entry VM at ``host:port``."""
    pool = HttpPool()
    try:
        yield EntryVm(address, pool, key, timeout_s)
    finally:
        await pool.close()


def decode_response(response: HttpResponse) -> Any:
    """Return the decoded response, or raise ``CommandError`` if it is an error."""
    if 200 <= response.status < 300:
        return _decode(response)
    raise _failure(response)


def _decode(response: HttpResponse) -> Any:
    try:
        return response.json() if response.body else {}
    except DecodeError:
        return {"text": response.body.decode("utf-8", "replace")}


def _failure(response: HttpResponse) -> CommandError:
    data = _decode(response)
    fields = data if isinstance(data, dict) else {}
    outcome = response.header(OUTCOME_HEADER) or fields.get("outcome", "")
    status = {
        "not-run": ExitStatus.NOT_RUN,
        "unknown": ExitStatus.UNKNOWN,
    }.get(outcome, ExitStatus.FAILED)
    reason = fields.get("reason", f"status {response.status}")
    detail = fields.get("detail", "")
    return CommandError(status, f"{outcome or 'failed'}: {reason} {detail}".strip())
