"""Events that replicate a holder's ledger, and snapshots of the replicated state.

A replica that has applied all events in order equals the holder's ledger. Lease times
are deliberately left out: a successor assumes the longest lease that the previous holder
could have granted, so renewals need no replication.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from briarrun_core.model import JobSpec, TaskState
from briarrun_core.resources import NOTHING, Resources


class StopCause(StrEnum):
    """Reason for stopping a task, which determines how the task continues."""

    CANCELLED = "cancelled"
    EXCESS = "excess"
    PREEMPTED = "preempted"
    GANG_INCOMPLETE = "gang-incomplete"
    OVERUSE = "overuse"
    UNKNOWN_TASK = "unknown-task"


class WorkerSet(msgspec.Struct, frozen=True, kw_only=True, tag="worker-set"):
    """A worker was added or its properties changed."""

    worker_id: str
    rack: str
    capacity: Resources
    draining: bool = False


class WorkerRemoved(msgspec.Struct, frozen=True, kw_only=True, tag="worker-removed"):
    """A worker without tasks was removed."""

    worker_id: str


class LedgerLost(msgspec.Struct, frozen=True, kw_only=True, tag="ledger-lost"):
    """Tasks of a lost ledger may run until ``until`` (wall-clock seconds)."""

    until: float


class JobAdded(msgspec.Struct, frozen=True, kw_only=True, tag="job-added"):
    """A job was accepted.

    ``maybe_started`` marks a job whose earlier starts are unknown because the ledger
    that recorded them was lost.
    """

    spec: JobSpec
    maybe_started: bool = False


class JobCancelled(msgspec.Struct, frozen=True, kw_only=True, tag="job-cancelled"):
    """A job and its pending tasks were cancelled; ``at`` is wall-clock seconds."""

    job_id: str
    at: float


class JobStartsKnown(msgspec.Struct, frozen=True, kw_only=True, tag="starts-known"):
    """No attempt started before the loss of a ledger can still be running."""

    job_id: str


class JobSetAside(msgspec.Struct, frozen=True, kw_only=True, tag="job-set-aside"):
    """A job's pending tasks were taken out of the queue."""

    job_id: str
    reason: str


class JobResumed(msgspec.Struct, frozen=True, kw_only=True, tag="job-resumed"):
    """The tasks of a job that was set aside were returned to the queue."""

    job_id: str


class JobForgotten(msgspec.Struct, frozen=True, kw_only=True, tag="job-forgotten"):
    """The record of an ended job was dropped."""

    job_id: str


class TaskStarted(msgspec.Struct, frozen=True, kw_only=True, tag="task-started"):
    """A task was charged to a worker; its start is sent after this event."""

    task_id: str
    attempt: int
    worker_id: str
    at: float


class TaskConfirmed(msgspec.Struct, frozen=True, kw_only=True, tag="task-confirmed"):
    """The worker confirmed that it runs the attempt."""

    task_id: str
    attempt: int


class TaskAdopted(msgspec.Struct, frozen=True, kw_only=True, tag="task-adopted"):
    """A running task whose start was not replicated was charged to its worker."""

    task_id: str
    attempt: int
    worker_id: str
    at: float


class TaskStopping(msgspec.Struct, frozen=True, kw_only=True, tag="task-stopping"):
    """A stop of the attempt was ordered."""

    task_id: str
    attempt: int
    cause: StopCause
    detail: str = ""


class TaskCheckpointing(
    msgspec.Struct, frozen=True, kw_only=True, tag="task-checkpointing"
):
    """A checkpoint of the attempt was ordered."""

    task_id: str
    attempt: int


class TaskRequeued(msgspec.Struct, frozen=True, kw_only=True, tag="task-requeued"):
    """An attempt that has certainly stopped was released and its task queued again.

    ``counted`` says whether the attempt counts towards ``max_attempts``, and ``healthy``
    whether it ran long enough to reset the count of failures. ``started`` is false if
    the attempt certainly never ran.
    """

    task_id: str
    attempt: int
    counted: bool = False
    started: bool = True
    healthy: bool = False
    detail: str = ""


class TaskEnded(msgspec.Struct, frozen=True, kw_only=True, tag="task-ended"):
    """A task was released in its final state; ``at`` is wall-clock seconds."""

    task_id: str
    attempt: int
    state: TaskState
    at: float
    detail: str = ""


LedgerEvent = (
    WorkerSet
    | WorkerRemoved
    | LedgerLost
    | JobAdded
    | JobCancelled
    | JobStartsKnown
    | JobSetAside
    | JobResumed
    | JobForgotten
    | TaskStarted
    | TaskConfirmed
    | TaskAdopted
    | TaskStopping
    | TaskCheckpointing
    | TaskRequeued
    | TaskEnded
)


class TaskSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Replicated state of one task."""

    state: TaskState
    attempt: int = 0
    worker_id: str = ""
    started_at: float = 0.0
    failures: int = 0
    runs: int = 0
    cause: StopCause | None = None
    detail: str = ""


class JobSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Replicated state of one job."""

    spec: JobSpec
    tasks: tuple[TaskSnapshot, ...]
    cancelled: bool = False
    maybe_started: bool = False
    reason: str = ""
    ended_at: float | None = None


class WorkerSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Replicated state of one worker."""

    worker_id: str
    rack: str = ""
    capacity: Resources = NOTHING
    draining: bool = False


class LedgerSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Replicated state of a ledger after event number ``seq``."""

    seq: int
    lost_until: float = 0.0
    workers: tuple[WorkerSnapshot, ...] = ()
    jobs: tuple[JobSnapshot, ...] = ()
