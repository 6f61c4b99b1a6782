"""One run of a load over a fleet that is disturbed half-way, and its verdict."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

from briarrun_wire.http_client import HttpPool, PoolLimits
from tools.emulator.counting import (
    Truth,
    find_doubled,
    find_lost,
    find_overcommitted,
)
from tools.emulator.fleet import ProcessFleet
from tools.emulator.load import Callers, Work
from tools.emulator.workload import OPERATOR

WORKER_CAPACITY = {"cores": 64_000, "memory_mib": 256 * 1024, "accelerators": 0}
Disturbance = Callable[[ProcessFleet], Awaitable[None]]


async def run_load(
    fleet: ProcessFleet,
    works: Sequence[Work],
    load_s: float,
    follow_s: float,
    disturb: Disturbance,
) -> None:
    """Submit at an even rate, disturb half-way, and follow jobs for ``follow_s``."""
    pool = HttpPool(PoolLimits(max_connections=500))
    addresses = [vm.http_address for vm in fleet.entry_vms]
    callers = Callers(pool, addresses, OPERATOR.token)
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def one(number: int, work: Work) -> None:
        await asyncio.sleep(
            max(0.0, began + load_s * number / len(works) - loop.time())
        )
        await callers.submit(work)
        if work.accepted:
            await callers.follow(work, began + load_s + follow_s)

    async def disturb_half_way() -> None:
        await asyncio.sleep(load_s / 2)
        await disturb(fleet)

    await asyncio.gather(
        disturb_half_way(), *(one(number, work) for number, work in enumerate(works))
    )
    await pool.close()


async def holder_of(fleet: ProcessFleet, domain: str) -> str:
    """Return the VM that holds a domain, the hardest one to lose."""
    vm = next(vm for vm in fleet.entry_vms if vm.domain == domain)
    response = await fleet.get(vm.http_address, "/v1/status")
    holder = response.json()["domains"].get(domain) if response else None
    return str(holder or vm.vm_id)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold what a run did wrong, counted from the stand-ins' records."""

    lost: list[str]
    doubled: list[str]
    others: list[str]

    @classmethod
    def of(
        cls,
        works: Sequence[Work],
        records: Sequence[dict[str, Any]],
        min_done_fraction: float,
    ) -> Verdict:
        """Compare what callers were told with what ran."""
        truth = Truth.from_records(records)
        others = find_overcommitted(records, WORKER_CAPACITY)
        others += [
            f"{work.work_id} with a wrong key ran"
            for work in works
            if not work.correct and truth.first_start(work) is not None
        ]
        correct = [work for work in works if work.correct]
        done = sum(work.outcome == "done" for work in correct)
        if done < min_done_fraction * len(correct):
            others.append(
                f"only {done} of {len(correct)} correct requests and jobs are done"
            )
        return cls(find_lost(truth, works), find_doubled(truth, works), others)

    @property
    def findings(self) -> list[str]:
        """Return all that is wrong."""
        return [*self.lost, *self.doubled, *self.others]
