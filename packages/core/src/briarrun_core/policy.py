"""Scheduling policies, chosen by configuration per queue."""

from __future__ import annotations

from abc import ABC, abstractmethod

from briarrun_core.estimates import Estimates
from briarrun_core.model import JobKind, Urgency
from briarrun_core.model import Policy as PolicyConfig
from briarrun_core.views import JobView

TIER_COUNT = 2
"""Urgent work goes before all other; below that, share decides between teams and
urgency within a team. Otherwise a team that calls its batch normal would crowd out the
low work of every other team."""

RANK_BY_URGENCY = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.LOW: 2}

FIRST_OTHER_RANK = 1
"""Waiting long raises a job to this rank but never among urgent work, since old batch
work would then go before the new work of all other teams."""

DEFAULT_PARAMETERS = {
    "promote_after_s": 1800.0,
    "reserve_after_s": 10.0,
    "reserve_for_s": 30.0,
    "reserve_max_s": 600.0,
    "checkpoint_wait_s": 5.0,
}
"""``promote_after_s``: waiting this long puts low work among its team's normal work, so
that no job starves. ``reserve_*``: when a job that does not fit gets workers
reserved, and for how long at first and at most. ``checkpoint_wait_s``: how long room
made by a checkpoint is held for the job it was made for."""


def tier_of(rank: int) -> int:
    """Return the tier of a rank: 0 for urgent work, 1 for all other."""
    return 0 if rank == 0 else 1


class Policy(ABC):
    """Order a queue's jobs within a team and say how their tasks are placed."""

    def __init__(self, parameters: dict[str, float]) -> None:
        merged = {**DEFAULT_PARAMETERS, **parameters}
        self.promote_after_s = merged["promote_after_s"]
        self.reserve_after_s = merged["reserve_after_s"]
        self.reserve_for_s = merged["reserve_for_s"]
        self.reserve_max_s = merged["reserve_max_s"]
        self.checkpoint_wait_s = merged["checkpoint_wait_s"]

    def rank(self, job: JobView, now: float) -> int:
        """Return the place of the job's urgency in the order of work; 0 goes first."""
        rank = RANK_BY_URGENCY[job.urgency]
        waits_long = now - job.accepted_at >= self.promote_after_s
        return FIRST_OTHER_RANK if waits_long and rank > FIRST_OTHER_RANK else rank

    def promoted_at(self, job: JobView, rank: int) -> float | None:
        """Return when the job leaves the given rank for the next, if ever."""
        if rank <= FIRST_OTHER_RANK:
            return None
        return job.accepted_at + self.promote_after_s

    @abstractmethod
    def sort_key(self, job: JobView, estimates: Estimates) -> float:
        """Return the sort key among the jobs of one team and rank."""

    @abstractmethod
    def spreads(self, job: JobView) -> bool:
        """Tell whether the job's tasks are spread over racks instead of packed."""


class WeightedSharePolicy(Policy):
    """Take jobs in order of arrival; spread services, pack everything else."""

    def sort_key(self, job: JobView, estimates: Estimates) -> float:
        """Return the time of arrival."""
        return job.accepted_at

    def spreads(self, job: JobView) -> bool:
        """Tell whether the job is a service."""
        return job.kind is JobKind.SERVICE


class ShortestFirstPolicy(WeightedSharePolicy):
    """Take the jobs with the shortest learnt run time first.

    A job's wait counts against its run time, so that long jobs are not starved.
    """

    def sort_key(self, job: JobView, estimates: Estimates) -> float:
        """Return the time of arrival put back by the expected run time."""
        return job.accepted_at + estimates.run_seconds(job)


class SpreadPolicy(WeightedSharePolicy):
    """Spread the tasks of every job over racks."""

    def spreads(self, job: JobView) -> bool:
        """Return ``True``."""
        return True


POLICIES_BY_KIND: dict[str, type[Policy]] = {
    "weighted-share": WeightedSharePolicy,
    "shortest-first": ShortestFirstPolicy,
    "spread": SpreadPolicy,
}


def from_config(config: PolicyConfig) -> Policy:
    """Return the policy that a declaration describes.

    Raises ``ValueError`` naming the field if the kind or a parameter is not known, or
    if a parameter is not positive.
    """
    kind = POLICIES_BY_KIND.get(config.kind)
    if kind is None:
        raise ValueError(f"/policies/{config.name}/kind: unknown kind {config.kind!r}")
    for name, value in config.parameters.items():
        where = f"/policies/{config.name}/parameters/{name}"
        if name not in DEFAULT_PARAMETERS:
            raise ValueError(f"{where}: unknown parameter")
        if not value > 0:
            raise ValueError(f"{where}: must be above 0")
    return kind(config.parameters)
