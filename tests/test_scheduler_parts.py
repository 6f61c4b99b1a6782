"""Guard the parts of the scheduler one by one, as tables."""

import random
import sys
from typing import Any

import pytest

from briarrun_core.estimates import DEFAULT_RUN_S, Estimates
from briarrun_core.model import FleetConfig, JobKind, Urgency
from briarrun_core.model import Policy as PolicyConfig
from briarrun_core.placement import UNSCHEDULABLE, ResourceTuple, WorkerIndex
from briarrun_core.policy import from_config
from briarrun_core.preemption import choose_victims
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.scheduler import Scheduler
from briarrun_core.shares import Demand, ShareTracker
from briarrun_core.views import JobView, Place, TeamView, WorkerState, WorkerView
from briarrun_core.worker_table import RunningTask
from tools.capacity.model import RoleLoad
from tools.capacity.report import misses
from tools.capacity.slopes import fit_line

UNIT = Resources(1000, 1024)
LOW, NORMAL, URGENT = Urgency.LOW, Urgency.NORMAL, Urgency.URGENT
BATCH, SERVICE, GANG = JobKind.BATCH, JobKind.SERVICE, JobKind.GANG


def _job(**changes: Any) -> JobView:
    fields: dict[str, Any] = {
        "job_id": "one.j",
        "team": "a",
        "kind": BATCH,
        "urgency": NORMAL,
        "pending_tasks": ("one.j/0",),
        "resources": UNIT,
        "run_seconds": None,
        "accepted_at": 0.0,
    }
    return JobView(**{**fields, **changes})


@pytest.mark.parametrize(
    ("urgency", "waited_s", "rank"),
    [
        (URGENT, 0, 0),
        (URGENT, 9999, 0),
        (NORMAL, 0, 1),
        (NORMAL, 99_999, 1),
        (LOW, 0, 2),
        (LOW, 1799, 2),
        (LOW, 1800, 1),
        (LOW, 99_999, 1),
    ],
)
def test_waiting_raises_low_work_but_never_to_urgent(
    urgency: Urgency, waited_s: float, rank: int
) -> None:
    policy = from_config(PolicyConfig(name="default"))
    assert policy.rank(_job(urgency=urgency), waited_s) == rank


@pytest.mark.parametrize(
    ("kind", "first", "service_spreads", "batch_spreads"),
    [
        ("weighted-share", "long", True, False),
        ("shortest-first", "short", True, False),
        ("spread", "long", True, True),
    ],
)
def test_policy_orders_and_places(
    kind: str, first: str, service_spreads: bool, batch_spreads: bool
) -> None:
    policy = from_config(PolicyConfig(name="p", kind=kind))
    jobs = [
        _job(job_id="long", run_seconds=100.0, accepted_at=0.0),
        _job(job_id="short", run_seconds=1.0, accepted_at=5.0),
    ]
    estimates = Estimates()
    assert min(jobs, key=lambda j: policy.sort_key(j, estimates)).job_id == first
    assert policy.spreads(_job(kind=SERVICE)) is service_spreads
    assert policy.spreads(_job(kind=BATCH)) is batch_spreads


@pytest.mark.parametrize(
    ("declared", "finding"),
    [
        (PolicyConfig(name="p", kind="x"), "/policies/p/kind: unknown kind 'x'"),
        (
            PolicyConfig(name="p", parameters={"y": 1.0}),
            "/policies/p/parameters/y: unknown parameter",
        ),
        (
            PolicyConfig(name="p", parameters={"reserve_for_s": 0.0}),
            "/policies/p/parameters/reserve_for_s: must be above 0",
        ),
        (
            PolicyConfig(name="p", parameters={"reserve_for_s": float("nan")}),
            "/policies/p/parameters/reserve_for_s: must be above 0",
        ),
    ],
)
def test_invalid_policy_is_named(declared: PolicyConfig, finding: str) -> None:
    config = FleetConfig(policies_by_name={"p": declared})
    with pytest.raises(ValueError, match="policies") as raised:
        Scheduler.from_config(config)
    assert str(raised.value) == finding


