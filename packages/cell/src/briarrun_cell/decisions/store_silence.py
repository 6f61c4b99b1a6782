"""Whether the store is silent for this VM, and when callers should come back. No I/O.

Load pattern: the store answers no call for some seconds while callers submit jobs. A
write that was sent then has an unknown outcome, and its caller cannot safely repeat it.
Therefore a VM that knows of the silence sends no writes and tells its callers to retry
later. Afterwards they should return in order of urgency and not all at once.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

SILENT_AFTER_S = 0.6
"""Time without any answer after which a call shows that the store is silent. An ordinary
store needs 4 ms for an answer, a slow one up to 0.5 s."""

REPORT_VALID_S = 1.0
"""Time for which the report of another VM that the store is silent is believed. The own
calls show it by then."""

SHORT_OUTAGE_S = 4.0
"""Duration of an outage up to which urgent callers retry every second. A client tries
four times, so that its last attempt is after an outage of three seconds."""

MAX_RETRY_AFTER_S = 5
"""Maximum Retry-After during an outage."""


@dataclass(frozen=True, slots=True)
class _Call:
    sent_at: float
    allowed_s: float


class StoreSilence:
    """Times of the calls of this VM to the store.

    The store is silent if a call has been under way for longer than it may take and no
    call has been answered since it was sent. Each call has an allowed duration; it is
    infinite for those that may transfer much over a slow link.
    """

    def __init__(self, now: float) -> None:
        self.answered_at = now
        self._next_call = 0
        self._open: dict[int, _Call] = {}
        self._unanswered: _Call | None = None
        self._reported_at: float | None = None

    def on_sent(self, now: float, allowed_s: float = SILENT_AFTER_S) -> int:
        """Record a call that may take so long, and return its number."""
        self._next_call += 1
        self._open[self._next_call] = _Call(now, allowed_s)
        return self._next_call

    def on_end(self, number: int, now: float, *, answered: bool) -> None:
        """Record the end of a call.

        A call that failed at once, e.g. since the connection was refused, shows neither
        that the store is silent nor that it answers.
        """
        call = self._open.pop(number)
        if answered:
            self.answered_at = now
            self._unanswered = None
            if self._reported_at is not None and call.sent_at >= self._reported_at:
                self._reported_at = None
        elif self._is_overdue(call, now) and (
            self._unanswered is None or _due_at(call) < _due_at(self._unanswered)
        ):
            self._unanswered = call

    def on_report(self, now: float) -> None:
        """Record that another VM has found the store silent."""
        self._reported_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether the store is known to be silent."""
        if self._reported_at is not None and now < self._reported_at + REPORT_VALID_S:
            return True
        if self._unanswered is not None:
            return True
        return any(self._is_overdue(call, now) for call in self._open.values())

    def unheard_s(self, now: float) -> float:
        """Return the time since the last answer."""
        return now - self.answered_at

    def _is_overdue(self, call: _Call, now: float) -> bool:
        # An answer to a call that was sent earlier shows that the store still answered
        # then, so the time of this call counts from there.
        return now >= max(call.sent_at, self.answered_at) + call.allowed_s


def _due_at(call: _Call) -> float:
    return call.sent_at + call.allowed_s


def jitter(job_id: str, values: int) -> int:
    """Return a number below ``values`` that depends only on the id of the job."""
    return zlib.crc32(job_id.encode()) % values


def retry_after_s(urgency: int, outage_s: float, job_id: str) -> int:
    """Return the whole seconds after which a caller should try again.

    ``urgency`` is the number of priorities of the cell that are more urgent than the
    queue, ``outage_s`` the duration of the outage so far. Callers of urgent queues
    return first; those of one queue are spread by the ids of their jobs.
    """
    lasting = outage_s > SHORT_OUTAGE_S
    earliest = 1 + min(urgency, 2)
    spread = int(lasting) + int(urgency > 0)
    return min(MAX_RETRY_AFTER_S, earliest + jitter(job_id, spread + 1))
