"""Checkpoints for share: give a team below its entitlement what others have too much.

Long tasks would otherwise keep a team with new work below its share until they end.
"""

from __future__ import annotations

from briarrun_core import explanations
from briarrun_core.decisions import URGENT_RANK, DecisionPass
from briarrun_core.model import JobKind
from briarrun_core.pending import Job
from briarrun_core.policy import TIER_COUNT
from briarrun_core.scheduler_state import SchedulerState
from briarrun_core.worker_table import RunningTask

INTERVAL_S = 2.0
"""The share target is over 60 s, so a check every few seconds is enough."""

TOLERANCE = 0.02
"""Part of the fleet below its entitlement at which a team is helped; the target of
0.05 leaves room for the time that checkpoints take."""

SLACK = 0.01
"""While a waiting team is this far below its entitlement, others start nothing this far
above theirs. Otherwise teams with small tasks fill every gap between larger tasks, and
room for the larger ones never comes together."""

PATIENCE_S = 20.0
PAUSE_S = 60.0
"""A team whose share does not grow though others hold back for this long, for example
because its gang waits for work without end, makes nobody hold back for the pause.
Otherwise capacity would stand idle without bound."""

MIN_RUN_S = 5.0
"""A task is not checkpointed for share before it has run this long, so that tasks
are not moved back and forth."""

CHECKPOINTS_PER_ROUND = 40


class Rebalancer:
    """Move capacity from teams above their entitlement to waiting teams below."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._next_at = 0.0
        self._tries: dict[str, tuple[float, float]] = {}

    def run(self, step: DecisionPass, now: float) -> None:
        """Add checkpoints to the decisions if a waiting team is too far below."""
        state = self._state
        if now < self._next_at or step.limit_reached:
            return
        self._next_at = now + INTERVAL_S
        state.ceilings_by_team.clear()
        if not state.waiting_by_team:
            return
        gaps = self._gaps()
        if self._someone_gains(gaps, now):
            for team, gap in gaps.items():
                ceiling = state.shares.domain_share(team) + gap + SLACK
                state.ceilings_by_team[team] = ceiling
        surplus = {team: -gap for team, gap in gaps.items() if gap < -TOLERANCE / 2}
        if not surplus:
            return
        budget = CHECKPOINTS_PER_ROUND
        for team, gap in sorted(gaps.items(), key=lambda item: -item[1]):
            if gap <= TOLERANCE:
                return
            if team not in state.waiting_by_team:
                continue
            budget -= self._help(step, team, gap, surplus, budget, now)
            if budget <= 0 or step.limit_reached:
                return

    def _someone_gains(self, gaps: dict[str, float], now: float) -> bool:
        """Tell whether a waiting team is below and gains while others hold back."""
        waiting = self._state.waiting_by_team
        below = {t: gap for t, gap in gaps.items() if gap > SLACK and t in waiting}
        self._tries = {t: old for t, old in self._tries.items() if t in below}
        gains = False
        for team in below:
            share = self._state.shares.domain_share(team)
            best, since = self._tries.get(team, (share, now))
            if share > best or now - since >= PATIENCE_S + PAUSE_S:
                best, since = share, now
            self._tries[team] = (best, since)
            gains = gains or now - since < PATIENCE_S
        return gains

    def _gaps(self) -> dict[str, float]:
        """Return each team's entitlement here less its share, in parts of the fleet."""
        state = self._state
        demands = []
        for team in state.shares.teams():
            waiting = state.waiting_by_team.get(team)
            demand = state.shares.demand(team, waiting)
            if demand is not None and not demand.local.is_zero:
                demands.append(demand)
        entitled = state.shares.entitlements(demands, state.table.total)
        return {
            team: entitlement - state.shares.domain_share(team)
            for team, entitlement in entitled.items()
        }

    def _help(
        self,
        step: DecisionPass,
        team: str,
        gap: float,
        surplus: dict[str, float],
        budget: int,
        now: float,
    ) -> int:
        """Make room for the team's first jobs until the gap is closed."""
        state, spent = self._state, 0
        for job in self._first_jobs(team):
            part = state.shares.fleet_fraction(job.view.resources)
            reason = explanations.checkpointed_for_share(job.view.job_id, team, gap)

            def may_checkpoint(task: RunningTask) -> bool:
                return (
                    surplus.get(task.team, 0.0) > 0.0
                    and task.rank > URGENT_RANK
                    and task.kind is JobKind.BATCH
                    and now - task.started_at >= MIN_RUN_S
                )

            wanted = len(job.pending) - state.held_task_count(job.view.job_id)
            while (
                wanted > 0
                and gap > TOLERANCE
                and spent < budget
                and not step.limit_reached
            ):
                victims = step.preempt_for(job, may_checkpoint, reason)
                if victims is None:
                    break
                for task in victims:
                    freed = state.shares.fleet_fraction(task.resources)
                    surplus[task.team] -= freed
                spent += max(1, len(victims))
                gap -= part
                wanted -= 1
        return spent

    def _first_jobs(self, team: str) -> list[Job]:
        state = self._state
        heads = [
            state.jobs_by_id[job_id]
            for tier in range(TIER_COUNT)
            for job_id in state.pending.heads(tier, team)
        ]
        return [job for job in heads if not job.is_gang]
