"""Tests of reservations of workers for gangs on a full cell."""

from __future__ import annotations

import math

import pytest

from briarrun_cell.decisions import reservations
from briarrun_cell.decisions.planner import Planner
from briarrun_cell.decisions.reservations import (
    MAX_SLIP_S,
    MAX_SLIPS,
    Outlook,
    earliest_start,
    expected_end,
    first_workers,
    may_backfill,
    slips_too_much,
    tickets_due,
)
from briarrun_cell.explanation import explain_job
from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.metrics import Metrics
from briarrun_cell.model import StepSpec, TaskId
from briarrun_cell.workers import Run, RunState
from briarrun_core.resources import NOTHING, Resources
from tests.cell.rounds import WHOLE, Rounds, approve, make_queue, step_of
from tests.cell.test_ledger import ManualClock, job, make_ledger, started
from tools.emulator.cell.gang_load import GangReplay
from tools.emulator.cell.hard_loads import scarce_load, smaller
from tools.emulator.cell.load import LoadResult

NOW = 100.0
GANG = StepSpec(count=4, need=WHOLE, estimated_ms=1000, gang=True)
HALF = Resources(4000, 10)


def _run(ledger: Ledger, state: RunState, percent: int, *, resumed: bool) -> Run:
    worker = ledger.workers_by_id["w0"]
    task = TaskId("j", 0, 0, 0)
    run = Run(task, 1, worker, "c", WHOLE, WHOLE, state, since=NOW - 2.0)
    run.percent, run.percent_at, run.resumed = percent, NOW - 1.0, resumed
    return run


@pytest.mark.parametrize(
    ("state", "percent", "resumed", "service", "end"),
    [
        (RunState.RUNNING, 0, False, False, NOW + 4.0),
        (RunState.STARTING, 0, False, False, NOW + 4.1),
        (RunState.RUNNING, 24, False, False, NOW - 2.0 + 100 / 24.5),
        (RunState.RUNNING, 50, True, False, NOW + 2.0),
        (RunState.RUNNING, 80, False, False, NOW + 0.2),
        (RunState.STOPPING, 50, False, False, NOW),
        (RunState.RUNNING, 50, False, True, math.inf),
    ],
    ids=[
        "no progress yet",
        "not started",
        "extrapolated",
        "from a checkpoint",
        "longer than expected",
        "being stopped",
        "service",
    ],
)
def test_expected_end_of_a_run(
    state: RunState, percent: int, resumed: bool, service: bool, end: float
) -> None:
    """Guards against a reservation that trusts an estimate more than the progress."""
    run = _run(make_ledger(), state, percent, resumed=resumed)
    spec = StepSpec(need=WHOLE, estimated_ms=3000, service=service)
    assert expected_end(run, spec, 2.0, NOW) == pytest.approx(end)


@pytest.mark.parametrize(
    ("releases", "count", "start_at", "tasks"),
    [
        ([(), ()], 2, None, {}),
        ([((NOW + 1, WHOLE),), ((NOW + 3, WHOLE),)], 1, NOW + 1, {"w0": 1}),
        ([((NOW + 1, WHOLE),), ((NOW + 3, WHOLE),)], 2, NOW + 3, {"w0": 1, "w1": 1}),
        ([((NOW + 1, HALF), (NOW + 2, HALF)), ()], 1, NOW + 2, {"w0": 1}),
        ([((math.inf, WHOLE),), ((NOW + 3, WHOLE),)], 2, None, {}),
    ],
    ids=["never", "first", "both", "in two parts", "beside a service"],
)
def test_earliest_start_of_a_gang(
    releases: list[tuple[tuple[float, Resources], ...]],
    count: int,
    start_at: float | None,
    tasks: dict[str, int],
) -> None:
    """Guards against a start before all tasks have capacity at one moment."""
    ledger = make_ledger(2)
    gang = StepSpec(count=count, need=WHOLE, estimated_ms=1000, gang=True)
    job(ledger, "gang", gang)
    outlooks = {
        worker: Outlook(NOTHING, each)
        for worker, each in zip(ledger.workers_by_id.values(), releases, strict=True)
    }
    found = earliest_start(step_of(ledger, "gang"), outlooks, NOW)
    assert (found[0] if found else None) == start_at
    chosen = first_workers(found[1], count) if found else {}
    assert {worker.worker_id: n for worker, n in chosen.items()} == tasks


@pytest.mark.parametrize(
    ("ends_at", "start_at", "may"),
    [(2.0, 3.0, True), (3.0, 3.0, True), (3.1, 3.0, False), (math.inf, 3.0, False)],
)
def test_only_steps_that_end_in_time_use_the_gap(
    ends_at: float, start_at: float, may: bool
) -> None:
    """Guards against backfill that delays the gang."""
    assert may_backfill(ends_at, start_at) is may


