"""Store the holder's progress, and acknowledge ends once they are durable."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from briarrun_cell import records
from briarrun_cell.clock import Clock
from briarrun_cell.fenced import APPEND_TIMEOUT_S, FencedTopic
from briarrun_cell.job_table import JobTable
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import JobState
from briarrun_cell.ports import Record, Store, Topic

GATHER_S = 0.008
"""Time in which progress is gathered into one append."""

MAX_BATCH = 400
"""Jobs whose progress one append holds."""

COMPACT_AFTER_S = 10.0
"""Time after a job's end after which its steps are dropped from the job stream; no run
of it can have a lease any more."""

_LOG = ComponentLog("holder")


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
        self._wake = asyncio.Event()
        self._stored = asyncio.Event()
        self._flush_waiters: list[asyncio.Future[None]] = []

    async def fence(self) -> int:
        """Shut out earlier holders; return the end of the job stream."""
        return await self._jobs.fence()

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
        await self._jobs.append(
            [
                records.progressed(job_id, ledger.jobs_by_id[job_id].progress)
                for job_id in job_ids
                if job_id in ledger.jobs_by_id
            ]
        )
        for worker, number in acknowledging:
            worker.acknowledged = max(worker.acknowledged, number)
        stored, self._stored = self._stored, asyncio.Event()
        stored.set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        ledger.forget_finished_jobs()

    async def forget_old(self) -> None:
        """Drop jobs that callers may not ask for any more, and the steps of ended ones."""
        now_ms = self._clock.wall_ms()
        forget_ms = now_ms - int(self._keep_final_s * 1000)
        shrink_ms = now_ms - int(COMPACT_AFTER_S * 1000)
        batch: list[Record] = []
        for job_id, entry in self._table.by_id.items():
            progress = entry.progress
            if progress is None or progress.final is None:
                continue
            if progress.final is JobState.CANCELLED and not entry.cancelled:
                continue
            if progress.final_ms < forget_ms:
                batch += records.forgotten(job_id)
            elif progress.final_ms < shrink_ms and entry.spec and entry.spec.steps:
                batch.append(records.shrunk(entry.spec))
        for start in range(0, len(batch), MAX_BATCH):
            await self._store.append(
                Topic.JOBS,
                batch[start : start + MAX_BATCH],
                timeout_s=APPEND_TIMEOUT_S,
            )
