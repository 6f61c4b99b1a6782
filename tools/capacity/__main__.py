"""Measure and print the capacity page: ``python -m tools.capacity [--write]``."""

from __future__ import annotations

import argparse
from pathlib import Path

from tools.capacity.calls import call_figures
from tools.capacity.measures import (
    TEAMS,
    feed_time,
    fixed_sizes,
    fold_figures,
    ledger_figures,
    message_sizes,
    scheduler_memory,
    scheduler_time,
)
from tools.capacity.model import Measured
from tools.capacity.processes import measure_idle
from tools.capacity.report import render

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"


def measure_all() -> Measured:
    """Return all figures; takes about two minutes."""
    idle = {teams: measure_idle(teams) for teams in TEAMS}
    fits = [
        *scheduler_time(),
        *scheduler_memory(),
        *ledger_figures(),
        feed_time(),
        *fold_figures(),
        *message_sizes(),
        *call_figures(),
    ]
    return Measured({(f.name, f.per): f for f in fits}, fixed_sizes(), idle)


def main() -> int:
    """Measure, print and on demand write docs/CAPACITY.md."""
    parser = argparse.ArgumentParser(prog="tools.capacity", description=__doc__)
    parser.add_argument("--write", action="store_true", help="write docs/CAPACITY.md")
    arguments = parser.parse_args()
    page = render(measure_all())
    print(page)
    if arguments.write:
        PAGE.write_text(page, encoding="utf-8")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
