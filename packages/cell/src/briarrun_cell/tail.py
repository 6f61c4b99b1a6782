"""Follow one topic of the store: its newest records, then every later one."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import (
    HistoryTruncated,
    Record,
    Store,
    StoreUnavailable,
    Topic,
)

RETRY_S = 0.1
"""Pause after a read without an answer."""

ANSWER_TIMEOUT_S = 0.8
"""Time beyond the requested wait after which a read counts as lost."""

LOAD_TIMEOUT_S = 3.0
"""Time after which a page of newest records counts as lost; a page of 1 MB takes 0.8 s
on a link of 10 Mbit/s, which several VMs may need at the same time."""

ROUND_TRIP_S = 0.03
"""A read that has been open for longer is held by the store, which has nothing new."""

_LOG = ComponentLog("store")


class TopicListener(ABC):
    """Take the records of a topic."""

    @abstractmethod
    def on_snapshot(self, records: Sequence[Record], asked_at: float) -> None:
        """Replace what is known by the newest record of each key."""

    @abstractmethod
    def on_records(self, records: Sequence[Record], asked_at: float) -> None:
        """Take further records; ``asked_at`` is when the read was sent."""


class TopicTail:
    """Read one topic for good; ``read_pause_s`` gathers records between reads.

    ``confirmed_at`` is the time of sending of the last read that reached the end, so
    everything written before it is known. A read that waits in vain makes it up to
    twice the wait old although the store answers, which ``answered_at`` tells.
    """

    def __init__(
        self,
        store: Store,
        topic: Topic,
        reader: TopicListener,
        clock: Clock,
        *,
        wait_s: float,
        read_pause_s: float = 0.0,
    ) -> None:
        self._store = store
        self._topic = topic
        self._reader = reader
        self._clock = clock
        self._wait_s = wait_s
        self.read_pause_s = read_pause_s
        self.next_offset: int | None = None
        self.confirmed_at: float | None = None
        self.answered_at = float("-inf")
        self._available = True
        self._progress = asyncio.Event()
        self._hurry = asyncio.Event()
        self._pausing = False
        self._asked_at = float("-inf")

    def age_s(self) -> float:
        """Return the age of what is known; infinite before the first read."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock.now() - self.confirmed_at

    def unanswered_s(self) -> float:
        """Return for how long no read was answered; it includes a read's own wait."""
        return self._clock.now() - self.answered_at

    async def wait_for_offset(self, end: int) -> None:
        """Wait until every record before an offset has been taken."""
        while self.next_offset is None or self.next_offset < end:
            await self._progress.wait()

    async def refresh(self, patience_s: float) -> None:
        """Take what the store holds now, but wait no longer than ``patience_s``.

        Ends the pause between reads. A read that the store holds open needs no wait.
        """
        wait_s = patience_s
        if self._pausing:
            self._hurry.set()
        else:
            held_s = self._clock.now() - self._asked_at
            wait_s = min(patience_s, ROUND_TRIP_S - held_s)
        if wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._progress.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                if self.next_offset is None:
                    await self._load()
                else:
                    await self._follow(self.next_offset)
            except HistoryTruncated:
                _LOG.warning("history was truncated", topic=self._topic)
                self.next_offset = None
            except StoreUnavailable as error:
                self._note(False, str(error))
                await asyncio.sleep(RETRY_S)

    async def _load(self) -> None:
        asked_at = self._clock.now()
        result = await self._store.newest(self._topic, timeout_s=LOAD_TIMEOUT_S)
        self._reader.on_snapshot(result.records, asked_at)
        self._advance(result.end, asked_at)

    async def _follow(self, start: int) -> None:
        asked_at = self._asked_at = self._clock.now()
        # After an outage the age of what is known matters, so nothing is waited for.
        wait_s = self._wait_s if self._available else 0.0
        result = await self._store.read(
            self._topic,
            start,
            wait_s=wait_s,
            timeout_s=wait_s + ANSWER_TIMEOUT_S,
        )
        following = start + len(result.records)
        if result.records:
            self._reader.on_records(result.records, asked_at)
        if following >= result.end:
            self._advance(following, asked_at)
        else:
            self._advance(following, None)
        if self.read_pause_s and result.records:
            await self._pause()

    async def _pause(self) -> None:
        """Let records gather, unless somebody needs them now."""
        self._hurry.clear()
        self._pausing = True
        try:
            async with asyncio.timeout(self.read_pause_s):
                await self._hurry.wait()
        except TimeoutError:
            return
        finally:
            self._pausing = False

    def _advance(self, following: int, confirmed_at: float | None) -> None:
        self.next_offset = following
        self.answered_at = self._clock.now()
        if confirmed_at is not None:
            self.confirmed_at = confirmed_at
        self._note(True, "")
        progress, self._progress = self._progress, asyncio.Event()
        progress.set()

    def _note(self, available: bool, detail: str) -> None:
        if available != self._available:
            self._available = available
            if available:
                _LOG.info("reads are answered again", topic=self._topic)
            else:
                _LOG.warning("reads fail", topic=self._topic, detail=detail)
