"""HTTP types shared by server and client: requests, responses, limits, failures."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from briarrun_wire.decode import decode_json

OUTCOME_HEADER = "Briarrun-Outcome"
REQUEST_ID_HEADER = "Briarrun-Request-Id"
START_BY_HEADER = "Briarrun-Start-By"


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Received request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    client: str = ""

    def json(self) -> Any:
        """Decode the JSON body, or raise ``DecodeError``."""
        return decode_json(self.body, Any)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Response; length and connection headers are added when it is sent."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        """Return the value of the first header with that name, ignoring case."""
        lowered = name.lower()
        return next((v for n, v in self.headers if n.lower() == lowered), None)

    def json(self) -> Any:
        """Decode the JSON body, or raise ``DecodeError``."""
        return decode_json(self.body, Any)

    @classmethod
    def of_json(
        cls, status: int, body: object, headers: tuple[tuple[str, str], ...] = ()
    ) -> HttpResponse:
        """Return a response with a JSON body."""
        typed = (("Content-Type", "application/json"), *headers)
        return cls(status, msgspec.json.encode(body), typed)

    @classmethod
    def of_error(
        cls, status: int, reason: str, detail: str, outcome: str = "not-run"
    ) -> HttpResponse:
        """Return an error response with a machine-readable reason and outcome."""
        body = {"outcome": outcome, "reason": reason, "detail": detail}
        return cls.of_json(status, body, ((OUTCOME_HEADER, outcome),))


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the size and duration of requests.

    ``write_buffer_bytes`` is the unsent part of answers above which a connection's next
    request waits.
    """

    max_header_bytes: int = 16 * 1024
    max_headers: int = 64
    max_body_bytes: int = 1024 * 1024
    header_timeout_s: float = 5.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 30.0
    write_buffer_bytes: int = 64 * 1024
    max_connections: int = 4096


class HttpFailureKind(StrEnum):
    """Cause of a failed client request."""

    CONNECT_FAILED = "connect-failed"
    CONNECTION_LIMIT = "connection-limit"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    MALFORMED = "malformed"
    MISMATCHED = "mismatched"
    TOO_LARGE = "too-large"


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Client request without a complete response.

    ``sent`` is false if no byte of the request was sent, so that it had no effect.
    ``connection_refused`` tells that no process listens at the address.
    """

    kind: HttpFailureKind
    sent: bool
    detail: str = ""
    connection_refused: bool = False
