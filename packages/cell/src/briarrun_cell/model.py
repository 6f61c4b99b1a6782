"""Jobs, customers, queues and workers of a cell."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import msgspec

from briarrun_core.resources import NOTHING, Resources


class JobState(StrEnum):
    """Name the states of a job as callers see them."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class EndKind(StrEnum):
    """Name how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease-lapsed"
    GANG_BROKEN = "gang-broken"
    GANG_INCOMPLETE = "gang-incomplete"


class TaskId(NamedTuple):
    """Identify one task of one occurrence of a job's step."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int

    @property
    def step_id(self) -> StepId:
        """Return the step that the task belongs to."""
        return StepId(self.job_id, self.occurrence, self.step)


class StepId(NamedTuple):
    """Identify one occurrence of a job's step."""

    job_id: str
    occurrence: int
    step: int

    def task(self, ordinal: int) -> TaskId:
        """Return the id of one of the step's tasks."""
        return TaskId(self.job_id, self.occurrence, self.step, ordinal)


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Describe one step: ``count`` like tasks.

    ``need`` is per task. ``after`` holds the numbers of the steps that must be done
    first. ``max_per_worker`` of 0 means no bound; ``max_unavailable`` of None means that
    planned disruption is not bounded.
    """

    count: int = 1
    need: Resources = NOTHING
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    duplicates_allowed: bool = False
    service: bool = False
    filler: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_target_ms: int = 0
    max_unavailable: int | None = None


class AdviceTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the admission advice of a queue: its time per call and validity."""

    decision_s: float
    per_worker_s: float
    validity_s: float

    def call_s(self, workers: int) -> float:
        """Return how long one call about so many workers takes."""
        return self.decision_s + self.per_worker_s * workers


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a queue: where its callers reach it and how its jobs run.

    ``priority`` 0 goes first. ``stretch`` times the run time plus ``latency_target_s``
    is the time in which callers expect the job to end.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_target_s: float = 1.0
    timeout_s: float = 3.0
    public: bool = False
    advice: AdviceTerms | None = None


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Describe a job as accepted; times are milliseconds since 1970.

    ``occurrences`` of 0 means a job without a schedule, which runs once at once.
    ``terms`` are the queue's at acceptance; they hold on if the queue is removed.
    """

    job_id: str
    terms: Queue
    customer: str
    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0

    @property
    def queue(self) -> str:
        """Return the name of the job's queue."""
        return self.terms.name

    @property
    def runs(self) -> int:
        """Return how often the steps run."""
        return max(1, self.occurrences)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start."""
        if not self.occurrences:
            return self.accepted_ms
        return self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class Customer:
    """Describe a team: its keys, its share and its upper limit (parts of 0: none)."""

    name: str
    keys: tuple[str, ...]
    weight: float
    limit: Resources


@dataclass(frozen=True, slots=True)
class CellConfig:
    """Hold one version of the whole configuration."""

    version: int
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    customers_by_name: dict[str, Customer] = field(default_factory=dict)
    customer_by_key: dict[str, str] = field(default_factory=dict)
    guarded_pools: frozenset[str] = frozenset()

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of the path."""
        best: Queue | None = None
        for queue in self.queues_by_name.values():
            matches = queue.host == host and path.startswith(queue.path_prefix)
            if matches and (
                best is None or len(queue.path_prefix) > len(best.path_prefix)
            ):
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Describe one life of a worker as the store's registry lists it.

    ``born_ms`` tells two lives under the same id apart.
    """

    worker_id: str
    born_ms: int
    address: str
    pool: str
    failure_domain: str
    capacity: Resources
    labels: tuple[str, ...]
    rack: str
    draining: bool


@dataclass(frozen=True, slots=True)
class RunReport:
    """Report one run that a worker holds; ``percent`` is its progress.

    ``gauge`` is the tail latency in ms for a service and millicores in use otherwise.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    gauge: float


@dataclass(frozen=True, slots=True)
class EndReport:
    """Report one ended run; ``number`` rises within one life of the worker."""

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Inventory:
    """Hold what a worker reports of itself; its clock is in milliseconds."""

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
