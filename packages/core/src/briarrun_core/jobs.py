"""Jobs and tasks of a failure domain, changed only by ledger events."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from briarrun_core.ledger_events import (
    JobAdded,
    JobCancelled,
    JobForgotten,
    JobResumed,
    JobSetAside,
    JobSnapshot,
    JobStartsKnown,
    StopCause,
    TaskAdopted,
    TaskCheckpointing,
    TaskConfirmed,
    TaskEnded,
    TaskRequeued,
    TaskSnapshot,
    TaskStarted,
    TaskStopping,
)
from briarrun_core.ledger_orders import JobState, JobStatus
from briarrun_core.model import JobKind, JobSpec, TaskState, job_id_of, task_id
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.task_states import ACTIVE_STATES, ENDED_STATES, end_event, next_state

JobEvent = (
    JobAdded
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


@dataclass(slots=True)
class Task:
    """Hold a task.

    The fields after ``detail`` are the holder's own and are not replicated:
    ``start_deadline`` is the wall-clock time after which the worker refuses the start,
    ``lease_until`` the longest lease that it may have, ``renewed_until`` the last one
    that this holder stamped, ``confirmed`` whether the worker is known
    to have run the attempt, ``start_seq`` and ``end_seq`` the numbers of the events
    that charged and released it. ``runs`` counts attempts that may have run.
    """

    task_id: str
    job: Job
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    worker_id: str = ""
    started_at: float = 0.0
    failures: int = 0
    runs: int = 0
    cause: StopCause | None = None
    detail: str = ""
    start_deadline: float = 0.0
    lease_until: float = 0.0
    renewed_until: float = 0.0
    confirmed: bool = False
    start_seq: int = 0
    end_seq: int = 0
    throttled_at: float | None = None

    @property
    def spec(self) -> JobSpec:
        """Return the specification of the task's job."""
        return self.job.spec

    @property
    def is_active(self) -> bool:
        """Tell whether the task is charged to a worker."""
        return self.state in ACTIVE_STATES

    @property
    def has_ended(self) -> bool:
        """Tell whether the task is in a final state."""
        return self.state in ENDED_STATES


@dataclass(slots=True)
class Job:
    """Hold a job.

    ``confirmed``, ``accept_seq`` and ``inherited`` are the holder's own: tasks start
    only after the acceptance is durable; starts of an inherited job may not have been
    replicated. So is ``maybe_logged``: whether a record of the log may hold the job.
    """

    spec: JobSpec
    tasks: list[Task] = field(default_factory=list)
    counts: Counter[TaskState] = field(default_factory=Counter)
    cancelled: bool = False
    maybe_started: bool = False
    reason: str = ""
    ended_at: float | None = None
    confirmed: bool = True
    accept_seq: int = 0
    inherited: bool = False
    maybe_logged: bool = False

    @property
    def job_id(self) -> str:
        """Return the job's id."""
        return self.spec.job_id

    @property
    def is_gang(self) -> bool:
        """Tell whether all tasks must run together."""
        return self.spec.kind is JobKind.GANG

    @property
    def state(self) -> JobState:
        """Return the state that callers see."""
        counts = self.counts
        if any(counts[state] for state in ACTIVE_STATES):
            return JobState.RUNNING
        if counts[TaskState.PENDING]:
            return JobState.PENDING
        if counts[TaskState.SET_ASIDE]:
            return JobState.SET_ASIDE
        for task_state in (TaskState.UNKNOWN, TaskState.FAILED, TaskState.CANCELLED):
            if counts[task_state]:
                return JobState(task_state.value)
        return JobState.DONE

    def active_tasks(self) -> list[Task]:
        """Return the tasks that are charged to a worker."""
        return [task for task in self.tasks if task.is_active]

    def status(self) -> JobStatus:
        """Return the job as callers see it."""
        detail = self.reason or next((t.detail for t in self.tasks if t.detail), "")
        counts = {state: count for state, count in self.counts.items() if count}
        return JobStatus(self.job_id, self.state, counts, detail)


