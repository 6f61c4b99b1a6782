"""Records of the log.

Every record has a unique ``record_id``. Appending the same record again has no effect.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from briarrun_core.model import JobSpec
from briarrun_core.resources import Resources


class ClaimKind(StrEnum):
    """Kinds of changes of authority over a failure domain."""

    TAKEOVER = "takeover"
    ORPHAN = "orphan"
    HANDOVER = "handover"
    ELECTORS = "electors"


class ClaimRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="claim"
):
    """Claim or handover of authority over a failure domain, or change of its electors."""

    record_id: str
    domain: str
    kind: ClaimKind
    epoch: int
    base_epoch: int
    base_revision: int
    holder: str
    author: str
    electors: tuple[str, ...]


class ConfigRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="config"
):
    """Change of the configuration of ``base_generation`` by a JSON merge patch.

    ``digest`` is the SHA-256 of the resulting document in canonical JSON.
    """

    record_id: str
    base_generation: int
    changes: dict[str, Any]
    digest: str
    author: str = ""


class TransferRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="transfer"
):
    """Transfer of parts of team limits from one failure domain to another."""

    record_id: str
    from_domain: str
    epoch: int
    to_domain: str
    amounts_by_team: dict[str, Resources]


class SlicesReadRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="slices-read"
):
    """Report that a holder has read the log up to ``read_to`` and fits its slices there.

    From this record on, the domain no longer uses any part of earlier, larger slices.
    """

    record_id: str
    domain: str
    epoch: int
    read_to: int


class EndedJob(msgspec.Struct, frozen=True, kw_only=True):
    """Final state of a job."""

    job_id: str
    state: str
    detail: str = ""


class JobsRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="jobs"
):
    """Batch of accepted and ended jobs of a failure domain."""

    record_id: str
    domain: str
    epoch: int
    accepted: tuple[JobSpec, ...] = ()
    ended: tuple[EndedJob, ...] = ()


class FinishedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a non-idempotent request."""

    request_id: str
    outcome: str


class RequestsRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="requests"
):
    """Batch of begun and finished non-idempotent requests."""

    record_id: str
    domain: str
    epoch: int
    begun: tuple[str, ...] = ()
    finished: tuple[FinishedRequest, ...] = ()


class SnapshotRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="snapshot"
):
    """Snapshot of one section, which preserves its state beyond the log's retention.

    ``as_of`` is the offset after the last record that the state includes.
    """

    record_id: str
    section: str
    as_of: int
    state: dict[str, Any]


Record = (
    ClaimRecord
    | ConfigRecord
    | TransferRecord
    | SlicesReadRecord
    | JobsRecord
    | RequestsRecord
    | SnapshotRecord
)


def encode_record(record: Record) -> dict[str, Any]:
    """Return a record as a JSON-compatible object with a ``type`` tag."""
    built: dict[str, Any] = msgspec.to_builtins(record)
    return built


def decode_record(data: object) -> Record:
    """Return the record that a JSON object represents.

    Raises ``msgspec.ValidationError`` if the object is not a known record.
    """
    record: Record = msgspec.convert(data, Record)
    return record
