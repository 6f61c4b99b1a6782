"""Tests of steps that wait for their turn in a round, while answers of advice expire."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from briarrun_cell.jobs import Step, Ticket
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import AdviceTerms, Queue, StepSpec
from briarrun_cell.planner import AdviceRequest, Planner
from briarrun_core.resources import Resources
from tests.cell.test_ledger import (
    NORMAL,
    ManualClock,
    job,
    make_ledger,
)

TERMS = AdviceTerms(decision_s=0.1, per_worker_s=0.001, validity_s=1.5)
ROUND_S = 0.05
WHOLE = Resources(8000, 10)


def _queue(priority: int, *, advised: bool = False, pool: str = "p") -> Queue:
    return msgspec.structs.replace(
        NORMAL,
        name=f"q{priority}{pool}",
        priority=priority,
        pool=pool,
        advice=TERMS if advised else None,
    )


def _step(ledger: Ledger, job_id: str) -> Step:
    (step,) = ledger.jobs_by_id[job_id].steps_by_id.values()
    return step


def _approve(ledger: Ledger, step: Step, names: Sequence[str], until: float) -> None:
    workers = ledger.workers_by_id
    step.advice.tickets_by_worker = {
        workers[name].incarnation_id: Ticket("t", until) for name in names
    }
    step.advice.queried = frozenset(w.incarnation_id for w in workers.values())
    step.advice.answered = True


class _Rounds:
    """Rounds of a planner in a cell whose advice calls take 0.1 s and whose runs end."""

    def __init__(self, ledger: Ledger, approved: dict[str, list[str]]) -> None:
        self.ledger = ledger
        self.planner = Planner(ledger)
        self.placed: dict[str, float] = {}
        self._approved = approved
        self._answers: list[tuple[float, AdviceRequest]] = []

    def run_one(self) -> None:
        ledger = self.ledger
        assert isinstance(ledger.clock, ManualClock)
        ledger.clock.time += ROUND_S
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


def test_tickets_do_not_expire_between_the_turns_of_a_step() -> None:
    """Guards against a step that is asked about in one turn and too late in the next.

    Every other step is approved for two full workers only; eighteen are idle.
    """
    ledger = make_ledger(workers=20)
    full = StepSpec(count=2, need=WHOLE, estimated_ms=1000)
    job(ledger, "full", full, queue=_queue(0, advised=True))
    _approve(ledger, _step(ledger, "full"), ["w0", "w1"], 1e9)
    rounds = _Rounds(ledger, {"zz": ["w5", "w6", "w7"]})
    rounds.run_one()
    assert "full" in rounds.placed
    for number in range(1600):
        spec = job(ledger, f"b{number:04}", queue=_queue(1, advised=True))
        _approve(ledger, _step(ledger, spec.job_id), ["w0", "w1"], 1e9)
    job(ledger, "zz", queue=_queue(2, advised=True))
    for _ in range(round(20.0 / ROUND_S)):
        rounds.run_one()
    assert "zz" in rounds.placed