def test_index_finds_room_whenever_there_is_any() -> None:
    """A worker with room that the tree skips would leave work waiting for ever."""
    draw = random.Random(7)
    index, rooms = WorkerIndex(), dict[str, ResourceTuple]()
    for step in range(4000):
        name = f"w{draw.randrange(90)}"
        if draw.random() < 0.05:
            index.remove(name)
            rooms.pop(name, None)
        else:
            accelerators = 4 * (int(name[1:]) % 3 == 0)
            capacity = (64, 256, accelerators, 0)
            index.add_or_replace(name, f"r{int(name[1:]) // 8}", capacity)
            available = (draw.randrange(9), draw.randrange(33), draw.randrange(5), 0)
            available = (available[0], available[1], min(available[2], accelerators), 0)
            rooms[name] = UNSCHEDULABLE if draw.random() < 0.1 else available
            index.set_available(name, rooms[name])
        need = (draw.randrange(10), draw.randrange(34), draw.choice((0, 0, 1, 4)), 0)
        fits = {w for w, r in rooms.items() if all(map(int.__le__, need, r))}
        found = index.find_packed(need)
        assert (found in fits) if fits else (found is None), step
        assert set(index.fitting(need)) == fits
        spread = index.find_spread(need, {f"r{i}": 1 for i in range(8)})
        assert (spread in fits) if fits else (spread is None), step


@pytest.mark.parametrize(
    ("need", "expected"),
    [
        ((2, 2, 0, 0), "tight"),
        ((3, 3, 0, 0), "wide"),
        ((1, 1, 1, 0), "accelerated"),
        ((9, 1, 0, 0), "accelerated"),
        ((99, 1, 0, 0), None),
    ],
)
def test_packing_prefers_tight_and_plain_workers(
    need: ResourceTuple, expected: str | None
) -> None:
    index = WorkerIndex()
    rooms = {"tight": (2, 2, 0, 0), "wide": (8, 8, 0, 0), "accelerated": (16, 16, 4, 0)}
    for name, available in rooms.items():
        index.add_or_replace(name, "r", available)
        index.set_available(name, available)
    assert index.find_packed(need) == expected


@pytest.mark.parametrize(
    ("demands", "expected"),
    [
        # Equal weights and enough demand: halves.
        ([("a", 1.0, 100, 0), ("b", 1.0, 100, 0)], {"a": 0.5, "b": 0.5}),
        # What a small team does not want goes to the others.
        ([("a", 1.0, 10, 0), ("b", 1.0, 100, 0)], {"a": 0.1, "b": 0.9}),
        ([("a", 3.0, 100, 0), ("b", 1.0, 100, 0)], {"a": 0.75, "b": 0.25}),
        # Usage in other domains counts: a has 0.2 of the fleet elsewhere.
        ([("a", 1.0, 100, 20), ("b", 1.0, 100, 0)], {"a": 0.4, "b": 0.6}),
        ([("a", 1.0, 10, 0), ("b", 1.0, 20, 0)], {"a": 0.1, "b": 0.2}),
    ],
)
def test_entitlements(
    demands: list[tuple[str, float, int, int]], expected: dict[str, float]
) -> None:
    book = ShareTracker()
    total = UNIT.scaled(100)
    book.set_total(total)
    rows = [
        Demand(team, weight, UNIT.scaled(local), UNIT.scaled(elsewhere))
        for team, weight, local, elsewhere in demands
    ]
    found = book.entitlements(rows, total)
    assert found == pytest.approx(expected, abs=1e-5)


@pytest.mark.parametrize(
    ("tasks", "need", "expected"),
    [
        # One task that suffices is better than two.
        ([(1, 2, 0.0), (1, 2, 1.0), (4, 2, 0.0)], 4, [2]),
        # The lowest urgency goes first.
        ([(2, 1, 0.0), (2, 2, 0.0)], 2, [1]),
        # Among equals the one that ran least.
        ([(2, 2, 1.0), (2, 2, 5.0)], 2, [1]),
        # A small one that a later large one makes superfluous is spared.
        ([(1, 2, 9.0), (2, 2, 5.0), (2, 2, 4.0)], 4, [1, 2]),
        ([(1, 2, 0.0)], 3, []),
    ],
)
def test_fewest_and_cheapest_tasks_are_checkpointed(
    tasks: list[tuple[int, int, float]], need: int, expected: list[int]
) -> None:
    running = [
        RunningTask(str(i), "j", "a", BATCH, rank, UNIT.scaled(cores), "w", started)
        for i, (cores, rank, started) in enumerate(tasks)
    ]
    chosen = choose_victims(running, NOTHING, UNIT.scaled(need))
    assert sorted(int(t.task_id) for t in chosen) == expected


