"""The platform's store over HTTP, as one VM reaches it."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Mapping

from briarrun_cell.ports import (
    AppendOutcome,
    AppendResult,
    HistoryTruncated,
    ProducerSequence,
    Record,
    StoreUnavailable,
    Topic,
)
from briarrun_platform import wire
from briarrun_platform.store import NAME_BY_TOPIC, encode_records
from briarrun_wire.http_server import CloseConnection, HttpHandler
from briarrun_wire.http_types import HttpRequest, HttpResponse
from tools.emulator.cell.store import StoreView

TOPIC_BY_NAME = {name: topic for topic, name in NAME_BY_TOPIC.items()}

ANSWER_S = 10.0
"""Time after which an answer that a fault holds back is given up."""

PAGE_RECORDS = 500
"""Newest records on one page."""


class StoreHandler(HttpHandler):
    """Serve one VM's view of the store."""

    def __init__(self, view: StoreView) -> None:
        self.view = view

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to one call, or close the connection without one."""
        topic = TOPIC_BY_NAME.get(request.query.get("topic", ""))
        if topic is None:
            return HttpResponse(400)
        if request.path == wire.APPEND_PATH:
            return await self._append(topic, request)
        if request.path == wire.READ_PATH:
            return await self._read(topic, request.query)
        if request.path == wire.NEWEST_PATH:
            return await self._newest(topic, request.query.get("after", ""))
        return HttpResponse(404)

    async def _append(self, topic: Topic, request: HttpRequest) -> HttpResponse:
        query, producer = request.query, None
        if "producer" in query:
            sequence = int(query.get("sequence", "-1"))
            producer = ProducerSequence(
                query["producer"], int(query["epoch"]), sequence
            )
        at = int(query["at"]) if "at" in query else None
        records = decode_records(request.body)
        result = await self.view.append(
            topic, records, timeout_s=ANSWER_S, at=at, producer=producer
        )
        return _append_response(result)

    async def _read(self, topic: Topic, query: Mapping[str, str]) -> HttpResponse:
        start, wait_s = int(query["from"]), int(query.get("waitMs", "0")) / 1000
        try:
            result = await self.view.read(
                topic, start, wait_s=wait_s, timeout_s=wait_s + ANSWER_S
            )
        except HistoryTruncated:
            return HttpResponse.of_json(410, {"first": start + 1})
        except StoreUnavailable as error:
            return _unavailable(error)
        head = struct.pack(">QQ", result.end, 0)
        return HttpResponse(200, head + encode_records(result.records))

    async def _newest(self, topic: Topic, after: str) -> HttpResponse:
        try:
            result = await self.view.newest(topic, timeout_s=ANSWER_S)
        except StoreUnavailable as error:
            return _unavailable(error)
        records = sorted(
            (record for record in result.records if record.key > after),
            key=lambda record: record.key,
        )
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value or b"").decode(),
                "offset": record.offset,
            }
            for record in records[:PAGE_RECORDS]
        ]
        page = {"items": items, "end": result.end}
        return HttpResponse.of_json(
            200, {**page, "hasMore": len(records) > PAGE_RECORDS}
        )


def _append_response(result: AppendResult) -> HttpResponse:
    if result.outcome is AppendOutcome.DONE:
        body = {"offset": result.offset, "end": result.end}
        return HttpResponse.of_json(200, body)
    if result.outcome is AppendOutcome.CONFLICT:
        return HttpResponse.of_json(412, {"end": result.end})
    if result.outcome is AppendOutcome.FENCED:
        return HttpResponse.of_json(409, {"reason": "fenced"})
    if result.outcome is AppendOutcome.REFUSED:
        return HttpResponse(503)
    raise CloseConnection


def _unavailable(error: StoreUnavailable) -> HttpResponse:
    if isinstance(error.__cause__, asyncio.TimeoutError):
        raise CloseConnection
    return HttpResponse(503)


def decode_records(body: bytes) -> list[Record]:
    """Return the keyed records of an append."""
    records, position = [], 0
    while position + 5 <= len(body):
        length, size = struct.unpack_from(">IB", body, position)
        content = body[position + 5 : position + 4 + length]
        value = content[size:]
        records.append(Record(content[:size].decode(), value or None))
        position += 4 + length
    return records
