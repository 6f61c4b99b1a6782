"""Replay of a load against a holder, with faults, in virtual time.

The holder's session, its journal and its pollers are the real ones. Workers, store and
advice are emulated. A scheduling round takes no time, so rounds come at an interval.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace

import looptime
import msgspec

from briarrun_cell import records
from briarrun_cell.clock import LoopClock
from briarrun_cell.config_view import ConfigView
from briarrun_cell.core import (
    HOLDER_JOBS_READ_PAUSE_S,
    HOLDER_REGISTRY_READ_PAUSE_S,
    LEASE_S,
    START_ORDER_VALIDITY_S,
    TAKEOVER_CONFIG_AGE_S,
)
from briarrun_cell.election import HolderTerm
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.evacuations import Evacuations
from briarrun_cell.holder import HolderDependencies, HolderSession
from briarrun_cell.job_table import JobTable
from briarrun_cell.leases import LeaseDurations
from briarrun_cell.metrics import Metrics
from briarrun_cell.model import (
    CellConfig,
    JobSpec,
    StepId,
    StepSpec,
    WorkerEntry,
)
from briarrun_cell.ports import OrderOutcome, Record, StartOrder, Topic
from briarrun_cell.registry import WorkerRegistry
from briarrun_cell.stream import JobStreamListener
from briarrun_cell.tail import TopicListeners, TopicTail
from tools.emulator.cell.advice_service import EmulatedAdvice
from tools.emulator.cell.cell import CONFIG_KEY, FakeDecoder
from tools.emulator.cell.customers import usual_customers
from tools.emulator.cell.faults import Fault
from tools.emulator.cell.fleet import FakeWorker, Fleet
from tools.emulator.cell.idle import IdleOracle, Violation
from tools.emulator.cell.store import FakeStore, StoreView
from tools.emulator.cell.workload import POOL, JobClass, Load, draw_steps, tasks_in

ROUND_INTERVAL_S = 0.05
"""Time between two scheduling rounds."""

CHECK_INTERVAL_S = 0.25
"""Time between two checks of the oracle."""

FAILURE_S = 0.15
"""Time after which a task fails that is bound to fail."""

LONGEST_LEASE_S = 12.0
"""Time for which leases of an earlier holder may hold."""

GRANTED_LEASE_S = 6.0
"""Longest lease that a worker grants."""

MAX_GANG_FRACTION = 0.7
"""Largest gang as a fraction of what fits on its approved workers or in the limit."""

LAPSE_MARGIN_S = 1.0
"""Time after the lapse of a lease by which the holder has noticed it."""

WORKERS_PER_RACK = 12


class _ReplayFleet(Fleet):
    """Fleet whose tasks take the drawn run times."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.run_s_by_step: dict[StepId, float] = {}

    def _start(self, worker: FakeWorker, order: StartOrder) -> OrderOutcome:
        job_id = order.task.job_id
        run_s = self.run_s_by_step[order.task.step_id]
        if worker.faults.fails_all or job_id in self.poison:
            run_s = min(run_s, FAILURE_S)
        self.run_s_by_job[job_id] = run_s
        return super()._start(worker, order)

    def _check_start(
        self, worker: FakeWorker, order: StartOrder, spec: JobSpec
    ) -> None:
        """Check nothing: it would take most of the time of a replay."""


