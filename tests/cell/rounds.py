"""Rounds of a planner against emulated advice calls, with a clock that tests set."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from briarrun_cell.decisions.planner import AdviceRequest, Planner
from briarrun_cell.jobs import Step, Ticket
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import AdviceTerms, Queue
from briarrun_core.resources import Resources
from tests.cell.test_ledger import NORMAL, ManualClock

TERMS = AdviceTerms(decision_s=0.1, per_worker_s=0.001, validity_s=1.5)
ROUND_S = 0.05
WHOLE = Resources(8000, 10)


def make_queue(priority: int, *, advised: bool = False, pool: str = "p") -> Queue:
    return msgspec.structs.replace(
        NORMAL,
        name=f"q{priority}{pool}",
        priority=priority,
        pool=pool,
        advice=TERMS if advised else None,
    )


def step_of(ledger: Ledger, job_id: str) -> Step:
    (step,) = ledger.jobs_by_id[job_id].steps_by_id.values()
    return step


def approve(ledger: Ledger, step: Step, names: Sequence[str], until: float) -> None:
    workers = ledger.workers_by_id
    step.advice.tickets_by_worker = {
        workers[name].incarnation_id: Ticket("t", until) for name in names
    }
    step.advice.queried = frozenset(w.incarnation_id for w in workers.values())
    step.advice.answered = True


class Rounds:
    """Rounds of a planner in a cell whose advice calls take 0.1 s and whose runs end."""

    def __init__(
        self,
        ledger: Ledger,
        approved: dict[str, list[str]],
        round_s: float = ROUND_S,
    ) -> None:
        self._round_s = round_s
        self.ledger = ledger
        self.planner = Planner(ledger)
        self.placed: dict[str, float] = {}
        self._approved = approved
        self._answers: list[tuple[float, AdviceRequest]] = []

    def run_one(self) -> None:
        ledger = self.ledger
        assert isinstance(ledger.clock, ManualClock)
        ledger.clock.time += self._round_s
        now = ledger.clock.now()
        for worker in ledger.workers_by_id.values():
            worker.contact_at = now
        due = [each for each in self._answers if each[0] <= now]
        self._answers = [each for each in self._answers if each[0] > now]
        for _, request in due:
            step = request.step
            names = self._approved.get(step.job.job_id, [])
            for worker in request.workers:
                if worker.worker_id in names:
                    step.advice.tickets_by_worker[worker.incarnation_id] = Ticket(
                        "t", now + TERMS.validity_s
                    )
            asked = {worker.incarnation_id for worker in request.workers}
            step.advice.queried |= asked
            step.advice.answered = True
            step.advice.request_in_flight = False
        plan = self.planner.plan()
        for request in plan.advice_requests:
            self._answers.append((now + 0.1, request))
        for placement in plan.placements:
            self.placed.setdefault(placement.step.job.job_id, now)

    def end_runs_older_than(self, seconds: float) -> None:
        now = self.ledger.clock.now()
        for worker in self.ledger.workers_by_id.values():
            for run in list(worker.runs_by_id.values()):
                if now - run.since >= seconds - 1e-6:
                    step = self.ledger.step_of(run.task)
                    self.ledger.drop_run(run)
                    if step is not None:
                        step.progress.done = [*step.progress.done, run.task.ordinal]