def test_run_times_are_learnt() -> None:
    estimates = Estimates()
    job = _job(run_seconds=10.0)
    assert estimates.run_seconds(job) == 10.0
    assert estimates.run_seconds(_job()) == DEFAULT_RUN_S
    for _ in range(40):
        estimates.learn(job, 100.0, UNIT.scaled(2))
    assert estimates.run_seconds(job) == pytest.approx(100.0, rel=0.01)
    assert estimates.size_ratio(job) == pytest.approx(2.0, rel=0.01)


EXPLANATIONS = [
    (_job(resources=UNIT.scaled(9)), "will be set aside: needs 9 cores, 9216 MiB"),
    (_job(resources=UNIT.scaled(3)), "slice in this domain lacks 1 cores, 1024 MiB"),
    (_job(team="x"), "waits: team x is not known"),
    (_job(pending_tasks=()), "0 tasks placed, none waiting"),
    (_job(team="full", resources=UNIT), "waits: no worker has room for 1 cores"),
    (
        _job(team="full", kind=GANG, pending_tasks=("one.j/0", "one.j/1")),
        "waits: no worker has room for 2 tasks of 1 cores, 1024 MiB together",
    ),
    (_job(team="poor", resources=UNIT.scaled(3)), "needs more than team poor's limit"),
]


@pytest.mark.parametrize(("job", "part"), EXPLANATIONS)
def test_explain_gives_the_reason_in_one_line(job: JobView, part: str) -> None:
    scheduler = Scheduler.from_config(FleetConfig())
    size, free = UNIT.scaled(4), UNIT.scaled(4 if job.team != "full" else 0)
    view = WorkerView("w", "r", "one", size, free, WorkerState.AVAILABLE)
    scheduler.set_worker(view)
    scheduler.set_team(TeamView("a", 1.0, UNIT.scaled(2)))
    scheduler.set_team(TeamView("full", 1.0, UNIT.scaled(9)))
    scheduler.set_team(TeamView("poor", 1.0, UNIT, limit=UNIT))
    scheduler.submit(job, 0.0)
    scheduler.decide(0.0, 10)
    line = scheduler.explain("one.j", 1.0)

    assert line.startswith("job one.j: ")
    assert part in line
    assert "\n" not in line


def test_each_decision_has_a_reason() -> None:
    scheduler = Scheduler.from_config(FleetConfig())
    size = UNIT.scaled(4)
    scheduler.set_worker(WorkerView("w", "r", "one", size, size))
    scheduler.set_team(TeamView("a", 1.0, size))
    scheduler.submit(_job(), 0.0)
    (decision,) = scheduler.decide(0.0, 10)
    assert isinstance(decision, Place)
    assert decision.reason == "team a is next at weighted share 0.000; packed on w"


def test_forgetting_a_wave_costs_what_is_forgotten() -> None:
    """The work per cancelled job must not grow with the jobs that stay."""
    costs = []
    for kept in (200, 4000):
        scheduler = Scheduler.from_config(FleetConfig())
        scheduler.set_team(TeamView("a", 1.0, UNIT))
        for i in range(kept + 100):
            scheduler.submit(_job(job_id=f"one.j{i}"), 0.0)
        calls = 0

        def count(*_: object) -> None:
            nonlocal calls
            calls += 1

        sys.setprofile(count)
        for i in range(100):
            scheduler.forget(f"one.j{i * (kept // 100)}")
        sys.setprofile(None)
        costs.append(calls)
    assert costs[1] <= 1.2 * costs[0]


def test_capacity_fit_and_limits() -> None:
    with pytest.raises(ValueError, match="at least three sizes"):
        fit_line("x", "us", "workers", (1, 2), (1.0, 2.0))
    line = fit_line("x", "us", "workers", (1, 2, 3), (3.0, 5.0, 7.0))
    assert line.at(10) == pytest.approx(21.0)
    assert line.residual == pytest.approx(0.0)
    load = RoleLoad("r", "s", "m", 1.0, 6001.0, 0.0, 0.041, 64.1)
    assert misses(load) == ["core", "MiB", "KB/s"]
    assert misses(RoleLoad("r", "s", "m", 1.0, 6000.0, 0.0, 0.04, 64.0)) == []
