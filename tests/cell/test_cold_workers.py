"""Tests of the choice among warm, slow and cold workers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from briarrun_cell.decisions.planner import Planner
from briarrun_cell.model import EndKind, EndReport, StepSpec
from briarrun_cell.ports import Record
from briarrun_cell.registry import WorkerRegistry
from briarrun_core.resources import Resources
from tests.cell.rounds import step_of
from tests.cell.test_ledger import (
    URGENT,
    ManualClock,
    entry,
    job,
    make_ledger,
    poll,
    started,
)
from tools.emulator.cell.cell import FakeDecoder


@pytest.mark.parametrize(
    ("cold_s", "slow", "failed", "chosen"),
    [
        ((0.0, 0.0, 0.0), (), (), "w0"),
        ((5.0, 0.0, 0.0), (), (), "w1"),
        ((5.0, 5.0, 0.0), (), (), "w2"),
        ((5.0, 5.0, 5.0), (), (), "w0"),
        ((5.0, 0.0, 0.0), ("w1", "w2"), (), "w0"),
        ((5.0, 0.0, 5.0), ("w0", "w1"), (), "w1"),
        ((0.0, 5.0, 5.0), (), ("w0",), "w1"),
        ((-5.0, 0.0, 0.0), (), (), "w0"),
    ],
)
def test_warm_workers_come_first(
    cold_s: tuple[float, ...],
    slow: tuple[str, ...],
    failed: tuple[str, ...],
    chosen: str,
) -> None:
    """Guards against urgent tasks on workers that are slow after their start."""
    ledger = make_ledger(3)
    now = ledger.clock.now()
    for worker, seconds in zip(ledger.workers_by_id.values(), cold_s, strict=True):
        worker.entry = replace(worker.entry, cold_s=seconds, read_at=now - 1.0)
        worker.health.slowness = 3.0 if worker.worker_id in slow else 1.0
    whole = StepSpec(need=Resources(8000, 10))
    job(ledger, "later", whole)
    job(ledger, "urgent", whole, queue=URGENT)
    step_of(ledger, "urgent").failed_on.update(failed)
    first = Planner(ledger).plan().placements[0]
    assert first.step.job.job_id == "urgent"
    assert first.runs[0].worker.worker_id == chosen


@pytest.mark.parametrize("cold_s", [0.0, 1.0])
def test_run_on_a_cold_worker_says_nothing_of_its_speed(cold_s: float) -> None:
    """Guards against a worker that counts as slow since its first runs were."""
    ledger = make_ledger(1)
    assert isinstance(ledger.clock, ManualClock)
    (worker,) = ledger.workers_by_id.values()
    cold = replace(worker.entry, cold_s=cold_s, read_at=ledger.clock.now())
    worker.update_entry(cold)
    job(ledger, "j")
    (run,) = started(ledger)
    ledger.clock.time += 4.0
    poll(ledger, worker, ended=(EndReport(1, run.task, run.number, EndKind.DONE, ""),))
    learnt = worker.health.slowness, ledger.run_time_ratios.cautious("normal")
    assert (learnt == (1.0, 1.15)) is bool(cold_s)


def test_repeated_entry_does_not_extend_the_time() -> None:
    """Guards against a worker that stays cold as long as snapshots repeat its entry."""
    clock, decoder = ManualClock(), FakeDecoder()
    decoder.entries.append(replace(entry("w"), cold_s=5.0))
    registry = WorkerRegistry(decoder, clock, 1.0)
    for offset, cold_until in ((7, 105.0), (7, 105.0), (8, 113.0)):
        registry.on_snapshot([Record("w", b"0", offset)], 0.0)
        assert registry.by_id["w"].cold_until == cold_until
        clock.time += 4.0
