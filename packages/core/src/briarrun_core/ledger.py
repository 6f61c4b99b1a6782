"""Ledger of a failure domain, which checks every start for safety.

The scheduler proposes starts, and the ledger accepts or refuses them. Times are
wall-clock seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from expression import Error, Ok, Result

from briarrun_core.attempt_outcomes import (
    OUTCOME_BY_WORKER_STATE,
    AttemptFinisher,
    AttemptOutcome,
)
from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.excess import ExcessReducer
from briarrun_core.inventories import InventoryReconciler, InventoryResult
from briarrun_core.ledger_core import LedgerCore
from briarrun_core.ledger_events import (
    LedgerEvent,
    LedgerSnapshot,
    StopCause,
    WorkerRemoved,
    WorkerSet,
)
from briarrun_core.ledger_jobs import LedgerJobs
from briarrun_core.ledger_orders import (
    Inventory,
    LeaseExtension,
    LedgerSettings,
    StartOrder,
    StartOutcome,
    StopOrder,
    WorkerInfo,
    WorkerOrder,
)
from briarrun_core.model import JobSpec, TaskState
from briarrun_core.recovery import Recovery
from briarrun_core.renewals import LeaseRenewer
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.starts import TaskStarter
from briarrun_core.views import WorkerState, WorkerView


class Ledger(LedgerJobs):
    """Jobs, tasks, leases and workers of one failure domain.

    The holder calls the commands, sends the orders that they return, and passes the
    events from ``take_events`` to the replicas, which only ``apply`` them. The last
    event has number ``seq``. A ledger that has applied an event or was restored is a
    replica: it accepts nothing and ignores late responses until ``begin_recovery``.
    """

    def __init__(self, settings: LedgerSettings, domain: str) -> None:
        core = LedgerCore(settings, domain)
        super().__init__(core, AttemptFinisher(core))
        self._inventories = InventoryReconciler(self._core, self._finisher)
        self._starter = TaskStarter(self._core)
        self._renewer = LeaseRenewer(self._core)
        self._recovery = Recovery(self._core, self._finisher)
        self._excess = ExcessReducer(self._core)

    @classmethod
    def from_config(cls, settings: LedgerSettings, domain: str) -> Ledger:
        """Return an empty ledger for a failure domain."""
        return cls(settings, domain)

    # Replication

    @property
    def seq(self) -> int:
        """Return the number of the last event."""
        return self._core.seq

    def take_events(self) -> list[LedgerEvent]:
        """Return the events since the last call; the last of them has number ``seq``."""
        return self._core.take_events()

    def apply(self, event: LedgerEvent) -> None:
        """Apply the holder's next event to this replica."""
        self._core.is_holder = False
        self._core.apply(event)

    def snapshot(self) -> LedgerSnapshot:
        """Return the replicated state."""
        return self._core.snapshot()

    def restore(self, state: LedgerSnapshot) -> None:
        """Replace all state with a holder's replicated state."""
        self._core.restore(state)

    def on_replicated(self, seq: int) -> None:
        """Record that every instance that may take over has the events up to ``seq``.

        Only acknowledgements in the current epoch count, including those of a snapshot.
        Without other electors, every event counts as replicated at once. Until a start
        is replicated, its lease ends with the holder's authority. Until an end is
        replicated, the worker is not told to forget the task.
        """
        self._core.replicated_seq = max(self._core.replicated_seq, seq)

    # Recovery

    def begin_recovery(
        self, previous_term_end_wall: float, ledger_lost: bool = False
    ) -> None:
        """Become the holder after an authority that ended at ``previous_term_end_wall``.

        ``ledger_lost`` says that the previous ledger is lost. Jobs merged from the log may
        then have been started already, so none of them starts before every lease of the
        previous holder has expired.
        """
        self._recovery.begin(previous_term_end_wall, ledger_lost)

    def merge_logged_jobs(self, specs: Iterable[JobSpec]) -> None:
        """Add the jobs that are open in the log and missing from the replica."""
        self._recovery.merge_logged(specs)

    # Workers

    def set_worker(self, info: WorkerInfo) -> None:
        """Add a worker or update it to what the platform declares.

        A worker gets no tasks before its first inventory. The capacity reported there
        replaces the declared one.
        """
        worker = self._core.workers.get_or_add(info.worker_id)
        if worker.leaving != info.draining:
            worker.leaving = info.draining
            self._core.changed_workers.add(info.worker_id)
        if worker.taken_at == -math.inf and (worker.rack, worker.capacity) != (
            info.rack,
            info.capacity,
        ):
            self._core.emit(
                WorkerSet(
                    worker_id=info.worker_id, rack=info.rack, capacity=info.capacity
                )
            )

    def remove_worker(self, worker_id: str) -> bool:
        """Remove a worker; return false if it only drains because it has tasks left."""
        worker = self._core.workers.workers_by_id.get(worker_id)
        if worker is None:
            return True
        if worker_id in self._core.job_registry.tasks_by_worker:
            worker.leaving = True
            self._core.changed_workers.add(worker_id)
            return False
        self._core.emit(WorkerRemoved(worker_id=worker_id))
        return True

    def worker_view(self, worker_id: str) -> WorkerView | None:
        """Return the scheduler's view of a worker, or None if the worker is unknown."""
        worker = self._core.workers.workers_by_id.get(worker_id)
        if worker is None:
            return None
        state = worker.state
        usable = state is not WorkerState.UNKNOWN
        return WorkerView(
            worker_id=worker_id,
            rack=worker.rack,
            domain=self._core.domain,
            capacity=worker.capacity,
            free=self._core.free_on(worker) if usable else NOTHING,
            state=state,
        )

    def worker_ids(self) -> list[str]:
        """Return the ids of all workers."""
        return list(self._core.workers.workers_by_id)

    def take_changed_workers(self) -> set[str]:
        """Return the workers whose view may have changed since the last call."""
        changed, self._core.changed_workers = self._core.changed_workers, set()
        return changed

    def on_inventory(
        self, worker_id: str, inventory: Inventory, now_wall: float
    ) -> InventoryResult:
        """Reconcile the ledger with a worker's inventory."""
        if not self._core.is_holder:
            return InventoryResult()
        worker = self._core.workers.get_or_add(worker_id)
        self._renewer.record_contact(worker, now_wall)
        return self._inventories.reconcile(worker, inventory, now_wall)

    # Limits

    def set_slices(self, by_team: Mapping[str, Resources]) -> None:
        """Set the domain's slice of every team's limit; a missing team has no slice."""
        core = self._core
        for team, used in core.job_registry.usage_by_team.items():
            if not used.fits_in(by_team.get(team, NOTHING)):
                core.teams_to_check.add(team)
        core.slices_by_team = dict(by_team)
        core.slices_known = True

    def usage_by_team(self) -> dict[str, Resources]:
        """Return the resources of each team's charged tasks."""
        return dict(self._core.job_registry.usage_by_team)

    def spare_by_team(self) -> dict[str, Resources]:
        """Return the unused part of each team's slice, which may be transferred."""
        core = self._core
        return {team: core.free_for(team) for team in core.slices_by_team}

    def excess(self, now_wall: float) -> list[WorkerOrder]:
        """Return orders that preempt work above a lowered slice or capacity."""
        self._excess.reduce(now_wall)
        return self._core.take_orders()

    # Starts, leases and orders

    def start_task(
        self,
        task_id: str,
        worker_id: str,
        epoch: int,
        now_wall: float,
        authority_until_wall: float,
    ) -> Result[StartOrder, Refused]:
        """Charge a task to a worker and return the order to send.

        The order's lease ends with the holder's authority, so the worker refuses an
        order that is delivered after that.
        """
        return self._starter.start(
            task_id, worker_id, epoch, now_wall, authority_until_wall
        )

    def start_gang(
        self,
        workers_by_task: Mapping[str, str],
        epoch: int,
        now_wall: float,
        authority_until_wall: float,
    ) -> Result[list[StartOrder], Refused]:
        """Start all given tasks of a gang, or none if one of them is refused."""
        return self._starter.start_gang(
            workers_by_task, epoch, now_wall, authority_until_wall
        )

    def on_start_result(
        self, task_id: str, attempt: int, outcome: StartOutcome, now_wall: float
    ) -> list[WorkerOrder]:
        """Handle the result of sending a start; a missing response changes nothing."""
        task = self._core.job_registry.attempt(task_id, attempt)
        if task is None or not self._core.is_holder:
            return []
        if outcome is StartOutcome.RUNNING:
            self._inventories.confirm(task, now_wall)
            if task.state is TaskState.STOPPING:
                self._core.stop(task, task.cause or StopCause.CANCELLED)
        elif outcome is StartOutcome.FAILED:
            self._finisher.finish(task, AttemptOutcome.FAILED, now_wall, "start failed")
        elif outcome is not StartOutcome.NO_RESPONSE and not task.confirmed:
            self._finisher.finish(task, AttemptOutcome.NOT_RUN, now_wall, outcome.value)
        return self._core.take_orders()

    def renewals_due(
        self, now_wall: float, authority_until_wall: float
    ) -> dict[str, list[LeaseExtension]]:
        """Return the lease extensions to send now, one batch per worker."""
        return self._renewer.due(now_wall, authority_until_wall)

    def on_renewed(
        self,
        worker_id: str,
        stamps: Iterable[LeaseExtension],
        unknown_ids: Iterable[str],
        now_wall: float,
    ) -> list[WorkerOrder]:
        """Handle a worker's response to a batch of renewals.

        A task that is unknown to the worker may have ended since. Only the next
        inventory shows how it ended, or that the worker has lost it.
        """
        if not self._core.is_holder:
            return []
        worker = self._core.workers.get_or_add(worker_id)
        self._renewer.record_contact(worker, now_wall)
        return self._core.take_orders()

    def checkpoint_task(
        self, task_id: str, now_wall: float
    ) -> Result[list[WorkerOrder], Refused]:
        """Order a running task to write a checkpoint and end, to free its resources."""
        task = self._core.job_registry.task(task_id)
        if task is None:
            return Error(Refused(RefusalReason.UNKNOWN_TASK, task_id))
        if task.state is not TaskState.RUNNING or not task.spec.idempotent:
            detail = "only running tasks that may start again are checkpointed"
            return Error(Refused(RefusalReason.INVALID_REQUEST, detail))
        self._core.checkpoint(task, now_wall + self._core.settings.checkpoint_s)
        return Ok(self._core.take_orders())

    def on_order_result(
        self, order: WorkerOrder, state: str, now_wall: float
    ) -> list[WorkerOrder]:
        """Handle a worker's answer to a stop, checkpoint or throttle order.

        An answer proves that an attempt has ended only if the attempt was confirmed
        before: the answer names no attempt, and a start in flight may still arrive.
        """
        task = self._core.job_registry.attempt(
            order.task_id, order.attempt, order.worker_id
        )
        if task is None:
            return []
        if not task.confirmed or not self._core.is_holder:
            return []
        ending = OUTCOME_BY_WORKER_STATE.get(state)
        if state == "unknown":
            ending = AttemptOutcome.LOST
        elif state == "checkpointed" and isinstance(order, StopOrder):
            ending = AttemptOutcome.STOPPED
        elif state == "checkpointed" and task.state is TaskState.CHECKPOINTING:
            self._core.stop(task, StopCause.PREEMPTED)
        if ending is not None:
            self._finisher.finish(task, ending, now_wall)
        return self._core.take_orders()

    def expire(self, now_wall: float) -> list[WorkerOrder]:
        """Handle every deadline that has passed.

        Releases tasks whose lease has expired, stops incomplete gangs and overdue
        checkpoints, marks silent workers and drops old records of ended jobs.
        """
        core = self._core
        if not core.is_holder:
            return []
        self._renewer.mark_silent(now_wall)
        for task_id in core.lease_deadlines.pop_due(now_wall):
            task = core.job_registry.task(task_id)
            if task is not None and task.is_active:
                self._finisher.finish(
                    task, AttemptOutcome.LOST, now_wall, "lease lapsed"
                )
        for job_id in core.gang_start_deadlines.pop_due(now_wall):
            job = core.job_registry.jobs_by_id.get(job_id)
            if job is not None:
                self._finisher.stop_incomplete_gang(job)
        for task_id in core.checkpoint_deadlines.pop_due(now_wall):
            task = core.job_registry.task(task_id)
            if task is not None and task.state is TaskState.CHECKPOINTING:
                core.stop(task, StopCause.PREEMPTED)
        self._recovery.finish(now_wall)
        for job_id in core.job_removal_deadlines.pop_due(now_wall):
            self._forget_ended(job_id, now_wall)
        return core.take_orders()
