"""Batched writes of submitted and cancelled jobs to the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from briarrun_cell.batches import halves, take_batch
from briarrun_cell.clock import Clock
from briarrun_cell.ports import AppendOutcome, Record, Store, Topic

APPEND_TIMEOUT_S = 0.75
"""Timeout of an append, after which it is repeated. A slow store needs 0.5 s for one
append of each VM."""

RETRY_S = 0.05
"""Pause before an append that failed is repeated."""

MAX_BATCH = 200
"""Maximum number of records per append."""


class WriteOutcome(StrEnum):
    """Outcome of a write as reported to the caller.

    After ``UNREACHABLE`` nothing was sent, since the store is silent. A ``REJECTED``
    record is not stored and never will be, e.g. since it is too large.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _PendingWrite:
    record: Record
    retry_refused_until: float
    retry_in_doubt_until: float
    answer: asyncio.Future[WriteOutcome]
    maybe_stored: bool = False


class RecordWriter:
    """Appends records in batches and returns the outcome of each write.

    Only one append is in flight at a time. The store processes the appends of a topic
    sequentially, so batching keeps its queue short when it is slow.

    Writes are idempotent. A record that may have been stored is therefore sent again
    until the store confirms it, and is never reported as ``NOT_STORED``.
    """

    def __init__(
        self, store: Store, clock: Clock, last_answer_at: Callable[[], float]
    ) -> None:
        self._store = store
        self._clock = clock
        self._last_answer_at = last_answer_at
        self._unanswered_at = float("-inf")
        self._queue: list[_PendingWrite] = []
        self._wake = asyncio.Event()

    async def write(
        self,
        record: Record,
        retry_refused_s: float,
        retry_in_doubt_s: float,
        *,
        maybe_stored: bool = False,
    ) -> WriteOutcome:
        """Store one record and return the outcome.

        A refused write is retried for ``retry_refused_s`` seconds, a write that may
        have been stored for ``retry_in_doubt_s`` seconds. Returns ``UNREACHABLE`` without
        sending anything if the last append timed out and the store has not answered
        any read since. ``maybe_stored`` tells that an earlier attempt may have stored
        the record, which is then never reported as ``NOT_STORED``.
        """
        if self._last_answer_at() < self._unanswered_at:
            return WriteOutcome.UNKNOWN if maybe_stored else WriteOutcome.UNREACHABLE
        answer: asyncio.Future[WriteOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        now = self._clock.now()
        self._queue.append(
            _PendingWrite(
                record,
                now + retry_refused_s,
                now + retry_in_doubt_s,
                answer,
                maybe_stored,
            )
        )
        self._wake.set()
        return await answer

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            while not self._queue:
                self._wake.clear()
                await self._wake.wait()
            limit = self._store.limits.append_bytes
            batch = take_batch(
                self._queue, lambda pending: pending.record.size, limit, MAX_BATCH
            )
            del self._queue[: len(batch)]
            await self._send(batch)

    async def _send(self, batch: list[_PendingWrite]) -> None:
        sent_at = self._clock.now()
        result = await self._store.append(
            Topic.JOBS,
            [pending.record for pending in batch],
            timeout_s=APPEND_TIMEOUT_S,
        )
        if result.outcome is AppendOutcome.DONE:
            for pending in batch:
                _complete(pending, WriteOutcome.STORED)
            return
        if result.outcome is AppendOutcome.INVALID:
            if len(batch) == 1:
                _complete(batch[0], WriteOutcome.REJECTED)
            else:
                for half in halves(batch):
                    await self._send(half)
            return
        if result.outcome is AppendOutcome.UNKNOWN:
            # The answer to an earlier call may still arrive shortly after this append
            # was sent, and proves nothing about the store's present state.
            self._unanswered_at = sent_at + APPEND_TIMEOUT_S / 2
        retries = []
        for pending in batch:
            if result.outcome is AppendOutcome.UNKNOWN:
                pending.maybe_stored = True
            in_doubt = pending.maybe_stored
            until = (
                pending.retry_in_doubt_until
                if in_doubt
                else pending.retry_refused_until
            )
            if self._clock.now() < until:
                retries.append(pending)
            else:
                _complete(
                    pending,
                    WriteOutcome.UNKNOWN if in_doubt else WriteOutcome.NOT_STORED,
                )
        if retries:
            await asyncio.sleep(RETRY_S)
            self._queue = retries + self._queue
            self._wake.set()


def _complete(pending: _PendingWrite, outcome: WriteOutcome) -> None:
    if not pending.answer.done():
        pending.answer.set_result(outcome)
