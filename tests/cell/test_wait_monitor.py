"""Tests that waiting steps reach the operator as metrics and as a log line."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import eliot
import pytest

from briarrun_cell.decisions.planner import Plan, Planner
from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.explanation import REASONS, UNEXAMINED
from briarrun_cell.job_table import JobTable
from briarrun_cell.metrics import Metrics
from briarrun_cell.model import StepSpec
from briarrun_cell.wait_monitor import WaitMonitor
from briarrun_core.resources import Resources
from tests.cell.running import with_cell
from tests.cell.test_ledger import ManualClock, job, make_ledger
from tools.emulator.cell.cell import FakeCell, step

HUGE = StepSpec(need=Resources(9000, 10), estimated_ms=1000)
"""A task that is larger than any worker."""


def _waiting(metrics: Metrics, reason: str) -> float | None:
    return metrics.registry.get_sample_value(
        "briarrun_waiting_steps", {"reason": reason}
    )


def _oldest_s(metrics: Metrics, reason: str) -> float | None:
    return metrics.registry.get_sample_value(
        "briarrun_waiting_oldest_seconds", {"reason": reason}
    )


@contextmanager
def _log_lines(message: str) -> Iterator[list[dict[str, Any]]]:
    lines: list[dict[str, Any]] = []

    def keep(line: dict[str, Any]) -> None:
        if line.get("message") == message:
            lines.append(line)

    eliot.add_destinations(keep)
    try:
        yield lines
    finally:
        eliot.remove_destination(keep)


@pytest.mark.parametrize("reason", REASONS)
def test_gauges_of_every_reason_are_always_there(reason: str) -> None:
    """Guards against an alert on a series that is missing until a step waits."""
    metrics = Metrics()
    assert (_waiting(metrics, reason), _oldest_s(metrics, reason)) == (0, 0)


@pytest.mark.parametrize(("waits_s", "lines"), [(0.9, 0), (1.1, 1)])
def test_line_comes_only_for_a_long_wait(waits_s: float, lines: int) -> None:
    """Guards against a line for each second in which a step waits for a moment."""
    ledger, metrics = make_ledger(2), Metrics()
    job(ledger, "j", HUGE)
    (waiting,) = ledger.jobs_by_id["j"].steps_by_id.values()
    waiting.note_wait(WaitReason.SIZE, ledger.clock.now() - waits_s)
    with _log_lines("holder: steps wait") as seen:
        WaitMonitor(ledger, metrics, JobTable()).report()
    assert len(seen) == lines
    assert _waiting(metrics, "size") == 1


def test_step_that_no_round_examines_gets_a_line() -> None:
    """Guards against silence while scheduling rounds fail."""
    ledger = make_ledger(2)
    job(ledger, "j")
    assert isinstance(ledger.clock, ManualClock)
    monitor = WaitMonitor(ledger, Metrics(), JobTable())
    with _log_lines("holder: steps wait") as seen:
        for _ in range(3):
            monitor.report()
            ledger.clock.time += 1.0
    assert [line["steps"] for line in seen] == [{UNEXAMINED: 1}]
    assert seen[0]["oldest"][0]["age_ms"] == 2000


@pytest.mark.looptime
@with_cell()
async def test_waiting_job_shows_up_in_gauge_line_and_explanation(
    cell: FakeCell,
) -> None:
    """Guards against accepted jobs that wait while nothing says why (LOST).

    Its only step is larger than any worker, and nothing else happens in the cell.
    """
    with _log_lines("holder: steps wait") as seen:
        spec = cell.spec(step(2, 500, 9000))
        cell.store_job(spec)
        await asyncio.sleep(4.5)
        vm = await cell.wait_for_holder()
        assert vm.core is not None
        assert vm.core.holder.session is not None
        explained = vm.core.holder.session.waits.explain(spec.job_id)
        gauges = vm.core.metrics
        assert _waiting(gauges, "size") == 1
        oldest_s = _oldest_s(gauges, "size")
        assert oldest_s is not None and 2.0 < oldest_s < 4.5
        assert explained is not None
        assert [each.reason for each in explained.steps] == ["size"]
        assert 3 <= len(seen) <= 4
        assert seen[-1]["steps"] == {"size": 1}
        (oldest,) = seen[-1]["oldest"]
        assert (oldest["job"], oldest["pending"]) == (spec.job_id, 2)
        for other in cell.vms_by_name.values():
            if other is not vm and other.core is not None:
                assert _waiting(other.core.metrics, "size") == 0
        await vm.core.election.release()
        assert _waiting(gauges, "size") == 0
        assert _oldest_s(gauges, "size") == 0
        await asyncio.sleep(3.0)
        successor = await cell.wait_for_holder()
        assert successor.core is not None and successor is not vm
        assert _waiting(successor.core.metrics, "size") == 1
        assert _waiting(gauges, "size") == 0


@pytest.mark.looptime
@with_cell()
async def test_gauge_falls_to_zero_after_a_term_that_lapses(cell: FakeCell) -> None:
    """Guards against a VM that lost the store and still shows waiting steps."""
    cell.store_job(cell.spec(step(1, 500, 9000)))
    await asyncio.sleep(2.5)
    vm = await cell.wait_for_holder()
    assert vm.core is not None
    assert _waiting(vm.core.metrics, "size") == 1
    vm.store.cut = True
    await asyncio.sleep(2.5)
    assert not vm.core.election.is_holder
    assert _waiting(vm.core.metrics, "size") == 0


@pytest.mark.looptime
@with_cell()
async def test_line_comes_while_rounds_fail(
    cell: FakeCell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against silence when the planner has a defect."""

    def fail(planner: Planner) -> Plan:
        raise RuntimeError("defect of the planner")

    monkeypatch.setattr(Planner, "plan", fail)
    with _log_lines("holder: steps wait") as seen:
        await cell.submit(cell.spec(step(1)))
        await asyncio.sleep(4.5)
    assert seen[-1]["steps"] == {UNEXAMINED: 1}
    assert seen[-1]["oldest"][0]["age_ms"] >= 2000
