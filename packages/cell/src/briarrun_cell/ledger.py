"""In-memory state of the holder: jobs, runs, workers and resource usage. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from briarrun_cell.clock import Clock
from briarrun_cell.decisions.customer_shares import CustomerShares
from briarrun_cell.decisions.ranking import MOMENTARY_RATE_WINDOW_S, RateMeter
from briarrun_cell.decisions.run_times import RunTimeRatios
from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import Job, Step, create_job
from briarrun_cell.leases import LeaseBound, LeaseDurations
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import (
    CellConfig,
    EndReport,
    JobSpec,
    JobState,
    TaskId,
    WorkerEntry,
)
from briarrun_cell.ports import DEFAULT_RECORD_BYTES
from briarrun_cell.progress_size import ProgressBounds
from briarrun_cell.workers import GiveUpReason, Run, RunState, StopReason, Worker
from briarrun_core.resources import NOTHING, Resources

RUN_BITS = 20
"""Bits of a run number below the epoch, so that run numbers increase with the epoch."""

TOKEN_BITS = 20
"""Bits of a token below the epoch, so that tokens increase with the epoch."""

STALL_TIMEOUT_S = 2.0
"""Time without progress after which a run counts as stalled."""

FINISHED_JOB_GRACE_S = 1.0
"""Time after the end of a job after which its remaining runs are stopped. It lets the
other members of a gang end by themselves."""

GANG_END_GRACE_S = 1.0
"""Time after the end of a member of a gang after which the others are stopped. While the
store is slow, the ends of some members are read 0.5 s after those of others."""

_LOG = ComponentLog("holder")


class Ledger:
    """State of the cell during one term of the holder.

    ``stops`` collects the runs to be stopped, ``ended`` the reported ends of runs with
    their workers, ``given_up`` the reasons for which runs were given up, ``end_gaps`` the
    number of ends that workers forgot unread, and ``dirty`` the ids of jobs whose
    progress must be stored.
    """

    def __init__(
        self,
        clock: Clock,
        epoch: int,
        config: CellConfig,
        lease_durations: LeaseDurations,
        spec_of: Callable[[str], JobSpec | None],
        bounds: ProgressBounds | None = None,
    ) -> None:
        self.clock = clock
        self.epoch = epoch
        self.config = config
        self.evacuated_domains: frozenset[str] = frozenset()
        self.lease_durations = lease_durations
        self.spec_of = spec_of
        self._bounds = bounds or ProgressBounds(DEFAULT_RECORD_BYTES)
        self.workers_by_id: dict[str, Worker] = {}
        self.jobs_by_id: dict[str, Job] = {}
        self.usage_by_customer: dict[str, Resources] = {}
        self.stops: list[Run] = []
        self.ended: list[tuple[str, EndReport]] = []
        self.given_up: list[GiveUpReason] = []
        self.end_gaps = 0
        self.dirty: set[str] = set()
        self.began_at = clock.now()
        self.run_time_ratios = RunTimeRatios()
        self.shares = CustomerShares()
        self._next_run = epoch << RUN_BITS
        self._last_token = epoch << TOKEN_BITS
        self._rates = RateMeter()
        self._momentary_rates = RateMeter(MOMENTARY_RATE_WINDOW_S)
        self._reported_workers: set[str] = set()
        self._forgotten_jobs: set[str] = set()

    # Workers

    def set_workers(
        self, entries: list[WorkerEntry], left: list[WorkerEntry]
    ) -> list[Worker]:
        """Apply the worker registry and return the new workers.

        ``left`` lists workers that were removed from the registry a short time ago.
        Their runs may still hold leases from an earlier holder.
        """
        by_id = {entry.worker_id: entry for entry in entries}
        added = []
        for worker_id, worker in list(self.workers_by_id.items()):
            worker.registered = worker_id in by_id
            if (
                not worker.registered
                and not worker.runs_by_id
                and worker.inventory_known
            ):
                self.forget_worker(worker)
        initial = not self.workers_by_id
        for entry in entries + (left if initial else []):
            known = self.workers_by_id.get(entry.worker_id)
            if known is not None and known.entry.born_ms >= entry.born_ms:
                if known.entry.born_ms == entry.born_ms:
                    known.update_entry(entry)
                elif entry.suspended:
                    known.update_entry(replace(known.entry, suspended=True))
                continue
            if known is not None:
                worker = self.replace_worker(known, entry)
            else:
                worker = self._add_worker(
                    entry, self.began_at + self.lease_durations.longest_s
                )
            worker.registered = entry.worker_id in by_id
            added.append(worker)
        return added

    def replace_worker(self, worker: Worker, entry: WorkerEntry) -> Worker:
        """Replace a worker by its next life under the same id.

        Start orders that were sent to the earlier life may have reached the new one, so
        their runs are charged to it until its inventory is known.
        """
        successor = self._add_worker(
            entry, self.clock.now() + self.lease_durations.longest_s
        )
        successor.restarted = True
        _LOG.warning(
            "worker started again under its id",
            worker=worker.incarnation_id,
            successor=successor.incarnation_id,
            runs=len(worker.runs_by_id),
            ends_read=worker.applied,
            ends_acknowledged=worker.acknowledged,
        )
        worker.dead = True
        successor.registered = worker.registered
        for run in list(worker.runs_by_id.values()):
            if run.state is RunState.PLANNED:
                self.withdraw(run)
            elif run.listed and not run.unanswered_starts:
                self.give_up(run, GiveUpReason.WORKER_ENDED)
            else:
                self._move(run, successor)
        return successor

    def _move(self, run: Run, successor: Worker) -> None:
        """Charge a run to the next life of its worker, which may have started it."""
        run.worker.release(run)
        run.worker = successor
        run.listed = run.confirmed = False
        successor.charge(run)
        if run.state is RunState.STOPPING and run.answered_at is not None:
            # The earlier life was told to stop it, the next one was not.
            run.answered_at = None
            self.stops.append(run)

    def _add_worker(self, entry: WorkerEntry, lease_end: float) -> Worker:
        """Add a worker whose inventory is not known yet."""
        self._last_token += 1
        worker = Worker(entry, LeaseBound(lease_end), token=self._last_token)
        self.workers_by_id[entry.worker_id] = worker
        # The inventory of an earlier incarnation does not cover assignments to this one.
        self._reported_workers.discard(entry.worker_id)
        return worker

    def forget_worker(self, worker: Worker) -> None:
        """Remove a worker that runs nothing."""
        worker.dead = True
        if self.workers_by_id.get(worker.worker_id) is worker:
            del self.workers_by_id[worker.worker_id]

    def on_worker_dead(self, worker: Worker, reason: str) -> None:
        """Remove a worker whose process has ended, and requeue its runs."""
        if worker.dead:
            return
        _LOG.warning(
            "worker process ended",
            worker=worker.worker_id,
            reason=reason,
            runs=len(worker.runs_by_id),
        )
        for run in list(worker.runs_by_id.values()):
            self.give_up(run, GiveUpReason.WORKER_ENDED)
        self.mark_inventory_known(worker)
        self.forget_worker(worker)

    def expire(self) -> None:
        """Requeue the runs of workers whose leases have expired without contact."""
        now = self.clock.now()
        for worker in list(self.workers_by_id.values()):
            if worker.leases_expired(now) and (
                worker.runs_by_id or not worker.inventory_known
            ):
                for run in list(worker.runs_by_id.values()):
                    if not worker.may_go_on(run, now):
                        self.give_up(run, GiveUpReason.LEASE_EXPIRED)
                if not worker.runs_by_id:
                    self.mark_inventory_known(worker)
            if (
                not worker.registered
                and not worker.runs_by_id
                and worker.inventory_known
            ):
                self.forget_worker(worker)

    def mark_inventory_known(self, worker: Worker) -> None:
        """Record that the inventory of a worker is known, or that it runs nothing."""
        worker.inventory_known = True
        self._reported_workers.add(worker.worker_id)

    def assignment_is_uncertain(self, step: Step, index: int) -> bool:
        """Return whether an earlier holder may have started the task unnoticed."""
        worker_id = step.progress.assigned_by_index.get(index)
        if worker_id is None or worker_id in self._reported_workers:
            return False
        return self._earlier_leases_may_hold()

    def _earlier_leases_may_hold(self) -> bool:
        """Return whether leases that an earlier holder gave may still be valid."""
        return self.clock.now() < self.began_at + self.lease_durations.longest_s

    def uncertain_usage_by_customer(self) -> dict[str, Resources]:
        """Return the resources of tasks that an earlier holder may have started.

        Their workers have not answered this holder yet, so no run of them is charged.
        """
        usage: dict[str, Resources] = {}
        if not self._earlier_leases_may_hold():
            return usage
        for job in self.jobs_by_id.values():
            name = job.spec.customer
            for step in job.steps_by_id.values():
                assigned = step.pending & step.progress.assigned_by_index.keys()
                for index in assigned:
                    if self.assignment_is_uncertain(step, index):
                        usage[name] = usage.get(name, NOTHING) + step.spec.need
        return usage

    def startable(self, step: Step) -> list[int]:
        """Return the indexes of the tasks that may start; all or none of a gang."""
        free = sorted(step.pending)
        if step.progress.assigned_by_index:
            free = [
                index for index in free if not self.assignment_is_uncertain(step, index)
            ]
        if step.spec.gang and (step.active or len(free) < step.spec.count):
            return []
        return self._within_progress(step, free)

    def _within_progress(self, step: Step, free: list[int]) -> list[int]:
        """Return the tasks with which the progress of the job stays bounded.

        The progress already has space for those that have been started before.
        """
        room = step.job.room_for_tasks()
        if room is None or not free:
            return free
        known = step.tasks_in_flight()
        further = [index for index in free if index not in known]
        if step.spec.gang:
            alone = not any(s.tasks_in_flight() for s in step.job.steps_by_id.values())
            return free if alone or len(further) <= room else []
        left_out = set(further[room:])
        return [index for index in free if index not in left_out]

    def record_assignments(self, step: Step, runs: Iterable[Run]) -> None:
        """Record the workers of planned runs, to be stored before the start orders."""
        for run in runs:
            step.progress.assigned_by_index[run.task.ordinal] = run.worker.worker_id
        self.dirty.add(step.job.job_id)

    def stop_broken_gangs(self) -> None:
        """Stop gangs of which an earlier holder started only a part, or a member is lost.

        If a member has ended, the others end at the same time; their ends are read one
        by one.
        """
        for job in self.jobs_by_id.values():
            for step in job.steps_by_id.values():
                members = len(step.active)
                if not step.spec.gang or not 0 < members < step.spec.count:
                    continue
                if self.clock.now() < step.member_ended_at + GANG_END_GRACE_S:
                    continue
                if any(run.state is not RunState.RUNNING for run in step.runs()):
                    continue
                if any(self.assignment_is_uncertain(step, i) for i in step.pending):
                    continue
                for run in step.runs():
                    self.stop(run, StopReason.GANG_INCOMPLETE)

    # Jobs

    def set_job(self, job_id: str, entry: JobEntry | None) -> None:
        """Apply the acceptance or cancellation of a job."""
        if entry is None or entry.spec is None:
            return
        job = self.jobs_by_id.get(job_id)
        finished = entry.progress is not None and entry.progress.final is not None
        if job_id in self._forgotten_jobs:
            # The job stream lags behind the ledger: the outcome is stored but not read.
            if finished:
                self._forgotten_jobs.discard(job_id)
            return
        if job is None and not finished:
            queue = self.config.queues_by_name.get(entry.spec.queue)
            job = create_job(
                entry.spec,
                queue or entry.spec.terms,
                entry.progress,
                self.clock.now(),
                self.clock.wall_ms(),
                self._bounds,
            )
            job.over_rate = self._exceeds_rate(job, self._rates)
            job.early = self._exceeds_rate(job, self._momentary_rates)
            self.jobs_by_id[job_id] = job
        if job is not None and entry.cancelled and not job.cancelled:
            self._cancel(job)

    def _exceeds_rate(self, job: Job, rates: RateMeter) -> bool:
        customer = self.config.customers_by_name.get(job.spec.customer)
        if customer is None:
            return False
        at_s = job.spec.accepted_ms / 1000
        return rates.exceeds(customer.name, customer.weight, at_s)

    def set_config(self, config: CellConfig) -> None:
        """Apply a newer configuration; jobs of removed queues keep their old terms."""
        self.config = config
        for job in self.jobs_by_id.values():
            queue = config.queues_by_name.get(job.spec.queue)
            if queue is not None:
                job.queue = queue

    def is_evacuated(self, worker: Worker) -> bool:
        """Return whether no task may start on the worker because of an evacuation."""
        return worker.entry.failure_domain in self.evacuated_domains

    def evacuated_workers(self) -> int:
        """Return the number of registered workers on which no task may start."""
        return sum(
            worker.registered and self.is_evacuated(worker)
            for worker in self.workers_by_id.values()
        )

    def _cancel(self, job: Job) -> None:
        job.cancelled = True
        if not job.final:
            self.finish(job, JobState.CANCELLED)

    def finish(self, job: Job, state: JobState) -> None:
        """Set the final state of a job and stop its remaining runs."""
        job.set_outcome(state, self.clock.wall_ms(), self.clock.now())
        self.dirty.add(job.job_id)
        _LOG.info("job finished", job=job.job_id, state=state)
        for step in job.steps_by_id.values():
            step.pending.clear()
            if step.spec.gang and len(step.active) < step.spec.count:
                # A member has ended, so the others end by themselves.
                continue
            for run in step.runs():
                self.stop(run, StopReason.JOB_FINAL)

    def stop_runs_of_finished_jobs(self) -> None:
        """Stop the remaining runs of jobs that ended ``FINISHED_JOB_GRACE_S`` ago."""
        latest = self.clock.now() - FINISHED_JOB_GRACE_S
        for job in self.jobs_by_id.values():
            if job.final_at is None or job.final_at > latest:
                continue
            for step in job.steps_by_id.values():
                for run in step.runs():
                    self.stop(run, StopReason.JOB_FINAL)

    # Runs

    def place(self, step: Step, index: int, worker: Worker) -> Run:
        """Add a planned run of a task on a worker."""
        self._next_run += 1
        return self.charge(step, index, worker, self._next_run, RunState.PLANNED)

    def place_gang(self, step: Step, workers: list[Worker]) -> list[Run]:
        """Add planned runs of all tasks of a gang under one run number."""
        self._next_run += 1
        return [
            self.charge(step, index, worker, self._next_run, RunState.PLANNED)
            for index, worker in enumerate(workers)
        ]

    def charge(
        self, step: Step, index: int, worker: Worker, number: int, state: RunState
    ) -> Run:
        """Add a run and charge its resources to the worker and the customer."""
        need = step.spec.need
        if step.spec.filler:
            need = replace(need, cores=0)
        now = self.clock.now()
        checkpoint = step.checkpoint_of(index)
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
            checkpoint=checkpoint,
            resumed=bool(checkpoint),
        )
        worker.charge(run)
        step.pending.discard(index)
        step.active.setdefault(index, []).append(run)
        used = self.usage_by_customer.get(run.customer, NOTHING)
        self.usage_by_customer[run.customer] = used + run.charge
        return run

    def drop_run(self, run: Run) -> None:
        """Remove a run and free its resources."""
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
        """Return the step of a task, or None if its job is not in the ledger."""
        job = self.jobs_by_id.get(task.job_id)
        return None if job is None else job.steps_by_id.get(task.step_id)

    def requeue(self, task: TaskId, checkpoint: str) -> None:
        """Make a task pending again unless it is done, running or its job is final."""
        step = self.step_of(task)
        if step is None or step.job.final or not 0 <= task.ordinal < step.spec.count:
            return
        if task.ordinal in step.progress.done:
            return
        step.save_checkpoint(task.ordinal, checkpoint)
        if task.ordinal in step.active:
            return
        step.pending.add(task.ordinal)

    def withdraw(self, run: Run) -> None:
        """Remove a run that has certainly not been started, and requeue its task."""
        if run.state is RunState.PLANNED:
            self.drop_run(run)
            self.requeue(run.task, "")
        else:
            self.give_up(run, GiveUpReason.NOT_STARTED)

    def give_up(self, run: Run, reason: GiveUpReason) -> None:
        """Remove a run of which no end will be reported, and requeue its task."""
        if (run.task, run.number) not in run.worker.runs_by_id:
            return
        _LOG.info(
            "gave a run up",
            job=run.task.job_id,
            task=run.task,
            run=run.number,
            worker=run.worker.incarnation_id,
            reason=reason,
            state=run.state,
            unanswered_starts=run.unanswered_starts,
            ends_read=run.worker.applied,
        )
        self.given_up.append(reason)
        self.drop_run(run)
        self.requeue(run.task, run.checkpoint)

    def stop(self, run: Run, reason: StopReason) -> None:
        """Schedule a run to be stopped; it keeps its resources until its end is known."""
        if run.state is RunState.PLANNED:
            self.withdraw(run)
        elif run.state not in (RunState.STOPPING, RunState.OVER):
            run.state = RunState.STOPPING
            run.stop_reason = reason
            run.since = self.clock.now()
            run.answered_at = None
            self.stops.append(run)

    def find_unsettled(self) -> list[Run]:
        """Return the runs whose start or stop order has to be sent, or sent again.

        No start order is sent to a failure domain under evacuation.
        """
        return [
            run
            for worker in self.workers_by_id.values()
            for run in worker.runs_by_id.values()
            if (run.state is RunState.STOPPING and run.answered_at is None)
            or (run.state is RunState.STARTING and not self.is_evacuated(worker))
        ]

    def await_inventory(self, run: Run, reason: str) -> None:
        """Keep a run that can no longer start until the next inventory lists its end.

        If that inventory does not, the run never started.
        """
        if run.state is RunState.STARTING:
            run.state = RunState.STOPPING
            run.stop_reason = reason
            run.answered_at = run.since = self.clock.now()

    def on_started(self, run: Run) -> None:
        """Record that a worker confirmed a start."""
        now = self.clock.now()
        run.answered_at = now
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.since = now
            run.percent_at = now
            if not run.resumed:
                run.base_percent, run.base_at = 0, now
        job = self.jobs_by_id.get(run.task.job_id)
        if job is not None:
            self.mark_job_started(job)

    def mark_job_started(self, job: Job) -> None:
        """Record that a task of the job has started."""
        if not job.progress.begun:
            job.progress.begun = True
            job.first_start_at = self.clock.now()
            self.dirty.add(job.job_id)

    def find_stalled(self) -> list[Run]:
        """Return running runs that have made no progress for too long.

        Only time up to the last inventory counts, since a worker that cannot be reached
        may be making progress.
        """
        stalled = []
        for worker in self.workers_by_id.values():
            for run in worker.runs_by_id.values():
                step = self.step_of(run.task)
                if step is None or step.spec.service or run.percent >= 100:
                    continue
                if run.state is not RunState.RUNNING:
                    continue
                max_stall_s = STALL_TIMEOUT_S + step.spec.estimated_ms / 1000 * 0.15
                last_progress_at = max(run.percent_at, run.since)
                if worker.contact_at - last_progress_at > max_stall_s:
                    stalled.append(run)
        return stalled

    def forget_finished_jobs(self) -> None:
        """Remove final jobs without active runs whose outcome has been stored."""
        for job_id, job in list(self.jobs_by_id.items()):
            if not job.final or job_id in self.dirty:
                continue
            if all(not step.active for step in job.steps_by_id.values()):
                del self.jobs_by_id[job_id]
                self._forgotten_jobs.add(job_id)
