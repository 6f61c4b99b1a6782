"""Reconciliation of the ledger with the inventories that workers report."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable

from briarrun_cell.jobs import GANG, Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import (
    EndKind,
    EndReport,
    Inventory,
    JobState,
    RunReport,
)
from briarrun_cell.workers import GiveUpReason, Run, RunState, StopReason, Worker
from briarrun_core.resources import NOTHING

MAX_MISSING_POLLS = 2
"""Number of consecutive inventories without a run after which it counts as lost."""

STOP_REPEAT_S = 1.0
"""Time after an answered stop order after which a run that is still listed is stopped
again; a worker needs less than half of it."""

_LOG = ComponentLog("holder")


class InventoryReconciler:
    """Compares inventories with the ledger and resolves the differences."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def on_inventory(
        self, worker: Worker, inventory: Inventory, sent_at: float
    ) -> bool:
        """Apply an inventory and return whether it reports new ends of runs."""
        now = self._ledger.clock.now()
        if worker.dead:
            return False
        worker.contact_at = now
        worker.clock_ms = inventory.clock_ms
        worker.clock_asked_at, worker.clock_at = sent_at, now
        has_new_ends = False
        if worker.applied or worker.restarted:
            self._count_gap(worker, inventory)
        for end in inventory.ended:
            if end.number > worker.applied:
                self._on_end(worker, end)
                # An end that could not be applied must not be acknowledged.
                worker.applied = end.number
                has_new_ends = True
        listed = {(report.task, report.run): report for report in inventory.running}
        for key, report in listed.items():
            run = worker.runs_by_id.get(key)
            if run is None:
                self._adopt(worker, report)
            else:
                self._update_run(run, report, now)
                self._check_stop(run, sent_at)
        if inventory.lists_all_ends:
            for key, run in list(worker.runs_by_id.items()):
                if key not in listed:
                    self._check_missing(run, inventory, sent_at)
            self._ledger.mark_inventory_known(worker)
        return has_new_ends

    def _count_gap(self, worker: Worker, inventory: Inventory) -> None:
        """Count the ends that the worker forgot although they were not read."""
        new = [end.number for end in inventory.ended if end.number > worker.applied]
        if new and min(new) > worker.applied + 1:
            _LOG.error(
                "worker forgot ends that were not read",
                worker=worker.incarnation_id,
                after=worker.applied,
                first=min(new),
            )
            self._ledger.end_gaps += min(new) - worker.applied - 1

    def _update_run(self, run: Run, report: RunReport, now: float) -> None:
        run.missing_polls = 0
        run.listed = run.confirmed = True
        if run.state is RunState.STARTING:
            self._ledger.on_started(run)
        if report.checkpoint:
            run.checkpoint = report.checkpoint
        if run.base_percent is None:
            run.base_percent, run.base_at = report.percent, now
        if report.percent != run.percent:
            step = self._ledger.step_of(run.task)
            gained = report.percent - run.percent
            warm = run.worker.entry.cold_until <= run.percent_at
            if warm and step is not None and not step.spec.service and gained > 0:
                run.worker.health.on_progress(
                    now - run.percent_at, step.spec.estimated_ms / 1000 * gained / 100
                )
            run.percent, run.percent_at = report.percent, now

    def _check_stop(self, run: Run, sent_at: float) -> None:
        """Let a run be stopped again that goes on although its worker was told to."""
        if run.state is not RunState.STOPPING or run.answered_at is None:
            return
        if sent_at > run.answered_at + STOP_REPEAT_S:
            run.answered_at = None

    def _adopt(self, worker: Worker, report: RunReport) -> None:
        """Add a reported run that is not in the ledger.

        It was started by an earlier holder, or by a delayed order.
        """
        task = report.task
        step = self._ledger.step_of(task)
        valid = step is not None and 0 <= task.ordinal < step.spec.count
        if step is None or not valid:
            spec = self._ledger.spec_of(task.job_id)
            need = NOTHING
            if spec is not None and task.step < len(spec.steps):
                need = spec.steps[task.step].need
            unwanted = Run(
                task,
                report.run,
                worker,
                spec.customer if spec is not None else "",
                need,
                need,
                RunState.RUNNING,
                self._ledger.clock.now(),
            )
            worker.charge(unwanted)
            used = self._ledger.usage_by_customer.get(unwanted.customer, NOTHING)
            self._ledger.usage_by_customer[unwanted.customer] = used + need
            self._ledger.stop(unwanted, StopReason.NOT_WANTED)
            return
        others = [run for run in step.active.get(task.ordinal, [])]
        run = self._ledger.charge(
            step, task.ordinal, worker, report.run, RunState.RUNNING
        )
        run.answered_at = self._ledger.clock.now()
        run.checkpoint = report.checkpoint or run.checkpoint
        run.percent = run.base_percent = report.percent
        run.base_at = run.percent_at
        run.resumed = run.listed = run.confirmed = True
        # Further orders of the earlier holder may be on their way.
        run.unanswered_starts = 1
        self._ledger.mark_job_started(step.job)
        if step.job.final or task.ordinal in step.progress.done:
            self._ledger.stop(run, StopReason.NOT_WANTED)
        elif others and not step.spec.duplicates_allowed:
            self._ledger.stop(run, StopReason.RUNS_ELSEWHERE)
        elif step.spec.gang and any(
            other.number != report.run for other in step.runs()
        ):
            self._ledger.stop(run, StopReason.GANG_HAS_ANOTHER_RUN)

    def _check_missing(self, run: Run, inventory: Inventory, sent_at: float) -> None:
        """Handle a run that the inventory lists neither as running nor as ended."""
        if run.state is RunState.PLANNED:
            return
        if not run.worker.inventory_known:
            # The run was ordered from an earlier life, which is over, and the token of
            # this inventory fences off orders that are still under way.
            self._ledger.give_up(run, GiveUpReason.WORKER_ENDED)
            return
        if run.state is RunState.STARTING:
            if inventory.clock_ms > run.order_until_ms > 0:
                self._ledger.give_up(run, GiveUpReason.ORDER_EXPIRED)
            return
        if run.answered_at is None or sent_at < run.answered_at:
            return
        run.missing_polls += 1
        if run.missing_polls >= MAX_MISSING_POLLS or run.state is RunState.STOPPING:
            self._ledger.give_up(run, GiveUpReason.NOT_LISTED)

    def _on_end(self, worker: Worker, end: EndReport) -> None:
        now = self._ledger.clock.now()
        run = worker.runs_by_id.get((end.task, end.run))
        if run is not None:
            self._ledger.drop_run(run)
        self._ledger.ended.append((worker.worker_id, end))
        step = self._ledger.step_of(end.task)
        if step is None or not 0 <= end.task.ordinal < step.spec.count:
            return
        if run is None and end.kind in (EndKind.DONE, EndKind.FAILED):
            _LOG.warning(
                "run ended that was not in the ledger",
                job=end.task.job_id,
                task=end.task,
                run=end.run,
                worker=worker.incarnation_id,
                how=end.kind,
                end=end.number,
                other_runs=[
                    (other.number, other.worker.worker_id)
                    for other in step.active.get(end.task.ordinal, [])
                ],
            )
        if step.spec.gang:
            step.member_ended_at = now
        self._update_health(worker, step, run, end.kind, now)
        if end.kind is EndKind.DONE and not step.spec.service:
            self._on_done(step, end)
        elif end.kind is EndKind.FAILED and not step.spec.service:
            self._on_failed(worker, step, end)
        self._ledger.requeue(end.task, end.checkpoint)
        if step.spec.gang and not step.job.final and not step.done:
            self._requeue_gang(step)
        self._ledger.dirty.add(end.task.job_id)

    def _requeue_gang(self, step: Step) -> None:
        if not step.active:
            step.pending = set(range(step.spec.count))

    def _update_health(
        self, worker: Worker, step: Step, run: Run | None, kind: EndKind, now: float
    ) -> None:
        if kind is EndKind.DONE and run is not None:
            # How long a run took on a cold worker says nothing about later runs.
            warm = run.since >= worker.entry.cold_until
            estimated_s = step.spec.estimated_ms / 1000 if warm else 0.0
            if not run.checkpoint:
                worker.health.on_done(now - run.since, estimated_s)
            if not run.resumed:
                self._ledger.run_time_ratios.note(
                    step.job.queue.name,
                    now - run.since,
                    estimated_s,
                    step.spec.count,
                )
        elif kind is EndKind.FAILED:
            worker.health.on_failed(now)
            step.failed_on.add(worker.worker_id)

    def _on_done(self, step: Step, end: EndReport) -> None:
        progress = step.progress
        if step.spec.gang:
            done: Iterable[int] = range(step.spec.count)
            progress.done = list(done)
        else:
            done = (end.task.ordinal,)
            if end.task.ordinal not in progress.done:
                insort(progress.done, end.task.ordinal)
        for index in done:
            progress.assigned_by_index.pop(index, None)
            step.drop_checkpoint(index)
        step.pending.difference_update(done)
        if not step.spec.gang:
            for other in list(step.active.get(end.task.ordinal, [])):
                self._ledger.stop(other, StopReason.COPY_DONE)
        job = step.job
        if not job.final and job.all_done:
            self._ledger.finish(job, JobState.COMPLETED)

    def _on_failed(self, worker: Worker, step: Step, end: EndReport) -> None:
        index = GANG if step.spec.gang else end.task.ordinal
        failed_runs = step.progress.failed_runs_by_index.setdefault(index, [])
        if end.run in failed_runs:
            return
        failed_runs.append(end.run)
        attempts = len(failed_runs)
        if attempts >= step.job.queue.max_attempts and not step.job.final:
            _LOG.warning(
                "task reached its maximum number of attempts",
                job=end.task.job_id,
                task=end.task,
                attempts=attempts,
                worker=worker.worker_id,
            )
            self._ledger.finish(step.job, JobState.FAILED)
