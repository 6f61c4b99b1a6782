"""Quarantine of workers on which tasks fail repeatedly."""

from __future__ import annotations

from dataclasses import dataclass, field

QUARANTINE_AFTER_FAILURES = 3
INITIAL_BACKOFF_S = 30.0
MAX_BACKOFF_S = 3600.0
FAULTY_JOB_WORKER_COUNT = 3
"""Number of workers on which a job must fail, without success on any, to be regarded as
faulty. Failures of a faulty job do not count against workers, including those counted
earlier. Otherwise one faulty job with many tasks could quarantine the whole fleet."""


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


def _is_faulty(record: _JobRecord) -> bool:
    return not record.succeeded and len(record.failed_on) >= FAULTY_JOB_WORKER_COUNT


class WorkerHealth:
    """Failure history of workers and jobs, which determines the quarantined workers.

    After ``QUARANTINE_AFTER_FAILURES`` consecutive failures a worker accepts no tasks
    until its backoff has passed. Then it accepts a single probe task. The quarantine
    ends if the probe succeeds and is extended if it fails.
    """

    def __init__(self) -> None:
        self._health_by_worker: dict[str, _Health] = {}
        self._records_by_job: dict[str, _JobRecord] = {}
        self._released_workers: list[str] = []

    def on_success(self, worker_id: str, job_id: str) -> None:
        """Record a successful task."""
        self._records_by_job.setdefault(job_id, _JobRecord()).succeeded = True
        self._health_by_worker.pop(worker_id, None)

    def on_failure(self, worker_id: str, job_id: str, task_id: str, now: float) -> bool:
        """Record a failed task and return whether the worker is now quarantined."""
        record = self._records_by_job.setdefault(job_id, _JobRecord())
        job_is_faulty = _is_faulty(record)
        if not job_is_faulty:
            record.failed_on.add(worker_id)
        health = self._health_by_worker.setdefault(worker_id, _Health())
        if health.probe == task_id:
            health.probe = None
            if not job_is_faulty:
                self._quarantine(health, now)
            return True
        if job_is_faulty:
            return False
        if _is_faulty(record):
            self._clear_failures(record, job_id)
            return health.until is not None
        health.failed_jobs = [*health.failed_jobs, job_id][-QUARANTINE_AFTER_FAILURES:]
        if (
            health.until is None
            and len(health.failed_jobs) >= QUARANTINE_AFTER_FAILURES
        ):
            self._quarantine(health, now)
            return True
        return False

    def _clear_failures(self, record: _JobRecord, job_id: str) -> None:
        """Remove the failures of a faulty job from the history of its workers.

        A first quarantine to which they contributed is lifted.
        """
        for worker_id in record.failed_on:
            health = self._health_by_worker.get(worker_id)
            if health is None or job_id not in health.failed_jobs:
                continue
            health.failed_jobs = [j for j in health.failed_jobs if j != job_id]
            if health.until is not None and health.quarantines == 1:
                health.until, health.quarantines = None, 0
                self._released_workers.append(worker_id)

    def _quarantine(self, health: _Health, now: float) -> None:
        backoff = min(INITIAL_BACKOFF_S * 2**health.quarantines, MAX_BACKOFF_S)
        health.quarantines += 1
        health.until = now + backoff
        health.probe = None

    def on_placed(self, worker_id: str, task_id: str) -> None:
        """Record a start; on a quarantined worker the task becomes the probe."""
        health = self._health_by_worker.get(worker_id)
        if health is not None and health.until is not None:
            health.probe = task_id

    def on_inconclusive(self, worker_id: str, task_id: str) -> None:
        """Record a withdrawn start, or an end that says nothing about the worker."""
        health = self._health_by_worker.get(worker_id)
        if health is not None and health.probe == task_id:
            health.probe = None

    def may_accept_tasks(self, worker_id: str, now: float) -> bool:
        """Return whether the worker may be given a task now."""
        health = self._health_by_worker.get(worker_id)
        if health is None or health.until is None:
            return True
        return health.probe is None and now >= health.until

    def quarantined_until(self, worker_id: str) -> float | None:
        """Return the time at which the backoff ends, or ``None`` if not quarantined."""
        health = self._health_by_worker.get(worker_id)
        return health.until if health is not None else None

    def pop_released_workers(self) -> list[str]:
        """Return the workers whose quarantine was lifted early since the last call."""
        released, self._released_workers = self._released_workers, []
        return released

    def quarantined(self) -> list[str]:
        """Return the ids of quarantined workers."""
        return [w for w, h in self._health_by_worker.items() if h.until is not None]

    def forget_worker(self, worker_id: str) -> None:
        """Delete the history of a worker."""
        self._health_by_worker.pop(worker_id, None)

    def forget_job(self, job_id: str) -> None:
        """Delete the history of a job."""
        self._records_by_job.pop(job_id, None)