class JobRegistry:
    """Hold jobs by id, tasks by worker and usage by team, as the events say."""

    def __init__(self) -> None:
        self.jobs_by_id: dict[str, Job] = {}
        self.tasks_by_worker: defaultdict[str, dict[str, Task]] = defaultdict(dict)
        self.tasks_by_team: defaultdict[str, dict[str, Task]] = defaultdict(dict)
        self.usage_by_team: dict[str, Resources] = {}
        self.charged_by_worker: dict[str, Resources] = {}
        self.open_tasks = 0
        self._seq = 0
        self.ended_unlogged: dict[str, Job] = {}
        self.accepted_unlogged: dict[str, Job] = {}

    def task(self, wanted: str) -> Task | None:
        """Return the task with an id, or nothing."""
        job = self.jobs_by_id.get(job_id_of(wanted))
        if job is None:
            return None
        index = wanted.rpartition("/")[2]
        if not index.isdecimal() or int(index) >= len(job.tasks):
            return None
        task = job.tasks[int(index)]
        return task if task.task_id == wanted else None

    def attempt(self, wanted: str, attempt: int, worker_id: str = "") -> Task | None:
        """Return an active task if the attempt (on the worker) is its current one."""
        task = self.task(wanted)
        if task is None or not task.is_active or task.attempt != attempt:
            return None
        return task if worker_id in ("", task.worker_id) else None

    def active_tasks(self) -> Iterator[Task]:
        """Yield every charged task; only recovery and slice checks need all of them."""
        for tasks in self.tasks_by_worker.values():
            yield from tasks.values()

    def apply(self, event: JobEvent, seq: int) -> None:
        """Change the state as event number ``seq`` says."""
        self._seq = seq
        match event:
            case JobAdded(spec=spec):
                self._add(spec, event.maybe_started)
            case JobCancelled(job_id=job_id):
                self._cancel(self.jobs_by_id[job_id], event.at)
            case JobStartsKnown(job_id=job_id):
                self._note_starts_known(self.jobs_by_id[job_id])
            case JobSetAside(job_id=job_id):
                self._step_all(job_id, TaskState.PENDING, "set_aside", event.reason)
            case JobResumed(job_id=job_id):
                self._step_all(job_id, TaskState.SET_ASIDE, "resume", "")
            case JobForgotten(job_id=job_id):
                del self.jobs_by_id[job_id]
                self.ended_unlogged.pop(job_id, None)
            case _:
                self._apply_to_task(event)

    def _apply_to_task(
        self,
        event: (
            TaskStarted
            | TaskConfirmed
            | TaskAdopted
            | TaskStopping
            | TaskCheckpointing
            | TaskRequeued
            | TaskEnded
        ),
    ) -> None:
        task = self.task(event.task_id)
        if task is None:
            raise KeyError(f"event for the unknown task {event.task_id!r}")
        match event:
            case TaskStarted() | TaskAdopted():
                adopted = isinstance(event, TaskAdopted)
                self._charge(task, event, "adopt" if adopted else "start")
            case TaskConfirmed():
                self._step(task, "started")
            case TaskStopping(cause=cause):
                self._step(task, "stop")
                task.cause, task.detail = cause, event.detail
            case TaskCheckpointing():
                self._step(task, "checkpoint")
            case TaskRequeued():
                self._requeue(task, event)
            case TaskEnded():
                self._end(task, event.state, event.at, event.detail)

    def _add(self, spec: JobSpec, maybe_started: bool) -> None:
        job = Job(spec, maybe_started=maybe_started)
        job.tasks = [Task(task_id(spec.job_id, n), job) for n in range(spec.tasks)]
        job.counts[TaskState.PENDING] = spec.tasks
        self.jobs_by_id[spec.job_id] = job
        self.accepted_unlogged[spec.job_id] = job
        self.open_tasks += spec.tasks

    def _note_starts_known(self, job: Job) -> None:
        """Keep that an attempt may have run; only that none runs now is known."""
        job.maybe_started = False
        for task in job.tasks:
            task.runs = max(task.runs, 1)

    def _cancel(self, job: Job, at: float) -> None:
        job.cancelled = True
        unknown = job.maybe_started and not job.spec.idempotent
        state = TaskState.UNKNOWN if unknown else TaskState.CANCELLED
        for task in job.tasks:
            if task.state in (TaskState.PENDING, TaskState.SET_ASIDE):
                self._end(task, state, at, "")

    def _step_all(self, job_id: str, state: TaskState, event: str, reason: str) -> None:
        job = self.jobs_by_id[job_id]
        job.reason = reason
        for task in job.tasks:
            if task.state is state:
                self._step(task, event)

    def _charge(self, task: Task, event: TaskStarted | TaskAdopted, step: str) -> None:
        self._step(task, step)
        task.attempt, task.worker_id = event.attempt, event.worker_id
        task.started_at, task.runs = event.at, task.runs + 1
        task.cause, task.detail = None, ""
        self._index(task)

    def _index(self, task: Task) -> None:
        self.tasks_by_worker[task.worker_id][task.task_id] = task
        self.tasks_by_team[task.spec.team][task.task_id] = task
        self._add_usage(task, task.spec.resources)

    def _release(self, task: Task) -> None:
        for tasks_by_key, key in (
            (self.tasks_by_worker, task.worker_id),
            (self.tasks_by_team, task.spec.team),
        ):
            del tasks_by_key[key][task.task_id]
            if not tasks_by_key[key]:
                del tasks_by_key[key]
        self._add_usage(task, NOTHING - task.spec.resources)
        task.worker_id, task.confirmed, task.throttled_at = "", False, None

    def _add_usage(self, task: Task, amount: Resources) -> None:
        for usage, key in (
            (self.usage_by_team, task.spec.team),
            (self.charged_by_worker, task.worker_id),
        ):
            total = usage.get(key, NOTHING) + amount
            if total == NOTHING:
                usage.pop(key, None)
            else:
                usage[key] = total

    def _requeue(self, task: Task, event: TaskRequeued) -> None:
        task.end_seq = self._seq
        self._release(task)
        self._step(task, "requeue" if event.started else "lapsed")
        if event.healthy:
            task.failures = 0
        task.failures += int(event.counted)
        task.runs -= int(not event.started)
        task.cause, task.detail = None, event.detail

    def _end(self, task: Task, state: TaskState, at: float, detail: str) -> None:
        if task.is_active:
            self._release(task)
        self._step(task, end_event(task.state, state))
        task.cause, task.detail, task.end_seq = None, detail, self._seq
        self.open_tasks -= 1
        job = task.job
        if sum(job.counts[ended] for ended in ENDED_STATES) == len(job.tasks):
            job.ended_at = at
            self.ended_unlogged[job.job_id] = job

    def _step(self, task: Task, event: str) -> None:
        counts = task.job.counts
        counts[task.state] -= 1
        task.state = next_state(task.state, event)
        counts[task.state] += 1

    def snapshot(self) -> tuple[JobSnapshot, ...]:
        """Return the replicated state of every job, in order of id."""
        return tuple(
            JobSnapshot(
                spec=job.spec,
                tasks=tuple(
                    TaskSnapshot(
                        state=task.state,
                        attempt=task.attempt,
                        worker_id=task.worker_id,
                        started_at=task.started_at,
                        failures=task.failures,
                        runs=task.runs,
                        cause=task.cause,
                        detail=task.detail,
                    )
                    for task in job.tasks
                ),
                cancelled=job.cancelled,
                maybe_started=job.maybe_started,
                reason=job.reason,
                ended_at=job.ended_at,
            )
            for _, job in sorted(self.jobs_by_id.items())
        )

    def restore(self, snapshots: tuple[JobSnapshot, ...]) -> None:
        """Replace the state by a snapshot."""
        self.__init__()  # type: ignore[misc]
        for saved in snapshots:
            self._add(saved.spec, saved.maybe_started)
            job = self.jobs_by_id[saved.spec.job_id]
            job.cancelled, job.reason = saved.cancelled, saved.reason
            job.ended_at = saved.ended_at
            job.counts.clear()
            for task, kept in zip(job.tasks, saved.tasks, strict=True):
                self._restore_task(task, kept)
            if job.ended_at is not None:
                self.ended_unlogged[job.job_id] = job

    def _restore_task(self, task: Task, kept: TaskSnapshot) -> None:
        task.state, task.attempt, task.worker_id = (
            kept.state,
            kept.attempt,
            kept.worker_id,
        )
        task.started_at, task.failures = kept.started_at, kept.failures
        task.runs, task.cause = kept.runs, kept.cause
        task.detail = kept.detail
        task.job.counts[task.state] += 1
        if task.is_active:
            self._index(task)
        elif task.has_ended:
            self.open_tasks -= 1
