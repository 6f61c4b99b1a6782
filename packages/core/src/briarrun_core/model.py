"""Domain model shared by all packages: teams, queues, jobs and their states."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from briarrun_core.resources import NOTHING, Resources


class Urgency(StrEnum):
    """Urgency of a job; urgent work is scheduled first and shed last."""

    URGENT = "urgent"
    NORMAL = "normal"
    LOW = "low"


class JobKind(StrEnum):
    """Kind of a job, which determines how its tasks are placed."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class TaskState(StrEnum):
    """State in the ``task`` state chart."""

    PENDING = "pending"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    CHECKPOINTING = "checkpointing"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    SET_ASIDE = "set-aside"


class Outcome(StrEnum):
    """Outcome of a request or a task as reported to the caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Specification of an accepted job.

    ``run_seconds`` and ``resources`` are declared by the caller; the run time is only a
    hint. ``accepted_at`` is in seconds of the wall clock.
    """

    job_id: str
    team: str
    queue: str
    kind: JobKind
    urgency: Urgency = Urgency.NORMAL
    tasks: int = 1
    resources: Resources = NOTHING
    run_seconds: float | None = None
    idempotent: bool = True
    command: str = ""
    max_attempts: int = 3
    accepted_at: float = 0.0


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team with its weight, which counts when capacity is scarce, and its limit."""

    team_id: str
    weight: float = 1.0
    limit: Resources = NOTHING


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue; an empty ``teams`` admits every team."""

    name: str
    open_to_all: bool = False
    teams: tuple[str, ...] = ()
    policy: str = "default"
    default_urgency: Urgency = Urgency.NORMAL
    max_waiting: int = 1000


class Key(msgspec.Struct, frozen=True, kw_only=True):
    """An API key; only the SHA-256 hash of its secret is stored."""

    key_id: str
    team: str
    secret_sha256: str
    operator: bool = False


class Domain(msgspec.Struct, frozen=True, kw_only=True):
    """A failure domain and its region."""

    name: str
    region: str


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of a scheduling policy."""

    name: str
    kind: str = "weighted-share"
    parameters: dict[str, float] = {}


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """The complete configuration document of one generation."""

    domains_by_name: dict[str, Domain] = {}
    teams_by_id: dict[str, Team] = {}
    queues_by_name: dict[str, Queue] = {}
    keys_by_id: dict[str, Key] = {}
    policies_by_name: dict[str, Policy] = {}


OPEN_TEAM = "open"
"""Team charged for work without a key on a queue that is open to all."""


def task_id(job_id: str, index: int) -> str:
    """Return the id of a job's task; ``index`` counts from 0."""
    return f"{job_id}/{index}"


def job_id_of(task: str) -> str:
    """Return the job id contained in a task id."""
    return task.rpartition("/")[0]


def home_domain(job_id: str) -> str:
    """Return the failure domain contained in a job id."""
    return job_id.partition(".")[0]
