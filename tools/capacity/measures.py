"""Slopes of processor time, memory and message size, measured at several sizes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from briarrun_core.ledger import Ledger
from briarrun_core.model import FleetConfig, Team
from briarrun_core.records import encode_record
from briarrun_core.resources import Resources
from briarrun_core.scheduler import Scheduler
from briarrun_daemon.schedule_feed import ScheduleFeed
from briarrun_wire.codec import encode_message
from briarrun_wire.messages import (
    ConfigDocument,
    DomainLoad,
    Heartbeat,
    HeartbeatAck,
    Replicate,
    SubmitJob,
)
from tools.bench.cost import Cost, SteadyFleet, measure
from tools.capacity.slopes import Fit, fit_line, measure_line
from tools.capacity.states import (
    DOMAINS,
    ConfigLog,
    FilledLedger,
    document,
    fleet_state,
    job,
)

WORKERS = (24, 240, 1900)
TEAMS = (6, 90, 270)
TASKS = (1000, 4000, 10_000)
CHANGES = (500, 2000, 5900)
STEPS = 1500
BIG = Resources(1_234_567, 9_876_543, 16, 64)
"""Amounts of realistic length; MessagePack integers grow with their value."""


def resident_growth(build: Callable[[], Any]) -> float:
    """Return the bytes that a built object and all it refers to take."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def per_call_us(call: Callable[[], Any], times: int) -> float:
    """Return the mean processor time of a call in microseconds."""
    begin = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - begin) / times * 1e6


def scheduler_time() -> list[Fit]:
    """Return the cost of one start against workers, teams and running tasks."""
    rows: list[tuple[str, tuple[int, ...], Callable[[int], Cost]]] = [
        ("workers", WORKERS, lambda n: measure(n, 270, 10_000, STEPS)),
        ("teams", TEAMS, lambda n: measure(1900, n, 10_000, STEPS)),
        ("running tasks", TASKS, lambda n: measure(1900, 270, n, STEPS)),
    ]
    return [
        fit_line(
            "scheduler, one start",
            "us",
            per,
            sizes,
            [run(size).start_mean_ms * 1000 for size in sizes],
        )
        for per, sizes, run in rows
    ]


def _scheduler_of(workers: int, tasks: int) -> Scheduler:
    return SteadyFleet(workers, 270, tasks, False).scheduler


def scheduler_memory() -> list[Fit]:
    """Return the memory of a scheduler against running tasks and workers."""
    return [
        measure_line(
            "scheduler, memory",
            "bytes",
            "running tasks",
            TASKS,
            lambda n: resident_growth(lambda: _scheduler_of(1900, n)),
        ),
        measure_line(
            "scheduler, memory",
            "bytes",
            "workers",
            WORKERS,
            lambda n: resident_growth(lambda: _scheduler_of(n, 1000)),
        ),
    ]


def _ledger_of(workers: int, tasks: int) -> Ledger:
    return FilledLedger(workers, tasks).ledger


def ledger_figures() -> list[Fit]:
    """Return memory, time per start and time of renewal of the real ledger."""
    times, renewals, memory = [], [], []
    for tasks in TASKS:
        filled = FilledLedger(1900, tasks)
        times.append(per_call_us(filled.start_job, 200) / 8)
        due_at = filled.now + 5.0
        begin = time.process_time()
        filled.ledger.renewals_due(due_at, due_at + 0.3)
        renewals.append((time.process_time() - begin) * 1e6)
        memory.append(resident_growth(partial(_ledger_of, 1900, tasks)))
    return [
        fit_line("ledger, memory", "bytes", "running tasks", TASKS, memory),
        fit_line("ledger, one start", "us", "running tasks", TASKS, times),
        fit_line(
            "ledger, one round of renewals", "us", "running tasks", TASKS, renewals
        ),
    ]


def feed_time() -> Fit:
    """Return the cost of telling the scheduler all usage after a change of a worker."""

    def run(teams: int) -> float:
        names = [f"team-{i:03d}" for i in range(teams)]
        config = FleetConfig(
            teams_by_id={name: Team(team_id=name, limit=BIG) for name in names}
        )
        context = SimpleNamespace(
            tail=SimpleNamespace(fleet=SimpleNamespace(config=config))
        )
        filled = FilledLedger(24, 1000)
        scheduler = Scheduler.from_config(FleetConfig())
        feed = ScheduleFeed(scheduler, filled.ledger, cast(Any, context))
        feed.set_teams(config, {name: BIG for name in names})
        for domain in range(DOMAINS - 1):
            feed.on_load(f"domain-{domain}", BIG, {name: BIG for name in names})

        def change() -> None:
            filled.report(filled.worker_ids[0])
            filled.now += 1.0
            filled.ledger.worker_view(filled.worker_ids[0])
            filled.ledger._core.changed_workers.add(filled.worker_ids[0])
            feed.sync_workers()

        return per_call_us(change, 30)

    return measure_line("schedule feed, one changed worker", "us", "teams", TEAMS, run)


