"""Events that describe the effect of a log record on the fleet state."""

from __future__ import annotations

from dataclasses import dataclass

from briarrun_core.claims import ClaimState
from briarrun_core.configuration import ConfigVersion
from briarrun_core.model import JobSpec
from briarrun_core.records import EndedJob, FinishedRequest
from briarrun_core.resources import Resources


@dataclass(frozen=True, slots=True)
class ClaimChanged:
    """A claim took effect and replaced the domain's previous claim."""

    record_id: str
    claim: ClaimState


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A configuration change was accepted and is active."""

    record_id: str
    version: ConfigVersion


@dataclass(frozen=True, slots=True)
class TransferApplied:
    """A transfer moved ``amounts_by_team``, possibly less than it requested."""

    record_id: str
    from_domain: str
    to_domain: str
    amounts_by_team: dict[str, Resources]


@dataclass(frozen=True, slots=True)
class SlicesFreed:
    """A domain no longer exceeds its slices; the freed amounts were split again."""

    record_id: str
    domain: str


@dataclass(frozen=True, slots=True)
class JobsChanged:
    """A batch of jobs was accepted or ended; only new entries are listed."""

    record_id: str
    domain: str
    accepted: tuple[JobSpec, ...]
    ended: tuple[EndedJob, ...]


@dataclass(frozen=True, slots=True)
class RequestsChanged:
    """A batch of non-idempotent requests began or finished."""

    record_id: str
    domain: str
    begun: tuple[str, ...]
    finished: tuple[FinishedRequest, ...]


@dataclass(frozen=True, slots=True)
class SectionLoaded:
    """A section that was unknown was restored from a snapshot."""

    section: str


@dataclass(frozen=True, slots=True)
class SnapshotSeen:
    """The log contains a snapshot of ``section`` as of offset ``as_of``."""

    section: str
    as_of: int


@dataclass(frozen=True, slots=True)
class RecordIgnored:
    """A record had no effect, or its effect cannot be determined yet."""

    record_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class RecordsLost:
    """Records in ``[first, next)`` expired from the log before they were read."""

    first: int
    next: int


FleetEvent = (
    ClaimChanged
    | ConfigChanged
    | TransferApplied
    | SlicesFreed
    | JobsChanged
    | RequestsChanged
    | SectionLoaded
    | SnapshotSeen
    | RecordIgnored
    | RecordsLost
)
