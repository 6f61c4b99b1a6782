"""Upstream slots of a failure domain and the grants that use them.

Times are wall-clock seconds. Grants are not replicated: they are short and many. After a
takeover the requests that an upstream reports as active are charged to it and, since
their teams are unknown, to every team, until a front reports its grant, a status shows
them gone or the longest grant has ended.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from sortedcontainers import SortedSet

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.leases import Deadlines
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.slot_orders import (
    Grant,
    SlotCall,
    SlotSettings,
    UpstreamInfo,
    UpstreamStatus,
)


@dataclass(slots=True)
class Upstream:
    """Hold an upstream.

    ``inherited`` bounds the active requests of grants that the holder does not know,
    ``active`` is the count of the last status, and ``seen_active`` how many of those
    were requests of known grants.
    """

    upstream_id: str
    address: str
    slots: int
    connections: int
    leaving: bool = False
    draining: bool = False
    taken_at: float = -math.inf
    known_after: float = -math.inf
    active: int = 0
    seen_active: int = 0
    inherited: int = 0
    grants: dict[str, Grant] = field(default_factory=dict)

    @property
    def is_known(self) -> bool:
        """Tell whether a status newer than any earlier authority was read."""
        return self.taken_at > self.known_after

    @property
    def free(self) -> int:
        """Return the number of further requests that the upstream can take."""
        if not self.is_known or self.leaving or self.draining:
            return 0
        limit = min(self.slots, self.connections)
        return max(0, limit - len(self.grants) - self.inherited)


class SlotTable:
    """Grant upstream slots within every upstream's capacity and every team's slice."""

    def __init__(self, settings: SlotSettings, holder: str = "") -> None:
        self._settings = settings
        self._holder = holder
        self._grants_made = 0
        self.upstreams_by_id: dict[str, Upstream] = {}
        self.grants_by_id: dict[str, Grant] = {}
        self._used_by_team: dict[str, int] = {}
        self._limits_by_team: dict[str, int] = {}
        self._by_free: SortedSet[tuple[int, str]] = SortedSet()
        self._listed_free: dict[str, int] = {}
        self._inherited = 0
        self._known_after = -math.inf
        self._inherited_until: Deadlines[str] = Deadlines()
        self._grant_ends: Deadlines[str] = Deadlines()

    @classmethod
    def from_config(cls, settings: SlotSettings, holder: str) -> SlotTable:
        """Return an empty table; ``holder`` makes grant ids unique."""
        return cls(settings, holder)

    def set_upstream(self, info: UpstreamInfo) -> None:
        """Add an upstream or note what the platform declares of it."""
        upstream = self.upstreams_by_id.get(info.upstream_id)
        if upstream is None:
            upstream = Upstream(
                info.upstream_id,
                info.address,
                self._settings.default_slots,
                self._settings.default_connections,
            )
            self.upstreams_by_id[info.upstream_id] = upstream
            self._distrust(upstream)
        upstream.address, upstream.leaving = info.address, info.leaving
        self._list(upstream)

    def remove_upstream(self, upstream_id: str) -> None:
        """Give an upstream no more work and drop it when its grants have ended."""
        upstream = self.upstreams_by_id.get(upstream_id)
        if upstream is None:
            return
        upstream.leaving = True
        self._list(upstream)
        if not upstream.grants and not upstream.inherited:
            del self.upstreams_by_id[upstream_id]

    def on_status(self, upstream_id: str, status: UpstreamStatus) -> None:
        """Note an upstream's status unless a newer one was read before."""
        upstream = self.upstreams_by_id.get(upstream_id)
        if upstream is None or status.taken_at <= upstream.taken_at:
            return
        was_known = upstream.is_known
        upstream.taken_at = status.taken_at
        upstream.slots, upstream.connections = status.slots, status.connections
        upstream.draining = status.draining
        upstream.active, upstream.seen_active = status.active, 0
        if upstream.is_known and was_known:
            self._lower_inherited(upstream)
        elif upstream.is_known:
            self._set_inherited(upstream, status.active)
            end = status.taken_at + self._settings.max_grant_s
            end += self._settings.skew_bound_s
            self._inherited_until.set_no_later(upstream_id, end)
        self._list(upstream)

    def set_slices(self, by_team: Mapping[str, Resources]) -> None:
        """Set the domain's slice of every team's limit; ``slots`` is used."""
        self._limits_by_team = {team: limit.slots for team, limit in by_team.items()}

    def grant(
        self, call: SlotCall, now: float, authority_until: float
    ) -> Result[Grant, Refused]:
        """Grant a slot now or refuse it."""
        refused = self._find_refusal(call, now, authority_until)
        if refused is not None:
            return Error(refused)
        upstream = self._choose(call, now)
        if upstream is None:
            return Error(Refused(RefusalReason.NO_CAPACITY, "no upstream slot is free"))
        self._grants_made += 1
        start_by = min(
            authority_until, now + self._settings.start_within_s, call.deadline
        )
        grant = Grant(
            grant_id=f"{self._holder}-{self._grants_made}",
            call_id=call.call_id,
            upstream_id=upstream.upstream_id,
            address=upstream.address,
            team=call.team,
            start_by=start_by,
            deadline=min(call.deadline, now + self._settings.max_grant_s),
        )
        self._hold(upstream, grant)
        return Ok(grant)

    def release(
        self,
        grant_id: str,
        sent_at: float | None = None,
        ended_at: float | None = None,
    ) -> bool:
        """Free the slot of a grant whose request has ended or was never sent.

        The times of a request that was sent show whether it was one of those that the
        upstream's last status counted.
        """
        grant = self.grants_by_id.pop(grant_id, None)
        if grant is None:
            return False
        self._grant_ends.discard(grant_id)
        used = self._used_by_team[grant.team] - 1
        if used:
            self._used_by_team[grant.team] = used
        else:
            del self._used_by_team[grant.team]
        upstream = self.upstreams_by_id.get(grant.upstream_id)
        if upstream is not None:
            upstream.grants.pop(grant_id, None)
            if sent_at is not None and ended_at is not None:
                self._note_seen(upstream, sent_at, ended_at)
            self._list(upstream)
        return True

    def adopt(self, grant: Grant) -> None:
        """Charge a live grant of the previous holder that its front reports.

        It also stays counted as inherited until its release shows that it was.
        """
        if grant.grant_id in self.grants_by_id:
            return
        upstream = self.upstreams_by_id.get(grant.upstream_id)
        if upstream is None:
            return
        self._hold(upstream, grant)

    def expire(self, now: float) -> list[str]:
        """Free the slots of grants whose deadline has passed and return their ids."""
        expired = self._grant_ends.pop_due(now)
        for grant_id in expired:
            self.release(grant_id)
        for upstream_id in self._inherited_until.pop_due(now):
            upstream = self.upstreams_by_id.get(upstream_id)
            if upstream is not None:
                self._set_inherited(upstream, 0)
                self._list(upstream)
        return expired

    def begin_recovery(self, previous_term_end: float) -> None:
        """Become the holder after an authority that ended at ``previous_term_end``."""
        for grant_id in list(self.grants_by_id):
            self.release(grant_id)
        # A front checks the old holder's time, an upstream stamps the status and the
        # request is on its way: two clock differences and one transit.
        self._known_after = previous_term_end + 3 * self._settings.skew_bound_s
        for upstream in self.upstreams_by_id.values():
            self._distrust(upstream)

    def _distrust(self, upstream: Upstream) -> None:
        """Assume that an upstream's slots are all in use until a status is read.

        An upstream that does not answer counts so until the longest old grant ended.
        """
        upstream.known_after = self._known_after
        if self._known_after > -math.inf:
            self._set_inherited(upstream, upstream.slots)
            end = self._known_after + self._settings.max_grant_s
            self._inherited_until.set(upstream.upstream_id, end)
        self._list(upstream)

    def used_by_team(self) -> dict[str, int]:
        """Return the slots that each team's grants take up."""
        return dict(self._used_by_team)

    def free_slots(self) -> int:
        """Return the number of slots that are free as far as known."""
        return sum(free for free, _ in self._by_free)

    def connections_per_front(self, upstream_id: str, fronts: int) -> int:
        """Return how many connections each front may keep open to an upstream."""
        upstream = self.upstreams_by_id.get(upstream_id)
        limit = upstream.connections if upstream else self._settings.default_connections
        return max(1, limit // max(1, fronts))

    def at_limit(self, team: str) -> bool:
        """Tell whether a team may use no further slot of this domain."""
        used = self._used_by_team.get(team, 0) + self._inherited
        return used >= self._limits_by_team.get(team, NOTHING.slots)

    def _find_refusal(
        self, call: SlotCall, now: float, authority_until: float
    ) -> Refused | None:
        if now >= authority_until:
            return Refused(RefusalReason.NO_AUTHORITY, "the authority has ended")
        if call.deadline <= now:
            return Refused(RefusalReason.DEADLINE_PASSED, call.call_id)
        if self.at_limit(call.team):
            detail = f"team {call.team} uses all its slots here"
            return Refused(RefusalReason.TEAM_LIMIT, detail)
        return None

    def _choose(self, call: SlotCall, now: float) -> Upstream | None:
        """Return the upstream with the most free slots and a fresh status."""
        avoided = None
        for _, upstream_id in reversed(self._by_free):
            upstream = self.upstreams_by_id[upstream_id]
            if now > upstream.taken_at + self._settings.status_fresh_s:
                continue
            if upstream_id not in call.avoid:
                return upstream
            avoided = avoided or upstream
        return avoided

    def _hold(self, upstream: Upstream, grant: Grant) -> None:
        self.grants_by_id[grant.grant_id] = grant
        upstream.grants[grant.grant_id] = grant
        self._used_by_team[grant.team] = self._used_by_team.get(grant.team, 0) + 1
        end = grant.deadline + self._settings.skew_bound_s
        self._grant_ends.set(grant.grant_id, end)
        self._list(upstream)

    def _set_inherited(self, upstream: Upstream, count: int) -> None:
        self._inherited += count - upstream.inherited
        upstream.inherited = count

    def _note_seen(self, upstream: Upstream, sent_at: float, ended_at: float) -> None:
        # The clocks may differ by one bound and the transit take another.
        margin_s = 2 * self._settings.skew_bound_s
        if sent_at + margin_s < upstream.taken_at < ended_at - margin_s:
            upstream.seen_active += 1
            self._lower_inherited(upstream)

    def _lower_inherited(self, upstream: Upstream) -> None:
        bound = max(0, upstream.active - upstream.seen_active)
        self._set_inherited(upstream, min(upstream.inherited, bound))

    def _list(self, upstream: Upstream) -> None:
        """Keep the order of upstreams by free slots."""
        upstream_id = upstream.upstream_id
        listed, free = self._listed_free.pop(upstream_id, 0), upstream.free
        if listed:
            self._by_free.discard((listed, upstream_id))
        if free:
            self._listed_free[upstream_id] = free
            self._by_free.add((free, upstream_id))
