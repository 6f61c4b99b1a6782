"""Tests of scheduling rules, each with a single example."""

import pytest

from briarrun_core.model import FleetConfig, JobKind, JobSpec, TaskState, Urgency
from briarrun_core.resources import Resources
from briarrun_core.scheduler import Scheduler
from briarrun_core.views import (
    Checkpoint,
    JobView,
    Place,
    SetAside,
    TeamView,
    WorkerView,
)

CORE = Resources(cores=1000, memory_mib=1024)


def worker(name: str, cores: int = 4, rack: str = "r1") -> WorkerView:
    size = CORE.scaled(cores)
    return WorkerView(name, rack, "zagreb", size, size)


def job(
    name: str,
    tasks: int = 1,
    cores: int = 1,
    team: str = "a",
    kind: JobKind = JobKind.BATCH,
    urgency: Urgency = Urgency.NORMAL,
    at: float = 0.0,
) -> JobView:
    ids = tuple(f"{name}/{i}" for i in range(tasks))
    return JobView(name, team, kind, urgency, ids, CORE.scaled(cores), None, at)


def fleet(workers: int = 2, racks: int = 1, slice_cores: int = 100) -> Scheduler:
    scheduler = Scheduler.from_config(FleetConfig())
    for i in range(workers):
        scheduler.set_worker(worker(f"w{i}", rack=f"r{i % racks}"))
    for team in "ab":
        scheduler.set_team(TeamView(team, 1.0, CORE.scaled(slice_cores)))
    return scheduler


def placed_task_ids(decisions: list[object]) -> list[str]:
    return [d.task_id for d in decisions if isinstance(d, Place)]


def test_teams_alternate_by_share() -> None:
    scheduler = fleet()
    scheduler.submit(job("x", 6, at=0), 0)
    scheduler.submit(job("y", 6, team="b", at=1), 1)
    names = [t[0] for t in placed_task_ids([*scheduler.decide(1, 8)])]
    assert names == ["x", "y"] * 4


def test_urgent_job_causes_a_checkpoint() -> None:
    scheduler = fleet(workers=1)
    scheduler.submit(job("low", 4, urgency=Urgency.LOW), 0)
    for decision in scheduler.decide(0, 10):
        assert isinstance(decision, Place)
        scheduler.on_task_placed(decision.task_id, decision.worker_id, 0)
    scheduler.submit(job("now", urgency=Urgency.URGENT, team="b"), 1)
    (decision,) = scheduler.decide(1, 10)
    assert isinstance(decision, Checkpoint)
    assert scheduler.decide(1.1, 10) == []
    scheduler.on_task_ended(decision.task_id, TaskState.PENDING, 1.2, requeue=True)
    scheduler.set_worker(
        WorkerView("w0", "r0", "zagreb", CORE.scaled(4), CORE.scaled(1))
    )
    assert placed_task_ids([*scheduler.decide(1.3, 10)]) == ["now/0"]


def test_job_that_never_fits_does_not_block_others() -> None:
    scheduler = fleet()
    scheduler.submit(job("huge", cores=5), 0)
    scheduler.submit(job("small", at=1), 1)
    assert placed_task_ids([*scheduler.decide(1, 10)]) == ["small/0"]
    (decision,) = scheduler.decide(40, 10)
    assert isinstance(decision, SetAside)
    assert "5 cores" in scheduler.explain("huge", 41)


def test_gang_starts_all_or_nothing() -> None:
    scheduler = fleet()
    scheduler.submit(job("g", 9, kind=JobKind.GANG), 0)
    assert scheduler.decide(0, 100) == []
    scheduler.submit(job("h", 8, kind=JobKind.GANG), 0)
    assert len(placed_task_ids([*scheduler.decide(0, 100)])) == 8


@pytest.mark.parametrize("idempotent", [True, False])
def test_only_idempotent_tasks_are_checkpointable(idempotent: bool) -> None:
    """A checkpoint that the ledger rejects would delay the urgent job that needs it."""
    spec = JobSpec(
        job_id="d.j", team="t", queue="q", kind=JobKind.BATCH, idempotent=idempotent
    )
    assert JobView.of(spec, ()).checkpointable is idempotent
