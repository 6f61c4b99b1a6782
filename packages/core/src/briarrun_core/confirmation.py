"""Expiry of a holder's authority, which log reads and promises extend."""

from __future__ import annotations

import math
from collections.abc import Collection

NEVER = -math.inf


class Confirmation:
    """Confirmations of one epoch; times are the holder's monotonic seconds."""

    def __init__(self, term_s: float) -> None:
        self._term_s = term_s
        self._log_read_started_at = NEVER
        self._promised_at_by_peer: dict[str, float] = {}

    def clear(self) -> None:
        """Discard all confirmations, since a new epoch has begun."""
        self._log_read_started_at = NEVER
        self._promised_at_by_peer.clear()

    def on_log_read(self, started_at: float, finished_at: float) -> None:
        """Record a read up to the end of the log that showed no newer epoch.

        Only the start of the read counts, because a claim may have been appended right
        after the log answered.
        """
        self._log_read_started_at = max(self._log_read_started_at, started_at)

    def on_promise(self, peer: str, sent_at: float) -> None:
        """Record a promise in answer to the heartbeat sent at ``sent_at``."""
        self._promised_at_by_peer[peer] = max(
            self._promised_at_by_peer.get(peer, NEVER), sent_at
        )

    def until(self, electors: Collection[str]) -> float:
        """Return when authority expires, given the other electors; may be ``-inf``."""
        by_log = self._log_read_started_at + self._term_s
        return max(by_log, self._by_promises_until(electors))

    def _by_promises_until(self, electors: Collection[str]) -> float:
        if not electors:
            return NEVER
        oldest = min(self._promised_at_by_peer.get(peer, NEVER) for peer in electors)
        return oldest + self._term_s
