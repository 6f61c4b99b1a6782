"""Replay of a stream of jobs against the scheduler, in virtual time and without I/O.

It drives the ledger, the planner and the advice dispatcher with the load of a large
cell: queues of different urgency, rough estimates, gangs, and admission advice. Stores,
polls and lost messages are left out, so what it shows comes from the decisions alone.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import looptime

from briarrun_cell.advice import AdviceDispatcher, AdviceProxy
from briarrun_cell.clock import LoopClock
from briarrun_cell.decisions.planner import Placement, Planner
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import ADVICE_WORKERS, LATE_FACTOR
from briarrun_cell.ledger import LeaseDurations, Ledger
from briarrun_cell.model import (
    CellConfig,
    Customer,
    EndKind,
    EndReport,
    Inventory,
    JobSpec,
    JobState,
    RunReport,
    StepId,
    WorkerEntry,
)
from briarrun_cell.ports import AdviceAnswer
from briarrun_cell.reconciler import InventoryReconciler
from briarrun_cell.workers import Run, RunState, Worker
from briarrun_core.resources import NOTHING
from tools.emulator.cell.workload import POOL, JobClass, Load, draw_steps

ROUND_INTERVAL_S = 0.02
"""Time between two scheduling rounds."""

START_LATENCY_S = 0.04
"""Time from a decision to the start of a run: assignments are stored first."""

END_LATENCY_S = 0.015
"""Time from the end of a run to the inventory that reports it."""

ACCEPT_LATENCY_S = 0.03
"""Time from a submission to its arrival at the holder."""

INVENTORY_INTERVAL_S = 1.0
"""Time between two inventories of a worker on which nothing ends."""


@dataclass(slots=True)
class _JobRecord:
    kind: JobClass
    spec: JobSpec
    run_s_by_step: list[float]
    submitted_at: float
    objective_s: float
    value: float
    started_at: float | None = None
    ended_at: float | None = None


@dataclass(slots=True)
class QueueResult:
    """Value earned and owed of one queue, and the waits of its jobs in seconds."""

    owed: float = 0.0
    earned: float = 0.0
    on_time: int = 0
    late: int = 0
    unserved: int = 0
    first_waits_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class LoadResult:
    """Outcome of a replay."""

    by_queue: dict[str, QueueResult]
    busy_fraction: float

    @property
    def earned_fraction(self) -> float:
        """Value earned as a fraction of the value owed."""
        owed = sum(each.owed for each in self.by_queue.values())
        return sum(each.earned for each in self.by_queue.values()) / owed


class _Advice(AdviceProxy):
    """Approves a fixed part of the workers for each step."""

    def __init__(self, replay: LoadReplay) -> None:
        self._replay = replay

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        record = self._replay.records_by_id[step.job_id]
        terms = record.kind.queue.advice
        assert terms is not None
        await asyncio.sleep(terms.call_s(len(worker_ids)))
        approved = {
            each: "ticket"
            for each in worker_ids
            if random.Random(f"{step}{each}").random() < record.kind.approved
        }
        return AdviceAnswer(approved, terms.validity_s)


class LoadReplay:
    """One replay; call ``run`` once."""

    def __init__(self, load: Load, seed: int = 1) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self.records_by_id: dict[str, _JobRecord] = {}
        self._slowness_by_worker: dict[str, float] = {}
        self._began_by_run: dict[Run, tuple[float, float]] = {}
        self._busy_core_s = 0.0

    def run(self, settle_s: float = 14.0) -> LoadResult:
        """Replay the load, and then wait for its jobs for ``settle_s`` at most."""
        loop = looptime.new_event_loop(start=0, noop_cycles=1)
        try:
            return loop.run_until_complete(self._run(settle_s))
        finally:
            loop.close()

    async def _run(self, settle_s: float) -> LoadResult:
        load = self._load
        self._clock = LoopClock()
        queues = {kind.queue.name: kind.queue for kind in load.classes}
        customers = {
            f"c{n}": Customer(f"c{n}", (), 1000.0, NOTHING)
            for n in range(load.customers)
        }
        self._ledger = Ledger(
            self._clock,
            1,
            CellConfig(1, queues, customers),
            LeaseDurations(5.8, 2.0, 12.0),
            lambda job_id: self.records_by_id[job_id].spec,
        )
        self._reconciler = InventoryReconciler(self._ledger)
        self._planner = Planner(self._ledger, lambda: load.vms)
        vms = [
            EntryVm(vm=f"vm{n:03}", address="", failure_domain="", region="")
            for n in range(load.vms)
        ]
        self._dispatcher = AdviceDispatcher(
            self._clock, lambda: vms, _Advice(self), self._planner.rates, lambda: None
        )
        self._add_workers()
        began_at = self._clock.now()
        loop = asyncio.get_running_loop()
        for kind in load.classes:
            for at_s in self._arrivals(kind):
                loop.call_later(at_s, self._submit, kind)
        end_at = began_at + load.lasts_s + settle_s
        inventories_at = began_at
        while self._clock.now() < end_at:
            await asyncio.sleep(ROUND_INTERVAL_S)
            if self._clock.now() >= inventories_at:
                inventories_at += INVENTORY_INTERVAL_S
                for worker in list(self._ledger.workers_by_id.values()):
                    self._report(worker, ())
            self._run_round()
        self._dispatcher.close()
        return self._result()

    def _add_workers(self) -> None:
        load = self._load
        entries = [
            WorkerEntry(
                f"w{n:04}",
                1,
                f"w{n}:1",
                POOL,
                "fd",
                load.capacity,
                (),
                f"r{n // 12}",
                False,
            )
            for n in range(load.workers)
        ]
        for number, worker in enumerate(self._ledger.set_workers(entries, [])):
            slowness = load.slowness[number % len(load.slowness)]
            self._slowness_by_worker[worker.worker_id] = slowness
            self._report(worker, ())

    def _arrivals(self, kind: JobClass) -> Iterable[float]:
        at_s = 0.0
        while True:
            rate = kind.jobs_per_s
            for burst in self._load.bursts:
                ends_s = burst.begins_s + burst.lasts_s
                if burst.queue == kind.queue.name and burst.begins_s <= at_s < ends_s:
                    rate *= burst.factor
            at_s += self._rng.expovariate(rate)
            if at_s >= self._load.lasts_s:
                return
            yield at_s

    def _submit(self, kind: JobClass) -> None:
        rng = self._rng
        number = len(self.records_by_id)
        steps, run_s = draw_steps(kind, rng)
        core_s = sum(
            each.count * each.need.cores * s / 1000
            for each, s in zip(steps, run_s, strict=True)
        )
        mean_core_s = (
            kind.steps[0] * kind.tasks[0] * kind.run_s[0] * kind.cores[0] / 1000
        )
        queue = kind.queue
        chain_s = sum(run_s)
        if queue.advice is not None:
            chain_s += len(steps) * queue.advice.call_s(ADVICE_WORKERS)
        spec = JobSpec(
            job_id=f"{number:016x}",
            terms=queue,
            customer=f"c{int(rng.paretovariate(1.0)) % self._load.customers}",
            payload="",
            steps=steps,
            accepted_ms=self._clock.wall_ms(),
        )
        self.records_by_id[spec.job_id] = _JobRecord(
            kind,
            spec,
            run_s,
            self._clock.now(),
            queue.stretch * chain_s + queue.latency_target_s,
            kind.value * min(4.0, 0.3 + 0.7 * core_s / mean_core_s),
        )
        loop = asyncio.get_running_loop()
        loop.call_later(
            ACCEPT_LATENCY_S, self._ledger.set_job, spec.job_id, JobEntry(spec)
        )

    def _run_round(self) -> None:
        ledger = self._ledger
        ledger.expire()
        stops, ledger.stops = ledger.stops, []
        for run in stops:
            self._end(run, EndKind.STOPPED)
        plan = self._planner.plan()
        for request in plan.advice_requests:
            self._dispatcher.enqueue(request)
        loop = asyncio.get_running_loop()
        for placement in plan.placements:
            for run in placement.runs:
                run.state = RunState.STARTING
                run.order_until_ms = 10**12
            loop.call_later(START_LATENCY_S, self._start, placement)
        ledger.dirty.clear()
        ledger.ended.clear()

    def _start(self, placement: Placement) -> None:
        now = self._clock.now()
        step = placement.step
        record = self.records_by_id[step.job.job_id]
        run_s = record.run_s_by_step[step.step_id.step]
        slowness = [
            self._slowness_by_worker[run.worker.worker_id] for run in placement.runs
        ]
        if step.spec.gang:
            slowness = [max(slowness)] * len(slowness)
        if record.started_at is None:
            record.started_at = now
        loop = asyncio.get_running_loop()
        for run, factor in zip(placement.runs, slowness, strict=True):
            if run.state is not RunState.STARTING:
                continue
            self._ledger.on_started(run)
            took_s = run_s * factor
            self._began_by_run[run] = (now, took_s)
            loop.call_later(took_s + END_LATENCY_S, self._end, run, EndKind.DONE)

    def _end(self, run: Run, kind: EndKind) -> None:
        if self._began_by_run.pop(run, None) is None:
            return
        self._busy_core_s += run.need.cores / 1000 * (self._clock.now() - run.since)
        worker = run.worker
        end = EndReport(worker.applied + 1, run.task, run.number, kind, "")
        self._report(worker, (end,))
        record = self.records_by_id[run.task.job_id]
        job = self._ledger.jobs_by_id.get(run.task.job_id)
        if job is not None and job.progress.final is JobState.COMPLETED:
            record.ended_at = record.ended_at or self._clock.now()
            if not any(step.active for step in job.steps_by_id.values()):
                del self._ledger.jobs_by_id[run.task.job_id]

    def _report(self, worker: Worker, ended: tuple[EndReport, ...]) -> None:
        now = self._clock.now()
        gone = {(each.task, each.run) for each in ended}
        running = []
        for run in worker.runs_by_id.values():
            if run not in self._began_by_run or (run.task, run.number) in gone:
                continue
            began_at, took_s = self._began_by_run[run]
            percent = min(99, int(100 * (now - began_at) / took_s))
            running.append(RunReport(run.task, run.number, "", percent, 0.0))
        inventory = Inventory(int(now * 1000) + 1, 1, tuple(running), ended)
        self._reconciler.on_inventory(worker, inventory, now)

    def _result(self) -> LoadResult:
        by_queue = {kind.queue.name: QueueResult() for kind in self._load.classes}
        end_at = self._clock.now()
        for record in self.records_by_id.values():
            decided_at = record.submitted_at + record.objective_s
            if record.ended_at is None and decided_at > end_at:
                continue
            result = by_queue[record.spec.queue]
            result.owed += record.value
            if record.started_at is not None:
                result.first_waits_s.append(record.started_at - record.submitted_at)
            ended_at = record.ended_at
            took_s = math.inf if ended_at is None else ended_at - record.submitted_at
            if took_s <= record.objective_s:
                result.on_time += 1
                result.earned += record.value
            elif took_s <= LATE_FACTOR * record.objective_s:
                result.late += 1
                result.earned += 0.2 * record.value
            else:
                result.unserved += 1
        room = self._load.workers * self._load.capacity.cores / 1000
        return LoadResult(by_queue, self._busy_core_s / room / self._load.lasts_s)
