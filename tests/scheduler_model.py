"""Model of a small fleet that checks each decision of the scheduler.

The model computes capacity, usage and the tasks that may run from the decisions alone
and uses no state of the scheduler.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from briarrun_core.model import FleetConfig, JobKind, TaskState, Urgency
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.scheduler import Scheduler
from briarrun_core.views import (
    Checkpoint,
    JobView,
    Place,
    SetAside,
    TeamView,
    WorkerState,
    WorkerView,
)

UNIT = Resources(1000, 1024)
TEAMS = ("a", "b", "c")
SIZES = (1, 2, 3, 4, 9)
"""Cores per task; no worker has 9."""

CAPACITY = Resources(4000, 4096)
RUN_S = 20.0
DRAIN_S = 4000.0
"""Exceeds the time for running all pending tasks one at a time, plus the longest
reservation and the pause after it."""


@dataclass(slots=True)
class Running:
    """A task that is running in the model."""

    job: JobView
    worker_id: str
    started_at: float
    being_checkpointed: bool = False


@dataclass(slots=True)
class SchedulerModel:
    """Driver of a scheduler that collects the names of failed checks."""

    now: float = 0.0
    steps: int = 0
    jobs: dict[str, JobView] = field(default_factory=dict)
    pending: dict[str, JobView] = field(default_factory=dict)
    running: dict[str, Running] = field(default_factory=dict)
    workers: dict[str, WorkerView] = field(default_factory=dict)
    slices: dict[str, Resources] = field(default_factory=dict)
    set_aside_jobs: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    scheduler: Scheduler = field(
        default_factory=lambda: Scheduler.from_config(FleetConfig())
    )

    def start(self) -> None:
        """Add the first workers and the teams."""
        for index in range(4):
            self.add_worker(index)
        for team in TEAMS:
            self.set_slice(team, 12)

    def add_worker(self, index: int) -> None:
        """Add a worker, unless it is present."""
        name = f"w{index}"
        if name not in self.workers:
            view = WorkerView(name, f"r{index % 3}", "one", CAPACITY, CAPACITY)
            self.workers[name] = view
            self.scheduler.set_worker(view)

    def set_state(self, index: int, state: WorkerState) -> None:
        """Set the state of a worker."""
        view = self.workers.get(f"w{index}")
        if view is not None:
            self._report_worker(replace(view, state=state))

    def remove_worker(self, index: int) -> None:
        """Remove a worker and requeue the tasks that ran on it."""
        name = f"w{index}"
        if self.workers.pop(name, None) is None:
            return
        self.scheduler.remove_worker(name)
        for task_id in [t for t, r in self.running.items() if r.worker_id == name]:
            self.end(task_id, TaskState.UNKNOWN, requeue=True)

    def set_slice(self, team: str, cores: int) -> None:
        """Set the slice of a team."""
        self.slices[team] = UNIT.scaled(cores)
        usage = self.usage(team)
        view = TeamView(team, 1.0, self.slices[team], usage, usage)
        self.scheduler.set_team(view)

    def submit(
        self, team: str, kind: JobKind, urgency: Urgency, tasks: int, cores: int
    ) -> None:
        """Submit a job."""
        job_id = f"one.j{len(self.jobs)}"
        ids = tuple(f"{job_id}/{i}" for i in range(tasks))
        size = UNIT.scaled(cores)
        job = JobView(job_id, team, kind, urgency, ids, size, None, self.now)
        self.jobs[job_id] = job
        self.pending.update(dict.fromkeys(ids, job))
        self.scheduler.submit(job, self.now)

    def forget(self, job_id: str) -> None:
        """Cancel a job and end its running tasks."""
        self.scheduler.forget(job_id)
        for task_id in self.jobs[job_id].pending_tasks:
            self.pending.pop(task_id, None)
            if task_id in self.running:
                self.end(task_id, TaskState.CANCELLED, requeue=False)

    def end(self, task_id: str, state: TaskState, requeue: bool) -> None:
        """End a running task."""
        run = self.running.pop(task_id)
        if requeue:
            self.pending[task_id] = run.job
        self.scheduler.on_task_ended(task_id, state, self.now, requeue)
        self._report_change(run.job, run.worker_id)

    def usage(self, team: str) -> Resources:
        """Return the resources used by a team."""
        total = NOTHING
        for run in self.running.values():
            if run.job.team == team:
                total += run.job.resources
        return total

    def _used_on_worker(self, worker_id: str) -> Resources:
        total = NOTHING
        for run in self.running.values():
            if run.worker_id == worker_id:
                total += run.job.resources
        return total

    def _report_worker(self, view: WorkerView) -> None:
        view = replace(view, free=view.capacity - self._used_on_worker(view.worker_id))
        self.workers[view.worker_id] = view
        self.scheduler.set_worker(view)

    def _report_change(self, job: JobView, worker_id: str) -> None:
        if worker_id in self.workers:
            self._report_worker(self.workers[worker_id])
        self.scheduler.set_usage(job.team, self.usage(job.team))

    def _check(self, passed: bool, name: str) -> None:
        if not passed:
            self.violations.append(name)

    def decide(self, limit: int = 20, refuse: int = -1) -> None:
        """Apply the scheduler's decisions, and reject the one at index ``refuse``."""
        self.steps += 1
        decisions = self.scheduler.decide(self.now, limit)
        placed_by_job: dict[str, int] = {}
        for index, decision in enumerate(decisions):
            match decision:
                case Place():
                    job = self.pending[decision.task_id]
                    if index == refuse and job.kind is not JobKind.GANG:
                        self.scheduler.on_task_refused(decision.task_id, self.now)
                        continue
                    placed_by_job[job.job_id] = placed_by_job.get(job.job_id, 0) + 1
                    self._on_place(decision, job)
                case Checkpoint():
                    self._on_checkpoint(decision)
                case SetAside():
                    self._on_set_aside(decision)
        for job_id, _ in placed_by_job.items():
            job = self.jobs[job_id]
            has_pending = any(t in self.pending for t in job.pending_tasks)
            self._check(job.kind is not JobKind.GANG or not has_pending, "gang-whole")

    def _on_place(self, place: Place, job: JobView) -> None:
        worker = self.workers[place.worker_id]
        used = self._used_on_worker(place.worker_id) + job.resources
        usage = self.usage(job.team) + job.resources
        self._check(used.fits_in(worker.capacity), "worker-capacity")
        self._check(worker.state is WorkerState.AVAILABLE, "worker-available")
        self._check(usage.fits_in(self.slices[job.team]), "team-slice")
        self._check(job.job_id not in self.set_aside_jobs, "set-aside-stays")
        del self.pending[place.task_id]
        self.running[place.task_id] = Running(job, place.worker_id, self.now)
        self.scheduler.on_task_placed(place.task_id, place.worker_id, self.now)
        self._report_change(job, place.worker_id)

    def _on_checkpoint(self, decision: Checkpoint) -> None:
        run = self.running.get(decision.task_id)
        self._check(run is not None and not run.being_checkpointed, "checkpoint-once")
        if run is not None:
            urgent = run.job.urgency is Urgency.URGENT
            gang = run.job.kind is JobKind.GANG
            self._check(not urgent and not gang, "checkpoint-lower")
            run.being_checkpointed = True

    def _on_set_aside(self, decision: SetAside) -> None:
        job = self.jobs[decision.job_id]
        self._check(not self.fits_empty_fleet(job), "set-aside-right")
        self.set_aside_jobs.add(decision.job_id)

    def fits_empty_fleet(self, job: JobView) -> bool:
        """Return whether a task, or the whole gang, would fit into the empty fleet."""
        tasks_per_worker = CAPACITY.cores // job.resources.cores
        tasks = len([t for t in job.pending_tasks if t in self.pending])
        wanted = tasks if job.kind is JobKind.GANG else 1
        return tasks_per_worker * len(self.workers) >= wanted

    def advance(self, seconds: float) -> None:
        """Advance the time and complete checkpoints."""
        self.now += seconds
        for task_id, run in list(self.running.items()):
            if run.being_checkpointed:
                self.end(task_id, TaskState.PENDING, requeue=True)

    def drain(self) -> None:
        """Run without new jobs; all tasks that fit must start within ``DRAIN_S``."""
        for index in range(6):
            self.set_state(index, WorkerState.AVAILABLE)
        for team in TEAMS:
            self.set_slice(team, 100)
        end = self.now + DRAIN_S
        while self.now < end and self._startable_task_ids():
            self.advance(5.0)
            for task_id, run in list(self.running.items()):
                if self.now - run.started_at >= RUN_S:
                    self.end(task_id, TaskState.DONE, requeue=False)
            self.decide(limit=100)
        self._check(not self._startable_task_ids(), "nobody-starved")

    def _startable_task_ids(self) -> list[str]:
        return [
            task_id
            for task_id, job in self.pending.items()
            if job.job_id not in self.set_aside_jobs and self.fits_empty_fleet(job)
        ]


def random_step(model: SchedulerModel, rng: random.Random) -> None:
    """Apply one random event; used for the variants with a guard removed."""
    kind = rng.choice(list(JobKind))
    urgency = rng.choice(list(Urgency))
    roll = rng.random()
    if roll < 0.3:
        model.submit(
            rng.choice(TEAMS), kind, urgency, rng.randint(1, 6), rng.choice(SIZES)
        )
    elif roll < 0.4 and model.running:
        done = rng.choice(sorted(model.running))
        model.end(done, TaskState.DONE, requeue=False)
    elif roll < 0.45:
        model.set_slice(rng.choice(TEAMS), rng.randint(0, 16))
    elif roll < 0.5:
        model.set_state(rng.randrange(4), rng.choice(list(WorkerState)))
    elif roll < 0.6:
        model.advance(rng.choice((0.1, 3.0, 40.0)))
    else:
        model.decide(rng.randint(1, 20))


def random_run(seed: int, steps: int = 150) -> SchedulerModel:
    """Run random events from a seed and return the model."""
    rng = random.Random(seed)
    model = SchedulerModel()
    model.start()
    for _ in range(steps):
        random_step(model, rng)
    model.drain()
    return model
