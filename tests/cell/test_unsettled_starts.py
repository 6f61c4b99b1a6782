"""Tests of runs whose start orders were refused, or got no answer."""

from __future__ import annotations

import pytest

from briarrun_cell.decisions.planner import Planner
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import EndKind, EndReport, StepSpec
from briarrun_cell.orders import HolderTermGuard, OrderSender
from briarrun_cell.ports import OrderOutcome, WorkerAnswer, Workers
from briarrun_cell.workers import Run
from briarrun_core.resources import Resources
from tests.cell.rounds import step_of
from tests.cell.test_ledger import ManualClock, job, make_ledger, poll

pytestmark = pytest.mark.looptime

UNKNOWN = OrderOutcome.UNKNOWN


class Guard(HolderTermGuard):
    """Guard of a term that goes on."""

    def is_holder(self) -> bool:
        return True

    def may_renew_leases(self) -> bool:
        return True

    def on_fenced(self) -> None:
        raise AssertionError

    def wake(self) -> None:
        return


class _Scripted(Workers):
    """Answers the starts of each task in turn, and every stop."""

    def __init__(self, answers: tuple[OrderOutcome, ...]) -> None:
        self._answers = answers
        self._count_by_task: dict[int, int] = {}

    async def start(
        self, worker: object, order: object, timeout_s: object
    ) -> WorkerAnswer:
        ordinal = order.task.ordinal  # type: ignore[attr-defined]
        count = self._count_by_task.get(ordinal, 0)
        self._count_by_task[ordinal] = count + 1
        return WorkerAnswer(self._answers[min(count, len(self._answers) - 1)])

    async def stop(self, *_: object) -> WorkerAnswer:
        return WorkerAnswer(OrderOutcome.DONE)

    async def poll(self, *_: object) -> WorkerAnswer:
        raise AssertionError


UNSETTLED = {
    "superseded after one without an answer": (UNKNOWN, OrderOutcome.SUPERSEDED),
    "superseded after two without an answer": (
        UNKNOWN,
        UNKNOWN,
        OrderOutcome.SUPERSEDED,
    ),
    "superseded at once": (OrderOutcome.SUPERSEDED,),
    "expired": (UNKNOWN, OrderOutcome.EXPIRED),
    "no capacity": (UNKNOWN, OrderOutcome.NO_CAPACITY),
    "bad ticket": (UNKNOWN, OrderOutcome.BAD_TICKET),
    "rejected": (UNKNOWN, OrderOutcome.REJECTED),
    "busy": (UNKNOWN, OrderOutcome.BUSY),
    "unreachable": (UNKNOWN, OrderOutcome.UNREACHABLE),
    "never answered": (UNKNOWN, UNKNOWN, UNKNOWN),
}
"""Answers after which a run may have started and ended, by what comes last."""


async def _start(
    answers: tuple[OrderOutcome, ...], gang: bool
) -> tuple[Ledger, Planner, OrderSender, tuple[Run, ...]]:
    """Plan a job of two tasks, and order its starts."""
    ledger = make_ledger()
    spec = StepSpec(count=2, need=Resources(1000, 10), estimated_ms=200, gang=gang)
    job(ledger, "j", spec)
    planner = Planner(ledger)
    (placement,) = planner.plan().placements
    sender = OrderSender(_Scripted(answers), ledger, ledger.clock, Guard())
    for run in placement.runs:
        await sender.start(run, placement.step)
    return ledger, planner, sender, placement.runs


@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
@pytest.mark.parametrize("kind", [EndKind.DONE, EndKind.FAILED])
@pytest.mark.parametrize("answers", UNSETTLED.values(), ids=UNSETTLED.keys())
async def test_task_is_not_started_again_before_its_end_is_read(
    answers: tuple[OrderOutcome, ...], kind: EndKind, gang: bool
) -> None:
    """Guards against a second run of a task whose end its worker still lists."""
    ledger, planner, sender, runs = await _start(answers, gang)
    assert planner.plan().placements == []
    for run in ledger.stops:
        await sender.stop(run)
    assert isinstance(ledger.clock, ManualClock)
    ledger.clock.time += 0.1
    for worker in ledger.workers_by_id.values():
        ended = [run for run in runs if run.worker is worker]
        poll(
            ledger,
            worker,
            ended=tuple(
                EndReport(number, run.task, run.number, kind, "")
                for number, run in enumerate(ended, 1)
            ),
        )
    step = step_of(ledger, "j")
    attempts = step.progress.failed_runs_by_index.values()
    assert step.done is (kind is EndKind.DONE)
    assert all(len(each) == 1 for each in attempts)
    assert bool(planner.plan().placements) is (kind is EndKind.FAILED)


@pytest.mark.parametrize("answers", UNSETTLED.values(), ids=UNSETTLED.keys())
async def test_task_that_did_not_start_is_started_again(
    answers: tuple[OrderOutcome, ...],
) -> None:
    """Guards against a task that waits for the end of a run that never was."""
    ledger, _, sender, _ = await _start(answers, gang=False)
    for run in ledger.stops:
        await sender.stop(run)
    assert isinstance(ledger.clock, ManualClock)
    ledger.clock.time += 0.1
    for worker in ledger.workers_by_id.values():
        poll(ledger, worker)
    assert step_of(ledger, "j").pending == {0, 1}


@pytest.mark.parametrize(
    "outcome",
    [
        OrderOutcome.EXPIRED,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.BAD_TICKET,
        OrderOutcome.REJECTED,
        OrderOutcome.BUSY,
        OrderOutcome.UNREACHABLE,
    ],
)
async def test_refused_start_is_planned_again_at_once(outcome: OrderOutcome) -> None:
    """Guards against a task that waits for an inventory although it was refused."""
    ledger, *_ = await _start((outcome,), gang=False)
    assert step_of(ledger, "j").pending == {0, 1}
