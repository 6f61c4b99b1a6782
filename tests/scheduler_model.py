"""A small fleet with its own account of everything, and checks on each decision.

Nothing here is taken from the scheduler: capacity, usage and what may run are counted
from the decisions alone.
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
"""Cores of a task; no worker has 9."""

CAPACITY = Resources(4000, 4096)
RUN_S = 20.0
DRAIN_S = 4000.0
"""Far above the time that the waiting work needs at one task after the other, plus the
longest reservation and the pause after it."""


@dataclass(slots=True)
class Running:
    """Hold a task that runs in the fake fleet."""

    job: JobView
    worker_id: str
    since: float
    being_checkpointed: bool = False


@dataclass(slots=True)
class SchedulerModel:
    """Drive a scheduler and collect the names of checks that failed."""

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
        """Add a worker, or bring one back."""
        name = f"w{index}"
        if name not in self.workers:
            view = WorkerView(name, f"r{index % 3}", "one", CAPACITY, CAPACITY)
            self.workers[name] = view
            self.scheduler.set_worker(view)

    def set_state(self, index: int, state: WorkerState) -> None:
        """Change whether a worker may be given tasks."""
        view = self.workers.get(f"w{index}")
        if view is not None:
            self._report(replace(view, state=state))

    def remove_worker(self, index: int) -> None:
        """Lose a worker and all that ran there; the tasks wait again."""
        name = f"w{index}"
        if self.workers.pop(name, None) is None:
            return
        self.scheduler.remove_worker(name)
        for task_id in [t for t, r in self.running.items() if r.worker_id == name]:
            self.end(task_id, TaskState.UNKNOWN, requeue=True)

    def set_slice(self, team: str, cores: int) -> None:
        """Change a team's slice."""
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
        """Cancel a job; its running tasks end."""
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
        self._settle(run.job, run.worker_id)

    def usage(self, team: str) -> Resources:
        """Return what a team runs."""
        found = NOTHING
        for run in self.running.values():
            if run.job.team == team:
                found += run.job.resources
        return found

    def _used(self, worker_id: str) -> Resources:
        found = NOTHING
        for run in self.running.values():
            if run.worker_id == worker_id:
                found += run.job.resources
        return found

    def _report(self, view: WorkerView) -> None:
        view = replace(view, free=view.capacity - self._used(view.worker_id))
        self.workers[view.worker_id] = view
        self.scheduler.set_worker(view)

    def _settle(self, job: JobView, worker_id: str) -> None:
        if worker_id in self.workers:
            self._report(self.workers[worker_id])
        self.scheduler.set_usage(job.team, self.usage(job.team))

    def _check(self, holds: bool, name: str) -> None:
        if not holds:
            self.violations.append(name)

    def decide(self, limit: int = 20, refuse: int = -1) -> None:
        """Let the scheduler decide; the ledger refuses the decision ``refuse``."""
        self.steps += 1
        decisions = self.scheduler.decide(self.now, limit)
        placed: dict[str, int] = {}
        for index, decision in enumerate(decisions):
            match decision:
                case Place():
                    job = self.pending[decision.task_id]
                    if index == refuse and job.kind is not JobKind.GANG:
                        self.scheduler.on_task_refused(decision.task_id, self.now)
                        continue
                    placed[job.job_id] = placed.get(job.job_id, 0) + 1
                    self._on_place(decision, job)
                case Checkpoint():
                    self._on_checkpoint(decision)
                case SetAside():
                    self._on_set_aside(decision)
        for job_id, _ in placed.items():
            job = self.jobs[job_id]
            waits = any(t in self.pending for t in job.pending_tasks)
            self._check(job.kind is not JobKind.GANG or not waits, "gang-whole")

    def _on_place(self, place: Place, job: JobView) -> None:
        worker = self.workers[place.worker_id]
        used = self._used(place.worker_id) + job.resources
        usage = self.usage(job.team) + job.resources
        self._check(used.fits_in(worker.capacity), "worker-capacity")
        self._check(worker.state is WorkerState.AVAILABLE, "worker-available")
        self._check(usage.fits_in(self.slices[job.team]), "team-slice")
        self._check(job.job_id not in self.set_aside_jobs, "set-aside-stays")
        del self.pending[place.task_id]
        self.running[place.task_id] = Running(job, place.worker_id, self.now)
        self.scheduler.on_task_placed(place.task_id, place.worker_id, self.now)
        self._settle(job, place.worker_id)

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
        self._check(not self.fits_empty(job), "set-aside-right")
        self.set_aside_jobs.add(decision.job_id)

    def fits_empty(self, job: JobView) -> bool:
        """Tell whether the empty fleet could hold a task, or the whole gang."""
        each = CAPACITY.cores // job.resources.cores
        tasks = len([t for t in job.pending_tasks if t in self.pending])
        wanted = tasks if job.kind is JobKind.GANG else 1
        return each * len(self.workers) >= wanted

    def advance(self, seconds: float) -> None:
        """Let time pass; checkpoints complete."""
        self.now += seconds
        for task_id, run in list(self.running.items()):
            if run.being_checkpointed:
                self.end(task_id, TaskState.PENDING, requeue=True)

    def drain(self) -> None:
        """Submit nothing more; all that can run must start within a bound."""
        for index in range(6):
            self.set_state(index, WorkerState.AVAILABLE)
        for team in TEAMS:
            self.set_slice(team, 100)
        end = self.now + DRAIN_S
        while self.now < end and self._waiting():
            self.advance(5.0)
            for task_id, run in list(self.running.items()):
                if self.now - run.since >= RUN_S:
                    self.end(task_id, TaskState.DONE, requeue=False)
            self.decide(limit=100)
        self._check(not self._waiting(), "nobody-starved")

    def _waiting(self) -> list[str]:
        return [
            task_id
            for task_id, job in self.pending.items()
            if job.job_id not in self.set_aside_jobs and self.fits_empty(job)
        ]


def random_step(model: SchedulerModel, draw: random.Random) -> None:
    """Take one step of a seeded run; used for the variants with a guard removed."""
    kind = draw.choice(list(JobKind))
    urgency = draw.choice(list(Urgency))
    chance = draw.random()
    if chance < 0.3:
        model.submit(
            draw.choice(TEAMS), kind, urgency, draw.randint(1, 6), draw.choice(SIZES)
        )
    elif chance < 0.4 and model.running:
        done = draw.choice(sorted(model.running))
        model.end(done, TaskState.DONE, requeue=False)
    elif chance < 0.45:
        model.set_slice(draw.choice(TEAMS), draw.randint(0, 16))
    elif chance < 0.5:
        model.set_state(draw.randrange(4), draw.choice(list(WorkerState)))
    elif chance < 0.6:
        model.advance(draw.choice((0.1, 3.0, 40.0)))
    else:
        model.decide(draw.randint(1, 20))


def random_run(seed: int, steps: int = 150) -> SchedulerModel:
    """Return the model after a seeded run."""
    draw = random.Random(seed)
    model = SchedulerModel()
    model.start()
    for _ in range(steps):
        random_step(model, draw)
    model.drain()
    return model
