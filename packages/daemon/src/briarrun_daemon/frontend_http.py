"""Parsing of callers' HTTP requests and construction of the responses."""

from __future__ import annotations

import hashlib
import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.model import Outcome, Queue, Urgency
from briarrun_daemon.settings import TimingSettings
from briarrun_wire.http_types import OUTCOME_HEADER, HttpRequest, HttpResponse

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
REQUEST_ID_ANSWER_HEADER = "Briarrun-Request-Id"

STATUS_BY_REASON = {
    RefusalReason.UNKNOWN_QUEUE: 404,
    RefusalReason.UNKNOWN_JOB: 404,
    RefusalReason.KEY_REQUIRED: 401,
    RefusalReason.INVALID_KEY: 401,
    RefusalReason.QUEUE_NOT_ALLOWED: 403,
    RefusalReason.UNKNOWN_TEAM: 403,
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.NEVER_FITS: 400,
    RefusalReason.DUPLICATE_JOB: 409,
    RefusalReason.BODY_TOO_LARGE: 413,
}


@dataclass(frozen=True, slots=True)
class RequestCall:
    """One request of a caller; ``deadline`` is in event loop time.

    ``record_id`` is the id under which a non-idempotent request is recorded. It includes
    the team, so that no team can read the answer to another team's request.
    """

    request_id: str
    record_id: str
    is_generated: bool
    home: str
    queue: str
    team: str
    urgency: Urgency
    idempotent: bool
    deadline: float
    body: bytes
    content_type: str


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's answer as it is stored in a request's record."""

    status: int
    content_type: str
    body: bytes


def bearer_token(request: HttpRequest) -> str | None:
    """Return the bearer token of a request, or None."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else None


def parse_call(
    request: HttpRequest,
    queue: Queue,
    team: str,
    own_domain: str,
    domains: Iterable[str],
    timing: TimingSettings,
    now: float,
) -> Result[RequestCall, Refused]:
    """Parse a request's headers into a call."""
    headers = request.headers
    urgency = headers.get("briarrun-urgency", queue.default_urgency.value)
    if urgency not in Urgency.__members__.values():
        return _invalid(f"Briarrun-Urgency: unknown value {urgency!r}")
    idempotent = headers.get("briarrun-idempotent", "false").lower()
    if idempotent not in ("true", "false"):
        return _invalid("Briarrun-Idempotent: must be true or false")
    deadline_s = _parse_deadline(headers.get("briarrun-deadline-ms"), timing)
    if deadline_s is None:
        max_ms = int(timing.max_deadline_s * 1000)
        return _invalid(f"Briarrun-Deadline-Ms: must be from 1 to {max_ms}")
    caller_id = headers.get("idempotency-key")
    if caller_id is not None and not REQUEST_ID_PATTERN.fullmatch(caller_id):
        return _invalid("Idempotency-Key: 1 to 128 of A-Z a-z 0-9 . _ : -")
    request_id = caller_id or generate_id(own_domain)
    return Ok(
        RequestCall(
            request_id=request_id,
            record_id=record_id_of(request_id, team),
            is_generated=caller_id is None,
            home=home_of(request_id, domains),
            queue=queue.name,
            team=team,
            urgency=Urgency(urgency),
            idempotent=idempotent == "true",
            deadline=now + deadline_s,
            body=request.body,
            content_type=headers.get("content-type", "application/octet-stream"),
        )
    )


def generate_id(domain: str) -> str:
    """Return a new request or job id with the given home domain."""
    return f"{domain}.{secrets.token_hex(12)}"


def record_id_of(request_id: str, team: str) -> str:
    """Return the id under which a team's request is recorded."""
    return f"{request_id}@{team}"


def home_of(request_id: str, domains: Iterable[str]) -> str:
    """Return the domain that keeps a request's record.

    If the id does not name a configured domain, rendezvous hashing selects one, so that
    all front ends choose the same domain.
    """
    names = list(domains)
    prefix, separator, _ = request_id.partition(".")
    if separator and prefix in names:
        return prefix
    return max(
        names, key=lambda name: hashlib.sha256(f"{name}:{request_id}".encode()).digest()
    )


def refuse(refused: Refused, request_id: str = "") -> HttpResponse:
    """Return the response "not run" for a refusal."""
    status = STATUS_BY_REASON.get(refused.reason, 503)
    return not_run(status, refused.reason.value, refused.detail, request_id)


def not_run(status: int, reason: str, detail: str, request_id: str) -> HttpResponse:
    """Return a response with the outcome "not run"."""
    return _outcome(status, Outcome.NOT_RUN, reason, detail, request_id)


def unknown(reason: str, detail: str, request_id: str) -> HttpResponse:
    """Return a response with the outcome "unknown"."""
    return _outcome(504, Outcome.UNKNOWN, reason, detail, request_id)


def done(answer: StoredAnswer, request_id: str) -> HttpResponse:
    """Return an upstream's answer with the outcome "done"."""
    return HttpResponse(
        answer.status,
        answer.body,
        (
            ("Content-Type", answer.content_type),
            *_outcome_headers(Outcome.DONE, request_id),
        ),
    )


def done_without_answer(digest: str, request_id: str) -> HttpResponse:
    """Return the outcome "done" for a request whose answer was too large to store."""
    body = {
        "outcome": Outcome.DONE.value,
        "reason": "answer-not-kept",
        "request_id": request_id,
        "answer_sha256": digest,
    }
    return HttpResponse.of_json(409, body, _outcome_headers(Outcome.DONE, request_id))


def _outcome(
    status: int, outcome: Outcome, reason: str, detail: str, request_id: str
) -> HttpResponse:
    body = {
        "outcome": outcome.value,
        "reason": reason,
        "request_id": request_id,
        "detail": detail,
    }
    return HttpResponse.of_json(status, body, _outcome_headers(outcome, request_id))


def _outcome_headers(outcome: Outcome, request_id: str) -> tuple[tuple[str, str], ...]:
    """Return the headers, without an id from a path that is not valid in a header."""
    headers = ((OUTCOME_HEADER, outcome.value),)
    if REQUEST_ID_PATTERN.fullmatch(request_id) is None:
        return headers
    return (*headers, (REQUEST_ID_ANSWER_HEADER, request_id))


def _parse_deadline(text: str | None, timing: TimingSettings) -> float | None:
    if text is None:
        return timing.default_deadline_s
    if not text.isdecimal() or len(text) > 9:
        return None
    seconds = int(text) / 1000
    return seconds if 0 < seconds <= timing.max_deadline_s else None


def _invalid(detail: str) -> Result[RequestCall, Refused]:
    return Error(Refused(RefusalReason.INVALID_REQUEST, detail))
