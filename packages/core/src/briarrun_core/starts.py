"""Starts of tasks, and the checks before a task is charged to a worker."""

from __future__ import annotations

from collections.abc import Mapping

from expression import Error, Ok, Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.jobs import Task
from briarrun_core.ledger_core import LedgerCore
from briarrun_core.ledger_events import TaskStarted
from briarrun_core.ledger_orders import StartOrder
from briarrun_core.model import TaskState
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.views import WorkerState

ATTEMPTS_PER_EPOCH = 1_000_000
"""Attempt numbers of an epoch start at the epoch times this number, so that different
holders never use the same one; a successor may not know the latest attempts."""


class TaskStarter:
    """Accepts or refuses starts of tasks."""

    def __init__(self, core: LedgerCore) -> None:
        self._core = core

    def start(
        self,
        task_id: str,
        worker_id: str,
        epoch: int,
        now: float,
        authority_until: float,
    ) -> Result[StartOrder, Refused]:
        """Charge a task and return the order to send, or refuse the start."""
        task = self._core.job_registry.task(task_id)
        refused = self._find_refusal(task, task_id, worker_id, now, authority_until)
        if refused is not None or task is None:
            return Error(refused or Refused(RefusalReason.UNKNOWN_TASK, task_id))
        return Ok(self._charge(task, worker_id, epoch, now, authority_until))

    def start_gang(
        self,
        workers_by_task: Mapping[str, str],
        epoch: int,
        now: float,
        authority_until: float,
    ) -> Result[list[StartOrder], Refused]:
        """Charge all given tasks of a gang, or none if one is refused."""
        on_worker: dict[str, Resources] = {}
        for_team = NOTHING
        tasks: list[Task] = []
        for task_id, worker_id in workers_by_task.items():
            task = self._core.job_registry.task(task_id)
            taken = on_worker.get(worker_id, NOTHING)
            refused = self._find_refusal(
                task, task_id, worker_id, now, authority_until, taken, for_team
            )
            if refused is not None or task is None:
                return Error(refused or Refused(RefusalReason.UNKNOWN_TASK, task_id))
            if tasks and task.job is not tasks[0].job:
                detail = f"{task_id} is of another job than {tasks[0].task_id}"
                return Error(Refused(RefusalReason.INVALID_REQUEST, detail))
            on_worker[worker_id] = taken + task.spec.resources
            for_team += task.spec.resources
            tasks.append(task)
        return Ok(
            [
                self._charge(
                    task, workers_by_task[task.task_id], epoch, now, authority_until
                )
                for task in tasks
            ]
        )

    def _find_refusal(
        self,
        task: Task | None,
        task_id: str,
        worker_id: str,
        now: float,
        authority_until: float,
        taken_on_worker: Resources = NOTHING,
        taken_for_team: Resources = NOTHING,
    ) -> Refused | None:
        if now >= authority_until or not self._core.is_holder:
            return Refused(RefusalReason.NO_AUTHORITY, "the authority has ended")
        if task is None:
            return Refused(RefusalReason.UNKNOWN_TASK, task_id)
        return (
            self._check_task(task, now)
            or self._check_worker(task, worker_id, taken_on_worker)
            or self._check_slice(task, taken_for_team)
        )

    def _check_task(self, task: Task, now: float) -> Refused | None:
        if task.state is not TaskState.PENDING or task.job.cancelled:
            detail = f"{task.task_id} is {task.state.value}"
            return Refused(RefusalReason.TASK_NOT_PENDING, detail)
        if not task.job.confirmed:
            detail = f"the acceptance of {task.job.job_id} is not durable"
            return Refused(RefusalReason.NOT_DURABLE, detail)
        if task.runs and not task.spec.idempotent:
            detail = f"{task.task_id} may have run and is not idempotent"
            return Refused(RefusalReason.TASK_NOT_PENDING, detail)
        if task.job.maybe_started or now <= self._core.lost_until:
            detail = "leases of a lost ledger may still be valid"
            return Refused(RefusalReason.WORKER_UNAVAILABLE, detail)
        if task.job.is_gang and task.job.counts[TaskState.STOPPING]:
            detail = f"tasks of {task.job.job_id} are still being stopped"
            return Refused(RefusalReason.TASK_NOT_PENDING, detail)
        return None

    def _check_worker(
        self, task: Task, worker_id: str, taken: Resources
    ) -> Refused | None:
        worker = self._core.workers.workers_by_id.get(worker_id)
        if worker is None:
            return Refused(RefusalReason.UNKNOWN_WORKER, worker_id)
        if worker.state is not WorkerState.AVAILABLE:
            detail = f"{worker_id} is {worker.state.value}"
            return Refused(RefusalReason.WORKER_UNAVAILABLE, detail)
        if not (taken + task.spec.resources).fits_in(self._core.free_on(worker)):
            detail = f"{worker_id} has no room for {task.task_id}"
            return Refused(RefusalReason.NO_CAPACITY, detail)
        return None

    def _check_slice(self, task: Task, taken: Resources) -> Refused | None:
        team = task.spec.team
        if not (taken + task.spec.resources).fits_in(self._core.free_for(team)):
            detail = f"team {team} is at its limit in {self._core.domain}"
            return Refused(RefusalReason.TEAM_LIMIT, detail)
        return None

    def _charge(
        self, task: Task, worker_id: str, epoch: int, now: float, authority_until: float
    ) -> StartOrder:
        core = self._core
        attempt = max(task.attempt + 1, epoch * ATTEMPTS_PER_EPOCH)
        core.emit(
            TaskStarted(
                task_id=task.task_id, attempt=attempt, worker_id=worker_id, at=now
            )
        )
        lease_until = min(authority_until, now + core.settings.task_lease_s)
        task.confirmed, task.throttled_at = False, None
        task.start_seq, task.start_deadline, task.lease_until = (
            core.seq,
            lease_until,
            0.0,
        )
        task.renewed_until = lease_until
        core.extend_lease(task, lease_until)
        if task.job.is_gang:
            deadline = now + core.settings.gang_start_s
            core.gang_start_deadlines.set_no_later(task.job.job_id, deadline)
        spec = task.spec
        return StartOrder(
            task_id=task.task_id,
            attempt=attempt,
            worker_id=worker_id,
            epoch=epoch,
            resources=spec.resources,
            lease_until=lease_until,
            command=spec.command,
            run_seconds=spec.run_seconds,
            durable_seq=None if spec.idempotent else core.seq,
        )
