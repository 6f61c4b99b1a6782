"""Recovery of a ledger by the successor of a holder."""

from __future__ import annotations

from collections.abc import Iterable

from briarrun_core.attempt_outcomes import AttemptFinisher
from briarrun_core.ledger_core import LedgerCore
from briarrun_core.ledger_events import (
    JobAdded,
    JobStartsKnown,
    LedgerLost,
    TaskEnded,
)
from briarrun_core.model import JobSpec, TaskState


class Recovery:
    """Assume the worst that the old holder could have done until it is disproved."""

    def __init__(self, core: LedgerCore, endings: AttemptFinisher) -> None:
        self._core = core
        self._finisher = endings
        self._unresolved: set[str] = set()

    def begin(self, previous_term_end: float, ledger_lost: bool) -> None:
        """Forget what only the old holder knew and assume its longest leases."""
        core, settings = self._core, self._core.settings
        core.take_events()
        core.take_orders()
        core.is_holder, core.ledger_lost = True, ledger_lost
        core.replicated_seq = 0
        core.recovery_until = (
            previous_term_end + settings.task_lease_s + settings.skew_bound_s
        )
        for deadlines in (
            core.lease_deadlines,
            core.renewals,
            core.contact_deadlines,
            core.gang_start_deadlines,
        ):
            deadlines.clear()
        core.checkpoint_deadlines.clear()
        core.workers.known_after = previous_term_end + settings.skew_bound_s
        for worker in core.workers.workers_by_id.values():
            worker.known_after = core.workers.known_after
            worker.silent, worker.leaving = True, False
            worker.uncharged_by_attempt.clear()
            core.changed_workers.add(worker.worker_id)
        for task in core.job_registry.active_tasks():
            task.confirmed, task.throttled_at = False, None
            task.start_deadline, task.lease_until = previous_term_end, 0.0
            task.renewed_until = 0.0
            core.extend_lease(task, previous_term_end + settings.task_lease_s)
            if task.state is TaskState.CHECKPOINTING:
                core.checkpoint_deadlines.set(
                    task.task_id, previous_term_end + settings.checkpoint_s
                )
            if task.job.is_gang:
                deadline = previous_term_end + settings.gang_start_s
                core.gang_start_deadlines.set_no_later(task.job.job_id, deadline)
        for job in core.job_registry.jobs_by_id.values():
            job.confirmed, job.accept_seq = True, core.seq
            job.inherited = job.maybe_logged = True
            for task in job.tasks:
                # Other instances that may take over next may know less than this one.
                task.start_seq = task.end_seq = core.seq
            self._finisher.schedule_job_removal(job)
            if job.maybe_started:
                self._unresolved.add(job.job_id)
        core.teams_to_check.update(core.job_registry.tasks_by_team)
        if ledger_lost:
            # A further successor must wait, too; its clock may differ by the bound.
            until = core.recovery_until + settings.skew_bound_s
            core.emit(LedgerLost(until=until))

    def merge_logged(self, specs: Iterable[JobSpec]) -> None:
        """Add the jobs that only the log knows."""
        core = self._core
        for spec in specs:
            if spec.job_id in core.job_registry.jobs_by_id:
                continue
            core.emit(JobAdded(spec=spec, maybe_started=core.ledger_lost))
            core.job_registry.accepted_unlogged.pop(spec.job_id, None)
            job = core.job_registry.jobs_by_id[spec.job_id]
            job.inherited = job.maybe_logged = True
            if core.ledger_lost:
                self._unresolved.add(spec.job_id)

    def finish(self, now: float) -> None:
        """Resolve jobs of a lost ledger once its longest lease has ended.

        A task that is not idempotent and that nobody runs may have run before.
        """
        if not self._unresolved or now <= self._core.recovery_until:
            return
        for job_id in sorted(self._unresolved):
            job = self._core.job_registry.jobs_by_id.get(job_id)
            if job is None:
                continue
            self._core.emit(JobStartsKnown(job_id=job_id))
            pending = [t for t in job.tasks if t.state is TaskState.PENDING]
            for task in [] if job.spec.idempotent else pending:
                self._core.emit(
                    TaskEnded(
                        task_id=task.task_id,
                        attempt=task.attempt,
                        state=TaskState.UNKNOWN,
                        at=now,
                        detail="the ledger that recorded its start was lost",
                    )
                )
            self._finisher.schedule_job_removal(job)
        self._unresolved.clear()
