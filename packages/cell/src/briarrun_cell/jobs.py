"""Jobs and steps in the ledger of the holder."""

from __future__ import annotations

import copy
from dataclasses import dataclass, field

from briarrun_cell.model import JobSpec, JobState, Queue, StepId, StepSpec
from briarrun_cell.records import JobProgress, StepProgress, progress_key
from briarrun_cell.waiting import Wait, WaitReason
from briarrun_cell.workers import Run

GANG = -1
"""Task index under which the failures of a gang are counted."""


@dataclass(slots=True)
class Ticket:
    """Admission ticket for a worker, valid until ``expires_at``."""

    value: str
    expires_at: float


@dataclass(slots=True)
class StepAdvice:
    """Answers of the advice service for a step.

    ``requested`` tells whether a request was made since the planner last looked for
    workers with all answers at hand.
    """

    tickets_by_worker: dict[str, Ticket] = field(default_factory=dict)
    queried: frozenset[str] = frozenset()
    request_in_flight: bool = False
    requested: bool = False
    answered: bool = False
    retry_at: float = 0.0


@dataclass(slots=True, eq=False)
class Step:
    """One occurrence of a step with its waiting, active and completed tasks.

    ``blocked_since`` is the time since which the step has found no workers, and
    ``examined_at`` the time of the last round that looked for some.
    """

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
    examined_at: float = float("-inf")
    wait: Wait | None = None

    @property
    def done(self) -> bool:
        """Whether all tasks have completed."""
        return len(self.progress.done) >= self.spec.count

    @property
    def startable(self) -> bool:
        """Whether tasks of the step wait to be placed."""
        if not self.pending:
            return False
        return not self.spec.gang or not self.active

    def runs(self) -> list[Run]:
        """Return the active runs of the step."""
        return [run for runs in self.active.values() for run in runs]

    def note_wait(self, reason: WaitReason, now: float) -> None:
        """Record the reason for which the step is not placed."""
        if self.wait is None:
            self.wait = Wait(reason, now, now)
        else:
            self.wait.reason = reason
            self.wait.checked_at = now


@dataclass(slots=True, eq=False)
class Job:
    """Job in the ledger.

    ``target_end_at`` is the time by which callers expect the job to end. After
    ``latest_useful_end_at`` its result has no value.
    """

    spec: JobSpec
    queue: Queue
    progress: JobProgress
    accepted_at: float
    target_end_at: float
    latest_useful_end_at: float
    steps_by_id: dict[StepId, Step] = field(default_factory=dict)
    cancelled: bool = False
    over_rate: bool = False
    first_start_at: float | None = None
    final_at: float | None = None

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.spec.job_id

    @property
    def final(self) -> bool:
        """Whether the job has reached a final state."""
        return self.progress.final is not None

    def ready_steps(self, wall_ms: int) -> list[Step]:
        """Return the steps that may start: due, and all earlier steps done."""
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

    def set_outcome(self, state: JobState, wall_ms: int, now: float) -> None:
        """Set the final state."""
        self.final_at = now
        self.progress.final = state
        self.progress.final_ms = wall_ms


def critical_path_ms(spec: JobSpec) -> float:
    """Return the estimated run time of the longest chain of dependent steps."""
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        earlier = [ends[index] for index in step.after if index < number]
        ends.append(max(earlier, default=0.0) + step.estimated_ms)
    return max(ends, default=0.0)


def remaining_s(spec: JobSpec, first: int) -> float:
    """Return the estimated run time of the job from step ``first`` on."""
    ends: dict[int, float] = {}
    for number, step in enumerate(spec.steps):
        if number < first:
            ends[number] = 0.0
            continue
        earlier = [ends[index] for index in step.after if index in ends]
        ends[number] = max(earlier, default=0.0) + step.estimated_ms / 1000
    return max(ends.values(), default=0.0)


ADVICE_WORKERS = 30
"""Number of workers in an advice call for which callers expect its duration."""

LATE_FACTOR = 3.0
"""Multiple of its objective within which the result of a job still has value."""


def objective_s(spec: JobSpec, queue: Queue) -> float:
    """Return the time from acceptance to end that callers expect, in seconds."""
    work_s = critical_path_ms(spec) / 1000
    if queue.advice is not None:
        work_s += queue.advice.call_s(ADVICE_WORKERS)
    return queue.stretch * work_s + queue.latency_target_s


def create_job(
    spec: JobSpec, queue: Queue, progress: JobProgress | None, now: float, wall_ms: int
) -> Job:
    """Return a job whose pending tasks are those that are not done."""
    # The ledger changes a copy; the job table must show only stored progress.
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
