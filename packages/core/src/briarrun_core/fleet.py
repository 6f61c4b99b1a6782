"""Deterministic fold of the log: claims, configuration, slices and open jobs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from briarrun_core.claims import ClaimState
from briarrun_core.configuration import (
    ConfigError,
    ConfigVersion,
    next_version,
    parse_document,
)
from briarrun_core.events import (
    ConfigChanged,
    FleetEvent,
    RecordIgnored,
    RecordsLost,
    SectionLoaded,
    SlicesFreed,
    SnapshotSeen,
    TransferApplied,
)
from briarrun_core.model import FleetConfig, JobSpec
from briarrun_core.records import (
    ConfigRecord,
    Record,
    RequestsRecord,
    SlicesReadRecord,
    SnapshotRecord,
    TransferRecord,
)
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.sections import (
    CONFIG_SECTION,
    SLICES_SECTION,
    ConfigSection,
    DomainRecord,
    DomainSection,
    RequestLog,
    Section,
    decode_section,
    domain_of_section,
    domain_section,
    encode_section,
    ignored_epoch,
)
from briarrun_core.slices import SliceTable

SliceChange = Callable[[SliceTable], object]


class FleetState:
    """Fold the records of the log in offset order.

    A reader that starts at offset 0 knows every section from the start. A reader that
    starts later knows a section once it has read a snapshot of it whose ``as_of`` is not
    before its own start; until then it keeps the section's records to apply them on top.
    """

    def __init__(self) -> None:
        self.first_offset: int | None = None
        self.next_offset = 0
        self._config: ConfigSection | None = None
        self._typed_config = FleetConfig()
        self._relayed = ConfigVersion()
        self._relayed_config = FleetConfig()
        self._slices: SliceTable | None = None
        self._domains: dict[str, DomainSection] = {}
        self._held_config: list[tuple[int, ConfigRecord]] = []
        self._held_slices: list[tuple[int, SliceChange]] = []
        self._held_domains: dict[str, list[tuple[int, DomainRecord]]] = {}
        self._requests: dict[str, RequestLog] = {}
        self._slices_unclear_before = 0
        self._offsets_by_record_id: dict[str, int] = {}
        self._snapshots_as_of: dict[str, int] = {}

    # What is known

    @property
    def config(self) -> FleetConfig:
        """Return the newest configuration read from the log or relayed by a peer."""
        if self._relayed.generation > self._folded_version.generation:
            return self._relayed_config
        return self._typed_config

    @property
    def config_version(self) -> ConfigVersion:
        """Return the newest generation with its document, as relayed to peers."""
        folded = self._folded_version
        return self._relayed if self._relayed.generation > folded.generation else folded

    @property
    def generation(self) -> int:
        """Return the newest configuration generation; 0 if there is none."""
        return self.config_version.generation

    @property
    def claims_by_domain(self) -> dict[str, ClaimState]:
        """Return the current claim of every domain whose section is known."""
        return {name: section.claim for name, section in self._domains.items()}

    @property
    def open_jobs_by_domain(self) -> dict[str, dict[str, JobSpec]]:
        """Return the accepted jobs that have not ended, by domain and job id."""
        return {name: section.open_jobs for name, section in self._domains.items()}

    @property
    def requests_by_domain(self) -> dict[str, dict[str, str]]:
        """Return logged non-idempotent requests and outcomes, by domain and id."""
        return {name: log.outcomes_by_id for name, log in self._requests.items()}

    def claim_of(self, domain: str) -> ClaimState | None:
        """Return a domain's claim, or None if its section is not known yet.

        A domain that was never claimed has epoch 0 and no holder.
        """
        section = self._domains.get(domain)
        if section is not None:
            return section.claim
        return ClaimState(domain=domain) if self._whole_log else None

    def slice_of(self, team: str, domain: str) -> Resources:
        """Return a domain's part of a team's limit; nothing while unknown."""
        return self._slices.slice_of(team, domain) if self._slices else NOTHING

    def slices_in(self, domain: str) -> dict[str, Resources]:
        """Return a domain's slices by team; empty while unknown."""
        if self._slices is None:
            return {}
        return {
            team: self._slices.slice_of(team, domain)
            for team in self._slices.slices_by_team
        }

    def unread_slices_in(self, domain: str) -> dict[str, Resources]:
        """Return what a domain may still use above its slices, by team."""
        return self._slices.unread_in(domain) if self._slices else {}

    def is_section_known(self, section: str) -> bool:
        """Tell whether a section's state is known."""
        if section == CONFIG_SECTION:
            return self._config is not None
        if section == SLICES_SECTION:
            return self._slices is not None
        return self._whole_log or domain_of_section(section) in self._domains

    def has_record(self, record_id: str) -> bool:
        """Tell whether a record was read; tells the fate of a lost append response."""
        return record_id in self._offsets_by_record_id

    @property
    def sections(self) -> list[str]:
        """Return the known sections that have content."""
        found = [CONFIG_SECTION] if self._folded_version.generation else []
        if self._slices is not None and self._slices.limits_by_team:
            found.append(SLICES_SECTION)
        return found + [domain_section(name) for name in sorted(self._domains)]

    @property
    def snapshots_as_of(self) -> Mapping[str, int]:
        """Return the highest ``as_of`` of the snapshots read, by section."""
        return self._snapshots_as_of

    # Folding

    def start_at(self, first: int) -> list[FleetEvent]:
        """Begin, or begin again after lost records, at the oldest retained offset."""
        if self.first_offset is not None and first <= self.next_offset:
            return []
        lost: list[FleetEvent] = []
        if self.first_offset is not None:
            lost = [RecordsLost(self.next_offset, first)]
            self._keep_version(self.config_version)
        self.first_offset = self.next_offset = first
        known = first == 0
        self._config = ConfigSection() if known else None
        self._typed_config = FleetConfig()
        self._slices = SliceTable() if known else None
        self._domains, self._held_domains = {}, {}
        self._held_config, self._held_slices = [], []
        self._slices_unclear_before = first
        return lost

    def apply(self, offset: int, record: Record) -> list[FleetEvent]:
        """Fold the record at ``offset`` and return what it changed.

        Offsets already folded and repeated records have no effect: claims and
        configuration changes name their base, jobs and transfers are known by the recent
        record ids in their section. A gap means that records were lost to
        retention: every section is unknown again until its next snapshot.
        """
        events = self.start_at(offset)
        if offset < self.next_offset:
            return events
        self.next_offset = offset + 1
        self._offsets_by_record_id.setdefault(record.record_id, offset)
        if isinstance(record, SnapshotRecord):
            return events + self._apply_snapshot(record)
        if isinstance(record, ConfigRecord):
            return [*events, self._apply_config(offset, record)]
        if isinstance(record, TransferRecord):
            return [*events, self._apply_transfer(offset, record)]
        if isinstance(record, SlicesReadRecord):
            return [*events, self._apply_slices_read(offset, record)]
        if isinstance(record, RequestsRecord):
            return [*events, self._apply_requests(offset, record)]
        return [*events, self._apply_domain_record(offset, record)]

    def skip(self, offset: int) -> list[FleetEvent]:
        """Pass over a record that this version cannot read."""
        events = self.start_at(offset)
        self.next_offset = max(self.next_offset, offset + 1)
        return events

    def forget_before(self, first: int) -> None:
        """Drop record ids that left the log; ``first`` is its oldest offset."""
        for log in self._requests.values():
            log.forget_before(first)
        self._offsets_by_record_id = {
            record_id: offset
            for record_id, offset in self._offsets_by_record_id.items()
            if offset >= first
        }

    def adopt(self, version: ConfigVersion) -> bool:
        """Take a newer generation relayed by a peer; tell whether it was newer.

        Raises ``ConfigError`` if the document is invalid.
        """
        if version.generation <= self.generation:
            return False
        self._keep_version(version)
        return True

    def snapshot(self, section: str) -> dict[str, Any]:
        """Return a section's state in JSON form, as of ``next_offset``.

        Raises ``KeyError`` if the section is not known.
        """
        state: Section | None
        if section == CONFIG_SECTION:
            state = self._config
        elif section == SLICES_SECTION:
            state = self._slices
        else:
            state = self._domains.get(domain_of_section(section) or "")
        if state is None:
            raise KeyError(section)
        return encode_section(state)

    # Parts of the fold

    @property
    def _whole_log(self) -> bool:
        return self.first_offset == 0

    @property
    def _folded_version(self) -> ConfigVersion:
        return self._config.version if self._config else ConfigVersion()

    def _keep_version(self, version: ConfigVersion) -> None:
        self._relayed_config = parse_document(version.document)
        self._relayed = version

    def _apply_config(self, offset: int, record: ConfigRecord) -> FleetEvent:
        if self._config is None:
            self._held_config.append((offset, record))
            self._slices_unclear_before = offset + 1
            return RecordIgnored(record.record_id, "configuration not known yet")
        try:
            version, config = next_version(self._config.version, record, offset)
        except ConfigError as error:
            return RecordIgnored(record.record_id, str(error))
        self._config.version, self._typed_config = version, config
        self._change_slices(offset, lambda slices: slices.set_config(config, offset))
        return ConfigChanged(record.record_id, version)

    def _apply_transfer(self, offset: int, record: TransferRecord) -> FleetEvent:
        claim = self.claim_of(record.from_domain)
        if claim is None:
            return self._lose_slices(offset, record.record_id)
        if record.epoch != claim.epoch:
            return ignored_epoch(record.record_id, record.epoch, claim)
        moved = self._change_slices(
            offset,
            lambda slices: slices.move(
                record.record_id,
                record.from_domain,
                record.to_domain,
                record.amounts_by_team,
            ),
        )
        if not isinstance(moved, dict):
            return RecordIgnored(record.record_id, "slices not known yet")
        return TransferApplied(
            record.record_id, record.from_domain, record.to_domain, moved
        )

    def _apply_slices_read(self, offset: int, record: SlicesReadRecord) -> FleetEvent:
        claim = self.claim_of(record.domain)
        if claim is None:
            return self._lose_slices(offset, record.record_id)
        if record.epoch != claim.epoch:
            return ignored_epoch(record.record_id, record.epoch, claim)
        freed = self._change_slices(
            offset,
            lambda slices: slices.apply_slices_read(record.domain, record.read_to),
        )
        if not freed:
            return RecordIgnored(record.record_id, "nothing is unread")
        return SlicesFreed(record.record_id, record.domain)

    def _lose_slices(self, offset: int, record_id: str) -> FleetEvent:
        """Make every slice unknown until a snapshot taken after ``offset``.

        Whether a record of a domain counts is unknown while its claim is.
        """
        self._slices_unclear_before = offset + 1
        self._slices = None
        self._held_slices.clear()
        return RecordIgnored(record_id, "claim not known yet")

    def _change_slices(self, offset: int, change: SliceChange) -> object:
        if self._slices is None:
            self._held_slices.append((offset, change))
            return None
        return change(self._slices)

    def _apply_domain_record(self, offset: int, record: DomainRecord) -> FleetEvent:
        section = self._domains.get(record.domain)
        if section is None and self._whole_log:
            section = DomainSection.empty(record.domain)
            self._domains[record.domain] = section
        if section is None:
            self._held_domains.setdefault(record.domain, []).append((offset, record))
            return RecordIgnored(record.record_id, f"{record.domain} not known yet")
        return section.apply(record)

    def _apply_requests(self, offset: int, record: RequestsRecord) -> FleetEvent:
        claim = self.claim_of(record.domain)
        # A request whose epoch cannot be checked counts as begun: the cost is a refusal,
        # while the opposite error would run it twice.
        if claim is not None and record.epoch != claim.epoch:
            return ignored_epoch(record.record_id, record.epoch, claim)
        return self._requests.setdefault(record.domain, RequestLog()).apply(
            offset, record
        )

    def _apply_snapshot(self, record: SnapshotRecord) -> list[FleetEvent]:
        section = record.section
        before = self._snapshots_as_of.get(section, -1)
        self._snapshots_as_of[section] = max(before, record.as_of)
        events: list[FleetEvent] = [SnapshotSeen(section, record.as_of)]
        if self.is_section_known(section) or record.as_of < (self.first_offset or 0):
            return events
        try:
            state = decode_section(section, record.state)
        except msgspec.ValidationError as error:
            return [*events, RecordIgnored(record.record_id, str(error))]
        if isinstance(state, SliceTable):
            if self._config is None or record.as_of < self._slices_unclear_before:
                return events
            self._load_slices(state, record.as_of)
        elif isinstance(state, ConfigSection):
            self._load_config(state, record.as_of)
        else:
            self._load_domain(state, record.as_of)
        return [*events, SectionLoaded(section)]

    def _load_config(self, state: ConfigSection, as_of: int) -> None:
        self._typed_config = state.parse()
        self._config = state
        held, self._held_config = self._held_config, []
        for offset, record in held:
            if offset >= as_of:
                self._apply_config(offset, record)

    def _load_slices(self, state: SliceTable, as_of: int) -> None:
        self._slices = state
        held, self._held_slices = self._held_slices, []
        for offset, change in held:
            if offset >= as_of:
                change(state)

    def _load_domain(self, state: DomainSection, as_of: int) -> None:
        self._domains[state.claim.domain] = state
        for offset, record in self._held_domains.pop(state.claim.domain, []):
            if offset >= as_of:
                state.apply(record)
