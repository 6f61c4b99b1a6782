"""Choice of the way on which submissions reach the store.

Load pattern: callers submit at all VMs of a large cell while the store is slow. A topic
stores its appends one after the other, so an append of each VM for its few submissions
makes the queue longer than what the store accepts; submissions are refused and the
holder's own appends are, too. Therefore the other VMs send their records to the holder,
which stores them in batches. Without an answer from it, a VM appends by itself.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import Record
from briarrun_cell.record_writer import RecordWriter, WriteOutcome, WriteResult
from briarrun_cell.store_monitor import StoreMonitor

RELAY_TIMEOUT_S = 1.0
"""Time after which a relayed write is taken over, unless the store is silent. A slow
store needs 0.3 s for a batch, and the batch before it may just have been sent."""

LOST_HOLDER_AFTER_S = 0.25
"""Time without an answer of the holder after which a VM asks the store. If the store
answers at once, the holder is lost, since it needs some 20 ms for a write."""

QUICK_ANSWER_S = 0.1
"""Time within which a store that is neither slow nor silent answers."""

SEND_TIMEOUT_S = 0.3
"""Time after which a write is no longer relayed if the holder cannot be connected to."""

PAUSE_S = 1.0
"""Time without relayed writes after one that was not answered."""

_LOG = ComponentLog("front")


class RecordRelay(ABC):
    """Client of the VM that is the holder."""

    @abstractmethod
    async def write_via(
        self,
        address: str,
        record: Record,
        *,
        send_within_s: float,
        timeout_s: float,
        priority: int = 0,
    ) -> WriteResult:
        """Let the process at a peer address store a record.

        ``timeout_s`` is also the time for which the peer settles a write in doubt, and
        ``priority`` that of the job's queue. Returns ``NOT_STORED`` and ``UNREACHABLE``
        only if the record is certainly not stored and will not be, and ``UNKNOWN`` if
        there is no answer.
        """


class SubmissionWriter:
    """Stores records through the holder, or by an append of this VM.

    ``holder_address`` returns the peer address of a holder on another VM, or None.
    ``review`` returns the result of a submission that this VM turns away as the holder.
    """

    def __init__(
        self,
        writer: RecordWriter,
        relay: RecordRelay,
        holder_address: Callable[[], str | None],
        clock: Clock,
        monitor: StoreMonitor,
        review: Callable[[Record], WriteResult | None] = lambda record: None,
    ) -> None:
        self._writer = writer
        self._relay = relay
        self._holder_address = holder_address
        self._clock = clock
        self._monitor = monitor
        self._review = review
        self._paused_until = float("-inf")

    async def write(
        self,
        record: Record,
        retry_refused_s: float,
        settle_s: float,
        *,
        priority: int = 0,
    ) -> WriteResult:
        """Store one record and return the outcome, as ``RecordWriter.write`` does.

        A record that may have been stored is not reviewed.
        """
        answer_by = self._clock.now() + settle_s
        relayed = await self._relayed(record, settle_s, priority)
        if relayed.outcome.is_final:
            return relayed
        maybe_stored = relayed.outcome is WriteOutcome.UNKNOWN
        refused = None if maybe_stored else self._review(record)
        if refused is not None:
            return refused
        outcome = await self._writer.write(
            record,
            retry_refused_s,
            max(0.0, answer_by - self._clock.now()),
            priority=priority,
            maybe_stored=maybe_stored,
        )
        return WriteResult(outcome)

    async def _relayed(
        self, record: Record, settle_s: float, priority: int
    ) -> WriteResult:
        address = self._holder_address()
        if address is None or self._clock.now() < self._paused_until:
            return WriteResult(WriteOutcome.NOT_STORED)
        sent_at = self._clock.now()
        call = asyncio.ensure_future(
            self._relay.write_via(
                address,
                record,
                send_within_s=SEND_TIMEOUT_S,
                timeout_s=settle_s,
                priority=priority,
            )
        )
        try:
            result = await self._answer_of(call, sent_at)
        finally:
            call.cancel()
        outcome = result.outcome
        if outcome is WriteOutcome.UNREACHABLE:
            self._monitor.on_report()
        if outcome is WriteOutcome.UNREACHABLE or not outcome.is_final:
            self._paused_until = self._clock.now() + PAUSE_S
            _LOG.warning(
                "the holder did not store a record",
                key=record.key,
                address=address,
                outcome=outcome,
                waited_ms=int((self._clock.now() - sent_at) * 1000),
            )
        return result

    async def _answer_of(
        self, call: asyncio.Future[WriteResult], sent_at: float
    ) -> WriteResult:
        """Return the answer of the holder, ``UNKNOWN`` if it seems to be lost."""
        await asyncio.wait({call}, timeout=LOST_HOLDER_AFTER_S)
        while not call.done():
            if await self._holder_is_lost(sent_at) and not call.done():
                return WriteResult(WriteOutcome.UNKNOWN)
            await asyncio.wait({call}, timeout=LOST_HOLDER_AFTER_S)
        return call.result()

    async def _holder_is_lost(self, sent_at: float) -> bool:
        """Return whether the holder does not answer although the store does.

        While the store is silent, the holder cannot tell what became of the record.
        """
        if self._monitor.is_silent():
            return False
        if await self._monitor.answers_within(QUICK_ANSWER_S):
            return True
        waited_s = self._clock.now() - sent_at
        return waited_s >= RELAY_TIMEOUT_S and not self._monitor.is_silent()
