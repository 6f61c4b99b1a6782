"""Choice of the way on which submissions reach the store.

Load pattern: callers submit at all VMs of a large cell while the store is slow. A topic
stores its appends one after the other, so an append of each VM for its few submissions
makes the queue longer than what the store accepts; submissions are refused and the
holder's own appends are, too. Therefore the other VMs send their records to the holder,
which stores them in batches. Without an answer from it, a VM appends by itself.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import Record
from briarrun_cell.record_writer import RecordWriter, WriteOutcome

RELAY_TIMEOUT_S = 1.0
"""Timeout of a relayed write. A slow store needs 0.3 s for a batch, and the batch before
it may just have been sent."""

SEND_TIMEOUT_S = 0.3
"""Time after which a write is no longer relayed if the holder cannot be connected to."""

PAUSE_S = 1.0
"""Time without relayed writes after one that was not answered."""

_LOG = ComponentLog("front")


class RecordRelay(ABC):
    """Client of the VM that is the holder."""

    @abstractmethod
    async def write_via(
        self, address: str, record: Record, *, send_within_s: float, timeout_s: float
    ) -> WriteOutcome:
        """Let the process at a peer address store a record.

        Returns ``NOT_STORED`` only if the record is certainly not stored and will not
        be, and ``UNKNOWN`` if there is no answer.
        """


class SubmissionWriter:
    """Stores records through the holder, or by an append of this VM.

    ``holder_address`` returns the peer address of a holder on another VM, or None.
    """

    def __init__(
        self,
        writer: RecordWriter,
        relay: RecordRelay,
        holder_address: Callable[[], str | None],
        clock: Clock,
    ) -> None:
        self._writer = writer
        self._relay = relay
        self._holder_address = holder_address
        self._clock = clock
        self._paused_until = float("-inf")

    async def write(
        self, record: Record, retry_refused_s: float, retry_in_doubt_s: float
    ) -> WriteOutcome:
        """Store one record and return the outcome, as ``RecordWriter.write`` does."""
        outcome = await self._relayed(record)
        if outcome in (
            WriteOutcome.STORED,
            WriteOutcome.REJECTED,
            WriteOutcome.UNREACHABLE,
        ):
            return outcome
        return await self._writer.write(
            record,
            retry_refused_s,
            retry_in_doubt_s,
            maybe_stored=outcome is WriteOutcome.UNKNOWN,
        )

    async def _relayed(self, record: Record) -> WriteOutcome:
        address = self._holder_address()
        if address is None or self._clock.now() < self._paused_until:
            return WriteOutcome.NOT_STORED
        sent_at = self._clock.now()
        outcome = await self._relay.write_via(
            address, record, send_within_s=SEND_TIMEOUT_S, timeout_s=RELAY_TIMEOUT_S
        )
        if outcome not in (WriteOutcome.STORED, WriteOutcome.REJECTED):
            self._paused_until = self._clock.now() + PAUSE_S
            _LOG.warning(
                "the holder did not store a record",
                key=record.key,
                address=address,
                outcome=outcome,
                waited_ms=int((self._clock.now() - sent_at) * 1000),
            )
        return outcome
