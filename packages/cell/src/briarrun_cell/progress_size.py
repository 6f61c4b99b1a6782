"""Bounds on the size of a job's progress, so that each record fits into the store. No I/O.

Load pattern: one job of ten thousand small tasks that would all run at once. Its progress
names the worker of each, and the store takes no record above its limit. Therefore only so
many tasks of a job are in flight that their progress fits, whatever becomes of them. A job
that cannot be bounded in this way, e.g. a gang that is too wide, is refused at submission.
"""

from __future__ import annotations

from dataclasses import dataclass

from briarrun_cell.model import JobSpec

FIXED_BYTES = 4_096
"""Size of what is stored once for a job, with a margin for the lengths of a record."""

STEP_BYTES = 160
"""Size of a step without tasks in flight, and of its share of the done occurrences."""

TASK_BYTES = 80
"""Size of the assignment of a task, of its place among the failed ones and those with
checkpoints, and of the ranges of done tasks beside it. Ids of workers have 36 bytes."""

ATTEMPT_BYTES = 24
"""Size of the number of a failed run."""

CHECKPOINT_SHARE = 0.2
"""Fraction of a record that the checkpoints of a job may take."""

OPEN_SHARE = 0.6
"""Fraction of a record that open steps may take before further occurrences wait."""


class JobTooLarge(Exception):  # noqa: N818 - property of the job, not a bug
    """No holder could store the progress of a job."""


@dataclass(frozen=True, slots=True)
class ProgressBounds:
    """Bounds for the progress of jobs, from the maximum size of a record in bytes."""

    record_bytes: int

    @property
    def checkpoint_bytes(self) -> int:
        """Maximum size of all checkpoints of a job."""
        return int(CHECKPOINT_SHARE * self.record_bytes)

    def admits_occurrence(self, spec: JobSpec, open_steps: int) -> bool:
        """Return whether another occurrence fits beside the open steps of a job."""
        steps_bytes = (open_steps + len(spec.steps)) * STEP_BYTES
        return steps_bytes <= OPEN_SHARE * (self.record_bytes - self.checkpoint_bytes)

    def max_tasks(self, open_steps: int, max_attempts: int) -> int:
        """Return the number of tasks of a job that may be in flight, at least one."""
        left = self._left_for_tasks(open_steps)
        return max(1, left // (TASK_BYTES + max(1, max_attempts) * ATTEMPT_BYTES))

    def check(self, spec: JobSpec) -> None:
        """Raise ``JobTooLarge`` if the progress of a job may exceed a record.

        Tasks of a gang are in flight together, and so are all tasks that last.
        """
        together = max(
            (step.count for step in spec.steps if step.gang and not step.service),
            default=0,
        )
        lasting = sum(step.count for step in spec.steps if step.service)
        open_steps = len(spec.steps)
        if lasting:
            # The occurrences of a schedule that lasts do not end.
            open_steps *= spec.runs
            lasting *= spec.runs
        tasks = max(1, together + lasting)
        limit = self.max_tasks(open_steps, spec.terms.max_attempts)
        admitted = self.admits_occurrence(spec, open_steps - len(spec.steps))
        too_many_open = bool(lasting) and spec.runs > 1 and not admitted
        if tasks > limit or too_many_open or self._left_for_tasks(open_steps) <= 0:
            raise JobTooLarge(
                f"job of {tasks} tasks that run together in {open_steps} steps; at most "
                f"{limit} with that many steps and {spec.terms.max_attempts} attempts"
            )

    def _left_for_tasks(self, open_steps: int) -> int:
        """Return the size that open steps and checkpoints leave for tasks in flight."""
        left = self.record_bytes - FIXED_BYTES - self.checkpoint_bytes
        return left - open_steps * STEP_BYTES
