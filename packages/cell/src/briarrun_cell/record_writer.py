"""Write accepted and cancelled jobs to the store, several per append."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from briarrun_cell.clock import Clock
from briarrun_cell.ports import AppendOutcome, Record, Store, Topic

APPEND_TIMEOUT_S = 0.75
"""Time after which an append counts as unanswered and is sent again; a slow store needs
half a second for one append of each VM."""

RETRY_S = 0.05
"""Pause before a refused append is sent again."""

MAX_BATCH = 200
"""Records of one append."""


class WriteOutcome(StrEnum):
    """Name what a caller may be told of its write."""

    STORED = "stored"
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Pending:
    record: Record
    refused_until: float
    unsettled_until: float
    answer: asyncio.Future[WriteOutcome]
    maybe_stored: bool = False


class RecordWriter:
    """Append records in batches, one at a time, and tell each writer the outcome.

    Answers the load in which the store is slow: it takes the appends of a topic one
    after the other, so that fewer and larger ones keep its queue short.

    A record that may have been stored is sent again until an answer proves it, since a
    repeat changes nothing. It is never reported as not stored.
    """

    def __init__(
        self, store: Store, clock: Clock, last_answer_at: Callable[[], float]
    ) -> None:
        self._store = store
        self._clock = clock
        self._last_answer_at = last_answer_at
        self._unanswered_at = float("-inf")
        self._queue: list[_Pending] = []
        self._wake = asyncio.Event()

    async def write(
        self, record: Record, refused_s: float, unsettled_s: float
    ) -> WriteOutcome:
        """Store one record.

        A refused write is tried again for ``refused_s`` seconds, one that may have
        been stored for ``unsettled_s``. Nothing is sent, and the record is certainly
        not stored, while the store has answered nothing since an append was lost.
        """
        if self._last_answer_at() < self._unanswered_at:
            return WriteOutcome.NOT_STORED
        answer: asyncio.Future[WriteOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        now = self._clock.now()
        self._queue.append(_Pending(record, now + refused_s, now + unsettled_s, answer))
        self._wake.set()
        return await answer

    async def run(self) -> None:
        """Serve writers until cancelled."""
        while True:
            while not self._queue:
                self._wake.clear()
                await self._wake.wait()
            batch, self._queue = self._queue[:MAX_BATCH], self._queue[MAX_BATCH:]
            await self._send(batch)

    async def _send(self, batch: list[_Pending]) -> None:
        sent_at = self._clock.now()
        result = await self._store.append(
            Topic.JOBS,
            [pending.record for pending in batch],
            timeout_s=APPEND_TIMEOUT_S,
        )
        if result.outcome is AppendOutcome.DONE:
            for pending in batch:
                _settle(pending, WriteOutcome.STORED)
            return
        if result.outcome is AppendOutcome.UNKNOWN:
            # An answer to a call sent earlier may still arrive just after the append.
            self._unanswered_at = sent_at + APPEND_TIMEOUT_S / 2
        again = []
        for pending in batch:
            if result.outcome is AppendOutcome.UNKNOWN:
                pending.maybe_stored = True
            maybe = pending.maybe_stored
            until = pending.unsettled_until if maybe else pending.refused_until
            if self._clock.now() < until:
                again.append(pending)
            else:
                _settle(
                    pending, WriteOutcome.UNKNOWN if maybe else WriteOutcome.NOT_STORED
                )
        if again:
            await asyncio.sleep(RETRY_S)
            self._queue = again + self._queue
            self._wake.set()


def _settle(pending: _Pending, outcome: WriteOutcome) -> None:
    if not pending.answer.done():
        pending.answer.set_result(outcome)
