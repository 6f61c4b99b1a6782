"""Tests of the ends of runs that a worker forgot before they were read."""

from __future__ import annotations

import pytest

from briarrun_cell.model import EndKind, EndReport, StepId
from tests.cell.test_ledger import entry, make_ledger, poll


@pytest.mark.parametrize(
    ("numbers_by_poll", "gaps"),
    [
        ([[1, 2], [3]], 0),
        ([[1, 2], [1, 2, 3]], 0),
        ([[7, 8], [9]], 0),
        ([[1, 2], [4]], 1),
        ([[1], [5, 6], [8]], 4),
    ],
    ids=["in turn", "listed again", "after an earlier holder", "one", "several"],
)
def test_forgotten_ends_are_counted(
    numbers_by_poll: list[list[int]], gaps: int
) -> None:
    """Guards against ends that vanish without a trace in metrics and logs."""
    ledger = make_ledger(workers=0)
    (worker,) = ledger.set_workers([entry("w")], [])
    task = StepId("j", 0, 0).task(0)
    for numbers in numbers_by_poll:
        ends = tuple(EndReport(n, task, n, EndKind.STOPPED, "") for n in numbers)
        poll(ledger, worker, ended=ends)
    assert ledger.end_gaps == gaps
