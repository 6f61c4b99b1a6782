"""Settings of the ledger and the messages that it exchanges with workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from briarrun_core.ledger_events import StopCause
from briarrun_core.model import TaskState
from briarrun_core.resources import NOTHING, Resources


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Times and limits of the ledger; times are seconds.

    A worker that has not responded for ``worker_silent_s`` gets no new tasks and no
    renewals. ``gang_start_s`` limits the time from the first start of a gang to the
    last confirmation.
    """

    task_lease_s: float = 15.0
    renew_interval_s: float = 5.0
    short_renew_interval_s: float = 0.1
    skew_bound_s: float = 0.05
    worker_silent_s: float = 3.0
    gang_start_s: float = 3.0
    checkpoint_s: float = 10.0
    throttle_grace_s: float = 10.0
    service_healthy_s: float = 60.0
    ended_job_keep_s: float = 600.0
    max_open_tasks: int = 100_000
    max_tasks_per_job: int = 10_000


class StartOutcome(StrEnum):
    """Result of sending a start, as known to the holder.

    ``not-sent`` means that the order was never written to a connection, so the task
    certainly did not run.
    """

    RUNNING = "running"
    LAPSED = "lapsed"
    FAILED = "failed"
    NO_RESPONSE = "no-response"
    NOT_SENT = "not-sent"


class JobState(StrEnum):
    """States of a job, as reported to callers."""

    PENDING = "pending"
    RUNNING = "running"
    SET_ASIDE = "set-aside"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


SCHEDULED_STATES = (JobState.PENDING, JobState.RUNNING, JobState.SET_ASIDE)
"""States of jobs that the scheduler tracks."""


class InventoryTask(msgspec.Struct, frozen=True, kw_only=True):
    """Task as listed in a worker's inventory.

    ``state`` is ``running``, ``throttled``, ``checkpointing``, ``checkpointed``,
    ``stopped``, ``done``, ``failed`` or ``lapsed``.
    """

    task_id: str
    attempt: int
    state: str
    lease_until: float = 0.0
    usage: Resources = NOTHING


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """Worker and its tasks as of ``taken_at`` (the worker's wall-clock seconds)."""

    taken_at: float
    capacity: Resources
    rack: str = ""
    draining: bool = False
    tasks: tuple[InventoryTask, ...] = ()


class WorkerInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Worker as declared by the platform."""

    worker_id: str
    rack: str = ""
    capacity: Resources = NOTHING
    draining: bool = False


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """Acceptance of a job.

    Once event number ``durable_seq`` is durable, the caller may be answered, and the
    holder calls ``Ledger.confirm_job`` so that the job's tasks may start.
    """

    job_id: str
    durable_seq: int


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to a worker to start a task.

    If ``durable_seq`` is set, the order may be sent only once that event is durable;
    otherwise it may be sent at once. ``lease_until`` is wall-clock seconds.
    """

    task_id: str
    attempt: int
    worker_id: str
    epoch: int
    resources: Resources
    lease_until: float
    command: str
    run_seconds: float | None
    durable_seq: int | None = None


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to a worker to stop a task, repeated until the worker confirms the end."""

    task_id: str
    attempt: int
    worker_id: str
    cause: StopCause


@dataclass(frozen=True, slots=True)
class CheckpointOrder:
    """Order to a worker to write a checkpoint of a task and then end the task."""

    task_id: str
    attempt: int
    worker_id: str


@dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Order to a worker to limit a task to its declared cores."""

    task_id: str
    attempt: int
    worker_id: str


WorkerOrder = StopOrder | CheckpointOrder | ThrottleOrder


@dataclass(frozen=True, slots=True)
class LeaseExtension:
    """Extension of a task's lease to ``lease_until`` (wall-clock seconds)."""

    task_id: str
    attempt: int
    lease_until: float


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Status of a job for callers; ``tasks_by_state`` counts its tasks."""

    job_id: str
    state: JobState
    tasks_by_state: dict[TaskState, int] = field(default_factory=dict)
    detail: str = ""
