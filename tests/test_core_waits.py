"""Tests of the scheduler of packages/core that tasks do not wait in an idle fleet."""

from __future__ import annotations

from briarrun_core.headroom import UrgentHeadroom
from briarrun_core.resources import Resources
from briarrun_core.views import WorkerView
from briarrun_core.worker_health import WorkerHealth
from briarrun_core.worker_table import WorkerTable


def test_headroom_of_a_size_that_no_worker_has_blocks_nobody() -> None:
    """Guards against an idle fleet in which no task that is not urgent can start.

    The unit of the headroom is the mean of large tasks without and small ones with an
    accelerator, which fits on no worker.
    """
    table = WorkerTable(lambda worker_id: True)
    headroom = UrgentHeadroom(table)
    large, accelerated = Resources(64_000, 1000), Resources(16_000, 1000, 1)
    for number in range(40):
        for name, size in (("c", large), ("a", accelerated)):
            table.set_view(WorkerView(f"{name}{number}", "r", "d", size, size))
    headroom.on_start(Resources(40_000, 100))
    headroom.on_start(Resources(8000, 100, 1))
    headroom.advance(1.0)
    headroom.on_end()
    assert not headroom.is_below_target()


def test_worker_whose_probe_lasts_leaves_quarantine() -> None:
    """Guards against a sound worker that runs one service and nothing else for ever."""
    health = WorkerHealth()
    for number in range(3):
        health.on_failure("w", f"j{number}", f"t{number}", 0.0)
    assert not health.may_accept_tasks("w", 1.0)
    assert health.may_accept_tasks("w", 31.0)
    health.on_placed("w", "service")
    assert health.may_accept_tasks("w", 1e6)
