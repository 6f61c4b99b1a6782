"""Jobs and steps as the holder works on them."""

from __future__ import annotations

import copy
from dataclasses import dataclass, field

from briarrun_cell.model import JobSpec, JobState, Queue, StepId, StepSpec
from briarrun_cell.records import JobProgress, StepProgress, progress_key
from briarrun_cell.workers import Run

GANG = -1
"""Index under which the failures of a whole gang are counted."""


@dataclass(slots=True)
class Ticket:
    """Hold a worker's admission ticket; it is good until ``expires_at``."""

    value: str
    expires_at: float


@dataclass(slots=True)
class StepAdvice:
    """Hold what the advice service approved for a step."""

    tickets_by_worker: dict[str, Ticket] = field(default_factory=dict)
    asked: frozenset[str] = frozenset()
    asking: bool = False
    known: bool = False
    retry_at: float = 0.0


@dataclass(slots=True, eq=False)
class Step:
    """Hold one occurrence of a step: what is waiting, active and done."""

    step_id: StepId
    job: Job
    spec: StepSpec
    progress: StepProgress
    pending: set[int]
    active: dict[int, list[Run]] = field(default_factory=dict)
    advice: StepAdvice = field(default_factory=StepAdvice)
    failed_on: set[str] = field(default_factory=set)
    remaining_s: float = 0.0
    blocked_since: float | None = None

    @property
    def done(self) -> bool:
        """Tell whether every task has ended well."""
        return len(self.progress.done) >= self.spec.count

    @property
    def startable(self) -> bool:
        """Tell whether something of the step waits to be placed."""
        if not self.pending:
            return False
        return not self.spec.gang or not self.active

    def runs(self) -> list[Run]:
        """Return the step's active runs."""
        return [run for runs in self.active.values() for run in runs]


@dataclass(slots=True, eq=False)
class Job:
    """Hold a job that is not final; ``target_end_at`` is by when callers expect its end."""

    spec: JobSpec
    queue: Queue
    progress: JobProgress
    accepted_at: float
    target_end_at: float
    latest_useful_end_at: float
    steps_by_id: dict[StepId, Step] = field(default_factory=dict)
    cancelled: bool = False
    excess: bool = False
    first_start_at: float | None = None
    final_at: float | None = None

    @property
    def job_id(self) -> str:
        """Return the job's id."""
        return self.spec.job_id

    @property
    def final(self) -> bool:
        """Tell whether the outcome is decided."""
        return self.progress.final is not None

    def ready_steps(self, wall_ms: int) -> list[Step]:
        """Return the steps whose earlier steps are done and whose time has come."""
        ready = []
        for step_id, step in self.steps_by_id.items():
            if not step.startable:
                continue
            if self.spec.due_ms(step_id.occurrence) > wall_ms:
                continue
            if all(
                self.steps_by_id[StepId(self.job_id, step_id.occurrence, earlier)].done
                for earlier in step.spec.after
            ):
                ready.append(step)
        return ready

    def settle(self, state: JobState, wall_ms: int, now: float) -> None:
        """Decide the outcome."""
        self.final_at = now
        self.progress.final = state
        self.progress.final_ms = wall_ms


def critical_path_ms(spec: JobSpec) -> float:
    """Return the longest chain of estimated run times through the steps."""
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        earlier = [ends[index] for index in step.after if index < number]
        ends.append(max(earlier, default=0.0) + step.estimated_ms)
    return max(ends, default=0.0)


def remaining_s(spec: JobSpec, first: int) -> float:
    """Return the shortest time in which a job can end from one of its steps on."""
    ends: dict[int, float] = {}
    for number, step in enumerate(spec.steps):
        if number < first:
            ends[number] = 0.0
            continue
        earlier = [ends[index] for index in step.after if index in ends]
        ends[number] = max(earlier, default=0.0) + step.estimated_ms / 1000
    return max(ends.values(), default=0.0)


ADVICE_WORKERS = 30
"""Workers that callers' expectation of one advice call is based on."""

LATE_FACTOR = 3.0
"""A job that ends within this multiple of its objective still has some value."""


def objective_s(spec: JobSpec, queue: Queue) -> float:
    """Return in how many seconds callers expect the job to end."""
    work_s = critical_path_ms(spec) / 1000
    if queue.advice is not None:
        work_s += queue.advice.call_s(ADVICE_WORKERS)
    return queue.stretch * work_s + queue.latency_target_s


def create_job(
    spec: JobSpec, queue: Queue, progress: JobProgress | None, now: float, wall_ms: int
) -> Job:
    """Return a job with the steps and tasks that are not done."""
    # The books change their own copy; the fold shows only what is stored.
    progress = copy.deepcopy(progress) or JobProgress()
    accepted_at = now - (wall_ms - spec.due_ms(0)) / 1000
    expected_s = objective_s(spec, queue)
    job = Job(
        spec,
        queue,
        progress,
        accepted_at=accepted_at,
        target_end_at=accepted_at + expected_s,
        latest_useful_end_at=accepted_at + LATE_FACTOR * expected_s,
    )
    for occurrence in range(spec.runs):
        for number, step in enumerate(spec.steps):
            step_id = StepId(spec.job_id, occurrence, number)
            key = progress_key(occurrence, number)
            stored = progress.steps_by_key.setdefault(key, StepProgress())
            pending = set(range(step.count)) - set(stored.done)
            job.steps_by_id[step_id] = Step(
                step_id,
                job,
                step,
                stored,
                pending,
                remaining_s=remaining_s(spec, number),
            )
    return job
