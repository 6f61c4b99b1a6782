"""Tests of the order of waiting steps while demand exceeds the capacity."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from briarrun_cell.decisions.customer_shares import (
    MAX_LEVEL,
    WINDOW_S,
    CustomerShares,
)
from briarrun_cell.decisions.planner import Planner
from briarrun_cell.decisions.ranking import (
    AGED_FACTOR,
    AGEING_INTERVAL_S,
    DeadlineOrder,
    StepOrder,
)
from briarrun_cell.decisions.run_times import RunTimeRatios
from briarrun_cell.explanation import explain_job
from briarrun_cell.job_table import JobEntry, JobTable
from briarrun_cell.ledger import Ledger
from briarrun_cell.metrics import Metrics
from briarrun_cell.model import CellConfig, Customer, JobSpec, RunReport, StepSpec
from briarrun_cell.wait_monitor import WaitMonitor
from briarrun_core.resources import Resources
from tests.cell.test_ledger import (
    NORMAL,
    ManualClock,
    make_ledger,
    poll,
    started,
)
from tools.emulator.cell.hard_loads import scarce_load, smaller, uneven_load
from tools.emulator.cell.load import LoadReplay, LoadResult

WHOLE = Resources(100, 100)
CUSTOMERS = {
    "large": Customer("large", (), 9.0, Resources()),
    "small": Customer("small", (), 1.0, Resources()),
}
CONFIG = CellConfig(1, customers_by_name=CUSTOMERS)
SEEDS = range(1, 7)
"""Seeds of the replays. With three, the means of two equal orders differ by 0.01."""

TASK = StepSpec(need=Resources(4000, 1), estimated_ms=1000)


def _ledger(workers: int = 1) -> Ledger:
    """Return the ledger of a cell with a large and a small customer."""
    ledger = make_ledger(workers)
    config = replace(ledger.config, version=2, customers_by_name=CUSTOMERS)
    ledger.set_config(config)
    return ledger


def _submit(
    ledger: Ledger, job_id: str, customer: str, step: StepSpec = TASK, age_s: float = 0
) -> None:
    accepted_ms = ledger.clock.wall_ms() - int(age_s * 1000)
    spec = JobSpec(
        job_id=job_id,
        terms=NORMAL,
        customer=customer,
        payload="",
        steps=(step,),
        accepted_ms=accepted_ms,
    )
    ledger.set_job(job_id, JobEntry(spec=spec))


def _order(ledger: Ledger, planner: Planner | None = None) -> list[str]:
    """Return the waiting jobs by rank, after a round without free capacity."""
    planner = planner or Planner(ledger)
    planner.plan()
    waiting = [
        step
        for job in ledger.jobs_by_id.values()
        for step in job.ready_steps(ledger.clock.wall_ms())
    ]
    ranked = sorted(waiting, key=lambda s: (planner.order.rank(s), s.step_id))
    return [step.job.job_id for step in ranked]


@pytest.mark.parametrize(
    ("used", "level"), [(0, -MAX_LEVEL), (5, -2), (10, 0), (20, 2), (100, MAX_LEVEL)]
)
def test_level_follows_use_relative_to_the_share(used: int, level: int) -> None:
    """Guards against customers that are ranked by use without regard to their weight."""
    shares = CustomerShares()
    shares.update(0.0, CONFIG, {"small": Resources(used, 0)}, WHOLE)
    assert shares.level("small") == level


def test_level_is_stable_at_the_border_of_two_levels() -> None:
    """Guards against an order that flips each round and wastes advice calls."""
    shares = CustomerShares()
    levels = []
    for number in range(400):
        used = Resources(11 + number % 2 * 2, 0)
        shares.update(number * 0.04, CONFIG, {"small": used}, WHOLE)
        levels.append(shares.level("small"))
    changes = sum(a != b for a, b in itertools.pairwise(levels))
    assert changes <= 1  # In the first round there is no window yet.


def test_use_counts_after_its_end_and_fades() -> None:
    """Guards against a customer that is served first again as soon as a burst ends."""
    shares = CustomerShares()
    shares.update(0.0, CONFIG, {}, WHOLE)
    shares.update(WINDOW_S, CONFIG, {"small": Resources(80, 0)}, WHOLE)
    shares.update(WINDOW_S + 1, CONFIG, {}, WHOLE)
    assert shares.level("small") > 0
    shares.update(9 * WINDOW_S, CONFIG, {}, WHOLE)
    assert shares.level("small") < 0


@pytest.mark.parametrize("estimated_s", [0.4, 4.0, 7.6])
def test_rough_estimates_count_little(estimated_s: float) -> None:
    """Guards against jobs that look late because their estimates are far too low."""
    learnt = RunTimeRatios()
    for number in range(100):
        error = 1.9 if number % 2 else 0.1
        learnt.note("q", 4.0, 4.0 * error)
    assert 3.0 <= estimated_s * learnt.expected("q", estimated_s)[0] <= 5.0


def test_customer_below_its_share_comes_first_while_demand_exceeds_capacity() -> None:
    """Guards against a small customer behind the backlog of a large one."""
    ledger = _ledger()
    for number in range(6):
        _submit(ledger, f"a{number}", "large")
    started(ledger)
    _submit(ledger, "z", "small")
    assert _order(ledger)[0] == "z"


def test_aged_job_goes_first_in_its_turn() -> None:
    """Guards against a job that never ends while the overload lasts."""
    ledger = _ledger()
    clock = ledger.clock
    assert isinstance(clock, ManualClock)
    big = StepSpec(count=9, need=Resources(4000, 1), estimated_ms=1000)
    for number in range(4):
        _submit(ledger, f"a{number}", "small")
    started(ledger)
    useful_s = 3 * 2.0
    for job_id in ("old", "older"):
        age_s = AGED_FACTOR * useful_s + (1 if job_id == "old" else 2)
        _submit(ledger, job_id, "large", big, age_s)
    planner = Planner(ledger)
    assert _order(ledger, planner)[0] == "older"
    ledger.jobs_by_id.pop("older")
    clock.time += 0.1
    assert _order(ledger, planner)[0] != "old"
    clock.time += AGEING_INTERVAL_S
    _submit(ledger, "new", "small")
    assert _order(ledger, planner)[0] == "old"


def test_new_holder_orders_by_what_runs() -> None:
    """Guards against an order that is lost with the holder in the middle of an overload."""
    ledger = _ledger()
    for number in range(6):
        _submit(ledger, f"a{number}", "large")
    _submit(ledger, "z", "small")
    running = [
        RunReport(step.step_id.task(0), 1, "", 10, 0.0)
        for job_id in ("a0", "a1")
        for step in ledger.jobs_by_id[job_id].steps_by_id.values()
    ]
    assert _order(ledger)[0] != "z"  # Before the worker has answered.
    poll(ledger, ledger.workers_by_id["w0"], running=tuple(running))
    assert _order(ledger)[0] == "z"


def test_operator_sees_shares() -> None:
    """Guards against an order that operators cannot follow."""
    ledger, metrics = _ledger(), Metrics()
    for number in range(6):
        _submit(ledger, f"a{number}", "small")
    started(ledger)
    _order(ledger)
    WaitMonitor(ledger, metrics, JobTable()).report()
    assert b'briarrun_customer_share_use{customer="small"} 10.0' in metrics.render()
    explained = explain_job(ledger, "a5", None, {})
    assert explained is not None
    assert "customer small used 10.00 of its share" in explained.lines[0]


def _replay(seed: int, order: StepOrder | None, *, uneven: bool) -> LoadResult:
    load = smaller(uneven_load() if uneven else scarce_load())
    return LoadReplay(load, seed, order).run(30.0)


@pytest.mark.parametrize("uneven", [False, True], ids=["scarce", "uneven"])
def test_order_serves_no_less_than_the_order_of_deadlines(uneven: bool) -> None:
    """Guards against an order that serves less, or lets work wait without end."""
    earned = [0.0, 0.0]
    for seed in SEEDS:
        for number, order in enumerate((DeadlineOrder(), None)):
            result = _replay(seed, order, uneven=uneven)
            earned[number] += result.earned_fraction
    assert earned[1] >= earned[0]
