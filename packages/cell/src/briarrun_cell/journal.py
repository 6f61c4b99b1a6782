"""Store the holder's progress, and acknowledge ends once they are durable.

The job stream, which every VM reads, gets only what callers are shown. The details go
to a topic of their own, which only a new holder reads.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from briarrun_cell import records
from briarrun_cell.clock import Clock
from briarrun_cell.fenced import APPEND_TIMEOUT_S, RETRY_S, FencedTopic
from briarrun_cell.job_table import JobTable
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import PartLog
from briarrun_cell.model import JobState
from briarrun_cell.ports import Record, Store, StoreUnavailable, Topic
from briarrun_cell.records import JobProgress

GATHER_S = 0.008
"""Time in which progress is gathered into one append."""

MAX_BATCH = 400
"""Jobs whose progress one append holds."""

SHRINK_AFTER_S = 20.0
"""Time after a job's end after which its steps are dropped from the job stream; no run
of it can have a lease any more."""

READ_TIMEOUT_S = 2.0
"""Time after which a read of the details counts as lost."""

_LOG = PartLog("holder")


class Journal:
    """Append the progress of jobs in order, one append at a time."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        ledger: Ledger,
        table: JobTable,
        keep_final_s: float,
        on_fenced: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._ledger = ledger
        self._table = table
        self._keep_final_s = keep_final_s
        self._jobs = FencedTopic(store, Topic.JOBS, ledger.epoch, on_fenced)
        self._details = FencedTopic(store, Topic.PROGRESS, ledger.epoch, on_fenced)
        self._shown_by_id: dict[str, JobProgress] = {}
        self._dropped: list[str] = []
        self._wake = asyncio.Event()
        self._stored = asyncio.Event()
        self._flush_waiters: list[asyncio.Future[None]] = []

    async def fence(self) -> int:
        """Shut out earlier holders; return the end of the job stream."""
        end, _ = await asyncio.gather(self._jobs.fence(), self._details.fence())
        return end

    async def inherit(self) -> dict[str, JobProgress]:
        """Return the progress that earlier holders stored, by job."""
        while True:
            try:
                result = await self._store.newest(
                    Topic.PROGRESS, timeout_s=READ_TIMEOUT_S
                )
            except StoreUnavailable as error:
                _LOG.warning("could not read the progress", detail=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            progress_by_id: dict[str, JobProgress] = {}
            for record in result.records:
                try:
                    job_id, content = records.decode(record)
                except records.UnreadableRecord as error:
                    _LOG.warning("ignored an unreadable record", detail=str(error))
                    continue
                if isinstance(content, JobProgress):
                    progress_by_id[job_id] = content
            return progress_by_id

    def drop(self, job_ids: Iterable[str]) -> None:
        """Drop the details of jobs whose outcome is stored, with the next append."""
        self._dropped += job_ids

    def notify(self) -> None:
        """Tell that there may be progress to store."""
        if self._ledger.dirty:
            self._wake.set()

    def notify_acknowledgement(self) -> None:
        """Tell that a worker listed ends; those that change nothing need no append."""
        self._wake.set()

    async def flushed(self) -> None:
        """Wait until everything that is dirty now is stored."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._flush_waiters.append(waiter)
        self._wake.set()
        await waiter

    async def stored(self, timeout_s: float) -> None:
        """Wait until the next append succeeded, but not for longer."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._stored.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Store progress until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(GATHER_S)
            self._wake.clear()
            await self._flush()
            if self._ledger.dirty or self._flush_waiters:
                self._wake.set()

    async def _flush(self) -> None:
        ledger = self._ledger
        waiters, self._flush_waiters = self._flush_waiters, []
        acknowledging = [
            (worker, worker.applied) for worker in ledger.workers_by_id.values()
        ]
        job_ids = sorted(ledger.dirty)[:MAX_BATCH]
        if len(job_ids) < len(ledger.dirty):
            acknowledging = []
            self._flush_waiters = waiters + self._flush_waiters
            waiters = []
        ledger.dirty.difference_update(job_ids)
        jobs = [
            ledger.jobs_by_id[each] for each in job_ids if each in ledger.jobs_by_id
        ]
        details = [records.progressed(job.job_id, job.progress) for job in jobs]
        dropped, self._dropped = self._dropped, []
        details += [records.progress_dropped(job_id) for job_id in dropped]
        shown = [records.shown(job.progress) for job in jobs]
        changed = [
            (job.job_id, progress)
            for job, progress in zip(jobs, shown, strict=True)
            if progress != self._shown(job.job_id)
        ]
        await asyncio.gather(
            self._details.append(details),
            self._jobs.append([records.progressed(*each) for each in changed]),
        )
        for job_id, progress in changed:
            self._shown_by_id[job_id] = progress
            if progress.final is not None:
                self._dropped.append(job_id)
        for worker, number in acknowledging:
            worker.acknowledged = max(worker.acknowledged, number)
        stored, self._stored = self._stored, asyncio.Event()
        stored.set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        ledger.release_final()

    def _shown(self, job_id: str) -> JobProgress:
        """Return what the job stream says of a job, as far as this holder knows."""
        shown = self._shown_by_id.get(job_id)
        if shown is not None:
            return shown
        entry = self._table.by_id.get(job_id)
        if entry is None or entry.progress is None:
            return JobProgress()
        return entry.progress

    async def forget_old(self) -> None:
        """Drop jobs that callers may not ask for any more, and the steps of ended ones."""
        now_ms = self._clock.wall_ms()
        forget_ms = now_ms - int(self._keep_final_s * 1000)
        shrink_ms = now_ms - int(SHRINK_AFTER_S * 1000)
        batch: list[Record] = []
        for job_id, entry in self._table.by_id.items():
            progress = entry.progress
            if progress is None or progress.final is None:
                continue
            if progress.final is JobState.CANCELLED and not entry.cancelled:
                continue
            if progress.final_ms < forget_ms:
                batch += records.forgotten(job_id)
                self._shown_by_id.pop(job_id, None)
            elif progress.final_ms < shrink_ms and entry.spec and entry.spec.steps:
                batch.append(records.shrunk(entry.spec))
        for start in range(0, len(batch), MAX_BATCH):
            await self._store.append(
                Topic.JOBS,
                batch[start : start + MAX_BATCH],
                timeout_s=APPEND_TIMEOUT_S,
            )
        if self._dropped:
            self._wake.set()
