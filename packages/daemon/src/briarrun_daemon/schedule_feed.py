"""Updates of the scheduler from the ledger and from other domains."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

from briarrun_core.jobs import Task
from briarrun_core.ledger import Ledger
from briarrun_core.ledger_events import (
    JobAdded,
    JobCancelled,
    JobForgotten,
    JobResumed,
    LedgerEvent,
    TaskAdopted,
    TaskEnded,
    TaskRequeued,
    TaskStarted,
)
from briarrun_core.ledger_orders import SCHEDULED_STATES
from briarrun_core.model import FleetConfig, JobKind, TaskState, job_id_of
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.scheduler import Scheduler
from briarrun_core.views import JobView, TeamView
from briarrun_daemon.context import Context


class ScheduleFeed:
    """Updates the scheduler's jobs, tasks, workers and teams."""

    def __init__(self, scheduler: Scheduler, ledger: Ledger, context: Context) -> None:
        self._scheduler = scheduler
        self._ledger = ledger
        self._context = context
        self._usage_by_domain: dict[str, Mapping[str, Resources]] = {}
        self._capacity_by_domain: dict[str, Resources] = {}
        self._workers: set[str] = set()
        self.changed = asyncio.Event()
        self.changed.set()

    @property
    def dirty(self) -> bool:
        """Whether anything has changed since the last round of decisions."""
        return self.changed.is_set()

    @dirty.setter
    def dirty(self, value: bool) -> None:
        if value:
            self.changed.set()
        else:
            self.changed.clear()

    def begin(self) -> None:
        """Submit all open jobs and place their active tasks."""
        now = self._context.clock.wall()
        for task in self._ledger.active_tasks():
            self._submit_running(task, now)
        for spec in list(self._ledger.open_jobs()):
            self.submit(spec.job_id)
        self.sync_workers()

    def submit(self, job_id: str) -> None:
        """Queue a job's pending tasks, unless the job is not confirmed yet."""
        view = self._ledger.job_view(job_id, self._policy_of(job_id))
        if view is not None:
            self._scheduler.submit(view, self._context.clock.wall())
            self.dirty = True

    def on_ledger_events(self, events: Sequence[LedgerEvent]) -> None:
        """Apply events of the ledger to the scheduler."""
        now = self._context.clock.wall()
        for event in events:
            self._apply_event(event, now)
        self.dirty |= bool(events)

    def _apply_event(self, event: LedgerEvent, now: float) -> None:
        scheduler = self._scheduler
        match event:
            case JobAdded(spec=spec):
                self.submit(spec.job_id)
            case JobResumed(job_id=job_id):
                self.submit(job_id)
            case JobCancelled(job_id=job_id) | JobForgotten(job_id=job_id):
                scheduler.forget(job_id)
            case TaskAdopted(task_id=task_id, worker_id=worker_id):
                self.submit(job_id_of(task_id))
                scheduler.on_task_placed(task_id, worker_id, now)
            case TaskStarted(task_id=task_id, worker_id=worker_id):
                scheduler.on_task_placed(task_id, worker_id, now)
            case TaskRequeued(task_id=task_id):
                outcome = TaskState.FAILED if event.counted else TaskState.CANCELLED
                scheduler.on_task_ended(task_id, outcome, now, requeue=True)
            case TaskEnded(task_id=task_id, state=state):
                scheduler.on_task_ended(task_id, state, now)
                self._forget_if_ended(job_id_of(task_id))
            case _:
                return

    def sync_workers(self) -> None:
        """Update the workers that have changed, and the usage by team."""
        changed = self._ledger.take_changed_workers()
        for worker_id in changed:
            view = self._ledger.worker_view(worker_id)
            if view is None:
                self._scheduler.remove_worker(worker_id)
                self._workers.discard(worker_id)
            else:
                self._scheduler.set_worker(view)
                self._workers.add(worker_id)
        if changed:
            self.dirty = True
            self._set_usage()

    def set_teams(
        self, config: FleetConfig, usable_by_team: Mapping[str, Resources]
    ) -> None:
        """Update the weights, limits and slices of the teams."""
        usage = self._ledger.usage_by_team()
        for team_id, team in config.teams_by_id.items():
            own = usage.get(team_id, NOTHING)
            self._scheduler.set_team(
                TeamView(
                    team_id=team_id,
                    weight=team.weight,
                    slice=usable_by_team.get(team_id, NOTHING),
                    domain_usage=own,
                    fleet_usage=own + self._remote_usage(team_id),
                    limit=team.limit,
                )
            )
        self.dirty = True

    def on_load(
        self, domain: str, capacity: Resources, usage: Mapping[str, Resources] | None
    ) -> None:
        """Update another domain's capacity, and its usage if it was reported."""
        if usage is not None:
            self._usage_by_domain[domain] = usage
        self._capacity_by_domain[domain] = capacity
        total = self.capacity()
        for other in self._capacity_by_domain.values():
            total = total + other
        if not total.is_zero:
            self._scheduler.set_fleet_total(total)
        self._set_usage()

    def capacity(self) -> Resources:
        """Return the capacity of this domain's workers."""
        return self._sum("capacity")

    def free(self) -> Resources:
        """Return the free resources of this domain's workers."""
        return self._sum("free")

    def demand_by_team(
        self, free_by_team: Mapping[str, Resources] | None = None
    ) -> dict[str, Resources]:
        """Return the resources that pending tasks need, by team.

        If ``free_by_team`` is given, gangs that do not fit in their team's free
        resources are left out.
        """
        wanted: dict[str, Resources] = {}
        for spec in self._ledger.open_jobs():
            status = self._ledger.job_status(spec.job_id)
            pending = status.tasks_by_state.get(TaskState.PENDING, 0) if status else 0
            if not pending:
                continue
            amount = spec.resources.scaled(pending)
            is_gang = spec.kind is JobKind.GANG
            free = (free_by_team or {}).get(spec.team, NOTHING)
            if is_gang and free_by_team is not None and not amount.fits_in(free):
                continue
            wanted[spec.team] = wanted.get(spec.team, NOTHING) + amount
        return wanted

    def _sum(self, attribute: str) -> Resources:
        total = NOTHING
        for worker_id in self._workers:
            view = self._ledger.worker_view(worker_id)
            if view is not None:
                total = total + getattr(view, attribute)
        return total

    def _set_usage(self) -> None:
        usage = self._ledger.usage_by_team()
        for team_id in self._context.tail.fleet.config.teams_by_id:
            own = usage.get(team_id, NOTHING)
            total = own + self._remote_usage(team_id)
            self._scheduler.set_usage(team_id, own, total)

    def _remote_usage(self, team_id: str) -> Resources:
        total = NOTHING
        for usage in self._usage_by_domain.values():
            total = total + usage.get(team_id, NOTHING)
        return total

    def _policy_of(self, job_id: str) -> str:
        spec = self._ledger.job_spec(job_id)
        queues = self._context.tail.fleet.config.queues_by_name
        queue = queues.get(spec.queue) if spec is not None else None
        return queue.policy if queue is not None else "default"

    def _submit_running(self, task: Task, now: float) -> None:
        view = JobView.of(task.spec, (), self._policy_of(task.spec.job_id))
        self._scheduler.submit(view, now)
        self._scheduler.on_task_placed(task.task_id, task.worker_id, now)

    def _forget_if_ended(self, job_id: str) -> None:
        status = self._ledger.job_status(job_id)
        if status is None or status.state not in SCHEDULED_STATES:
            self._scheduler.forget(job_id)
