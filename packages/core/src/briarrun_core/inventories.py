"""Comparison of a worker's inventory with what the ledger has charged to it."""

from __future__ import annotations

from dataclasses import dataclass, field

from briarrun_core.attempt_outcomes import (
    OUTCOME_BY_WORKER_STATE,
    AttemptFinisher,
    AttemptOutcome,
)
from briarrun_core.jobs import Task
from briarrun_core.ledger_core import LedgerCore
from briarrun_core.ledger_events import (
    StopCause,
    TaskAdopted,
    TaskConfirmed,
    WorkerSet,
)
from briarrun_core.ledger_orders import (
    CheckpointOrder,
    Inventory,
    InventoryTask,
    StopOrder,
    ThrottleOrder,
    WorkerOrder,
)
from briarrun_core.model import TaskState
from briarrun_core.workers import Worker


@dataclass(frozen=True, slots=True)
class InventoryResult:
    """Give what follows from an inventory.

    ``forget`` lists the ended tasks whose end is known to every replica, so that the
    worker need not list them any more.
    """

    orders: list[WorkerOrder] = field(default_factory=list)
    forget: list[str] = field(default_factory=list)


class InventoryReconciler:
    """Bring the ledger in line with inventories."""

    def __init__(self, core: LedgerCore, endings: AttemptFinisher) -> None:
        self._core = core
        self._finisher = endings

    def reconcile(
        self, worker: Worker, inventory: Inventory, now: float
    ) -> InventoryResult:
        """Note an inventory unless a newer one was read before."""
        if inventory.taken_at <= worker.taken_at:
            return InventoryResult()
        was_known = worker.is_known
        worker.taken_at = inventory.taken_at
        if not was_known and worker.is_known:
            self._core.changed_workers.add(worker.worker_id)
        self._note_worker(worker, inventory)
        foreign_before = worker.uncharged_by_attempt
        worker.uncharged_by_attempt = {}
        listed = set()
        forget = []
        for item in inventory.tasks:
            task = self._core.job_registry.attempt(
                item.task_id, item.attempt, worker.worker_id
            )
            if task is not None:
                listed.add(item.task_id)
                self._read_charged(task, item, now)
            elif _has_ended(item, inventory.taken_at):
                if self._may_forget(worker, item):
                    forget.append(item.task_id)
            else:
                self._read_uncharged(worker, item, now)
        self._find_missing(worker, inventory.taken_at, listed, now)
        if foreign_before or worker.uncharged_by_attempt:
            self._core.changed_workers.add(worker.worker_id)
        return InventoryResult(self._core.take_orders(), forget)

    def _note_worker(self, worker: Worker, inventory: Inventory) -> None:
        rack = inventory.rack or worker.rack
        draining = inventory.draining
        if not worker.capacity.fits_in(inventory.capacity):
            self._core.workers_to_check.add(worker.worker_id)
        if (worker.rack, worker.capacity, worker.draining) != (
            rack,
            inventory.capacity,
            draining,
        ):
            self._core.emit(
                WorkerSet(
                    worker_id=worker.worker_id,
                    rack=rack,
                    capacity=inventory.capacity,
                    draining=draining,
                )
            )

    def _read_charged(self, task: Task, item: InventoryTask, now: float) -> None:
        ending = OUTCOME_BY_WORKER_STATE.get(item.state)
        if ending is not None:
            detail = (
                f"worker reports {item.state}"
                if ending is not AttemptOutcome.DONE
                else ""
            )
            task.confirmed = True
            self._finisher.finish(task, ending, now, task.detail or detail)
            return
        self.confirm(task, now)
        if task.state is TaskState.STOPPING:
            self._core.stop(task, task.cause or StopCause.CANCELLED)
        elif task.state is TaskState.CHECKPOINTING:
            if item.state == "checkpointed":
                self._core.stop(task, StopCause.PREEMPTED)
            elif item.state != "checkpointing":
                self._core.order(
                    CheckpointOrder(task.task_id, task.attempt, task.worker_id)
                )
        else:
            self._check_usage(task, item, now)

    def confirm(self, task: Task, now: float) -> None:
        """Note that the worker ran the attempt, so that its lease may be renewed."""
        if not task.confirmed:
            task.confirmed = True
            self._core.renewals.set_no_later(task.worker_id, now)
        if task.state is TaskState.STARTING:
            self._core.emit(TaskConfirmed(task_id=task.task_id, attempt=task.attempt))

    def _check_usage(self, task: Task, item: InventoryTask, now: float) -> None:
        declared, used = task.spec.resources, item.usage
        if used.memory_mib > declared.memory_mib:
            self._stop_overuse(task, f"memory {used.memory_mib} MiB", "memory")
        elif used.accelerators > declared.accelerators:
            self._stop_overuse(
                task, f"{used.accelerators} accelerators", "accelerators"
            )
        elif used.cores <= declared.cores:
            task.throttled_at = None
        elif task.throttled_at is None:
            task.throttled_at = now
            self._throttle(task)
        elif now - task.throttled_at > self._core.settings.throttle_grace_s:
            self._stop_overuse(task, f"{used.cores} millicores", "cores")
        else:
            self._throttle(task)

    def _throttle(self, task: Task) -> None:
        self._core.order(ThrottleOrder(task.task_id, task.attempt, task.worker_id))

    def _stop_overuse(self, task: Task, used: str, part: str) -> None:
        detail = f"uses {used}, above its declared {part}"
        self._core.stop(task, StopCause.OVERUSE, detail)

    def _may_forget(self, worker: Worker, item: InventoryTask) -> bool:
        """Tell whether every possible successor knows how the attempt ended.

        Workers forget by task id alone, so a task that is charged to the worker again
        is left listed.
        """
        task = self._core.job_registry.task(item.task_id)
        if task is None:
            return True
        if task.is_active and task.worker_id == worker.worker_id:
            return False
        return task.end_seq <= self._core.replicated_seq

    def _read_uncharged(self, worker: Worker, item: InventoryTask, now: float) -> None:
        task = self._core.job_registry.task(item.task_id)
        adoptable = (
            task is not None
            and task.state in (TaskState.PENDING, TaskState.SET_ASIDE)
            and item.attempt > task.attempt
            and worker.is_known
        )
        if task is not None and adoptable:
            self._adopt(task, worker, item, now)
            return
        resources = task.spec.resources if task is not None else item.usage
        worker.uncharged_by_attempt[(item.task_id, item.attempt)] = resources
        if task is None or not task.is_active or task.worker_id != worker.worker_id:
            # Workers stop by task id alone; the current attempt must not be hit.
            self._core.order(
                StopOrder(
                    item.task_id,
                    item.attempt,
                    worker.worker_id,
                    StopCause.UNKNOWN_TASK,
                )
            )

    def _adopt(
        self, task: Task, worker: Worker, item: InventoryTask, now: float
    ) -> None:
        """Charge a running task whose start event was lost with its holder."""
        self._core.emit(
            TaskAdopted(
                task_id=task.task_id,
                attempt=item.attempt,
                worker_id=worker.worker_id,
                at=now,
            )
        )
        task.start_deadline, task.lease_until = now, 0.0
        task.renewed_until = 0.0
        task.start_seq = self._core.seq
        # The old holder's last renewal may still be on its way to the worker.
        self._core.extend_lease(task, max(item.lease_until, self._core.recovery_until))
        self.confirm(task, now)
        if task.job.is_gang:
            # The other members must be found as well; they may have been lost.
            deadline = now + self._core.settings.gang_start_s
            self._core.gang_start_deadlines.set_no_later(task.job.job_id, deadline)
        self._core.teams_to_check.add(task.spec.team)
        self._core.workers_to_check.add(worker.worker_id)

    def _find_missing(
        self, worker: Worker, taken_at: float, listed: set[str], now: float
    ) -> None:
        """Release attempts that an inventory after the last possible start omits."""
        charged = self._core.job_registry.tasks_by_worker.get(worker.worker_id, {})
        for task in [t for t in charged.values() if t.task_id not in listed]:
            bound = task.start_deadline + self._core.settings.skew_bound_s
            if taken_at > bound:
                self._finisher.finish(
                    task, AttemptOutcome.LOST, now, "not listed by its worker"
                )


def _has_ended(item: InventoryTask, taken_at: float) -> bool:
    """Tell whether a listed attempt certainly no longer runs.

    The worker itself stops an attempt whose lease has expired by its clock.
    """
    return item.state in OUTCOME_BY_WORKER_STATE or (
        item.state == "checkpointed" and item.lease_until < taken_at
    )
