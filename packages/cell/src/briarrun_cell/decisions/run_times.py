"""Learnt relation of actual to estimated run times, by queue. No I/O.

Load pattern: a backlog, in which jobs start as late as their deadline allows. Estimates
are rough, so a start that is just in time by the estimate is often too late, and a job
with a low estimate seems to be late although its caller still waits for it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

WEIGHT = 0.05
"""Weight of the latest run in the mean and in the deviation."""

MIN_RATIO = 0.25
MAX_RATIO = 4.0
"""Bounds of the ratio of one run, so that a stalled run does not distort the mean."""

PRIOR_DEVIATION = 0.15
"""Assumed mean absolute deviation of the ratio before any run has ended."""

MEMORY_STEPS = 100.0
"""Number of steps after which an ended step has little weight in the learnt relation."""

PRIOR_STEPS = 10.0
"""Number of steps with exact estimates that the learnt relation begins with."""

PRIOR_VARIANCE = 0.25
"""Variance of the logarithm of the estimates of these steps. Run times of a queue are
assumed to differ by a factor of 1.6 up or down."""


MAX_FACTOR = 10.0
"""Bound of an expected ratio, and of its inverse: estimates are off by up to 90 %."""


@dataclass(slots=True)
class _Relation:
    """Sums over ended steps of the logarithms of their run times; old ones fade."""

    weight: float = 0.0
    estimated: float = 0.0
    actual: float = 0.0
    estimated_squared: float = 0.0
    product: float = 0.0

    def note(self, estimated_s: float, actual_s: float, weight: float) -> None:
        """Record run times with a part of the weight of a step."""
        x, y = math.log(estimated_s), math.log(actual_s)
        kept = 1 - weight / MEMORY_STEPS
        self.weight = self.weight * kept + weight
        self.estimated = self.estimated * kept + weight * x
        self.actual = self.actual * kept + weight * y
        self.estimated_squared = self.estimated_squared * kept + weight * x * x
        self.product = self.product * kept + weight * x * y

    def factors(self, estimated_s: float) -> tuple[float, float]:
        """Return the expected ratio of actual to estimated run time for an estimate.

        Also returns the part of it by which an objective that was derived from the
        estimate is off. The rougher the estimates, the larger that part is.
        """
        if not self.weight:
            return 1.0, 1.0
        mean = self.estimated / self.weight
        variance = self.estimated_squared - self.estimated * mean
        covariance = self.product - self.actual * mean
        prior = PRIOR_STEPS * PRIOR_VARIANCE
        slope = min(1.0, max(0.0, (covariance + prior) / (variance + prior)))
        shift = (self.actual - self.estimated) / self.weight
        own = (slope - 1) * (math.log(estimated_s) - mean)
        off = own + (1 - slope) * shift
        return _bounded(math.exp(own + max(0.0, shift))), _bounded(math.exp(off))


def _bounded(ratio: float) -> float:
    return min(max(ratio, 1 / MAX_FACTOR), MAX_FACTOR)


@dataclass(slots=True)
class _Ratio:
    mean: float = 1.0
    deviation: float = PRIOR_DEVIATION


class RunTimeRatios:
    """Ratio of actual to estimated run time of the tasks of each queue."""

    def __init__(self) -> None:
        self._by_queue: dict[str, _Ratio] = {}
        self._relation_by_queue: dict[str, _Relation] = {}

    def note(
        self, queue: str, actual_s: float, estimated_s: float, tasks: int = 1
    ) -> None:
        """Record the run time of one of the tasks of a step that ran from start to end."""
        if estimated_s <= 0:
            return
        if actual_s > 0:
            relation = self._relation_by_queue.setdefault(queue, _Relation())
            relation.note(estimated_s, actual_s, 1 / max(1, tasks))
        ratio = min(max(actual_s / estimated_s, MIN_RATIO), MAX_RATIO)
        known = self._by_queue.setdefault(queue, _Ratio())
        known.deviation += WEIGHT * (abs(ratio - known.mean) - known.deviation)
        known.mean += WEIGHT * (ratio - known.mean)

    def expected(self, queue: str, estimated_s: float) -> tuple[float, float]:
        """Return the ratio that a run with that estimate is likely to have, at least.

        Also returns the part of it by which the objective, which follows from the
        estimate, is off. The rougher the estimates of the queue have been, the less they
        count beside the usual run time of its tasks.
        """
        relation = self._relation_by_queue.get(queue)
        if relation is None or estimated_s <= 0:
            return 1.0 + PRIOR_DEVIATION, 1.0
        return relation.factors(estimated_s)

    def cautious(self, queue: str) -> float:
        """Return a ratio that most runs of the queue do not exceed, at least 1."""
        known = self._by_queue.get(queue)
        if known is None:
            return 1.0 + PRIOR_DEVIATION
        return max(1.0, known.mean + known.deviation)
