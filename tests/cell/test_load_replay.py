"""Replays of the load of a large cell against the scheduler, without I/O."""

from __future__ import annotations

import pytest

from briarrun_cell.model import AdviceTerms, Queue
from briarrun_core.resources import Resources
from tools.emulator.cell.load import LoadReplay
from tools.emulator.cell.workload import POOL, Burst, JobClass, Load

URGENT_START_S = 1.2
"""Time within which urgent work starts, from docs/CAPACITY.md."""


def _queue(name: str, priority: int, stretch: float, call_s: float) -> Queue:
    return Queue(
        name=name,
        host="cell",
        path_prefix=f"/{name}/",
        pool=POOL,
        priority=priority,
        max_attempts=3,
        stretch=stretch,
        latency_target_s=1.2 if priority else 0.4,
        advice=AdviceTerms(decision_s=call_s, per_worker_s=call_s / 70, validity_s=2.0),
    )


def _full_cell(*bursts: Burst) -> Load:
    """Return gangs that fill a cell of forty workers, beside urgent jobs."""
    weekly = JobClass(
        queue=_queue("weekly", 1, 2.2, 0.48),
        jobs_per_s=4.0,
        value=8.0,
        approved=0.3,
        steps=(1.2, 0.4, 3.0),
        tasks=(12.0, 0.8, 40.0),
        run_s=(5.0, 0.5, 12.0),
        cores=(18_000.0, 0.4, 30_000.0),
        memory_mib=(37_000.0, 0.5, 73_000.0),
        estimate_error=0.5,
        gangs=1.0,
    )
    urgent = JobClass(
        queue=_queue("urgent", 0, 1.5, 0.013),
        jobs_per_s=9.0,
        value=0.4,
        approved=0.7,
        steps=(1.0, 0.0, 1.0),
        tasks=(3.0, 0.8, 12.0),
        run_s=(0.64, 0.5, 1.6),
        cores=(16_000.0, 0.45, 47_000.0),
        memory_mib=(58_000.0, 0.6, 170_000.0),
        estimate_error=0.2,
        gangs=0.3,
    )
    return Load(
        (weekly, urgent), 40, Resources(64_000, 262_144), 16, 12.0, bursts=bursts
    )


@pytest.mark.parametrize(
    "bursts",
    [
        (),
        (Burst("urgent", 4.0, 4.0, 2.0),),
        (Burst("weekly", 2.0, 4.0, 2.0), Burst("urgent", 4.0, 4.0, 2.0)),
    ],
    ids=["steady", "urgent-burst", "both-burst"],
)
def test_urgent_jobs_start_in_time_while_gangs_fill_the_cell(
    bursts: tuple[Burst, ...],
) -> None:
    """Guards against urgent work that waits behind gangs or behind their advice."""
    urgent = LoadReplay(_full_cell(*bursts)).run(6.0).by_queue["urgent"]
    assert len(urgent.first_waits_s) >= 80
    assert max(urgent.first_waits_s) <= URGENT_START_S


def test_replay_repeats_with_the_same_seed() -> None:
    """Guards against comparisons of two versions that differ by chance."""
    load = _full_cell(Burst("urgent", 4.0, 4.0, 2.0))
    assert LoadReplay(load, 7).run(4.0) == LoadReplay(load, 7).run(4.0)
