"""Reading the event log, applying its records, and appending to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import StrEnum

import msgspec
from expression import Result

from briarrun_adapters.log_service import LogPage, LogService
from briarrun_core.events import FleetEvent, RecordIgnored, RecordsLost
from briarrun_core.fleet import FleetState
from briarrun_core.records import Record, decode_record, encode_record
from briarrun_daemon.clock import Clock
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.metrics import Metrics
from briarrun_daemon.settings import LimitSettings, TimingSettings

_LOG = ComponentLog("log")
PRUNE_INTERVAL_S = 60.0


class AppendOutcome(StrEnum):
    """Result of one append as shown by its response."""

    APPENDED = "appended"
    NOT_APPENDED = "not-appended"
    IN_DOUBT = "in-doubt"


class RecordOutcome(StrEnum):
    """Result of a record as shown by reading the log.

    ``ignored`` records are in the log but have no effect; ``unknown`` ones may still
    appear in it.
    """

    IN_FORCE = "in-force"
    IGNORED = "ignored"
    NOT_WRITTEN = "not-written"
    UNKNOWN = "unknown"


class LogListener:
    """Receiver of what is read from the log; calls come in log order."""

    def on_log_events(self, events: Sequence[FleetEvent]) -> None:
        """Handle the events of newly applied records."""

    def on_log_caught_up(self, started_at: float, finished_at: float) -> None:
        """Handle a read that reached the end of the log."""

    def on_log_failed(self, now: float) -> None:
        """Handle a failed read."""


class LogTail:
    """Reads the log, applies it to a ``FleetState``, and appends records to it."""

    def __init__(
        self,
        service: LogService,
        clock: Clock,
        timing: TimingSettings,
        limits: LimitSettings,
        metrics: Metrics,
    ) -> None:
        self.fleet = FleetState()
        self._service = service
        self._clock = clock
        self._timing = timing
        self._limits = limits
        self._metrics = metrics
        self._listeners: list[LogListener] = []
        self._watchers: dict[str, list[asyncio.Future[RecordOutcome]]] = {}
        self._wake = asyncio.Event()
        self._available = True
        self._pruned_at = clock.now()
        self.last_end_at: float | None = None

    def add_listener(self, listener: LogListener) -> None:
        """Add a listener for everything that is read from now on."""
        self._listeners.append(listener)

    @property
    def available(self) -> bool:
        """Whether the log has been read to its end and the last read succeeded."""
        return self._available and self.last_end_at is not None

    def read_soon(self) -> None:
        """Read immediately instead of after the interval."""
        self._wake.set()

    async def run(self) -> None:
        """Read the log until cancelled."""
        while True:
            started = self._clock.now()
            at_end = await self._read_once()
            if not at_end:
                continue
            wait = started + self._timing.log_read_interval_s - self._clock.now()
            await self._wait_interval(max(wait, 0.001))

    async def append(self, records: Sequence[Record]) -> AppendOutcome:
        """Append records once and return what the response shows."""
        encoded = [encode_record(record) for record in records]
        result = await self._service.append(
            encoded, timeout_s=self._timing.log_call_timeout_s
        )
        match result:
            case Result(tag="ok"):
                outcome = AppendOutcome.APPENDED
            case Result(error=failure):
                outcome = (
                    AppendOutcome.NOT_APPENDED
                    if failure.had_no_effect
                    else AppendOutcome.IN_DOUBT
                )
                if self._available:
                    _LOG.warning(
                        "append to the log failed",
                        outcome=outcome.value,
                        detail=failure.detail,
                        records=[record.record_id for record in records],
                    )
        self._metrics.log_appends.labels(outcome.value).inc()
        self.read_soon()
        return outcome

    async def append_until_read(
        self,
        record: Record,
        deadline: float,
        still_wanted: Callable[[], bool] = lambda: True,
    ) -> RecordOutcome:
        """Append a record, repeatedly if necessary, until a read shows it.

        ``deadline`` is in event loop time. Repeating is safe because a record id that
        was read before has no second effect.
        """
        maybe_written = False
        while True:
            if not still_wanted() or self._clock.now() >= deadline:
                return (
                    RecordOutcome.UNKNOWN
                    if maybe_written
                    else RecordOutcome.NOT_WRITTEN
                )
            watcher = self.watch(record.record_id)
            outcome = await self.append([record])
            maybe_written |= outcome is not AppendOutcome.NOT_APPENDED
            wait_s = self._timing.log_call_timeout_s
            if outcome is AppendOutcome.NOT_APPENDED:
                wait_s = self._timing.log_read_interval_s
            wait_s = min(wait_s, deadline - self._clock.now())
            done, _ = await asyncio.wait([watcher], timeout=max(wait_s, 0.001))
            if done:
                return watcher.result()
            self._unwatch(record.record_id, watcher)

    def watch(self, record_id: str) -> asyncio.Future[RecordOutcome]:
        """Return a future that completes when a read shows the record."""
        future: asyncio.Future[RecordOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._watchers.setdefault(record_id, []).append(future)
        return future

    def _unwatch(self, record_id: str, future: asyncio.Future[RecordOutcome]) -> None:
        watchers = self._watchers.get(record_id, [])
        if future in watchers:
            watchers.remove(future)
        if not watchers:
            self._watchers.pop(record_id, None)

    async def _wait_interval(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _read_once(self) -> bool:
        started = self._clock.now()
        result = await self._service.read(
            self.fleet.next_offset,
            self._limits.log_read_records,
            timeout_s=self._timing.log_call_timeout_s,
        )
        match result:
            case Result(tag="ok", ok=page):
                self._metrics.log_reads.labels("ok").inc()
                return self._apply_page(page, started)
            case Result(error=failure):
                self._metrics.log_reads.labels("failed").inc()
                self._set_available(False, failure.detail)
                for listener in self._listeners:
                    listener.on_log_failed(self._clock.now())
                return True

    def _apply_page(self, page: LogPage, started: float) -> bool:
        events = self.fleet.start_at(page.first)
        for entry in page.records:
            events += self._apply_record(entry.offset, entry.record)
        if events:
            for event in events:
                if isinstance(event, RecordsLost):
                    _LOG.error(
                        "records were removed from the log before they were read",
                        first=event.first,
                    )
            for listener in self._listeners:
                listener.on_log_events(events)
        self._set_available(True)
        if page.next > self.fleet.next_offset and page.records:
            return False
        now = self._clock.now()
        self.last_end_at = started
        self._prune(page.first, now)
        for listener in self._listeners:
            listener.on_log_caught_up(started, now)
        return True

    def _apply_record(self, offset: int, data: dict[str, object]) -> list[FleetEvent]:
        try:
            record = decode_record(data)
        except (msgspec.ValidationError, ValueError) as error:
            _LOG.error(
                "skipped a log record that cannot be decoded",
                offset=offset,
                detail=str(error),
            )
            return self.fleet.skip(offset)
        repeated = self.fleet.has_record(record.record_id)
        events = self.fleet.apply(offset, record)
        if not repeated:
            self._resolve(record.record_id, events)
        return events

    def _resolve(self, record_id: str, events: Sequence[FleetEvent]) -> None:
        ignored = [e for e in events if isinstance(e, RecordIgnored)]
        for event in ignored:
            _LOG.info("log record ignored", record=record_id, detail=event.detail)
        outcome = RecordOutcome.IGNORED if ignored else RecordOutcome.IN_FORCE
        for future in self._watchers.pop(record_id, []):
            if not future.done():
                future.set_result(outcome)

    def _prune(self, first: int, now: float) -> None:
        if now - self._pruned_at >= PRUNE_INTERVAL_S:
            self._pruned_at = now
            self.fleet.forget_before(first)

    def _set_available(self, available: bool, detail: str = "") -> None:
        if available != self._available:
            if available:
                _LOG.info("log is readable again")
            else:
                _LOG.warning("log cannot be read", detail=detail)
        self._available = available
