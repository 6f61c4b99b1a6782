"""Scheduling policies, configured per queue."""

from __future__ import annotations

from abc import ABC, abstractmethod

from briarrun_core.estimates import Estimates
from briarrun_core.model import JobKind, Urgency
from briarrun_core.model import Policy as PolicyConfig
from briarrun_core.views import JobView

TIER_COUNT = 2
"""Tier 0 is urgent work, tier 1 all other. Within tier 1 the share decides between
teams and the urgency only within a team. Otherwise a team that submits its batch jobs
as normal would displace the low-urgency jobs of all other teams."""

RANK_BY_URGENCY = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.LOW: 2}

HIGHEST_PROMOTED_RANK = 1
"""Highest rank to which a job is promoted after a long wait. Promotion into the urgent
tier would put old batch jobs ahead of the new jobs of all other teams."""

DEFAULT_PARAMETERS = {
    "promote_after_s": 1800.0,
    "reserve_after_s": 10.0,
    "reserve_for_s": 30.0,
    "reserve_max_s": 600.0,
    "checkpoint_wait_s": 5.0,
}
"""``promote_after_s``: waiting time after which a low-urgency job is ranked as normal,
which prevents starvation. ``reserve_after_s``: time for which a job must be blocked
before workers are reserved for it. ``reserve_for_s`` and ``reserve_max_s``: duration of
the first reservation and the maximum duration. ``checkpoint_wait_s``: how long
resources released by a checkpoint are held for the job that needs them."""


def tier_of(rank: int) -> int:
    """Return the tier of a rank: 0 for urgent work, 1 for all other work."""
    return 0 if rank == 0 else 1


class Policy(ABC):
    """Base class of policies, which order and place the jobs of a team."""

    def __init__(self, parameters: dict[str, float]) -> None:
        merged = {**DEFAULT_PARAMETERS, **parameters}
        self.promote_after_s = merged["promote_after_s"]
        self.reserve_after_s = merged["reserve_after_s"]
        self.reserve_for_s = merged["reserve_for_s"]
        self.reserve_max_s = merged["reserve_max_s"]
        self.checkpoint_wait_s = merged["checkpoint_wait_s"]

    def rank(self, job: JobView, now: float) -> int:
        """Return the rank of the job, raised after a long wait; rank 0 is first."""
        rank = RANK_BY_URGENCY[job.urgency]
        waited_long = now - job.accepted_at >= self.promote_after_s
        return (
            HIGHEST_PROMOTED_RANK
            if waited_long and rank > HIGHEST_PROMOTED_RANK
            else rank
        )

    def promoted_at(self, job: JobView, rank: int) -> float | None:
        """Return the time at which a job of this rank is promoted, if ever."""
        if rank <= HIGHEST_PROMOTED_RANK:
            return None
        return job.accepted_at + self.promote_after_s

    @abstractmethod
    def sort_key(self, job: JobView, estimates: Estimates) -> float:
        """Return the sort key of the job among the jobs of its team and rank."""

    @abstractmethod
    def spreads(self, job: JobView) -> bool:
        """Return whether the job's tasks are spread over racks rather than packed."""


class WeightedSharePolicy(Policy):
    """Policy that takes jobs in order of arrival and spreads only services."""

    def sort_key(self, job: JobView, estimates: Estimates) -> float:
        """Return the time at which the job was accepted."""
        return job.accepted_at

    def spreads(self, job: JobView) -> bool:
        """Return whether the job is a service."""
        return job.kind is JobKind.SERVICE


class ShortestFirstPolicy(WeightedSharePolicy):
    """Policy that takes the jobs with the shortest expected run time first.

    The time that a job has waited is deducted from its run time, so that long jobs do
    not starve.
    """

    def sort_key(self, job: JobView, estimates: Estimates) -> float:
        """Return the time at which the job was accepted plus its expected run time."""
        return job.accepted_at + estimates.run_seconds(job)


class SpreadPolicy(WeightedSharePolicy):
    """Policy that spreads the tasks of every job over racks."""

    def spreads(self, job: JobView) -> bool:
        """Return ``True``."""
        return True


POLICIES_BY_KIND: dict[str, type[Policy]] = {
    "weighted-share": WeightedSharePolicy,
    "shortest-first": ShortestFirstPolicy,
    "spread": SpreadPolicy,
}


def from_config(config: PolicyConfig) -> Policy:
    """Return the policy for a configuration entry.

    Raises ``ValueError`` with the path of the field if the kind or a parameter is
    unknown, or if a parameter is not positive.
    """
    kind = POLICIES_BY_KIND.get(config.kind)
    if kind is None:
        raise ValueError(f"/policies/{config.name}/kind: unknown kind {config.kind!r}")
    for name, value in config.parameters.items():
        path = f"/policies/{config.name}/parameters/{name}"
        if name not in DEFAULT_PARAMETERS:
            raise ValueError(f"{path}: unknown parameter")
        if not value > 0:
            raise ValueError(f"{path}: must be above 0")
    return kind(config.parameters)
