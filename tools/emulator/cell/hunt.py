"""Hunt for jobs that wait beside idle capacity, with random faults.

``python -m tools.emulator.cell.hunt --seeds 200`` replays as many mixes of faults.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace

from briarrun_cell.model import AdviceTerms, Queue
from briarrun_core.resources import Resources
from tools.emulator.cell.faults import FAULTS, Fault, draw_faults
from tools.emulator.cell.holder_replay import HolderReplay
from tools.emulator.cell.idle import Violation
from tools.emulator.cell.workload import POOL, JobClass, Load

SETTLE_S = 16.0
"""Time after the traffic in which the backlog is worked off."""

WIDE_WORKERS = 176
"""Number of workers of the load from which the smaller ones are scaled."""


def _queue(
    name: str, priority: int, stretch: float, target_s: float, advice: AdviceTerms
) -> Queue:
    return Queue(
        name=name,
        host="cell",
        path_prefix=f"/{name}/",
        pool=POOL,
        priority=priority,
        max_attempts=3 if priority == 0 else 4,
        stretch=stretch,
        latency_target_s=target_s,
        advice=advice,
    )


def _terms(decision_s: float, per_worker_s: float) -> AdviceTerms:
    return AdviceTerms(decision_s=decision_s, per_worker_s=per_worker_s, validity_s=1.5)


CHECKS = JobClass(
    queue=_queue("check", 0, 1.5, 0.4, _terms(0.007, 0.0001)),
    jobs_per_s=62.0,
    value=0.4,
    approved=0.7,
    steps=(1.0, 0.0, 2.0),
    tasks=(3.0, 0.8, 19.0),
    run_s=(0.64, 0.5, 1.6),
    cores=(5_000.0, 0.45, 15_000.0),
    memory_mib=(14_000.0, 0.6, 43_000.0),
    estimate_error=0.5,
    gangs=0.3,
)
PLANS = JobClass(
    queue=_queue("plan", 1, 2.2, 1.2, _terms(0.34, 0.0049)),
    jobs_per_s=2.7,
    value=10.0,
    approved=0.3,
    steps=(1.2, 0.4, 3.0),
    tasks=(20.0, 0.8, 120.0),
    run_s=(4.0, 0.5, 10.0),
    cores=(9_000.0, 0.4, 15_000.0),
    memory_mib=(18_000.0, 0.5, 37_000.0),
    estimate_error=0.5,
    gangs=1.0,
)
REPORTS = JobClass(
    queue=_queue("report", 2, 4.0, 3.0, _terms(0.08, 0.0011)),
    jobs_per_s=5.6,
    value=3.0,
    approved=0.45,
    steps=(1.5, 0.4, 4.0),
    tasks=(25.0, 0.8, 150.0),
    run_s=(2.2, 0.5, 5.4),
    cores=(3_500.0, 0.45, 10_000.0),
    memory_mib=(10_000.0, 0.6, 30_000.0),
    estimate_error=0.9,
    apart=0.12,
)


def scaled_load(
    workers: int, vms: int, customers: int, lasts_s: float, intensity: float
) -> Load:
    """Return the load of a cell; ``intensity`` multiplies the usual rate of jobs."""
    factor = intensity * workers / WIDE_WORKERS
    return Load(
        tuple(
            replace(kind, jobs_per_s=kind.jobs_per_s * factor)
            for kind in (CHECKS, PLANS, REPORTS)
        ),
        workers,
        Resources(32_000, 131_072),
        vms,
        lasts_s,
        customers=customers,
    )


LOADS = {
    "small": scaled_load(24, 9, 5, 30.0, 0.8),
    "small-busy": scaled_load(24, 9, 5, 40.0, 1.2),
    "wide": scaled_load(WIDE_WORKERS, 43, 20, 30.0, 0.8),
}
"""Loads by name."""


@dataclass(frozen=True, slots=True)
class Finding:
    """Violations of one seed, with its faults by name."""

    load: str
    seed: int
    faults: dict[str, Fault]
    violations: list[Violation]

    def line(self) -> str:
        """Return one line of JSON with the first violations."""
        first = self.violations[:3]
        return json.dumps(
            {
                "load": self.load,
                "seed": self.seed,
                "faults": [repr(each) for each in self.faults.values()],
                "violations": len(self.violations),
                "after_traffic": sum(each.after_traffic for each in self.violations),
                "reasons": _reasons(self.violations),
                "first": [asdict(each) for each in first],
            }
        )


def replay_seed(
    load: str,
    seed: int,
    without: Sequence[str] = (),
    names: Sequence[str] = tuple(FAULTS),
) -> Finding:
    """Replay the mix of a seed, drawn from the named faults, ``without`` some."""
    drawn = draw_faults(LOADS[load], seed, names)
    faults = {name: each for name, each in drawn.items() if name not in without}
    replay = HolderReplay(LOADS[load], list(faults.values()), seed)
    return Finding(load, seed, faults, replay.run(SETTLE_S))


def minimise(
    load: str, seed: int, without: Sequence[str], names: Sequence[str]
) -> Finding:
    """Leave out faults of a seed one by one as long as there is a violation."""
    finding = replay_seed(load, seed, without, names)
    for name in list(finding.faults):
        smaller = replay_seed(load, seed, [*without, name], names)
        if smaller.violations:
            without = [*without, name]
            finding = smaller
    return finding


def _reasons(violations: Sequence[Violation]) -> dict[str, int]:
    reasons = [each.details.reason if each.details else "?" for each in violations]
    return {reason: reasons.count(reason) for reason in sorted(set(reasons))}


def main() -> int:
    """Replay the seeds, print what was found, and return 1 if there is a violation."""
    parser = argparse.ArgumentParser(prog="tools.emulator.cell.hunt")
    parser.add_argument("--load", choices=LOADS, default="small")
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--faults", nargs="*", choices=FAULTS, default=list(FAULTS))
    parser.add_argument("--without", nargs="*", choices=FAULTS, default=[])
    parser.add_argument("--minimise", action="store_true", help="leave out faults")
    arguments = parser.parse_args()
    found = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        began = time.monotonic()
        chosen = (arguments.load, seed, arguments.without, arguments.faults)
        finding = replay_seed(*chosen)
        if finding.violations:
            found += 1
            if arguments.minimise:
                finding = minimise(*chosen)
            print(finding.line(), flush=True)
        took_s = time.monotonic() - began
        print(f"seed {seed}: {took_s:.1f} s", file=sys.stderr, flush=True)
    print(f"{found} of {arguments.seeds} seeds with a violation", file=sys.stderr)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
