"""Tests of workers that end, restart under their id, or only seem to."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from briarrun_cell.journal import Journal
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import Inventory, WorkerEntry
from briarrun_cell.orders import WorkerPoller
from briarrun_cell.ports import OrderOutcome, WorkerAnswer, Workers
from briarrun_cell.reconciler import MAX_MISSING_POLLS, InventoryReconciler
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


@pytest.mark.parametrize("lists_all_ends", [False, True])
@pytest.mark.parametrize("inventories", [1, 2, 5])
def test_run_whose_end_is_on_a_later_page_is_not_missing(
    inventories: int, lists_all_ends: bool
) -> None:
    """Guards against a second run of a task whose end did not fit into the inventory."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (run,) = started(ledger)
    reconciler = InventoryReconciler(ledger)
    for _ in range(inventories):
        inventory = Inventory(1_000, 1, (), (), lists_all_ends)
        reconciler.on_inventory(run.worker, inventory, ledger.clock.now())
    missing = lists_all_ends and inventories >= MAX_MISSING_POLLS
    assert (run.state is RunState.OVER) is missing


def test_worker_is_known_once_it_has_listed_all_ends() -> None:
    """Guards against a task that a new holder starts beside an end on a later page."""
    ledger = make_ledger(workers=0)
    (worker,) = ledger.set_workers([entry("w0")], [])
    reconciler = InventoryReconciler(ledger)
    for lists_all_ends in (False, True):
        inventory = Inventory(1_000, 1, (), (), lists_all_ends)
        reconciler.on_inventory(worker, inventory, ledger.clock.now())
        assert worker.inventory_known is lists_all_ends
