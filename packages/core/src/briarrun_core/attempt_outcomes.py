"""What follows when an attempt certainly no longer runs."""

from __future__ import annotations

from enum import Enum, auto

from briarrun_core.jobs import Job, Task
from briarrun_core.ledger_core import LedgerCore
from briarrun_core.ledger_events import StopCause, TaskEnded, TaskRequeued
from briarrun_core.model import JobKind, TaskState


class AttemptOutcome(Enum):
    """Name how an attempt ended, as far as the holder knows.

    ``LOST`` means that it no longer runs and nothing says what it did; ``NOT_RUN`` that
    it certainly never ran.
    """

    DONE = auto()
    FAILED = auto()
    STOPPED = auto()
    LOST = auto()
    NOT_RUN = auto()


# A worker may go on after a checkpoint, so "checkpointed" is no end; a stop follows it.
OUTCOME_BY_WORKER_STATE = {
    "done": AttemptOutcome.DONE,
    "failed": AttemptOutcome.FAILED,
    "stopped": AttemptOutcome.STOPPED,
    "lapsed": AttemptOutcome.STOPPED,
}


class AttemptFinisher:
    """Release attempts and decide between another attempt and a final state."""

    def __init__(self, core: LedgerCore) -> None:
        self._core = core

    def finish(
        self, task: Task, ending: AttemptOutcome, now: float, detail: str = ""
    ) -> None:
        """Release an attempt that ended; ``now`` is wall-clock seconds."""
        state = self._final_state(task, ending, now)
        if state is not None:
            self._end(task, state, now, detail or task.detail)
        else:
            self._requeue(task, ending, now, detail or task.detail)
        if task.job.is_gang:
            self._after_gang_member(task, state, now)

    def _final_state(
        self, task: Task, ending: AttemptOutcome, now: float
    ) -> TaskState | None:
        idempotent = task.spec.idempotent
        if ending is AttemptOutcome.DONE:
            return TaskState.DONE
        if task.job.cancelled:
            if ending is AttemptOutcome.LOST and not idempotent:
                return TaskState.UNKNOWN
            failed = ending is AttemptOutcome.FAILED
            return TaskState.FAILED if failed else TaskState.CANCELLED
        if ending is AttemptOutcome.NOT_RUN:
            return None
        if not idempotent:
            lost = ending is AttemptOutcome.LOST
            return TaskState.UNKNOWN if lost else TaskState.FAILED
        if not self._counts(task, ending, now):
            return None
        failures = 0 if self._forgives(task, now) else task.failures
        if failures + 1 < task.spec.max_attempts:
            return None
        return TaskState.UNKNOWN if ending is AttemptOutcome.LOST else TaskState.FAILED

    def _counts(self, task: Task, ending: AttemptOutcome, now: float) -> bool:
        """Tell whether the attempt counts towards ``max_attempts``.

        An attempt that was lost after a long run was most likely lost with its worker,
        and one that was never confirmed may not have run.
        """
        if ending is AttemptOutcome.FAILED:
            return True
        if ending is AttemptOutcome.LOST:
            stopped = task.cause is not None and task.cause is not StopCause.OVERUSE
            return task.confirmed and not stopped and not self._was_healthy(task, now)
        return ending is AttemptOutcome.STOPPED and task.cause is StopCause.OVERUSE

    def _was_healthy(self, task: Task, now: float) -> bool:
        ran_s = now - task.started_at
        return task.confirmed and ran_s >= self._core.settings.service_healthy_s

    def _forgives(self, task: Task, now: float) -> bool:
        return task.spec.kind is JobKind.SERVICE and self._was_healthy(task, now)

    def _requeue(
        self, task: Task, ending: AttemptOutcome, now: float, detail: str
    ) -> None:
        self._core.emit(
            TaskRequeued(
                task_id=task.task_id,
                attempt=task.attempt,
                counted=self._counts(task, ending, now),
                started=ending is not AttemptOutcome.NOT_RUN,
                healthy=self._forgives(task, now),
                detail=detail,
            )
        )

    def _end(self, task: Task, state: TaskState, now: float, detail: str) -> None:
        self._core.emit(
            TaskEnded(
                task_id=task.task_id,
                attempt=task.attempt,
                state=state,
                at=now,
                detail=detail,
            )
        )
        self.schedule_job_removal(task.job)

    def schedule_job_removal(self, job: Job) -> None:
        """Schedule the removal of the record of a job that ended."""
        if job.ended_at is not None:
            keep_until = job.ended_at + self._core.settings.ended_job_keep_s
            self._core.job_removal_deadlines.set(job.job_id, keep_until)

    def _after_gang_member(
        self, task: Task, state: TaskState | None, now: float
    ) -> None:
        if state is TaskState.DONE:
            return
        job = task.job
        self._core.gang_start_deadlines.discard(job.job_id)
        for other in job.active_tasks():
            if other.state is not TaskState.STOPPING:
                self._core.stop(other, StopCause.GANG_INCOMPLETE)
        if job.counts[TaskState.FAILED] or job.counts[TaskState.UNKNOWN]:
            for other in job.tasks:
                if other.state is TaskState.PENDING:
                    self._end(other, TaskState.FAILED, now, f"{task.task_id} ended")

    def stop_incomplete_gang(self, job: Job) -> None:
        """Stop the started tasks of a gang of which others did not start in time."""
        counts = job.counts
        running = counts[TaskState.RUNNING] + counts[TaskState.CHECKPOINTING]
        whole = running + counts[TaskState.DONE] == len(job.tasks)
        if not whole:
            for task in job.active_tasks():
                self._core.stop(task, StopCause.GANG_INCOMPLETE)
