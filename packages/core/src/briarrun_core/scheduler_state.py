"""State shared by the steps of a scheduling pass."""

from __future__ import annotations

from dataclasses import dataclass

from briarrun_core.estimates import Estimates
from briarrun_core.gangs import Reservations
from briarrun_core.headroom import UrgentHeadroom
from briarrun_core.model import JobKind
from briarrun_core.pending import Job, PendingJobs
from briarrun_core.policy import RANK_BY_URGENCY, Policy
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.shares import ShareTracker
from briarrun_core.views import JobView, Place
from briarrun_core.worker_health import WorkerHealth
from briarrun_core.worker_table import RunningTask, WorkerTable


@dataclass(frozen=True, slots=True)
class Hold:
    """Resources of a worker held for a job while tasks there are being checkpointed."""

    job_id: str
    worker_id: str
    need: Resources
    until: float


class SchedulerState:
    """Jobs, workers and shares, including the planned starts charged to them."""

    def __init__(self, policies_by_name: dict[str, Policy], default: Policy) -> None:
        self.policies_by_name = policies_by_name
        self.default_policy = default
        self.now = 0.0
        self.health = WorkerHealth()
        self.table = WorkerTable(
            lambda worker: self.health.may_accept_tasks(worker, self.now)
        )
        self.headroom = UrgentHeadroom(self.table)
        self.shares = ShareTracker()
        self.pending = PendingJobs()
        self.estimates = Estimates()
        self.reservations = Reservations()
        self.jobs_by_id: dict[str, Job] = {}
        self.planned_by_id: dict[str, RunningTask] = {}
        self.running_by_id: dict[str, RunningTask] = {}
        self.checkpoint_deadline_by_task: dict[str, float] = {}
        self.checkpoint_cooldown_by_task: dict[str, float] = {}
        self.holds: list[Hold] = []
        self.waiting_by_team: dict[str, Resources] = {}
        self.ceilings_by_team: dict[str, float] = {}

    def policy_of(self, view: JobView) -> Policy:
        """Return the policy named by a job, or the default if it is not configured."""
        return self.policies_by_name.get(view.policy, self.default_policy)

    def update_share(self, team: str) -> None:
        """Update a team's position in the order of shares."""
        self.pending.set_share(team, self.shares.weighted_share(team))

    def queue(self, job: Job) -> None:
        """Queue a job if it has pending tasks, or else remove it from the queue."""
        if job.pending and job.set_aside is None:
            self.pending.add(job)
        else:
            self.pending.discard(job.view.job_id)
        self.update_waiting_total(job)

    def update_waiting_total(self, job: Job, removed: bool = False) -> None:
        """Update the resources that the team waits for after a change of a job."""
        waiting = 0 if removed or job.set_aside is not None else len(job.pending)
        change, job.counted_tasks = waiting - job.counted_tasks, waiting
        if change:
            team = job.view.team
            amount = self.waiting_by_team.get(team, NOTHING)
            amount += job.view.resources.scaled(change)
            if amount.is_zero:
                self.waiting_by_team.pop(team, None)
            else:
                self.waiting_by_team[team] = amount

    def plan(
        self, job: Job, worker_id: str, reason: str, gang: str | None = None
    ) -> Place:
        """Charge the start of the job's next task and return the decision."""
        view = job.view
        task_id = next(iter(job.pending))
        del job.pending[task_id]
        task = RunningTask(
            task_id,
            view.job_id,
            view.team,
            view.kind,
            RANK_BY_URGENCY[view.urgency],
            view.resources,
            worker_id,
            self.now,
            view.checkpointable,
        )
        self.planned_by_id[task_id] = task
        self.shares.plan(view.team, view.resources)
        self.health.on_placed(worker_id, task_id)
        self.table.plan(task)
        self.record_placement(job, task)
        if task.rank == 0:
            self.headroom.on_start(task.resources)
        job.blocked_since = None
        self.update_waiting_total(job)
        if not job.pending:
            self.pending.discard(view.job_id)
            self.reservations.forget(self.table, view.job_id)
        self.update_share(view.team)
        return Place(task_id, worker_id, reason, gang)

    def withdraw_start(self, task: RunningTask) -> None:
        """Revert a planned start, for example after the ledger rejected it."""
        self.shares.withdraw(task.team, task.resources)
        self.health.on_inconclusive(task.worker_id, task.task_id)
        self.table.withdraw(task)
        self.remove_placement(task)
        if task.rank == 0:
            self.headroom.on_end()
        self.update_share(task.team)

    def record_placement(self, job: Job, task: RunningTask) -> None:
        """Record the worker of a task and, for services, count the task in its rack."""
        job.worker_by_task_id[task.task_id] = task.worker_id
        if task.kind is JobKind.SERVICE and task.worker_id in self.table:
            rack = self.table.view(task.worker_id).rack
            job.tasks_by_rack[rack] = job.tasks_by_rack.get(rack, 0) + 1

    def remove_placement(self, task: RunningTask) -> None:
        """Remove a task from its worker and from the count of its rack."""
        job = self.jobs_by_id.get(task.job_id)
        if job is None or job.worker_by_task_id.pop(task.task_id, None) is None:
            return
        if task.kind is JobKind.SERVICE and task.worker_id in self.table:
            rack = self.table.view(task.worker_id).rack
            remaining = job.tasks_by_rack.get(rack, 0) - 1
            if remaining > 0:
                job.tasks_by_rack[rack] = remaining
            else:
                job.tasks_by_rack.pop(rack, None)

    def above_ceiling(self, team: str) -> bool:
        """Return whether a team is blocked in favor of teams below their share."""
        ceiling = self.ceilings_by_team.get(team)
        return ceiling is not None and self.shares.domain_share(team) > ceiling

    def may_checkpoint(self, task: RunningTask) -> bool:
        """Return whether a task may be chosen for a checkpoint now."""
        return task.preemptible and task.task_id not in self.checkpoint_cooldown_by_task

    def add_hold(self, hold: Hold) -> None:
        """Hold resources of a worker for a job."""
        self.holds.append(hold)
        self.table.hold(hold.worker_id, hold.need)

    def drop_hold(self, hold: Hold) -> None:
        """Release resources held for a job."""
        self.holds.remove(hold)
        self.table.hold(hold.worker_id, NOTHING - hold.need)

    def held_task_count(self, job_id: str) -> int:
        """Return the number of a job's tasks for which resources are held."""
        return sum(1 for hold in self.holds if hold.job_id == job_id)
