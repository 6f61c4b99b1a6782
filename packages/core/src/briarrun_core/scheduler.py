"""Scheduler of one failure domain.

Its decisions are proposals, which the ledger accepts or rejects.
"""

from __future__ import annotations

import heapq

from briarrun_core import explanations, policy
from briarrun_core.decisions import DecisionPass
from briarrun_core.model import FleetConfig, TaskState
from briarrun_core.model import Policy as PolicyConfig
from briarrun_core.pending import Job
from briarrun_core.policy import RANK_BY_URGENCY, tier_of
from briarrun_core.rebalance import Rebalancer
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.scheduler_state import SchedulerState
from briarrun_core.views import Decision, JobView, SetAside, TeamView, WorkerView
from briarrun_core.worker_table import RunningTask

REJECTED_RETRY_S = 0.1
"""Delay after a rejected start, since the ledger may know of changes that have not yet
reached the scheduler."""

SET_ASIDE_AFTER_S = 30.0
"""Time before a job that fits on no worker is set aside. After a takeover workers
become known one by one."""

CHECKPOINT_COOLDOWN_S = 60.0
"""Time for which a task is not chosen again after a checkpoint that did not end it,
because the ledger or its worker rejected the checkpoint. Another task is chosen."""

DEFAULT_POLICY = "default"


