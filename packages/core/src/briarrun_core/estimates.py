"""Run times and sizes learnt from ended tasks; declarations are only hints."""

from __future__ import annotations

from dataclasses import dataclass

from briarrun_core.model import JobKind
from briarrun_core.resources import Resources
from briarrun_core.views import JobView

DEFAULT_RUN_S = 60.0
"""Run time assumed of a task of which nothing is declared or known."""

LEARNING_RATE = 0.2
"""Weight of the newest report; about the last ten reports count."""

MAX_KEYS = 4096
"""Distinct kinds of task remembered; the oldest is dropped first to bound memory."""


@dataclass(slots=True)
class _Average:
    run_s: float
    size_ratio: float
    reports: int = 0


Key = tuple[str, JobKind, Resources]


class Estimates:
    """Learn how long tasks run and how much of their declared size they use.

    Tasks of one team, kind and declared size are taken to be alike.
    """

    def __init__(self) -> None:
        self._averages_by_key: dict[Key, _Average] = {}

    def learn(self, job: JobView, run_s: float, usage: Resources | None) -> None:
        """Take note of an ended task: seconds run and its reported usage."""
        key = (job.team, job.kind, job.resources)
        average = self._averages_by_key.get(key)
        if average is None:
            if len(self._averages_by_key) >= MAX_KEYS:
                del self._averages_by_key[next(iter(self._averages_by_key))]
            average = self._averages_by_key[key] = _Average(run_s, 1.0)
        average.reports += 1
        average.run_s += LEARNING_RATE * (run_s - average.run_s)
        if usage is not None:
            ratio = usage.dominant_fraction(job.resources)
            average.size_ratio += LEARNING_RATE * (ratio - average.size_ratio)

    def run_seconds(self, job: JobView) -> float:
        """Return the expected run time of a task of the job, in seconds."""
        average = self._averages_by_key.get((job.team, job.kind, job.resources))
        if average is not None:
            return average.run_s
        return job.run_seconds if job.run_seconds is not None else DEFAULT_RUN_S

    def size_ratio(self, job: JobView) -> float:
        """Return the expected part of its declared size that a task uses."""
        average = self._averages_by_key.get((job.team, job.kind, job.resources))
        return average.size_ratio if average is not None else 1.0
