"""Waiting jobs, ordered by urgency, share and arrival."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from briarrun_core.model import JobKind
from briarrun_core.placement import ResourceTuple, as_tuple
from briarrun_core.policy import TIER_COUNT, Policy, tier_of
from briarrun_core.views import JobView

GroupKey = tuple[int, ResourceTuple, int]
OrderKey = tuple[int, float, str]
"""Rank, resources per task and, for a gang, its number of tasks (else 0). Jobs of one group
need the same room, so only the first of them has to be tried."""


@dataclass(slots=True)
class Job:
    """Hold what the scheduler knows of a job."""

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
        """Tell whether the job's tasks start together or not at all."""
        return self.view.kind is JobKind.GANG

    @property
    def group(self) -> GroupKey:
        """Return the key of the jobs that need the same room."""
        count = len(self.pending) if self.is_gang else 0
        return (self.rank, as_tuple(self.view.resources), count)


class _Lane:
    """Hold one team's waiting jobs of one tier, grouped by the room they need."""

    __slots__ = ("groups",)

    def __init__(self) -> None:
        self.groups: dict[GroupKey, SortedList] = {}


class PendingJobs:
    """Order waiting jobs: tier, the team's share, rank, then policy order."""

    def __init__(self) -> None:
        self._lanes: list[dict[str, _Lane]] = [{} for _ in range(TIER_COUNT)]
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
        """Queue a job; one already queued takes its new place."""
        job_id, team = job.view.job_id, job.view.team
        self.discard(job_id)
        tier = tier_of(job.rank)
        lane = self._lanes[tier].get(team)
        if lane is None:
            lane = self._lanes[tier][team] = _Lane()
            share = self._shares_by_team.setdefault(team, 0.0)
            self.teams_by_share[tier].add((share, team))
        key = (job.rank, job.sort_key, job_id)
        group = lane.groups.get(job.group)
        if group is None:
            group = lane.groups[job.group] = SortedList()
            size = job.group[1]
            self.group_count_by_size[size] = self.group_count_by_size.get(size, 0) + 1
        group.add(key)
        self._entries[job_id] = (tier, team, job.group, key)

    def discard(self, job_id: str) -> None:
        """Take a job out of the queue; one not queued is ignored."""
        entry = self._entries.pop(job_id, None)
        if entry is None:
            return
        tier, team, group, key = entry
        lane = self._lanes[tier][team]
        jobs = lane.groups[group]
        jobs.remove(key)
        if not jobs:
            del lane.groups[group]
            size = group[1]
            self.group_count_by_size[size] -= 1
            if not self.group_count_by_size[size]:
                del self.group_count_by_size[size]
        if not lane.groups:
            del self._lanes[tier][team]
            self.teams_by_share[tier].remove((self._shares_by_team[team], team))

    def set_share(self, team: str, share: float) -> None:
        """Move a team to the place of its weighted share."""
        old = self._shares_by_team.get(team)
        if old == share:
            return
        self._shares_by_team[team] = share
        for tier in range(TIER_COUNT):
            if team in self._lanes[tier]:
                self.teams_by_share[tier].remove((old, team))
                self.teams_by_share[tier].add((share, team))

    def heads(
        self,
        tier: int,
        team: str,
        without: Collection[ResourceTuple] = (),
        nor: Collection[ResourceTuple] = (),
    ) -> list[str]:
        """Return the first job of each group of a team and tier, in policy order.

        Groups whose size is in ``without`` or ``nor`` are left out.
        """
        lane = self._lanes[tier].get(team)
        if lane is None:
            return []
        firsts = [
            jobs[0]
            for group, jobs in lane.groups.items()
            if group[1] not in without and group[1] not in nor
        ]
        firsts.sort()
        return [key[2] for key in firsts]

    def next_in_group(self, job: Job) -> str | None:
        """Return the next job of the same group in policy order."""
        entry = self._entries[job.view.job_id]
        jobs = self._lanes[entry[0]][entry[1]].groups[entry[2]]
        place = jobs.bisect_right(entry[3])
        return jobs[place][2] if place < len(jobs) else None

    def one_of_each_group(self) -> list[str]:
        """Return one waiting job for each team and group."""
        return [
            jobs[0][2]
            for lanes in self._lanes
            for lane in lanes.values()
            for jobs in lane.groups.values()
        ]

    def same_group(self, job_id: str) -> list[str]:
        """Return the waiting jobs of one team that need the same room."""
        tier, team, group, _ = self._entries[job_id]
        return [key[2] for key in self._lanes[tier][team].groups[group]]
