"""Start a small fleet, submit requests and jobs, kill VMs and count what happened."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path

import msgspec

from tools.emulator.counting import Truth
from tools.emulator.fleet import FleetPlan, ProcessFleet
from tools.emulator.load import Work
from tools.emulator.trial import Verdict, holder_of, run_load
from tools.emulator.workload import document, plan_work

REQUESTS = 1000
JOBS = 200
LOAD_S = 12.0
FOLLOW_S = 12.0
MIN_DONE_FRACTION = 0.95


async def kill_half_way(fleet: ProcessFleet) -> None:
    """Kill the holder of a domain and one of its upstreams."""
    holder = await holder_of(fleet, fleet.plan.domains[0])
    print(f"demo: kills entry VM {holder} and upstream-0", flush=True)
    await asyncio.gather(fleet.kill(holder), fleet.kill("upstream-0"))


def print_table(works: Sequence[Work], truth: Truth) -> None:
    """Print waiting times and outcomes per team and class."""
    rows: defaultdict[tuple[str, str], list[Work]] = defaultdict(list)
    for work in works:
        rows[work.team, work.group].append(work)
    head = f"{'team':<10}{'class':<9}{'n':>5}{'p50 ms':>9}{'p99 ms':>9}"
    print(f"{head}{'done':>7}{'not run':>9}{'unknown':>9}")
    for (team, group), members in sorted(rows.items()):
        waits = sorted(
            start - work.submitted_at
            for work in members
            if (start := truth.first_start(work)) is not None
        )
        p50, p99 = (_percentile(waits, share) for share in (0.5, 0.99))
        outcomes = [work.outcome for work in members]
        print(
            f"{team:<10}{group:<9}{len(members):>5}{p50:>9}{p99:>9}"
            f"{outcomes.count('done'):>7}{outcomes.count('not-run'):>9}"
            f"{outcomes.count('unknown'):>9}"
        )


def _percentile(ordered: Sequence[float], share: float) -> str:
    if not ordered:
        return "-"
    return f"{ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000:.0f}"


def report(works: Sequence[Work], truth: Truth, verdict: Verdict) -> None:
    """Print the table, each finding and the last line."""
    print_table(works, truth)
    for finding in verdict.findings:
        print(f"demo: {finding}")
    outcomes = [work.outcome for work in works]
    print(
        f"demo: submitted {len(works)}, done {outcomes.count('done')},"
        f" not run {outcomes.count('not-run')}, unknown {outcomes.count('unknown')},"
        f" lost {len(verdict.lost)}, doubled {len(verdict.doubled)}"
    )


def print_memory(fleet: ProcessFleet, when: str) -> None:
    """Print the smallest and the largest resident memory of the daemons."""
    sizes = fleet.resident_mib()
    print(
        f"demo: daemons take {sizes[0]:.1f} to {sizes[-1]:.1f} MiB {when}", flush=True
    )


async def run_demo(directory: Path) -> bool:
    """Run the whole demo in a directory; True if it succeeded."""
    began = time.monotonic()
    fleet = ProcessFleet(FleetPlan(), directory)
    works = plan_work(fleet.plan.domains, REQUESTS, JOBS)
    try:
        await fleet.start(document(fleet.plan.domains))
        print(f"demo: fleet ready after {time.monotonic() - began:.1f} s", flush=True)
        print_memory(fleet, "after the start")
        await run_load(fleet, works, LOAD_S, FOLLOW_S, kill_half_way)
        print_memory(fleet, "after the load")
    finally:
        statuses = await fleet.stop()
    unclean = {name: status for name, status in statuses.items() if status != 0}
    if unclean:
        print(f"demo: exit statuses after SIGTERM: {unclean}")
    (directory / "work.json").write_bytes(msgspec.json.encode(works))
    print(f"demo: took {time.monotonic() - began:.1f} s")
    records = fleet.records()
    verdict = Verdict.of(works, records, MIN_DONE_FRACTION)
    report(works, Truth.from_records(records), verdict)
    return not verdict.findings and not unclean


def main() -> int:
    """Run the demo; return its exit status."""
    if len(sys.argv) > 1:
        directory = Path(sys.argv[1])
        directory.mkdir(parents=True, exist_ok=True)
        return 0 if asyncio.run(run_demo(directory)) else 1
    with tempfile.TemporaryDirectory(prefix="briarrun-demo-") as temporary:
        return 0 if asyncio.run(run_demo(Path(temporary))) else 1


if __name__ == "__main__":
    sys.exit(main())
