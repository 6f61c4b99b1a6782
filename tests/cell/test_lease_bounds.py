"""Tests of the times at which a holder gives up the runs of a worker that is silent."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from briarrun_cell.decisions.planner import Planner
from briarrun_cell.journal import Journal
from briarrun_cell.leases import CLOCK_DRIFT, LATE_CALL_S, LeaseDurations
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import Inventory, RunReport, WorkerEntry
from briarrun_cell.orders import OrderSender, WorkerPoller
from briarrun_cell.ports import OrderOutcome, Record, WorkerAnswer, Workers
from briarrun_cell.registry import WorkerRegistry
from briarrun_cell.workers import Run, RunState, Worker
from tests.cell.rounds import step_of
from tests.cell.test_ledger import ManualClock, entry, job, make_ledger, poll, started
from tests.cell.test_unsettled_starts import Guard
from tools.emulator.cell.cell import FakeDecoder

pytestmark = pytest.mark.looptime

DURATIONS = LeaseDurations(lease_s=3.0, start_s=2.0, longest_s=14.0, granted_s=10.0)
RENEWED_S = DURATIONS.lease_s * (1 + 2 * CLOCK_DRIFT)
GRANTED_S = DURATIONS.granted_s * (1 + 2 * CLOCK_DRIFT)
OLD_S = LATE_CALL_S + GRANTED_S
"""Time from which no call to the life before can have given the present leases."""

UNKNOWN = WorkerAnswer(OrderOutcome.UNKNOWN)
UNREACHABLE = WorkerAnswer(OrderOutcome.UNREACHABLE)


class _Scripted(Workers):
    """Answers polls and starts in turn; the last poll ends the polling.

    ``renewals`` lists whether each poll asked for a lease.
    """

    def __init__(
        self,
        ledger: Ledger,
        polls: tuple[WorkerAnswer, ...] = (),
        starts: tuple[WorkerAnswer, ...] = (),
    ) -> None:
        self._ledger = ledger
        self._polls = list(polls)
        self._starts = list(starts)
        self.renewals: list[bool] = []

    async def start(self, *_: object) -> WorkerAnswer:
        return self._starts.pop(0)

    async def stop(self, *_: object) -> WorkerAnswer:
        return UNKNOWN

    async def poll(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int | None,
        lease_until_ms: int | None,
        *_: object,
    ) -> WorkerAnswer:
        self.renewals.append(lease_until_ms is not None)
        answer = self._polls.pop(0)
        if not self._polls:
            self._ledger.workers_by_id[worker.worker_id].dead = True
        return answer


class _AfterTerm(Guard):
    """Guard of a holder whose term is over, and which renews leases still."""

    def is_holder(self) -> bool:
        return False


def _make_ledger() -> Ledger:
    ledger = make_ledger(workers=1)
    ledger.lease_durations = DURATIONS
    return ledger


def _inventory(born_ms: int, clock_ms: int, *runs: Run) -> WorkerAnswer:
    running = tuple(RunReport(run.task, run.number, "", 0, 0.0) for run in runs)
    return WorkerAnswer(OrderOutcome.DONE, Inventory(clock_ms, born_ms, running, ()))


async def _poll(
    ledger: Ledger, worker: Worker, *answers: WorkerAnswer, guard: Guard | None = None
) -> list[bool]:
    """Let a worker be polled that gives these answers; return which polls renewed."""
    workers = _Scripted(ledger, (*answers, UNREACHABLE))
    journal = cast("Journal", SimpleNamespace())
    poller = WorkerPoller(
        worker, workers, ledger, journal, ledger.clock, guard or Guard()
    )
    await poller.run()
    ledger.workers_by_id[worker.worker_id].dead = False
    return workers.renewals


def _silent_for_s(ledger: Ledger, run: Run) -> float:
    """Let time pass until the run is given up, and return how long that takes."""
    clock = ledger.clock
    assert isinstance(clock, ManualClock)
    began_at = clock.time
    while run.state is not RunState.OVER:
        clock.time += 0.01
        ledger.expire()
    return clock.time - began_at


async def test_run_of_the_next_life_is_kept_for_the_longest_lease() -> None:
    """Guards against a poll to the former life that the next one carries out (TWICE)."""
    ledger = _make_ledger()
    (worker,) = ledger.workers_by_id.values()
    await _poll(ledger, worker, _inventory(2, 100), _inventory(2, 101))
    ledger.set_workers([entry("w0", born_ms=2)], [])
    job(ledger, "j")
    (run,) = started(ledger)
    assert _silent_for_s(ledger, run) == pytest.approx(GRANTED_S, abs=0.02)


@pytest.mark.parametrize(
    ("known_s", "kept_s"),
    [(0.1, GRANTED_S), (OLD_S - 0.1, GRANTED_S), (OLD_S + 0.1, RENEWED_S)],
    ids=["just born", "young", "old"],
)
async def test_new_holder_keeps_runs_by_the_age_of_their_worker(
    known_s: float, kept_s: float
) -> None:
    """Guards against a lease that a call of the former holder has extended (TWICE).

    The former holder may have called a life that had just ended. The clock of a life may
    start at any time.
    """
    ledger = _make_ledger()
    ledger.forget_worker(ledger.workers_by_id["w0"])
    known_since = ledger.clock.now() - known_s
    (worker,) = ledger.set_workers([replace(entry("w0"), known_since=known_since)], [])
    job(ledger, "j")
    run = ledger.place(step_of(ledger, "j"), 0, worker)
    run.state = RunState.STARTING
    await _poll(ledger, worker, _inventory(1, 2_000_000, run))
    assert _silent_for_s(ledger, run) == pytest.approx(kept_s, abs=0.02)


@pytest.mark.parametrize(
    ("answer", "kept_s"),
    [
        (WorkerAnswer(OrderOutcome.DONE, clock_ms=1_000), RENEWED_S),
        (WorkerAnswer(OrderOutcome.DONE), RENEWED_S),
        (WorkerAnswer(OrderOutcome.DONE, clock_ms=300), GRANTED_S),
        (WorkerAnswer(OrderOutcome.DONE, clock_ms=90_000), GRANTED_S),
        (UNKNOWN, GRANTED_S),
    ],
    ids=["this life", "no clock", "earlier clock", "later clock", "no answer"],
)
async def test_run_that_an_unnoticed_life_may_have_started_is_kept(
    answer: WorkerAnswer, kept_s: float
) -> None:
    """Guards against a start that the next life carries out before a cut (TWICE)."""
    ledger = _make_ledger()
    (worker,) = ledger.workers_by_id.values()
    worker.lease.limit(ledger.clock.now() + RENEWED_S)
    job(ledger, "j")
    (placement,) = Planner(ledger).plan().placements
    (run,) = placement.runs
    workers = _Scripted(ledger, starts=(answer,) * 3)
    sender = OrderSender(workers, ledger, ledger.clock, Guard())
    await sender.start(run, placement.step)
    # A worker whose clock cannot be followed still gets its runs started once.
    assert run.unanswered_starts == (3 if answer is UNKNOWN else 0)
    assert run.state is (RunState.STOPPING if answer is UNKNOWN else RunState.RUNNING)
    assert _silent_for_s(ledger, run) == pytest.approx(kept_s, abs=0.02)


async def test_unreachable_worker_keeps_a_run_no_longer_by_further_polls() -> None:
    """Guards against a run that is never given up since polls are still tried (LOST)."""
    ledger = _make_ledger()
    (worker,) = ledger.workers_by_id.values()
    worker.lease.limit(ledger.clock.now() + RENEWED_S)
    job(ledger, "j")
    (placement,) = Planner(ledger).plan().placements
    (run,) = placement.runs
    sender = OrderSender(
        _Scripted(ledger, starts=(UNKNOWN,) * 3), ledger, ledger.clock, Guard()
    )
    await sender.start(run, placement.step)
    clock = ledger.clock
    assert isinstance(clock, ManualClock)
    clock.time += 5.0
    await _poll(ledger, worker, UNREACHABLE, UNREACHABLE)
    assert _silent_for_s(ledger, run) == pytest.approx(GRANTED_S - 5.0, abs=0.02)


@pytest.mark.parametrize(
    ("guard", "renewals"),
    [(Guard(), [True, True, True, True]), (_AfterTerm(), [False, True, True, False])],
    ids=["in its term", "after its term"],
)
async def test_holder_renews_after_its_term_only_in_a_conversation(
    guard: Guard, renewals: list[bool]
) -> None:
    """Guards against a lease that outlasts what the next holder waits for (TWICE)."""
    ledger = _make_ledger()
    (worker,) = ledger.workers_by_id.values()
    poll(ledger, worker)
    answers = (_inventory(1, 1_000), _inventory(1, 1_001), UNKNOWN)
    assert await _poll(ledger, worker, *answers, guard=guard) == renewals


@pytest.mark.parametrize(
    ("first_born_ms", "later", "known_since"),
    [
        (5, [b"5"], 100.0),
        (5, [b"5", b"5"], 100.0),
        (5, [b"6"], 104.0),
        (5, [b"6", b"6"], 104.0),
        (5, [None, b"5"], 108.0),
        (0, [b"0"], 104.0),
    ],
    ids=["repeated", "twice", "next life", "its repeat", "returned", "lives unknown"],
)
@pytest.mark.parametrize("snapshots", [False, True], ids=["tail", "snapshot"])
def test_time_for_which_a_life_of_a_worker_is_known(
    first_born_ms: int, later: list[bytes | None], known_since: float, snapshots: bool
) -> None:
    """Guards against a new life that counts as one that has been known for long."""
    clock, decoder = ManualClock(), FakeDecoder()
    decoder.entries += [entry("w0", born_ms=born_ms) for born_ms in range(7)]
    registry = WorkerRegistry(decoder, clock, 1.0)
    values = [str(first_born_ms).encode(), *later]
    for offset, value in enumerate(values):
        records = [Record("w0", value, offset)]
        if snapshots:
            registry.on_snapshot(records if value is not None else [], 0.0)
        else:
            registry.on_records(records, 0.0)
        clock.time += 4.0
    assert registry.by_id["w0"].known_since == known_since
