"""Jobs and steps in the ledger of the holder."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from briarrun_cell.decisions.waiting import Wait, WaitReason
from briarrun_cell.index_ranges import IndexRanges, to_indexes
from briarrun_cell.model import JobSpec, JobState, Queue, StepId, StepSpec
from briarrun_cell.progress_size import ProgressBounds
from briarrun_cell.records import (
    JobProgress,
    StepProgress,
    occurrence_of,
    progress_key,
)
from briarrun_cell.workers import Run

GANG = -1
"""Task index under which the failures and the checkpoint of a gang are stored."""

CHECKPOINT_KEY_BYTES = 12
"""Size of the index of a checkpoint in the progress of its job."""


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

    ``member_ended_at`` is the time at which the last end of a member of a gang was read,
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
    member_ended_at: float = float("-inf")
    blocked_since: float | None = None
    examined_at: float = float("-inf")
    wait: Wait | None = None

    def checkpoint_of(self, index: int) -> str:
        """Return the checkpoint from which a task resumes, "" if there is none."""
        key = GANG if self.spec.gang else index
        return self.progress.checkpoints_by_index.get(key, "")

    def save_checkpoint(self, index: int, value: str) -> None:
        """Keep the checkpoint of a task, unless the job's progress becomes too large.

        The checkpoint of any member of a gang is valid for all of them.
        """
        if not value:
            return
        saved = self.progress.checkpoints_by_index
        key = GANG if self.spec.gang else index
        size = self.job.checkpoint_bytes + checkpoint_size(value)
        size -= checkpoint_size(saved.get(key, ""))
        if size <= self.job.bounds.checkpoint_bytes:
            saved[key] = value
            self.job.checkpoint_bytes = size

    def drop_checkpoint(self, index: int) -> None:
        """Forget the checkpoint of a task that is done."""
        key = GANG if self.spec.gang else index
        dropped = self.progress.checkpoints_by_index.pop(key, "")
        self.job.checkpoint_bytes -= checkpoint_size(dropped)

    def tasks_in_flight(self) -> set[int]:
        """Return the unfinished tasks that take space in the progress of the job."""
        progress = self.progress
        known = {*progress.assigned_by_index, *self.active}
        known.update(progress.failed_runs_by_index, progress.checkpoints_by_index)
        known.discard(GANG)
        return known

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

    ``steps_by_id`` holds the steps of open occurrences. An occurrence of a schedule is
    opened when it is due, and is only a number in ``done_occurrences`` once all its steps
    are done, so that a job grows with what runs and not with what is still to come.

    ``open_tasks`` is the number of tasks of these steps.

    ``over_rate`` tells whether the customer sends more than its rate for seconds, ``early``
    whether it does at the moment.

    ``target_end_at`` is the time by which callers expect the job to end. After
    ``latest_useful_end_at`` its result has no value.
    """

    spec: JobSpec
    queue: Queue
    progress: JobProgress
    accepted_at: float
    target_end_at: float
    latest_useful_end_at: float
    bounds: ProgressBounds
    checkpoint_bytes: int = 0
    open_tasks: int = 0
    steps_by_id: dict[StepId, Step] = field(default_factory=dict)
    done_occurrences: IndexRanges = field(default_factory=IndexRanges)
    cancelled: bool = False
    over_rate: bool = False
    early: bool = False
    first_start_at: float | None = None
    final_at: float | None = None
    _remaining_s: list[float] = field(default_factory=list)
    _next_occurrence: int = 0

    def __post_init__(self) -> None:
        """Estimate the remaining run times."""
        self._remaining_s = remaining_s_by_step(self.spec)

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.spec.job_id

    @property
    def critical_path_s(self) -> float:
        """Estimated run time of the longest chain of dependent steps."""
        return self._remaining_s[0] if self._remaining_s else 0.0

    @property
    def final(self) -> bool:
        """Whether the job has reached a final state."""
        return self.progress.final is not None

    @property
    def all_done(self) -> bool:
        """Whether all steps of all occurrences are done."""
        opened = len(self.steps_by_id) // max(1, len(self.spec.steps))
        return len(self.done_occurrences) + opened >= self.spec.runs and all(
            step.done for step in self.steps_by_id.values()
        )

    def occurrence_steps(self, occurrence: int) -> list[Step]:
        """Return the steps of an open occurrence."""
        return [
            self.steps_by_id[StepId(self.job_id, occurrence, number)]
            for number in range(len(self.spec.steps))
        ]

    def open_occurrence(self, occurrence: int) -> None:
        """Add the steps of an occurrence, with their stored progress if there is any."""
        if StepId(self.job_id, occurrence, 0) in self.steps_by_id:
            return
        for number, spec in enumerate(self.spec.steps):
            key = progress_key(occurrence, number)
            progress = self.progress.steps_by_key.setdefault(key, StepProgress())
            done = to_indexes(progress.done_ranges, spec.count).union(progress.done)
            progress.done, progress.done_ranges = sorted(done), []
            saved = progress.checkpoints_by_index
            if spec.gang and saved:
                # Earlier versions stored the checkpoint of a gang for each task.
                saved = {GANG: saved.get(GANG) or next(iter(saved.values()))}
                progress.checkpoints_by_index = saved
            self.checkpoint_bytes += sum(map(checkpoint_size, saved.values()))
            step_id = StepId(self.job_id, occurrence, number)
            self.open_tasks += spec.count
            self.steps_by_id[step_id] = Step(
                step_id,
                self,
                spec,
                progress,
                pending=set(range(spec.count)) - done,
                remaining_s=self._remaining_s[number],
            )

    def close_occurrences(self) -> None:
        """Remove the steps of occurrences that are done and have no active runs."""
        if not self.spec.occurrences:
            return
        opened = {step_id.occurrence for step_id in self.steps_by_id}
        for occurrence in sorted(opened):
            steps = self.occurrence_steps(occurrence)
            if not all(step.done and not step.active for step in steps):
                continue
            for step in steps:
                self.open_tasks -= step.spec.count
                del self.steps_by_id[step.step_id]
                key = progress_key(occurrence, step.step_id.step)
                self.progress.steps_by_key.pop(key, None)
            self.done_occurrences.add(occurrence)
            self.progress.done_occurrences = list(self.done_occurrences.ranges)

    def open_due_occurrences(self, wall_ms: int) -> None:
        """Open the occurrences that are due, as far as the job may hold more steps.

        The first unfinished ones come first, so that later ones wait for their end.
        """
        if not self._is_due(self._next_occurrence, wall_ms):
            return
        self.close_occurrences()
        while self._is_due(self._next_occurrence, wall_ms):
            occurrence = self.done_occurrences.next_missing(self._next_occurrence)
            open_steps = len(self.steps_by_id)
            if open_steps and not self.bounds.admits_occurrence(self.spec, open_steps):
                return
            if self._is_due(occurrence, wall_ms):
                self.open_occurrence(occurrence)
                occurrence += 1
            self._next_occurrence = occurrence

    def _is_due(self, occurrence: int, wall_ms: int) -> bool:
        return occurrence < self.spec.runs and self.spec.due_ms(occurrence) <= wall_ms

    def room_for_tasks(self) -> int | None:
        """Return how many further tasks may be in flight, None if all of them fit."""
        limit = self.bounds.max_tasks(len(self.steps_by_id), self.queue.max_attempts)
        if self.open_tasks <= limit:
            return None
        steps = self.steps_by_id.values()
        return max(0, limit - sum(len(step.tasks_in_flight()) for step in steps))

    def quiet_occurrences(self) -> Iterator[int]:
        """Return the occurrences that are done or not open yet, in order."""
        for occurrence in range(self.spec.runs):
            if StepId(self.job_id, occurrence, 0) not in self.steps_by_id:
                yield occurrence

    def ready_steps(self, wall_ms: int) -> list[Step]:
        """Return the steps that may start: due, and all earlier steps done.

        Opens the occurrences that are due.
        """
        self.open_due_occurrences(wall_ms)
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


