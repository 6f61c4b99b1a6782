"""Tests of the HTTP API for callers, with the front end over a fake cell."""

from __future__ import annotations

import asyncio
import json

import pytest

from briarrun_cell.clock import LoopClock
from briarrun_cell.metrics import Metrics
from briarrun_platform.callers import CallerHandler
from briarrun_wire.http_types import HttpRequest, HttpResponse
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell

pytestmark = pytest.mark.looptime

BODY = json.dumps({"steps": [{"count": 1, "cpu": 10, "estimatedMs": 50}]}).encode()
JOB = "00000000000000ab"


async def _call(
    cell: FakeCell,
    method: str,
    path: str,
    body: bytes = b"",
    key: str | None = "key-roster",
    host: str = "h:80",
    deadline: str | None = None,
) -> HttpResponse:
    core = cell.vms_by_name["vm0"].core
    assert core is not None
    handler = CallerHandler(core.frontend, LoopClock(), Metrics())
    headers = {"host": host}
    if key is not None:
        headers["authorization"] = f"Bearer {key}"
    if deadline is not None:
        headers["request-deadline"] = deadline
    return await handler.handle(HttpRequest(method, path, {}, headers, body))


@pytest.mark.parametrize(
    ("method", "path", "key", "body", "status"),
    [
        ("POST", f"/urgent/{JOB}", "key-roster", BODY, 200),
        ("POST", f"/urgent/{JOB}", "other", BODY, 401),
        ("POST", f"/urgent/{JOB}", None, BODY, 401),
        ("POST", f"/nowhere/{JOB}", "key-roster", BODY, 404),
        ("POST", "/urgent/short", "key-roster", BODY, 400),
        ("POST", f"/urgent/{JOB}", "key-roster", b"{", 400),
        ("POST", f"/urgent/{JOB}", "key-roster", b'{"x":' + b"[" * 100_000, 400),
        ("POST", f"/urgent/{JOB}", "key-roster", b'{"steps":[{"count":5000000}]}', 400),
        ("PUT", f"/urgent/{JOB}", "key-roster", BODY, 400),
        ("GET", f"/urgent/{JOB}", "key-roster", b"", 410),
        ("DELETE", f"/urgent/{JOB}", "key-roster", b"", 410),
        ("GET", "/urgent/", "key-roster", b"", 200),
        ("POST", "/urgent/", "key-roster", BODY, 400),
    ],
)
@with_cell()
async def test_statuses(
    cell: FakeCell, method: str, path: str, key: str | None, body: bytes, status: int
) -> None:
    """Guards against a wrong status for a request."""
    await asyncio.sleep(0.5)
    cell.fleet.specs_by_id[JOB] = cell.spec()
    response = await _call(cell, method, path, body, key)
    assert response.status == status


@with_cell()
async def test_refusals_have_retry_after(cell: FakeCell) -> None:
    """Guards against a refusal without Retry-After and checks of keys by stale data."""
    cell.store.faults.silent = True
    await asyncio.sleep(3.0)
    response = await _call(cell, "POST", f"/urgent/{JOB}", BODY)
    assert response.status == 503
    assert response.header("Retry-After") == "1"
    await asyncio.sleep(3.0)
    response = await _call(cell, "GET", f"/urgent/{JOB}")
    assert response.status == 503


@with_cell()
async def test_write_with_unknown_outcome_is_neither_accepted_nor_refused(
    cell: FakeCell,
) -> None:
    """Guards against "not run" for a job whose write was lost and that may run."""
    await asyncio.sleep(0.5)
    cell.store.faults.lose_answers = 1.0
    cell.fleet.specs_by_id[JOB] = cell.spec()
    response = await _call(cell, "POST", f"/urgent/{JOB}", BODY)
    assert response.status == 504
    cell.store.faults.lose_answers = 0.0
    assert (await _call(cell, "POST", f"/urgent/{JOB}", BODY)).status == 200


@with_cell()
async def test_withdrawn_key_is_refused(cell: FakeCell) -> None:
    """Guards against a key that is still accepted after it was withdrawn."""
    cell.publish(customers=("stalls",))
    await asyncio.sleep(0.2)
    response = await _call(cell, "POST", f"/urgent/{JOB}", BODY)
    assert response.status == 401


@pytest.mark.parametrize(
    ("deadline", "answer_after_s"),
    [("1500", 1.3), ("200", 0.1), (None, 2.8), ("soon", 2.8), ("-1", 2.8)],
)
@with_cell()
async def test_unknown_outcome_is_reported_just_before_the_deadline(
    cell: FakeCell, deadline: str | None, answer_after_s: float
) -> None:
    """Guards against 504 while the caller still waits, and against none in time."""
    await asyncio.sleep(1.0)
    cell.store.faults.lose_answers = 1.0
    began_at = asyncio.get_running_loop().time()
    response = await _call(cell, "POST", f"/urgent/{JOB}", BODY, deadline=deadline)
    assert response.status == 504
    took_s = asyncio.get_running_loop().time() - began_at
    assert took_s == pytest.approx(answer_after_s, abs=0.05)
