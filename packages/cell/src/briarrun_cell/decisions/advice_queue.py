"""Order in which queued calls to the advice service are made. No I/O.

Load pattern: blocked steps of a high rank whose tickets are renewed all the time, on a
cell with few VMs. In the order of rank alone, the first call for a step of a lower rank
would never be made, although workers for it are idle.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

from briarrun_cell.decisions.ranking import Rank
from briarrun_cell.jobs import Step
from briarrun_cell.workers import Worker

SLOW_CALL_S = 0.08
"""Expected duration above which a call counts as slow."""

MAX_WAIT_S = 1.0
"""Time after which a call may be made before others of a higher rank."""

OLDEST_CALL_INTERVAL = 4
"""One of this many calls is the one that has waited longest, if that is too long."""


@dataclass(slots=True)
class Request:
    """Request of a step with the number of its calls that have not ended."""

    step: Step
    open_calls: int

    def end_call(self) -> None:
        """Record the end of a call; the last one ends the request."""
        self.open_calls -= 1
        if not self.open_calls:
            self.step.advice.request_in_flight = False


@dataclass(slots=True, order=True)
class Call:
    """Queued call of a request; calls of lower rank and number come first."""

    rank: Rank
    number: int
    request: Request = field(compare=False)
    workers: tuple[Worker, ...] = field(compare=False)
    expected_s: float = field(compare=False)
    queued_at: float = field(compare=False)
    made: bool = field(compare=False, default=False)

    @property
    def slow(self) -> bool:
        """Whether the call occupies a VM for so long that others are to be left."""
        return self.expected_s > SLOW_CALL_S

    @property
    def needless(self) -> bool:
        """Whether the job of the call has ended."""
        return self.request.step.job.final


class CallQueue:
    """Calls that wait for a VM, by rank; none waits for ever."""

    def __init__(self) -> None:
        self._fast: list[Call] = []
        self._slow: list[Call] = []
        self._by_age: deque[Call] = deque()
        self._taken = 0

    def __bool__(self) -> bool:
        """Return whether calls may be waiting."""
        return bool(self._fast or self._slow)

    def push(self, call: Call) -> None:
        """Add a call."""
        heapq.heappush(self._slow if call.slow else self._fast, call)
        self._by_age.append(call)

    def clear(self) -> None:
        """Drop all calls."""
        self._fast.clear()
        self._slow.clear()
        self._by_age.clear()

    def pop(self, now: float, *, slow_allowed: bool) -> Call | None:
        """Remove and return the call to make next, if there is one that may be made."""
        call = None
        if self._taken % OLDEST_CALL_INTERVAL == OLDEST_CALL_INTERVAL - 1:
            call = self._find_oldest(now, slow_allowed)
        if call is None:
            call = self._find_highest(slow_allowed)
        if call is not None:
            call.made = True
            self._taken += 1
        return call

    def _find_oldest(self, now: float, slow_allowed: bool) -> Call | None:
        """Return the call that has waited longest, if that is too long."""
        while self._by_age and (self._by_age[0].made or self._by_age[0].needless):
            self._by_age.popleft()
        if not self._by_age:
            return None
        oldest = self._by_age[0]
        may_be_made = slow_allowed or not oldest.slow
        return oldest if may_be_made and now >= oldest.queued_at + MAX_WAIT_S else None

    def _find_highest(self, slow_allowed: bool) -> Call | None:
        """Return the call of the highest rank."""
        for calls in (self._fast, self._slow):
            while calls and (calls[0].made or calls[0].needless):
                dropped = heapq.heappop(calls)
                if not dropped.made:
                    dropped.made = True
                    dropped.request.end_call()
        first = [calls[0] for calls in (self._fast, self._slow) if calls]
        if not slow_allowed:
            first = [call for call in first if not call.slow]
        return min(first, default=None)
