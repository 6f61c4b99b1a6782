"""Use of team limits by one failure domain and transfers to others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from briarrun_core.fleet import FleetState
from briarrun_core.records import SlicesReadRecord, TransferRecord
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.slices import clamp_negative, components_of


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Pace transfers; a demand report older than ``demand_lifetime_s`` is ignored.

    ``settle_s`` is longer than any lease of an earlier holder, whose tasks might not be
    in the ledger yet.
    """

    transfer_interval_s: float = 1.0
    append_retry_s: float = 1.0
    demand_lifetime_s: float = 3.0
    settle_s: float = 20.0


class TeamLimits:
    """Decide what a domain may use of every team's limit and what it gives away.

    One instance exists per held epoch. At most one transfer is in doubt at a time; its
    amounts count as given away until the log shows the record or a newer epoch.
    """

    def __init__(
        self, settings: LimitSettings, domain: str, instance: str, epoch: int
    ) -> None:
        self._settings = settings
        self._domain = domain
        self._instance = instance
        self._epoch = epoch
        self._slices_by_team: dict[str, Resources] = {}
        self._in_doubt: TransferRecord | None = None
        self._sent_at = 0.0
        self._was_read_since = False
        self._transferred_at: float | None = None
        self._count = 0
        self._settled_at: float | None = None
        self._reported_at: float | None = None
        self._demand_by_domain: dict[str, tuple[float, dict[str, Resources]]] = {}

    @classmethod
    def from_config(
        cls, settings: LimitSettings, domain: str, instance: str, epoch: int
    ) -> TeamLimits:
        """Return the limits of ``domain`` while ``instance`` holds it in ``epoch``."""
        return cls(settings, domain, instance, epoch)

    @property
    def in_doubt(self) -> TransferRecord | None:
        """Return the transfer whose fate the log has not shown yet."""
        return self._in_doubt

    def on_log_read(self, fleet: FleetState) -> None:
        """Take the slices of the folded log and settle the transfer in doubt."""
        self._slices_by_team = fleet.slices_in(self._domain)
        self._was_read_since = True
        if self._in_doubt and fleet.has_record(self._in_doubt.record_id):
            self._in_doubt = None

    def on_demand(
        self, domain: str, unmet_by_team: Mapping[str, Resources], now: float
    ) -> None:
        """Note the demand that another domain cannot meet from its slices."""
        self._demand_by_domain[domain] = (now, dict(unmet_by_team))

    def usable_of(self, team: str) -> Resources:
        """Return the most that a team may have running in this domain."""
        held = self._slices_by_team.get(team, NOTHING)
        if self._in_doubt is None:
            return held
        left = held - self._in_doubt.amounts_by_team.get(team, NOTHING)
        return Resources(*(max(part, 0) for part in components_of(left)))

    def usable_by_team(self) -> dict[str, Resources]:
        """Return ``usable_of`` for every team with a slice."""
        return {team: self.usable_of(team) for team in self._slices_by_team}

    def unmet_demand(
        self,
        usage_by_team: Mapping[str, Resources],
        wanted_by_team: Mapping[str, Resources],
    ) -> dict[str, Resources]:
        """Return what teams want to start here beyond the usable amount, to report."""
        unmet: dict[str, Resources] = {}
        for team, wanted in wanted_by_team.items():
            total = usage_by_team.get(team, NOTHING) + wanted
            lacking = clamp_negative(total - self.usable_of(team))
            if not lacking.is_zero:
                unmet[team] = lacking
        return unmet

    def offer(
        self,
        usage_by_team: Mapping[str, Resources],
        wanted_by_team: Mapping[str, Resources],
        now: float,
    ) -> TransferRecord | None:
        """Return a transfer to append now, new or repeated, if any.

        The amounts are unusable here from this call on. ``usage_by_team`` is everything
        charged in this domain, ``wanted_by_team`` what waits to start here.
        """
        if self._in_doubt is not None:
            return self._repeat(now)
        last = self._transferred_at
        if last is not None and now - last < self._settings.transfer_interval_s:
            return None
        spare_by_team = self._spare(usage_by_team, wanted_by_team)
        offers = {
            domain: _match(spare_by_team, unmet_by_team)
            for domain, (at, unmet_by_team) in sorted(self._demand_by_domain.items())
            if domain != self._domain and now - at <= self._settings.demand_lifetime_s
        }
        target = max(offers, key=lambda name: len(offers[name]), default=None)
        if target is None or not offers[target]:
            return None
        return self._begin(target, offers[target], now)

    def report_read(
        self, fleet: FleetState, usage_by_team: Mapping[str, Resources], now: float
    ) -> SlicesReadRecord | None:
        """Return the report to append once usage fits the lowered slices, if any.

        Call it after ``on_log_read`` for the same state of the fold.
        """
        if self._settled_at is None:
            self._settled_at = now + self._settings.settle_s
        unread = fleet.unread_slices_in(self._domain)
        last = self._reported_at
        if not unread or now < self._settled_at:
            return None
        if last is not None and now - last < self._settings.append_retry_s:
            return None
        for team in unread:
            held = self._slices_by_team.get(team, NOTHING)
            if not usage_by_team.get(team, NOTHING).fits_in(held):
                return None
        self._reported_at = now
        self._count += 1
        return SlicesReadRecord(
            record_id=f"{self._instance}:slices-read:{self._epoch}:{self._count}",
            domain=self._domain,
            epoch=self._epoch,
            read_to=fleet.next_offset,
        )

    def _begin(
        self, target: str, amounts_by_team: dict[str, Resources], now: float
    ) -> TransferRecord:
        self._count += 1
        self._transferred_at = self._sent_at = now
        self._was_read_since = False
        # The report is used up; giving again needs a newer one.
        del self._demand_by_domain[target]
        self._in_doubt = TransferRecord(
            record_id=f"{self._instance}:transfer:{self._epoch}:{self._count}",
            from_domain=self._domain,
            epoch=self._epoch,
            to_domain=target,
            amounts_by_team=amounts_by_team,
        )
        return self._in_doubt

    def _repeat(self, now: float) -> TransferRecord | None:
        # A copy sent without reading first might land long after the one before it,
        # when the fold no longer remembers the record id.
        is_due = now - self._sent_at >= self._settings.append_retry_s
        if not (is_due and self._was_read_since):
            return None
        self._sent_at, self._was_read_since = now, False
        return self._in_doubt

    def _spare(
        self,
        usage_by_team: Mapping[str, Resources],
        wanted_by_team: Mapping[str, Resources],
    ) -> dict[str, Resources]:
        return {
            team: clamp_negative(
                usable
                - usage_by_team.get(team, NOTHING)
                - wanted_by_team.get(team, NOTHING)
            )
            for team, usable in self.usable_by_team().items()
        }


def _match(
    spare_by_team: Mapping[str, Resources], unmet_by_team: Mapping[str, Resources]
) -> dict[str, Resources]:
    """Return half of each spare amount, rounded up, as far as it is wanted.

    Half keeps two domains with alternating demand from passing everything back and
    forth; rounding up lets the last unit move.
    """
    matched: dict[str, Resources] = {}
    for team, unmet in unmet_by_team.items():
        spare = spare_by_team.get(team, NOTHING)
        half = Resources(*((part + 1) // 2 for part in components_of(spare)))
        amount = half.minimum(clamp_negative(unmet))
        if not amount.is_zero:
            matched[team] = amount
    return matched
