"""States, settings and actions of the authority over a failure domain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from briarrun_core.records import ClaimRecord


class AuthorityState(StrEnum):
    """States of the ``authority`` chart."""

    FOLLOWER = "follower"
    CLAIMING = "claiming"
    WAITING = "waiting"
    RECOVERING = "recovering"
    HOLDING = "holding"
    SUSPENDED = "suspended"
    HANDING_OVER = "handing_over"


@dataclass(frozen=True, slots=True)
class AuthoritySettings:
    """Timing of authority; all values are seconds.

    Electors wait for a further ``rank_stagger_s`` each before they claim, so that they
    rarely claim at the same time. ``vm_list_gap_s`` is the longest time between two
    reads of the VM list that still counts as continuous observation.
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
    """Append a claim to the log; repeated with the same record until the log shows it."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class StartRecovery:
    """Recover the ledger of the failure domain.

    ``previous_term_end`` is the latest time at which the previous authority ends.
    ``is_ledger_lost`` is set if the ledger of the previous epoch is lost.
    """

    previous_term_end: float
    epoch: int
    is_ledger_lost: bool


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """Discard the ledger of ``epoch`` and follow, because another epoch has begun."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Suspended:
    """Start nothing until ``Resumed``; neither the log nor peers confirm authority."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Resumed:
    """Act again, because authority was confirmed again in the same epoch."""

    epoch: int


AuthorityAction = AppendClaim | StartRecovery | SteppedDown | Suspended | Resumed
