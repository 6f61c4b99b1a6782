"""Reasons why steps that are due have not been placed. No I/O.

Load pattern: a few jobs wait in a cell with free workers. Without the reason, a step
that a decision passes over looks the same as one that waits for capacity.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class WaitReason(StrEnum):
    """What a step that is due waits for."""

    ADVICE = "advice"
    """An answer of the advice service."""

    NOT_APPROVED = "not-approved"
    """Workers that the advice service approves."""

    WORKERS = "workers"
    """Approved workers that are in quarantine or do not answer."""

    SIZE = "size"
    """Larger workers: the step would not fit if the approved ones were idle."""

    EVACUATED = "evacuated"
    """Workers outside the failure domains under evacuation."""

    CUSTOMER_LIMIT = "customer-limit"
    """Other tasks of the customer, which is at its limit."""

    CAPACITY = "capacity"
    """Free capacity."""

    QUARANTINE = "quarantine"
    """Free capacity, beside that of approved workers in quarantine."""

    HEADROOM = "headroom"
    """Free capacity, beside that which is kept for urgent tasks."""

    TICKETS = "tickets"
    """Valid tickets for workers with free capacity."""

    RESERVATION = "reservation"
    """Workers with free capacity that are reserved for a gang."""

    TURN = "turn"
    """Its turn: a round looks for workers for a limited number of blocked steps."""


@dataclass(slots=True)
class Wait:
    """Wait of a step since its last placement; times are on the holder's clock.

    ``checked_at`` is the time at which the reason was last found out.
    """

    reason: WaitReason
    since: float
    checked_at: float