@pytest.mark.parametrize(
    ("slips", "slipped_s", "too_much"),
    [
        (0, 0.0, False),
        (MAX_SLIPS, MAX_SLIP_S, False),
        (MAX_SLIPS + 1, 0.0, True),
        (0, MAX_SLIP_S + 0.1, True),
    ],
)
def test_reservation_that_slips_is_given_up(
    slips: int, slipped_s: float, too_much: bool
) -> None:
    """Guards against a wrong estimate that holds others back for ever."""
    assert slips_too_much(slips, slipped_s) is too_much


@pytest.mark.parametrize(
    ("start_at", "valid_until", "due"),
    [
        (NOW + 3.0, NOW, False),
        (NOW + 0.7, NOW, True),
        (NOW + 0.7, NOW + 2.0, False),
        (NOW, NOW + 0.1, True),
    ],
    ids=["too early", "in time", "still valid", "about to expire"],
)
def test_tickets_are_requested_for_the_start(
    start_at: float, valid_until: float, due: bool
) -> None:
    """Guards against tickets that expire before the gang starts."""
    ledger = make_ledger(2)
    job(ledger, "gang", GANG, queue=make_queue(1, advised=True))
    step = step_of(ledger, "gang")
    approve(ledger, step, ["w0", "w1"], valid_until)
    workers = ledger.workers_by_id.values()
    assert tickets_due(step.advice, workers, start_at, 0.5, NOW) is due


def _blocked_gang(ledger: Ledger) -> Step:
    """Enter a gang that needs all but two workers; half of the cell is in use."""
    busy = StepSpec(count=3, need=WHOLE, estimated_ms=3000)
    job(ledger, "busy", busy, queue=make_queue(1))
    assert len(started(ledger)) == 3
    job(ledger, "gang", GANG, queue=make_queue(1))
    return step_of(ledger, "gang")


def test_gang_with_a_reservation_on_a_lost_worker_gets_another() -> None:
    """Guards against a gang that waits for a worker which is gone."""
    ledger = make_ledger(6)
    step = _blocked_gang(ledger)
    planner = Planner(ledger)
    planner.plan()
    first = planner.reservations.of(step)
    assert first is not None
    lost, *_ = first.tasks_by_worker
    ledger.on_worker_dead(lost, "test")
    planner.plan()
    second = planner.reservations.of(step)
    assert second is not None and len(second.tasks_by_worker) == 4
    assert lost not in second.tasks_by_worker and lost not in second.workers


def test_next_holder_makes_its_own_reservation() -> None:
    """Guards against a reservation that is lost, or kept, with its holder."""
    ledger = make_ledger(6)
    step = _blocked_gang(ledger)
    Planner(ledger).plan()
    successor = Planner(ledger)
    successor.plan()
    assert successor.reservations.of(step) is not None


def test_explanation_tells_when_a_gang_is_expected_to_start() -> None:
    """Guards against a gang of which an operator sees only that it waits."""
    ledger = make_ledger(6)
    _blocked_gang(ledger)
    Planner(ledger).plan()
    explained = explain_job(ledger, "gang", None, {})
    assert explained is not None
    (step,) = explained.steps
    assert "expected to start in 3.0 s on 4 workers" in step.text


def test_metrics_count_reservations() -> None:
    """Guards against counters that are set to the numbers of the last round."""
    metrics = Metrics()
    metrics.set_reservations(2, given_up=1, fulfilled=0)
    metrics.set_reservations(1, given_up=0, fulfilled=3)
    lines = metrics.render().decode().splitlines()
    assert "briarrun_reservations 1.0" in lines
    assert 'briarrun_ended_reservations_total{outcome="given-up"} 1.0' in lines
    assert 'briarrun_ended_reservations_total{outcome="fulfilled"} 3.0' in lines


def test_gang_that_never_fits_gives_way() -> None:
    """Guards against less urgent work that waits for a wrong estimate."""
    ledger = make_ledger(4)
    rounds = Rounds(ledger, {})
    endless = StepSpec(count=3, need=WHOLE, estimated_ms=300)
    job(ledger, "endless", endless, queue=make_queue(1))
    rounds.run_one()
    job(ledger, "gang", GANG, queue=make_queue(1))
    job(ledger, "zz", queue=make_queue(2))
    assert isinstance(ledger.clock, ManualClock)
    while "zz" not in rounds.placed and ledger.clock.time < NOW + 20.0:
        rounds.run_one()
    assert "gang" not in rounds.placed
    assert rounds.planner.reservations.counts.given_up == 1
    assert rounds.placed["zz"] - NOW <= MAX_SLIP_S + 1.0


def _replay(seeds: range) -> list[LoadResult]:
    load = smaller(scarce_load(), lasts_s=16.0)
    return [GangReplay(load, seed).run(8.0) for seed in seeds]


def test_gangs_on_a_full_cell_are_served_no_worse(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reservations that cost callers more than they bring.

    Compares with the same load without reservations.
    """
    seeds = range(1, 3)
    with_part = _replay(seeds)
    monkeypatch.setattr(reservations, "MAX_RESERVATIONS", 0)
    without = _replay(seeds)
    assert sum(r.earned_fraction for r in with_part) >= sum(
        r.earned_fraction for r in without
    )
