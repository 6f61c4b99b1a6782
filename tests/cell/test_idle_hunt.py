"""Replays with faults in which no job may wait beside capacity that it could use.

``python -m tools.emulator.cell.hunt`` replays more of the same kind.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from briarrun_cell.decisions.planner import Plan, Planner
from tools.emulator.cell.faults import (
    FailingJobs,
    Fault,
    HotCustomer,
    LostVms,
    LoweredLimit,
    QueueBurst,
)
from tools.emulator.cell.holder_replay import HolderReplay
from tools.emulator.cell.hunt import LOADS, SETTLE_S, replay_seed
from tools.emulator.cell.idle import Violation


def _replay(seed: int, *faults: Fault) -> list[Violation]:
    return HolderReplay(LOADS["small"], faults, seed).run(SETTLE_S)


@pytest.mark.parametrize("seed", [16, 33, 48, 200, 201])
def test_no_job_waits_beside_idle_capacity(seed: int) -> None:
    """Guards against any cause for which a job that could start is passed over (LOST)."""
    assert not replay_seed("small", seed).violations


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        (2, [HotCustomer(3.0, 25.0, "c1", 12.0)]),
        (
            7,
            [HotCustomer(3.0, 25.0, "c1", 10.0), LoweredLimit(5.0, 35.0, "c1", 0.02)],
        ),
    ],
    ids=["usual limit", "lowered limit"],
)
def test_backlog_of_a_customer_at_its_limit_does_not_hold_up_others(
    seed: int, faults: Sequence[Fault]
) -> None:
    """Guards against a round that ends at the steps of one customer (LOST).

    The customer sends many times its usual, so that its backlog outlasts the traffic.
    """
    assert not _replay(seed, *faults)


@pytest.mark.parametrize("seed", [1, 6])
def test_wave_of_jobs_that_fail_does_not_hold_up_others(seed: int) -> None:
    """Guards against sound workers in quarantine for the faults of jobs (LOST)."""
    assert not _replay(seed, FailingJobs(5.0, 10.0, "check", 0.6))


@pytest.mark.parametrize("seed", [3, 8])
def test_vms_that_get_no_advice_do_not_hold_up_jobs(seed: int) -> None:
    """Guards against a first request that is sent through one lost VM after another.

    Four of nine VMs get no answers for 20 s while gangs come at three times their rate.
    """
    assert not _replay(seed, QueueBurst(5.0, 8.0, "plan", 3.0), LostVms(5.0, 20.0, 0.5))


def test_replay_sees_jobs_that_are_never_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an oracle that finds nothing."""
    monkeypatch.setattr(Planner, "plan", lambda planner: Plan())
    violations = _replay(1)
    assert len(violations) >= 100
    assert min(each.lasted_s for each in violations) >= 3.0


def test_holder_replay_repeats_with_the_same_seed() -> None:
    """Guards against a seed that does not show the same fault again."""
    load = replace(LOADS["small"], lasts_s=12.0)
    faults = [HotCustomer(3.0, 8.0, "c1", 12.0), FailingJobs(2.0, 8.0, "check", 0.3)]
    replays = [HolderReplay(load, faults, 5) for _ in range(2)]
    states = []
    for replay in replays:
        replay.run(2.0)
        states.append({key: each.state for key, each in replay.table.by_id.items()})
    assert states[0] == states[1]
    assert replays[0].fleet.starts == replays[1].fleet.starts
