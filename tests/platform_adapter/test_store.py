"""Tests of the store's wire format and of the interpretation of its responses."""

from __future__ import annotations

import json
import struct

import pytest

from briarrun_cell.ports import (
    AppendOutcome,
    HistoryTruncated,
    ProducerSequence,
    Record,
    StoreLimits,
    StoreUnavailable,
    Topic,
)
from briarrun_platform.client import PlatformClient
from briarrun_platform.store import (
    MAX_READ_KIB,
    PlatformStore,
    decode_read,
    encode_records,
)
from briarrun_wire.http_server import CloseConnection, HttpHandler, HttpServer
from briarrun_wire.http_types import HttpRequest, HttpResponse


def test_records_round_trip() -> None:
    """Guards against keys, values or offsets changed by encoding and decoding."""
    records = [Record("k1", b"one"), Record("key-2", None), Record("ü", b"\x00\xff")]
    body = struct.pack(">QQ", 45, 7) + encode_records(records)
    result = decode_read(body, 42)
    assert result.end == 45
    assert [(r.key, r.value, r.offset) for r in result.records] == [
        ("k1", b"one", 42),
        ("key-2", None, 43),
        ("ü", b"\x00\xff", 44),
    ]


@pytest.mark.parametrize("kept", [0, 10, 22, 26])
def test_truncated_read_is_an_error(kept: int) -> None:
    """Guards against a truncated response being treated as the end of the topic."""
    body = struct.pack(">QQ", 1, 0) + encode_records([Record("key", b"value")])
    with pytest.raises(StoreUnavailable):
        decode_read(body[:kept], 0)


class _ScriptedHandler(HttpHandler):
    def __init__(self, status: int, body: bytes = b"", lost: bool = False) -> None:
        self._response = HttpResponse(status, body)
        self._lost = lost
        self.requests: list[HttpRequest] = []

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        if self._lost:
            raise CloseConnection
        return self._response


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (200, {"offset": 4, "end": 6}, AppendOutcome.DONE),
        (412, {"end": 9}, AppendOutcome.CONFLICT),
        (409, {"reason": "fenced"}, AppendOutcome.FENCED),
        (409, {"reason": "seq", "sequence": 3}, AppendOutcome.REFUSED),
        (429, {}, AppendOutcome.REFUSED),
        (503, {}, AppendOutcome.REFUSED),
        (507, {}, AppendOutcome.REFUSED),
        (500, {}, AppendOutcome.REFUSED),
    ],
)
async def test_append_outcomes(
    status: int, body: dict[str, object], outcome: AppendOutcome
) -> None:
    """Guards against a response being mapped to the wrong outcome."""
    handler = _ScriptedHandler(status, json.dumps(body).encode())
    server = HttpServer(handler)
    await server.start()
    store = PlatformStore(PlatformClient(), server.address)
    result = await store.append(
        Topic.JOBS,
        [Record("k", b"v")],
        timeout_s=1.0,
        at=3,
        producer=ProducerSequence("holder", 5, 2),
    )
    await server.close()
    assert result.outcome is outcome
    assert handler.requests[0].query == {
        "topic": "keyed.jobs",
        "part": "0",
        "at": "3",
        "producer": "holder",
        "epoch": "5",
        "sequence": "2",
    }


async def test_lost_response_is_unknown_and_refused_connection_is_not() -> None:
    """Guards against a lost response being treated as a refusal."""
    handler = _ScriptedHandler(200, lost=True)
    server = HttpServer(handler)
    await server.start()
    store = PlatformStore(PlatformClient(), server.address)
    lost = await store.append(Topic.JOBS, [], timeout_s=1.0)
    await server.close()
    refused = await store.append(Topic.JOBS, [], timeout_s=1.0)
    assert lost.outcome is AppendOutcome.UNKNOWN
    assert refused.outcome is AppendOutcome.REFUSED


async def test_read_of_truncated_history_raises() -> None:
    """Guards against endless retries of a read of records no longer retained."""
    server = HttpServer(_ScriptedHandler(410, b'{"first": 9}'))
    await server.start()
    store = PlatformStore(PlatformClient(), server.address)
    with pytest.raises(HistoryTruncated):
        await store.read(Topic.JOBS, 3, wait_s=0.1, timeout_s=1.0)
    await server.close()


def test_largest_record_fits_into_one_read() -> None:
    """Guards against an accepted job whose record no reader of the topic ever gets."""
    store = PlatformStore(PlatformClient(), "127.0.0.1:1", StoreLimits(10**9, 10**9))
    record = Record("j/1", b"x" * (store.limits.record_bytes - len("j/1") - 5))
    assert record.size == store.limits.record_bytes
    response = encode_records([record])
    assert 16 + len(response) <= MAX_READ_KIB * 1024
