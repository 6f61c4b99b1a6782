"""Faults of a soak: each is injected from outside, lasts a while and is healed."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from briarrun_core.resources import Resources
from tests.soak.world import (
    GRACE_S,
    HIGHEST_LIMIT,
    LOWEST_LIMIT,
    SoakVm,
    SoakWorker,
    World,
)
from tools.emulator.cell.store import StoreFaults

Fault = Callable[[World, random.Random], Awaitable[None]]

REGISTRY_EXPIRY_S = 4.5
"""Time after which the entry of a worker that is gone is removed."""

ANY_LENGTH_S = 3600.0
"""Stands for the unknown length of a disturbance until it ends."""

DRAIN_S = 2.5
LIMITS = (HIGHEST_LIMIT, Resources(24_000, 0), LOWEST_LIMIT)


def _vm(world: World, rng: random.Random) -> SoakVm:
    return world.vms_by_name[rng.choice(sorted(world.vms_by_name))]


def _worker(world: World, rng: random.Random) -> SoakWorker:
    return world.workers_by_id[rng.choice(sorted(world.workers_by_id))]


async def _restart(vm: SoakVm, after_s: float) -> None:
    await asyncio.sleep(after_s)
    if vm.child is None or not vm.child.is_running:
        await vm.start()


async def _kill(vm: SoakVm, after_s: float) -> None:
    vm.disturb()
    child = vm.child
    if child is not None and child.is_running:
        child.signal(signal.SIGKILL)
        await child.process.wait()
        await _restart(vm, after_s)


async def kill_vm(world: World, rng: random.Random) -> None:
    """End one process without notice."""
    await _kill(_vm(world, rng), 0.1 + 1.5 * rng.random())


async def kill_all_vms(world: World, rng: random.Random) -> None:
    """End every process at once."""
    vms = list(world.vms_by_name.values())
    await asyncio.gather(*(_kill(vm, 0.1 + rng.random()) for vm in vms))


async def kill_holder(world: World, rng: random.Random) -> None:
    """End the process that acts for the cell."""
    await _kill(world.holder() or _vm(world, rng), 0.1 + 1.5 * rng.random())


async def stop_vm(world: World, rng: random.Random) -> None:
    """Stop one process gracefully and start it again."""
    vm = _vm(world, rng)
    if vm.child is None or not vm.child.is_running or vm.stopping:
        return
    vm.stopping = True
    if await vm.child.stop(GRACE_S) == -signal.SIGKILL:
        vm.disturb()
    await _restart(vm, 0.2)


async def pause_vm(world: World, rng: random.Random) -> None:
    """Suspend one process for a while."""
    await _pause(_vm(world, rng), rng)


async def pause_holder(world: World, rng: random.Random) -> None:
    """Suspend the process that acts for the cell."""
    await _pause(world.holder() or _vm(world, rng), rng)


async def _pause(vm: SoakVm, rng: random.Random) -> None:
    child = vm.child
    if child is None or not child.is_running:
        return
    vm.disturb()
    child.signal(signal.SIGSTOP)
    await asyncio.sleep(0.3 + 3.5 * rng.random())
    child.signal(signal.SIGCONT)
    vm.disturb()


async def reload_vm(world: World, rng: random.Random) -> None:
    """Tell one process that its settings have changed."""
    vm = _vm(world, rng)
    if vm.child is not None:
        vm.child.signal(signal.SIGHUP)


async def cut_store(world: World, rng: random.Random) -> None:
    """Reset one VM's connections to the store, and each new one."""
    vm = _vm(world, rng)
    vm.disturb(for_s=ANY_LENGTH_S)
    vm.relay.cut()
    await asyncio.sleep(0.5 + 8 * rng.random())
    vm.relay.resume()
    vm.disturb()


async def refuse_holder(world: World, rng: random.Random) -> None:
    """Let the store turn away the VM that acts for the cell."""
    await _refuse(world.holder() or _vm(world, rng), 0.5 + 4 * rng.random())


async def _refuse(vm: SoakVm, length_s: float) -> None:
    vm.disturb(for_s=ANY_LENGTH_S)
    vm.view.refused = True
    await asyncio.sleep(length_s)
    vm.view.refused = False
    vm.disturb()


async def silence_store(world: World, rng: random.Random) -> None:
    """Let one VM's open connections to the store go silent; new ones work."""
    vm = _vm(world, rng)
    vm.disturb()
    vm.relay.silence_open_connections()


async def stall_store(world: World, rng: random.Random) -> None:
    """Hold back everything between one VM and the store."""
    vm = _vm(world, rng)
    vm.disturb(for_s=ANY_LENGTH_S)
    vm.relay.stall()
    await asyncio.sleep(0.5 + 8 * rng.random())
    vm.relay.resume()
    vm.disturb()


