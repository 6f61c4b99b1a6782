"""Ledger commands that apply to jobs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from expression import Error, Ok, Result

from briarrun_core.attempt_outcomes import AttemptFinisher
from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.jobs import Task
from briarrun_core.ledger_core import LedgerCore
from briarrun_core.ledger_events import (
    JobAdded,
    JobCancelled,
    JobForgotten,
    JobResumed,
    JobSetAside,
    StopCause,
)
from briarrun_core.ledger_orders import (
    JobAccepted,
    JobStatus,
    LedgerSettings,
    StopOrder,
)
from briarrun_core.model import JobSpec, TaskState
from briarrun_core.records import EndedJob
from briarrun_core.resources import NOTHING
from briarrun_core.views import JobView


class LedgerJobs:
    """Part of the ledger that accepts, cancels, sets aside and reports jobs."""

    def __init__(self, core: LedgerCore, finisher: AttemptFinisher) -> None:
        self._core = core
        self._finisher = finisher

    def accept_job(
        self, spec: JobSpec, now_wall: float
    ) -> Result[JobAccepted, Refused]:
        """Accept a job; the caller may be answered once ``durable_seq`` is durable.

        A repeated submission of the same specification returns the first answer again.
        """
        core, known = self._core, self._core.job_registry.jobs_by_id.get(spec.job_id)
        if not core.is_holder:
            return Error(
                Refused(
                    RefusalReason.NO_AUTHORITY,
                    "this is a replica",
                )
            )
        if known is not None:
            if _same_job(known.spec, spec):
                return Ok(JobAccepted(spec.job_id, known.accept_seq))
            return Error(Refused(RefusalReason.DUPLICATE_JOB, spec.job_id))
        problem = _find_problem(spec, core.settings)
        if problem:
            return Error(Refused(RefusalReason.INVALID_REQUEST, problem))
        if core.job_registry.open_tasks + spec.tasks > core.settings.max_open_tasks:
            detail = f"{core.job_registry.open_tasks} tasks are open in {core.domain}"
            return Error(Refused(RefusalReason.OVERLOADED, detail))
        core.emit(JobAdded(spec=spec))
        job = core.job_registry.jobs_by_id[spec.job_id]
        job.confirmed, job.accept_seq = False, core.seq
        return Ok(JobAccepted(spec.job_id, core.seq))

    def confirm_job(self, job_id: str) -> None:
        """Record that the acceptance is durable, so that the job's tasks may start."""
        job = self._core.job_registry.jobs_by_id.get(job_id)
        if job is not None:
            job.confirmed = True

    def cancel_job(self, job_id: str, now_wall: float) -> list[StopOrder]:
        """Cancel a job; running tasks stay charged until their workers confirm the stop.

        Unknown and ended jobs are ignored. The cancellation is event number ``seq``.
        """
        job = self._core.job_registry.jobs_by_id.get(job_id)
        if job is None or job.ended_at is not None or not self._core.is_holder:
            return []
        if not job.cancelled:
            self._core.emit(JobCancelled(job_id=job_id, at=now_wall))
            self._finisher.schedule_job_removal(job)
        for task in job.active_tasks():
            self._core.stop(task, StopCause.CANCELLED)
        return [o for o in self._core.take_orders() if isinstance(o, StopOrder)]

    def set_aside_job(self, job_id: str, reason: str) -> None:
        """Remove a job that can never run from the queue."""
        job = self._core.job_registry.jobs_by_id.get(job_id)
        if job is not None and job.counts[TaskState.PENDING]:
            self._core.emit(JobSetAside(job_id=job_id, reason=reason))

    def resume_job(self, job_id: str) -> None:
        """Return a job that was set aside to the queue."""
        job = self._core.job_registry.jobs_by_id.get(job_id)
        if job is not None and job.counts[TaskState.SET_ASIDE]:
            self._core.emit(JobResumed(job_id=job_id))

    def job_status(self, job_id: str) -> JobStatus | None:
        """Return the status of a job, or None if the job is unknown."""
        job = self._core.job_registry.jobs_by_id.get(job_id)
        return None if job is None else job.status()

    def never_started(self, job_id: str) -> bool:
        """Return whether it is certain that no task of a job has run.

        Starts of idempotent tasks need not be durable, so an earlier holder may have
        started some without replicating that.
        """
        job = self._core.job_registry.jobs_by_id.get(job_id)
        if job is None or job.maybe_started or (job.inherited and job.spec.idempotent):
            return False
        return not any(task.runs for task in job.tasks)

    def needs_logged_end(self, job_id: str) -> bool:
        """Return whether "not run" must wait until the job's end is read from the log.

        If all replicas were lost, a record of the job in the log, or on its way there,
        would make the job open again.
        """
        job = self._core.job_registry.jobs_by_id.get(job_id)
        return job is not None and job.maybe_logged

    def job_view(self, job_id: str, policy: str = "default") -> JobView | None:
        """Return the scheduler's view of a job, or None if no tasks may be started."""
        job = self._core.job_registry.jobs_by_id.get(job_id)
        if job is None or not job.confirmed or not job.counts[TaskState.PENDING]:
            return None
        pending = [t.task_id for t in job.tasks if t.state is TaskState.PENDING]
        return JobView.of(job.spec, tuple(pending), policy)

    def job_spec(self, job_id: str) -> JobSpec | None:
        """Return the specification of a job, or None if the job is unknown."""
        job = self._core.job_registry.jobs_by_id.get(job_id)
        return None if job is None else job.spec

    def active_tasks(self) -> Iterator[Task]:
        """Yield every task that is charged to a worker."""
        yield from self._core.job_registry.active_tasks()

    def open_jobs(self) -> Iterator[JobSpec]:
        """Yield the specification of every job that has not ended."""
        for job in self._core.job_registry.jobs_by_id.values():
            if job.ended_at is None:
                yield job.spec

    def jobs_to_log(self) -> tuple[list[JobSpec], list[EndedJob]]:
        """Return the accepted and ended jobs that are not in the log yet.

        An end is logged only once it is replicated. Otherwise a job could be open for a
        successor although it has already ended according to the log.
        """
        job_registry, replicated = self._core.job_registry, self._core.replicated_seq
        accepted = []
        for job in job_registry.accepted_unlogged.values():
            if job.ended_at is None:
                job.maybe_logged = True
                accepted.append(job.spec)
        ended = [
            EndedJob(job_id=job.job_id, state=job.state.value)
            for job in job_registry.ended_unlogged.values()
            if all(task.end_seq <= replicated for task in job.tasks)
        ]
        return accepted, ended

    def on_jobs_logged(self, accepted: Iterable[str], ended: Iterable[str]) -> None:
        """Record the jobs in a record that was read back from the log."""
        for job_id in accepted:
            self._core.job_registry.accepted_unlogged.pop(job_id, None)
        for job_id in ended:
            self._core.job_registry.ended_unlogged.pop(job_id, None)

    def _forget_ended(self, job_id: str, now: float) -> None:
        core = self._core
        if job_id in core.job_registry.ended_unlogged:
            # A successor would read the job as open from the log and run it again.
            core.job_removal_deadlines.set(job_id, now + core.settings.ended_job_keep_s)
        elif job_id in core.job_registry.jobs_by_id:
            core.emit(JobForgotten(job_id=job_id))


def _same_job(known: JobSpec, spec: JobSpec) -> bool:
    return _without_time(known) == _without_time(spec)


def _without_time(spec: JobSpec) -> tuple[object, ...]:
    fields = spec.__struct_fields__
    return tuple(getattr(spec, name) for name in fields if name != "accepted_at")


def _find_problem(spec: JobSpec, settings: LedgerSettings) -> str:
    """Return what is wrong with a specification, or an empty string."""
    amounts = spec.resources
    if not 1 <= spec.tasks <= settings.max_tasks_per_job:
        return f"/tasks: must be from 1 to {settings.max_tasks_per_job}"
    if not NOTHING.fits_in(amounts) or amounts.is_zero:
        return "/resources: must be positive in at least one part"
    if spec.max_attempts < 1:
        return "/max_attempts: must be at least 1"
    if not spec.job_id or "/" in spec.job_id:
        return "/job_id: must be non-empty and contain no '/'"
    return ""
