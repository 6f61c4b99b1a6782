"""Replay that shows how long gangs wait, and how many cores are idle meanwhile.

Load pattern: wide gangs on a cell whose capacity is scarce. Gangs of the most urgent
queue are left out, since nothing is reserved for them.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from briarrun_cell.model import StepId
from tools.emulator.cell.load import LoadReplay
from tools.emulator.cell.workload import Load


@dataclass(slots=True)
class GangFigures:
    """What a replay shows of gangs.

    ``waits_s`` are the times from the moment at which a gang was due to its start.
    ``idle_core_s`` are the idle core-seconds in the ``blocked_s`` seconds in which a gang
    was blocked; ``waiting_s`` has the seconds of waiting of all gangs by reason.
    """

    waits_s: list[float] = field(default_factory=list)
    idle_core_s: float = 0.0
    blocked_s: float = 0.0
    waiting_s: defaultdict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    @property
    def idle_cores(self) -> float:
        """Mean number of idle cores while a gang is blocked."""
        return self.idle_core_s / self.blocked_s if self.blocked_s else 0.0


class GangReplay(LoadReplay):
    """Replay that also measures the waits of gangs; see ``figures``."""

    def __init__(self, load: Load, seed: int = 1) -> None:
        super().__init__(load, seed)
        self.figures = GangFigures()
        self.due_at_by_gang: dict[StepId, float] = {}
        self._looked_at = 0.0

    def _run_round(self) -> None:
        now, ledger = self._clock.now(), self._ledger
        passed_s, self._looked_at = now - self._looked_at, now
        blocked = False
        for job in ledger.jobs_by_id.values():
            if job.queue.priority == 0 or job.final:
                continue
            for step in job.ready_steps(ledger.clock.wall_ms()):
                if not step.spec.gang:
                    continue
                self.due_at_by_gang.setdefault(step.step_id, now)
                blocked = blocked or step.blocked_since is not None
                if step.wait is not None:
                    self.figures.waiting_s[step.wait.reason.value] += passed_s
        if blocked:
            free = sum(w.free().cores for w in ledger.workers_by_id.values())
            self.figures.idle_core_s += free / 1000 * passed_s
            self.figures.blocked_s += passed_s
        super()._run_round()
        for step_id in [each for each in self.due_at_by_gang if self._started(each)]:
            due_at = self.due_at_by_gang.pop(step_id)
            self.figures.waits_s.append(now - due_at)

    def _started(self, step_id: StepId) -> bool:
        job = self._ledger.jobs_by_id.get(step_id.job_id)
        step = job.steps_by_id.get(step_id) if job else None
        return step is None or bool(step.active) or step.done
