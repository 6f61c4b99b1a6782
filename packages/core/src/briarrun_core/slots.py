"""Upstream slots of a failure domain and the grants that use them.

Times are wall-clock seconds. Grants are not replicated, because they are numerous and
short. After a takeover, the requests that an upstream reports as active are charged to
it and, since their teams are unknown, to every team. This ends when a front reports the
grant, when a status no longer includes them, or when the longest grant has expired.
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
    """State of an upstream.

    ``inherited`` is an upper bound on active requests whose grants the holder does not
    know. ``active`` is the count in the last status, and ``seen_active`` is the number
    of those requests that belong to known grants.
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
        """Return whether a status was read that is newer than any earlier authority."""
        return self.taken_at > self.known_after

    @property
    def free(self) -> int:
        """Return the number of free slots of the upstream."""
        if not self.is_known or self.leaving or self.draining:
            return 0
        limit = min(self.slots, self.connections)
        return max(0, limit - len(self.grants) - self.inherited)


class SlotTable:
    """Table of upstream slots and of the grants that use them.

    Grants never exceed the capacity of an upstream or the slice of a team.
    """

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
        """Return an empty table; ``holder`` is part of grant ids to make them unique."""
        return cls(settings, holder)

    def set_upstream(self, info: UpstreamInfo) -> None:
        """Add an upstream or update it to what the platform declares."""
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
        """Drop an upstream, or only stop new grants while it has active requests."""
        upstream = self.upstreams_by_id.get(upstream_id)
        if upstream is None:
            return
        upstream.leaving = True
        self._list(upstream)
        if not upstream.grants and not upstream.inherited:
            del self.upstreams_by_id[upstream_id]

    def on_status(self, upstream_id: str, status: UpstreamStatus) -> None:
        """Apply an upstream's status unless a newer one was applied before."""
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
        """Set the domain's slice of every team's limit; only ``slots`` is used."""
        self._limits_by_team = {team: limit.slots for team, limit in by_team.items()}

    def grant(
        self, call: SlotCall, now: float, authority_until: float
    ) -> Result[Grant, Refused]:
        """Grant a slot immediately, or refuse the call."""
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

        The times at which a request was sent and ended show whether the upstream's last
        status included it.
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
        """Charge an active grant of the previous holder, as reported by its front.

        The request is also counted as inherited until its release shows that the
        upstream's last status included it.
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
        # Three times the skew bound allows for the clock differences of front and
        # upstream to the previous holder and for the transit time of the request.
        self._known_after = previous_term_end + 3 * self._settings.skew_bound_s
        for upstream in self.upstreams_by_id.values():
            self._distrust(upstream)

    def _distrust(self, upstream: Upstream) -> None:
        """Assume that all slots of an upstream are in use until its status is read.

        If an upstream does not answer, this lasts until the longest old grant expires.
        """
        upstream.known_after = self._known_after
        if self._known_after > -math.inf:
            self._set_inherited(upstream, upstream.slots)
            end = self._known_after + self._settings.max_grant_s
            self._inherited_until.set(upstream.upstream_id, end)
        self._list(upstream)

    def used_by_team(self) -> dict[str, int]:
        """Return the number of slots used by each team's grants."""
        return dict(self._used_by_team)

    def free_slots(self) -> int:
        """Return the number of free slots on upstreams with a known status."""
        return sum(free for free, _ in self._by_free)

    def connections_per_front(self, upstream_id: str, fronts: int) -> int:
        """Return the number of connections that each front may keep open to an upstream."""
        upstream = self.upstreams_by_id.get(upstream_id)
        limit = upstream.connections if upstream else self._settings.default_connections
        return max(1, limit // max(1, fronts))

    def at_limit(self, team: str) -> bool:
        """Return whether a team has used up its slots in this domain."""
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
        """Return the upstream with the most free slots among those with a fresh status.

        Upstreams in ``call.avoid`` are used only if there is no other one.
        """
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
        # Allows for one skew bound of clock difference and one of transit time.
        margin_s = 2 * self._settings.skew_bound_s
        if sent_at + margin_s < upstream.taken_at < ended_at - margin_s:
            upstream.seen_active += 1
            self._lower_inherited(upstream)

    def _lower_inherited(self, upstream: Upstream) -> None:
        bound = max(0, upstream.active - upstream.seen_active)
        self._set_inherited(upstream, min(upstream.inherited, bound))

    def _list(self, upstream: Upstream) -> None:
        """Update the upstream's position in the order by free slots."""
        upstream_id = upstream.upstream_id
        listed, free = self._listed_free.pop(upstream_id, 0), upstream.free
        if listed:
            self._by_free.discard((listed, upstream_id))
        if free:
            self._listed_free[upstream_id] = free
            self._by_free.add((free, upstream_id))
