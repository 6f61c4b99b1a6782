"""Tests of VMs that follow the job stream, and of those that ask them."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.model import JobSpec, JobState
from briarrun_cell.ports import Topic
from briarrun_cell.replicas import (
    MIN_REPLICAS,
    REPLICAS_PER_DOMAIN,
    choose_replicas,
    is_replica,
    nearest_first,
)
from tests.cell.running import with_cell
from tools.emulator.cell.cell import CellOptions, FakeCell, step

pytestmark = pytest.mark.looptime

RESTART_BOUND_S = 3.0
"""Stated target: time from the restart of all VMs to the next first start."""

SMALL = {f"vm{n}": 0.5 for n in range(6, 30)}


def _vms(domains: int, large: int, small: int) -> list[EntryVm]:
    return [
        EntryVm(
            vm=f"{size}-{domain}-{number}",
            address="",
            failure_domain=f"fd{domain}",
            region=f"r{domain % 3}",
            cores=cores,
        )
        for domain in range(domains)
        for size, count, cores in (("large", large, 2.0), ("small", small, 0.5))
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("domains", "large", "small", "replicas"),
    [
        (6, 3, 13, 18),
        (6, 1, 6, 18),
        (3, 0, 3, 9),
        (3, 0, 2, 6),
        (1, 2, 28, MIN_REPLICAS),
        (1, 0, 2, 2),
    ],
)
def test_replicas_are_the_largest_vms_of_every_domain(
    domains: int, large: int, small: int, replicas: int
) -> None:
    """Guards against a loss of one domain that takes all replicas away."""
    vms = _vms(domains, large, small)
    chosen = choose_replicas(vms)
    assert len(chosen) == replicas
    names = {vm.vm for vm in chosen}
    for domain in range(domains):
        inside = [vm for vm in chosen if vm.failure_domain == f"fd{domain}"]
        assert len(inside) >= min(REPLICAS_PER_DOMAIN, large + small)
        assert {f"large-{domain}-{n}" for n in range(large)} <= names
    assert [is_replica(vm, vms) for vm in vms] == [vm.vm in names for vm in vms]


def test_nearest_replicas_are_asked_first() -> None:
    """Guards against questions that go to another region while a near VM answers."""
    vms = _vms(6, 3, 13)
    own = next(vm for vm in vms if vm.vm == "small-4-7")
    order = nearest_first(own, choose_replicas(vms))
    assert [vm.failure_domain for vm in order[:3]] == ["fd4"] * 3
    assert {vm.failure_domain for vm in order[3:6]} == {"fd1"}


def _replicas(cell: FakeCell) -> set[str]:
    return {n for n, vm in cell.vms_by_name.items() if vm.core and vm.core.is_replica}


def _following(cell: FakeCell) -> set[str]:
    cores = {name: cell.vms_by_name[name].core for name in _replicas(cell)}
    return {name for name, core in cores.items() if core and core.table.by_id}


@pytest.mark.parametrize("seed", range(3))
@with_cell(vms=30, cores_by_vm=SMALL)
async def test_only_replicas_load_the_jobs_after_a_loss_of_power(
    cell: FakeCell, seed: int
) -> None:
    """Guards against a recovery in which all VMs of a large cell load at once."""
    await cell.submit(cell.spec(step(1, 100)))
    await asyncio.sleep(1.0)
    for name in cell.vms_by_name:
        cell.kill_vm(name)
    reads = {name: vm.store.reads for name, vm in cell.vms_by_name.items()}
    for name in cell.vms_by_name:
        cell.start_vm(name)
    restarted_at = asyncio.get_running_loop().time()
    while cell.holder() is None:
        await asyncio.sleep(0.002)
        ready = [vm.core.up_to_date for vm in cell.vms_by_name.values() if vm.core]
        if asyncio.get_running_loop().time() - restarted_at > 0.5:
            assert all(ready)
    assert await _first_start_s(cell) <= RESTART_BOUND_S
    await asyncio.sleep(4.0)
    assert _following(cell) == {f"vm{n}" for n in range(6)}
    read = {n: vm.store.reads - reads[n] for n, vm in cell.vms_by_name.items()}
    assert max(read[f"vm{n}"] for n in range(6, 30)) < min(
        read[f"vm{n}"] for n in range(6)
    )


async def _first_start_s(cell: FakeCell) -> float:
    began_at = asyncio.get_running_loop().time()
    spec = cell.spec(step(1, 100))
    while (await cell.submit(spec)).request_outcome is not RequestOutcome.ACCEPTED:
        await asyncio.sleep(0.02)
    while spec.job_id not in cell.fleet.first_start_by_job:
        await asyncio.sleep(0.01)
    return asyncio.get_running_loop().time() - began_at


@pytest.mark.parametrize("lost", [0, 1, 5])
@with_cell(vms=12, cores_by_vm=SMALL)
async def test_state_of_a_job_at_a_vm_that_is_no_replica(
    cell: FakeCell, lost: int
) -> None:
    """Guards against a wrong state or "no such job" while some replicas are lost."""
    await asyncio.sleep(2.0)
    holder = await cell.wait_for_holder()
    replicas = [f"vm{n}" for n in range(6) if f"vm{n}" != holder.name]
    for name in replicas[:lost]:
        cell.kill_vm(name)
    spec = cell.spec(step(1, 300))
    assert (await cell.submit(spec, "vm10")).request_outcome is RequestOutcome.ACCEPTED
    core = cell.vms_by_name["vm11"].core
    assert core is not None
    seen = []
    for _ in range(20):
        reply = await core.frontend.state(spec.job_id, "roster")
        assert reply.request_outcome in (RequestOutcome.STATE, RequestOutcome.NOT_RUN)
        seen.append(reply.state)
        await asyncio.sleep(0.1)
    assert seen[-1] is JobState.COMPLETED
    unknown = await core.frontend.state("ffffffffffffffff", "roster")
    assert unknown.request_outcome is RequestOutcome.UNKNOWN_JOB
    queue = spec.terms
    assert (await core.frontend.count(queue, "roster")).count == 0
    assert (await cell.cancel(spec, "vm11")).request_outcome is RequestOutcome.CANCELLED


@with_cell(vms=12, cores_by_vm=SMALL)
async def test_replicas_without_the_store_know_of_no_missing_job(
    cell: FakeCell,
) -> None:
    """Guards against "no such job" from replicas that can not see new jobs."""
    await asyncio.sleep(2.0)
    for number in range(6):
        cell.vms_by_name[f"vm{number}"].store.cut = True
    await asyncio.sleep(4.0)
    core = cell.vms_by_name["vm11"].core
    assert core is not None
    reply = await core.frontend.state("ffffffffffffffff", "roster")
    assert reply.request_outcome is RequestOutcome.NOT_RUN


@with_cell(vms=12, cores_by_vm=SMALL)
async def test_other_vms_replace_replicas_that_are_lost_for_good(
    cell: FakeCell,
) -> None:
    """Guards against a cell that has no holder any more after a loss of all replicas."""
    await asyncio.sleep(2.0)
    spec = cell.spec(step(1, 6_000))
    await cell.submit(spec)
    for number in range(6):
        cell.kill_vm(f"vm{number}")
    await cell.wait_for_holder(8.0)
    assert not await cell.finished({spec.job_id}, 12.0)


@pytest.mark.parametrize("outage_s", [2.0, 5.0, 9.0])
@with_cell(vms=12, cores_by_vm=SMALL)
async def test_outage_of_the_store_makes_no_further_replicas(
    cell: FakeCell, outage_s: float
) -> None:
    """Guards against all VMs loading all jobs at once when the store is back."""
    await asyncio.sleep(2.0)
    spec = cell.spec(step(1, 100))
    await cell.submit(spec)
    cell.store.faults.silent = True
    end_at = asyncio.get_running_loop().time() + outage_s
    while asyncio.get_running_loop().time() < end_at:
        await asyncio.gather(*(cell.state(spec.job_id, f"vm{n}") for n in range(6, 12)))
        await asyncio.sleep(0.2)
    cell.store.faults.silent = False
    await asyncio.sleep(4.0)
    assert _following(cell) == {f"vm{n}" for n in range(6)}
    assert cell.store.values(Topic.JOBS)


async def _start_small_vms_first(cell: FakeCell) -> None:
    """Start all VMs within 0.3 s."""
    await cell.start(vm_start_interval_s=0.01)


@pytest.mark.parametrize("seed", range(6))
async def test_large_vm_holds_a_cell_that_starts_for_the_first_time(seed: int) -> None:
    """Guards against a small VM that holds the cell since it chose its role first.

    Its processor carries the load of a small cell only.
    """
    cell = FakeCell(seed, CellOptions(vms=30, cores_by_vm=SMALL))
    try:
        await _start_small_vms_first(cell)
        assert (await cell.wait_for_holder()).name not in SMALL
    finally:
        cell.close()


@pytest.mark.parametrize("seed", range(6))
async def test_replicas_of_a_cell_that_starts_for_the_first_time(seed: int) -> None:
    """Guards against small VMs that follow the jobs since they registered first."""
    cell = FakeCell(seed, CellOptions(vms=30, cores_by_vm=SMALL))
    try:
        await _start_small_vms_first(cell)
        await asyncio.sleep(3.0)
        assert _replicas(cell) == {f"vm{n}" for n in range(6)}
    finally:
        cell.close()


@pytest.mark.parametrize("interval_s", [0.0, 0.02, 0.05, 0.1])
async def test_replicas_of_a_cell_whose_vms_start_one_by_one(interval_s: float) -> None:
    """Guards against a choice from a part of the list while VMs still register."""
    cell = FakeCell(1, CellOptions(vms=30, cores_by_vm=SMALL))
    try:
        await cell.start(vm_start_interval_s=interval_s)
        assert (await cell.wait_for_holder()).name not in SMALL
        await asyncio.sleep(3.0)
        assert _replicas(cell) == {f"vm{n}" for n in range(6)}
    finally:
        cell.close()


async def _start_while_asked(cell: FakeCell, vm_start_interval_s: float) -> JobSpec:
    """Start all VMs; return a job that the first accepted, checking its state."""
    start = asyncio.create_task(cell.start(vm_start_interval_s))
    await asyncio.sleep(0)
    first = list(cell.vms_by_name)[-1]
    spec = cell.spec(step(1, 300))
    while (await cell.submit(spec, first)).request_outcome is not (
        RequestOutcome.ACCEPTED
    ):
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)  # Records reach a VM far from the store later.
    while not start.done() or spec.job_id not in cell.fleet.first_start_by_job:
        running = [vm for vm in cell.vms_by_name.values() if vm.core is not None]
        replies = await asyncio.gather(
            *(vm.core.frontend.state(spec.job_id, "") for vm in running if vm.core)
        )
        outcomes = {reply.request_outcome for reply in replies}
        assert outcomes <= {RequestOutcome.STATE, RequestOutcome.NOT_RUN}
        await asyncio.sleep(0.05)
    return spec


@pytest.mark.parametrize("interval_s", [0.01, 0.05, 0.1, 0.3])
async def test_answers_while_the_vms_of_a_new_cell_choose_their_roles(
    interval_s: float,
) -> None:
    """Guards against "no such job" for a job that is accepted during the first start.

    With long intervals some VMs choose their role before others have started.
    """
    cell = FakeCell(1, CellOptions(vms=30, cores_by_vm=SMALL))
    try:
        spec = await _start_while_asked(cell, interval_s)
        assert not await cell.finished({spec.job_id}, 5.0)
        await asyncio.sleep(2.0)  # The last VM has chosen its role by then.
        replies = await asyncio.gather(
            *(cell.state(spec.job_id, name) for name in cell.vms_by_name)
        )
        assert set(replies) == {JobState.COMPLETED}
        assert not cell.fleet.violations
    finally:
        cell.close()


@pytest.mark.parametrize("joining", [1, 3, 6])
@with_cell(vms=12, cores_by_vm=SMALL)
async def test_vms_that_join_later_and_are_larger_become_replicas(
    cell: FakeCell, joining: int
) -> None:
    """Guards against a cell whose replicas are never the VMs that others ask."""
    await asyncio.sleep(2.0)
    spec = cell.spec(step(1, 300))
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    await asyncio.sleep(0.1)  # Records reach a VM far from the store later.
    names = [f"large{number}" for number in range(joining)]
    for name in names:
        cell.options.cores_by_vm = {**cell.options.cores_by_vm, name: 4.0}
        cell.add_vm(name, latency_s=0.002)
        cell.start_vm(name)
    for _ in range(30):
        replies = await asyncio.gather(
            *(
                vm.core.frontend.state(spec.job_id, "")
                for vm in cell.vms_by_name.values()
                if vm.core is not None
            )
        )
        outcomes = {reply.request_outcome for reply in replies}
        assert outcomes <= {RequestOutcome.STATE, RequestOutcome.NOT_RUN}
        await asyncio.sleep(0.1)
    earlier = {f"vm{n}" for n in range(6)}
    assert set(names) <= _following(cell) <= earlier.union(names)
    assert await cell.state(spec.job_id, "vm11") is JobState.COMPLETED
