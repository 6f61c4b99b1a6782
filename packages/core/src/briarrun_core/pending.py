"""Queue of pending jobs, ordered by urgency, weighted share and arrival."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from briarrun_core.model import JobKind
from briarrun_core.placement import ResourceTuple, as_tuple
from briarrun_core.policy import TIER_COUNT, Policy, tier_of
from briarrun_core.views import JobView

GroupKey = tuple[int, ResourceTuple, int]
"""Rank, resources per task and, for a gang, its number of tasks (otherwise 0). All jobs
of a group need the same resources, so only the first of them has to be tried."""

OrderKey = tuple[int, float, str]
"""Rank, sort key of the policy and job id."""


@dataclass(slots=True)
class Job:
    """A job with its scheduling state."""

    view: JobView
    policy: Policy
    pending: dict[str, None]
    rank: int
    sort_key: float
    worker_by_task_id: dict[str, str] = field(default_factory=dict)
    tasks_by_rack: dict[str, int] = field(default_factory=dict)
    blocked_since: float | None = None
    not_before: float = 0.0
    last_try_increase_count: int = -1
    set_aside: str | None = None
    counted_tasks: int = 0

    @property
    def is_gang(self) -> bool:
        """Whether the tasks of the job start together or not at all."""
        return self.view.kind is JobKind.GANG

    @property
    def group(self) -> GroupKey:
        """Key of the jobs that need the same resources."""
        count = len(self.pending) if self.is_gang else 0
        return (self.rank, as_tuple(self.view.resources), count)


class _TeamJobs:
    """Pending jobs of a team and tier, grouped by the resources they need."""

    __slots__ = ("groups",)

    def __init__(self) -> None:
        self.groups: dict[GroupKey, SortedList] = {}


class PendingJobs:
    """Pending jobs in order of tier, the team's share, rank and policy."""

    def __init__(self) -> None:
        self._teams_by_tier: list[dict[str, _TeamJobs]] = [
            {} for _ in range(TIER_COUNT)
        ]
        self._shares_by_team: dict[str, float] = {}
        self._entries: dict[str, tuple[int, str, GroupKey, OrderKey]] = {}
        self.group_count_by_size: dict[ResourceTuple, int] = {}
        self.teams_by_share: list[SortedList] = [
            SortedList() for _ in range(TIER_COUNT)
        ]

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._entries

    def add(self, job: Job) -> None:
        """Add a job, or move it if it is already queued."""
        job_id, team = job.view.job_id, job.view.team
        self.discard(job_id)
        tier = tier_of(job.rank)
        team_jobs = self._teams_by_tier[tier].get(team)
        if team_jobs is None:
            team_jobs = self._teams_by_tier[tier][team] = _TeamJobs()
            share = self._shares_by_team.setdefault(team, 0.0)
            self.teams_by_share[tier].add((share, team))
        key = (job.rank, job.sort_key, job_id)
        group = team_jobs.groups.get(job.group)
        if group is None:
            group = team_jobs.groups[job.group] = SortedList()
            size = job.group[1]
            self.group_count_by_size[size] = self.group_count_by_size.get(size, 0) + 1
        group.add(key)
        self._entries[job_id] = (tier, team, job.group, key)

    def discard(self, job_id: str) -> None:
        """Remove a job if it is queued."""
        entry = self._entries.pop(job_id, None)
        if entry is None:
            return
        tier, team, group, key = entry
        team_jobs = self._teams_by_tier[tier][team]
        jobs = team_jobs.groups[group]
        jobs.remove(key)
        if not jobs:
            del team_jobs.groups[group]
            size = group[1]
            self.group_count_by_size[size] -= 1
            if not self.group_count_by_size[size]:
                del self.group_count_by_size[size]
        if not team_jobs.groups:
            del self._teams_by_tier[tier][team]
            self.teams_by_share[tier].remove((self._shares_by_team[team], team))

    def set_share(self, team: str, share: float) -> None:
        """Set a team's weighted share and reorder the teams."""
        old = self._shares_by_team.get(team)
        if old == share:
            return
        self._shares_by_team[team] = share
        for tier in range(TIER_COUNT):
            if team in self._teams_by_tier[tier]:
                self.teams_by_share[tier].remove((old, team))
                self.teams_by_share[tier].add((share, team))

    def heads(
        self,
        tier: int,
        team: str,
        skipped_sizes: Collection[ResourceTuple] = (),
        barred_sizes: Collection[ResourceTuple] = (),
    ) -> list[str]:
        """Return the first job of each group of a team and tier, in policy order.

        Groups whose size is in one of the two collections are skipped.
        """
        team_jobs = self._teams_by_tier[tier].get(team)
        if team_jobs is None:
            return []
        first_keys = [
            jobs[0]
            for group, jobs in team_jobs.groups.items()
            if group[1] not in skipped_sizes and group[1] not in barred_sizes
        ]
        first_keys.sort()
        return [key[2] for key in first_keys]

    def next_in_group(self, job: Job) -> str | None:
        """Return the job that follows in the same group in policy order, if any."""
        entry = self._entries[job.view.job_id]
        jobs = self._teams_by_tier[entry[0]][entry[1]].groups[entry[2]]
        position = jobs.bisect_right(entry[3])
        return jobs[position][2] if position < len(jobs) else None

    def one_of_each_group(self) -> list[str]:
        """Return the id of one pending job for each team and group."""
        return [
            jobs[0][2]
            for jobs_by_team in self._teams_by_tier
            for team_jobs in jobs_by_team.values()
            for jobs in team_jobs.groups.values()
        ]

    def same_group(self, job_id: str) -> list[str]:
        """Return the ids of the team's pending jobs in the group of a job."""
        tier, team, group, _ = self._entries[job_id]
        return [key[2] for key in self._teams_by_tier[tier][team].groups[group]]