class _Session(HolderSession):
    """Session with rounds at an interval."""

    async def _run_rounds(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            self._run_round()


class HolderReplay:
    """One replay; call ``run`` once.

    Customers, queues and workers are known by their names and ids; faults use the
    attributes and methods that follow.
    """

    def __init__(self, load: Load, faults: Sequence[Fault] = (), seed: int = 1) -> None:
        self.load = load
        self.faults = tuple(faults)
        self.seed = seed
        self.rng = random.Random(f"{seed}/faults")
        self.fleet = _ReplayFleet(random.Random(f"{seed}/fleet"))
        self.kinds_by_job: dict[str, JobClass] = {}
        self.advice = EmulatedAdvice(
            self.kinds_by_job.__getitem__, random.Random(f"{seed}/advice")
        )
        self.rate_factor_by_queue: dict[str, float] = {}
        self.failing_fraction_by_queue: dict[str, float] = {}
        self.cancelled_fraction = 0.0
        self.customers_by_name = usual_customers(load)
        self.lost_runs_until_by_job: dict[str, float] = {}
        self.table = JobTable()
        self.session: _Session | None = None
        self._decoder = FakeDecoder()
        self._store = FakeStore(random.Random(seed))
        self._epoch = 0
        self._born_ms = 1_000
        self._tasks: list[asyncio.Task[None]] = []

    def run(self, settle_s: float = 16.0) -> list[Violation]:
        """Replay the load and ``settle_s`` without traffic; return what broke."""
        loop = looptime.new_event_loop(start=0, noop_cycles=1)
        try:
            return loop.run_until_complete(self._run(settle_s))
        finally:
            loop.close()

    async def _run(self, settle_s: float) -> list[Violation]:
        self._prepare()
        for kind in self.load.classes:
            self._spawn(self._send_jobs(kind))
        loop = asyncio.get_running_loop()
        for fault in self.faults:
            loop.call_later(fault.begins_s, fault.begin, self)
            loop.call_later(fault.begins_s + fault.lasts_s, fault.end, self)
        oracle = IdleOracle(self)
        while loop.time() < self.load.lasts_s + settle_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            oracle.check()
        self.stop_holder()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return oracle.violations

    def _prepare(self) -> None:
        """Publish configuration and workers, and start the first holder."""
        clock = LoopClock()
        store = StoreView(self._store)
        config = ConfigView(self._decoder)
        registry = WorkerRegistry(self._decoder, clock, LONGEST_LEASE_S)
        evacuations = Evacuations(self._decoder)
        listeners = TopicListeners(config, evacuations)
        config_tail = TopicTail(store, Topic.CONFIG, listeners, clock, wait_s=1.0)
        jobs_tail = TopicTail(
            store,
            Topic.JOBS,
            JobStreamListener(self.table),
            clock,
            wait_s=1.0,
            read_pause_s=HOLDER_JOBS_READ_PAUSE_S,
        )
        registry_tail = TopicTail(
            store,
            Topic.WORKERS,
            registry,
            clock,
            wait_s=5.0,
            read_pause_s=HOLDER_REGISTRY_READ_PAUSE_S,
        )
        vms = [
            EntryVm(vm=f"vm{n:03}", address="", failure_domain="", region="")
            for n in range(self.load.vms)
        ]
        self._clock = clock
        self._dependencies = HolderDependencies(
            store=store,
            workers=self.fleet,
            proxy=self.advice,
            clock=clock,
            table=self.table,
            jobs_tail=jobs_tail,
            registry=registry,
            config=config,
            evacuations=evacuations,
            confirm_config=lambda: config_tail.wait_confirmed(TAKEOVER_CONFIG_AGE_S),
            vms=lambda: vms,
            lease_durations=LeaseDurations(
                LEASE_S, START_ORDER_VALIDITY_S, LONGEST_LEASE_S, GRANTED_LEASE_S
            ),
            keep_final_s=180.0,
            metrics=Metrics(),
            registry_tail=registry_tail,
            jobs_read_pause_s=HOLDER_JOBS_READ_PAUSE_S,
            registry_read_pause_s=HOLDER_REGISTRY_READ_PAUSE_S,
        )
        self.publish()
        for number in range(self.load.workers):
            self.add_worker(number)
        for tail in (config_tail, jobs_tail, registry_tail):
            self._spawn(tail.run())
        self.start_holder()

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def call_later(
        self, delay_s: float, call: Callable[[FakeWorker], None], worker: FakeWorker
    ) -> None:
        """Call a method for a worker after a delay."""
        asyncio.get_running_loop().call_later(delay_s, call, worker)

    # Holder and configuration

    def start_holder(self) -> None:
        """Begin a term, which reads the stored state of all jobs."""
        self._epoch += 1
        term = HolderTerm(self._epoch, float("inf"))
        self.session = _Session(self._dependencies, term)
        self.session.start()

    def stop_holder(self) -> None:
        """End the term without notice."""
        if self.session is not None:
            self.session.close()
            self.session = None

    def publish(self) -> None:
        """Write a configuration with the present limits of the customers."""
        queues = {kind.queue.name: kind.queue for kind in self.load.classes}
        customers = {
            name: each.customer() for name, each in self.customers_by_name.items()
        }
        version = len(self._decoder.configs) + 1
        self._decoder.configs.append(CellConfig(version, queues, customers))
        self._store.put(Topic.CONFIG, CONFIG_KEY, str(version - 1).encode())

    # Workers

    def add_worker(self, number: int) -> None:
        """Start and register a new incarnation of a worker."""
        self._born_ms += 1
        entry = WorkerEntry(
            f"w{number:04}",
            self._born_ms,
            f"w{number}:1",
            POOL,
            "fd",
            self.load.capacity,
            (),
            f"r{number // WORKERS_PER_RACK}",
            False,
        )
        worker = self.fleet.add(entry)
        worker.faults.slow_factor = self.load.slowness[number % len(self.load.slowness)]
        self._register(entry)

    def drain_worker(self, worker: FakeWorker) -> None:
        """Announce that a worker will leave."""
        worker.entry = replace(worker.entry, draining=True)
        self._register(worker.entry)

    def crash_worker(self, worker: FakeWorker) -> None:
        """End the process of a worker; the holder learns it when the leases lapse."""
        lapses_at = self._clock.now() + LEASE_S + LAPSE_MARGIN_S
        for run in worker.runs_by_id.values():
            self.lost_runs_until_by_job[run.task.job_id] = lapses_at
        self.fleet.crash(worker)

    def remove_worker(self, worker: FakeWorker) -> None:
        """End a worker and take it from the registry."""
        self.crash_worker(worker)
        self._store.put(Topic.WORKERS, worker.entry.worker_id, None)

    def _register(self, entry: WorkerEntry) -> None:
        self._decoder.entries.append(entry)
        value = str(len(self._decoder.entries) - 1).encode()
        self._store.put(Topic.WORKERS, entry.worker_id, value)

    # Jobs

    async def _send_jobs(self, kind: JobClass) -> None:
        rng = random.Random(f"{self.seed}/{kind.queue.name}")
        names = list(self.customers_by_name)
        number = 0
        while True:
            states = self.customers_by_name.values()
            weights = [each.share * each.rate_factor for each in states]
            factor = self.rate_factor_by_queue.get(kind.queue.name, 1.0) * sum(weights)
            await asyncio.sleep(rng.expovariate(kind.jobs_per_s * factor))
            if self._clock.now() >= self.load.lasts_s:
                return
            number += 1
            job_id = f"{kind.queue.priority}{number:07}"
            self._submit(kind, job_id, rng.choices(names, weights)[0], rng)

    def _submit(
        self, kind: JobClass, job_id: str, customer: str, rng: random.Random
    ) -> None:
        self.kinds_by_job[job_id] = kind
        steps, run_s = draw_steps(kind, rng)
        spec = JobSpec(
            job_id=job_id,
            terms=kind.queue,
            customer=customer,
            payload="",
            steps=tuple(
                self._bounded(each, StepId(job_id, 0, number), customer)
                for number, each in enumerate(steps)
            ),
            accepted_ms=self._clock.wall_ms(),
        )
        self.fleet.specs_by_id[job_id] = spec
        for number, each_s in enumerate(run_s):
            self.fleet.run_s_by_step[StepId(job_id, 0, number)] = each_s
        failing = self.failing_fraction_by_queue.get(kind.queue.name, 0.0)
        if self.rng.random() < failing:
            self.fleet.poison.add(job_id)
        self._write_job(records.job_record(spec))
        if self.rng.random() < self.cancelled_fraction:
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(0.05, 3.0), self._cancel, job_id)

    def _bounded(self, step: StepSpec, step_id: StepId, customer: str) -> StepSpec:
        """Return the step, of a gang with as many tasks as can run at the same time."""
        if not step.gang:
            return step
        ids = [f"w{number:04}" for number in range(self.load.workers)]
        approved = len(self.advice.approved(step_id, ids))
        per_worker = tasks_in(self.load.capacity, step.need)
        limit = self.customers_by_name[customer].terms.limit
        most = min(approved * per_worker, tasks_in(limit, step.need))
        count = min(step.count, max(1, int(MAX_GANG_FRACTION * most)))
        return msgspec.structs.replace(step, count=count)

    def _cancel(self, job_id: str) -> None:
        wall_ms = self._clock.wall_ms()
        self._write_job(records.cancellation_record(job_id, wall_ms))

    def _write_job(self, record: Record) -> None:
        self._store.put(Topic.JOBS, record.key, record.value)
