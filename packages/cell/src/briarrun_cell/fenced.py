"""Append to one topic as the holder; a later holder shuts this one out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import AppendOutcome, ProducerSequence, Record, Store, Topic

PRODUCER = "holder"
"""Name under which holders append; a later holder's epoch shuts out an earlier one."""

APPEND_TIMEOUT_S = 0.8
"""Time after which an append counts as unanswered and is repeated."""

RETRY_S = 0.05
"""Pause before an append is repeated; it doubles with each further repeat."""

MAX_RETRY_S = 0.4
"""Longest pause before an append is repeated."""

_LOG = ComponentLog("holder")


class FencedTopic:
    """Append batches in order, one at a time, each until it is stored."""

    def __init__(
        self, store: Store, topic: Topic, epoch: int, on_fenced: Callable[[], None]
    ) -> None:
        self._store = store
        self._topic = topic
        self._epoch = epoch
        self._on_fenced = on_fenced
        self._sequence = 0

    async def fence(self) -> int:
        """Shut out earlier holders; return the end of the topic."""
        return await self._append_until_stored([])

    async def append(self, batch: Sequence[Record]) -> None:
        """Store records; an empty batch costs no call."""
        if batch:
            await self._append_until_stored(batch)
            self._sequence += 1

    async def _append_until_stored(self, batch: Sequence[Record]) -> int:
        pause_s = RETRY_S
        while True:
            end = await self._append(batch)
            if end is not None:
                return end
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_S)

    async def _append(self, batch: Sequence[Record]) -> int | None:
        result = await self._store.append(
            self._topic,
            batch,
            timeout_s=APPEND_TIMEOUT_S,
            producer=ProducerSequence(PRODUCER, self._epoch, self._sequence),
        )
        if result.outcome is AppendOutcome.DONE:
            return result.end
        if result.outcome is AppendOutcome.FENCED:
            self._on_fenced()
            await asyncio.Future()  # The tenure is over; it cancels this task.
        _LOG.warning(
            "progress was not stored",
            topic=self._topic,
            outcome=result.outcome,
            detail=result.detail,
            records=len(batch),
        )
        return None
