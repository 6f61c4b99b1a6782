"""JSON client of the platform's services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from briarrun_wire.decode import DecodeError, decode_json
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_types import HttpFailure, HttpResponse

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PlatformFailure:
    """Failed call; ``had_no_effect`` means that the server did not execute it."""

    had_no_effect: bool
    detail: str
    status: int | None = None
    reason: str = ""


class _ErrorBody(msgspec.Struct):
    reason: str = ""
    detail: str = ""


class JsonClient:
    """Client of one service that decodes its JSON responses."""

    def __init__(self, address: str, pool: HttpPool) -> None:
        self.address = address
        self._pool = pool

    async def call(
        self,
        method: str,
        target: str,
        response_type: type[T],
        *,
        body: object = None,
        idempotent: bool,
        timeout_s: float,
    ) -> Result[T, PlatformFailure]:
        """Send one request and return the decoded body of a 200 response.

        A 4xx response means that the request had no effect. The effect is unknown after
        a 5xx or malformed response, or if the connection breaks after the first byte
        was sent.
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
                return _decode(response, response_type)
            case Result(error=failure):
                return Error(_platform_failure(failure))


def _platform_failure(failure: HttpFailure) -> PlatformFailure:
    return PlatformFailure(not failure.sent, f"{failure.kind}: {failure.detail}")


def _decode(
    response: HttpResponse, response_type: type[T]
) -> Result[T, PlatformFailure]:
    if response.status != 200:
        return Error(_status_failure(response))
    try:
        return Ok(decode_json(response.body, response_type))
    except DecodeError as error:
        return Error(PlatformFailure(False, f"malformed answer: {error}", 200))


def _status_failure(response: HttpResponse) -> PlatformFailure:
    try:
        body = decode_json(response.body, _ErrorBody)
    except DecodeError:
        body = _ErrorBody()
    had_no_effect = 400 <= response.status < 500
    detail = f"status {response.status}: {body.reason} {body.detail}".strip()
    return PlatformFailure(had_no_effect, detail, response.status, body.reason)
