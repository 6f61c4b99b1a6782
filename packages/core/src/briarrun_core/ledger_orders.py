"""Orders, answers and settings of the ledger."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from briarrun_core.ledger_events import StopCause
from briarrun_core.model import TaskState
from briarrun_core.resources import NOTHING, Resources


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Hold the times and bounds of the ledger; times are seconds.

    ``worker_silent_s`` is how long after its last sign of life a worker gets no new
    tasks and no renewals. ``gang_start_s`` bounds the time from a gang's first start
    to its last confirmed one.
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
    """Name what a holder learns from sending a start.

    ``not-sent`` means that the order was never handed to a connection, so that it
    certainly did not run.
    """

    RUNNING = "running"
    LAPSED = "lapsed"
    FAILED = "failed"
    NO_RESPONSE = "no-response"
    NOT_SENT = "not-sent"


class JobState(StrEnum):
    """Name the state of a job as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    SET_ASIDE = "set-aside"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


SCHEDULED_STATES = (JobState.PENDING, JobState.RUNNING, JobState.SET_ASIDE)
"""States of a job that the scheduler still knows."""


class InventoryTask(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a task as its worker lists it.

    ``state`` is ``running``, ``throttled``, ``checkpointing``, ``checkpointed``,
    ``stopped``, ``done``, ``failed`` or ``lapsed``.
    """

    task_id: str
    attempt: int
    state: str
    lease_until: float = 0.0
    usage: Resources = NOTHING


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a worker and its tasks as of ``taken_at`` (its wall-clock seconds)."""

    taken_at: float
    capacity: Resources
    rack: str = ""
    draining: bool = False
    tasks: tuple[InventoryTask, ...] = ()


class WorkerInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a worker as the platform declares it."""

    worker_id: str
    rack: str = ""
    capacity: Resources = NOTHING
    draining: bool = False


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """Report an accepted job.

    The caller may be answered once event number ``durable_seq`` is durable; the
    holder then calls ``Ledger.confirm_job`` and the job's tasks may start.
    """

    job_id: str
    durable_seq: int


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Tell a worker to start a task.

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
    """Tell a worker to stop a task; repeated until the worker confirms the end."""

    task_id: str
    attempt: int
    worker_id: str
    cause: StopCause


@dataclass(frozen=True, slots=True)
class CheckpointOrder:
    """Tell a worker to checkpoint a task and end it."""

    task_id: str
    attempt: int
    worker_id: str


@dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Tell a worker to hold a task to its declared cores."""

    task_id: str
    attempt: int
    worker_id: str


WorkerOrder = StopOrder | CheckpointOrder | ThrottleOrder


@dataclass(frozen=True, slots=True)
class LeaseExtension:
    """Extend a task's lease to ``lease_until`` (wall-clock seconds)."""

    task_id: str
    attempt: int
    lease_until: float


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Show a job as callers see it; ``tasks_by_state`` counts its tasks."""

    job_id: str
    state: JobState
    tasks_by_state: dict[TaskState, int] = field(default_factory=dict)
    detail: str = ""
