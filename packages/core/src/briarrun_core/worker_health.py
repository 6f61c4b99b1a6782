"""Quarantine of workers that fail the tasks they start."""

from __future__ import annotations

from dataclasses import dataclass, field

QUARANTINE_AFTER_FAILURES = 3
FIRST_BACKOFF_S = 30.0
LONGEST_BACKOFF_S = 3600.0
JOB_FAULT_WORKERS = 3
"""A job that failed on this many workers and succeeded on none is itself at fault; its
failures count against no worker, not even those counted before it was known. Without
this rule one broken job with many tasks would quarantine the whole fleet."""


@dataclass(slots=True)
class _Health:
    failed_jobs: list[str] = field(default_factory=list)
    quarantines: int = 0
    until: float | None = None
    probe: str | None = None


@dataclass(slots=True)
class _JobRecord:
    succeeded: bool = False
    failed_on: set[str] = field(default_factory=set)


def _at_fault(record: _JobRecord) -> bool:
    return not record.succeeded and len(record.failed_on) >= JOB_FAULT_WORKERS


class WorkerHealth:
    """Decide which workers may take tasks.

    After ``QUARANTINE_AFTER_FAILURES`` failures in a row a worker takes none until its
    backoff has passed; then it takes a single probe task, whose end decides.
    """

    def __init__(self) -> None:
        self._health_by_worker: dict[str, _Health] = {}
        self._records_by_job: dict[str, _JobRecord] = {}
        self._excused: list[str] = []

    def on_success(self, worker_id: str, job_id: str) -> None:
        """Take note of a task that ended well."""
        self._records_by_job.setdefault(job_id, _JobRecord()).succeeded = True
        self._health_by_worker.pop(worker_id, None)

    def on_failure(self, worker_id: str, job_id: str, task_id: str, now: float) -> bool:
        """Take note of a failed task; tell whether the worker is now quarantined."""
        record = self._records_by_job.setdefault(job_id, _JobRecord())
        at_fault = _at_fault(record)
        if not at_fault:
            record.failed_on.add(worker_id)
        health = self._health_by_worker.setdefault(worker_id, _Health())
        if health.probe == task_id:
            health.probe = None
            if not at_fault:
                self._quarantine(health, now)
            return True
        if at_fault:
            return False
        if _at_fault(record):
            self._excuse(record, job_id)
            return health.until is not None
        health.failed_jobs = [*health.failed_jobs, job_id][-QUARANTINE_AFTER_FAILURES:]
        if (
            health.until is None
            and len(health.failed_jobs) >= QUARANTINE_AFTER_FAILURES
        ):
            self._quarantine(health, now)
            return True
        return False

    def _excuse(self, record: _JobRecord, job_id: str) -> None:
        """Take back what was counted against workers for a job at fault."""
        for worker_id in record.failed_on:
            health = self._health_by_worker.get(worker_id)
            if health is None or job_id not in health.failed_jobs:
                continue
            health.failed_jobs = [j for j in health.failed_jobs if j != job_id]
            if health.until is not None and health.quarantines == 1:
                health.until, health.quarantines = None, 0
                self._excused.append(worker_id)

    def _quarantine(self, health: _Health, now: float) -> None:
        backoff = min(FIRST_BACKOFF_S * 2**health.quarantines, LONGEST_BACKOFF_S)
        health.quarantines += 1
        health.until = now + backoff
        health.probe = None

    def on_placed(self, worker_id: str, task_id: str) -> None:
        """Take note of a start; on a quarantined worker it is the probe."""
        health = self._health_by_worker.get(worker_id)
        if health is not None and health.until is not None:
            health.probe = task_id

    def on_inconclusive(self, worker_id: str, task_id: str) -> None:
        """Take note of a start that did not happen or ended without a verdict."""
        health = self._health_by_worker.get(worker_id)
        if health is not None and health.probe == task_id:
            health.probe = None

    def may_accept_tasks(self, worker_id: str, now: float) -> bool:
        """Tell whether the worker may be given a task now."""
        health = self._health_by_worker.get(worker_id)
        if health is None or health.until is None:
            return True
        return health.probe is None and now >= health.until

    def quarantined_until(self, worker_id: str) -> float | None:
        """Return when the quarantine ends, in seconds, or ``None``."""
        health = self._health_by_worker.get(worker_id)
        return health.until if health is not None else None

    def pop_released_workers(self) -> list[str]:
        """Return workers whose quarantine was lifted since the last call."""
        found, self._excused = self._excused, []
        return found

    def quarantined(self) -> list[str]:
        """Return the ids of quarantined workers."""
        return [w for w, h in self._health_by_worker.items() if h.until is not None]

    def forget_worker(self, worker_id: str) -> None:
        """Drop what is known of a worker."""
        self._health_by_worker.pop(worker_id, None)

    def forget_job(self, job_id: str) -> None:
        """Drop what is known of a job."""
        self._records_by_job.pop(job_id, None)
