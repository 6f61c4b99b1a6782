"""JSON calls to the platform's services and their failures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_types import HttpFailure, HttpResponse

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PlatformFailure:
    """Report a failed call; if ``certain``, it certainly had no effect."""

    had_no_effect: bool
    detail: str
    status: int | None = None
    reason: str = ""


class _ErrorBody(msgspec.Struct):
    reason: str = ""
    detail: str = ""


class JsonClient:
    """Call one service and decode its JSON answers."""

    def __init__(self, address: str, pool: HttpPool) -> None:
        self.address = address
        self._pool = pool

    async def call(
        self,
        method: str,
        target: str,
        answer: type[T],
        *,
        body: object = None,
        idempotent: bool,
        timeout_s: float,
    ) -> Result[T, PlatformFailure]:
        """Send one request and return the typed 200 answer.

        A 4xx answer is a certain failure; 5xx, malformed answers and broken connections
        after the first byte has left are not.
        """
        encoded = b"" if body is None else msgspec.json.encode(body)
        headers = [("Content-Type", "application/json")] if encoded else []
        result = await self._pool.request(
            self.address,
            method,
            target,
            headers=headers,
            body=encoded,
            idempotent=idempotent,
            timeout_s=timeout_s,
        )
        match result:
            case Result(tag="ok", ok=response):
                return _decode(response, answer)
            case Result(error=failure):
                return Error(_failure_of(failure))


def _failure_of(failure: HttpFailure) -> PlatformFailure:
    return PlatformFailure(not failure.sent, f"{failure.kind}: {failure.detail}")


def _decode(response: HttpResponse, answer: type[T]) -> Result[T, PlatformFailure]:
    if response.status != 200:
        return Error(_status_failure(response))
    try:
        return Ok(msgspec.json.decode(response.body, type=answer))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(PlatformFailure(False, f"malformed answer: {error}", 200))


def _status_failure(response: HttpResponse) -> PlatformFailure:
    try:
        body = msgspec.json.decode(response.body, type=_ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        body = _ErrorBody()
    had_no_effect = 400 <= response.status < 500
    detail = f"status {response.status}: {body.reason} {body.detail}".strip()
    return PlatformFailure(had_no_effect, detail, response.status, body.reason)
