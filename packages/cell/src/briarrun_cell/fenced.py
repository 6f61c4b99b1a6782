"""Appends to one topic by the holder, fenced by the epoch of its term."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import AppendOutcome, ProducerSequence, Record, Store, Topic

PRODUCER = "holder"
"""Producer name of all holders. The store rejects appends of a lower epoch than the
highest one it has seen under this name."""

APPEND_TIMEOUT_S = 0.8
"""Timeout of an append, after which it is repeated."""

RETRY_S = 0.05
"""Pause before the first retry of an append; it doubles with each further retry."""

MAX_RETRY_S = 0.4
"""Maximum pause before a retry of an append."""

_LOG = ComponentLog("holder")


class FencedTopic:
    """Appends batches in order, retrying each until it is stored."""

    def __init__(
        self, store: Store, topic: Topic, epoch: int, on_fenced: Callable[[], None]
    ) -> None:
        self._store = store
        self._topic = topic
        self._epoch = epoch
        self._on_fenced = on_fenced
        self._sequence = 0

    async def fence(self) -> int:
        """Fence off earlier holders and return the end offset of the topic."""
        return await self._append_until_stored([])

    async def append(self, batch: Sequence[Record]) -> None:
        """Store a batch; do nothing if it is empty."""
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
            await asyncio.Future()  # The session has ended and cancels this task.
        _LOG.warning(
            "append of job progress failed",
            topic=self._topic,
            outcome=result.outcome,
            detail=result.detail,
            records=len(batch),
        )
        return None
