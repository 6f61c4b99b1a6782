"""Learnt ratio of actual to estimated run times, by queue. No I/O.

Load pattern: a backlog, in which jobs start as late as their deadline allows. Estimates
are rough, so a start that is just in time by the estimate is often too late.
"""

from __future__ import annotations

from dataclasses import dataclass

WEIGHT = 0.05
"""Weight of the latest run in the mean and in the deviation."""

MIN_RATIO = 0.25
MAX_RATIO = 4.0
"""Bounds of the ratio of one run, so that a stalled run does not distort the mean."""

PRIOR_DEVIATION = 0.15
"""Assumed mean absolute deviation of the ratio before any run has ended."""


@dataclass(slots=True)
class _Ratio:
    mean: float = 1.0
    deviation: float = PRIOR_DEVIATION


class RunTimeRatios:
    """Ratio of actual to estimated run time of the tasks of each queue."""

    def __init__(self) -> None:
        self._by_queue: dict[str, _Ratio] = {}

    def note(self, queue: str, actual_s: float, estimated_s: float) -> None:
        """Record the run time of a task that ran from start to end."""
        if estimated_s <= 0:
            return
        ratio = min(max(actual_s / estimated_s, MIN_RATIO), MAX_RATIO)
        known = self._by_queue.setdefault(queue, _Ratio())
        known.deviation += WEIGHT * (abs(ratio - known.mean) - known.deviation)
        known.mean += WEIGHT * (ratio - known.mean)

    def cautious(self, queue: str) -> float:
        """Return a ratio that most runs of the queue do not exceed, at least 1."""
        known = self._by_queue.get(queue)
        if known is None:
            return 1.0 + PRIOR_DEVIATION
        return max(1.0, known.mean + known.deviation)
