"""Starts and ends of the runs of each task, and the rules that they must keep."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from briarrun_cell.model import EndKind, JobSpec, StepId, TaskId

COPY_GRACE_S = 1.0
"""Time after an acknowledged end in which a copy may still start."""

Key = TaskId | StepId
"""Task, or step of a gang, whose members start and end together."""


@dataclass(eq=False)
class RunEnd:
    """End of a run in one life of a worker.

    ``lapses`` is the number of leases of that life that had lapsed at the end.
    """

    task: TaskId
    run: int
    kind: EndKind
    life: str
    ended_at: float
    lapses: int
    acknowledged_at: float | None = None


@dataclass(eq=False)
class _Start:
    task: TaskId
    run: int
    life: str
    began_at: float
    earlier_ends: int
    broken_rules: set[str] = field(default_factory=set)


@dataclass
class _Runs:
    starts: list[_Start] = field(default_factory=list)
    ends: list[RunEnd] = field(default_factory=list)


class RunHistory:
    """Check that no task starts again once it is done or has no attempts left.

    An end counts once it is acknowledged, also if that comes after the later start. It
    never counts if a lease of its worker lapsed between the end and the acknowledgement.
    """

    def __init__(self, report: Callable[[str], None]) -> None:
        self._report = report
        self._runs_by_key: defaultdict[Key, _Runs] = defaultdict(_Runs)

    def on_start(
        self, spec: JobSpec, task: TaskId, run: int, life: str, now: float
    ) -> None:
        """Record a start and check it against the ends acknowledged so far."""
        runs = self._runs_by_key[_key(spec, task)]
        start = _Start(task, run, life, now, len(runs.ends))
        runs.starts.append(start)
        self._check(spec, runs, start)

    def on_end(self, spec: JobSpec, end: RunEnd) -> None:
        """Record an end, which is not acknowledged yet."""
        if end.kind in (EndKind.DONE, EndKind.FAILED):
            self._runs_by_key[_key(spec, end.task)].ends.append(end)

    def on_acknowledged(
        self, spec: JobSpec, end: RunEnd, lapses: int, now: float
    ) -> None:
        """Count an end, unless a lease lapsed, and check the starts after it."""
        if end.lapses != lapses or end.kind not in (EndKind.DONE, EndKind.FAILED):
            return
        end.acknowledged_at = now
        runs = self._runs_by_key[_key(spec, end.task)]
        for start in runs.starts:
            self._check(spec, runs, start)

    def _check(self, spec: JobSpec, runs: _Runs, start: _Start) -> None:
        step = spec.steps[start.task.step]
        earlier = runs.ends[: start.earlier_ends]
        counted = [end for end in earlier if end.acknowledged_at is not None]
        done = [end for end in counted if end.kind is EndKind.DONE]
        if done and not step.duplicates_allowed:
            self._break(start, "was started after it was done", done[0])
        if step.service:
            return
        failed = [end for end in counted if end.kind is EndKind.FAILED]
        if step.duplicates_allowed:
            # A copy may have been on its way when the last end was read.
            latest = start.began_at - COPY_GRACE_S
            failed = [end for end in failed if (end.acknowledged_at or 0.0) < latest]
        failed_runs = {end.run if step.gang else (end.run, end.life) for end in failed}
        if len(failed_runs) >= spec.terms.max_attempts:
            self._break(start, "was started after its last attempt", failed[-1])

    def _break(self, start: _Start, rule: str, end: RunEnd) -> None:
        if rule in start.broken_rules:
            return
        start.broken_rules.add(rule)
        self._report(
            f"{start.task} {rule}: run {start.run} began at {start.began_at:.3f} on"
            f" {start.life}, run {end.run} ended at {end.ended_at:.3f} on {end.life}"
        )


def _key(spec: JobSpec, task: TaskId) -> Key:
    return task.step_id if spec.steps[task.step].gang else task
