"""One scheduling pass: orders jobs by urgency and share, and packs their tasks."""

from __future__ import annotations

from collections.abc import Callable, Collection

from briarrun_core import explanations
from briarrun_core.gangs import (
    GANG_RETRY_S,
    choose_workers_to_reserve,
    find_gang_placement,
)
from briarrun_core.model import Urgency
from briarrun_core.pending import Job
from briarrun_core.placement import ResourceTuple, as_tuple
from briarrun_core.policy import RANK_BY_URGENCY, TIER_COUNT
from briarrun_core.preemption import choose_preemption, choose_victims
from briarrun_core.resources import Resources
from briarrun_core.scheduler_state import Hold, SchedulerState
from briarrun_core.views import Checkpoint, Decision
from briarrun_core.worker_table import RunningTask

URGENT_RANK = RANK_BY_URGENCY[Urgency.URGENT]

CHECKPOINTS_PER_CALL = 50
"""Bounds the time of one call when many urgent jobs arrive at once."""


class DecisionPass:
    """A single pass over the pending jobs that collects decisions."""

    def __init__(self, state: SchedulerState, now: float, limit: int) -> None:
        self._state = state
        self._now = now
        self._limit = limit
        self._blocked_head: Job | None = None
        self._skip_unplaceable = False
        self._sizes_over_headroom: set[ResourceTuple] = set()
        self.decisions: list[Decision] = []

    @property
    def limit_reached(self) -> bool:
        """Whether the number of decisions has reached the caller's limit."""
        return len(self.decisions) >= self._limit

    def run(self) -> None:
        """Place the tasks that fit, then reserve workers for the first blocked job."""
        self._place_held()
        self._place_reserved()
        for tier in range(TIER_COUNT):
            self._place_tier(tier)
        self._reserve()

    def _place_tier(self, tier: int) -> None:
        if tier > 0 and self._state.headroom.is_below_target():
            return
        teams = self._state.pending.teams_by_share[tier]
        position = 0
        while position < len(teams) and not self.limit_reached:
            team = teams[position][1]
            if tier > 0 and self._state.above_ceiling(team):
                position += 1
                continue
            if self._place_next(tier, team):
                continue
            position += 1
            self._skip_unplaceable = tier > 0
            if tier > 0 and self._no_size_can_start():
                return

    def _no_size_can_start(self) -> bool:
        """Return whether no task size that is waiting can start now."""
        unplaceable, over_headroom = (
            self._state.table.unplaceable_sizes,
            self._sizes_over_headroom,
        )
        return all(
            s in unplaceable or s in over_headroom
            for s in self._state.pending.group_count_by_size
        )

    def _place_next(self, tier: int, team: str) -> bool:
        """Place the first placeable job of a team; return whether there was one."""
        state = self._state
        skipped_sizes: Collection[ResourceTuple] = ()
        if tier > 0 and self._skip_unplaceable:
            skipped_sizes = state.table.unplaceable_sizes
        heads = state.pending.heads(
            tier, team, skipped_sizes, self._sizes_over_headroom
        )
        if not heads:
            return False
        available = state.shares.remaining_slice(team)
        for job_id in heads:
            job = state.jobs_by_id[job_id]
            if self._now < job.not_before:
                continue
            if job.is_gang:
                if self._place_gang(job, available):
                    return True
                continue
            need = job.view.resources
            if not need.fits_in(available):
                continue
            spread = job.policy.spreads(job.view)
            worker_id = state.table.find(need, job.tasks_by_rack if spread else None)
            if worker_id is not None:
                if tier > 0 and not state.headroom.allows_start(worker_id, need):
                    self._sizes_over_headroom.add(as_tuple(need))
                    continue
                self._place(job, worker_id, spread)
                return True
            self._record_blocked(job)
        return False

    def _place(self, job: Job, worker_id: str, spread: bool) -> None:
        share = self._state.shares.weighted_share(job.view.team)
        reason = explanations.placed(job.view.team, share, worker_id, spread)
        self.decisions.append(self._state.plan(job, worker_id, reason))

    def _record_blocked(self, job: Job) -> None:
        """Record that a job fits on no worker; if it is urgent, preempt tasks."""
        if job.blocked_since is None:
            job.blocked_since = self._now
        if job.view.urgency is Urgency.URGENT:
            self._checkpoint_for(job)
        elif self._blocked_head is None:
            self._blocked_head = job

    def _place_gang(self, job: Job, available: Resources) -> bool:
        state, need, count = self._state, job.view.resources, len(job.pending)
        if not need.scaled(count).fits_in(available):
            return False
        if self.decisions and len(self.decisions) + count > self._limit:
            return False
        active = state.reservations.active
        reserved = active is not None and active.job_id == job.view.job_id
        if (
            not reserved
            and job.last_try_increase_count == state.table.free_increase_count
        ):
            self._record_blocked_gang(job)
            return False
        workers = find_gang_placement(
            state.table,
            need,
            count,
            active.workers if active is not None and reserved else (),
        )
        if workers is None:
            job.last_try_increase_count = state.table.free_increase_count
            job.not_before = self._now + GANG_RETRY_S
            self._record_blocked_gang(job)
            return False
        reason = explanations.placed_gang(
            job.view.team, count, len(set(workers)), reserved
        )
        job_id = job.view.job_id
        for worker_id in workers:
            self.decisions.append(state.plan(job, worker_id, reason, job_id))
        return True

    def _record_blocked_gang(self, job: Job) -> None:
        if job.blocked_since is None:
            job.blocked_since = self._now
        if self._blocked_head is None or job.view.urgency is Urgency.URGENT:
            self._blocked_head = job

    def _place_held(self) -> None:
        """Place tasks whose held resources have become free, and drop expired holds.

        A hold may expire in the same pass in which its resources become free.
        """
        state = self._state
        for hold in list(state.holds):
            job = state.jobs_by_id.get(hold.job_id)
            if job is None or not job.pending or hold.worker_id not in state.table:
                state.drop_hold(hold)
                continue
            if self._may_place_held(hold, job):
                state.drop_hold(hold)
                self._place(job, hold.worker_id, False)
            elif hold.until <= self._now and not self.limit_reached:
                state.drop_hold(hold)

    def _may_place_held(self, hold: Hold, job: Job) -> bool:
        """Return whether a task of the job can start on the held resources now."""
        state = self._state
        return (
            not self.limit_reached
            and state.table.is_schedulable(hold.worker_id)
            and hold.need.fits_in(state.table.unheld(hold.worker_id) + hold.need)
            and hold.need.fits_in(state.shares.remaining_slice(job.view.team))
        )

    def _place_reserved(self) -> None:
        """Place the job that holds the active reservation, if it fits now."""
        state = self._state
        active = state.reservations.active
        if active is None:
            return
        job = state.jobs_by_id.get(active.job_id)
        if job is None or not job.pending:
            state.reservations.close(state.table)
            return
        available = state.shares.remaining_slice(job.view.team)
        if job.is_gang:
            self._place_gang(job, available)
            return
        need = job.view.resources
        for worker_id in active.workers:
            if worker_id not in state.table or not state.table.is_schedulable(
                worker_id
            ):
                continue
            while (
                job.pending
                and not self.limit_reached
                and need.fits_in(state.shares.remaining_slice(job.view.team))
                and need.fits_in(state.table.unheld(worker_id))
            ):
                self._place(job, worker_id, False)
                state.reservations.close(state.table)
                return

    def _reserve(self) -> None:
        """Reserve workers for the first blocked job in queue order."""
        job, state = self._blocked_head, self._state
        if job is None or not job.pending or job.blocked_since is None:
            return
        urgent_gang = job.is_gang and job.view.urgency is Urgency.URGENT
        waited = self._now - job.blocked_since
        if not urgent_gang and waited < job.policy.reserve_after_s:
            return
        job_id = job.view.job_id
        if not state.reservations.may_open(job_id, self._now):
            return
        count = len(job.pending) if job.is_gang else 1
        workers = choose_workers_to_reserve(state.table, job.view.resources, count)
        if not workers:
            return
        state.reservations.open(state.table, job_id, workers, job.policy, self._now)
        if urgent_gang:
            self._checkpoint_for_gang(job, workers)

    def _checkpoint_for_gang(self, job: Job, workers: list[str]) -> None:
        """Checkpoint lower-urgency tasks if the gang then fits its reserved workers."""
        remaining = len(job.pending)
        tasks_to_checkpoint: list[RunningTask] = []
        for worker_id in workers:
            placed, victims = self._plan_preemption(
                worker_id, job.view.resources, remaining
            )
            tasks_to_checkpoint += victims
            remaining -= placed
        if remaining == 0:
            for task in tasks_to_checkpoint:
                self._checkpoint(job, task)

    def _plan_preemption(
        self, worker_id: str, need: Resources, max_tasks: int
    ) -> tuple[int, list[RunningTask]]:
        """Return how many tasks a worker could take, and the tasks to checkpoint."""
        state = self._state
        available = state.table.unheld(worker_id)
        tasks, tasks_to_checkpoint = [], []
        for task in state.table.tasks(worker_id):
            if task.task_id in state.checkpoint_deadline_by_task:
                available += task.resources
            elif task.rank > URGENT_RANK and state.may_checkpoint(task):
                tasks.append(task)
        placed = 0
        while placed < max_tasks:
            if not need.fits_in(available):
                victims = choose_victims(tasks, available, need)
                if not victims:
                    break
                for task in victims:
                    tasks.remove(task)
                    available += task.resources
                tasks_to_checkpoint += victims
            available -= need
            placed += 1
        return placed, tasks_to_checkpoint

    def _checkpoint_for(self, job: Job) -> None:
        """Checkpoint lower-urgency tasks for an urgent job and others of its group."""
        checkpoints = 0
        current: Job | None = job
        while current is not None and checkpoints < CHECKPOINTS_PER_CALL:
            missing = len(current.pending) - self._state.held_task_count(
                current.view.job_id
            )
            while (
                missing > 0
                and checkpoints < CHECKPOINTS_PER_CALL
                and not self.limit_reached
            ):
                victims = self.preempt_for(
                    current, lambda task: task.rank > URGENT_RANK
                )
                if victims is None:
                    return
                checkpoints += 1
                missing -= 1
            next_id = self._state.pending.next_in_group(current)
            current = self._state.jobs_by_id[next_id] if next_id else None
            if self.limit_reached:
                return

    def preempt_for(
        self,
        job: Job,
        may_checkpoint: Callable[[RunningTask], bool],
        reason: str | None = None,
    ) -> list[RunningTask] | None:
        """Checkpoint tasks for one task of a job and hold the resources they release.

        Returns the checkpointed tasks, or ``None`` if no worker can free enough.
        """
        state, need = self._state, job.view.resources
        available = state.shares.remaining_slice(job.view.team)
        total_need = need.scaled(state.held_task_count(job.view.job_id) + 1)
        if not total_need.fits_in(available):
            return None
        found = choose_preemption(
            state.table,
            need,
            lambda t: state.may_checkpoint(t) and may_checkpoint(t),
            state.checkpoint_deadline_by_task,
        )
        if found is None:
            return None
        worker_id, victims = found
        for task in victims:
            self._checkpoint(job, task, reason)
        until = self._now + job.policy.checkpoint_wait_s
        state.add_hold(Hold(job.view.job_id, worker_id, need, until))
        return victims

    def _checkpoint(
        self, job: Job, task: RunningTask, reason: str | None = None
    ) -> None:
        if reason is None:
            reason = explanations.checkpointed_for_urgency(
                job.view.job_id, job.view.urgency, task.worker_id
            )
        until = self._now + job.policy.checkpoint_wait_s
        self._state.checkpoint_deadline_by_task[task.task_id] = until
        self.decisions.append(Checkpoint(task.task_id, job.view.job_id, reason))
