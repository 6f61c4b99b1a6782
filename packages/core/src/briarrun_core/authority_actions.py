"""States, settings and actions of the authority over a failure domain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from briarrun_core.records import ClaimRecord


class AuthorityState(StrEnum):
    """Name the states of the ``authority`` chart."""

    FOLLOWER = "follower"
    CLAIMING = "claiming"
    WAITING = "waiting"
    RECOVERING = "recovering"
    HOLDING = "holding"
    SUSPENDED = "suspended"
    HANDING_OVER = "handing_over"


@dataclass(frozen=True, slots=True)
class AuthoritySettings:
    """Set the timing of authority; all values are seconds.

    ``rank_stagger_s`` delays the claim of each further elector so that one claim is
    usually enough. ``vm_list_gap_s`` is the longest pause between two reads of the VM
    list that still counts as watching it.
    """

    authority_term_s: float = 0.3
    claim_margin_s: float = 0.1
    heartbeat_interval_s: float = 0.1
    log_read_interval_s: float = 0.1
    elector_silence_s: float = 1.0
    vm_list_lag_s: float = 30.0
    vm_list_gap_s: float = 10.0
    rank_stagger_s: float = 0.04
    append_retry_s: float = 0.5


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append a claim; the same record may be asked for again until the log shows it."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class StartRecovery:
    """Recover the ledger; ``previous_term_end`` is the latest end of the authority before.

    ``is_ledger_lost`` says that the ledger of an earlier epoch is lost.
    """

    previous_term_end: float
    epoch: int
    is_ledger_lost: bool


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """Another epoch has begun: drop the ledger of ``epoch`` and follow."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Suspended:
    """Start nothing new until ``Resumed``: neither log nor peers confirm authority."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Resumed:
    """Authority is confirmed again in the same epoch."""

    epoch: int


AuthorityAction = AppendClaim | StartRecovery | SteppedDown | Suspended | Resumed