def checkpoint_size(value: str) -> int:
    """Return the size of a checkpoint in the progress of its job, in bytes."""
    return CHECKPOINT_KEY_BYTES + len(msgspec.json.encode(value)) if value else 0


def critical_path_ms(spec: JobSpec) -> float:
    """Return the estimated run time of the longest chain of dependent steps."""
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        earlier = [ends[index] for index in step.after if index < number]
        ends.append(max(earlier, default=0.0) + step.estimated_ms)
    return max(ends, default=0.0)


def remaining_s_by_step(spec: JobSpec) -> list[float]:
    """Return the estimated run time of the job from each step on.

    It is the longest chain of dependent steps among that step and the later ones.
    """
    chain_s = [step.estimated_ms / 1000 for step in spec.steps]
    longest_s = 0.0
    remaining_s = [0.0] * len(spec.steps)
    for number in reversed(range(len(spec.steps))):
        for earlier in spec.steps[number].after:
            if earlier < number:
                own_s = spec.steps[earlier].estimated_ms / 1000
                chain_s[earlier] = max(chain_s[earlier], own_s + chain_s[number])
        longest_s = max(longest_s, chain_s[number])
        remaining_s[number] = longest_s
    return remaining_s


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
    spec: JobSpec,
    queue: Queue,
    progress: JobProgress | None,
    now: float,
    wall_ms: int,
    bounds: ProgressBounds,
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
        bounds=bounds,
    )
    job.done_occurrences = IndexRanges(
        (first, min(last, spec.runs - 1)) for first, last in progress.done_occurrences
    )
    progress.steps_by_key = {
        key: step for key, step in progress.steps_by_key.items() if not step.empty
    }
    started = {occurrence_of(key) for key in progress.steps_by_key}
    if not spec.occurrences:
        started.add(0)
    for occurrence in sorted(each for each in started if each is not None):
        if occurrence < spec.runs and occurrence not in job.done_occurrences:
            job.open_occurrence(occurrence)
    job.close_occurrences()
    job.open_due_occurrences(wall_ms)
    return job