async def refuse_vm(world: World, rng: random.Random) -> None:
    """Let the store turn one VM away."""
    await _refuse(_vm(world, rng), 0.5 + 8 * rng.random())


async def _spoil_store(world: World, length_s: float, **faults: float) -> None:
    """Switch faults of the store for all VMs, and back."""
    normal = StoreFaults()
    world.disturb(for_s=ANY_LENGTH_S)
    for name, value in faults.items():
        setattr(world.store.faults, name, value)
    await asyncio.sleep(length_s)
    for name in faults:
        setattr(world.store.faults, name, getattr(normal, name))
    world.disturb()


async def store_down(world: World, rng: random.Random) -> None:
    """Let the store refuse every call."""
    await _spoil_store(world, 0.5 + 3 * rng.random(), down=True)


async def store_slow(world: World, rng: random.Random) -> None:
    """Let the store answer slowly."""
    await _spoil_store(world, 1 + 3 * rng.random(), slow_factor=50.0)


async def store_loses_answers(world: World, rng: random.Random) -> None:
    """Let answers to appends get lost after they took effect."""
    await _spoil_store(world, 1 + 3 * rng.random(), lose_answers=0.35)


async def store_appends_late(world: World, rng: random.Random) -> None:
    """Let some appends take effect seconds after they were given up."""
    await _spoil_store(world, 1 + 3 * rng.random(), late_appends=0.15)


async def truncate_history(world: World, rng: random.Random) -> None:
    """Let the store forget all but the newest record of each key."""
    for topic in sorted(world.store.topics):
        world.store.truncate(topic)


async def cut_worker(world: World, rng: random.Random) -> None:
    """Cut one worker off; what it runs goes on."""
    worker = _worker(world, rng).worker
    worker.faults.cut = True
    await asyncio.sleep(1 + 5 * rng.random())
    worker.faults.cut = False


async def silence_worker(world: World, rng: random.Random) -> None:
    """Let open connections to one worker go silent; new ones work."""
    _worker(world, rng).relay.silence_open_connections()


async def stall_worker(world: World, rng: random.Random) -> None:
    """Hold back everything to and from one worker."""
    relay = _worker(world, rng).relay
    relay.stall()
    await asyncio.sleep(0.5 + 3 * rng.random())
    relay.resume()


async def crash_worker(world: World, rng: random.Random) -> None:
    """Crash one worker; it starts again under its id."""
    held = _worker(world, rng)
    if held.worker.dead:
        return
    world.fleet.crash(held.worker)
    await asyncio.sleep(0.2 + REGISTRY_EXPIRY_S * rng.random())
    world.rebirth(held.worker.entry.worker_id)


async def drain_worker(world: World, rng: random.Random) -> None:
    """Announce that one worker leaves, let it leave, and let another one come."""
    held = _worker(world, rng)
    if held.worker.dead or held.worker.entry.draining:
        return
    entry = replace(held.worker.entry, draining=True)
    world.register(entry)
    await asyncio.sleep(DRAIN_S + 1.5 * rng.random())
    world.fleet.crash(held.worker)
    await asyncio.sleep(1.0)
    world.rebirth(entry.worker_id)


async def worker_fails_all(world: World, rng: random.Random) -> None:
    """Let one worker fail everything that it runs."""
    worker = _worker(world, rng).worker
    worker.faults.fails_all = True
    await asyncio.sleep(1 + 4 * rng.random())
    worker.faults.fails_all = False


async def worker_acts_late(world: World, rng: random.Random) -> None:
    """Let one worker leave orders unanswered and carry them out later."""
    worker = _worker(world, rng).worker
    worker.faults.late_s = 1 + 4 * rng.random()
    worker.faults.late_orders = 0.4
    await asyncio.sleep(1 + 4 * rng.random())
    worker.faults.late_orders = 0.0


async def change_limit(world: World, rng: random.Random) -> None:
    """Change the customers' upper limit."""
    world.limit = rng.choice(LIMITS)
    world.publish()


async def replace_key(world: World, rng: random.Random) -> None:
    """Withdraw one customer's key."""
    world.replace_key(rng.choice(sorted(world.key_by_customer)))


FAULTS: tuple[Fault, ...] = (
    kill_vm,
    kill_holder,
    kill_holder,
    pause_holder,
    refuse_holder,
    kill_all_vms,
    stop_vm,
    stop_vm,
    pause_vm,
    pause_vm,
    reload_vm,
    cut_store,
    silence_store,
    stall_store,
    refuse_vm,
    store_down,
    store_slow,
    store_loses_answers,
    store_appends_late,
    truncate_history,
    cut_worker,
    silence_worker,
    stall_worker,
    crash_worker,
    drain_worker,
    worker_fails_all,
    worker_acts_late,
    change_limit,
    replace_key,
)
