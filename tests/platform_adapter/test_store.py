"""Guard the wire format of the store and what its answers are taken to mean."""

from __future__ import annotations

import json
import struct

import pytest

from briarrun_cell.ports import (
    AppendOutcome,
    HistoryTruncated,
    ProducerSequence,
    Record,
    StoreUnavailable,
    Topic,
)
from briarrun_platform.client import PlatformClient
from briarrun_platform.store import PlatformStore, decode_read, encode_records
from briarrun_wire.http_server import CloseConnection, HttpHandler, HttpServer
from briarrun_wire.http_types import HttpRequest, HttpResponse


def test_records_survive_the_wire() -> None:
    """Guards against keys, values or offsets that change on the way."""
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
def test_cut_read_is_no_answer(kept: int) -> None:
    """Guards against a cut answer taken for the end of the topic."""
    body = struct.pack(">QQ", 1, 0) + encode_records([Record("key", b"value")])
    with pytest.raises(StoreUnavailable):
        decode_read(body[:kept], 0)


class _Scripted(HttpHandler):
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
async def test_append_answers(
    status: int, body: dict[str, object], outcome: AppendOutcome
) -> None:
    """Guards against an answer that is taken for another outcome."""
    handler = _Scripted(status, json.dumps(body).encode())
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


async def test_lost_answer_is_unknown_and_refused_connection_is_not() -> None:
    """Guards against a lost answer that is taken for a refusal."""
    handler = _Scripted(200, lost=True)
    server = HttpServer(handler)
    await server.start()
    store = PlatformStore(PlatformClient(), server.address)
    lost = await store.append(Topic.JOBS, [], timeout_s=1.0)
    await server.close()
    refused = await store.append(Topic.JOBS, [], timeout_s=1.0)
    assert lost.outcome is AppendOutcome.UNKNOWN
    assert refused.outcome is AppendOutcome.REFUSED


async def test_truncated_history_is_told_apart() -> None:
    """Guards against a reader that repeats a read which can never succeed."""
    server = HttpServer(_Scripted(410, b'{"first": 9}'))
    await server.start()
    store = PlatformStore(PlatformClient(), server.address)
    with pytest.raises(HistoryTruncated):
        await store.read(Topic.JOBS, 3, wait_s=0.1, timeout_s=1.0)
    await server.close()
