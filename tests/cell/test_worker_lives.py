"""Tests of workers that end, restart under their id, or only seem to."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from briarrun_cell.journal import Journal
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import WorkerEntry
from briarrun_cell.orders import WorkerPoller
from briarrun_cell.ports import OrderOutcome, WorkerAnswer, Workers
from briarrun_cell.workers import Run, RunState
from tests.cell.test_ledger import entry, job, make_ledger, started
from tests.cell.test_unsettled_starts import Guard

pytestmark = pytest.mark.looptime


class _Polled(Workers):
    """Answers polls in turn; the last answer ends the polling."""

    def __init__(self, ledger: Ledger, answers: list[WorkerAnswer]) -> None:
        self._ledger = ledger
        self._answers = answers

    async def start(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def stop(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def poll(self, worker: WorkerEntry, *_: object) -> WorkerAnswer:
        answer = self._answers.pop(0)
        if not self._answers:
            self._ledger.workers_by_id[worker.worker_id].dead = True
        return answer


async def _poll(ledger: Ledger, run: Run, answers: list[WorkerAnswer]) -> None:
    journal = cast("Journal", SimpleNamespace())
    workers = _Polled(ledger, [*answers, WorkerAnswer(OrderOutcome.UNKNOWN)])
    poller = WorkerPoller(run.worker, workers, ledger, journal, ledger.clock, Guard())
    await poller.run()


@pytest.mark.parametrize(
    ("outcome", "ended"),
    [
        (OrderOutcome.UNREACHABLE, False),
        (OrderOutcome.UNKNOWN, False),
        (OrderOutcome.BUSY, False),
        (OrderOutcome.CONNECTION_REFUSED, True),
    ],
)
@pytest.mark.parametrize("left", [False, True], ids=["registered", "left"])
async def test_draining_worker_that_is_cut_off_keeps_its_runs(
    outcome: OrderOutcome, ended: bool, left: bool
) -> None:
    """Guards against a task that runs twice since its worker was cut off while draining.

    Its entry expires although the process goes on.
    """
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (run,) = started(ledger)
    drains = replace(entry("w0"), draining=True)
    ledger.set_workers([drains], [])
    if left:
        ledger.set_workers([], [])
    await _poll(ledger, run, [WorkerAnswer(outcome)])
    assert (run.state is RunState.OVER) is (left and ended)
