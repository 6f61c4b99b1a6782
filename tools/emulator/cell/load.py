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
from briarrun_cell.decisions.ranking import RateMeter, StepOrder
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import ADVICE_WORKERS, LATE_FACTOR, Step
from briarrun_cell.leases import LeaseDurations
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import (
    CellConfig,
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

MAX_RATE_STEP_S = 0.25
"""Time after which the rate of a customer is looked at again."""

CREDIT_WINDOW_S = 10.0
"""Time by which jobs may come early and still count as within a customer's rate. With
one second, 28 % of the jobs of customers that keep to their rates would not count."""

STRICT_CREDIT_WINDOW_S = 1.0
"""The same for the second, strict count of the jobs within a customer's rate."""

WINDOW_S = 4.0
"""Length of the windows of time by which results are shown."""

LATE_CREDIT = 0.2
"""Fraction of its value that a job earns if it ends late but is still of use."""

WORST_FRACTION = 0.1
"""Fraction of the customers, and of the jobs of a queue, that is shown separately."""


@dataclass(slots=True)
class _JobRecord:
    kind: JobClass
    spec: JobSpec
    run_s_by_step: list[float]
    submitted_at: float
    objective_s: float
    value: float
    core_s: float
    counts: bool
    counts_strictly: bool
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
    largest_jobs_fraction: float = 1.0

    @property
    def earned_fraction(self) -> float:
        """Value earned as a fraction of the value owed."""
        return self.earned / self.owed if self.owed else 1.0


@dataclass(slots=True)
class LoadResult:
    """Outcome of a replay.

    Jobs that a customer submitted beyond its rate are owed nothing. They count in
    ``beyond_rate`` only. ``strict`` has the jobs that are within it at any moment. ``by_window`` has the jobs by the time of their submission, in
    windows of ``WINDOW_S``. ``unended`` is the number of jobs that had not ended.
    """

    by_queue: dict[str, QueueResult]
    by_customer: dict[str, QueueResult]
    by_window: list[QueueResult]
    beyond_rate: QueueResult
    strict: QueueResult
    busy_fraction: float
    advice_calls: int
    unended: int

    @property
    def earned_fraction(self) -> float:
        """Value earned as a fraction of the value owed."""
        owed = sum(each.owed for each in self.by_queue.values())
        return sum(each.earned for each in self.by_queue.values()) / owed

    @property
    def worst_customers_fraction(self) -> float:
        """Mean of the fractions that the worst tenth of the customers earned."""
        fractions = sorted(each.earned_fraction for each in self.by_customer.values())
        worst = fractions[: max(1, round(WORST_FRACTION * len(fractions)))]
        return sum(worst) / len(worst)

    @property
    def worst_windows_fraction(self) -> float:
        """Mean of the fractions earned in the two worst windows of time."""
        worst = sorted(each.earned_fraction for each in self.by_window)[:2]
        return sum(worst) / len(worst)

    @property
    def worst_queue(self) -> str:
        """Name of the queue that earned the smallest fraction."""
        return min(self.by_queue, key=lambda name: self.by_queue[name].earned_fraction)

    def summary(self) -> dict[str, float]:
        """Return the fractions that are compared between two versions."""
        fractions = {
            "whole": self.earned_fraction,
            "strict": self.strict.earned_fraction,
            "customers": self.worst_customers_fraction,
            "windows": self.worst_windows_fraction,
            "worst queue": self.by_queue[self.worst_queue].earned_fraction,
            "its largest": self.by_queue[self.worst_queue].largest_jobs_fraction,
        }
        fractions |= {name: q.earned_fraction for name, q in self.by_queue.items()}
        return fractions


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
        self._replay.advice_calls += 1
        await asyncio.sleep(terms.call_s(len(worker_ids)))
        approved = {
            each: "ticket"
            for each in worker_ids
            if random.Random(f"{step}{each}").random() < record.kind.approved
        }
        return AdviceAnswer(approved, terms.validity_s)


class LoadReplay:
    """One replay; call ``run`` once. ``order`` is that of the planner."""

    def __init__(
        self, load: Load, seed: int = 1, order: StepOrder | None = None
    ) -> None:
        self._load = load
        self._order = order
        self._rng = random.Random(seed)
        self.records_by_id: dict[str, _JobRecord] = {}
        self._slowness_by_worker: dict[str, float] = {}
        self._began_by_run: dict[Run, tuple[float, float]] = {}
        self._busy_core_s = 0.0
        self._customers = load.customer_terms()
        self._counting = RateMeter(CREDIT_WINDOW_S)
        self._counting_strictly = RateMeter(STRICT_CREDIT_WINDOW_S)
        self.advice_calls = 0

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
        self._ledger = Ledger(
            self._clock,
            1,
            CellConfig(1, queues, self._customers),
            LeaseDurations(5.8, 2.0, 12.0, 6.0),
            lambda job_id: self.records_by_id[job_id].spec,
        )
        self._reconciler = InventoryReconciler(self._ledger)
        self._planner = Planner(self._ledger, lambda: load.vms, self._order)
        vms = [
            EntryVm(vm=f"vm{n:03}", address="", failure_domain="", region="")
            for n in range(load.vms)
        ]
        self._dispatcher = AdviceDispatcher(
            self._clock, lambda: vms, _Advice(self), self._planner.rates, lambda: None
        )
        self._add_workers()
        began_at = self._began_at = self._clock.now()
        loop = asyncio.get_running_loop()
        for kind in load.classes:
            for at_s, customer in self._arrivals(kind):
                loop.call_later(at_s, self._submit, kind, customer)
        end_at = began_at + load.lasts_s + settle_s
        inventories_at = began_at
        while self._clock.now() < end_at:
            if self._clock.now() > began_at + load.lasts_s and not self._open_jobs():
                break
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
                f"r{n // load.workers_per_rack}",
                False,
            )
            for n in range(load.workers)
        ]
        for number, worker in enumerate(self._ledger.set_workers(entries, [])):
            slowness = load.slowness[number % len(load.slowness)]
            self._slowness_by_worker[worker.worker_id] = slowness
            self._report(worker, ())

    def _open_jobs(self) -> int:
        return sum(each.ended_at is None for each in self.records_by_id.values())

    def _arrivals(self, kind: JobClass) -> Iterable[tuple[float, str]]:
        """Return the times of the jobs of a queue, with their customers.

        A customer of "" is drawn when the job is submitted.
        """
        load = self._load
        if load.mix is None:
            for at_s in self._arrivals_at(kind, 1.0, 0):
                yield at_s, ""
            return
        for number, fraction in enumerate(load.customer_fractions()):
            for at_s in self._arrivals_at(kind, fraction, number):
                yield at_s, f"c{number}"

    def _arrivals_at(
        self, kind: JobClass, fraction: float, number: int
    ) -> Iterable[float]:
        at_s = 0.0
        while True:
            factor = self._load.rate_factor(kind.queue.name, number, at_s)
            step_s = self._rng.expovariate(kind.jobs_per_s * fraction * factor)
            if self._load.mix is not None and step_s > MAX_RATE_STEP_S:
                # The rate changes; the time to the next job has no memory.
                at_s += MAX_RATE_STEP_S
                if at_s >= self._load.lasts_s:
                    return
                continue
            at_s += step_s
            if at_s >= self._load.lasts_s:
                return
            yield at_s

    def _submit(self, kind: JobClass, customer: str) -> None:
        rng = self._rng
        number = len(self.records_by_id)
        limit = self._customers[customer].limit if customer else NOTHING
        steps, run_s = draw_steps(kind, rng, limit)
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
            customer=customer
            or f"c{int(rng.paretovariate(1.0)) % self._load.customers}",
            payload="",
            steps=steps,
            accepted_ms=self._clock.wall_ms(),
        )
        now = self._clock.now()
        weight = self._customers[spec.customer].weight
        self.records_by_id[spec.job_id] = _JobRecord(
            kind,
            spec,
            run_s,
            now,
            queue.stretch * chain_s + queue.latency_target_s,
            kind.value * min(4.0, 0.3 + 0.7 * core_s / mean_core_s),
            core_s,
            not self._counting.exceeds(spec.customer, weight, now),
            not self._counting_strictly.exceeds(spec.customer, weight, now),
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
            took_s = run_s * factor * self._straggling(step, run)
            if run.checkpoint:
                took_s *= 1 - int(run.checkpoint) / 100
            self._began_by_run[run] = (now, took_s)
            loop.call_later(took_s + END_LATENCY_S, self._end, run, EndKind.DONE)

    def _straggling(self, step: Step, run: Run) -> float:
        """Return by how much longer a run takes; the members of a gang wait for all."""
        ordinal = 0 if step.spec.gang else run.task.ordinal
        attempt = f"{step.step_id}{ordinal}{run.number if run.checkpoint else 0}"
        straggles = random.Random(attempt).random() < self._load.stragglers
        return self._load.straggler_factor if straggles else 1.0

    def _percent(self, run: Run) -> int:
        """Return the progress of a run, with that of the run it was resumed from."""
        began_at, took_s = self._began_by_run[run]
        saved = int(run.checkpoint or 0)
        done = (self._clock.now() - began_at) / max(took_s, 0.001)
        return min(99, saved + int((100 - saved) * done))

    def _end(self, run: Run, kind: EndKind) -> None:
        if run not in self._began_by_run:
            return
        step = self._ledger.step_of(run.task)
        saves = step is not None and step.spec.checkpoints
        checkpoint = str(self._percent(run)) if saves else ""
        del self._began_by_run[run]
        self._busy_core_s += run.need.cores / 1000 * (self._clock.now() - run.since)
        worker = run.worker
        end = EndReport(worker.applied + 1, run.task, run.number, kind, checkpoint)
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
            report = RunReport(run.task, run.number, "", self._percent(run), 0.0)
            running.append(report)
        inventory = Inventory(int(now * 1000) + 1, 1, tuple(running), ended)
        self._reconciler.on_inventory(worker, inventory, now)

    def _result(self) -> LoadResult:
        load = self._load
        by_queue = {kind.queue.name: QueueResult() for kind in load.classes}
        by_customer = {name: QueueResult() for name in self._customers}
        by_window = [QueueResult() for _ in range(math.ceil(load.lasts_s / WINDOW_S))]
        beyond_rate, strict = QueueResult(), QueueResult()
        decided: dict[str, list[_JobRecord]] = {name: [] for name in by_queue}
        end_at = self._clock.now()
        for record in self.records_by_id.values():
            decided_at = record.submitted_at + record.objective_s
            if record.ended_at is None and decided_at > end_at:
                continue
            if record.counts_strictly:
                _count(record, strict)
            if not record.counts:
                _count(record, beyond_rate)
                continue
            decided[record.spec.queue].append(record)
            window = int((record.submitted_at - self._began_at) // WINDOW_S)
            _count(record, by_queue[record.spec.queue])
            _count(record, by_customer[record.spec.customer])
            _count(record, by_window[min(window, len(by_window) - 1)])
        for name, records in decided.items():
            records.sort(key=lambda each: -each.core_s)
            largest = QueueResult()
            for record in records[: math.ceil(WORST_FRACTION * len(records))]:
                _count(record, largest)
            by_queue[name].largest_jobs_fraction = largest.earned_fraction
        room = load.workers * load.capacity.cores / 1000
        return LoadResult(
            by_queue,
            by_customer,
            by_window,
            beyond_rate,
            strict,
            self._busy_core_s / room / load.lasts_s,
            self.advice_calls,
            self._open_jobs(),
        )


def _count(record: _JobRecord, result: QueueResult) -> None:
    """Add a job whose time is over to a result."""
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
        result.earned += LATE_CREDIT * record.value
    else:
        result.unserved += 1
