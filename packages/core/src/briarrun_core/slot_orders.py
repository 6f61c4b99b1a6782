"""Settings, calls and grants of upstream slots."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from briarrun_core.model import Urgency


@dataclass(frozen=True, slots=True)
class SlotSettings:
    """Times and limits of slots; times are seconds.

    ``status_fresh_s`` is the maximum age of an upstream's last status for new work. The
    sum of it, ``start_within_s`` and the skew bound must stay below 3 s, after which an
    upstream that is leaving must get no new work.
    """

    skew_bound_s: float = 0.05
    status_fresh_s: float = 2.0
    start_within_s: float = 0.3
    max_grant_s: float = 30.0
    max_waiting: int = 1000
    default_slots: int = 8
    default_connections: int = 64


class UpstreamInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Upstream as declared by the platform."""

    upstream_id: str
    address: str
    leaving: bool = False


class UpstreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of an upstream as of ``taken_at`` (the upstream's wall-clock seconds)."""

    slots: int
    connections: int
    active: int
    draining: bool
    taken_at: float


@dataclass(frozen=True, slots=True)
class SlotCall:
    """Request for a slot; ``deadline`` is wall-clock seconds.

    ``avoid`` contains upstreams that a retry should not use again.
    """

    call_id: str
    team: str
    urgency: Urgency
    deadline: float
    request_id: str = ""
    idempotent: bool = True
    avoid: frozenset[str] = frozenset()


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to send one request to an upstream.

    The request must be sent before ``start_by``, and its connection must be closed by
    ``deadline`` (both wall-clock seconds).
    """

    grant_id: str
    call_id: str
    upstream_id: str
    address: str
    team: str
    start_by: float
    deadline: float
