"""Observation of the calls to the store, which shows when the store is silent."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence

from briarrun_cell.clock import Clock
from briarrun_cell.decisions.store_silence import SILENT_AFTER_S, StoreSilence
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import (
    AppendOutcome,
    AppendResult,
    HistoryTruncated,
    ProducerSequence,
    ReadResult,
    Record,
    Store,
    Topic,
)

PROBE_TIMEOUT_S = 0.8
"""Timeout of a probe; a slow store needs 0.5 s for an answer."""

PROBE_INTERVAL_S = 0.2
"""Interval of the probes while the store is silent, which show when it has returned."""

REVIEW_S = 0.1
"""Interval at which a VM checks whether the store has become silent."""

_LOG = ComponentLog("store")

_NO_ANSWER = (AppendOutcome.UNKNOWN, AppendOutcome.REFUSED)
"""Outcomes that do not show that the store has answered: the connection may have been
refused or lost."""


class ObservedStore(Store):
    """Passes calls to the store of a VM and records when they are sent and answered.

    A read may return megabytes over a slow link, so that one which takes long does not
    show that the store is silent; only appends and probes do.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self.limits = store.limits
        self.silence = StoreSilence(clock.now())

    async def append(
        self,
        topic: Topic,
        records: Sequence[Record],
        *,
        timeout_s: float,
        at: int | None = None,
        producer: ProducerSequence | None = None,
    ) -> AppendResult:
        """Append all records or none, if the topic ends at ``at``."""
        call = self.silence.on_sent(self._clock.now())
        answered = False
        try:
            result = await self._store.append(
                topic, records, timeout_s=timeout_s, at=at, producer=producer
            )
            answered = result.outcome not in _NO_ANSWER
            return result
        finally:
            self.silence.on_end(call, self._clock.now(), answered=answered)

    async def read(
        self, topic: Topic, start: int, *, wait_s: float, timeout_s: float
    ) -> ReadResult:
        """Return the records from an offset on, waiting for the first."""
        read = self._store.read(topic, start, wait_s=wait_s, timeout_s=timeout_s)
        return await self._observe(read, allowed_s=math.inf)

    async def newest(self, topic: Topic, *, timeout_s: float) -> ReadResult:
        """Return the newest record of each key."""
        read = self._store.newest(topic, timeout_s=timeout_s)
        return await self._observe(read, allowed_s=math.inf)

    async def probe(self, start: int) -> None:
        """Read the configuration from its end, which returns next to nothing."""
        read = self._store.read(
            Topic.CONFIG, start, wait_s=0.0, timeout_s=PROBE_TIMEOUT_S
        )
        await self._observe(read, allowed_s=SILENT_AFTER_S)

    async def _observe(
        self, read: Awaitable[ReadResult], allowed_s: float
    ) -> ReadResult:
        call = self.silence.on_sent(self._clock.now(), allowed_s)
        answered = False
        try:
            result = await read
            answered = True
            return result
        except HistoryTruncated:
            answered = True
            raise
        finally:
            self.silence.on_end(call, self._clock.now(), answered=answered)


class StoreMonitor:
    """Tells whether the store is silent, and asks it if that is not known.

    ``probe_offset`` returns the end of the configuration as far as it has been read,
    from which a read returns next to nothing, or None before the first read.
    """

    def __init__(
        self,
        store: ObservedStore,
        clock: Clock,
        probe_offset: Callable[[], int | None],
        on_change: Callable[[bool], None] = lambda silent: None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._probe_offset = probe_offset
        self._on_change = on_change
        self._was_silent = False
        self._returned_at = float("-inf")
        self._last_probe: asyncio.Task[bool] | None = None
        self._last_probe_at = float("-inf")
        self._probes: set[asyncio.Task[bool]] = set()

    def is_silent(self) -> bool:
        """Return whether the store is known to be silent for this VM."""
        silent = self._store.silence.is_silent(self._clock.now())
        if silent != self._was_silent:
            self._note_change(silent)
        return silent

    def unheard_s(self) -> float:
        """Return the time since the last answer of the store."""
        return self._store.silence.unheard_s(self._clock.now())

    def returned_s(self) -> float:
        """Return the time since the store answered again after a silence."""
        return self._clock.now() - self._returned_at

    def _note_change(self, silent: bool) -> None:
        self._was_silent = silent
        self._on_change(silent)
        if silent:
            unheard_ms = int(self.unheard_s() * 1000)
            _LOG.warning("the store is silent", unheard_ms=unheard_ms)
        else:
            self._returned_at = self._clock.now()
            _LOG.info("the store answers again")

    def on_report(self) -> None:
        """Note that the holder has found the store silent, and check it."""
        self._store.silence.on_report(self._clock.now())
        self._send_probe()

    async def answers_within(self, wait_s: float) -> bool:
        """Return whether the store answers a probe in the time since it was sent.

        A probe that is under way is not repeated.
        """
        probe = self._last_probe
        if probe is None or probe.done():
            probe = self._send_probe()
        if probe is None:
            return False
        left_s = self._last_probe_at + wait_s - self._clock.now()
        if left_s <= 0:
            return False
        await asyncio.wait({probe}, timeout=left_s)
        return probe.done() and not probe.cancelled() and probe.result()

    def _send_probe(self) -> asyncio.Task[bool] | None:
        start = self._probe_offset()
        if start is None:
            return None
        probe = asyncio.get_running_loop().create_task(self._probe(start))
        self._last_probe = probe
        self._last_probe_at = self._clock.now()
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)
        return probe

    async def _probe(self, start: int) -> bool:
        try:
            await self._store.probe(start)
        except HistoryTruncated:
            return True
        except Exception:  # ``StoreSilence`` has recorded that there was no answer.
            return False
        return True

    async def run(self) -> None:
        """Note when the store becomes silent, and probe it until it answers."""
        while True:
            if self.is_silent():
                self._send_probe()
                await asyncio.sleep(PROBE_INTERVAL_S)
            else:
                await asyncio.sleep(REVIEW_S)

    def close(self) -> None:
        """Cancel the probes."""
        for probe in self._probes:
            probe.cancel()
