"""Plot the mean worth of the days of every scored run in the journal."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot as plt  # noqa: E402

JOURNAL = Path("journal")
FIGURE = Path("docs/figures/progress.svg")


@dataclass(frozen=True, slots=True)
class ScoredRun:
    """Hold one scored run: its site, time, mean worth and broken rules."""

    site: str
    ended_at: str
    worth: float
    broken: int


def read_journal(folder: Path) -> list[ScoredRun]:
    """Return the scored runs in order of time."""
    runs = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text())
        if entry.get("cmd") != "score" or not entry.get("days"):
            continue
        days = entry["days"]
        runs.append(
            ScoredRun(
                entry["site"],
                entry["at"][-1],
                fmean(day["G"] for day in days if day.get("G") is not None),
                sum(1 for day in days if day.get("rules")),
            )
        )
    return runs


def plot(runs: list[ScoredRun], target: Path) -> None:
    """Draw one line per site; runs with a broken rule are crossed."""
    figure, axes = plt.subplots(figsize=(7, 4))
    for site in sorted({run.site for run in runs}):
        worths = [run.worth for run in runs if run.site == site]
        axes.plot(range(1, len(worths) + 1), worths, marker="o", label=site)
        for number, run in enumerate((r for r in runs if r.site == site), start=1):
            if run.broken:
                axes.plot(number, run.worth, marker="x", color="black", markersize=10)
    axes.set_xlabel("scored run of the site")
    axes.set_ylabel("mean worth of the days")
    axes.legend()
    figure.savefig(target)


def main() -> None:
    """Write the figure and print the runs."""
    runs = read_journal(JOURNAL)
    for run in runs:
        print(
            f"{run.ended_at} {run.site}: worth {run.worth:.3f}, broken days {run.broken}"
        )
    plot(runs, FIGURE)


if __name__ == "__main__":
    main()
