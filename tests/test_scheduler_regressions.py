"""Regression tests of the scheduler, each from a failing run of the state machine."""

import pytest

from briarrun_core.gangs import find_gang_placement
from briarrun_core.model import JobKind, Urgency
from briarrun_core.resources import Resources
from briarrun_core.views import WorkerView
from briarrun_core.worker_table import WorkerTable
from tests.scheduler_model import CAPACITY, TEAMS, UNIT, SchedulerModel


@pytest.mark.parametrize(
    ("tasks", "cores", "expected"),
    [(1, 3, ["w1"]), (2, 3, None), (2, 2, ["w1", "w1"]), (3, 2, None)],
)
def test_reserved_worker_that_rejoins_is_counted_once(
    tasks: int, cores: int, expected: list[str] | None
) -> None:
    """Guards against overcommitment of a worker that left while it was reserved.

    After it rejoined it was counted as reserved and again as free.
    """
    table = WorkerTable(lambda worker_id: True)
    view = WorkerView("w1", "r1", "one", CAPACITY, CAPACITY)
    table.set_view(view)
    table.reserve("w1", "one.gang")
    table.remove("w1")
    table.set_view(view)
    need: Resources = UNIT.scaled(cores)
    assert find_gang_placement(table, need, tasks, ("w1",)) == expected


@pytest.mark.parametrize("checkpoint_s", [0.1, 4.0, 5.0])
def test_checkpointed_task_makes_room_for_the_job_it_was_checkpointed_for(
    checkpoint_s: float,
) -> None:
    """Guards against checkpoints in vain.

    If the checkpoint ended just as the hold expired, another job took the resources, and
    the next checkpoint went the same way.
    """
    model = SchedulerModel()
    model.start()
    for index in range(1, 4):
        model.remove_worker(index)
    for team in TEAMS:
        model.set_slice(team, 100)
    model.submit("b", JobKind.BATCH, Urgency.NORMAL, 4, 2)
    model.decide()
    model.submit("c", JobKind.BATCH, Urgency.NORMAL, 1, 2)
    model.advance(5.0)
    model.decide()
    assert sorted(r.being_checkpointed for r in model.running.values()) == [False, True]
    model.submit("a", JobKind.BATCH, Urgency.NORMAL, 4, 2)
    model.advance(checkpoint_s)
    model.decide()
    assert "c" in {run.job.team for run in model.running.values()}
    assert not model.violations


@pytest.mark.parametrize(("cores_b", "cores_c"), [(3, 3), (4, 3), (3, 4)])
def test_tasks_larger_than_a_share_do_not_replace_each_other(
    cores_b: int, cores_c: int
) -> None:
    """Guards against a livelock of two teams whose tasks exceed half of the fleet.

    Each had the other's tasks checkpointed before any of them ended.
    """
    model = SchedulerModel()
    model.start()
    for index in range(1, 4):
        model.remove_worker(index)
    for team in TEAMS:
        model.set_slice(team, 100)
    model.submit("b", JobKind.BATCH, Urgency.NORMAL, 3, cores_b)
    model.submit("c", JobKind.BATCH, Urgency.NORMAL, 3, cores_c)
    model.decide()
    model.advance(5.0)
    model.decide()
    assert [r.being_checkpointed for r in model.running.values()] == [False]
    model.drain()
    assert not model.violations
