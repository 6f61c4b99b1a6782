"""Table of the jobs of the cell, built from the job stream on every VM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import FINAL_STATES, JobSpec, JobState
from briarrun_cell.ports import Record, Topic
from briarrun_cell.records import (
    Cancellation,
    JobProgress,
    UnreadableRecord,
    decode,
    is_cancellation,
)
from briarrun_cell.unreadable import UnreadableRecords

_LOG = ComponentLog("jobs")


@dataclass(slots=True)
class JobEntry:
    """State of one job according to the stream; its records may come in any order.

    After a job has been compacted its spec has no steps. ``cancelled_ms`` is the time of
    the cancellation.
    """

    spec: JobSpec | None = None
    cancelled: bool = False
    cancelled_ms: int = 0
    progress: JobProgress | None = None

    @property
    def state(self) -> JobState:
        """State of the job as shown to callers."""
        if self.progress is not None and self.progress.final is not None:
            return self.progress.final
        if self.cancelled:
            return JobState.CANCELLED
        if self.progress is not None and self.progress.begun:
            return JobState.RUNNING
        return JobState.QUEUED

    @property
    def without_job(self) -> bool:
        """Whether there is a cancellation, but no job that it is for."""
        return self.cancelled and self.spec is None and self.progress is None

    @property
    def final(self) -> bool:
        """Whether the job has reached a final state."""
        return self.state in FINAL_STATES


class JobTable:
    """Jobs by id; listeners are called with the id of every changed job."""

    def __init__(self) -> None:
        self.by_id: dict[str, JobEntry] = {}
        self._unreadable = UnreadableRecords(Topic.JOBS, _LOG)
        self.listeners: list[Callable[[str], None]] = []
        self._outcome_waiters_by_id: dict[str, set[asyncio.Future[None]]] = {}

    @property
    def unreadable(self) -> int:
        """Number of records that could not be read."""
        return self._unreadable.count

    def reset(self, records: Iterable[Record]) -> None:
        """Replace the table by a snapshot, the newest record of each key."""
        old = set(self.by_id)
        self.by_id = {}
        for record in sorted(records, key=lambda each: each.offset):
            self._apply(record)
        for job_id in sorted(old | set(self.by_id)):
            self._notify(job_id)

    def apply(self, records: Iterable[Record]) -> None:
        """Apply further records in order."""
        changed = dict.fromkeys(self._apply(record) for record in records)
        for job_id in changed:
            if job_id is not None:
                self._notify(job_id)

    def waiting(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue with no started task."""
        return sum(
            1
            for entry in self.by_id.values()
            if entry.spec is not None
            and entry.spec.queue == queue
            and entry.state is JobState.QUEUED
        )

    async def wait_for_outcome(self, job_id: str, timeout_s: float) -> None:
        """Wait until a job is final or deleted, at most ``timeout_s``."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiters = self._outcome_waiters_by_id.setdefault(job_id, set())
        waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError:
            return
        finally:
            waiters.discard(waiter)
            if not waiters and self._outcome_waiters_by_id.get(job_id) is waiters:
                del self._outcome_waiters_by_id[job_id]

    def _notify(self, job_id: str) -> None:
        for listener in self.listeners:
            listener(job_id)
        if job_id not in self._outcome_waiters_by_id:
            return
        entry = self.by_id.get(job_id)
        if entry is None or entry.final:
            for waiter in self._outcome_waiters_by_id.pop(job_id):
                if not waiter.done():
                    waiter.set_result(None)

    def _apply(self, record: Record) -> str | None:
        try:
            job_id, content = decode(record)
        except UnreadableRecord as error:
            self._unreadable.add(record, error, "the job stays as it was")
            return None
        self._unreadable.clear(record.key)
        if content is None:
            self._delete(job_id, record)
            return job_id
        entry = self.by_id.setdefault(job_id, JobEntry())
        if isinstance(content, JobSpec):
            # A repeated submission must not change the accepted job; a spec without
            # steps is that of a compacted job.
            if entry.spec is None or not content.steps:
                entry.spec = content
        elif isinstance(content, Cancellation):
            entry.cancelled = True
            entry.cancelled_ms = content.cancelled_ms
        else:
            entry.progress = content
        return job_id

    def _delete(self, job_id: str, record: Record) -> None:
        """Delete a job, or only its cancellation."""
        entry = self.by_id.get(job_id)
        if entry is not None and entry.spec is not None and is_cancellation(record):
            entry.cancelled = False
        else:
            self.by_id.pop(job_id, None)
