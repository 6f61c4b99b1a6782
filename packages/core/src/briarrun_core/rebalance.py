"""Rebalancing: checkpoints tasks of teams above their share for teams below theirs.

Otherwise long tasks would keep a team with new work below its share until they end.
"""

from __future__ import annotations

from collections.abc import Callable

from briarrun_core import explanations
from briarrun_core.decisions import URGENT_RANK, DecisionPass
from briarrun_core.model import JobKind
from briarrun_core.pending import Job
from briarrun_core.policy import TIER_COUNT
from briarrun_core.scheduler_state import SchedulerState
from briarrun_core.worker_table import RunningTask

ROUND_INTERVAL_S = 2.0
"""Time between two rounds. The target for shares covers 60 s, so a round every few
seconds suffices."""

GAP_TOLERANCE = 0.02
"""Gap to its entitlement, as a fraction of the fleet, above which tasks are
checkpointed for a team. It is below the target of 0.05 to allow for the time that
checkpoints take."""

SHARE_SLACK = 0.01
"""While a waiting team is below its entitlement by more than this fraction of the
fleet, teams above theirs by more than this fraction start no tasks. Otherwise teams
with small tasks would fill every gap, and larger tasks would never fit."""

NO_GAIN_TIMEOUT_S = 20.0
NO_GAIN_PAUSE_S = 60.0
"""If a team's share does not grow for ``NO_GAIN_TIMEOUT_S`` while other teams are
limited in its favor, for example because its gang waits behind tasks that never end,
they are not limited for the next ``NO_GAIN_PAUSE_S``. Otherwise capacity could stay
idle indefinitely."""

MIN_RUN_S = 5.0
"""Minimum run time before a task is checkpointed for rebalancing, so that tasks are not
moved back and forth."""

CHECKPOINTS_PER_ROUND = 40


class Rebalancer:
    """Moves capacity from teams above their entitlement to waiting teams below."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._next_round_at = 0.0
        self._best_share_by_team: dict[str, tuple[float, float]] = {}

    def run(self, decision_pass: DecisionPass, now: float) -> None:
        """Add checkpoints to the decisions if a waiting team is below its share.

        Also limits the teams above their entitlement while that helps a waiting team.
        """
        state = self._state
        if now < self._next_round_at or decision_pass.limit_reached:
            return
        self._next_round_at = now + ROUND_INTERVAL_S
        state.ceilings_by_team.clear()
        if not state.waiting_by_team:
            return
        gaps = self._gaps()
        if self._waiting_team_gains(gaps, now):
            for team, gap in gaps.items():
                ceiling = state.shares.domain_share(team) + gap + SHARE_SLACK
                state.ceilings_by_team[team] = ceiling
        surplus = {team: -gap for team, gap in gaps.items() if gap < -GAP_TOLERANCE / 2}
        if not surplus:
            return
        budget = CHECKPOINTS_PER_ROUND
        for team, gap in sorted(gaps.items(), key=lambda item: -item[1]):
            if gap <= GAP_TOLERANCE:
                return
            if team not in state.waiting_by_team:
                continue
            budget -= self._checkpoint_for_team(
                decision_pass, team, gap, surplus, budget, now
            )
            if budget <= 0 or decision_pass.limit_reached:
                return

    def _waiting_team_gains(self, gaps: dict[str, float], now: float) -> bool:
        """Return whether limiting other teams helps a waiting team below its share."""
        waiting = self._state.waiting_by_team
        below = {
            t: gap for t, gap in gaps.items() if gap > SHARE_SLACK and t in waiting
        }
        self._best_share_by_team = {
            t: old for t, old in self._best_share_by_team.items() if t in below
        }
        gains = False
        for team in below:
            share = self._state.shares.domain_share(team)
            best, since = self._best_share_by_team.get(team, (share, now))
            if share > best or now - since >= NO_GAIN_TIMEOUT_S + NO_GAIN_PAUSE_S:
                best, since = share, now
            self._best_share_by_team[team] = (best, since)
            gains = gains or now - since < NO_GAIN_TIMEOUT_S
        return gains

    def _gaps(self) -> dict[str, float]:
        """Return each team's entitlement minus its share, relative to the fleet."""
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

    def _checkpoint_for_team(
        self,
        decision_pass: DecisionPass,
        team: str,
        gap: float,
        surplus: dict[str, float],
        budget: int,
        now: float,
    ) -> int:
        """Checkpoint tasks for the team's first jobs until the gap is closed.

        Returns the part of the budget used.
        """
        state, used_budget = self._state, 0
        for job in self._first_jobs(team):
            fraction = state.shares.fleet_fraction(job.view.resources)
            reason = explanations.checkpointed_for_share(job.view.job_id, team, gap)
            wanted = len(job.pending) - state.held_task_count(job.view.job_id)
            while (
                wanted > 0
                and gap > GAP_TOLERANCE
                and used_budget < budget
                and not decision_pass.limit_reached
            ):
                victims = decision_pass.preempt_for(
                    job, self._checkpoint_rule(surplus, gap, now), reason
                )
                if victims is None:
                    break
                for task in victims:
                    freed = state.shares.fleet_fraction(task.resources)
                    surplus[task.team] -= freed
                used_budget += max(1, len(victims))
                gap -= fraction
                wanted -= 1
        return used_budget

    def _checkpoint_rule(
        self, surplus: dict[str, float], gap: float, now: float
    ) -> Callable[[RunningTask], bool]:
        """Return a function that tells whether a task may be checkpointed for a team.

        The shortfall of the task's team must stay below ``gap``, that of the other
        team. Otherwise two teams with large tasks would replace each other's tasks for
        ever, and neither would end one.
        """

        def may_checkpoint(task: RunningTask) -> bool:
            above = surplus.get(task.team, 0.0)
            fraction = self._state.shares.fleet_fraction(task.resources)
            return (
                above > 0.0
                and fraction - above < gap
                and task.rank > URGENT_RANK
                and task.kind is JobKind.BATCH
                and now - task.started_at >= MIN_RUN_S
            )

        return may_checkpoint

    def _first_jobs(self, team: str) -> list[Job]:
        state = self._state
        heads = [
            state.jobs_by_id[job_id]
            for tier in range(TIER_COUNT)
            for job_id in state.pending.heads(tier, team)
        ]
        return [job for job in heads if not job.is_gang]
