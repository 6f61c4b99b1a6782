"""Sections of the folded state, each carried past retention by its own snapshots."""

from __future__ import annotations

from typing import Any

import msgspec

from briarrun_core.claims import ClaimState, InvalidClaim, next_claim
from briarrun_core.configuration import ConfigVersion, parse_document
from briarrun_core.events import (
    ClaimChanged,
    FleetEvent,
    JobsChanged,
    RecordIgnored,
    RequestsChanged,
)
from briarrun_core.model import FleetConfig, JobSpec
from briarrun_core.records import ClaimRecord, JobsRecord, RequestsRecord
from briarrun_core.slices import SliceTable, add_recent_id

CONFIG_SECTION = "config"
SLICES_SECTION = "slices"
_DOMAIN_PREFIX = "domain:"

# A holder flushes at most 4 batches a second, so this spans about 4 minutes; a batch is
# repeated only after a read of the log that does not show it.
RECENT_JOBS_RECORDS = 1024

DomainRecord = ClaimRecord | JobsRecord


def domain_section(domain: str) -> str:
    """Return the name of a failure domain's section."""
    return _DOMAIN_PREFIX + domain


def domain_of_section(section: str) -> str | None:
    """Return the failure domain that a section belongs to, if any."""
    return section.removeprefix(_DOMAIN_PREFIX) if ":" in section else None


def ignored_epoch(record_id: str, epoch: int, claim: ClaimState) -> RecordIgnored:
    """Return the event for a record whose epoch is not current."""
    return RecordIgnored(record_id, f"epoch {epoch} is not the current {claim.epoch}")


class DomainSection(msgspec.Struct):
    """Hold the claim, the open jobs and the latest record ids of a failure domain."""

    claim: ClaimState
    open_jobs: dict[str, JobSpec] = {}
    recent_ids: list[str] = []

    @classmethod
    def empty(cls, domain: str) -> DomainSection:
        """Return the section of a domain that was never claimed."""
        return cls(claim=ClaimState(domain=domain))

    def apply(self, record: ClaimRecord | JobsRecord) -> FleetEvent:
        """Fold one record of this domain."""
        if isinstance(record, ClaimRecord):
            return self._apply_claim(record)
        if record.epoch != self.claim.epoch:
            return ignored_epoch(record.record_id, record.epoch, self.claim)
        if not add_recent_id(self.recent_ids, record.record_id, RECENT_JOBS_RECORDS):
            return RecordIgnored(record.record_id, "repeated record id")
        return self._apply_jobs(record)

    def _apply_claim(self, record: ClaimRecord) -> FleetEvent:
        after = next_claim(self.claim, record)
        if isinstance(after, InvalidClaim):
            return RecordIgnored(record.record_id, after.detail)
        self.claim = after
        return ClaimChanged(record.record_id, after)

    def _apply_jobs(self, record: JobsRecord) -> FleetEvent:
        accepted = tuple(
            spec for spec in record.accepted if spec.job_id not in self.open_jobs
        )
        self.open_jobs.update({spec.job_id: spec for spec in accepted})
        ended = tuple(end for end in record.ended if end.job_id in self.open_jobs)
        for end in ended:
            self.open_jobs.pop(end.job_id, None)
        return JobsChanged(record.record_id, record.domain, accepted, ended)


class RequestLog:
    """Remember the non-idempotent requests that the log still holds records of.

    Snapshots do not carry requests: retention is longer than ``request_record_s``, so a
    request that left the log is past the time for which its id is guaranteed.
    """

    def __init__(self) -> None:
        self.outcomes_by_id: dict[str, str] = {}
        self._offsets_by_id: dict[str, int] = {}

    def apply(self, offset: int, record: RequestsRecord) -> FleetEvent:
        """Fold one record; an outcome is empty while the request is under way."""
        for request_id in record.begun:
            self.outcomes_by_id.setdefault(request_id, "")
            self._offsets_by_id[request_id] = offset
        for finished in record.finished:
            self.outcomes_by_id[finished.request_id] = finished.outcome
            self._offsets_by_id[finished.request_id] = offset
        return RequestsChanged(
            record.record_id, record.domain, record.begun, record.finished
        )

    def forget_before(self, first: int) -> None:
        """Drop requests whose last record left the log."""
        gone = [key for key, offset in self._offsets_by_id.items() if offset < first]
        for request_id in gone:
            del self._offsets_by_id[request_id]
            del self.outcomes_by_id[request_id]


class ConfigSection(msgspec.Struct):
    """Hold the configuration generation that the log accepted last."""

    version: ConfigVersion = ConfigVersion()

    def parse(self) -> FleetConfig:
        """Return the typed configuration."""
        return parse_document(self.version.document)


Section = ConfigSection | DomainSection | SliceTable


def encode_section(section: Section) -> dict[str, Any]:
    """Return a section's state in JSON form, sharing nothing with the section."""
    built: dict[str, Any] = msgspec.to_builtins(section)
    return built


def decode_section(name: str, state: dict[str, Any]) -> Section:
    """Return the section that a snapshot's state holds.

    Raises ``msgspec.ValidationError`` if the state does not fit the section.
    """
    if name == CONFIG_SECTION:
        return msgspec.convert(state, ConfigSection)
    if name == SLICES_SECTION:
        return msgspec.convert(state, SliceTable)
    return msgspec.convert(state, DomainSection)
