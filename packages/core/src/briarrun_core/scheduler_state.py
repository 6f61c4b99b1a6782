"""State shared by the steps of a scheduling decision."""

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
    """Keep room on a worker for a job while tasks there are checkpointed."""

    job_id: str
    worker_id: str
    need: Resources
    until: float


class SchedulerState:
    """Hold jobs, workers and shares, and charge or take back planned starts."""

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
        """Return the policy that a job names, the default if it is not configured."""
        return self.policies_by_name.get(view.policy, self.default_policy)

    def update_share(self, team: str) -> None:
        """Move a team to its place in the order of shares."""
        self.pending.set_share(team, self.shares.weighted_share(team))

    def queue(self, job: Job) -> None:
        """Put a job with pending tasks into the queue, or take it out without."""
        if job.pending and job.set_aside is None:
            self.pending.add(job)
        else:
            self.pending.discard(job.view.job_id)
        self.update_waiting_total(job)

    def update_waiting_total(self, job: Job, removed: bool = False) -> None:
        """Bring the team's waiting amount up to date after a change of the job."""
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
        """Take back a planned start that the ledger refused."""
        self.shares.withdraw(task.team, task.resources)
        self.health.on_inconclusive(task.worker_id, task.task_id)
        self.table.withdraw(task)
        self.remove_placement(task)
        if task.rank == 0:
            self.headroom.on_end()
        self.update_share(task.team)

    def record_placement(self, job: Job, task: RunningTask) -> None:
        """Count a task of a job in the rack of its worker."""
        job.worker_by_task_id[task.task_id] = task.worker_id
        if task.kind is JobKind.SERVICE and task.worker_id in self.table:
            rack = self.table.view(task.worker_id).rack
            job.tasks_by_rack[rack] = job.tasks_by_rack.get(rack, 0) + 1

    def remove_placement(self, task: RunningTask) -> None:
        """Take a task of a job out of the rack count."""
        job = self.jobs_by_id.get(task.job_id)
        if job is None or job.worker_by_task_id.pop(task.task_id, None) is None:
            return
        if task.kind is JobKind.SERVICE and task.worker_id in self.table:
            rack = self.table.view(task.worker_id).rack
            left = job.tasks_by_rack.get(rack, 0) - 1
            if left > 0:
                job.tasks_by_rack[rack] = left
            else:
                job.tasks_by_rack.pop(rack, None)

    def above_ceiling(self, team: str) -> bool:
        """Tell whether a team has to leave room to teams below their entitlement."""
        ceiling = self.ceilings_by_team.get(team)
        return ceiling is not None and self.shares.domain_share(team) > ceiling

    def may_checkpoint(self, task: RunningTask) -> bool:
        """Tell whether a task can be checkpointed as far as is known."""
        return task.preemptible and task.task_id not in self.checkpoint_cooldown_by_task

    def add_hold(self, hold: Hold) -> None:
        """Keep room on a worker for a job."""
        self.holds.append(hold)
        self.table.hold(hold.worker_id, hold.need)

    def drop_hold(self, hold: Hold) -> None:
        """Give back room kept for a job."""
        self.holds.remove(hold)
        self.table.hold(hold.worker_id, NOTHING - hold.need)

    def held_task_count(self, job_id: str) -> int:
        """Return how many tasks of a job have room held for them."""
        return sum(1 for hold in self.holds if hold.job_id == job_id)
