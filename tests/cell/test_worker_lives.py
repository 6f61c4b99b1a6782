"""Tests of workers that end, restart under their id, or only seem to."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from briarrun_cell.decisions.planner import Planner
from briarrun_cell.journal import Journal
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import EndKind, EndReport, Inventory, RunReport, WorkerEntry
from briarrun_cell.orders import OrderSender, WorkerPoller
from briarrun_cell.ports import OrderOutcome, WorkerAnswer, Workers
from briarrun_cell.reconciler import MAX_MISSING_POLLS, InventoryReconciler
from briarrun_cell.workers import Run, RunState, Worker
from briarrun_core.resources import Resources
from tests.cell.rounds import step_of
from tests.cell.test_ledger import TERMS, entry, job, make_ledger, poll, started
from tests.cell.test_unsettled_starts import Guard

pytestmark = pytest.mark.looptime


class _Polled(Workers):
    """Answers polls in turn; the last answer ends the polling.

    ``calls`` lists the token and the acknowledged number of each poll.
    """

    def __init__(self, ledger: Ledger, answers: list[WorkerAnswer]) -> None:
        self._ledger = ledger
        self._answers = answers
        self.calls: list[tuple[int, int | None]] = []

    async def start(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def stop(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def poll(
        self, worker: WorkerEntry, token: int, acknowledged: int | None, *_: object
    ) -> WorkerAnswer:
        self.calls.append((token, acknowledged))
        answer = self._answers.pop(0)
        if not self._answers:
            self._ledger.workers_by_id[worker.worker_id].dead = True
        return answer


async def _poll(
    ledger: Ledger, worker: Worker, answers: list[WorkerAnswer]
) -> list[tuple[int, int | None]]:
    """Poll a worker that gives these answers; return what the polls said."""
    journal = cast("Journal", SimpleNamespace())
    workers = _Polled(ledger, [*answers, WorkerAnswer(OrderOutcome.UNKNOWN)])
    poller = WorkerPoller(worker, workers, ledger, journal, ledger.clock, Guard())
    await poller.run()
    return workers.calls


@pytest.mark.parametrize(
    "outcome",
    [
        OrderOutcome.UNREACHABLE,
        OrderOutcome.UNKNOWN,
        OrderOutcome.BUSY,
        OrderOutcome.CONNECTION_REFUSED,
    ],
)
@pytest.mark.parametrize("left", [False, True], ids=["registered", "left"])
async def test_draining_worker_that_is_cut_off_keeps_its_runs(
    outcome: OrderOutcome, left: bool
) -> None:
    """Guards against a task that runs twice since its worker was cut off while draining.

    Its entry expires although the process goes on, and the cut may refuse connections.
    """
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (run,) = started(ledger)
    drains = replace(entry("w0"), draining=True)
    ledger.set_workers([drains], [])
    if left:
        ledger.set_workers([], [])
    await _poll(ledger, run.worker, [WorkerAnswer(outcome)])
    assert run.state is not RunState.OVER


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


def _inventory(
    born_ms: int = 1,
    running: tuple[RunReport, ...] = (),
    ended: tuple[EndReport, ...] = (),
) -> WorkerAnswer:
    inventory = Inventory(1_000, born_ms, running, ended)
    return WorkerAnswer(OrderOutcome.DONE, inventory)


@pytest.mark.parametrize(
    ("answer", "continued"),
    [
        (_inventory(), True),
        (WorkerAnswer(OrderOutcome.UNKNOWN), False),
        (WorkerAnswer(OrderOutcome.UNREACHABLE), False),
        (WorkerAnswer(OrderOutcome.CONNECTION_REFUSED), False),
        (WorkerAnswer(OrderOutcome.CONNECTION_CLOSED), False),
        (WorkerAnswer(OrderOutcome.BUSY), False),
        (WorkerAnswer(OrderOutcome.REJECTED), False),
    ],
    ids=lambda value: str(value.outcome) if isinstance(value, WorkerAnswer) else "",
)
async def test_next_life_is_not_told_to_forget_its_ends(
    answer: WorkerAnswer, continued: bool
) -> None:
    """Guards against a number of ends of one life that the next one takes for its own.

    After a poll that was not answered the worker may have restarted.
    """
    ledger = make_ledger(workers=0)
    (worker,) = ledger.set_workers([entry("w0")], [])
    worker.applied = worker.acknowledged = 7
    calls = await _poll(ledger, worker, [_inventory(), answer])
    assert calls == [
        (worker.token, None),
        (worker.token, 7),
        (worker.token, 7 if continued else None),
    ]


def test_tokens_rise_from_term_to_term() -> None:
    """Guards against a new holder whose calls a worker refuses for the last one's."""
    earlier = make_ledger(workers=100)
    later = Ledger(
        earlier.clock, earlier.epoch + 1, earlier.config, TERMS, lambda _: None
    )
    (worker,) = later.set_workers([entry("w0")], [])
    assert worker.token > max(each.token for each in earlier.workers_by_id.values())


