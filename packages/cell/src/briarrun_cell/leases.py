"""Bounds of the leases under which runs go on without contact. No I/O.

A worker counts the time of a call on the clock of its present life, and grants at most a
certain lease. The clocks of two lives have nothing in common, so a call that is meant for
an earlier life may be granted the longest lease.
"""

from __future__ import annotations

from dataclasses import dataclass

CLOCK_DRIFT = 0.02
"""Maximum fraction by which a worker's clock runs slower than the holder's."""

LATE_CALL_S = 15.0
"""Time after the start of a life in which calls to the one before may be carried out."""


@dataclass(frozen=True, slots=True)
class LeaseDurations:
    """Durations of run leases and start orders, in seconds.

    ``longest_s`` is an upper bound of the lease that an earlier holder may have given.
    ``granted_s`` is the longest lease that a worker grants, whatever a call asks for.
    """

    lease_s: float
    start_s: float
    longest_s: float
    granted_s: float

    def renewal_end(self, sent_at: float) -> float:
        """Return when a lease has ended that a poll has renewed."""
        return sent_at + self.lease_s * (1 + 2 * CLOCK_DRIFT)

    def start_order_end(self, sent_at: float) -> float:
        """Return when a lease has ended that a start order has begun."""
        return sent_at + self.start_s * (1 + 2 * CLOCK_DRIFT)

    def granted_end(self, carried_out_at: float) -> float:
        """Return when any lease has ended that was granted up to a time."""
        return carried_out_at + self.granted_s * (1 + 2 * CLOCK_DRIFT)

    def may_be_misread(self, known_s: float) -> bool:
        """Return whether calls to an earlier life may have given the present leases.

        ``known_s`` is the time for which the present life has been known.
        """
        return known_s < LATE_CALL_S + self.granted_s * (1 + 2 * CLOCK_DRIFT)


@dataclass(slots=True)
class LeaseBound:
    """Time by which leases have certainly ended, on the holder's clock.

    ``requested_end`` is the same for the poll in flight.
    """

    end: float = float("-inf")
    requested_end: float = float("-inf")

    @property
    def latest_end(self) -> float:
        """The bound, also if the poll in flight is carried out."""
        return max(self.end, self.requested_end)

    def extend(self, end: float) -> None:
        """Raise the bound."""
        self.end = max(self.end, end)

    def limit(self, end: float) -> None:
        """Lower the bound."""
        self.end = min(self.end, end)

    def settle(self, sent: bool) -> None:
        """Apply the request of the poll in flight if it may have been carried out."""
        if sent:
            self.extend(self.requested_end)
        self.requested_end = float("-inf")