def fold_figures() -> list[Fit]:
    """Return the cost of a config record and the memory of the fold."""

    def fold_us(teams: int) -> float:
        state, log = fleet_state(teams, 0), ConfigLog(teams)
        log.first()
        records = [log.change() for _ in range(60)]
        offsets = iter(range(1, 61))
        found = iter(records)
        return per_call_us(lambda: state.apply(next(offsets), next(found)), 60)

    return [
        measure_line("fold, one config change", "us", "teams", TEAMS, fold_us),
        measure_line(
            "fold, memory",
            "bytes",
            "teams",
            TEAMS,
            lambda n: resident_growth(lambda: fleet_state(n, 0)),
        ),
        measure_line(
            "fold, memory at 6 teams",
            "bytes",
            "changes retained",
            CHANGES,
            lambda n: resident_growth(lambda: fleet_state(6, n)),
        ),
    ]


def _load(teams: int) -> DomainLoad:
    by_team = {f"team-{i:03d}": BIG for i in range(teams)}
    urgencies = ("urgent", "normal", "low")
    return DomainLoad(
        capacity=BIG,
        free=BIG,
        usage_by_team=by_team,
        waiting_by_urgency=dict.fromkeys(urgencies, 1000),
        expected_wait_s=dict.fromkeys(urgencies, 1.5),
        unmet_by_team=by_team,
    )


def heartbeat(load: DomainLoad | None) -> bytes:
    """Return an encoded heartbeat."""
    return encode_message(
        Heartbeat(
            sender="vm-0123456789.0f3a9c",
            domain="domain-21",
            epoch=41,
            generation=123_456,
            sent_at=123_456.789,
            log_next=9_876_543,
            load=load,
            holding=True,
            replica_seq=1_234_567,
            contact_age_s=0.05,
        )
    )


def heartbeat_ack() -> bytes:
    """Return an encoded acknowledgement."""
    return encode_message(
        HeartbeatAck(
            sender="vm-0123456789.0f3a9c",
            sent_at=123_456.789,
            promise=True,
            generation=123_456,
            epoch=41,
            revision=2,
            domain="domain-21",
        )
    )


def message_sizes() -> list[Fit]:
    """Return sizes of messages that grow with the fleet."""
    return [
        measure_line(
            "heartbeat between domains with load",
            "bytes",
            "teams",
            TEAMS,
            lambda n: float(len(heartbeat(_load(n)))),
        ),
        measure_line(
            "relayed configuration document",
            "bytes",
            "teams",
            TEAMS,
            lambda n: float(
                len(
                    encode_message(
                        ConfigDocument(generation=1, offset=1, document=document(n))
                    )
                )
            ),
        ),
        measure_line(
            "VM list answer (JSON body)",
            "bytes",
            "VMs",
            (24, 240, 1966),
            lambda n: float(len(_vm_list(n))),
        ),
        measure_line(
            "renewal of one worker (JSON body)",
            "bytes",
            "tasks on the worker",
            (1, 6, 64),
            lambda n: float(len(_renewal(n))),
        ),
        measure_line(
            "inventory of one worker (JSON body)",
            "bytes",
            "tasks on the worker",
            (1, 6, 64),
            lambda n: float(len(_inventory(n))),
        ),
    ]


def _renewal(tasks: int) -> bytes:
    leases = [
        {
            "task_id": f"domain-00.job-{i:08d}/3",
            "attempt": 1,
            "lease_until": 1.7e9 + 0.5,
        }
        for i in range(tasks)
    ]
    return msgspec.json.encode({"leases": leases})


def _inventory(tasks: int) -> bytes:
    rows = [
        {
            "task_id": f"domain-00.job-{i:08d}/3",
            "attempt": 1,
            "state": "running",
            "lease_until": 1.7e9 + 0.5,
            "usage": msgspec.to_builtins(Resources(1500, 2048)),
        }
        for i in range(tasks)
    ]
    whole = {
        "taken_at": 1.7e9 + 0.25,
        "capacity": msgspec.to_builtins(BIG),
        "rack": "rack-01",
        "draining": False,
        "tasks": rows,
    }
    return msgspec.json.encode(whole)


def _vm_list(count: int) -> bytes:
    rows = [
        {
            "vm_id": f"vm-{i:010d}",
            "address": "10.123.45.67:8080",
            "domain": "domain-21",
            "role": "worker",
            "state": "live",
        }
        for i in range(count)
    ]
    return msgspec.json.encode({"vms": rows, "as_of": 1.7e9 + 0.25})


def fixed_sizes() -> dict[str, float]:
    """Return sizes of messages and records that do not grow, in bytes."""
    filled = FilledLedger(24, 8)
    filled.start_job()
    events = filled.ledger.take_events()
    replicate = encode_message(Replicate(epoch=41, seq=1, events=events))
    log = ConfigLog(270)
    log.first()
    change = msgspec.json.encode(encode_record(log.change()))
    return {
        "events per start": (len(events) - 1) / 8,
        "replicated bytes per start": len(replicate) / 8,
        "heartbeat in the domain": float(len(heartbeat(None))),
        "heartbeat acknowledgement": float(len(heartbeat_ack())),
        "config change record (JSON)": float(len(change)),
        "job submission": float(len(encode_message(SubmitJob(spec=job(1))))),
        "job in a jobs record (JSON)": float(len(msgspec.json.encode(job(1)))),
    }
