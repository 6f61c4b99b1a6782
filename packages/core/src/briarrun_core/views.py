"""Data passed between the ledger, the scheduler and the daemon."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from briarrun_core.model import JobKind, JobSpec, Urgency
from briarrun_core.resources import NOTHING, Resources


class WorkerState(StrEnum):
    """State of a worker; only available workers are given new tasks."""

    UNKNOWN = "unknown"
    AVAILABLE = "available"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class WorkerView:
    """The scheduler's view of a worker.

    ``free`` is the amount up to which the ledger would accept starts.
    """

    worker_id: str
    rack: str
    domain: str
    capacity: Resources
    free: Resources
    state: WorkerState = WorkerState.AVAILABLE


@dataclass(frozen=True, slots=True)
class TeamView:
    """The scheduler's view of a team.

    ``slice`` is the domain's part of the team's limit. ``domain_usage`` is the team's
    usage in this domain and ``fleet_usage`` its last known usage in the fleet.
    ``limit`` is the team's limit in the whole fleet, or ``None`` if it is unknown; a
    job that exceeds it can never run.
    """

    team_id: str
    weight: float
    slice: Resources
    domain_usage: Resources = NOTHING
    fleet_usage: Resources = NOTHING
    limit: Resources | None = None


@dataclass(frozen=True, slots=True)
class JobView:
    """The scheduler's view of a job and its pending tasks.

    ``accepted_at`` is in seconds of the caller's clock. ``policy`` is the name of the
    policy of the job's queue. Tasks that are not ``checkpointable`` are never
    checkpointed in favor of others.
    """

    job_id: str
    team: str
    kind: JobKind
    urgency: Urgency
    pending_tasks: tuple[str, ...]
    resources: Resources
    run_seconds: float | None
    accepted_at: float
    policy: str = "default"
    checkpointable: bool = True

    @classmethod
    def of(
        cls, spec: JobSpec, pending_tasks: tuple[str, ...], policy: str = "default"
    ) -> JobView:
        """Create the view of a job.

        Only idempotent tasks, which may be started again, are checkpointable.
        """
        return cls(
            job_id=spec.job_id,
            team=spec.team,
            kind=spec.kind,
            urgency=spec.urgency,
            pending_tasks=pending_tasks,
            resources=spec.resources,
            run_seconds=spec.run_seconds,
            accepted_at=spec.accepted_at,
            policy=policy,
            checkpointable=spec.idempotent,
        )


@dataclass(frozen=True, slots=True)
class Place:
    """Decision to start a task on a worker.

    Tasks of the same gang have the same ``gang``.
    """

    task_id: str
    worker_id: str
    reason: str
    gang: str | None = None


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Decision to checkpoint a running task in favor of ``for_job``."""

    task_id: str
    for_job: str
    reason: str


@dataclass(frozen=True, slots=True)
class SetAside:
    """Decision to remove a job that can never run from the pending queue."""

    job_id: str
    reason: str


Decision = Place | Checkpoint | SetAside
