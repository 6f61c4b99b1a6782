"""Tests of submissions that the holder turns away."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
import pytest

from briarrun_cell.decisions.admission import AdmissionControl, RefusalReason
from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.job_table import JobEntry
from briarrun_cell.leases import LeaseDurations
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import CellConfig, Customer, JobSpec, StepSpec
from briarrun_core.resources import NOTHING, Resources
from tests.cell.running import with_cell
from tests.cell.test_ledger import NORMAL, ManualClock, entry
from tools.emulator.cell.admission_replay import ReviewedReplay
from tools.emulator.cell.cell import FakeCell, step
from tools.emulator.cell.hard_loads import scarce_load, smaller
from tools.emulator.cell.workload import Burst

pytestmark = pytest.mark.looptime

QUEUES = {
    name: msgspec.structs.replace(NORMAL, name=name, priority=priority, stretch=2.0)
    for priority, name in enumerate(("urgent", "normal"))
}
LIMIT = Resources(10_000, 100_000)

CHANCE = 0.02
"""Difference of the earned fractions of two replays that only differ by chance: once one
job is left out, all later decisions differ."""


def _ledger(limit: Resources, weight: float = 100.0) -> Ledger:
    customers = {name: Customer(name, (), weight, limit) for name in ("roster", "b")}
    config = CellConfig(1, QUEUES, customers)
    clock = ManualClock()
    ledger = Ledger(
        clock, 1, config, LeaseDurations(5.8, 2.0, 12.0, 6.0), lambda job: None
    )
    ledger.set_workers([entry("w0", cores=16_000)], [])
    return ledger


def _spec(
    ledger: Ledger, job_id: str, queue: str, customer: str, *steps: StepSpec
) -> JobSpec:
    return JobSpec(
        job_id=job_id,
        terms=QUEUES[queue],
        customer=customer,
        payload="",
        steps=steps,
        accepted_ms=ledger.clock.wall_ms(),
    )


def _step(count: int, run_s: float, cores: int = 1000, gang: bool = False) -> StepSpec:
    need = Resources(cores, 100)
    return StepSpec(count=count, estimated_ms=int(run_s * 1000), need=need, gang=gang)


@pytest.mark.parametrize(
    ("submitted", "limit", "detail"),
    [
        (_step(1, 1.0, cores=16_000), NOTHING, ""),
        (_step(1, 1.0, cores=16_001), NOTHING, "larger than any worker"),
        (_step(1, 1.0, cores=10_001), LIMIT, "a task of step 0 needs more cores"),
        (_step(11, 1.0, gang=True), LIMIT, "the gang of step 0 needs more cores"),
        (_step(10, 1.0, gang=True), LIMIT, ""),
        (_step(11, 1.0), LIMIT, ""),
        (StepSpec(need=Resources(20_000), required_label="x"), NOTHING, ""),
    ],
)
async def test_job_that_can_never_run(
    submitted: StepSpec, limit: Resources, detail: str
) -> None:
    """Guards against jobs that wait for ever, and against refusals of those that may run."""
    ledger = _ledger(limit)
    control = AdmissionControl(ledger)
    spec = _spec(ledger, "1", "urgent", "roster", submitted)
    assert control.review(spec) is None, "no worker is known yet"
    control.sizes.note([entry("w0", cores=8_000), entry("w1", cores=16_000)])
    control.sizes.note([entry("w0", cores=8_000)])  # The larger one has left.
    refusal = control.review(spec)
    assert (refusal is None) == (not detail)
    if refusal is not None:
        assert refusal.reason is RefusalReason.NEVER_RUNS
        assert detail in refusal.detail


@pytest.mark.parametrize(
    ("waiting", "queue", "customer", "run_s", "limit", "over_rate", "refused"),
    [
        # Forty jobs of 100 core-seconds take 200 s at half of their estimate.
        (40, "normal", "roster", 1.0, LIMIT, False, True),
        (40, "normal", "roster", 1.0, NOTHING, False, False),
        (40, "normal", "b", 1.0, LIMIT, False, False),
        # It is of use for 3 x (2 x 20 s + 1 s).
        (20, "normal", "roster", 10.0, LIMIT, False, False),
        (30, "normal", "roster", 10.0, LIMIT, False, True),
        # The most urgent queue, within the rate and beyond it.
        (40, "urgent", "roster", 10.0, LIMIT, False, False),
        (2, "urgent", "roster", 1.0, LIMIT, True, False),
        (40, "urgent", "roster", 10.0, LIMIT, True, True),
    ],
)
async def test_refusal_because_of_the_backlog(
    waiting: int,
    queue: str,
    customer: str,
    run_s: float,
    limit: Resources,
    over_rate: bool,
    refused: bool,
) -> None:
    """Guards against refusals of jobs that may still be of use, and against none."""
    ledger = _ledger(limit, weight=5.0 if over_rate else 100.0)
    control = AdmissionControl(ledger)
    control.sizes.note([entry("w0", cores=16_000)])
    for number in range(waiting):
        spec = _spec(ledger, f"{number:x}", "urgent", "roster", _step(10, 10.0))
        ledger.set_job(spec.job_id, JobEntry(spec))
    if over_rate:
        for number in range(60):
            control.review(_spec(ledger, f"r{number}", "urgent", customer, _step(1, 1)))
    refusal = control.review(_spec(ledger, "new", queue, customer, _step(1, run_s)))
    assert (refusal is not None) == refused
    if refusal is not None:
        assert refusal.reason is RefusalReason.BACKLOG
        assert refusal.retry_after_s is not None and 1 <= refusal.retry_after_s <= 10


@with_cell(vms=4, workers=2, limit=Resources(12_000, 64_000))
async def test_callers_are_told_that_a_job_can_never_run(cell: FakeCell) -> None:
    """Guards against a job that is accepted at some VMs and would wait for ever."""
    await asyncio.sleep(2.0)
    for vm in cell.vms_by_name:
        large = cell.spec(step(1, 100, cores=9000))
        gang = cell.spec(step(13, 100, gang=True))
        for spec in (large, gang):
            reply = await cell.submit(spec, vm)
            assert reply.request_outcome is RequestOutcome.INVALID
            assert await cell.state(spec.job_id, vm) is None
    cell.add_worker("large")
    assert (await cell.submit(cell.spec(step(12, 100)))).request_outcome is (
        RequestOutcome.ACCEPTED
    )


async def _fill(cell: FakeCell) -> None:
    """Submit urgent work that takes the customer minutes at its limit."""
    for _ in range(30):
        reply = await cell.submit(cell.spec(step(10, 60_000), queue="urgent"))
        assert reply.request_outcome is RequestOutcome.ACCEPTED
    await asyncio.sleep(1.0)


@with_cell(vms=4, workers=4, limit=Resources(4000, 32_000))
async def test_refusal_reaches_the_caller_and_is_true(cell: FakeCell) -> None:
    """Guards against a refused job that runs, and a known one that is refused."""
    await asyncio.sleep(2.0)
    known = cell.spec(step(1, 100))
    assert (await cell.submit(known)).request_outcome is RequestOutcome.ACCEPTED
    await _fill(cell)
    specs = []
    for vm in cell.vms_by_name:
        specs.append(cell.spec(step(1, 100)))
        reply = await cell.submit(specs[-1], vm)
        assert reply.request_outcome is RequestOutcome.OVERLOAD
        assert reply.retry_after_s is not None and 1 <= reply.retry_after_s <= 10
        again = await cell.submit(known, vm)
        assert again.request_outcome is RequestOutcome.ACCEPTED
        urgent = await cell.submit(cell.spec(step(1, 100), queue="urgent"), vm)
        assert urgent.request_outcome is RequestOutcome.ACCEPTED
    other = await cell.submit(cell.spec(step(1, 100), customer="stalls"))
    assert other.request_outcome is RequestOutcome.ACCEPTED
    await asyncio.sleep(5.0)
    assert not {each.job_id for each in specs} & set(cell.fleet.first_start_by_job)


@with_cell(vms=4, workers=4, limit=Resources(4000, 32_000))
async def test_refusal_whose_answer_is_lost_with_the_holder(cell: FakeCell) -> None:
    """Guards against "not run" for a job whose relay was not answered."""
    await asyncio.sleep(2.0)
    await _fill(cell)
    holder = await cell.wait_for_holder()
    other = next(name for name in cell.vms_by_name if name != holder.name)
    cell.lose_relay_answers = 1.0
    spec = cell.spec(step(1, 100))
    call = asyncio.create_task(cell.submit(spec, other))
    await asyncio.sleep(0.003)
    cell.kill_vm(holder.name)
    assert (await call).request_outcome is RequestOutcome.ACCEPTED
    cell.lose_relay_answers = 0.0
    await cell.wait_for_holder()
    await cell.cancel(spec)
    assert not await cell.finished({spec.job_id}, 5.0)


def _replay(enforced: bool) -> ReviewedReplay:
    burst = Burst("", 2.0, 12.0, 7.0, customer="c0")
    load = replace(smaller(scarce_load(), lasts_s=16.0), bursts=(burst,))
    replay = ReviewedReplay(load, 1, enforced=enforced)
    replay.lower_limit("c0", 0.1)
    return replay


def test_customer_far_beyond_its_rate_and_limit() -> None:
    """Guards against refusals of jobs that would have been of use, and of others' jobs."""
    noted = _replay(enforced=False)
    without = noted.run(60.0)
    assert noted.refusals_by_id
    assert not noted.refused_in_vain()
    refused = {noted.records_by_id[each].spec.customer for each in noted.refusals_by_id}
    assert refused == {"c0"}
    enforced = _replay(enforced=True).run(60.0)
    assert enforced.earned_fraction >= without.earned_fraction - CHANCE
    worst = without.worst_customers_fraction
    assert enforced.worst_customers_fraction >= worst - CHANCE
