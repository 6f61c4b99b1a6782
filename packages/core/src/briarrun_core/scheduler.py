"""Scheduler of one failure domain: proposes; the ledger accepts or refuses."""

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

REFUSED_RETRY_S = 0.1
"""Pause after a refused start; the ledger may know what this plan does not yet."""

SET_ASIDE_AFTER_S = 30.0
"""A job that no worker could hold waits this long before it is set aside, because
after a takeover workers become known one by one."""

UNMOVED_S = 60.0
"""A task that did not end after its checkpoint was ordered, because the ledger or its
worker refused, is left alone this long; another is chosen instead."""

DEFAULT_POLICY = "default"


class Scheduler:
    """Decide which tasks start where, and which make room.

    The plan charges its own decisions at once. The caller reports what became of each
    by ``on_task_placed`` or ``on_task_refused``, every end by ``on_task_ended``, and
    after these the ledger's view by ``set_worker`` and ``set_usage``. Only those two
    make room grow, since the ledger alone knows when resources are free again. Times
    are seconds of one monotonic clock.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._rebalancer = Rebalancer(state)
        self._promotions: list[tuple[float, str]] = []
        self._unfit_since: dict[str, float] = {}
        self._fleet_total: Resources | None = None
        self._capacity_known = NOTHING
        self._teams: set[str] = set()
        self._recheck = False

    @classmethod
    def from_config(cls, config: FleetConfig) -> Scheduler:
        """Return a scheduler with the policies of a configuration.

        Raises ``ValueError`` naming the field if a policy is not valid.
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
        """Take over the policies of a new configuration for jobs submitted from now.

        Raises ``ValueError`` and changes nothing if a policy is not valid.
        """
        fresh = Scheduler.from_config(config)._state
        self._state.policies_by_name = fresh.policies_by_name
        self._state.default_policy = fresh.default_policy

    def set_worker(self, view: WorkerView) -> None:
        """Add a worker or replace what is known of it."""
        self._state.table.set_view(view)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker; its tasks stay known until ``on_task_ended``."""
        self._state.table.remove(worker_id)
        self._state.health.forget_worker(worker_id)

    def set_team(self, view: TeamView) -> None:
        """Add a team or replace what is known of it."""
        old = self._state.shares.team(view.team_id)
        if old is None or old.limit != view.limit:
            self._recheck = True
        self._state.shares.set_team(view)
        self._teams.add(view.team_id)
        self._state.update_share(view.team_id)

    def set_usage(
        self,
        team: str,
        domain_usage: Resources,
        fleet_usage: Resources | None = None,
    ) -> None:
        """Set a team's usage as the ledger reports it; an unknown team is ignored.

        Without ``fleet_usage`` the usage in other domains is taken as unchanged.
        """
        if team in self._teams:
            self._state.shares.set_usage(team, domain_usage, fleet_usage)
            self._state.update_share(team)

    def set_fleet_total(self, total: Resources) -> None:
        """Set the capacity of the whole fleet; until then the domain's own counts."""
        self._fleet_total = total
        self._apply_total()

    def submit(self, view: JobView, now: float) -> None:
        """Queue a job's pending tasks; a known job is replaced."""
        state = self._state
        self._state.now = now
        old = state.jobs_by_id.get(view.job_id)
        chosen = state.policy_of(view)
        job = Job(
            view,
            chosen,
            dict.fromkeys(view.pending_tasks),
            chosen.rank(view, now),
            chosen.sort_key(view, state.estimates),
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
            self._unfit_since.setdefault(view.job_id, now)

    def forget(self, job_id: str) -> None:
        """Drop a job, for example a cancelled one; unknown jobs are ignored.

        Its running tasks stay known until ``on_task_ended``.
        """
        state = self._state
        job = state.jobs_by_id.pop(job_id, None)
        if job is None:
            return
        state.update_waiting_total(job, removed=True)
        state.pending.discard(job_id)
        state.reservations.forget(state.table, job_id)
        state.health.forget_job(job_id)
        self._unfit_since.pop(job_id, None)

    def on_task_placed(self, task_id: str, worker_id: str, now: float) -> None:
        """Take note that the ledger accepted a start, or of a task found running.

        The job must have been submitted, if need be without pending tasks.
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
        """Take note that the ledger refused a start; the task waits again."""
        state = self._state
        task = state.planned_by_id.pop(task_id, None)
        if task is None:
            return
        state.withdraw_start(task)
        job = state.jobs_by_id.get(task.job_id)
        if job is not None:
            self._requeue(job, task_id)
            job.not_before = now + REFUSED_RETRY_S

    def on_task_ended(
        self,
        task_id: str,
        outcome: TaskState,
        now: float,
        requeue: bool = False,
        usage: Resources | None = None,
    ) -> None:
        """Take note of a task's end.

        ``requeue`` puts it back among the pending ones, after a checkpoint or a failure
        with attempts left. ``usage`` is the most that the worker reported.
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
        """Return up to ``limit`` decisions; a gang is never cut, so it may be more."""
        state = self._state
        state.now = now
        if self._recheck or state.table.total != self._capacity_known:
            self._on_limits_changed(now)
        self._promote(now)
        self._expire(now)
        step = DecisionPass(state, now, limit)
        self._set_aside(step, now)
        if not step.limit_reached:
            step.run()
            self._rebalancer.run(step, now)
        return step.decisions

    def explain(self, job_id: str, now: float) -> str:
        """Return in one line why the job is where it is."""
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
        never = self._never_fits(job)
        if never is not None:
            return f"will be set aside: {never}"
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
            mine = active is not None and active.job_id == view.job_id
            reserved = len(active.workers) if active is not None and mine else 0
            return explanations.waits_for_capacity(
                view.resources, count, reserved, state.held_task_count(view.job_id)
            )
        share = state.shares.weighted_share(view.team)
        place = state.pending.teams_by_share[tier_of(job.rank)].bisect_left(
            (share, view.team)
        )
        return explanations.waits_for_turn(place, view.team, share)

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
        """Raise jobs that have waited long, so that none starves."""
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
        for hold in [h for h in state.holds if h.until <= now]:
            state.drop_hold(hold)
        for task_id in [
            t for t, at in state.checkpoint_deadline_by_task.items() if at <= now
        ]:
            del state.checkpoint_deadline_by_task[task_id]
            state.checkpoint_cooldown_by_task[task_id] = now + UNMOVED_S
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
        """Look again at which waiting jobs could run at all."""
        self._recheck = False
        self._capacity_known = self._state.table.total
        self._apply_total()
        for job_id in self._state.pending.one_of_each_group():
            if self._never_fits(self._state.jobs_by_id[job_id]) is not None:
                for same in self._state.pending.same_group(job_id):
                    self._unfit_since.setdefault(same, now)

    def _never_fits(self, job: Job) -> str | None:
        state, view = self._state, job.view
        count = len(job.pending) if job.is_gang else 1
        team = state.shares.team(view.team)
        if team is not None and team.limit is not None:
            whole = view.resources.scaled(count)
            if not whole.fits_in(team.limit):
                return explanations.above_limit(view.team, team.limit)
        if state.table.max_task_count(view.resources) < count:
            return explanations.never_fits_worker(view.resources, count)
        return None

    def _set_aside(self, step: DecisionPass, now: float) -> None:
        """Take jobs out of the queue that can never run."""
        for job_id, since in list(self._unfit_since.items()):
            if now - since < SET_ASIDE_AFTER_S or step.limit_reached:
                continue
            del self._unfit_since[job_id]
            job = self._state.jobs_by_id[job_id]
            reason = self._never_fits(job)
            if reason is not None and job.pending and len(self._state.table):
                job.set_aside = reason
                self._state.queue(job)
                step.decisions.append(SetAside(job_id, reason))
