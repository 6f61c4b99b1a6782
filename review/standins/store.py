"""Stand-in of the platform's log service: keyed topics of one partition."""

from __future__ import annotations

import asyncio
import base64
import struct
from dataclasses import dataclass, field

from standins.http1 import Request, Response, Server

RECORD_BYTES = 262144
"""Largest record, ``recordBytes`` of the settings."""

CALL_BYTES = 2097152
"""Largest sum of the records of one call, ``callBytes`` of the settings."""

ANSWER_S = 0.004
"""Time of an answer, as on the users' sheet."""

PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
REMEMBERED_APPENDS = 5


@dataclass
class _Producer:
    epoch: int = -1
    last: int | None = None
    answers: dict[int, dict] = field(default_factory=dict)


@dataclass
class _Topic:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    producers: dict[str, _Producer] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """Log service on one address; ``refused_sizes`` lists records that are too large."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.refused_sizes: list[int] = []
        self._topics: dict[str, _Topic] = {}

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write as the operator or a worker does."""
        self._add(self._topic(topic), [(key, value or b"")])

    def newest(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key."""
        for each, value in reversed(self._topic(topic).records):
            if each == key:
                return value or None
        return None

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _add(self, topic: _Topic, records: list[tuple[str, bytes]]) -> dict:
        offset = len(topic.records)
        topic.records += records
        changed, topic.changed = topic.changed, asyncio.Event()
        changed.set()
        return {"offset": offset, "end": len(topic.records)}

    async def _handle(self, request: Request) -> Response | None:
        await asyncio.sleep(ANSWER_S)
        topic = self._topic(request.query.get("topic", ""))
        if request.path == "/-/log-append":
            return self._append(topic, request)
        if request.path == "/-/log-read":
            return await self._read(topic, request.query)
        if request.path == "/-/log-newest":
            return self._newest(topic, request.query.get("after"))
        return Response.of_json(404, {})

    def _append(self, topic: _Topic, request: Request) -> Response:
        query, body = request.query, request.body
        records, sizes = _decode(body)
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > CALL_BYTES:
            self.refused_sizes.append(max(sizes))
            return Response.of_json(413, {"reason": "size"})
        producer = None
        if "producer" in query:
            producer = topic.producers.setdefault(query["producer"], _Producer())
            epoch = int(query["epoch"])
            if epoch < producer.epoch:
                return Response.of_json(409, {"reason": "fenced"})
            if epoch > producer.epoch:
                producer.epoch, producer.last = epoch, None
                producer.answers.clear()
            if records:
                sequence = int(query["sequence"])
                if sequence in producer.answers:
                    return Response.of_json(200, producer.answers[sequence])
                if producer.last is not None and sequence != producer.last + 1:
                    expected = {"reason": "seq", "sequence": producer.last + 1}
                    return Response.of_json(409, expected)
        if "at" in query and int(query["at"]) != len(topic.records):
            return Response.of_json(412, {"end": len(topic.records)})
        answer = self._add(topic, records)
        if producer is not None and records:
            producer.last = int(query["sequence"])
            producer.answers[producer.last] = answer
            producer.answers.pop(producer.last - REMEMBERED_APPENDS, None)
        return Response.of_json(200, answer)

    async def _read(self, topic: _Topic, query: dict[str, str]) -> Response:
        start, wait_s = int(query["from"]), int(query.get("waitMs", "0")) / 1000
        if start >= len(topic.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        most = int(query.get("maxKb", "1024")) * 1024
        parts, size = [], 0
        for key, value in topic.records[start:]:
            record = _encode(key, value)
            if parts and size + len(record) > most:
                break
            parts.append(record)
            size += len(record)
        return Response(200, struct.pack(">QQ", len(topic.records), 0) + b"".join(parts))

    def _newest(self, topic: _Topic, after: str | None) -> Response:
        last = {key: offset for offset, (key, _) in enumerate(topic.records)}
        items, size, has_more = [], 0, False
        for key in sorted(last):
            value = topic.records[last[key]][1]
            if not value or (after is not None and key <= after):
                continue
            if len(items) >= PAGE_RECORDS or (items and size + len(value) > PAGE_BYTES):
                has_more = True
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": last[key]})
            size += len(value)
        page = {"items": items, "hasMore": has_more, "end": len(topic.records)}
        return Response.of_json(200, page)


def _encode(key: str, value: bytes) -> bytes:
    name = key.encode()
    return struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value


def _decode(body: bytes) -> tuple[list[tuple[str, bytes]], list[int]]:
    """Return the keyed records of a body, and the size of each."""
    records, sizes, position = [], [], 0
    while position + 5 <= len(body):
        length, size = struct.unpack_from(">IB", body, position)
        content = body[position + 5 : position + 4 + length]
        records.append((content[:size].decode(), content[size:]))
        sizes.append(4 + length)
        position += 4 + length
    return records, sizes
