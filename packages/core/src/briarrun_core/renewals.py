"""Renewal of leases, and workers that have fallen silent."""

from __future__ import annotations

from briarrun_core.jobs import Task
from briarrun_core.ledger_core import LedgerCore
from briarrun_core.ledger_orders import LeaseExtension
from briarrun_core.model import TaskState
from briarrun_core.workers import Worker

_RENEWED_STATES = (TaskState.RUNNING, TaskState.CHECKPOINTING)


class LeaseRenewer:
    """Stamp leases worker by worker."""

    def __init__(self, core: LedgerCore) -> None:
        self._core = core

    def due(
        self, now: float, authority_until: float
    ) -> dict[str, list[LeaseExtension]]:
        """Return the stamps to send now; none without authority."""
        if now >= authority_until or not self._core.is_holder:
            return {}
        stamps_by_worker = {}
        for worker_id in self._core.renewals.pop_due(now):
            worker = self._core.workers.workers_by_id.get(worker_id)
            # Stamping leases of a silent worker would extend how long its tasks count.
            if worker is not None and not worker.silent:
                stamps = self._stamp(worker_id, now, authority_until)
                if stamps:
                    stamps_by_worker[worker_id] = stamps
        return stamps_by_worker

    def _stamp(
        self, worker_id: str, now: float, authority_until: float
    ) -> list[LeaseExtension]:
        core, settings = self._core, self._core.settings
        stamps = []
        interval_s = settings.renew_interval_s
        enough = now + settings.task_lease_s - settings.renew_interval_s / 2
        for task in core.job_registry.tasks_by_worker.get(worker_id, {}).values():
            if not self._is_renewed(task):
                continue
            replicated = task.start_seq <= core.replicated_seq
            if not replicated:
                interval_s = settings.short_renew_interval_s
            elif task.renewed_until >= enough:
                continue
            until = now + settings.task_lease_s
            # A successor may not know this start; it must have ended by then.
            until = until if replicated else min(until, authority_until)
            core.extend_lease(task, until)
            task.renewed_until = until
            stamps.append(LeaseExtension(task.task_id, task.attempt, until))
        if worker_id in core.job_registry.tasks_by_worker:
            core.renewals.set_no_later(worker_id, now + interval_s)
        return stamps

    def _is_renewed(self, task: Task) -> bool:
        return (
            task.confirmed and task.state in _RENEWED_STATES and not task.job.cancelled
        )

    def record_contact(self, worker: Worker, now: float) -> None:
        """Note a sign of life of a worker."""
        worker.last_contact_at = max(worker.last_contact_at, now)
        self._core.contact_deadlines.set(
            worker.worker_id,
            worker.last_contact_at + self._core.settings.worker_silent_s,
        )
        if worker.silent:
            worker.silent = False
            self._core.changed_workers.add(worker.worker_id)
            if worker.worker_id in self._core.job_registry.tasks_by_worker:
                self._core.renewals.set_no_later(worker.worker_id, now)

    def mark_silent(self, now: float) -> None:
        """Mark the workers that have shown no sign of life for too long."""
        for worker_id in self._core.contact_deadlines.pop_due(now):
            worker = self._core.workers.workers_by_id.get(worker_id)
            if worker is not None and not worker.silent:
                worker.silent = True
                self._core.changed_workers.add(worker_id)