class _Lives(Workers):
    """Two lives of a worker under one id; the next one begins with the second poll.

    ``late`` is a start order that the next life carries out after a number of its polls.
    """

    def __init__(self, ledger: Ledger, run: Run, late_after: int) -> None:
        self._ledger = ledger
        self._run = run
        self._late_after = late_after
        self._order_token = run.worker.token
        self._token = 0
        self._polls = 0
        self.ran_late = False

    async def start(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def stop(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def poll(
        self, worker: WorkerEntry, token: int, acknowledged: int | None, *_: object
    ) -> WorkerAnswer:
        self._polls += 1
        if self._polls == 1:
            return WorkerAnswer(OrderOutcome.UNKNOWN)
        assert not acknowledged
        self._token = max(self._token, token)
        lived = self._polls - 2
        report = RunReport(self._run.task, self._run.number, "", 0, 0.0)
        answer = _inventory(2, running=(report,) if self.ran_late else ())
        if lived == self._late_after and self._order_token >= self._token:
            self.ran_late = True
        if lived == 4:
            self._ledger.workers_by_id[worker.worker_id].dead = True
        return answer


@pytest.mark.parametrize("late_after", range(4))
async def test_order_to_an_earlier_life_is_refused_once_its_task_is_planned_again(
    late_after: int,
) -> None:
    """Guards against a task that runs twice since a restarted worker got a late order."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (run,) = started(ledger)
    lives = _Lives(ledger, run, late_after)
    journal = cast("Journal", SimpleNamespace())
    poller = WorkerPoller(run.worker, lives, ledger, journal, ledger.clock, Guard())
    await poller.run()
    step = step_of(ledger, "j")
    assert [each.number for each in step.runs()] == [run.number] * lives.ran_late
    assert step.pending == (set() if lives.ran_late else {0})
    assert lives.ran_late is (late_after == 0)


@pytest.mark.parametrize("registered", [False, True], ids=["by a poll", "by its entry"])
@pytest.mark.parametrize("listed_by", ["nobody", "running", "done", "failed"])
@pytest.mark.parametrize("unanswered", [0, 1])
@pytest.mark.parametrize("listed_before", [False, True])
async def test_run_that_may_have_reached_the_next_life_waits_for_its_inventory(
    registered: bool, listed_by: str, unanswered: int, listed_before: bool
) -> None:
    """Guards against a second run of a task that the restarted worker runs or has run."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (run,) = started(ledger)
    run.unanswered_starts = unanswered
    running = (RunReport(run.task, run.number, "", 0, 0.0),)
    if listed_before:
        poll(ledger, run.worker, running=running)
    if registered:
        (worker,) = ledger.set_workers([entry("w0", born_ms=2)], [])
        certainly_over = listed_before and not unanswered
        assert (run.state is RunState.OVER) is certainly_over
    else:
        worker = run.worker
    ends = {
        "done": (EndReport(1, run.task, run.number, EndKind.DONE, ""),),
        "failed": (EndReport(1, run.task, run.number, EndKind.FAILED, ""),),
    }
    answer = _inventory(
        2, running if listed_by == "running" else (), ends.get(listed_by, ())
    )
    # The inventory that shows the restart comes before the token that settles it.
    await _poll(ledger, worker, [answer] if registered else [answer, answer])
    step = step_of(ledger, "j")
    attempts = sum(map(len, step.progress.failed_runs_by_index.values()))
    assert step.done is (listed_by == "done")
    assert attempts == (1 if listed_by == "failed" else 0)
    assert step.pending == (set() if listed_by in ("running", "done") else {0})
    runs = [each.number for each in step.runs()]
    assert runs == ([run.number] if listed_by == "running" else [])


async def test_next_life_gets_no_runs_before_its_entry_is_read() -> None:
    """Guards against runs on a restarted worker that is smaller than it was before."""
    ledger = make_ledger(workers=1)
    (worker,) = ledger.workers_by_id.values()
    await _poll(ledger, worker, [_inventory(2), _inventory(2)])
    (worker,) = ledger.workers_by_id.values()
    worker.dead = False
    job(ledger, "j")
    assert started(ledger) == []
    ledger.set_workers([entry("w0", born_ms=2, cores=500)], [])
    assert worker.free() == Resources(500, 10_000)
    ledger.set_workers([entry("w0", born_ms=2)], [])
    assert len(started(ledger)) == 1


class _Listing(Workers):
    """Answers no start first, then refuses it after an inventory has listed the run."""

    def __init__(self, ledger: Ledger, run: Run, refusal: OrderOutcome) -> None:
        self._ledger = ledger
        self._run = run
        self._refusal = refusal

    async def start(self, *_: object) -> WorkerAnswer:
        run = self._run
        if not run.unanswered_starts:
            return WorkerAnswer(OrderOutcome.UNKNOWN)
        report = RunReport(run.task, run.number, "", 0, 0.0)
        poll(self._ledger, run.worker, running=(report,))
        return WorkerAnswer(self._refusal)

    async def stop(self, *_: object) -> WorkerAnswer:
        raise AssertionError

    async def poll(self, *_: object) -> WorkerAnswer:
        raise AssertionError


@pytest.mark.parametrize(
    "refusal",
    [
        OrderOutcome.SUPERSEDED,
        OrderOutcome.EXPIRED,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.BAD_TICKET,
        OrderOutcome.BUSY,
        OrderOutcome.UNREACHABLE,
    ],
)
async def test_listed_run_is_left_alone_when_its_repeated_order_is_refused(
    refusal: OrderOutcome,
) -> None:
    """Guards against a run that is stopped, or planned again, while it is at work."""
    ledger = make_ledger(workers=1)
    job(ledger, "j")
    (placement,) = Planner(ledger).plan().placements
    (run,) = placement.runs
    workers = _Listing(ledger, run, refusal)
    await OrderSender(workers, ledger, ledger.clock, Guard()).start(run, placement.step)
    assert run.state is RunState.RUNNING
    assert ledger.stops == [] and placement.step.pending == set()
