"""Claims: which instance holds a failure domain and who may claim it next."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from briarrun_core.records import ClaimKind, ClaimRecord


class ClaimState(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the authority over a failure domain after some offset of the log.

    ``kind`` and ``record_id`` are those of the claim that began the epoch. A domain that
    was never claimed has epoch 0 and an empty ``holder``.
    """

    domain: str
    epoch: int = 0
    revision: int = 0
    holder: str = ""
    electors: tuple[str, ...] = ()
    kind: ClaimKind = ClaimKind.ORPHAN
    record_id: str = ""

    @property
    def base(self) -> tuple[int, int]:
        """Return epoch and revision, which order the claims of a domain."""
        return (self.epoch, self.revision)


@dataclass(frozen=True, slots=True)
class InvalidClaim:
    """Say why the fold ignores a claim."""

    detail: str


def vm_of(instance: str) -> str:
    """Return the VM id inside an instance id ``<vm id>.<incarnation>``."""
    return instance.rpartition(".")[0] or instance


def build_claim_record(
    current: ClaimState,
    kind: ClaimKind,
    holder: str,
    author: str,
    electors: Iterable[str],
    record_id: str,
) -> ClaimRecord:
    """Return the record with which ``author`` changes the current claim."""
    renews = kind is ClaimKind.ELECTORS
    return ClaimRecord(
        record_id=record_id,
        domain=current.domain,
        kind=kind,
        epoch=current.epoch + (0 if renews else 1),
        base_epoch=current.epoch,
        base_revision=current.revision,
        holder=holder,
        author=author,
        electors=tuple(sorted(electors)),
    )


def next_claim(current: ClaimState, record: ClaimRecord) -> ClaimState | InvalidClaim:
    """Return the claim that ``record`` leads to, or why it has no effect."""
    detail = _first_fault(current, record)
    if detail:
        return InvalidClaim(detail)
    if record.kind is ClaimKind.ELECTORS:
        return msgspec.structs.replace(
            current, revision=current.revision + 1, electors=record.electors
        )
    return ClaimState(
        domain=current.domain,
        epoch=record.epoch,
        holder=record.holder,
        electors=record.electors,
        kind=record.kind,
        record_id=record.record_id,
    )


def _first_fault(current: ClaimState, record: ClaimRecord) -> str:
    if (record.base_epoch, record.base_revision) != current.base:
        return (
            f"base {record.base_epoch}.{record.base_revision} is not the current"
            f" {current.epoch}.{current.revision}"
        )
    if record.holder not in record.electors:
        return "the holder is not among the electors"
    renews = record.kind is ClaimKind.ELECTORS
    if record.epoch != current.epoch + (0 if renews else 1):
        return f"epoch {record.epoch} does not follow {current.epoch}"
    match record.kind:
        case ClaimKind.ELECTORS:
            if not record.author == record.holder == current.holder:
                return "only the holder changes the electors"
        case ClaimKind.HANDOVER:
            if record.author != current.holder:
                return "only the holder hands over"
            if record.holder == record.author or record.holder not in current.electors:
                return f"{record.holder} is not another elector"
        case ClaimKind.TAKEOVER:
            if record.author != record.holder or record.author == current.holder:
                return "a takeover names its author, who is not the holder"
            if record.author not in current.electors:
                return f"{record.author} is not an elector"
        case ClaimKind.ORPHAN:
            if record.author != record.holder:
                return "an orphan claim names its author"
    return ""
