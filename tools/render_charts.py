"""Write docs/charts.md from the state charts."""

from __future__ import annotations

from pathlib import Path

from briarrun_core.chart import render_charts

PAGE = Path(__file__).resolve().parent.parent / "docs" / "charts.md"


def main() -> None:
    """Write the page."""
    PAGE.write_text(render_charts(), encoding="utf-8")


if __name__ == "__main__":
    main()
