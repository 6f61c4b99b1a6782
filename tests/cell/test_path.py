"""Guard the path from a caller through store, holder and workers."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.model import JobState
from briarrun_core.resources import Resources
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step

pytestmark = pytest.mark.looptime


@with_cell()
async def test_jobs_complete_and_every_vm_shows_it(cell: FakeCell) -> None:
    """Guards against work that is lost or shown differently by two VMs."""
    specs = [cell.spec(step(3), step(2, after=(0,))) for _ in range(5)]
    for spec in specs:
        assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    assert await cell.finished({spec.job_id for spec in specs}, 20.0) == set()
    await asyncio.sleep(0.5)
    for vm in cell.vms_by_name:
        for spec in specs:
            assert await cell.state(spec.job_id, vm) is JobState.COMPLETED
    assert cell.fleet.starts == 25


@with_cell()
async def test_finished_job_does_not_come_back(cell: FakeCell) -> None:
    """Guards against a job started anew from the stream after its outcome is stored.

    The holder's books are ahead of its view of the stream; a progress record read after
    the job had left the books made the holder start its tasks again.
    """
    specs = [cell.spec(step(1, 20)) for _ in range(60)]
    for spec in specs:
        await cell.submit(spec)
    assert await cell.finished({spec.job_id for spec in specs}, 20.0) == set()
    await asyncio.sleep(1.0)
    assert cell.fleet.starts == 60


@with_cell()
async def test_the_same_submission_at_two_vms_is_one_job(cell: FakeCell) -> None:
    """Guards against a repeated submission that runs twice."""
    spec = cell.spec(step(1))
    replies = await asyncio.gather(
        *(cell.submit(spec, vm) for vm in cell.vms_by_name for _ in range(2))
    )
    assert {reply.request_outcome for reply in replies} == {RequestOutcome.ACCEPTED}
    assert await cell.finished({spec.job_id}, 10.0) == set()
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    await asyncio.sleep(1.0)
    assert cell.fleet.starts == 1


@with_cell()
async def test_cancelled_job_stops_and_stays_cancelled(cell: FakeCell) -> None:
    """Guards against tasks that run on after their job was cancelled."""
    spec = cell.spec(step(3, 20_000))
    await cell.submit(spec)
    await asyncio.sleep(0.5)
    assert cell.fleet.starts == 3
    assert (await cell.cancel(spec)).request_outcome is RequestOutcome.CANCELLED
    await asyncio.sleep(1.0)
    running = [w.runs_by_id for w in cell.fleet.workers_by_address.values()]
    assert not any(running)
    assert await cell.state(spec.job_id) is JobState.CANCELLED


@with_cell()
async def test_cancel_at_a_vm_that_has_not_heard_of_the_job(cell: FakeCell) -> None:
    """Guards against a cancellation that is lost between two VMs."""
    spec = cell.spec(step(2, 20_000))
    await cell.submit(spec, "vm0")
    await cell.cancel(spec, "vm1")
    await asyncio.sleep(1.0)
    assert await cell.state(spec.job_id, "vm2") is JobState.CANCELLED
    running = [w.runs_by_id for w in cell.fleet.workers_by_address.values()]
    assert not any(running)


@with_cell(max_attempts=2)
async def test_job_that_always_fails_is_given_up(cell: FakeCell) -> None:
    """Guards against more attempts than the queue allows."""
    spec = cell.spec(step(1, 100))
    cell.fleet.poison.add(spec.job_id)
    await cell.submit(spec)
    assert await cell.finished({spec.job_id}, 20.0) == set()
    assert await cell.state(spec.job_id) is JobState.FAILED
    assert cell.fleet.starts == 2


@with_cell(limit=Resources(3000, 0))
async def test_customer_stays_within_its_limit(cell: FakeCell) -> None:
    """Guards against more running than a customer's limit."""
    specs = [cell.spec(step(4, 300)) for _ in range(4)]
    for spec in specs:
        await cell.submit(spec)
    assert await cell.finished({spec.job_id for spec in specs}, 30.0) == set()


@with_cell(advice=True)
async def test_steps_run_only_where_advice_approves(cell: FakeCell) -> None:
    """Guards against starts on workers that the advice service refuses."""
    for vm in cell.vms_by_name.values():
        vm.advisor.refused.update({"w0", "w2"})
    specs = [cell.spec(step(3, 200)) for _ in range(4)]
    for spec in specs:
        await cell.submit(spec)
    assert await cell.finished({spec.job_id for spec in specs}, 30.0) == set()
    refused = [cell.fleet.workers_by_address[f"{w}:1"] for w in ("w0", "w2")]
    assert [worker.count for worker in refused] == [0, 0]


@with_cell()
async def test_gang_starts_together_when_room_is_tight(cell: FakeCell) -> None:
    """Guards against members that wait for others that find no room."""
    specs = [cell.spec(step(6, 500, cores=4000, gang=True)) for _ in range(4)]
    for spec in specs:
        await cell.submit(spec)
    assert await cell.finished({spec.job_id for spec in specs}, 30.0) == set()
    assert cell.fleet.starts == 24
