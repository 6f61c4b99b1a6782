"""Jobs of the cell as folded from the job stream, the same on every VM."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import JobSpec, JobState
from briarrun_cell.ports import Record
from briarrun_cell.records import (
    Cancellation,
    JobProgress,
    UnreadableRecord,
    decode,
)

_LOG = ComponentLog("jobs")


@dataclass(slots=True)
class JobEntry:
    """Hold what the stream says of one job; parts may arrive in any order.

    Some time after its end the spec has no steps any more.
    """

    spec: JobSpec | None = None
    cancelled: bool = False
    progress: JobProgress | None = None

    @property
    def state(self) -> JobState:
        """Return the job's state as callers see it."""
        if self.progress is not None and self.progress.final is not None:
            return self.progress.final
        if self.cancelled:
            return JobState.CANCELLED
        if self.progress is not None and self.progress.begun:
            return JobState.RUNNING
        return JobState.QUEUED

    @property
    def final(self) -> bool:
        """Tell whether nothing of the job is left to run."""
        return self.state in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class JobTable:
    """Fold the job stream; listeners hear of every job that changed."""

    def __init__(self) -> None:
        self.by_id: dict[str, JobEntry] = {}
        self.unreadable = 0
        self.listeners: list[Callable[[str], None]] = []

    def reset(self, records: Iterable[Record]) -> None:
        """Replace everything by the newest record of each key."""
        old = set(self.by_id)
        self.by_id = {}
        for record in sorted(records, key=lambda each: each.offset):
            self._fold(record)
        for job_id in sorted(old | set(self.by_id)):
            self._tell(job_id)

    def apply(self, records: Iterable[Record]) -> None:
        """Fold further records in order."""
        changed = dict.fromkeys(self._fold(record) for record in records)
        for job_id in changed:
            if job_id is not None:
                self._tell(job_id)

    def waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have no started task."""
        return sum(
            1
            for entry in self.by_id.values()
            if entry.spec is not None
            and entry.spec.queue == queue
            and entry.state is JobState.QUEUED
        )

    def _tell(self, job_id: str) -> None:
        for listener in self.listeners:
            listener(job_id)

    def _fold(self, record: Record) -> str | None:
        try:
            job_id, content = decode(record)
        except UnreadableRecord as error:
            self.unreadable += 1
            _LOG.warning("ignored an unreadable record", detail=str(error))
            return None
        if content is None:
            self.by_id.pop(job_id, None)
            return job_id
        entry = self.by_id.setdefault(job_id, JobEntry())
        if isinstance(content, JobSpec):
            # A repeated submission must not change the job that was accepted first.
            if entry.spec is None or not content.steps:
                entry.spec = content
        elif isinstance(content, Cancellation):
            entry.cancelled = True
        else:
            entry.progress = content
        return job_id
