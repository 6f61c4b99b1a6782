"""How long a request for the state of a job waits for the outcome. No I/O.

Load pattern: callers ask just when the last task of a job has ended, before its outcome
is stored. If they are told that the job is running, they ask again a quarter of a second
later, which for a short job is a large part of the time that they expect it to take.
"""

from __future__ import annotations

from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import critical_path_ms
from briarrun_cell.model import JobState

MAX_WAIT_S = 0.25
"""Maximum wait for an outcome. Storing one takes tens of milliseconds, and more if the
store is slow."""

MIN_ELAPSED_FRACTION = 0.5
"""Fraction of the estimated run time before which a job is not expected to end; jobs
may take half of the estimate."""


def outcome_wait_s(entry: JobEntry, wall_ms: int) -> float:
    """Return the time to wait for the outcome of a job, 0 if it cannot end soon."""
    spec = entry.spec
    if spec is None or entry.state is not JobState.RUNNING or spec.occurrences:
        return 0.0
    if any(step.service for step in spec.steps):
        return 0.0
    elapsed_ms = wall_ms - spec.accepted_ms
    if elapsed_ms < MIN_ELAPSED_FRACTION * critical_path_ms(spec):
        return 0.0
    return MAX_WAIT_S
