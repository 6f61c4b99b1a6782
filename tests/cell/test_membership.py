"""Tests of the list of VMs when VMs are replaced, cut off or lose the store."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.model import JobState
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step

pytestmark = pytest.mark.looptime

FINISH_S = 14.0
"""Stated target: time within which a job that is asked for gets an answer."""

DEADLINE_S = 3.0
"""Deadline of a caller's request."""

SMALL = {f"vm{n}": 0.5 for n in range(6, 12)}


async def _ask(cell: FakeCell, job_id: str, vm: str) -> JobState | None:
    """Ask one VM for a job as a caller does, until an answer comes or time is up."""
    end_at = asyncio.get_running_loop().time() + FINISH_S
    while asyncio.get_running_loop().time() < end_at:
        try:
            async with asyncio.timeout(DEADLINE_S):
                state = await cell.state(job_id, vm)
        except TimeoutError:
            continue
        if state is not None:
            return state
        await asyncio.sleep(1.0)
    return None


def _listed(cell: FakeCell, name: str) -> set[str]:
    """Return the VMs that a VM believes to be there."""
    core = cell.vms_by_name[name].core
    assert core is not None
    return set(core.vms_by_name)


def _replace(cell: FakeCell, name: str) -> str:
    """Remove a VM for good and start another one."""
    cell.remove_vm(name)
    successor = f"x{name}"
    cores = cell.options.cores_by_vm.get(name, 1.0)
    cell.options.cores_by_vm = {**cell.options.cores_by_vm, successor: cores}
    cell.add_vm(successor, latency_s=0.002)
    cell.start_vm(successor)
    return successor


@pytest.mark.parametrize("interval_s", [0.0, 2.0, 6.0])
@pytest.mark.parametrize("first", [0, 2, 6])
@with_cell(vms=12, cores_by_vm=SMALL)
async def test_vms_that_replace_others_answer_for_jobs(
    cell: FakeCell, first: int, interval_s: float
) -> None:
    """Guards against LOST at VMs whose nearest replicas are gone for good."""
    await asyncio.sleep(2.0)
    spec = cell.spec(step(1, 300))
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    added = []
    for number in range(first, first + 4):
        added.append(_replace(cell, f"vm{number}"))
        await asyncio.sleep(interval_s)
    await asyncio.sleep(6.0)
    answers = await asyncio.gather(*(_ask(cell, spec.job_id, vm) for vm in added))
    assert set(answers) == {JobState.COMPLETED}


@with_cell(vms=12, cores_by_vm=SMALL)
async def test_vms_that_are_gone_leave_the_list(cell: FakeCell) -> None:
    """Guards against a list of VMs that only grows: replicas and advice depend on it."""
    await asyncio.sleep(2.0)
    for number in range(12):
        _replace(cell, f"vm{number}")
        await asyncio.sleep(1.0)
    await asyncio.sleep(20.0)
    expected = {f"xvm{number}" for number in range(12)}
    assert all(_listed(cell, name) == expected for name in expected)
    cores = {name: cell.vms_by_name[name].core for name in expected}
    replicas = {name for name, core in cores.items() if core and core.is_replica}
    assert replicas >= {f"xvm{number}" for number in range(6)}
    late = _replace(cell, "xvm0")
    await asyncio.sleep(2.0)
    assert not _listed(cell, late) & {f"vm{number}" for number in range(12)}


@pytest.mark.parametrize("outage_s", [5.0, 12.0, 40.0])
@with_cell(vms=12, cores_by_vm=SMALL)
async def test_outage_of_the_store_removes_no_vm(
    cell: FakeCell, outage_s: float
) -> None:
    """Guards against VMs that count as gone since nobody could renew an entry."""
    await asyncio.sleep(4.0)
    expected = set(cell.vms_by_name)
    cell.store.faults.silent = True
    await asyncio.sleep(outage_s)
    cell.store.faults.silent = False
    for _ in range(50):
        await asyncio.sleep(0.1)
        assert all(_listed(cell, name) == expected for name in expected)


@pytest.mark.parametrize("frozen", [False, True])
@with_cell(vms=12, cores_by_vm=SMALL)
async def test_vm_that_returns_is_listed_again(cell: FakeCell, frozen: bool) -> None:
    """Guards against a VM that is left out for good after a cut or a freeze."""
    await asyncio.sleep(2.0)
    away = cell.vms_by_name["vm3"].store
    if frozen:
        away.running.clear()
    else:
        away.cut = True
    await asyncio.sleep(20.0)
    assert "vm3" not in _listed(cell, "vm7")
    away.cut = False
    away.running.set()
    await asyncio.sleep(5.0)
    assert "vm3" in _listed(cell, "vm7")
    assert _listed(cell, "vm3") == set(cell.vms_by_name)


@with_cell(vms=12, cores_by_vm=SMALL)
async def test_vm_without_any_replica_follows_the_jobs_itself(cell: FakeCell) -> None:
    """Guards against LOST at the last VM of a cell that seldom gets a request."""
    await asyncio.sleep(2.0)
    spec = cell.spec(step(1, 300))
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    await asyncio.sleep(2.0)
    for number in range(11):
        cell.remove_vm(f"vm{number}")
    assert await _ask(cell, spec.job_id, "vm11") is JobState.COMPLETED
