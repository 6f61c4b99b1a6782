"""Tests of cancellations before, beside and after the submissions of their jobs."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.holder import CLEANUP_INTERVAL_S
from briarrun_cell.model import JobSpec, JobState
from briarrun_cell.ports import Topic
from briarrun_cell.records import (
    JobProgress,
    cancellation_record,
    job_record,
    progress_record,
)
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step
from tools.emulator.cell.store import StoreView

pytestmark = pytest.mark.looptime

RETENTION_S = 180.0
"""Time for which an emulated cell keeps ended jobs."""

MANY_VMS = 8
"""Number of VMs of which some ask replicas; in a cell of 3 all are replicas."""

CANCELLED, UNKNOWN = RequestOutcome.CANCELLED, RequestOutcome.UNKNOWN_JOB


def _stored_keys(cell: FakeCell) -> set[str]:
    return {record.key for record in cell.store.newest(Topic.JOBS).records}


def _is_running(cell: FakeCell, spec: JobSpec) -> bool:
    return any(
        task.job_id == spec.job_id
        for worker in cell.fleet.workers_by_address.values()
        for task, _ in worker.runs_by_id
    )


async def _restart_all(cell: FakeCell) -> None:
    """Start all VMs again, which read the newest record of each key."""
    cell.store.truncate(Topic.JOBS)
    for name in cell.vms_by_name:
        cell.kill_vm(name)
        cell.start_vm(name)
    await cell.wait_for_holder()
    await asyncio.sleep(1.0)


async def _check_unknown_then_accepted(cell: FakeCell, pause_s: float) -> None:
    """Cancel unknown jobs at each VM, and submit them at each VM afterwards."""
    specs = []
    for cancelled_at in cell.vms_by_name:
        for submitted_at in cell.vms_by_name:
            spec = cell.spec(step(1, 100))
            specs.append(spec)
            told = await cell.cancel(spec, cancelled_at)
            assert told.request_outcome is UNKNOWN
            await asyncio.sleep(pause_s)
            await cell.submit(spec, submitted_at)
    assert len(cell.accepted) == len(specs)
    assert await cell.finished(cell.accepted, 10.0) == set()
    for spec in specs:
        assert await cell.state(spec.job_id) is JobState.COMPLETED


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 2.0])
@with_cell()
async def test_job_submitted_after_a_cancel_that_found_nothing_runs(
    cell: FakeCell, pause_s: float
) -> None:
    """Guards against an accepted job that never runs since an earlier cancel (LOST)."""
    await _check_unknown_then_accepted(cell, pause_s)


@with_cell(vms=MANY_VMS)
async def test_job_submitted_after_a_cancel_at_a_vm_without_jobs_runs(
    cell: FakeCell,
) -> None:
    """Guards against the same fault at VMs that ask replicas (LOST)."""
    await asyncio.sleep(2.0)
    await _check_unknown_then_accepted(cell, 0.0)


@pytest.mark.parametrize("late_s", [0.3, 2.0])
@with_cell()
async def test_submission_that_is_stored_after_a_cancel_found_nothing_runs(
    cell: FakeCell, late_s: float
) -> None:
    """Guards against a job that is accepted on its repeat and never runs (LOST).

    The answer to the first submission is lost, and the store takes it late.
    """
    spec = cell.spec(step(1, 100))
    cell.store.faults.late_appends, cell.store.faults.late_s = 1.0, late_s
    first = asyncio.create_task(cell.submit(spec, "vm1"))
    await asyncio.sleep(0.05)
    cell.store.faults.late_appends = 0.0
    told = await cell.cancel(spec, "vm2")
    assert told.request_outcome is UNKNOWN
    await first
    await cell.submit(spec, "vm2")
    assert await cell.finished({spec.job_id}, 10.0) == set()
    assert await cell.state(spec.job_id) is JobState.COMPLETED


@pytest.mark.parametrize("restarted", [False, True], ids=["tail", "snapshot"])
@pytest.mark.parametrize("repeated", [False, True], ids=["once", "repeated"])
@pytest.mark.parametrize("vms", [3, MANY_VMS])
async def test_cancelled_job_stays_cancelled(
    vms: int, repeated: bool, restarted: bool
) -> None:
    """Guards against a cancelled job that runs on, or again (UNASKED).

    A late repeat of the submission replaces its record, which stands behind that of the
    cancellation then.
    """

    @with_cell(vms=vms)
    async def check(cell: FakeCell) -> None:
        await asyncio.sleep(2.0)
        names = list(cell.vms_by_name)
        for number in range(8):
            spec = cell.spec(step(2, 30_000))
            await cell.submit(spec, names[number % vms])
            told = await cell.cancel(spec, names[(number + 1) % vms])
            assert told.request_outcome is CANCELLED
            if repeated:
                cell.store_job(spec)
        if restarted:
            await _restart_all(cell)
        await asyncio.sleep(2.0)
        for job_id in cell.accepted:
            assert await cell.state(job_id) is JobState.CANCELLED
            assert not _is_running(cell, cell.fleet.specs_by_id[job_id])

    await check()


@pytest.mark.parametrize("lead_s", [-0.01, -0.004, -0.002, 0.0, 0.002, 0.004, 0.01])
@with_cell()
async def test_cancel_beside_a_submission_holds_as_it_was_answered(
    cell: FakeCell, lead_s: float
) -> None:
    """Guards against a cancel at one moment with a submission that is answered wrongly."""
    for number in range(9):
        spec = cell.spec(step(1, 1_500))
        submitting = asyncio.create_task(_after(max(0.0, lead_s), cell, spec, number))
        await asyncio.sleep(max(0.0, -lead_s))
        told = await cell.cancel(spec, f"vm{number // 3}")
        await submitting
        await asyncio.sleep(0.8)
        cancelled = told.request_outcome is CANCELLED
        assert cancelled or told.request_outcome is UNKNOWN
        assert _is_running(cell, spec) is not cancelled


async def _after(delay_s: float, cell: FakeCell, spec: JobSpec, number: int) -> None:
    await asyncio.sleep(delay_s)
    reply = await cell.submit(spec, f"vm{number % 3}")
    assert reply.request_outcome is RequestOutcome.ACCEPTED


@pytest.mark.parametrize("vm", ["vm0", "vm1", "vm2"])
@with_cell()
async def test_accepted_job_is_not_unknown_to_a_vm_that_cannot_read(
    cell: FakeCell, vm: str
) -> None:
    """Guards against "no such job" for a job that another VM has accepted."""
    spec = cell.spec(step(1, 30_000))
    other = next(name for name in cell.vms_by_name if name != vm)
    _block_reads(cell.vms_by_name[vm].store)
    await asyncio.sleep(2.0)
    await cell.submit(spec, other)
    told = await cell.cancel(spec, vm)
    assert told.request_outcome is RequestOutcome.NOT_RUN and told.retry_after_s
    told = await cell.cancel(spec, other)
    assert told.request_outcome is CANCELLED
    await asyncio.sleep(3.0)
    assert await cell.state(spec.job_id, other) is JobState.CANCELLED
    assert not _is_running(cell, spec)


@pytest.mark.parametrize("late_s", [0.5, 2.0, 5.0])
@with_cell()
async def test_cancel_in_doubt_has_no_effect_after_one_that_found_nothing(
    cell: FakeCell, late_s: float
) -> None:
    """Guards against an accepted job that is cancelled by an earlier write (LOST).

    The VM at which the first cancel arrives cannot tell whether the job exists, and
    what it writes is stored late.
    """
    spec = cell.spec(step(1, 6_000))
    _block_reads(cell.vms_by_name["vm1"].store)
    await asyncio.sleep(2.0)
    cell.store.faults.late_appends, cell.store.faults.late_s = 1.0, late_s
    first = asyncio.create_task(cell.cancel(spec, "vm1"))
    await asyncio.sleep(0.9)
    cell.store.faults.late_appends = 0.0
    told = await cell.cancel(spec, "vm2")
    assert told.request_outcome is UNKNOWN
    await cell.submit(spec, "vm2")
    assert (await first).request_outcome is not CANCELLED
    assert await cell.finished({spec.job_id}, 10.0) == set()
    assert await cell.state(spec.job_id, "vm2") is JobState.COMPLETED


def _block_reads(view: StoreView) -> None:
    """Let reads of the job stream by a VM wait until their timeout."""
    read = view.read

    async def slow(topic: Topic, start: int, *, wait_s: float, timeout_s: float):  # type: ignore[no-untyped-def]
        if topic is Topic.JOBS:
            await asyncio.sleep(timeout_s)
        return await read(topic, start, wait_s=wait_s, timeout_s=timeout_s)

    view.read = slow  # type: ignore[method-assign]


@with_cell()
async def test_cancels_of_unknown_jobs_leave_nothing_behind(cell: FakeCell) -> None:
    """Guards against state that grows with each cancel of a job that never comes."""
    before = _stored_keys(cell)
    for number in range(60):
        told = await cell.cancel(cell.spec(), f"vm{number % 3}")
        assert told.request_outcome is UNKNOWN
    await asyncio.sleep(2.0)
    assert _stored_keys(cell) == before
    for vm in cell.vms_by_name.values():
        assert vm.core is not None and vm.core.table.by_id == {}


@with_cell()
async def test_cancellation_without_a_job_is_deleted(cell: FakeCell) -> None:
    """Guards against records that are kept for ever for jobs that never come."""
    spec = cell.spec()
    record = cancellation_record(spec.job_id, 0)
    cell.store.put(Topic.JOBS, record.key, record.value)
    await asyncio.sleep(2 * CLEANUP_INTERVAL_S)
    assert record.key not in _stored_keys(cell)
    await cell.submit(spec)
    assert await cell.finished({spec.job_id}, 5.0) == set()
    assert await cell.state(spec.job_id) is JobState.COMPLETED


@with_cell()
async def test_cancelled_job_without_its_cancellation_is_deleted(
    cell: FakeCell,
) -> None:
    """Guards against a job that is kept for ever since its cancellation was deleted."""
    spec = cell.spec()
    progress = JobProgress(final=JobState.CANCELLED, final_ms=1)
    for record in (job_record(spec), progress_record(spec.job_id, progress)):
        cell.store.put(Topic.JOBS, record.key, record.value)
    await asyncio.sleep(2 * CLEANUP_INTERVAL_S)
    assert _stored_keys(cell) == set()


@pytest.mark.parametrize("cancels", [False, True], ids=["completed", "cancelled"])
@with_cell()
async def test_job_that_is_submitted_again_past_its_retention_runs(
    cell: FakeCell, cancels: bool
) -> None:
    """Guards against an accepted job that is taken for one that was deleted (LOST)."""
    spec = cell.spec(step(1, 30_000 if cancels else 100))
    await cell.submit(spec)
    if cancels:
        await asyncio.sleep(0.5)
        assert (await cell.cancel(spec)).request_outcome is CANCELLED
    assert await cell.finished({spec.job_id}, 5.0) == set()
    await asyncio.sleep(RETENTION_S + 2 * CLEANUP_INTERVAL_S)
    assert await cell.state(spec.job_id) is None
    starts = cell.fleet.starts
    # To the workers this is another job.
    cell.fleet.history = type(cell.fleet.history)(cell.fleet.report)
    cell.fleet.cancelled_at.clear()
    await cell.submit(spec)
    await asyncio.sleep(2.0)
    assert cell.fleet.starts == starts + 1
