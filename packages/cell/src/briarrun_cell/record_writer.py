"""Batched writes of submitted and cancelled jobs to the store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from briarrun_cell.batches import halves, take_batch
from briarrun_cell.clock import Clock
from briarrun_cell.decisions.store_silence import SILENT_AFTER_S
from briarrun_cell.ports import AppendOutcome, AppendResult, Record, Store, Topic
from briarrun_cell.store_monitor import StoreMonitor

APPEND_TIMEOUT_S = 0.75
"""Timeout of an append, after which it is repeated. A slow store needs 0.5 s for one
append of each VM."""

RETRY_S = 0.05
"""Pause before an append that failed is repeated."""

MAX_BATCH = 200
"""Maximum number of records per append."""

MAX_UNHEARD_S = 0.25
"""Time without an answer of the store after which a write is sent only once the store
has answered a call that changes nothing. The outcome of a write that is sent into a
silence is unknown."""

REVIEW_S = 0.05
"""Interval at which a writer whose append is under way checks for a silent store."""

RETURN_S = 1.0
"""Time after the return of the store for which records of urgent queues go first."""


class WriteOutcome(StrEnum):
    """Outcome of a write as reported to the caller.

    After ``UNREACHABLE`` nothing was sent, since the store is silent. A ``REJECTED``
    record is not stored and never will be, e.g. since it is too large. ``OVERLOAD`` and
    ``NEVER_RUNS`` are refusals of the holder, which has not stored the record; see
    ``AdmissionControl``.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    OVERLOAD = "overload"
    NEVER_RUNS = "never-runs"

    @property
    def is_final(self) -> bool:
        """Whether the outcome is known, and that of another attempt would be the same."""
        return self not in (WriteOutcome.NOT_STORED, WriteOutcome.UNKNOWN)


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a submission; a refusal of the holder has a reason.

    ``retry_after_s`` is the time after which the holder may admit the job.
    """

    outcome: WriteOutcome
    retry_after_s: int | None = None
    reason: str = ""


@dataclass(slots=True, eq=False)
class _PendingWrite:
    """Write that waits for its outcome.

    ``maybe_stored`` tells that it has been sent, and that no answer has shown that this
    attempt failed.
    """

    record: Record
    retry_refused_until: float
    priority: int
    answer: asyncio.Future[WriteOutcome]
    maybe_stored: bool = False
    in_flight: bool = False


class RecordWriter:
    """Appends records in batches and returns the outcome of each write.

    Only one append is in flight at a time. The store processes the appends of a topic
    sequentially, so batching keeps its queue short when it is slow.

    Writes are idempotent. A record that may have been stored is therefore sent again
    until the store confirms it, and is never reported as ``NOT_STORED``.

    While the store is silent, nothing is sent. Writes that were never sent are reported
    as ``UNREACHABLE``; those that may have been stored wait for the return of the store.
    """

    def __init__(self, store: Store, clock: Clock, monitor: StoreMonitor) -> None:
        self._store = store
        self._clock = clock
        self._monitor = monitor
        self._queue: list[_PendingWrite] = []
        self._wake = asyncio.Event()

    async def write(
        self,
        record: Record,
        retry_refused_s: float,
        settle_s: float,
        *,
        priority: int = 0,
        maybe_stored: bool = False,
    ) -> WriteOutcome:
        """Store one record and return the outcome within ``settle_s`` seconds.

        A refused write is retried for ``retry_refused_s`` seconds, a write that may
        have been stored as long as there is time. ``maybe_stored`` tells that an earlier
        attempt may have stored the record, which is then never reported as
        ``NOT_STORED`` or ``UNREACHABLE``.
        """
        if self._monitor.is_silent() and not maybe_stored:
            return WriteOutcome.UNREACHABLE
        pending = _PendingWrite(
            record,
            self._clock.now() + retry_refused_s,
            priority,
            asyncio.get_running_loop().create_future(),
            maybe_stored,
        )
        self._queue.append(pending)
        self._wake.set()
        try:
            async with asyncio.timeout(settle_s):
                return await pending.answer
        except TimeoutError:
            sent = pending.maybe_stored or pending.in_flight
            return WriteOutcome.UNKNOWN if sent else WriteOutcome.NOT_STORED

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            # Nobody waits any longer for the answer of a write that is done.
            self._queue = [each for each in self._queue if not each.answer.done()]
            if not self._queue:
                self._wake.clear()
                await self._wake.wait()
            elif await self._store_answers():
                await self._send(self._take_batch())
            else:
                self._refuse_unsent()
                await asyncio.sleep(REVIEW_S)

    async def _store_answers(self) -> bool:
        """Return whether a write may be sent: the store has answered just before."""
        if self._monitor.is_silent():
            return False
        if self._monitor.unheard_s() > MAX_UNHEARD_S:
            await self._monitor.answers_within(SILENT_AFTER_S)
        return not self._monitor.is_silent()

    def _take_batch(self) -> list[_PendingWrite]:
        if self._monitor.returned_s() <= RETURN_S:
            self._queue.sort(key=lambda pending: pending.priority)
        limit = self._store.limits.append_bytes
        batch = take_batch(
            self._queue, lambda pending: pending.record.size, limit, MAX_BATCH
        )
        del self._queue[: len(batch)]
        return batch

    def _refuse_unsent(self) -> None:
        """Answer the writes that were never sent, since the store is silent."""
        for pending in self._queue:
            if not pending.maybe_stored:
                _complete(pending, WriteOutcome.UNREACHABLE)
        self._queue = [each for each in self._queue if each.maybe_stored]

    async def _send(self, batch: list[_PendingWrite]) -> None:
        # A write whose time is over has been reported as not stored, and must not be sent.
        batch = [each for each in batch if not each.answer.done()]
        if not batch:
            return
        for pending in batch:
            pending.in_flight = True
        result = await self._append([pending.record for pending in batch])
        for pending in batch:
            pending.in_flight = False
        if result.outcome is AppendOutcome.DONE:
            for pending in batch:
                # Its time may have just run out.
                pending.maybe_stored = True
                _complete(pending, WriteOutcome.STORED)
            return
        if result.outcome is AppendOutcome.INVALID:
            if len(batch) == 1:
                _complete(batch[0], WriteOutcome.REJECTED)
            else:
                for half in halves(batch):
                    await self._send(half)
            return
        retries = []
        for pending in batch:
            if result.outcome is AppendOutcome.UNKNOWN:
                pending.maybe_stored = True
            if pending.maybe_stored or self._clock.now() < pending.retry_refused_until:
                retries.append(pending)
            else:
                _complete(pending, WriteOutcome.NOT_STORED)
        if retries:
            await asyncio.sleep(RETRY_S)
            self._queue = retries + self._queue

    async def _append(self, records: list[Record]) -> AppendResult:
        """Append records; meanwhile refuse others if the store becomes silent."""
        call = asyncio.ensure_future(
            self._store.append(Topic.JOBS, records, timeout_s=APPEND_TIMEOUT_S)
        )
        try:
            while not call.done():
                await asyncio.wait({call}, timeout=REVIEW_S)
                if self._monitor.is_silent():
                    self._refuse_unsent()
            return call.result()
        except Exception as error:  # The append may have been sent; it is repeated.
            return AppendResult(AppendOutcome.UNKNOWN, detail=repr(error))
        finally:
            call.cancel()


def _complete(pending: _PendingWrite, outcome: WriteOutcome) -> None:
    if not pending.answer.done():
        pending.answer.set_result(outcome)
