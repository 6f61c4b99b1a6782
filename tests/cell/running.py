"""Decorator for tests that run against an emulated cell in virtual time."""

from __future__ import annotations

import functools
import inspect
from collections.abc import Awaitable, Callable
from typing import Any

from tools.emulator.cell.cell import CellOptions, FakeCell

Test = Callable[..., Awaitable[None]]


def with_cell(seed: int = 1, **options: Any) -> Callable[[Test], Test]:
    """Pass a started cell to a test, and check for violations at its end.

    A fixture would start the cell before looptime has set the time of the loop.
    """

    def decorate(test: Test) -> Test:
        @functools.wraps(test)
        async def run(**parameters: Any) -> None:
            chosen = parameters.get("seed", seed)
            cell = FakeCell(chosen, CellOptions(**options))
            try:
                await cell.start()
                await cell.wait_for_holder()
                await test(cell, **parameters)
                assert not cell.fleet.violations, cell.fleet.violations
            finally:
                cell.close()

        names = list(inspect.signature(test).parameters.values())[1:]
        run.__signature__ = inspect.Signature(names)  # type: ignore[attr-defined]
        return run

    return decorate
