"""Hunt for tasks that run again after their end, with random faults.

``python -m tools.emulator.cell.once_hunt --seeds 30`` replays as many mixes of faults.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace

import looptime

from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.model import JobSpec
from briarrun_cell.ports import Topic
from briarrun_core.resources import Resources
from tools.emulator.cell.cell import CellOptions, FakeCell, step
from tools.emulator.cell.fleet import FakeWorker

LOAD_S = 15.0
"""Duration of the load and of the faults."""

SETTLE_S = 20.0
"""Time without faults after the load."""

MIN_FAULTS = 2
MAX_FAULTS = 4
"""Bounds of the number of kinds of faults in a mix."""

RULES = (
    "was started after it was done",
    "was started after its last attempt",
    "runs twice",
    "is overcommitted",
    "was not finished",
)
"""Texts by which violations are counted."""


def newest_lives(cell: FakeCell) -> list[FakeWorker]:
    """Return the newest life of each worker, in the order of the ids."""
    newest: dict[str, FakeWorker] = {}
    for worker in cell.fleet.workers_by_address.values():
        known = newest.get(worker.entry.worker_id)
        if known is None or known.entry.born_ms < worker.entry.born_ms:
            newest[worker.entry.worker_id] = worker
    return [newest[worker_id] for worker_id in sorted(newest)]


def _some(cell: FakeCell, rng: random.Random) -> list[FakeWorker]:
    workers = newest_lives(cell)
    return rng.sample(workers, rng.randint(1, len(workers)))


async def _restart(cell: FakeCell, rng: random.Random) -> None:
    """Start a worker again under its id, also with another address or capacity."""
    worker = rng.choice(newest_lives(cell))
    cell.fleet.crash(
        worker, refuses=rng.random() < 0.7, breaks_calls=rng.random() < 0.5
    )
    await asyncio.sleep(rng.choice((0.0, 0.0, 0.05, 0.3, 1.0)))
    entry = worker.entry
    address, capacity = entry.address, entry.capacity
    if rng.random() < 0.2:
        address = f"{entry.worker_id}:{entry.born_ms}"
    if rng.random() < 0.2:
        capacity = Resources(rng.choice((4_000, 8_000, 16_000)), 32_000)
    moved = (address, capacity) != (entry.address, entry.capacity)
    life = cell.fleet.rebirth(
        worker, faults=worker.faults, address=address, capacity=capacity
    )
    early = moved or rng.random() < 0.6
    await asyncio.sleep(rng.choice((0.0, 0.3)) if early else 3.0)
    if not life.dead:
        cell.register(life.entry)


async def _slow_orders(cell: FakeCell, rng: random.Random) -> None:
    """Let polls overtake orders."""
    cell.fleet.max_order_delay_s = rng.uniform(0.02, 0.3)
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    cell.fleet.max_order_delay_s = 0.0


async def _lose_answers(cell: FakeCell, rng: random.Random) -> None:
    """Lose answers of some workers for a while."""
    chosen = [worker.faults for worker in _some(cell, rng)]
    for faults in chosen:
        faults.lost_starts = rng.uniform(0.2, 1.0)
        faults.lost_stops = rng.uniform(0.0, 0.5)
        faults.lost_polls = rng.uniform(0.0, 0.8)
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    for faults in chosen:
        faults.lost_starts = faults.lost_stops = faults.lost_polls = 0.0


async def _delay_calls(cell: FakeCell, rng: random.Random) -> None:
    """Let some workers carry out a part of the calls late."""
    chosen = [worker.faults for worker in _some(cell, rng)]
    for faults in chosen:
        faults.late_s = rng.uniform(0.5, 5.0)
        faults.late_polls = rng.uniform(0.05, 0.3)
        faults.late_orders = rng.uniform(0.0, 0.3)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for faults in chosen:
        faults.late_polls = faults.late_orders = 0.0


async def _cut(cell: FakeCell, rng: random.Random) -> None:
    """Cut some workers off."""
    chosen = [worker.faults for worker in _some(cell, rng)]
    for faults in chosen:
        faults.cut = True
    await asyncio.sleep(rng.uniform(0.2, 7.0))
    for faults in chosen:
        faults.cut = False


async def _drain_cut_off(cell: FakeCell, rng: random.Random) -> None:
    """Let a worker drain; it is cut off, its entry expires, and it comes back."""
    worker = rng.choice(newest_lives(cell))
    cell.register(replace(worker.entry, draining=True))
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    worker.faults.cut = True
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    cell.store.put(Topic.WORKERS, worker.entry.worker_id, None)
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    worker.faults.cut = False
    if not worker.dead:
        cell.register(replace(worker.entry, draining=rng.random() < 0.5))
        await asyncio.sleep(2.0)
    newest = next(
        each
        for each in newest_lives(cell)
        if each.entry.worker_id == worker.entry.worker_id
    )
    if not newest.dead:
        cell.register(newest.entry)


async def _change_holder(cell: FakeCell, rng: random.Random) -> None:
    """End the process of the holder, and start it again later."""
    holder = cell.holder()
    if holder is None:
        return
    cell.kill_vm(holder.name)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    if holder.core is None:
        cell.start_vm(holder.name)


async def _freeze_holder(cell: FakeCell, rng: random.Random) -> None:
    """Freeze the VM of the holder for a while."""
    holder = cell.holder()
    if holder is None:
        return
    holder.store.running.clear()
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    holder.store.running.set()


async def _lose_store_answers(cell: FakeCell, rng: random.Random) -> None:
    """Lose answers of the store for a while."""
    cell.store.faults.lose_answers = rng.uniform(0.1, 0.4)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    cell.store.faults.lose_answers = 0.0


FAULTS: dict[str, Callable[[FakeCell, random.Random], Awaitable[None]]] = {
    "restart": _restart,
    "slow-orders": _slow_orders,
    "lost-answers": _lose_answers,
    "late-calls": _delay_calls,
    "cut": _cut,
    "drain-cut-off": _drain_cut_off,
    "holder-change": _change_holder,
    "frozen-holder": _freeze_holder,
    "lost-store-answers": _lose_store_answers,
}
"""Faults by name; each begins and ends within its call."""


@dataclass(frozen=True, slots=True)
class Finding:
    """Violations of one seed, with the names of its faults."""

    seed: int
    faults: tuple[str, ...]
    starts: int
    violations: tuple[str, ...]

    def line(self) -> str:
        """Return one line of JSON with the first violations."""
        rules = Counter(
            next((rule for rule in RULES if rule in text), "other")
            for text in self.violations
        )
        return json.dumps(
            {
                "seed": self.seed,
                "faults": self.faults,
                "starts": self.starts,
                "violations": len(self.violations),
                "rules": dict(rules),
                "first": self.violations[:3],
            }
        )


def draw_faults(seed: int, names: Sequence[str] = tuple(FAULTS)) -> tuple[str, ...]:
    """Return the kinds of faults of a seed."""
    rng = random.Random(f"{seed}/mix")
    most = min(MAX_FAULTS, len(names))
    return tuple(rng.sample(list(names), rng.randint(min(MIN_FAULTS, most), most)))


def replay_seed(
    seed: int, names: Sequence[str] = tuple(FAULTS), load_s: float = LOAD_S
) -> Finding:
    """Replay the mix of a seed, drawn from the named faults."""
    faults = draw_faults(seed, names)
    loop = looptime.new_event_loop(start=0, noop_cycles=1)
    try:
        return loop.run_until_complete(_replay(seed, faults, load_s))
    finally:
        loop.close()


async def _replay(seed: int, faults: tuple[str, ...], load_s: float) -> Finding:
    cell = FakeCell(seed, CellOptions(vms=3, workers=5, max_attempts=3))
    try:
        await cell.start()
        await cell.wait_for_holder()
        tasks = [asyncio.create_task(_send_load(cell, seed, load_s))]
        for name in faults:
            tasks.append(asyncio.create_task(_repeat(cell, seed, name, load_s)))
        await asyncio.gather(*tasks)
        unfinished = await cell.finished(cell.accepted, SETTLE_S)
        await asyncio.sleep(3.0)  # The last ends are acknowledged.
        for job_id in sorted(unfinished):
            cell.fleet.report(f"{job_id} was not finished")
        violations = tuple(cell.fleet.violations)
        return Finding(seed, faults, cell.fleet.starts, violations)
    finally:
        cell.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


async def _repeat(cell: FakeCell, seed: int, name: str, load_s: float) -> None:
    """Let a fault come again and again while the load lasts."""
    rng = random.Random(f"{seed}/{name}")
    loop = asyncio.get_running_loop()
    end_at = loop.time() + load_s
    while True:
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        if loop.time() >= end_at:
            return
        await FAULTS[name](cell, rng)


async def _send_load(cell: FakeCell, seed: int, load_s: float) -> None:
    rng = random.Random(f"{seed}/load")
    loop = asyncio.get_running_loop()
    end_at = loop.time() + load_s
    calls = []
    while loop.time() < end_at:
        await asyncio.sleep(rng.expovariate(6.0))
        spec = _draw_job(cell, rng)
        if rng.random() < 0.1:
            cell.fleet.poison.add(spec.job_id)
        calls.append(asyncio.create_task(_submit(cell, spec)))
    await asyncio.gather(*calls)


def _draw_job(cell: FakeCell, rng: random.Random) -> JobSpec:
    run_ms = int(rng.choice((rng.uniform(100, 600), rng.uniform(100, 3_000))))
    shape = rng.choice(("one", "wide", "gang", "chain"))
    steps = {
        "one": (step(1, run_ms),),
        "wide": (step(rng.randint(2, 8), run_ms),),
        "gang": (step(rng.randint(2, 5), run_ms, gang=True),),
        "chain": (step(2, run_ms), step(2, run_ms, after=(0,))),
    }[shape]
    return cell.spec(*steps, queue=rng.choice(("urgent", "normal")))


async def _submit(cell: FakeCell, spec: JobSpec) -> None:
    for _ in range(40):
        reply = await cell.submit(spec)
        if reply.request_outcome is RequestOutcome.ACCEPTED:
            return
        await asyncio.sleep(0.3)


def main() -> int:
    """Replay the seeds, print what was found, and return 1 if there is a violation."""
    parser = argparse.ArgumentParser(prog="tools.emulator.cell.once_hunt")
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--faults", nargs="*", choices=FAULTS, default=list(FAULTS))
    arguments = parser.parse_args()
    found = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        began = time.monotonic()
        finding = replay_seed(seed, arguments.faults)
        if finding.violations:
            found += 1
            print(finding.line(), flush=True)
        took_s = time.monotonic() - began
        print(f"seed {seed}: {took_s:.1f} s", file=sys.stderr, flush=True)
    print(f"{found} of {arguments.seeds} seeds with a violation", file=sys.stderr)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
