"""Tests of takeovers that have much to do, or odd jobs to recover."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from briarrun_cell.election import MIN_TERM_S
from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.job_table import JobEntry
from briarrun_cell.ledger import Ledger
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step

pytestmark = pytest.mark.looptime

JOB_S = 0.01
"""Processor time that it takes to enter a job, on the clock of the holder."""

MAX_BLOCKED_S = MIN_TERM_S / 4
"""Time for which renewals of the claim may be held up."""


@with_cell(vms=2, workers=8)
async def test_takeover_with_many_jobs_keeps_the_claim(
    cell: FakeCell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against LOST: no VM ever recovers, since each loses its claim meanwhile."""
    kept = [cell.spec(step(1, 60_000, cores=1)) for _ in range(150)]
    for spec in kept:
        assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    await asyncio.sleep(1.0)
    original, blocked_s, since_pause_s = Ledger.set_job, [0.0], 0.0

    def pause() -> None:
        nonlocal since_pause_s
        blocked_s.append(since_pause_s)
        since_pause_s = 0.0

    def slow(ledger: Ledger, job_id: str, entry: JobEntry | None) -> None:
        nonlocal since_pause_s
        if not since_pause_s:
            asyncio.get_running_loop().call_soon(pause)
        since_pause_s += JOB_S
        ledger.clock.skipped_s += JOB_S  # type: ignore[attr-defined]
        original(ledger, job_id, entry)

    holder = await cell.wait_for_holder()
    cell.kill_vm(holder.name)
    monkeypatch.setattr(Ledger, "set_job", slow)
    await asyncio.sleep(6.0)
    spec = cell.spec(step(1, 100))
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    assert not await cell.finished({spec.job_id}, 5.0)
    assert max(blocked_s) <= MAX_BLOCKED_S


@pytest.mark.parametrize("odd", [0, 3, 9])
@with_cell()
async def test_takeover_leaves_out_a_job_that_cannot_be_recovered(
    cell: FakeCell, monkeypatch: pytest.MonkeyPatch, odd: int
) -> None:
    """Guards against a cell in which nothing starts any more because of one odd job."""
    specs = [cell.spec(step(1, 4_000, cores=100)) for _ in range(10)]
    for spec in specs:
        assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    original = Ledger.set_job

    def fail(ledger: Ledger, job_id: str, *arguments: Any) -> None:
        if job_id == specs[odd].job_id:
            raise ValueError("odd")
        original(ledger, job_id, *arguments)

    monkeypatch.setattr(Ledger, "set_job", fail)
    holder = await cell.wait_for_holder()
    cell.kill_vm(holder.name)
    cell.start_vm(holder.name)
    others = {spec.job_id for spec in specs if spec is not specs[odd]}
    assert not await cell.finished(others, 12.0)


DOWN_BOUND_S = 9.0
"""Stated target: time without a run of a lasting task whose worker was lost."""


@pytest.mark.parametrize("crash_after_s", [0.0, 0.5, 2.0])
@with_cell(vms=3, workers=4)
async def test_lasting_tasks_start_soon_after_their_worker_and_the_holder_are_lost(
    cell: FakeCell, crash_after_s: float
) -> None:
    """Guards against LOST: leases are taken to be longer than a holder ever gives.

    The new holder has read the inventory of the worker before that crashes, so the
    earlier holder can no longer extend its leases.
    """
    spec = cell.spec(step(1, 1_000, service=True))
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    await asyncio.sleep(1.0)
    cell.kill_vm((await cell.wait_for_holder()).name)
    holder = await cell.wait_for_holder()
    await asyncio.sleep(0.5 + crash_after_s)
    session = holder.core and holder.core.holder.session
    assert session and all(
        worker.inventory_known for worker in session.ledger.workers_by_id.values()
    )
    (lost,) = (w for w in cell.fleet.workers_by_address.values() if w.runs_by_id)
    cell.fleet.crash(lost)
    starts = cell.fleet.starts
    await asyncio.sleep(DOWN_BOUND_S)
    assert cell.fleet.starts > starts
