"""Start a small fleet and keep it running for trying out the command line."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from tools.emulator.fleet import FleetPlan, ProcessFleet
from tools.emulator.workload import KEYS_BY_TEAM, OPERATOR, document

LIFETIME_S = 3600.0
PLAN = FleetPlan(domains=("split", "zagreb"), daemons_per_domain=2, workers=4)


def instructions(fleet: ProcessFleet) -> str:
    """Return the shell lines that point the command line at the fleet."""
    return "\n".join(
        (
            f"export BRIARRUN_LOG={fleet.addresses_by_name['log']}",
            f"export BRIARRUN_ENTRY={fleet.entry_vms[0].http_address}",
            f"export BRIARRUN_KEY={KEYS_BY_TEAM['roster'].token}",
            f"# operator's key: {OPERATOR.token}",
            "# the fleet stops on Ctrl-C, or after an hour",
        ),
    )


async def run(directory: Path) -> None:
    """Run the fleet until a signal or the end of its lifetime."""
    fleet = ProcessFleet(PLAN, directory)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    try:
        await fleet.start(document(PLAN.domains))
        print(instructions(fleet), flush=True)
        async with asyncio.timeout(LIFETIME_S):
            await stopped.wait()
    except TimeoutError:
        print("the fleet has reached its lifetime", file=sys.stderr)
    finally:
        await fleet.stop()


def main() -> None:
    """Run the fleet in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="briarrun-fleet-") as directory:
        asyncio.run(run(Path(directory)))


if __name__ == "__main__":
    main()
