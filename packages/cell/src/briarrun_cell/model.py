"""Data types of a cell: jobs, customers, queues and workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import msgspec

from briarrun_core.resources import NOTHING, Resources
from briarrun_wire.decode import Amount, DurationS, Int64, Unsigned


class JobState(StrEnum):
    """States of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class EndKind(StrEnum):
    """Ways in which a run can end."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease-lapsed"
    GANG_BROKEN = "gang-broken"
    GANG_INCOMPLETE = "gang-incomplete"


class TaskId(NamedTuple):
    """Id of a task of one occurrence of a step."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int

    @property
    def step_id(self) -> StepId:
        """Id of the step that the task belongs to."""
        return StepId(self.job_id, self.occurrence, self.step)


class StepId(NamedTuple):
    """Id of one occurrence of a step."""

    job_id: str
    occurrence: int
    step: int

    def task(self, ordinal: int) -> TaskId:
        """Return the id of a task of the step."""
        return TaskId(self.job_id, self.occurrence, self.step, ordinal)


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Step of a job: ``count`` identical tasks.

    ``need`` is the resources of one task. ``after`` lists the indexes of the steps that
    must be done first. A ``max_per_worker`` of 0 means no limit, a ``max_unavailable``
    of None no limit on planned disruption.
    """

    count: Amount = 1
    need: Resources = NOTHING
    estimated_ms: Unsigned = 0
    after: tuple[Amount, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: Amount = 0
    duplicates_allowed: bool = False
    service: bool = False
    filler: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_target_ms: Unsigned = 0
    max_unavailable: Amount | None = None


class AdviceTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Duration of calls to the advice service for a queue, and validity of tickets."""

    decision_s: DurationS
    per_worker_s: DurationS
    validity_s: DurationS

    def call_s(self, workers: int) -> float:
        """Return the expected duration of a call about that many workers."""
        return self.decision_s + self.per_worker_s * workers


class Queue(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Queue: host and path for callers, and rules for its jobs.

    Priority 0 is the highest. Callers expect a job to end within ``stretch`` times its
    run time plus ``latency_target_s``.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: Int64 = 0
    max_attempts: Int64 = 1
    stretch: float = 1.0
    latency_target_s: DurationS = 1.0
    timeout_s: DurationS = 3.0
    public: bool = False
    advice: AdviceTerms | None = None


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Accepted job; times are in milliseconds since 1970.

    An ``occurrences`` of 0 means a job without a schedule, which runs once immediately.
    ``terms`` is the queue at the time of acceptance and stays valid if the queue is
    removed.
    """

    job_id: str
    terms: Queue
    customer: str
    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: Amount = 0
    first_due_ms: Unsigned = 0
    interval_ms: Unsigned = 0
    accepted_ms: Unsigned = 0

    @property
    def queue(self) -> str:
        """Name of the queue of the job."""
        return self.terms.name

    @property
    def runs(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.occurrences)

    def due_ms(self, occurrence: int) -> int:
        """Return the time from which an occurrence may start."""
        if not self.occurrences:
            return self.accepted_ms
        return self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class Customer:
    """Team with its keys, weight and resource limit; amounts of 0 mean no limit."""

    name: str
    keys: tuple[str, ...]
    weight: float
    limit: Resources


@dataclass(frozen=True, slots=True)
class CellConfig:
    """One version of the configuration of the cell."""

    version: int
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    customers_by_name: dict[str, Customer] = field(default_factory=dict)
    customer_by_key: dict[str, str] = field(default_factory=dict)
    guarded_pools: frozenset[str] = frozenset()

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest matching path prefix."""
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
    """Entry of a worker in the registry of the store.

    ``born_ms`` is the start time of the worker process. It distinguishes incarnations
    with the same id. A suspended worker gets no new runs.

    ``cold_s`` is the time for which the worker was still slow when the entry was
    written, ``remaining_s`` the minimum time for which it then stayed; None if that is
    not known. ``read_at`` is the time on the clock of this process at which the entry was
    read, ``known_since`` that at which the first entry of this incarnation was read.
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
    suspended: bool = False
    cold_s: float = 0.0
    remaining_s: float | None = None
    read_at: float = 0.0
    known_since: float = 0.0

    @property
    def cold_until(self) -> float:
        """Time until which the worker is slow because it started a short time ago."""
        return self.read_at + self.cold_s if self.cold_s > 0 else float("-inf")


@dataclass(frozen=True, slots=True)
class RunReport:
    """Report of a running run; ``percent`` is its progress.

    ``gauge`` is the tail latency in milliseconds of a service, or the millicores in use
    of any other run.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    gauge: float


@dataclass(frozen=True, slots=True)
class EndReport:
    """Report of an ended run; ``number`` increases within one worker incarnation."""

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Inventory:
    """Inventory reported by a worker; ``clock_ms`` is the time on its clock.

    A worker lists only its oldest ends if it has many. A run that it does not list has
    certainly not ended only if it ``lists_all_ends``.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    lists_all_ends: bool = True
