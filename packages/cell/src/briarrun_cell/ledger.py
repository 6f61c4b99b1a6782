"""The holder's account of every run, room, limit and outcome. Pure: no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from briarrun_cell.clock import Clock
from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import Job, Step, create_job
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import (
    CellConfig,
    EndReport,
    JobSpec,
    JobState,
    TaskId,
    WorkerEntry,
)
from briarrun_cell.ranking import RateMeter
from briarrun_cell.workers import Run, RunState, Worker
from briarrun_core.resources import NOTHING, Resources

RUN_BITS = 20
"""Runs of one holder are numbered below its epoch's shifted by this many bits, so that
numbers rise from holder to holder."""

STALL_S = 2.0
"""A run whose progress stands still for this long is taken to hang."""

LEFTOVER_S = 1.0
"""Time after a job's end after which its members of a gang that still run are stopped."""

_LOG = ComponentLog("holder")


@dataclass(frozen=True, slots=True)
class LeaseDurations:
    """Hold for how long runs are leased, and how long a start order stays good."""

    lease_s: float
    start_s: float
    longest_s: float


class Ledger:
    """Keep the books of one tenure.

    ``stops`` collects runs that must be stopped, ``ended`` those that workers reported
    as ended, each with its worker, and ``dirty`` jobs whose progress must be stored.
    """

    def __init__(
        self,
        clock: Clock,
        epoch: int,
        config: CellConfig,
        terms: LeaseDurations,
        spec_of: Callable[[str], JobSpec | None],
    ) -> None:
        self.clock = clock
        self.epoch = epoch
        self.config = config
        self.terms = terms
        self.spec_of = spec_of
        self.workers_by_id: dict[str, Worker] = {}
        self.jobs_by_id: dict[str, Job] = {}
        self.usage_by_customer: dict[str, Resources] = {}
        self.stops: list[Run] = []
        self.ended: list[tuple[str, EndReport]] = []
        self.dirty: set[str] = set()
        self.began_at = clock.now()
        self._next_run = epoch << RUN_BITS
        self._rates = RateMeter()
        self._seen_workers: set[str] = set()
        self._released: set[str] = set()

    # Workers

    def set_workers(
        self, entries: list[WorkerEntry], left: list[WorkerEntry]
    ) -> list[Worker]:
        """Take over the registry; return the workers that are new."""
        by_id = {entry.worker_id: entry for entry in entries}
        fresh = []
        for worker_id, worker in list(self.workers_by_id.items()):
            worker.listed = worker_id in by_id
            if not worker.listed and not worker.runs_by_id and worker.inventory_known:
                self.forget_worker(worker)
        initial = not self.workers_by_id
        for entry in entries + (left if initial else []):
            known = self.workers_by_id.get(entry.worker_id)
            if known is not None and known.entry.born_ms >= entry.born_ms:
                if known.entry.born_ms == entry.born_ms:
                    known.update_entry(entry)
                continue
            if known is not None:
                self.on_worker_dead(known, "started again under its id")
            worker = self._enter(entry, self.began_at + self.terms.longest_s)
            worker.listed = entry.worker_id in by_id
            fresh.append(worker)
        return fresh

    def replace_worker(self, worker: Worker, born_ms: int) -> Worker:
        """Enter the next life of a worker under the same id."""
        self.on_worker_dead(worker, "started again under its id")
        entry = replace(worker.entry, born_ms=born_ms)
        return self._enter(entry, self.clock.now() + self.terms.longest_s)

    def _enter(self, entry: WorkerEntry, lease_end: float) -> Worker:
        """Enter a life of a worker, of which nothing is known yet."""
        worker = self.workers_by_id[entry.worker_id] = Worker(entry, lease_end)
        # What an earlier life ran tells nothing about the assignments to this one.
        self._seen_workers.discard(entry.worker_id)
        return worker

    def forget_worker(self, worker: Worker) -> None:
        """Drop a worker that runs nothing."""
        worker.dead = True
        if self.workers_by_id.get(worker.worker_id) is worker:
            del self.workers_by_id[worker.worker_id]

    def on_worker_dead(self, worker: Worker, reason: str) -> None:
        """Take note that this life of a worker runs nothing any more."""
        if worker.dead:
            return
        _LOG.warning(
            "a worker's life ended",
            worker=worker.worker_id,
            reason=reason,
            runs=len(worker.runs_by_id),
        )
        for run in list(worker.runs_by_id.values()):
            self.drop_run(run)
            self.requeue(run.task, run.checkpoint)
        self.mark_inventory_known(worker)
        self.forget_worker(worker)

    def expire(self) -> None:
        """Give up on workers whose every lease has lapsed without contact."""
        now = self.clock.now()
        for worker in list(self.workers_by_id.values()):
            if worker.lapsed(now) and (worker.runs_by_id or not worker.inventory_known):
                for run in list(worker.runs_by_id.values()):
                    _LOG.warning(
                        "a run's lease lapsed without contact",
                        job=run.task.job_id,
                        task=run.task,
                        run=run.number,
                        worker=worker.worker_id,
                    )
                    self.drop_run(run)
                    self.requeue(run.task, run.checkpoint)
                self.mark_inventory_known(worker)
            if not worker.listed and not worker.runs_by_id and worker.inventory_known:
                self.forget_worker(worker)

    def mark_inventory_known(self, worker: Worker) -> None:
        """Take note that a worker's inventory is known, or that it runs nothing."""
        worker.inventory_known = True
        self._seen_workers.add(worker.worker_id)

    def assignment_is_open(self, step: Step, index: int) -> bool:
        """Tell whether an earlier holder may have started a task unseen by this one."""
        worker_id = step.progress.assigned_by_index.get(index)
        if worker_id is None or worker_id in self._seen_workers:
            return False
        return self.clock.now() < self.began_at + self.terms.longest_s

    def startable(self, step: Step) -> list[int]:
        """Return the tasks of a step that may start; all or none of a gang."""
        free = sorted(step.pending)
        if step.progress.assigned_by_index:
            free = [index for index in free if not self.assignment_is_open(step, index)]
        if step.spec.gang and (step.active or len(free) < step.spec.count):
            return []
        return free

    def assign(self, step: Step, runs: Iterable[Run]) -> None:
        """Note where runs are about to start, to be stored before they are ordered."""
        for run in runs:
            step.progress.assigned_by_index[run.task.ordinal] = run.worker.worker_id
        self.dirty.add(step.job.job_id)

    def stop_broken_gangs(self) -> None:
        """Stop gangs of which an earlier holder started only some members."""
        for job in self.jobs_by_id.values():
            for step in job.steps_by_id.values():
                members = len(step.active)
                if not step.spec.gang or not 0 < members < step.spec.count:
                    continue
                if any(run.state is not RunState.RUNNING for run in step.runs()):
                    continue
                if any(self.assignment_is_open(step, i) for i in step.pending):
                    continue
                for run in step.runs():
                    self.stop(run, "the gang is incomplete")

    # Jobs

    def set_job(self, job_id: str, entry: JobEntry | None) -> None:
        """Take over a job's acceptance or cancellation."""
        if entry is None or entry.spec is None:
            return
        job = self.jobs_by_id.get(job_id)
        finished = entry.progress is not None and entry.progress.final is not None
        if job_id in self._released:
            # The stream runs behind the books: the outcome is stored, not yet read.
            if finished:
                self._released.discard(job_id)
            return
        if job is None and not finished:
            queue = self.config.queues_by_name.get(entry.spec.queue)
            job = create_job(
                entry.spec,
                queue or entry.spec.terms,
                entry.progress,
                self.clock.now(),
                self.clock.wall_ms(),
            )
            job.excess = self._exceeds(job)
            self.jobs_by_id[job_id] = job
        if job is not None and entry.cancelled and not job.cancelled:
            self._cancel(job)

    def _exceeds(self, job: Job) -> bool:
        customer = self.config.customers_by_name.get(job.spec.customer)
        if customer is None:
            return False
        at_s = job.spec.accepted_ms / 1000
        return self._rates.exceeds(customer.name, customer.weight, at_s)

    def set_config(self, config: CellConfig) -> None:
        """Take over a newer configuration; removed queues keep their accepted jobs."""
        self.config = config
        for job in self.jobs_by_id.values():
            queue = config.queues_by_name.get(job.spec.queue)
            if queue is not None:
                job.queue = queue

    def _cancel(self, job: Job) -> None:
        job.cancelled = True
        if not job.final:
            self.finish(job, JobState.CANCELLED)

    def finish(self, job: Job, state: JobState) -> None:
        """Decide a job's outcome and stop what still runs of it."""
        job.settle(state, self.clock.wall_ms(), self.clock.now())
        self.dirty.add(job.job_id)
        _LOG.info("a job is final", job=job.job_id, state=state)
        for step in job.steps_by_id.values():
            step.pending.clear()
            if step.spec.gang and step.done:
                # The other members end at the same moment and need no stop.
                continue
            for run in step.runs():
                self.stop(run, f"the job is {state}")

    def stop_runs_of_finished_jobs(self) -> None:
        """Stop what of a final job still runs, though it should have ended."""
        latest = self.clock.now() - LEFTOVER_S
        for job in self.jobs_by_id.values():
            if job.final_at is None or job.final_at > latest:
                continue
            for step in job.steps_by_id.values():
                for run in step.runs():
                    self.stop(run, "the job is final")

    # Runs

    def place(self, step: Step, index: int, worker: Worker) -> Run:
        """Charge a run that is about to be ordered."""
        self._next_run += 1
        return self.charge(step, index, worker, self._next_run, RunState.PLANNED)

    def place_gang(self, step: Step, workers: list[Worker]) -> list[Run]:
        """Charge all members of a gang under one run number."""
        self._next_run += 1
        return [
            self.charge(step, index, worker, self._next_run, RunState.PLANNED)
            for index, worker in enumerate(workers)
        ]

    def charge(
        self, step: Step, index: int, worker: Worker, number: int, state: RunState
    ) -> Run:
        """Enter a run and occupy its room."""
        need = step.spec.need
        if step.spec.filler:
            need = replace(need, cores=0)
        now = self.clock.now()
        run = Run(
            task=step.step_id.task(index),
            number=number,
            worker=worker,
            customer=step.job.spec.customer,
            need=need,
            charge=step.spec.need,
            state=state,
            since=now,
            percent_at=now,
            checkpoint=step.progress.checkpoints_by_index.get(index, ""),
        )
        worker.charge(run)
        step.pending.discard(index)
        step.active.setdefault(index, []).append(run)
        used = self.usage_by_customer.get(run.customer, NOTHING)
        self.usage_by_customer[run.customer] = used + run.charge
        return run

    def drop_run(self, run: Run) -> None:
        """Free what a run occupies."""
        if (run.task, run.number) not in run.worker.runs_by_id:
            return
        run.state = RunState.OVER
        run.worker.release(run)
        used = self.usage_by_customer.get(run.customer, NOTHING)
        self.usage_by_customer[run.customer] = used - run.charge
        step = self.step_of(run.task)
        if step is None:
            return
        active = step.active.get(run.task.ordinal, [])
        if run in active:
            active.remove(run)
        if not active:
            step.active.pop(run.task.ordinal, None)

    def step_of(self, task: TaskId) -> Step | None:
        """Return the step of a task if its job is not forgotten."""
        job = self.jobs_by_id.get(task.job_id)
        return None if job is None else job.steps_by_id.get(task.step_id)

    def requeue(self, task: TaskId, checkpoint: str) -> None:
        """Put a task back if nothing else runs it and its job goes on."""
        step = self.step_of(task)
        if step is None or step.job.final or not 0 <= task.ordinal < step.spec.count:
            return
        if checkpoint:
            step.progress.checkpoints_by_index[task.ordinal] = checkpoint
        if task.ordinal in step.progress.done or task.ordinal in step.active:
            return
        step.pending.add(task.ordinal)

    def withdraw(self, run: Run) -> None:
        """Free a run that was certainly never started."""
        self.drop_run(run)
        self.requeue(run.task, "")

    def stop(self, run: Run, reason: str) -> None:
        """Mark a run to be stopped; it stays charged until its end is known."""
        if run.state is RunState.PLANNED:
            self.withdraw(run)
        elif run.state not in (RunState.STOPPING, RunState.OVER):
            run.state = RunState.STOPPING
            run.stop_reason = reason
            run.since = self.clock.now()
            run.answered_at = None
            self.stops.append(run)

    def on_started(self, run: Run) -> None:
        """Take note that a worker confirmed a start."""
        now = self.clock.now()
        run.answered_at = now
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.since = now
            run.percent_at = now
        job = self.jobs_by_id.get(run.task.job_id)
        if job is not None:
            self.mark_job_started(job)

    def mark_job_started(self, job: Job) -> None:
        """Note that a task of the job has started."""
        if not job.progress.begun:
            job.progress.begun = True
            job.first_start_at = self.clock.now()
            self.dirty.add(job.job_id)

    def find_stalled(self) -> list[Run]:
        """Return runs whose progress stands still though their worker answers."""
        now = self.clock.now()
        stalled = []
        for worker in self.workers_by_id.values():
            for run in worker.runs_by_id.values():
                step = self.step_of(run.task)
                if step is None or step.spec.service or run.percent >= 100:
                    continue
                if run.state is not RunState.RUNNING:
                    continue
                patience_s = STALL_S + step.spec.estimated_ms / 1000 * 0.15
                if now - max(run.percent_at, run.since) > patience_s:
                    stalled.append(run)
        return stalled

    def forget_finished_jobs(self) -> None:
        """Forget final jobs that run nothing and whose outcome is being stored."""
        for job_id, job in list(self.jobs_by_id.items()):
            if not job.final or job_id in self.dirty:
                continue
            if all(not step.active for step in job.steps_by_id.values()):
                del self.jobs_by_id[job_id]
                self._released.add(job_id)
