"""Slices of team limits: one amount per team and failure domain.

Every function keeps the sum of a team's slices at or below its limit. A domain that was
cut off while a limit was lowered may still use its earlier slice. That excess is kept as
unread until the domain's holder reports that it has read the change and uses no more;
what it may use is not given to others before.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from briarrun_core.model import FleetConfig
from briarrun_core.resources import NOTHING, Resources

SlicesByDomain = dict[str, Resources]

# Each of 22 donors writes at most one transfer a second, so this spans about 90 s; a
# transfer is repeated only after a read of the log that does not show it.
RECENT_TRANSFERS = 2048


class SliceTable(msgspec.Struct):
    """Hold every team's slices and the limits and domains that they were made from.

    ``recent_ids`` is part of the state, so that a reader that starts in the middle of
    the log ignores the same repeated transfers as all others.
    """

    slices_by_team: dict[str, SlicesByDomain] = {}
    limits_by_team: dict[str, Resources] = {}
    domains: tuple[str, ...] = ()
    recent_ids: list[str] = []
    unread_by_domain: dict[str, dict[str, Resources]] = {}
    lowered_at_by_domain: dict[str, int] = {}

    def slice_of(self, team: str, domain: str) -> Resources:
        """Return a domain's part of a team's limit."""
        return self.slices_by_team.get(team, {}).get(domain, NOTHING)

    def unread_in(self, domain: str) -> dict[str, Resources]:
        """Return what a domain may still use above its slices, by team."""
        return dict(self.unread_by_domain.get(domain, {}))

    def set_config(self, config: FleetConfig, offset: int) -> None:
        """Adjust the slices to the configuration made by the record at ``offset``."""
        self.domains = tuple(sorted(config.domains_by_name))
        limits = {team_id: team.limit for team_id, team in config.teams_by_id.items()}
        before, self.slices_by_team = self.slices_by_team, {}
        unread = {team for teams in self.unread_by_domain.values() for team in teams}
        for team in sorted({*limits, *before, *unread}):
            held = before.get(team, {})
            kept = {name: held.get(name, NOTHING) for name in self.domains}
            possible = {
                name: part + self.unread_by_domain.get(name, {}).get(team, NOTHING)
                for name, part in kept.items()
            }
            slices = change_limit(
                kept,
                self.limits_by_team.get(team, NOTHING),
                limits.get(team, NOTHING),
                possible,
            )
            if team in limits:
                self.slices_by_team[team] = slices
            for name, part in slices.items():
                self._set_unread(team, name, possible[name])
                if not kept[name].fits_in(part):
                    self.lowered_at_by_domain[name] = offset
        self.limits_by_team = limits

    def apply_slices_read(self, domain: str, read_to: int) -> bool:
        """Free what a domain no longer uses above its slices; tell whether it did.

        ``read_to`` is the offset up to which the domain's holder has read the log. The
        freed amounts are split among all domains as far as the limit allows.
        """
        if read_to <= self.lowered_at_by_domain.get(domain, -1):
            return False
        freed = self.unread_by_domain.pop(domain, {})
        for team in sorted(freed.keys() & self.limits_by_team.keys()):
            self._split_rest(team)
        return bool(freed)

    def _split_rest(self, team: str) -> None:
        slices, limit = self.slices_by_team[team], self.limits_by_team[team]
        possible = {name: self._possible(team, name) for name in self.domains}
        self.slices_by_team[team] = change_limit(slices, NOTHING, limit, possible)
        for name in self.domains:
            self._set_unread(team, name, possible[name])

    def _possible(self, team: str, domain: str) -> Resources:
        unread = self.unread_by_domain.get(domain, {}).get(team, NOTHING)
        return self.slice_of(team, domain) + unread

    def _set_unread(self, team: str, domain: str, possible: Resources) -> None:
        """Keep the part of ``possible`` that exceeds the slice."""
        unread = clamp_negative(possible - self.slice_of(team, domain))
        teams = self.unread_by_domain.setdefault(domain, {})
        teams.pop(team, None)
        if not unread.is_zero:
            teams[team] = unread
        if not teams:
            del self.unread_by_domain[domain]

    def move(
        self,
        record_id: str,
        source: str,
        target: str,
        amounts_by_team: Mapping[str, Resources],
    ) -> dict[str, Resources]:
        """Move at most the source's slice of each team; return what was moved.

        A repeated record moves nothing and a target that is not configured receives
        nothing.
        """
        if not add_recent_id(self.recent_ids, record_id, RECENT_TRANSFERS):
            return {}
        if source == target or target not in self.domains:
            return {}
        moved_by_team: dict[str, Resources] = {}
        for team, amount in sorted(amounts_by_team.items()):
            slices = self.slices_by_team.get(team, {})
            held = slices.get(source, NOTHING)
            # The source stopped using the whole amount, also what it does not hold.
            left = self._possible(team, source) - clamp_negative(amount)
            possible = self._possible(team, target)
            moved = clamp_negative(amount)
            moved = moved.minimum(held)
            if slices:
                slices[source] = held - moved
                slices[target] = slices.get(target, NOTHING) + moved
            self._set_unread(team, source, left)
            self._set_unread(team, target, possible)
            if moved.is_zero:
                continue
            moved_by_team[team] = moved
        return moved_by_team


def add_recent_id(recent_ids: list[str], record_id: str, limit: int) -> bool:
    """Add a record id and drop the oldest past ``limit``; tell whether it was new."""
    if record_id in recent_ids:
        return False
    recent_ids.append(record_id)
    del recent_ids[:-limit]
    return True


def components_of(amount: Resources) -> tuple[int, int, int, int]:
    """Return the parts of a vector in field order."""
    return (amount.cores, amount.memory_mib, amount.accelerators, amount.slots)


def total_of(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of the vectors."""
    return sum(amounts, NOTHING)


