"""The holder: takes over, decides and sends orders while its tenure lasts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from briarrun_cell.advice import AdviceDispatcher, AdviceProxy
from briarrun_cell.clock import Clock
from briarrun_cell.config_view import ConfigView
from briarrun_cell.election import HolderRole, HolderTerm
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.job_table import JobEntry, JobTable
from briarrun_cell.journal import Journal
from briarrun_cell.ledger import LeaseDurations, Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.metrics import Metrics
from briarrun_cell.model import JobSpec
from briarrun_cell.orders import HolderTermGuard, OrderSender, WorkerPoller
from briarrun_cell.planner import Placement, Plan, Planner
from briarrun_cell.ports import Store, Workers
from briarrun_cell.registry import WorkerRegistry
from briarrun_cell.tail import TopicTail
from briarrun_cell.workers import Worker

ROUND_PAUSE_S = 0.004
"""Time in which causes for a round of decisions are gathered."""

PAUSE_FACTOR = 3.0
"""A round that took long is followed by a pause of this multiple, so that decisions
leave most of the processor to orders and looks while much work waits."""

MAX_ROUND_PAUSE_S = 0.04
"""Longest pause between rounds while there is cause for one."""

TICK_S = 0.05
"""Longest time between rounds of decisions."""

REVIEW_EVERY_S = 0.2
"""Pause between searches for runs that hang."""

LEASE_RENEWAL_GRACE_S = 6.0
"""Time for which a holder that cannot renew its claim keeps the leases of runs."""

CLEANUP_INTERVAL_S = 5.0
"""Pause between searches for jobs that may be forgotten."""

_LOG = ComponentLog("holder")


@dataclass(slots=True)
class HolderDependencies:
    """Hold what a holder works with."""

    store: Store
    workers: Workers
    proxy: AdviceProxy
    clock: Clock
    table: JobTable
    jobs_tail: TopicTail
    registry: WorkerRegistry
    config: ConfigView
    vms: Callable[[], list[EntryVm]]
    terms: LeaseDurations
    keep_final_s: float
    metrics: Metrics
    registry_tail: TopicTail
    jobs_read_pause_s: float
    registry_read_pause_s: float


class Holder(HolderRole):
    """Run one ``Tenancy`` per tenure."""

    def __init__(self, parts: HolderDependencies) -> None:
        self._parts = parts
        self.session: HolderSession | None = None
        self._idle_jobs_pace_s = parts.jobs_tail.read_pause_s
        self._idle_registry_pace_s = parts.registry_tail.read_pause_s

    async def begin(self, holder_term: HolderTerm) -> None:
        """Take over the cell."""
        if self.session is not None:
            self.session.close()
        self._parts.jobs_tail.read_pause_s = self._parts.jobs_read_pause_s
        self._parts.registry_tail.read_pause_s = self._parts.registry_read_pause_s
        self._parts.metrics.holding.set(1)
        self.session = HolderSession(self._parts, holder_term)
        self.session.start()

    async def end(self, superseded: bool) -> None:
        """Stop deciding at once; keep leases for a while if nobody else can."""
        self._parts.jobs_tail.read_pause_s = self._idle_jobs_pace_s
        self._parts.registry_tail.read_pause_s = self._idle_registry_pace_s
        self._parts.metrics.holding.set(0)
        if self.session is None:
            return
        if superseded:
            self.session.close()
        else:
            self.session.retire()


class HolderSession(HolderTermGuard):
    """Act for the cell during one tenure."""

    def __init__(self, parts: HolderDependencies, holder_term: HolderTerm) -> None:
        self._parts = parts
        self._tenure = holder_term
        self._closed = False
        self._next_review_at = float("-inf")
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.ledger = Ledger(
            parts.clock,
            holder_term.epoch,
            parts.config.config,
            parts.terms,
            self._spec_of,
        )
        self._journal = Journal(
            parts.store,
            parts.clock,
            self.ledger,
            parts.table,
            parts.keep_final_s,
            self.on_fenced,
        )
        self._sender = OrderSender(parts.workers, self.ledger, parts.clock, self)
        self._planner = Planner(self.ledger)
        self._desk = AdviceDispatcher(
            parts.clock, parts.vms, parts.proxy, self._planner.rates, self.wake
        )

    def _spec_of(self, job_id: str) -> JobSpec | None:
        entry = self._parts.table.by_id.get(job_id)
        return None if entry is None else entry.spec

    # HolderTermGuard

    def is_holder(self) -> bool:
        """Tell whether the tenure is valid now."""
        return not self._closed and self._parts.clock.now() < self._tenure.valid_until

    def may_renew_leases(self) -> bool:
        """Tell whether leases may be kept: during the tenure and a while beyond."""
        if self._closed:
            return False
        return self.is_holder() or self._parts.clock.now() < (
            self._tenure.valid_until + LEASE_RENEWAL_GRACE_S
        )

    def on_fenced(self) -> None:
        """End the tenure, since a later holder has acted."""
        if not self._closed:
            _LOG.warning("a later holder has acted", epoch=self._tenure.epoch)
            self._tenure.valid_until = float("-inf")
            self.close()

    def on_worker_restarted(self, worker: Worker, born_ms: int) -> None:
        """Replace a worker by its next life."""
        self._drive(self.ledger.replace_worker(worker, born_ms))
        self.wake()

    def wake(self) -> None:
        """Ask for a new round of decisions."""
        self._wake.set()

    # Life

    def start(self) -> None:
        """Begin to act."""
        self._spawn(self._run())

    def retire(self) -> None:
        """Decide nothing more; runs keep their leases until a later holder acts."""
        self._detach()
        _LOG.info("keeps leases without deciding", epoch=self._tenure.epoch)

    def _detach(self) -> None:
        if self._on_job in self._parts.table.listeners:
            self._parts.table.listeners.remove(self._on_job)
        self._parts.registry.on_change = None
        self._desk.close()

    def close(self) -> None:
        """Stop at once."""
        self._closed = True
        self._detach()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("a task of the holder failed", detail=repr(task.exception()))

    async def _run(self) -> None:
        parts, ledger = self._parts, self.ledger
        end = await self._journal.fence()
        await parts.jobs_tail.wait_for_offset(end)
        await parts.config.known()
        ledger.set_config(parts.config.config)
        for job_id, entry in _by_age(parts.table):
            ledger.set_job(job_id, entry)
        parts.table.listeners.append(self._on_job)
        parts.registry.on_change = self._on_registry
        self._on_registry()
        _LOG.info(
            "read the books",
            epoch=ledger.epoch,
            jobs=len(ledger.jobs_by_id),
            workers=len(ledger.workers_by_id),
        )
        self._spawn(self._journal.run())
        self._spawn(self._forget())
        await self._decide()

    async def _forget(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            if self.is_holder():
                await self._journal.forget_old()

    def _on_job(self, job_id: str) -> None:
        self.ledger.set_job(job_id, self._parts.table.by_id.get(job_id))
        self.wake()

    def _on_registry(self) -> None:
        registry = self._parts.registry
        fresh = self.ledger.set_workers(
            list(registry.by_id.values()), registry.recently_left()
        )
        for worker in fresh:
            self._drive(worker)
        self.wake()

    def _drive(self, worker: Worker) -> None:
        driver = WorkerPoller(
            worker,
            self._parts.workers,
            self.ledger,
            self._journal,
            self._parts.clock,
            self,
        )
        self._spawn(driver.run())

    # Decisions

    async def _decide(self) -> None:
        pause_s = ROUND_PAUSE_S
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(pause_s)
            self._wake.clear()
            if self.is_holder():
                began_at = self._parts.clock.now()
                self._round()
                took_s = self._parts.clock.now() - began_at
                pause_s = min(MAX_ROUND_PAUSE_S, ROUND_PAUSE_S + PAUSE_FACTOR * took_s)

    def _round(self) -> None:
        parts, ledger = self._parts, self.ledger
        if parts.config.config.version != ledger.config.version:
            ledger.set_config(parts.config.config)
        self._log_ends()
        ledger.expire()
        if parts.clock.now() >= self._next_review_at:
            self._next_review_at = parts.clock.now() + REVIEW_EVERY_S
            self._review()
        stops, ledger.stops = ledger.stops, []
        for run in stops:
            self._spawn(self._sender.stop(run))
        with parts.metrics.decision_s.time():
            plan = self._planner.plan()
        self._carry_out(plan)
        self._journal.notify()

    def _log_ends(self) -> None:
        """Report the runs that ended since the last round, in one line."""
        ended, self.ledger.ended = self.ledger.ended, []
        if ended:
            _LOG.info(
                "runs ended",
                ends=[
                    {
                        "job": end.task.job_id,
                        "task": end.task[1:],
                        "run": end.run,
                        "worker": worker_id,
                        "how": end.kind,
                    }
                    for worker_id, end in ended
                ],
            )

    def _review(self) -> None:
        """Look for runs that hang, gangs that will never be whole, and leftovers."""
        self.ledger.stop_broken_gangs()
        self.ledger.stop_runs_of_finished_jobs()
        for run in self.ledger.find_stalled():
            run.worker.health.quarantine(self._parts.clock.now())
            self.ledger.stop(run, "its progress stands still")

    def _carry_out(self, plan: Plan) -> None:
        for question in plan.advice_requests:
            self._desk.ask(question)
        for placement in plan.placements:
            self._dispatch(placement)

    def _dispatch(self, placement: Placement) -> None:
        job = placement.step.job
        if job.first_start_at is None:
            job.first_start_at = self._parts.clock.now()
            self._parts.metrics.observe_start(
                job.spec.customer, job.queue.name, job.first_start_at - job.accepted_at
            )
        self.ledger.assign(placement.step, placement.runs)
        self._spawn(self._start(placement))

    async def _start(self, placement: Placement) -> None:
        """Send the starts once a later holder would know where they may run."""
        await self._journal.flushed()
        job = placement.step.job
        _LOG.info(
            "starts tasks",
            job=job.job_id,
            step=placement.step.step_id.step,
            occurrence=placement.step.step_id.occurrence,
            runs=[
                (run.task.ordinal, run.number, run.worker.worker_id)
                for run in placement.runs
            ],
            waited_ms=int((self._parts.clock.now() - job.accepted_at) * 1000),
            epoch=self.ledger.epoch,
        )
        for run in placement.runs:
            self._spawn(self._sender.start(run, placement.step))


def _by_age(table: JobTable) -> list[tuple[str, JobEntry]]:
    """Return the jobs in order of acceptance, in which rates are measured."""
    known = [(job_id, each) for job_id, each in table.by_id.items() if each.spec]
    return sorted(
        known, key=lambda each: each[1].spec.accepted_ms if each[1].spec else 0
    )