class Scheduler:
    """Decides which tasks start on which worker and which tasks are checkpointed.

    Resources are charged as soon as a start is decided. The caller reports the result
    of each start with ``on_task_placed`` or ``on_task_refused`` and each end of a task
    with ``on_task_ended``. After these it passes the ledger's view to ``set_worker``
    and ``set_usage``. Only those two increase the available resources, since only the
    ledger knows when resources are free again. All times are in seconds of one
    monotonic clock.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._rebalancer = Rebalancer(state)
        self._promotions: list[tuple[float, str]] = []
        self._never_fits_since: dict[str, float] = {}
        self._fleet_total: Resources | None = None
        self._last_capacity = NOTHING
        self._teams: set[str] = set()
        self._limit_changed = False

    @classmethod
    def from_config(cls, config: FleetConfig) -> Scheduler:
        """Return a scheduler with the policies of a configuration.

        Raises ``ValueError`` with the path of the field if a policy is not valid.
        """
        policies = {
            name: policy.from_config(declared)
            for name, declared in config.policies_by_name.items()
        }
        default = policies.get(DEFAULT_POLICY)
        if default is None:
            default = policy.from_config(PolicyConfig(name=DEFAULT_POLICY))
        return cls(SchedulerState(policies, default))

    def set_policies(self, config: FleetConfig) -> None:
        """Use the policies of a new configuration for jobs submitted from now on.

        Raises ``ValueError`` and changes nothing if a policy is not valid.
        """
        new_state = Scheduler.from_config(config)._state
        self._state.policies_by_name = new_state.policies_by_name
        self._state.default_policy = new_state.default_policy

    def set_worker(self, view: WorkerView) -> None:
        """Add or update a worker."""
        self._state.table.set_view(view)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker; its tasks stay registered until ``on_task_ended``."""
        self._state.table.remove(worker_id)
        self._state.health.forget_worker(worker_id)

    def set_team(self, view: TeamView) -> None:
        """Add or update a team."""
        old = self._state.shares.team(view.team_id)
        if old is None or old.limit != view.limit:
            self._limit_changed = True
        self._state.shares.set_team(view)
        self._teams.add(view.team_id)
        self._state.update_share(view.team_id)

    def set_usage(
        self,
        team: str,
        domain_usage: Resources,
        fleet_usage: Resources | None = None,
    ) -> None:
        """Set a team's usage as reported by the ledger; unknown teams are ignored.

        If ``fleet_usage`` is omitted, the usage in other domains stays the same.
        """
        if team in self._teams:
            self._state.shares.set_usage(team, domain_usage, fleet_usage)
            self._state.update_share(team)

    def set_fleet_total(self, total: Resources) -> None:
        """Set the capacity of the fleet; until then that of the domain is used."""
        self._fleet_total = total
        self._apply_total()

    def submit(self, view: JobView, now: float) -> None:
        """Queue the pending tasks of a job; a known job with its id is replaced."""
        state = self._state
        self._state.now = now
        old = state.jobs_by_id.get(view.job_id)
        job_policy = state.policy_of(view)
        job = Job(
            view,
            job_policy,
            dict.fromkeys(view.pending_tasks),
            job_policy.rank(view, now),
            job_policy.sort_key(view, state.estimates),
        )
        if old is not None:
            state.update_waiting_total(old, removed=True)
            job.worker_by_task_id, job.tasks_by_rack = (
                old.worker_by_task_id,
                old.tasks_by_rack,
            )
            job.blocked_since = old.blocked_since
            for task_id in job.worker_by_task_id:
                job.pending.pop(task_id, None)
        state.pending.discard(view.job_id)
        state.jobs_by_id[view.job_id] = job
        state.queue(job)
        self._schedule_promotion(job)
        if self._never_fits(job) is not None:
            self._never_fits_since.setdefault(view.job_id, now)

    def forget(self, job_id: str) -> None:
        """Remove a job, for example after it was cancelled; unknown jobs are ignored.

        Its running tasks stay registered until ``on_task_ended``.
        """
        state = self._state
        job = state.jobs_by_id.pop(job_id, None)
        if job is None:
            return
        state.update_waiting_total(job, removed=True)
        state.pending.discard(job_id)
        state.reservations.forget(state.table, job_id)
        state.health.forget_job(job_id)
        self._never_fits_since.pop(job_id, None)

    def on_task_placed(self, task_id: str, worker_id: str, now: float) -> None:
        """Record that the ledger accepted a start, or that a task was found running.

        The job must have been submitted before, possibly without pending tasks.
        """
        state = self._state
        task = state.planned_by_id.pop(task_id, None)
        if task is not None:
            state.table.confirm(task)
            state.shares.confirm(task.team, task.resources)
            state.running_by_id[task_id] = task
            return
        job = state.jobs_by_id.get(task_id.rpartition("/")[0])
        if job is None or task_id in state.running_by_id:
            return
        view = job.view
        rank = RANK_BY_URGENCY[view.urgency]
        task = RunningTask(
            task_id,
            view.job_id,
            view.team,
            view.kind,
            rank,
            view.resources,
            worker_id,
            now,
            view.checkpointable,
        )
        state.pending.discard(view.job_id)
        job.pending.pop(task_id, None)
        state.queue(job)
        state.running_by_id[task_id] = task
        if worker_id in state.table:
            state.table.adopt(task)
        if rank == 0:
            state.headroom.on_start(view.resources)
        state.record_placement(job, task)

    def on_task_refused(self, task_id: str, now: float) -> None:
        """Record that the ledger rejected a start, and queue the task again."""
        state = self._state
        task = state.planned_by_id.pop(task_id, None)
        if task is None:
            return
        state.withdraw_start(task)
        job = state.jobs_by_id.get(task.job_id)
        if job is not None:
            self._requeue(job, task_id)
            job.not_before = now + REJECTED_RETRY_S

    def on_task_ended(
        self,
        task_id: str,
        outcome: TaskState,
        now: float,
        requeue: bool = False,
        usage: Resources | None = None,
    ) -> None:
        """Record the end of a task.

        With ``requeue`` the task is pending again, after a checkpoint or after a
        failure with attempts left. ``usage`` is the highest usage reported by the
        worker.
        """
        state = self._state
        state.now = now
        state.checkpoint_deadline_by_task.pop(task_id, None)
        state.checkpoint_cooldown_by_task.pop(task_id, None)
        planned = state.planned_by_id.pop(task_id, None)
        if planned is not None:
            state.withdraw_start(planned)
        task = state.running_by_id.pop(task_id, None)
        if task is not None and task.rank == 0:
            state.headroom.on_end()
        task = task or planned
        if task is None:
            return
        state.table.end(task)
        state.remove_placement(task)
        job = state.jobs_by_id.get(task.job_id)
        if job is None or outcome not in (TaskState.DONE, TaskState.FAILED):
            state.health.on_inconclusive(task.worker_id, task_id)
        elif outcome is TaskState.DONE:
            state.health.on_success(task.worker_id, task.job_id)
            state.estimates.learn(job.view, now - task.started_at, usage)
        else:
            state.health.on_failure(task.worker_id, task.job_id, task_id, now)
        state.table.refresh(task.worker_id)
        if job is not None and requeue:
            self._requeue(job, task_id)

    def decide(self, now: float, limit: int) -> list[Decision]:
        """Return up to ``limit`` decisions, or more if a single gang needs more."""
        state = self._state
        state.now = now
        if self._limit_changed or state.table.total != self._last_capacity:
            self._on_limits_changed(now)
        self._promote(now)
        self._expire(now)
        decision_pass = DecisionPass(state, now, limit)
        self._set_aside(decision_pass, now)
        if not decision_pass.limit_reached:
            decision_pass.run()
            self._rebalancer.run(decision_pass, now)
        return decision_pass.decisions

    def explain(self, job_id: str, now: float) -> str:
        """Return a one-line explanation of the job's scheduling state."""
        state = self._state
        job = state.jobs_by_id.get(job_id)
        if job is None:
            return f"job {job_id} is not known to the scheduler of this domain"
        return f"job {job_id}: {self._reason(job, now)}"

    def _reason(self, job: Job, now: float) -> str:
        state, view = self._state, job.view
        if job.set_aside is not None:
            return f"set aside: {job.set_aside}"
        if not job.pending:
            return f"{len(job.worker_by_task_id)} tasks placed, none waiting"
        never_fits_reason = self._never_fits(job)
        if never_fits_reason is not None:
            return f"will be set aside: {never_fits_reason}"
        if state.shares.team(view.team) is None:
            return f"waits: team {view.team} is not known"
        count = len(job.pending) if job.is_gang else 0
        need = view.resources.scaled(count or 1)
        available = state.shares.remaining_slice(view.team)
        if not need.fits_in(available):
            return explanations.waits_for_slice(view.team, need, available)
        if now < job.not_before:
            return f"waits: tried again in {job.not_before - now:.2f} s"
        if job.blocked_since is not None:
            active = state.reservations.active
            is_own = active is not None and active.job_id == view.job_id
            reserved = len(active.workers) if active is not None and is_own else 0
            return explanations.waits_for_capacity(
                view.resources, count, reserved, state.held_task_count(view.job_id)
            )
        share = state.shares.weighted_share(view.team)
        position = state.pending.teams_by_share[tier_of(job.rank)].bisect_left(
            (share, view.team)
        )
        return explanations.waits_for_turn(position, view.team, share)

    def _requeue(self, job: Job, task_id: str) -> None:
        self._state.pending.discard(job.view.job_id)
        job.pending[task_id] = None
        self._state.queue(job)
        self._schedule_promotion(job)

    def _schedule_promotion(self, job: Job) -> None:
        at = job.policy.promoted_at(job.view, job.rank)
        if at is not None and job.pending:
            heapq.heappush(self._promotions, (at, job.view.job_id))

    def _promote(self, now: float) -> None:
        """Promote jobs that have waited long, to prevent starvation."""
        while self._promotions and self._promotions[0][0] <= now:
            job = self._state.jobs_by_id.get(heapq.heappop(self._promotions)[1])
            if job is None or not job.pending:
                continue
            rank = job.policy.rank(job.view, now)
            if rank < job.rank:
                self._state.pending.discard(job.view.job_id)
                job.rank = rank
                self._state.queue(job)
                self._schedule_promotion(job)

    def _expire(self, now: float) -> None:
        state = self._state
        state.reservations.expire(state.table, now)
        state.headroom.advance(now)
        for task_id in [
            t for t, at in state.checkpoint_deadline_by_task.items() if at <= now
        ]:
            del state.checkpoint_deadline_by_task[task_id]
            state.checkpoint_cooldown_by_task[task_id] = now + CHECKPOINT_COOLDOWN_S
        for task_id in [
            t for t, at in state.checkpoint_cooldown_by_task.items() if at <= now
        ]:
            del state.checkpoint_cooldown_by_task[task_id]
        for worker_id in (
            state.health.quarantined() + state.health.pop_released_workers()
        ):
            state.table.refresh(worker_id)

    def _apply_total(self) -> None:
        total = self._fleet_total or self._state.table.total
        self._state.shares.set_total(total)
        for team in self._teams:
            self._state.update_share(team)

    def _on_limits_changed(self, now: float) -> None:
        """Check again which pending jobs can never run.

        Called after a change of the domain's capacity or of a team's limit.
        """
        self._limit_changed = False
        self._last_capacity = self._state.table.total
        self._apply_total()
        for job_id in self._state.pending.one_of_each_group():
            if self._never_fits(self._state.jobs_by_id[job_id]) is not None:
                for same_group_id in self._state.pending.same_group(job_id):
                    self._never_fits_since.setdefault(same_group_id, now)

    def _never_fits(self, job: Job) -> str | None:
        state, view = self._state, job.view
        count = len(job.pending) if job.is_gang else 1
        team = state.shares.team(view.team)
        if team is not None and team.limit is not None:
            total_need = view.resources.scaled(count)
            if not total_need.fits_in(team.limit):
                return explanations.above_limit(view.team, team.limit)
        if state.table.max_task_count(view.resources) < count:
            return explanations.never_fits_worker(view.resources, count)
        return None

    def _set_aside(self, decision_pass: DecisionPass, now: float) -> None:
        """Set aside jobs that can never run."""
        for job_id, since in list(self._never_fits_since.items()):
            if now - since < SET_ASIDE_AFTER_S or decision_pass.limit_reached:
                continue
            del self._never_fits_since[job_id]
            job = self._state.jobs_by_id[job_id]
            reason = self._never_fits(job)
            if reason is not None and job.pending and len(self._state.table):
                job.set_aside = reason
                self._state.queue(job)
                decision_pass.decisions.append(SetAside(job_id, reason))
