"""Storage of job progress, and acknowledgement of ended runs once it is durable."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from briarrun_cell import records
from briarrun_cell.batches import halves, take_batch
from briarrun_cell.clock import Clock
from briarrun_cell.fenced import APPEND_TIMEOUT_S, FencedTopic
from briarrun_cell.job_table import JobTable
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import JobState
from briarrun_cell.ports import Record, Store, Topic
from briarrun_cell.workers import Worker

BATCH_DELAY_S = 0.008
"""Time for which progress is collected into one append."""

MAX_BATCH_JOBS = 400
"""Maximum number of jobs per append."""

RETRY_S = 0.1
"""Pause after a flush that failed."""

COMPACT_AFTER_S = 10.0
"""Time after the end of a job after which its steps are removed from the job stream. By
then the leases of all its runs have expired."""

_LOG = ComponentLog("holder")


@dataclass(slots=True)
class _Pass:
    """Progress that was unsaved at one moment, and what depends on its being stored.

    ``acknowledging`` holds the workers with the number of the last end in the ledger.
    """

    job_ids: list[str]
    waiters: list[asyncio.Future[None]]
    acknowledging: list[tuple[Worker, int]]


class Journal:
    """Stores the progress of changed jobs, one append at a time."""

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
        self._wake = asyncio.Event()
        self._stored = asyncio.Event()
        self._flush_waiters: list[asyncio.Future[None]] = []
        self._pass = _Pass([], [], [])

    async def fence(self) -> int:
        """Fence off earlier holders and return the end offset of the job stream."""
        return await self._jobs.fence()

    def notify_progress(self) -> None:
        """Start a flush if there is progress to store."""
        if self._ledger.dirty:
            self._wake.set()

    def notify_acknowledgement(self) -> None:
        """Start a flush to acknowledge reported ends, even if no progress changed."""
        self._wake.set()

    async def wait_flushed(self) -> None:
        """Wait until all progress that is unsaved now is stored."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._flush_waiters.append(waiter)
        self._wake.set()
        await waiter

    async def wait_stored(self, timeout_s: float) -> None:
        """Wait for the next successful flush, at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._stored.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Flush progress until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._wake.clear()
            try:
                await self._flush()
            except Exception as error:  # Starts and ends wait for the progress.
                _LOG.error("progress could not be stored", detail=repr(error))
                await asyncio.sleep(RETRY_S)
            if self._ledger.dirty or self._flush_waiters or self._pass.job_ids:
                self._wake.set()

    async def _flush(self) -> None:
        """Store a batch of the progress that was unsaved when the pass over it began.

        What changes meanwhile belongs to the next pass; otherwise starts would wait as
        long as more jobs change than fit into a batch.
        """
        ledger = self._ledger
        if not self._pass.job_ids:
            self._pass = _Pass(
                sorted(ledger.dirty),
                self._flush_waiters,
                [(each, each.applied) for each in ledger.workers_by_id.values()],
            )
            self._flush_waiters = []
        job_ids = self._pass.job_ids[:MAX_BATCH_JOBS]
        del self._pass.job_ids[:MAX_BATCH_JOBS]
        ledger.dirty.difference_update(job_ids)
        try:
            await self._store_progress(job_ids)
        except Exception:
            self._pass.job_ids[:0] = job_ids
            raise
        if not self._pass.job_ids:
            self._end_pass(self._pass)

    async def _store_progress(self, job_ids: list[str]) -> None:
        encoded = [
            record
            for job_id in job_ids
            if (record := self._progress_record(job_id)) is not None
        ]
        while encoded:
            limit = self._store.limits.append_bytes
            batch = take_batch(
                encoded, lambda record: record.size, limit, MAX_BATCH_JOBS
            )
            del encoded[: len(batch)]
            await self._append(batch)

    def _progress_record(self, job_id: str) -> Record | None:
        """Return the record of a job's progress; the job fails if it cannot be kept."""
        job = self._ledger.jobs_by_id.get(job_id)
        if job is None:
            return None
        record = records.progress_record(job_id, job.progress)
        limit = self._store.limits.record_bytes
        if record.size > limit and not job.final:
            self._set_aside(job_id, f"record of {record.size} bytes; at most {limit}")
            record = records.progress_record(job_id, job.progress)
        return record

    async def _append(self, batch: list[Record]) -> None:
        """Store records; what the store rejects for good must not hold up the others."""
        if await self._jobs.append(batch):
            return
        if len(batch) > 1:
            for half in halves(batch):
                await self._append(half)
            return
        self._set_aside(records.job_id_of(batch[0]), "the store rejects its record")

    def _set_aside(self, job_id: str, reason: str) -> None:
        """Let a job fail whose progress cannot be stored."""
        job = self._ledger.jobs_by_id.get(job_id)
        if job is None:
            return
        _LOG.error("progress of a job cannot be stored", job=job_id, reason=reason)
        if not job.final:
            self._ledger.finish(job, JobState.FAILED)

    def _end_pass(self, ended: _Pass) -> None:
        """Acknowledge the ends, and wake those who waited for the progress."""
        for worker, number in ended.acknowledging:
            if number > worker.acknowledged:
                _LOG.info(
                    "acknowledging ends",
                    worker=worker.incarnation_id,
                    after=worker.acknowledged,
                    to=number,
                )
                worker.acknowledged = number
        stored, self._stored = self._stored, asyncio.Event()
        stored.set()
        for waiter in ended.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._ledger.forget_finished_jobs()

    async def clean_up(self) -> None:
        """Delete jobs past their retention time; compact those that ended before.

        Also deletes cancellations of jobs that were never stored.
        """
        now_ms = self._clock.wall_ms()
        delete_before_ms = now_ms - int(self._keep_final_s * 1000)
        compact_before_ms = now_ms - int(COMPACT_AFTER_S * 1000)
        batch: list[Record] = []
        for job_id, entry in self._table.by_id.items():
            if entry.without_job and entry.cancelled_ms < delete_before_ms:
                batch.append(records.cancellation_deletion_record(job_id))
            progress = entry.progress
            if progress is None or progress.final is None:
                continue
            if progress.final_ms < delete_before_ms:
                batch += records.deletion_records(job_id)
            elif (
                progress.final_ms < compact_before_ms
                and entry.spec
                and entry.spec.steps
            ):
                batch.append(records.compacted_job_record(entry.spec))
        for start in range(0, len(batch), MAX_BATCH_JOBS):
            await self._store.append(
                Topic.JOBS,
                batch[start : start + MAX_BATCH_JOBS],
                timeout_s=APPEND_TIMEOUT_S,
            )
