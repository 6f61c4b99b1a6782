"""Series of overlapping faults of VMs, store and workers, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.model import JobSpec
from briarrun_cell.ports import Topic
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step
from tools.emulator.cell.fleet import EVACUATION_S

pytestmark = pytest.mark.looptime

FAULTS = (
    "kill",
    "kill_all",
    "freeze",
    "cut",
    "down",
    "silent",
    "lost",
    "late",
    "slow",
    "truncate",
    "worker_crash",
    "worker_cut",
    "worker_reborn",
    "late_orders",
)


STORE_DISTURBED_S = 6.0
"""Time by which an evacuation may be in force later while the store is disturbed."""


async def _inject_fault(cell: FakeCell, fault: str) -> None:
    rng, store = cell.rng, cell.store
    vm = cell.holder() or rng.choice(list(cell.vms_by_name.values()))
    worker = rng.choice(list(cell.fleet.workers_by_address.values()))
    duration_s = rng.uniform(0.5, 5.0)
    if fault in ("kill", "kill_all", "kill_replicas"):
        names = {
            "kill": [vm.name],
            "kill_all": list(cell.vms_by_name),
            "kill_replicas": [
                name
                for name, each in cell.vms_by_name.items()
                if each.core is None or each.core.is_replica
            ],
        }[fault]
        for name in names:
            cell.kill_vm(name)
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        for name in names:
            if cell.vms_by_name[name].core is None:
                cell.start_vm(name)
    elif fault == "freeze":
        vm.store.running.clear()
        await asyncio.sleep(duration_s)
        vm.store.running.set()
    elif fault == "cut":
        vm.store.cut = True
        await asyncio.sleep(duration_s)
        vm.store.cut = False
    elif fault in ("down", "silent"):
        setattr(store.faults, fault, True)
        await asyncio.sleep(duration_s)
        setattr(store.faults, fault, False)
    elif fault == "lost":
        store.faults.lose_answers = 0.4
        await asyncio.sleep(duration_s)
        store.faults.lose_answers = 0.0
    elif fault == "relay_lost":
        cell.lose_relay_answers = 0.5
        await asyncio.sleep(duration_s)
        cell.lose_relay_answers = 0.0
    elif fault == "late":
        store.faults.late_appends = 0.3
        await asyncio.sleep(duration_s)
        store.faults.late_appends = 0.0
    elif fault == "slow":
        store.faults.slow_factor = 50.0
        await asyncio.sleep(duration_s)
        store.faults.slow_factor = 1.0
    elif fault == "truncate":
        for topic in Topic:
            store.truncate(topic)
    elif fault == "worker_crash":
        cell.fleet.crash(worker)
        store.put(Topic.WORKERS, worker.entry.worker_id, None)
        cell.number += 1
        cell.add_worker(f"x{cell.number}")
    elif fault == "worker_cut":
        worker.faults.cut = True
        await asyncio.sleep(duration_s)
        worker.faults.cut = False
    elif fault == "worker_reborn":
        if not worker.dead:
            cell.register(cell.fleet.rebirth(worker).entry)
    elif fault == "evacuate":
        domain = rng.choice(cell.options.failure_domains)
        cell.evacuate(domain, disturbed_s=STORE_DISTURBED_S)
        await asyncio.sleep(EVACUATION_S + STORE_DISTURBED_S + duration_s)
        cell.end_evacuation(domain)
    elif fault == "preempt":
        if not worker.dead:
            cell.preempt(worker)
            cell.number += 1
            domain = worker.entry.failure_domain
            cell.add_worker(f"x{cell.number}", failure_domain=domain)
    elif fault == "late_orders":
        worker.faults.late_orders = 0.5
        await asyncio.sleep(duration_s)
        worker.faults.late_orders = 0.0


async def _run_load(cell: FakeCell, seconds: float) -> None:
    rng = cell.rng
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    tasks = []
    while loop.time() < end_at:
        await asyncio.sleep(rng.expovariate(6.0))
        shape = rng.choice(["one", "wide", "gang", "chain"])
        run_ms = int(rng.uniform(50, 2500))
        steps = {
            "one": (step(1, run_ms),),
            "wide": (step(rng.randint(2, 8), run_ms),),
            "gang": (step(rng.randint(2, 5), run_ms, cores=2000, gang=True),),
            "chain": (step(2, run_ms), step(2, run_ms, after=(0,))),
        }[shape]
        spec = cell.spec(
            *steps,
            queue=rng.choice(["urgent", "normal"]),
            customer=rng.choice(["roster", "stalls"]),
        )
        tasks.append(asyncio.create_task(_submit_until_accepted(cell, spec)))
        if rng.random() < 0.1:
            loop.call_later(
                rng.random(),
                lambda s=spec: tasks.append(  # type: ignore[misc]
                    asyncio.create_task(_cancel(cell, s))
                ),
            )
    await asyncio.gather(*tasks)


async def _submit_until_accepted(cell: FakeCell, spec: JobSpec) -> None:
    for _ in range(40):
        reply = await cell.submit(spec)
        if reply.request_outcome is RequestOutcome.ACCEPTED:
            return
        await asyncio.sleep(0.3)


async def _cancel(cell: FakeCell, spec: JobSpec) -> None:
    for _ in range(20):
        reply = await cell.cancel(spec)
        if reply.request_outcome is RequestOutcome.CANCELLED:
            return
        await asyncio.sleep(0.3)


@pytest.mark.parametrize("seed", range(40))
@with_cell(vms=4, workers=6)
async def test_overlapping_faults_break_no_promise(cell: FakeCell, seed: int) -> None:
    """Guards against violations under overlapping faults, chosen by the seed."""
    await _survive(cell, FAULTS)


@pytest.mark.parametrize("seed", range(100, 120))
@with_cell(vms=10, workers=6, cores_by_vm={f"vm{n}": 0.5 for n in range(6, 10)})
async def test_overlapping_faults_on_a_cell_with_few_replicas(
    cell: FakeCell, seed: int
) -> None:
    """Guards against violations at VMs that write and ask through others."""
    await _survive(cell, (*FAULTS, "relay_lost", "kill_replicas"))


@pytest.mark.parametrize("seed", range(200, 212))
@with_cell(vms=4, workers=9, failure_domains=("fd1", "fd2", "fd3"))
async def test_evacuations_and_notices_beside_faults(cell: FakeCell, seed: int) -> None:
    """Guards against starts in evacuated failure domains while other things fail."""
    evacuations = [
        asyncio.create_task(_inject_fault(cell, fault))
        for fault in ("evacuate", "preempt", "evacuate")
    ]
    await _survive(cell, (*FAULTS, "preempt"))
    await asyncio.gather(*evacuations)


async def _survive(cell: FakeCell, kinds: tuple[str, ...]) -> None:
    rng = cell.rng
    load = asyncio.create_task(_run_load(cell, 15.0))
    faults = []
    for _ in range(8):
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        fault = rng.choice(kinds)
        print(f"{asyncio.get_running_loop().time():.2f} {fault}")
        faults.append(asyncio.create_task(_inject_fault(cell, fault)))
    await asyncio.gather(load, *faults)
    assert await cell.finished(cell.accepted, 60.0) == set()
    assert not cell.accepted & cell.rejected - cell.accepted
    ran = set(cell.fleet.first_start_by_job)
    assert not ran & (cell.rejected - cell.accepted) - _repeated(cell)
    assert not ran & (cell.rejected - cell.accepted - cell.in_doubt)


def _repeated(cell: FakeCell) -> set[str]:
    """Return the jobs with a record in the store, which may therefore run."""
    return {record.key[2:] for record in cell.store.values(Topic.JOBS)}
