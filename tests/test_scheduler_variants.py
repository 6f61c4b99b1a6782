"""Guard the checks themselves: each must fail when the guard it watches is removed."""

import json
from pathlib import Path
from typing import Any

import pytest

from briarrun_core import decisions, preemption, worker_health
from briarrun_core.gangs import Reservations
from briarrun_core.headroom import UrgentHeadroom
from briarrun_core.pending import PendingJobs
from briarrun_core.policy import WeightedSharePolicy
from briarrun_core.rebalance import Rebalancer
from briarrun_core.resources import Resources
from briarrun_core.scheduler import Scheduler
from briarrun_core.scheduler_state import SchedulerState
from briarrun_core.shares import ShareTracker
from briarrun_core.worker_health import WorkerHealth
from briarrun_core.worker_table import RunningTask, WorkerTable
from tests.scheduler_scenarios import SCENARIOS

VARIANTS = json.loads(
    Path(__file__).with_name("scheduler_variants.json").read_text(encoding="utf-8")
)
WITHOUT_END = Resources(10**9, 10**9, 10**9, 10**9)
HEADS = PendingJobs.heads
CHOOSE_WORKER = preemption.choose_preemption


def _plan_uncharged(self: WorkerTable, task: RunningTask) -> None:
    self._entries[task.worker_id].tasks[task.task_id] = task


def _place_partly(table: WorkerTable, need: Resources, count: int, *_: Any) -> Any:
    return list(table.workers_that_fit(need))[:count] or None


def _set_aside_large(self: Scheduler, job: Any) -> str | None:
    return "large" if job.view.resources.cores > 2000 else None


def _queue_always(self: SchedulerState, job: Any) -> None:
    self.pending.add(job)
    self.update_waiting_total(job)


GUARDS: dict[str, tuple[Any, str, Any]] = {
    "planned starts are charged": (WorkerTable, "plan", _plan_uncharged),
    "team slice": (ShareTracker, "remaining_slice", lambda self, team: WITHOUT_END),
    "worker state": (WorkerTable, "is_schedulable", lambda self, worker_id: True),
    "whole gang": (decisions, "find_gang_placement", _place_partly),
    "leaving tasks are left out": (
        decisions,
        "choose_preemption",
        lambda table, need, may, leaving: CHOOSE_WORKER(table, need, may, ()),
    ),
    "urgent tasks are spared": (decisions, "URGENT_RANK", -1),
    "reservation": (Reservations, "may_open", lambda self, job_id, now: False),
    "end of reservation": (Reservations, "expire", lambda self, table, now: None),
    "patience": (
        Rebalancer,
        "_someone_gains",
        lambda self, gaps, now: max(gaps.values(), default=0) > 0.01,
    ),
    "ceiling": (SchedulerState, "above_ceiling", lambda self, team: False),
    "rebalancing": (Rebalancer, "run", lambda self, step, now: None),
    "promotion": (WeightedSharePolicy, "promoted_at", lambda self, job, rank: None),
    "checkpoint for urgent work": (
        decisions.DecisionPass,
        "_checkpoint_for",
        lambda self, job: None,
    ),
    "lowest urgency first": (
        decisions,
        "choose_preemption",
        lambda table, need, may, leaving: CHOOSE_WORKER(
            table, need, lambda t: t.rank == 1, leaving
        ),
    ),
    "quarantine": (WorkerHealth, "may_accept_tasks", lambda self, worker_id, now: True),
    "single probe": (WorkerHealth, "on_placed", lambda self, worker_id, task: None),
    "job at fault": (worker_health, "JOB_FAULT_WORKERS", 10**9),
    "spread": (WeightedSharePolicy, "spreads", lambda self, job: False),
    "other sizes are tried": (
        PendingJobs,
        "heads",
        lambda self, *args: HEADS(self, *args)[:1],
    ),
    "set aside": (Scheduler, "_never_fits", lambda self, job: None),
    "set aside only what cannot fit": (Scheduler, "_never_fits", _set_aside_large),
    "set-aside jobs leave the queue": (SchedulerState, "queue", _queue_always),
    "tasks that did not move": (
        SchedulerState,
        "may_checkpoint",
        lambda self, task: task.preemptible,
    ),
    "checkpoint for an urgent gang": (
        decisions.DecisionPass,
        "_checkpoint_for_gang",
        lambda self, job, workers: None,
    ),
    "requeue": (Scheduler, "_requeue", lambda self, job, task_id: None),
    "weight": (ShareTracker, "weighted_share", lambda self, team: 0.0),
    "headroom": (UrgentHeadroom, "wanted", lambda self: 0),
}


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_scenario_holds(name: str) -> None:
    seeds = sorted({v["seed"] for v in VARIANTS if v["scenario"] == name})
    assert seeds, "no variant shows that this scenario can fail"
    assert [SCENARIOS[name](seed) for seed in seeds] == [[]] * len(seeds)


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda v: v["guard"])
def test_check_fails_without_its_guard(
    variant: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(*GUARDS[variant["guard"]])
    assert variant["check"] in SCENARIOS[variant["scenario"]](variant["seed"])


def test_every_guard_has_a_variant() -> None:
    assert sorted(GUARDS) == sorted({v["guard"] for v in VARIANTS})
