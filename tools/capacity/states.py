"""Real states of a holder at chosen sizes."""

from __future__ import annotations

from typing import Any

from expression import Result

from briarrun_core.configuration import digest_of, merge_patch
from briarrun_core.fleet import FleetState
from briarrun_core.ledger import Ledger
from briarrun_core.ledger_orders import (
    Inventory,
    LedgerSettings,
    StartOutcome,
    WorkerInfo,
)
from briarrun_core.model import JobKind, JobSpec, task_id
from briarrun_core.records import ConfigRecord
from briarrun_core.resources import Resources

SIZE = Resources(1000, 1024)
TASKS_PER_JOB = 8
TEAMS = 270
DOMAINS = 22


def document(teams: int, change: int = 0) -> dict[str, Any]:
    """Return a configuration document with one queue and one key per team."""
    names = [f"team-{i:03d}" for i in range(teams)]
    limit = {"cores": 500_000, "memory_mib": 2_000_000, "accelerators": 16, "slots": 8}
    return {
        "domains_by_name": {
            f"domain-{i:02d}": {"name": f"domain-{i:02d}", "region": f"region-{i % 7}"}
            for i in range(DOMAINS)
        },
        "teams_by_id": {
            name: {"team_id": name, "weight": 1.0 + change % 5, "limit": limit}
            for name in names
        },
        "queues_by_name": {
            f"{name}-jobs": {"name": f"{name}-jobs", "teams": [name]} for name in names
        },
        "keys_by_id": {
            f"k-{name}": {
                "key_id": f"k-{name}",
                "team": name,
                "secret_sha256": "0" * 64,
            }
            for name in names
        },
        "policies_by_name": {},
    }


class ConfigLog:
    """Make config records that each change one team's weight."""

    def __init__(self, teams: int) -> None:
        self.document: dict[str, Any] = {}
        self.generation = 0
        self._teams = teams

    def first(self) -> ConfigRecord:
        """Return the record of the whole document."""
        return self._record(document(self._teams))

    def change(self) -> ConfigRecord:
        """Return the record of a small change."""
        team = f"team-{self.generation % self._teams:03d}"
        weight = 1.0 + self.generation % 7
        return self._record({"teams_by_id": {team: {"weight": weight}}})

    def _record(self, changes: dict[str, Any]) -> ConfigRecord:
        self.document = merge_patch(self.document, changes)
        record = ConfigRecord(
            record_id=f"operator-host-{self.generation:012d}",
            base_generation=self.generation,
            changes=changes,
            digest=digest_of(self.document),
            author="operator",
        )
        self.generation += 1
        return record


def fleet_state(teams: int, changes: int) -> FleetState:
    """Return the fold of a document and a number of changes."""
    state, log = FleetState(), ConfigLog(teams)
    state.apply(0, log.first())
    for offset in range(1, changes + 1):
        state.apply(offset, log.change())
    return state


def job(index: int, tasks: int = TASKS_PER_JOB, teams: int = TEAMS) -> JobSpec:
    """Return a job specification."""
    return JobSpec(
        job_id=f"domain-00.job-{index:08d}",
        team=f"team-{index % teams:03d}",
        queue=f"team-{index % teams:03d}-jobs",
        kind=JobKind.BATCH,
        tasks=tasks,
        resources=SIZE,
        run_seconds=40.0,
        command="/opt/planner/bin/run --input s3/roster --day 2026-12-04",
    )


class FilledLedger:
    """Hold a ledger with workers and running tasks."""

    def __init__(self, workers: int, tasks: int) -> None:
        self.ledger = Ledger.from_config(LedgerSettings(), "domain-00")
        self.ledger.begin_recovery(0.0)
        self.now = 100.0
        self.next_job = 0
        self.worker_ids = [f"worker-{i:04d}" for i in range(workers)]
        each = max(64, 4 * (tasks + workers) // workers)
        self.capacity = SIZE.scaled(each)
        huge = SIZE.scaled(100_000)
        self.ledger.set_slices({f"team-{i:03d}": huge for i in range(TEAMS)})
        for worker_id in self.worker_ids:
            self.ledger.set_worker(WorkerInfo(worker_id=worker_id, rack="rack-01"))
            self.report(worker_id)
        self.running = 0
        while self.running < tasks:
            self.start_job()
        self.ledger.take_events()
        self.ledger.on_replicated(self.ledger.seq)

    def report(self, worker_id: str) -> None:
        """Give the ledger an empty inventory."""
        self.ledger.on_inventory(
            worker_id, Inventory(taken_at=self.now, capacity=self.capacity), self.now
        )

    def start_job(self) -> None:
        """Accept a job and start all of its tasks."""
        spec = job(self.next_job)
        self.next_job += 1
        accepted = self.ledger.accept_job(spec, self.now)
        if accepted.is_error():
            raise ValueError(f"{spec.job_id} was refused: {accepted}")
        self.ledger.confirm_job(spec.job_id)
        for index in range(spec.tasks):
            self.start(task_id(spec.job_id, index))

    def start(self, task: str) -> None:
        """Start one task and confirm it."""
        worker_id = self.worker_ids[self.running % len(self.worker_ids)]
        match self.ledger.start_task(task, worker_id, 1, self.now, self.now + 0.3):
            case Result(tag="ok", ok=order):
                self.ledger.on_start_result(
                    order.task_id, order.attempt, StartOutcome.RUNNING, self.now
                )
            case Result(error=refused):
                raise ValueError(f"{task} was refused: {refused}")
        self.running += 1
