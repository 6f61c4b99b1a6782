"""Reading of one topic of the store: a snapshot, then all later records."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import (
    HistoryTruncated,
    Record,
    Store,
    StoreUnavailable,
    Topic,
)
from briarrun_cell.unreadable import UnreadableRecords

RETRY_S = 0.1
"""Pause after a read that failed."""

ANSWER_TIMEOUT_S = 0.8
"""Time added to the long-poll time to get the timeout of a read."""

LOAD_TIMEOUT_S = 3.0
"""Timeout of a page of a snapshot. A page of 1 MB takes 0.8 s on a link of 10 Mbit/s,
which several VMs may use at the same time."""

ROUND_TRIP_S = 0.03
"""Time after which an open read is long-polling, so the store has no new records."""

FOLLOWED_READ_PAUSE_S = 0.02
"""Maximum pause between reads while somebody waits for a record."""

_LOG = ComponentLog("store")


class TopicListener(ABC):
    """Receiver of the records of a topic; it may get a record more than once."""

    @abstractmethod
    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Replace the state by a snapshot, the newest record of each key."""

    @abstractmethod
    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Apply further records; ``sent_at`` is the time at which the read was sent."""


class TopicListeners(TopicListener):
    """Passes the records of a topic to several listeners.

    A listener that fails keeps none of the others from the records.
    """

    def __init__(self, *listeners: TopicListener) -> None:
        self._listeners = listeners

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Pass on a snapshot."""
        self._pass_on(lambda each: each.on_snapshot(records, sent_at))

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Pass on further records."""
        self._pass_on(lambda each: each.on_records(records, sent_at))

    def _pass_on(self, call: Callable[[TopicListener], None]) -> None:
        failure: Exception | None = None
        for listener in self._listeners:
            try:
                call(listener)
            except Exception as error:  # Raised once all listeners were called.
                failure = error
        if failure is not None:
            raise failure


class TopicTail:
    """Reads one topic continuously and passes the records to a listener.

    ``read_pause_s`` is the pause after a read that returned records; it makes the next
    read return more of them.

    ``confirmed_at`` is the time at which the last read that reached the end of the
    topic was sent. All records written before then have been read. While long polls
    return nothing, it can be up to twice the long-poll time old although the store is
    reachable. ``answered_at`` is the time of the last answer.
    """

    def __init__(
        self,
        store: Store,
        topic: Topic,
        listener: TopicListener,
        clock: Clock,
        *,
        wait_s: float,
        read_pause_s: float = 0.0,
    ) -> None:
        self._store = store
        self._topic = topic
        self._listener = listener
        self._clock = clock
        self._unapplied = UnreadableRecords(topic, _LOG)
        self._wait_s = wait_s
        self.read_pause_s = read_pause_s
        self.next_offset: int | None = None
        self.confirmed_at: float | None = None
        self.answered_at = float("-inf")
        self._available = True
        self._advanced = asyncio.Event()
        self._read_now = asyncio.Event()
        self._pausing = False
        self._followers = 0
        self._sent_at = float("-inf")

    def age_s(self) -> float:
        """Return the age of the view; infinite before the first read."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock.now() - self.confirmed_at

    def unanswered_s(self) -> float:
        """Return the time since the last answer, which includes the time of long polls."""
        return self._clock.now() - self.answered_at

    async def wait_for_offset(self, end: int) -> None:
        """Wait until all records before an offset have been read, without pauses."""
        while self.next_offset is None or self.next_offset < end:
            self._read_now.set()
            await self._advanced.wait()

    async def wait_confirmed(self, max_age_s: float) -> None:
        """Wait until the view is at most ``max_age_s`` old."""
        while self.age_s() > max_age_s:
            self._read_now.set()
            await self._advanced.wait()

    async def refresh(self, max_wait_s: float) -> None:
        """Wait until the view is up to date, at most ``max_wait_s``.

        Ends the pause between reads. If a long poll is open, the view is up to date.
        """
        wait_s = max_wait_s
        if self._pausing:
            self._read_now.set()
        else:
            held_s = self._clock.now() - self._sent_at
            wait_s = min(max_wait_s, ROUND_TRIP_S - held_s)
        if wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._advanced.wait()
        except TimeoutError:
            return

    async def catch_up(self, max_wait_s: float) -> bool:
        """Apply all records that are stored by now; return False if it takes too long.

        Unlike ``refresh``, takes no open long poll for an answer: the end of the topic
        is read after the call.
        """
        start = self.next_offset
        if start is None:
            return False
        try:
            async with asyncio.timeout(max_wait_s):
                result = await self._store.read(
                    self._topic, start, wait_s=0.0, timeout_s=max_wait_s
                )
                await self.wait_for_offset(result.end)
        except (TimeoutError, StoreUnavailable, HistoryTruncated):
            return False
        return True

    @contextmanager
    def followed(self) -> Iterator[None]:
        """Read new records soon after they are written, as long as the context lasts."""
        self._followers += 1
        self._read_now.set()
        try:
            yield
        finally:
            self._followers -= 1

    async def run(self) -> None:
        """Read the topic until cancelled."""
        while True:
            try:
                if self.next_offset is None:
                    await self._load()
                else:
                    await self._follow(self.next_offset)
            except HistoryTruncated:
                _LOG.warning("history truncated; loading a snapshot", topic=self._topic)
                self.next_offset = None
            except StoreUnavailable as error:
                self._set_available(False, str(error))
                await asyncio.sleep(RETRY_S)

    async def _load(self) -> None:
        sent_at = self._clock.now()
        result = await self._store.newest(self._topic, timeout_s=LOAD_TIMEOUT_S)
        try:
            self._listener.on_snapshot(result.records, sent_at)
        except Exception:  # The snapshot would be read again for ever.
            _LOG.error("applying a snapshot record by record", topic=self._topic)
            self._apply_each(result.records, sent_at)
        self._advance(result.end, sent_at)

    async def _follow(self, start: int) -> None:
        sent_at = self._sent_at = self._clock.now()
        # After an outage a read must not wait, so that it confirms the view at once.
        wait_s = self._wait_s if self._available else 0.0
        result = await self._store.read(
            self._topic,
            start,
            wait_s=wait_s,
            timeout_s=wait_s + ANSWER_TIMEOUT_S,
        )
        following = start + len(result.records)
        if result.records:
            self._apply(result.records, sent_at)
        if following >= result.end:
            self._advance(following, sent_at)
        else:
            self._advance(following, None)
        if self.read_pause_s and result.records:
            await self._pause()

    def _apply(self, records: Sequence[Record], sent_at: float) -> None:
        """Pass records to the listener, without those on which it fails."""
        try:
            self._listener.on_records(records, sent_at)
        except Exception:  # The records would be read again for ever.
            _LOG.error("applying records one by one", topic=self._topic)
            self._apply_each(records, sent_at)

    def _apply_each(self, records: Sequence[Record], sent_at: float) -> None:
        """Pass records to the listener one by one; it may have applied some before."""
        for record in records:
            try:
                self._listener.on_records([record], sent_at)
            except Exception as error:  # One record must not hide the others.
                self._unapplied.add(record, error, "the record is left out")
            else:
                self._unapplied.clear(record.key)

    async def _pause(self) -> None:
        """Pause until the next read, or until ``refresh`` is called."""
        self._read_now.clear()
        self._pausing = True
        pause_s = self.read_pause_s
        if self._followers:
            pause_s = min(pause_s, FOLLOWED_READ_PAUSE_S)
        try:
            async with asyncio.timeout(pause_s):
                await self._read_now.wait()
        except TimeoutError:
            return
        finally:
            self._pausing = False

    def _advance(self, following: int, confirmed_at: float | None) -> None:
        self.next_offset = following
        self.answered_at = self._clock.now()
        if confirmed_at is not None:
            self.confirmed_at = confirmed_at
        self._set_available(True, "")
        progress, self._advanced = self._advanced, asyncio.Event()
        progress.set()

    def _set_available(self, available: bool, detail: str) -> None:
        if available != self._available:
            self._available = available
            if available:
                _LOG.info("reads succeed again", topic=self._topic)
            else:
                _LOG.warning("reads fail", topic=self._topic, detail=detail)
