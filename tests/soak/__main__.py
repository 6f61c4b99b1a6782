"""Run a soak: ``python -m tests.soak --seed N --duration S``."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from briarrun_cell.model import JobState
from briarrun_wire.http_types import HttpResponse
from tests.soak.callers import Callers
from tests.soak.faults import FAULTS
from tests.soak.world import START_S, SoakPlan, World

LAST_FAULT_S = 3.0
"""Time before the end of the load after which no fault begins."""

SETTLE_S = 3.0
"""Time after the last job has ended in which stopped runs may still end."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what a soak counted; ``broken`` lists the promises that were broken.

    A soak in which few jobs end proves little, so they are counted too.
    """

    seed: int
    requests: int
    accepted: int
    completed: int
    faults: int
    broken: tuple[str, ...]

    def __str__(self) -> str:
        """Return the closing line."""
        return (
            f"soak: seed {self.seed}, requests {self.requests}, "
            f"faults {self.faults}, broken {len(self.broken)}"
        )


async def run_soak(plan: SoakPlan, directory: Path) -> Outcome:
    """Start a cell, load and disturb it, and check its promises."""
    world = World(plan, directory)
    callers = Callers(world, random.Random(plan.seed + 3))
    try:
        await world.start()
        await _wait_until_ready(world, callers)
        faults = await _disturb(world, callers)
        world.allow_all()
        await callers.follow_all()
        await asyncio.sleep(SETTLE_S)
        callers.check_runs()
    finally:
        await world.stop()
        await callers.pool.close()
    broken = (*world.broken, *world.fleet.violations)
    jobs = callers.jobs_by_id.values()
    return Outcome(
        seed=plan.seed,
        requests=callers.requests,
        accepted=sum(job.accepted for job in jobs),
        completed=sum(job.state is JobState.COMPLETED for job in jobs),
        faults=faults,
        broken=broken,
    )


async def _wait_until_ready(world: World, callers: Callers) -> None:
    async with asyncio.timeout(START_S):
        for vm in world.vms_by_name.values():
            while True:
                result = await callers.pool.request(
                    vm.ready_address,
                    "GET",
                    "/-/readiness",
                    idempotent=True,
                    timeout_s=1.0,
                )
                if result.is_ok() and _is_ready(result.ok):
                    break
                await asyncio.sleep(0.05)


def _is_ready(response: HttpResponse) -> bool:
    return response.status == 200


async def _disturb(world: World, callers: Callers) -> int:
    """Load the cell for the plan's duration beside overlapping faults."""
    plan, loop = world.plan, asyncio.get_running_loop()
    rng = random.Random(plan.seed + 4)
    until = loop.time() + plan.duration_s
    load = [loop.create_task(callers.run(until)) for _ in range(plan.callers)] + [
        loop.create_task(callers.probe_keys(until))
    ]
    faults: list[asyncio.Future[None]] = []
    while True:
        await asyncio.sleep(rng.expovariate(plan.faults_per_s))
        if loop.time() > until - LAST_FAULT_S:
            break
        inject = rng.choice(FAULTS)
        at_s = plan.duration_s - (until - loop.time())
        print(f"{at_s:7.2f} {inject.__name__}", file=sys.stderr)
        # A source of its own, so that overlapping faults draw independently.
        drawn = random.Random(rng.random())
        faults.append(asyncio.ensure_future(inject(world, drawn)))
    await asyncio.gather(*faults, *load)
    return len(faults)


def main() -> int:
    """Run one soak, or several with consecutive seeds; 1 if a promise was broken."""
    defaults = SoakPlan()
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--duration", type=float, default=20.0, help="seconds of load")
    parser.add_argument("--vms", type=int, default=defaults.vms)
    parser.add_argument("--workers", type=int, default=defaults.workers)
    parser.add_argument("--callers", type=int, default=defaults.callers)
    parser.add_argument("--logs", type=Path, help="keep the logs in this directory")
    options = parser.parse_args()
    failed = False
    for seed in range(options.seed, options.seed + options.runs):
        plan = SoakPlan(
            seed, options.duration, options.vms, options.workers, options.callers
        )
        with tempfile.TemporaryDirectory() as scratch:
            directory = Path(scratch)
            if options.logs is not None:
                directory = options.logs / f"seed-{seed}"
                directory.mkdir(parents=True, exist_ok=True)
            outcome = asyncio.run(run_soak(plan, directory))
        for text in outcome.broken:
            print(f"broken: {text}")
        print(f"jobs: accepted {outcome.accepted}, completed {outcome.completed}")
        print(outcome, flush=True)
        failed = failed or bool(outcome.broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
