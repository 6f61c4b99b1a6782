"""Send starts and stops to workers and look at what they run."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from briarrun_cell.clock import Clock
from briarrun_cell.jobs import Step
from briarrun_cell.journal import Journal
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import OrderOutcome, StartOrder, Workers
from briarrun_cell.reconciler import InventoryReconciler
from briarrun_cell.workers import CLOCK_DRIFT, Run, RunState, Worker

ORDER_TIMEOUT_S = 0.4
"""Time after which an order counts as unanswered and is sent again."""

START_TRIES = 3
"""Times that a start is sent before the run is stopped instead."""

LOOK_WAIT_S = 1.0
"""Time that a worker holds a look open while nothing ends."""

LOOK_TIMEOUT_S = 0.5
"""Time beyond the requested wait after which a look counts as lost."""

FIRST_LOOK_TIMEOUT_S = 0.4
"""Time after which a look at an unknown worker counts as lost."""

RETRY_S = 0.1
"""Pause after an order or a look without an answer."""

STORED_WAIT_S = 0.5
"""Longest wait for ends to become durable before the next look."""

_LOG = ComponentLog("worker")


class HolderTermGuard(ABC):
    """Tell whether this process may still act, and hear that it may not."""

    @abstractmethod
    def is_holder(self) -> bool:
        """Tell whether the tenure is valid now."""

    @abstractmethod
    def may_renew_leases(self) -> bool:
        """Tell whether leases of runs may be kept now."""

    @abstractmethod
    def on_fenced(self) -> None:
        """Take note that a later holder has acted."""

    @abstractmethod
    def on_worker_restarted(self, worker: Worker, born_ms: int) -> None:
        """Take note that another life of a worker answers under the same id."""

    @abstractmethod
    def wake(self) -> None:
        """Ask for a new round of decisions."""


class OrderSender:
    """Send the orders of one tenure."""

    def __init__(
        self, workers: Workers, ledger: Ledger, clock: Clock, guard: HolderTermGuard
    ) -> None:
        self._workers = workers
        self._ledger = ledger
        self._clock = clock
        self._guard = guard

    async def start(self, run: Run, step: Step) -> None:
        """Start a planned run; one that is never answered is stopped."""
        for _ in range(START_TRIES):
            if run.state not in (RunState.PLANNED, RunState.STARTING):
                return
            if not self._guard.is_holder():
                if run.state is RunState.PLANNED:
                    self._ledger.withdraw(run)
                return
            outcome = await self._send_start(run, step)
            if outcome is OrderOutcome.DONE:
                self._ledger.on_started(run)
                self._guard.wake()
                return
            if outcome is not OrderOutcome.UNKNOWN:
                self._on_refused(run, step, outcome)
                return
            run.unanswered_starts += 1
        if run.state is RunState.STARTING:
            self._ledger.stop(run, "the start was not answered")
            self._guard.wake()

    async def _send_start(self, run: Run, step: Step) -> OrderOutcome:
        now = self._clock.now()
        worker = run.worker
        until_ms = worker.clock_now_ms(now) + int(self._ledger.terms.start_s * 1000)
        ticket = step.advice.tickets_by_worker.get(worker.incarnation_id)
        run.order_until_ms = max(run.order_until_ms, until_ms)
        worker.lease_end = max(
            worker.lease_end, now + self._ledger.terms.start_s * (1 + 2 * CLOCK_DRIFT)
        )
        first = run.state is RunState.PLANNED
        run.state = RunState.STARTING
        answer = await self._workers.start(
            worker.entry,
            StartOrder(
                task=run.task,
                run=run.number,
                payload=step.job.spec.payload,
                lease_until_ms=until_ms,
                epoch=self._ledger.epoch,
                checkpoint=run.checkpoint,
                ticket=ticket.value if ticket is not None else "",
            ),
            ORDER_TIMEOUT_S,
        )
        if answer.outcome is not OrderOutcome.DONE or not first:
            _LOG.info(
                "sent a start",
                job=run.task.job_id,
                task=run.task,
                run=run.number,
                worker=worker.worker_id,
                outcome=answer.outcome,
                detail=answer.detail,
                first=first,
                epoch=self._ledger.epoch,
            )
        return answer.outcome

    def _on_refused(self, run: Run, step: Step, outcome: OrderOutcome) -> None:
        _LOG.warning(
            "a start was refused",
            job=run.task.job_id,
            task=run.task,
            run=run.number,
            worker=run.worker.worker_id,
            reason=outcome,
        )
        if outcome is OrderOutcome.FENCED:
            self._guard.on_fenced()
            return
        if outcome is OrderOutcome.WRONG_INCARNATION:
            self._ledger.on_worker_dead(run.worker, "another life answered")
        elif run.unanswered_starts and outcome is not OrderOutcome.SUPERSEDED:
            # An earlier try without an answer may still be carried out.
            self._ledger.stop(run, "an earlier start order is unsettled")
        else:
            if outcome is OrderOutcome.BAD_TICKET:
                step.advice.tickets_by_worker[run.worker.incarnation_id].expires_at = (
                    0.0
                )
            elif outcome is OrderOutcome.UNREACHABLE:
                run.worker.contact_at = float("-inf")
            elif outcome is OrderOutcome.BUSY:
                run.worker.health.on_failed(self._clock.now())
            self._ledger.withdraw(run)
            if step.spec.gang:
                for other in step.runs():
                    self._ledger.stop(other, "another member was refused")
        self._guard.wake()

    async def stop(self, run: Run) -> None:
        """Stop a run; repeated until answered or the worker is gone."""
        worker = run.worker
        while (run.task, run.number) in worker.runs_by_id and not worker.dead:
            if not self._guard.is_holder():
                return
            answer = await self._workers.stop(
                worker.entry, run.task, run.number, self._ledger.epoch, ORDER_TIMEOUT_S
            )
            _LOG.info(
                "sent a stop",
                job=run.task.job_id,
                task=run.task,
                run=run.number,
                worker=worker.worker_id,
                reason=run.stop_reason,
                outcome=answer.outcome,
            )
            if answer.outcome is OrderOutcome.FENCED:
                self._guard.on_fenced()
                return
            if answer.outcome is OrderOutcome.WRONG_INCARNATION:
                self._ledger.on_worker_dead(worker, "another life answered")
                self._guard.wake()
                return
            if answer.outcome not in (
                OrderOutcome.UNKNOWN,
                OrderOutcome.BUSY,
                OrderOutcome.UNREACHABLE,
            ):
                run.answered_at = self._clock.now()
                return
            await asyncio.sleep(RETRY_S)


class WorkerPoller:
    """Keep the leases of one worker and learn of its ends."""

    def __init__(
        self,
        worker: Worker,
        workers: Workers,
        ledger: Ledger,
        journal: Journal,
        clock: Clock,
        guard: HolderTermGuard,
    ) -> None:
        self._worker = worker
        self._workers = workers
        self._ledger = ledger
        self._reports = InventoryReconciler(ledger)
        self._journal = journal
        self._clock = clock
        self._guard = guard
        self._reachable = True

    async def run(self) -> None:
        """Look at the worker until its life ends."""
        while not self._worker.dead:
            if not self._guard.may_renew_leases() or not await self._look():
                await asyncio.sleep(RETRY_S)

    async def _look(self) -> bool:
        worker, ledger = self._worker, self._ledger
        asked_at = self._clock.now()
        first = not worker.inventory_known
        wait_s = 0.0 if first or not self._reachable else LOOK_WAIT_S
        until_ms = None
        if worker.clock_ms:
            until_ms = worker.clock_now_ms(asked_at) + int(ledger.terms.lease_s * 1000)
            longest_s = ledger.terms.lease_s * (1 + 2 * CLOCK_DRIFT)
            worker.requested_lease_end = asked_at + longest_s
        timeout_s = wait_s + (FIRST_LOOK_TIMEOUT_S if first else LOOK_TIMEOUT_S)
        answer = await self._workers.poll(
            worker.entry,
            ledger.epoch,
            worker.acknowledged,
            until_ms,
            wait_s,
            timeout_s,
        )
        if answer.outcome is not OrderOutcome.UNREACHABLE:
            worker.lease_end = max(worker.lease_end, worker.requested_lease_end)
        worker.requested_lease_end = float("-inf")
        if answer.outcome is OrderOutcome.FENCED:
            self._guard.on_fenced()
            return False
        left = worker.entry.draining and not worker.listed
        if left and answer.outcome is OrderOutcome.UNREACHABLE:
            ledger.on_worker_dead(worker, "it drained and left")
            self._guard.wake()
            return False
        if answer.outcome is OrderOutcome.WRONG_INCARNATION:
            ledger.on_worker_dead(worker, "another life answered")
            self._guard.wake()
            return False
        self._note(answer.inventory is not None, answer.detail)
        if answer.inventory is None:
            return False
        born_ms = answer.inventory.born_ms
        if born_ms and worker.entry.born_ms != born_ms:
            self._guard.on_worker_restarted(worker, born_ms)
            return False
        news = self._reports.on_inventory(worker, answer.inventory, asked_at)
        if first:
            ledger.expire()
        if news or first:
            self._guard.wake()
        if worker.applied > worker.acknowledged:
            if not self._guard.is_holder():
                return False
            self._journal.notify_acknowledgement()
            await self._journal.stored(STORED_WAIT_S)
        return True

    def _note(self, reachable: bool, detail: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            if reachable:
                _LOG.info("answers again", worker=self._worker.worker_id)
            else:
                _LOG.warning(
                    "does not answer", worker=self._worker.worker_id, detail=detail
                )