def split_limit(limit: Resources, domains: Iterable[str]) -> SlicesByDomain:
    """Split a limit in equal parts, the rest one unit each in name order."""
    names = sorted(domains)
    columns = [_split(part, len(names)) for part in components_of(limit)]
    return _assemble(names, columns)


def clamp_negative(amount: Resources) -> Resources:
    """Return the vector with negative parts set to 0."""
    return Resources(*(max(part, 0) for part in components_of(amount)))


def change_limit(
    slices: SlicesByDomain,
    old: Resources,
    new: Resources,
    possible: SlicesByDomain | None = None,
) -> SlicesByDomain:
    """Adjust slices to a changed limit.

    Each changed part grows by equal parts or shrinks in proportion until the slices add
    up to the new limit, so an amount lost with a removed domain comes back here.
    ``possible`` is what each domain may still use; only the rest of the limit is added.
    """
    names = sorted(slices)
    in_use = components_of(total_of((possible or slices).values()))
    columns: list[list[int]] = []
    for index, (before, after) in enumerate(
        zip(components_of(old), components_of(new), strict=True)
    ):
        column = [components_of(slices[name])[index] for name in names]
        total = sum(column)
        if before == after and total <= after:
            columns.append(column)
        elif after >= total:
            added = _split(max(after - max(total, in_use[index]), 0), len(names))
            columns.append([a + b for a, b in zip(column, added, strict=True)])
        else:
            columns.append(_scale_down(column, after, total))
    return _assemble(names, columns)


def _split(amount: int, count: int) -> list[int]:
    if not count:
        return []
    share, rest = divmod(amount, count)
    return [share + (1 if index < rest else 0) for index in range(count)]


def _scale_down(column: list[int], target: int, total: int) -> list[int]:
    scaled = [part * target // total for part in column]
    rest = target - sum(scaled)
    for index, part in enumerate(column):
        if rest and scaled[index] < part:
            scaled[index] += 1
            rest -= 1
    return scaled


def _assemble(names: list[str], columns: list[list[int]]) -> SlicesByDomain:
    rows = zip(*columns, strict=True)
    return {name: Resources(*row) for name, row in zip(names, rows, strict=False)}
