"""Weighted dominant resource share of teams over the whole fleet's usage."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from briarrun_core.resources import NOTHING, Resources
from briarrun_core.views import TeamView

SEARCH_STEPS = 30
"""Halvings in the search for the common share; leaves an error below 1e-8."""


@dataclass(slots=True)
class _TeamState:
    view: TeamView
    planned: Resources = NOTHING


@dataclass(frozen=True, slots=True)
class Demand:
    """State what a team asks for in this domain.

    ``local`` is its running and waiting work here and ``elsewhere`` its usage in other
    domains.
    """

    team_id: str
    weight: float
    local: Resources
    elsewhere: Resources


class ShareTracker:
    """Track each team's usage and slice.

    Usage is what the ledger last reported plus what was planned since.
    """

    def __init__(self) -> None:
        self._teams_by_id: dict[str, _TeamState] = {}
        self._total = NOTHING

    def set_total(self, total: Resources) -> None:
        """Set the capacity of the whole fleet, of which shares are parts."""
        self._total = total

    def set_team(self, view: TeamView) -> None:
        """Add a team or replace what is known of it."""
        state = self._teams_by_id.get(view.team_id)
        if state is None:
            self._teams_by_id[view.team_id] = _TeamState(view)
        else:
            state.view = view

    def set_usage(
        self, team_id: str, domain_usage: Resources, fleet_usage: Resources | None
    ) -> None:
        """Set a known team's usage as the ledger reports it.

        Without ``fleet_usage`` the usage in other domains is taken as unchanged.
        """
        state = self._teams_by_id[team_id]
        if fleet_usage is None:
            elsewhere = state.view.fleet_usage - state.view.domain_usage
            fleet_usage = elsewhere + domain_usage
        state.view = replace(
            state.view, domain_usage=domain_usage, fleet_usage=fleet_usage
        )

    def team(self, team_id: str) -> TeamView | None:
        """Return the last view of a team, ``None`` if it is not known."""
        state = self._teams_by_id.get(team_id)
        return state.view if state is not None else None

    def plan(self, team_id: str, resources: Resources) -> None:
        """Charge a planned start."""
        self._teams_by_id[team_id].planned += resources

    def withdraw(self, team_id: str, resources: Resources) -> None:
        """Take back a planned start."""
        self._teams_by_id[team_id].planned -= resources

    def confirm(self, team_id: str, resources: Resources) -> None:
        """Turn a planned start into usage."""
        state = self._teams_by_id[team_id]
        state.planned -= resources
        state.view = replace(
            state.view,
            domain_usage=state.view.domain_usage + resources,
            fleet_usage=state.view.fleet_usage + resources,
        )

    def remaining_slice(self, team_id: str) -> Resources:
        """Return what the team may still start here; parts may be below 0."""
        state = self._teams_by_id.get(team_id)
        if state is None:
            return NOTHING
        return state.view.slice - state.view.domain_usage - state.planned

    def weighted_share(self, team_id: str) -> float:
        """Return the team's dominant share of the fleet divided by its weight."""
        state = self._teams_by_id.get(team_id)
        if state is None:
            return 0.0
        usage = state.view.fleet_usage + state.planned
        return usage.dominant_fraction(self._total) / max(state.view.weight, 1e-9)

    def teams(self) -> list[str]:
        """Return the ids of all known teams."""
        return list(self._teams_by_id)

    def domain_share(self, team_id: str) -> float:
        """Return the dominant share of the fleet that a known team uses here."""
        state = self._teams_by_id[team_id]
        return self.fleet_fraction(state.view.domain_usage + state.planned)

    def fleet_fraction(self, resources: Resources) -> float:
        """Return the dominant share that a resource vector takes."""
        return resources.dominant_fraction(self._total)

    def demand(self, team_id: str, waiting: Resources | None) -> Demand | None:
        """Return the team's demand, bounded by its slice; ``None`` if not known."""
        state = self._teams_by_id.get(team_id)
        if state is None:
            return None
        view = state.view
        local = view.domain_usage + state.planned + (waiting or NOTHING)
        local = local.minimum(view.slice)
        return Demand(team_id, view.weight, local, view.fleet_usage - view.domain_usage)

    def entitlements(
        self, demands: Iterable[Demand], capacity: Resources
    ) -> dict[str, float]:
        """Return each team's fair dominant share of the fleet in this domain.

        All teams rise together by weight until their demand is met or a resource of
        ``capacity`` is used up (progressive filling).
        """
        rows: list[tuple[str, float, float, float, tuple[float, ...]]] = []
        limits = _fractions(capacity, self._total)
        for demand in demands:
            wanted = demand.local.dominant_fraction(self._total)
            if wanted <= 0.0:
                continue
            profile = tuple(x / wanted for x in _fractions(demand.local, self._total))
            elsewhere = demand.elsewhere.dominant_fraction(self._total)
            weight = max(demand.weight, 1e-9)
            rows.append((demand.team_id, weight, wanted, elsewhere, profile))
        low, high = 0.0, max(((r[2] + r[3]) / r[1] for r in rows), default=0.0)
        if _fits(rows, high, limits):
            low = high
        else:
            for _ in range(SEARCH_STEPS):
                middle = (low + high) / 2
                if _fits(rows, middle, limits):
                    low = middle
                else:
                    high = middle
        return {
            team_id: min(max(weight * low - elsewhere, 0.0), wanted)
            for team_id, weight, wanted, elsewhere, _ in rows
        }


def _fractions(part: Resources, total: Resources) -> tuple[float, ...]:
    return (
        part.cores / total.cores if total.cores else 0.0,
        part.memory_mib / total.memory_mib if total.memory_mib else 0.0,
        part.accelerators / total.accelerators if total.accelerators else 0.0,
    )


def _fits(
    rows: list[tuple[str, float, float, float, tuple[float, ...]]],
    level: float,
    limits: tuple[float, ...],
) -> bool:
    cores = memory = accelerators = 0.0
    for _, weight, wanted, elsewhere, profile in rows:
        share = min(max(weight * level - elsewhere, 0.0), wanted)
        cores += share * profile[0]
        memory += share * profile[1]
        accelerators += share * profile[2]
    return cores <= limits[0] and memory <= limits[1] and accelerators <= limits[2]
