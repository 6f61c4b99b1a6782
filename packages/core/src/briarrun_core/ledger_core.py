"""State of a ledger and the events that change it."""

from __future__ import annotations

import math

from briarrun_core.jobs import JobRegistry, Task
from briarrun_core.leases import Deadlines
from briarrun_core.ledger_events import (
    LedgerEvent,
    LedgerLost,
    LedgerSnapshot,
    StopCause,
    TaskAdopted,
    TaskCheckpointing,
    TaskEnded,
    TaskRequeued,
    TaskStarted,
    TaskStopping,
    WorkerRemoved,
    WorkerSet,
)
from briarrun_core.ledger_orders import (
    CheckpointOrder,
    LedgerSettings,
    StopOrder,
    WorkerOrder,
)
from briarrun_core.model import TaskState
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.workers import Worker, WorkerTracker

_RELEASING = (TaskRequeued, TaskEnded)
_CHARGING = (TaskStarted, TaskAdopted)


class LedgerCore:
    """Hold what the parts of a ledger share.

    Replicated state changes only in ``apply``. Deadlines, slices, leases and orders are
    the holder's own.
    """

    def __init__(self, settings: LedgerSettings, domain: str) -> None:
        self.settings = settings
        self.domain = domain
        self.job_registry = JobRegistry()
        self.workers = WorkerTracker()
        self.seq = 0
        self.is_holder = True
        self.replicated_seq = 0
        self.recovery_until = -math.inf
        self.ledger_lost = False
        self.lost_until = 0.0
        self.slices_by_team: dict[str, Resources] = {}
        self.slices_known = False
        self.teams_to_check: set[str] = set()
        self.workers_to_check: set[str] = set()
        self.changed_workers: set[str] = set()
        self.lease_deadlines: Deadlines[str] = Deadlines()
        self.renewals: Deadlines[str] = Deadlines()
        self.contact_deadlines: Deadlines[str] = Deadlines()
        self.gang_start_deadlines: Deadlines[str] = Deadlines()
        self.checkpoint_deadlines: Deadlines[str] = Deadlines()
        self.job_removal_deadlines: Deadlines[str] = Deadlines()
        self._events: list[LedgerEvent] = []
        self._orders: list[WorkerOrder] = []

    def emit(self, event: LedgerEvent) -> None:
        """Apply an event and queue it for the replicas."""
        self.apply(event)
        self._events.append(event)

    def take_events(self) -> list[LedgerEvent]:
        """Return the events since the last call; the last has number ``seq``."""
        events, self._events = self._events, []
        return events

    def order(self, order: WorkerOrder) -> None:
        """Queue an order to a worker."""
        self._orders.append(order)

    def take_orders(self) -> list[WorkerOrder]:
        """Return the queued orders."""
        orders, self._orders = self._orders, []
        return orders

    def apply(self, event: LedgerEvent) -> None:
        """Change the replicated state as the next event says."""
        self.seq += 1
        match event:
            case LedgerLost(until=until):
                self.lost_until = max(self.lost_until, until)
            case WorkerSet():
                self.workers.apply_set(event)
                self.changed_workers.add(event.worker_id)
            case WorkerRemoved(worker_id=worker_id):
                self.workers.workers_by_id.pop(worker_id, None)
                self.changed_workers.add(worker_id)
            case _:
                self._apply_to_book(event)

    def _apply_to_book(self, event: LedgerEvent) -> None:
        assert not isinstance(event, WorkerSet | WorkerRemoved | LedgerLost)
        if isinstance(event, _RELEASING):
            task = self.job_registry.task(event.task_id)
            if task is not None and task.is_active:
                self.changed_workers.add(task.worker_id)
                self.lease_deadlines.discard(task.task_id)
                self.checkpoint_deadlines.discard(task.task_id)
        self.job_registry.apply(event, self.seq)
        if isinstance(event, _CHARGING):
            self.workers.get_or_add(event.worker_id)
            self.changed_workers.add(event.worker_id)

    def snapshot(self) -> LedgerSnapshot:
        """Return the replicated state."""
        return LedgerSnapshot(
            seq=self.seq,
            lost_until=self.lost_until,
            workers=self.workers.snapshot(),
            jobs=self.job_registry.snapshot(),
        )

    def restore(self, state: LedgerSnapshot) -> None:
        """Replace the replicated state and drop everything of the holder's own."""
        self.__init__(self.settings, self.domain)  # type: ignore[misc]
        self.seq, self.is_holder = state.seq, False
        self.lost_until = state.lost_until
        self.workers.restore(state.workers)
        self.job_registry.restore(state.jobs)
        self.changed_workers.update(self.workers.workers_by_id)

    def free_on(self, worker: Worker) -> Resources:
        """Return what may still be charged to a worker."""
        charged = self.job_registry.charged_by_worker.get(worker.worker_id, NOTHING)
        return worker.capacity - charged - worker.uncharged_total

    def free_for(self, team: str) -> Resources:
        """Return what a team may still run in this domain."""
        used = self.job_registry.usage_by_team.get(team, NOTHING)
        return self.slices_by_team.get(team, NOTHING) - used

    def extend_lease(self, task: Task, until: float) -> None:
        """Note that a lease may have been stamped up to ``until``."""
        task.lease_until = max(task.lease_until, until)
        self.lease_deadlines.set(
            task.task_id, task.lease_until + self.settings.skew_bound_s
        )

    def stop(self, task: Task, cause: StopCause, detail: str = "") -> None:
        """Order a task to stop; its lease is not renewed any more."""
        if task.state is not TaskState.STOPPING:
            self.emit(
                TaskStopping(
                    task_id=task.task_id,
                    attempt=task.attempt,
                    cause=cause,
                    detail=detail,
                )
            )
        self.order(
            StopOrder(task.task_id, task.attempt, task.worker_id, task.cause or cause)
        )

    def checkpoint(self, task: Task, deadline: float) -> None:
        """Order a task to write a checkpoint and end, and stop it at the deadline."""
        if task.state is TaskState.RUNNING:
            self.emit(TaskCheckpointing(task_id=task.task_id, attempt=task.attempt))
        self.checkpoint_deadlines.set_no_later(task.task_id, deadline)
        self.order(CheckpointOrder(task.task_id, task.attempt, task.worker_id))
