"""Appends to one topic by the holder, fenced by the epoch of its term."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import (
    AppendOutcome,
    AppendResult,
    ProducerSequence,
    Record,
    Store,
    Topic,
)

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
    """Appends batches in order, retrying each until the store has taken or rejected it."""

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
        return (await self._append_until_settled([])).end

    async def append(self, batch: Sequence[Record]) -> bool:
        """Store a batch, and return False if the store will never take it."""
        if not batch:
            return True
        result = await self._append_until_settled(batch)
        if result.outcome is AppendOutcome.INVALID:
            return False
        self._sequence += 1
        return True

    async def _append_until_settled(self, batch: Sequence[Record]) -> AppendResult:
        pause_s = RETRY_S
        while True:
            result = await self._append(batch)
            if result.outcome is AppendOutcome.DONE:
                return result
            if result.outcome is AppendOutcome.INVALID and batch:
                return result
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_S)

    async def _append(self, batch: Sequence[Record]) -> AppendResult:
        try:
            result = await self._store.append(
                self._topic,
                batch,
                timeout_s=APPEND_TIMEOUT_S,
                producer=ProducerSequence(PRODUCER, self._epoch, self._sequence),
            )
        except Exception as error:  # The append may have been sent; it is repeated.
            result = AppendResult(AppendOutcome.UNKNOWN, detail=repr(error))
        if result.outcome is AppendOutcome.DONE:
            return result
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
        return result
