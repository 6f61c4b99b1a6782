"""Scheduling by the holder: takeover, rounds of decisions and dispatch of orders."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from briarrun_cell.advice import AdviceDispatcher, AdviceProxy
from briarrun_cell.clock import Clock
from briarrun_cell.config_view import ConfigView
from briarrun_cell.decisions.admission import AdmissionControl
from briarrun_cell.decisions.departures import Departure, Departures
from briarrun_cell.decisions.planner import Placement, Plan, Planner
from briarrun_cell.election import HolderRole, HolderTerm
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.evacuations import Evacuations
from briarrun_cell.job_table import JobEntry, JobTable
from briarrun_cell.journal import Journal
from briarrun_cell.leases import LeaseDurations
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.metrics import Metrics
from briarrun_cell.model import JobSpec
from briarrun_cell.orders import HolderTermGuard, OrderSender, WorkerPoller
from briarrun_cell.ports import Store, Workers
from briarrun_cell.progress_size import ProgressBounds
from briarrun_cell.registry import WorkerRegistry
from briarrun_cell.tail import TopicTail
from briarrun_cell.wait_monitor import WAIT_REPORT_INTERVAL_S, WaitMonitor
from briarrun_cell.workers import RunState, StopReason, Worker

ROUND_PAUSE_S = 0.004
"""Minimum pause before a scheduling round, so that one round handles several events."""

PAUSE_FACTOR = 3.0
"""Pause after a scheduling round as a multiple of its duration. With a long queue it
leaves most of the processor time to orders and polls."""

MAX_ROUND_PAUSE_S = 0.04
"""Maximum pause before a scheduling round while there are events to handle."""

MAX_ROUND_INTERVAL_S = 0.05
"""Maximum time without a scheduling round."""

MAX_SLICE_S = 0.02
"""Time for which a takeover enters jobs before other tasks run, e.g. renewals."""

REVIEW_INTERVAL_S = 0.2
"""Interval between checks for stalled runs and abandoned orders."""

LEASE_RENEWAL_GRACE_S = 6.0
"""Time for which a holder that failed to renew its claim still renews run leases."""

CLEANUP_INTERVAL_S = 5.0
"""Interval between deletions of old jobs."""

_LOG = ComponentLog("holder")


@dataclass(slots=True)
class HolderDependencies:
    """Objects and settings that a holder uses.

    ``confirm_config`` waits until the view of the configuration topic is recent.
    """

    store: Store
    workers: Workers
    proxy: AdviceProxy
    clock: Clock
    table: JobTable
    jobs_tail: TopicTail
    registry: WorkerRegistry
    config: ConfigView
    evacuations: Evacuations
    confirm_config: Callable[[], Awaitable[None]]
    vms: Callable[[], list[EntryVm]]
    lease_durations: LeaseDurations
    keep_final_s: float
    metrics: Metrics
    registry_tail: TopicTail
    jobs_read_pause_s: float
    registry_read_pause_s: float


class Holder(HolderRole):
    """Runs one ``HolderSession`` per term."""

    def __init__(self, deps: HolderDependencies) -> None:
        self._deps = deps
        self.session: HolderSession | None = None
        self._idle_jobs_read_pause_s = deps.jobs_tail.read_pause_s
        self._idle_registry_read_pause_s = deps.registry_tail.read_pause_s

    async def begin(self, holder_term: HolderTerm) -> None:
        """Start a session for the term."""
        if self.session is not None:
            self.session.close()
        self._deps.jobs_tail.read_pause_s = self._deps.jobs_read_pause_s
        self._deps.registry_tail.read_pause_s = self._deps.registry_read_pause_s
        self._deps.metrics.holding.set(1)
        self.session = HolderSession(self._deps, holder_term)
        self.session.start()

    async def end(self, superseded: bool) -> None:
        """Stop all decisions immediately.

        Unless superseded, run leases are still renewed for a while, since there may be
        no other holder to do it.
        """
        self._deps.jobs_tail.read_pause_s = self._idle_jobs_read_pause_s
        self._deps.registry_tail.read_pause_s = self._idle_registry_read_pause_s
        self._deps.metrics.holding.set(0)
        if self.session is None:
            return
        if superseded:
            self.session.close()
        else:
            self.session.stop_scheduling()


class HolderSession(HolderTermGuard):
    """Scheduling of the cell during one term."""

    def __init__(self, deps: HolderDependencies, holder_term: HolderTerm) -> None:
        self._deps = deps
        self._holder_term = holder_term
        self._closed = False
        self._next_review_at = float("-inf")
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.ledger = Ledger(
            deps.clock,
            holder_term.epoch,
            deps.config.config,
            deps.lease_durations,
            self._spec_of,
            ProgressBounds(deps.store.limits.record_bytes),
        )
        self._journal = Journal(
            deps.store,
            deps.clock,
            self.ledger,
            deps.table,
            deps.keep_final_s,
            self.on_fenced,
        )
        self.admission = AdmissionControl(self.ledger)
        self.recovered = False
        self.waits = WaitMonitor(self.ledger, deps.metrics, deps.table)
        self._sender = OrderSender(deps.workers, self.ledger, deps.clock, self)
        self._planner = Planner(self.ledger, lambda: len(deps.vms()))
        self._departures = Departures(self.ledger, self._planner.kept_on)
        self._advice_dispatcher = AdviceDispatcher(
            deps.clock, deps.vms, deps.proxy, self._planner.rates, self.wake
        )

    def _spec_of(self, job_id: str) -> JobSpec | None:
        entry = self._deps.table.by_id.get(job_id)
        return None if entry is None else entry.spec

    # HolderTermGuard

    def is_holder(self) -> bool:
        """Return whether the term is valid now."""
        return (
            not self._closed and self._deps.clock.now() < self._holder_term.valid_until
        )

    def may_renew_leases(self) -> bool:
        """Return whether run leases may be renewed: in the term and its grace period."""
        if self._closed:
            return False
        return self.is_holder() or self._deps.clock.now() < (
            self._holder_term.valid_until + LEASE_RENEWAL_GRACE_S
        )

    def on_fenced(self) -> None:
        """End the session because a later holder has fenced this one off."""
        if not self._closed:
            _LOG.warning("fenced off by a later holder", epoch=self._holder_term.epoch)
            self._holder_term.fenced = True
            self._holder_term.valid_until = float("-inf")
            self.close()

    def wake(self) -> None:
        """Request a scheduling round."""
        self._wake.set()

    # Start and end

    def start(self) -> None:
        """Start the tasks of the session."""
        self._spawn(self._run())

    def stop_scheduling(self) -> None:
        """Stop scheduling; only the renewal of run leases goes on."""
        self._detach()
        _LOG.info(
            "stopped scheduling; still renewing run leases",
            epoch=self._holder_term.epoch,
        )

    def _detach(self) -> None:
        if self._on_job in self._deps.table.listeners:
            self._deps.table.listeners.remove(self._on_job)
        self._deps.registry.on_change = None
        self._deps.evacuations.on_change = None
        self._advice_dispatcher.close()
        self.waits.clear()

    def close(self) -> None:
        """Cancel all tasks of the session."""
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
            _LOG.error("task of the holder failed", detail=repr(task.exception()))

    async def _run(self) -> None:
        deps, ledger = self._deps, self.ledger
        end = await self._journal.fence()
        await deps.jobs_tail.wait_for_offset(end)
        await deps.config.wait_loaded()
        await deps.confirm_config()
        ledger.set_config(deps.config.config)
        deps.evacuations.on_change = self._on_evacuations
        self._on_evacuations()
        await self._recover_jobs()
        deps.registry.on_change = self._on_registry
        self._on_registry()
        self.recovered = True
        _LOG.info(
            "recovered the state of jobs and workers",
            epoch=ledger.epoch,
            jobs=len(ledger.jobs_by_id),
            workers=len(ledger.workers_by_id),
        )
        self._spawn(self._journal.run())
        self._spawn(self._run_cleanup())
        self._spawn(self._run_wait_reports())
        await self._run_rounds()

    async def _recover_jobs(self) -> None:
        """Enter the jobs of the table into the ledger.

        Other tasks run between slices of this work, so that the claim is renewed.
        """
        clock, table = self._deps.clock, self._deps.table
        changed: list[str] = []
        note_change = changed.append
        table.listeners.append(note_change)
        try:
            slice_began_at = clock.now()
            for job_id, entry in _by_acceptance(table):
                self._enter_job(job_id, entry)
                if clock.now() >= slice_began_at + MAX_SLICE_S:
                    await asyncio.sleep(0)
                    slice_began_at = clock.now()
        finally:
            table.listeners.remove(note_change)
        for job_id in changed:
            self._enter_job(job_id, table.by_id.get(job_id))
        table.listeners.append(self._on_job)

    def _enter_job(self, job_id: str, entry: JobEntry | None) -> None:
        try:
            self.ledger.set_job(job_id, entry)
        except Exception as error:  # One job must not keep the others from recovery.
            _LOG.error("could not enter a job", job=job_id, detail=repr(error))

    async def _run_cleanup(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            if not self.is_holder():
                continue
            try:
                await self._journal.clean_up()
            except Exception as error:  # Old jobs would be kept for ever.
                _LOG.error("old jobs could not be deleted", detail=repr(error))

    async def _run_wait_reports(self) -> None:
        while True:
            await asyncio.sleep(WAIT_REPORT_INTERVAL_S)
            if not self.is_holder():
                self.waits.clear()
                continue
            try:
                self.waits.report()
            except Exception as error:  # A report must not be the last one.
                _LOG.error("report of waiting steps failed", detail=repr(error))

    def _on_job(self, job_id: str) -> None:
        self._enter_job(job_id, self._deps.table.by_id.get(job_id))
        self.wake()

    def _on_registry(self) -> None:
        registry = self._deps.registry
        self.admission.sizes.note(registry.by_id.values())
        added = self.ledger.set_workers(
            list(registry.by_id.values()), registry.recently_left()
        )
        for worker in added:
            self._start_polling(worker)
        self.wake()

    def _on_evacuations(self) -> None:
        before = self.ledger.evacuated_domains
        self.ledger.evacuated_domains = self._deps.evacuations.failure_domains
        if self.ledger.evacuated_domains != before:
            _LOG.info(
                "failure domains under evacuation",
                failure_domains=sorted(self.ledger.evacuated_domains),
                workers=self.ledger.evacuated_workers(),
                epoch=self.ledger.epoch,
            )
        self.wake()

    def _start_polling(self, worker: Worker) -> None:
        driver = WorkerPoller(
            worker,
            self._deps.workers,
            self.ledger,
            self._journal,
            self._deps.clock,
            self,
        )
        self._spawn(driver.run())

    # Scheduling rounds

    async def _run_rounds(self) -> None:
        pause_s = ROUND_PAUSE_S
        while True:
            try:
                async with asyncio.timeout(MAX_ROUND_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(pause_s)
            self._wake.clear()
            if self.is_holder():
                began_at = self._deps.clock.now()
                try:
                    self._run_round()
                except Exception as error:  # The holder must go on deciding.
                    _LOG.error("scheduling round failed", detail=repr(error))
                took_s = self._deps.clock.now() - began_at
                pause_s = min(MAX_ROUND_PAUSE_S, ROUND_PAUSE_S + PAUSE_FACTOR * took_s)

    def _run_round(self) -> None:
        deps, ledger = self._deps, self.ledger
        if deps.config.config.version != ledger.config.version:
            ledger.set_config(deps.config.config)
        self._report_runs()
        ledger.expire()
        review = deps.clock.now() >= self._next_review_at
        if review:
            self._next_review_at = deps.clock.now() + REVIEW_INTERVAL_S
            self._review_runs()
        self._send_stops()
        if review:
            self._repeat_abandoned_orders()
        with deps.metrics.decision_s.time():
            plan = self._planner.plan()
        self._execute(plan)
        self._journal.notify_progress()

    def _send_stops(self) -> None:
        stops, self.ledger.stops = self.ledger.stops, []
        for run in stops:
            if run.state is RunState.STOPPING:
                self._deps.metrics.observe_stop(run.stop_reason)
                self._spawn(self._sender.stop(run))

    def _repeat_abandoned_orders(self) -> None:
        """Send the orders again that ended unsettled, e.g. between two renewals."""
        for run in self._sender.find_abandoned():
            step = self.ledger.step_of(run.task)
            if run.state is RunState.STOPPING:
                self._spawn(self._sender.stop(run))
            elif step is not None:
                self._spawn(self._sender.start(run, step))

    def _report_runs(self) -> None:
        """Log the runs that ended since the last round, in one line; count the others."""
        for reason in self.ledger.given_up:
            self._deps.metrics.observe_requeue(reason)
        self.ledger.given_up.clear()
        if self.ledger.end_gaps:
            self._deps.metrics.observe_end_gap(self.ledger.end_gaps)
            self.ledger.end_gaps = 0
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

    def _review_runs(self) -> None:
        """Stop incomplete gangs, stalled runs, and runs of finished jobs.

        Also stops runs that save their progress and whose worker will be gone.
        """
        self.ledger.stop_broken_gangs()
        self.ledger.stop_runs_of_finished_jobs()
        for run in self.ledger.find_stalled():
            run.worker.health.quarantine(self._deps.clock.now())
            self.ledger.stop(run, StopReason.STALLED)
        self._stop_departing(self._departures.choose())

    def _stop_departing(self, departures: list[Departure]) -> None:
        """Stop runs whose workers will be gone before their end."""
        if departures:
            _LOG.info(
                "stopping runs whose workers will be gone",
                runs=[
                    {
                        "task": run.task,
                        "run": run.number,
                        "worker": run.worker.worker_id,
                        "left_ms": round(each.left_s * 1000),
                        "fits_elsewhere": each.fits_elsewhere,
                    }
                    for each in departures
                    for run in each.runs
                ],
                epoch=self.ledger.epoch,
            )
        for each in departures:
            for run in each.runs:
                self.ledger.stop(run, StopReason.DEPARTURE)

    def _execute(self, plan: Plan) -> None:
        for request in plan.advice_requests:
            self._advice_dispatcher.enqueue(request)
        for placement in plan.placements:
            self._dispatch(placement)

    def _dispatch(self, placement: Placement) -> None:
        job = placement.step.job
        if job.first_start_at is None:
            job.first_start_at = self._deps.clock.now()
            self._deps.metrics.observe_start(
                job.spec.customer, job.queue.name, job.first_start_at - job.accepted_at
            )
        self.ledger.record_assignments(placement.step, placement.runs)
        self._spawn(self._send_starts(placement))

    async def _send_starts(self, placement: Placement) -> None:
        """Send the start orders of a placement.

        Waits until the assignments are stored, so that a later holder knows on which
        workers the tasks may be running.
        """
        await self._journal.wait_flushed()
        job = placement.step.job
        _LOG.info(
            "starting tasks",
            job=job.job_id,
            step=placement.step.step_id.step,
            occurrence=placement.step.step_id.occurrence,
            runs=[
                (run.task.ordinal, run.number, run.worker.worker_id)
                for run in placement.runs
            ],
            waited_ms=int((self._deps.clock.now() - job.accepted_at) * 1000),
            epoch=self.ledger.epoch,
        )
        for run in placement.runs:
            self._spawn(self._sender.start(run, placement.step))


def _by_acceptance(table: JobTable) -> list[tuple[str, JobEntry]]:
    """Return the jobs in order of acceptance, which the rate limits depend on."""
    known = [(job_id, each) for job_id, each in table.by_id.items() if each.spec]
    return sorted(
        known, key=lambda each: each[1].spec.accepted_ms if each[1].spec else 0
    )
