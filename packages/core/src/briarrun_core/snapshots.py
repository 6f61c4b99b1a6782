"""Schedule of snapshots, which preserve sections before their records expire."""

from __future__ import annotations

from briarrun_core.claims import ClaimState
from briarrun_core.events import FleetEvent, SnapshotSeen
from briarrun_core.fleet import FleetState
from briarrun_core.records import SnapshotRecord
from briarrun_core.sections import (
    CONFIG_SECTION,
    SLICES_SECTION,
    domain_of_section,
)

DUE_FRACTION = 1 / 3
# Holders also write sections that belong to other domains, in case those have no holder.
# They wait longer, so that a domain's own holder normally writes first.
FOREIGN_DUE_FRACTION = 1 / 2
RETRY_S = 10.0


class SnapshotSchedule:
    """Schedule of the snapshots that an instance should append.

    The age of a snapshot is known only if this instance had read the log to its end
    before the snapshot was appended. A snapshot read earlier may be about to expire, so
    its section is due at once.
    """

    def __init__(self, domain: str, retention_s: float) -> None:
        self._domain = domain
        self._retention_s = retention_s
        self._seen_at: dict[str, float] = {}
        self._tried_at: dict[str, float] = {}
        self._caught_up = False

    def observe(self, events: list[FleetEvent], now: float) -> None:
        """Record the snapshots among the events of a log read at ``now``."""
        for event in events:
            if isinstance(event, SnapshotSeen) and self._caught_up:
                self._seen_at[event.section] = now

    def on_caught_up(self) -> None:
        """Record that the log was read to its end."""
        self._caught_up = True

    def due(self, fleet: FleetState, now: float) -> list[str]:
        """Return the sections of which the holder of this domain should write snapshots."""
        if not self._caught_up:
            return []
        return [
            section
            for section in fleet.sections
            if self._is_due(section, fleet.claims_by_domain, now)
        ]

    def take(
        self, fleet: FleetState, section: str, record_id: str, now: float
    ) -> SnapshotRecord:
        """Return the snapshot to append; the section is not due again for ``RETRY_S``."""
        self._tried_at[section] = now
        return SnapshotRecord(
            record_id=record_id,
            section=section,
            as_of=fleet.next_offset,
            state=fleet.snapshot(section),
        )

    def _is_due(
        self, section: str, claims_by_domain: dict[str, ClaimState], now: float
    ) -> bool:
        if now - self._tried_at.get(section, -RETRY_S) < RETRY_S:
            return False
        held = sorted(name for name, claim in claims_by_domain.items() if claim.holder)
        is_first = bool(held) and held[0] == self._domain
        if domain_of_section(section) == self._domain:
            fraction = DUE_FRACTION
        elif section in (CONFIG_SECTION, SLICES_SECTION):
            fraction = DUE_FRACTION if is_first else FOREIGN_DUE_FRACTION
        else:
            fraction = FOREIGN_DUE_FRACTION
        seen_at = self._seen_at.get(section)
        if seen_at is None:
            # Only the section's primary writer treats an unknown age as due at once. The
            # others count from now, so that they do not all write the same section.
            self._seen_at.setdefault(section, now)
            if fraction == DUE_FRACTION:
                self._seen_at[section] = now - fraction * self._retention_s
                return True
            return False
        return now - seen_at >= fraction * self._retention_s
