"""A linearizable store of keyed topics in memory."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from briarrun_cell.ports import (
    AppendOutcome,
    AppendResult,
    HistoryTruncated,
    ProducerSequence,
    ReadResult,
    Record,
    Store,
    StoreLimits,
    StoreUnavailable,
    Topic,
)


@dataclass
class StoreFaults:
    """Switch faults; shares are probabilities, times are seconds."""

    down: bool = False
    silent: bool = False
    lose_answers: float = 0.0
    late_appends: float = 0.0
    late_s: float = 2.0
    slow_factor: float = 1.0


@dataclass
class _Topic:
    records: list[Record] = field(default_factory=list)
    first: int = 0
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, dict[int, AppendResult]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    busy_until: float = 0.0


MAX_APPEND_QUEUE_S = 2.0
"""Time of waiting appends to a topic above which the store refuses further ones."""


class FakeStore:
    """Hold the topics; each VM reaches them through a ``StoreView``.

    A topic stores one append after the other, each of which takes ``append_s``.
    """

    def __init__(self, rng: random.Random, latency_s: float = 0.004) -> None:
        self.append_s = 0.0
        self.rng = rng
        self.latency_s = latency_s
        self.faults = StoreFaults()
        self.appends = 0
        self.reads = 0
        self._topics = {topic: _Topic() for topic in Topic}

    def put(self, topic: Topic, key: str, value: bytes | None) -> None:
        """Write as the operator or a worker does, without latency or faults."""
        self._add(self._topics[topic], [Record(key, value)])

    def truncate(self, topic: Topic) -> None:
        """Forget the history; the newest record of each key is kept."""
        held = self._topics[topic]
        held.first = len(held.records)

    @property
    def topics(self) -> list[Topic]:
        """Return the topics that the store holds."""
        return list(self._topics)

    def values(self, topic: Topic) -> list[Record]:
        """Return all records ever written."""
        return list(self._topics[topic].records)

    def _add(self, topic: _Topic, records: Sequence[Record]) -> AppendResult:
        offset = len(topic.records)
        for number, record in enumerate(records):
            topic.records.append(Record(record.key, record.value, offset + number))
        changed, topic.changed = topic.changed, asyncio.Event()
        changed.set()
        return AppendResult(AppendOutcome.DONE, offset, len(topic.records))

    async def queue_append(self, name: Topic) -> bool:
        """Wait for the turn of an append; return False if too many wait."""
        topic, now = self._topics[name], asyncio.get_running_loop().time()
        queued_s = max(0.0, topic.busy_until - now)
        if queued_s > MAX_APPEND_QUEUE_S:
            return False
        took_s = self.append_s * self.faults.slow_factor
        topic.busy_until = now + queued_s + took_s
        await asyncio.sleep(queued_s + took_s)
        return True

    def apply(
        self,
        name: Topic,
        records: Sequence[Record],
        at: int | None,
        producer: ProducerSequence | None,
    ) -> AppendResult:
        """Append under the conditions that the call names."""
        topic = self._topics[name]
        if producer is not None:
            epoch = topic.epochs.get(producer.name, -1)
            if producer.epoch < epoch:
                return AppendResult(AppendOutcome.FENCED)
            if producer.epoch > epoch:
                topic.epochs[producer.name] = producer.epoch
                topic.sequences[producer.name] = {}
            answers = topic.sequences[producer.name]
            if records and producer.sequence in answers:
                return answers[producer.sequence]
            if records and answers and producer.sequence != max(answers) + 1:
                return AppendResult(AppendOutcome.REFUSED, detail="sequence")
        if at is not None and at != len(topic.records):
            return AppendResult(AppendOutcome.CONFLICT, end=len(topic.records))
        result = self._add(topic, records)
        if producer is not None and records:
            topic.sequences[producer.name][producer.sequence] = result
        return result

    async def wait(self, topic: Topic, start: int, wait_s: float) -> ReadResult:
        """Return the records from an offset, after a wait for the first."""
        held = self._topics[topic]
        if start < held.first:
            raise HistoryTruncated(topic)
        if start >= len(held.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await held.changed.wait()
            except TimeoutError:
                pass
        if start < held.first:
            raise HistoryTruncated(topic)
        return ReadResult(tuple(held.records[start:]), len(held.records))

    def newest(self, topic: Topic) -> ReadResult:
        """Return the newest record of each key."""
        held = self._topics[topic]
        by_key = {record.key: record for record in held.records}
        kept = [record for record in by_key.values() if record.value is not None]
        kept.sort(key=lambda record: record.offset)
        return ReadResult(tuple(kept), len(held.records))


class StoreView(Store):
    """Reach the store from one VM, which can be cut off, refused or frozen."""

    def __init__(
        self,
        store: FakeStore,
        latency_s: float = 0.0,
        limits: StoreLimits | None = None,
    ) -> None:
        self._store = store
        self.limits = limits or StoreLimits()
        self._latency_s = latency_s
        self.cut = False
        self.refused = False
        self.reads = 0
        self.running = asyncio.Event()
        self.running.set()

    async def _travel(self, timeout_s: float) -> None:
        """Spend the time of one way; never arrive if cut off."""
        await self.running.wait()
        faults = self._store.faults
        if self.cut or faults.silent:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        await asyncio.sleep(
            (self._store.latency_s * faults.slow_factor + self._latency_s) / 2
        )

    async def append(
        self,
        topic: Topic,
        records: Sequence[Record],
        *,
        timeout_s: float,
        at: int | None = None,
        producer: ProducerSequence | None = None,
    ) -> AppendResult:
        """Append all records or none, if the topic ends at ``at``."""
        store, rng = self._store, self._store.rng
        store.appends += 1
        sizes = [record.size for record in records]
        largest, total = max(sizes, default=0), sum(sizes)
        too_large = largest > self.limits.record_bytes
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel(timeout_s)
                if store.faults.down or self.refused:
                    return AppendResult(AppendOutcome.REFUSED, detail="down")
                if too_large or total > self.limits.append_bytes:
                    detail = f"record of {largest} bytes, {total} in total"
                    return AppendResult(AppendOutcome.INVALID, detail=detail)
                if store.append_s:
                    # An append that is waiting takes effect without its caller, too.
                    turn = asyncio.ensure_future(
                        self._append_in_turn(topic, list(records), at, producer)
                    )
                    queued = await asyncio.shield(turn)
                    await self._travel(timeout_s)
                    return queued
                if rng.random() < store.faults.late_appends:
                    asyncio.get_running_loop().call_later(
                        store.faults.late_s, store.apply, topic, records, at, producer
                    )
                    await asyncio.sleep(timeout_s)
                result = store.apply(topic, list(records), at, producer)
                if rng.random() < store.faults.lose_answers:
                    await asyncio.sleep(timeout_s)
                await self._travel(timeout_s)
                return result
        except TimeoutError:
            await self.running.wait()
            return AppendResult(AppendOutcome.UNKNOWN, detail="no answer")

    async def _append_in_turn(
        self,
        topic: Topic,
        records: Sequence[Record],
        at: int | None,
        producer: ProducerSequence | None,
    ) -> AppendResult:
        if not await self._store.queue_append(topic):
            return AppendResult(AppendOutcome.REFUSED, detail="too many appends")
        return self._store.apply(topic, records, at, producer)

    async def read(
        self, topic: Topic, start: int, *, wait_s: float, timeout_s: float
    ) -> ReadResult:
        """Return records from an offset, waiting for the first."""
        self._store.reads += 1
        self.reads += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel(timeout_s)
                if self._store.faults.down or self.refused:
                    raise StoreUnavailable("down")
                result = await self._store.wait(topic, start, wait_s)
                await self._travel(timeout_s)
                return result
        except TimeoutError as error:
            await self.running.wait()
            raise StoreUnavailable("no answer") from error

    async def newest(self, topic: Topic, *, timeout_s: float) -> ReadResult:
        """Return the newest record of each key."""
        self._store.reads += 1
        self.reads += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel(timeout_s)
                if self._store.faults.down or self.refused:
                    raise StoreUnavailable("down")
                result = self._store.newest(topic)
                await self._travel(timeout_s)
                return result
        except TimeoutError as error:
            await self.running.wait()
            raise StoreUnavailable("no answer") from error
