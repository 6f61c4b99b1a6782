"""Start and stop orders to workers, and polls of their inventories."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from briarrun_cell.clock import Clock
from briarrun_cell.jobs import Step
from briarrun_cell.journal import Journal
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import OrderOutcome, StartOrder, Workers
from briarrun_cell.reconciler import InventoryReconciler
from briarrun_cell.workers import Run, RunState, StopReason, Worker

ORDER_TIMEOUT_S = 0.4
"""Timeout of an order, after which it is sent again."""

MAX_START_ATTEMPTS = 3
"""Number of unanswered start orders after which the run is stopped instead."""

POLL_WAIT_S = 1.0
"""Long-poll time: a worker answers earlier if a run ends."""

POLL_TIMEOUT_S = 0.5
"""Time added to the long-poll time to get the timeout of a poll."""

FIRST_POLL_TIMEOUT_S = 0.4
"""Timeout of the first poll of a worker, which does not wait."""

RETRY_S = 0.1
"""Pause after an order or poll that failed."""

STORED_WAIT_S = 0.5
"""Maximum wait for ended runs to become durable before the next poll."""

_LOG = ComponentLog("worker")


class HolderTermGuard(ABC):
    """Checks that this process is still the holder, and callbacks for orders and polls."""

    @abstractmethod
    def is_holder(self) -> bool:
        """Return whether the term is valid now."""

    @abstractmethod
    def may_renew_leases(self) -> bool:
        """Return whether run leases may be renewed now."""

    @abstractmethod
    def on_fenced(self) -> None:
        """Handle an order or poll rejected because of a later holder."""

    @abstractmethod
    def wake(self) -> None:
        """Request a scheduling round."""


class OrderSender:
    """Sends the start and stop orders of one term.

    An order is repeated until it is settled, but only while the term is valid. A term
    that ends may become valid again, so callers send the orders that
    ``find_abandoned`` returns once more.
    """

    def __init__(
        self, workers: Workers, ledger: Ledger, clock: Clock, guard: HolderTermGuard
    ) -> None:
        self._workers = workers
        self._ledger = ledger
        self._clock = clock
        self._guard = guard
        self._starting: set[Run] = set()
        self._stopping: set[Run] = set()

    def find_abandoned(self) -> list[Run]:
        """Return the runs with an unsettled order that is not being sent."""
        return [
            run
            for run in self._ledger.find_unsettled()
            if run
            not in (
                self._stopping if run.state is RunState.STOPPING else self._starting
            )
        ]

    async def start(self, run: Run, step: Step) -> None:
        """Start a planned run; stop it if no order is answered."""
        if run not in self._starting:
            with _member(self._starting, run):
                await self._start(run, step)

    async def _start(self, run: Run, step: Step) -> None:
        while run.state in (RunState.PLANNED, RunState.STARTING):
            if not self._guard.is_holder():
                if run.state is RunState.PLANNED:
                    self._ledger.withdraw(run)
                return
            worker = run.worker
            if not worker.inventory_known:
                # It restarted; its inventory tells whether the run has reached it.
                await asyncio.sleep(RETRY_S)
                continue
            if run.unanswered_starts >= MAX_START_ATTEMPTS:
                self._ledger.stop(run, StopReason.START_NOT_ANSWERED)
                self._guard.wake()
                return
            if self._ledger.is_evacuated(worker):
                self._on_evacuated(run, step)
                return
            outcome = await self._send_start(run, step)
            if outcome is OrderOutcome.UNKNOWN:
                run.unanswered_starts += 1
            elif run.worker is not worker or worker.dead:
                continue  # It is not known which life of the worker has answered.
            elif outcome is OrderOutcome.DONE:
                self._ledger.on_started(run)
                self._guard.wake()
            else:
                self._on_refused(run, step, outcome)
                return

    async def _send_start(self, run: Run, step: Step) -> OrderOutcome:
        now = self._clock.now()
        worker, durations = run.worker, self._ledger.lease_durations
        until_ms = worker.clock_now_ms(now) + int(durations.start_s * 1000)
        ticket = step.advice.tickets_by_worker.get(worker.incarnation_id)
        run.order_until_ms = max(run.order_until_ms, until_ms)
        worker.lease.extend(durations.start_order_end(now))
        first = run.state is RunState.PLANNED
        run.state = RunState.STARTING
        run.confirmed = run.listed
        answer = await self._workers.start(
            worker.entry,
            StartOrder(
                task=run.task,
                run=run.number,
                payload=step.job.spec.payload,
                lease_until_ms=until_ms,
                token=worker.token,
                checkpoint=run.checkpoint,
                ticket=ticket.value if ticket is not None else "",
            ),
            ORDER_TIMEOUT_S,
        )
        answered_at = self._clock.now()
        if answer.outcome.was_sent:
            worker.misread_lease.extend(durations.granted_end(answered_at))
        # An answer with another clock comes from a next life that is not known yet.
        run.confirmed = run.listed or (
            answer.outcome is OrderOutcome.DONE
            and run.worker is worker
            and (
                answer.clock_ms is None
                or worker.may_be_own_clock(answer.clock_ms, now, answered_at)
            )
        )
        if answer.outcome is not OrderOutcome.DONE or not first:
            _LOG.info(
                "sent start order",
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

    def _on_evacuated(self, run: Run, step: Step) -> None:
        """Send no further start order of a run to a failure domain under evacuation.

        A run of which no order was sent is withdrawn. Another one may have been started
        and goes on then, so it keeps its capacity until an inventory of its worker lists
        it or shows that its orders have expired.
        """
        unsent = run.state is RunState.PLANNED
        _LOG.info(
            "start order not sent because of an evacuation",
            job=run.task.job_id,
            task=run.task,
            run=run.number,
            worker=run.worker.worker_id,
            failure_domain=run.worker.entry.failure_domain,
            withdrawn=unsent,
        )
        if not unsent:
            return
        self._ledger.withdraw(run)
        if step.spec.gang:
            for other in step.runs():
                self._ledger.stop(other, StopReason.MEMBER_EVACUATED)
        self._guard.wake()

    def _on_refused(self, run: Run, step: Step, outcome: OrderOutcome) -> None:
        _LOG.warning(
            "start order refused",
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
        elif run.state is not RunState.STARTING:
            return  # An inventory has settled meanwhile what became of the run.
        elif outcome is OrderOutcome.SUPERSEDED:
            # The run may have started, and its worker may still list its end.
            self._ledger.await_inventory(run, "its worker has ended it before")
        elif run.unanswered_starts:
            # An earlier order that was not answered may still be carried out.
            self._ledger.stop(run, StopReason.START_UNSETTLED)
        else:
            if outcome is OrderOutcome.BAD_TICKET:
                # A worker may know the terms of a queue before the holder does.
                ticket = step.advice.tickets_by_worker.get(run.worker.incarnation_id)
                if ticket is not None:
                    ticket.expires_at = 0.0
            elif not outcome.was_sent:
                run.worker.contact_at = float("-inf")
            elif outcome is OrderOutcome.BUSY:
                run.worker.health.on_failed(self._clock.now())
            elif outcome is OrderOutcome.NO_CAPACITY:
                # The ledger may never learn why; other workers are to be tried first.
                step.failed_on.add(run.worker.worker_id)
            self._ledger.withdraw(run)
            if step.spec.gang:
                for other in step.runs():
                    self._ledger.stop(other, StopReason.MEMBER_REFUSED)
        self._guard.wake()

    async def stop(self, run: Run) -> None:
        """Stop a run; repeat the order until it is answered or the worker is gone."""
        if run not in self._stopping:
            with _member(self._stopping, run):
                await self._stop(run)

    async def _stop(self, run: Run) -> None:
        while run.state is RunState.STOPPING and not run.worker.dead:
            worker = run.worker
            if not self._guard.is_holder():
                return
            if not worker.inventory_known:
                await asyncio.sleep(RETRY_S)
                continue
            answer = await self._workers.stop(
                worker.entry, run.task, run.number, worker.token, ORDER_TIMEOUT_S
            )
            _LOG.info(
                "sent stop order",
                job=run.task.job_id,
                task=run.task,
                run=run.number,
                worker=worker.worker_id,
                reason=run.stop_reason,
                outcome=answer.outcome,
            )
            if run.worker is not worker or worker.dead:
                continue  # It is not known which life of the worker has answered.
            if answer.outcome is OrderOutcome.FENCED:
                self._guard.on_fenced()
                return
            if answer.outcome is OrderOutcome.WRONG_INCARNATION:
                self._ledger.on_worker_dead(worker, "another life answered")
                self._guard.wake()
                return
            if answer.outcome.was_sent and answer.outcome not in (
                OrderOutcome.UNKNOWN,
                OrderOutcome.BUSY,
            ):
                run.answered_at = self._clock.now()
                return
            await asyncio.sleep(RETRY_S)


@contextmanager
def _member(runs: set[Run], run: Run) -> Iterator[None]:
    """Keep a run in a set for the duration of the context."""
    runs.add(run)
    try:
        yield
    finally:
        runs.discard(run)


class WorkerPoller:
    """Polls one worker, which renews its run leases and reports ended runs.

    Polls that are answered one after the other on the same connection are a conversation
    with one life of the worker; only there ends are acknowledged. The token of the next
    life is higher, so that it refuses what was sent to the one before. What it runs is
    taken from an inventory that it gave after it had seen this token.
    """

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
        self._reconciler = InventoryReconciler(ledger)
        self._journal = journal
        self._clock = clock
        self._guard = guard
        self._reachable = True

    async def run(self) -> None:
        """Poll the worker until its process has ended."""
        while not self._worker.dead:
            if not self._guard.may_renew_leases() or not await self._try_poll():
                await asyncio.sleep(RETRY_S)

    async def _try_poll(self) -> bool:
        try:
            return await self._poll()
        except Exception as error:  # Leases must be renewed by the next poll.
            _LOG.error(
                "poll of a worker failed",
                worker=self._worker.worker_id,
                detail=repr(error),
            )
            return False

    async def _poll(self) -> bool:
        worker, ledger = self._worker, self._ledger
        durations = ledger.lease_durations
        sent_at = self._clock.now()
        first = not worker.inventory_known
        continued, worker.in_conversation = worker.in_conversation, False
        wait_s = POLL_WAIT_S if continued and not first else 0.0
        # Left over from a poll that failed with an exception.
        worker.lease.settle(sent=True)
        worker.misread_lease.settle(sent=True)
        timeout_s = wait_s + (FIRST_POLL_TIMEOUT_S if first else POLL_TIMEOUT_S)
        until_ms = None
        # On a new connection the next life may answer. After its term a holder renews
        # no leases there, since its successor does not wait for the longest ones.
        if worker.clock_ms and (continued or self._guard.is_holder()):
            until_ms = worker.clock_now_ms(sent_at) + int(durations.lease_s * 1000)
            worker.lease.requested_end = durations.renewal_end(sent_at)
            worker.misread_lease.requested_end = durations.granted_end(
                sent_at + timeout_s
            )
        answer = await self._workers.poll(
            worker.entry,
            worker.token,
            worker.acknowledged if continued else None,
            until_ms,
            wait_s,
            timeout_s,
        )
        worker.lease.settle(answer.outcome.was_sent)
        worker.misread_lease.settle(answer.outcome.was_sent)
        if worker.dead:
            return False
        if answer.outcome is OrderOutcome.FENCED:
            self._guard.on_fenced()
            return False
        if answer.outcome is OrderOutcome.WRONG_INCARNATION:
            ledger.on_worker_dead(worker, "another life answered")
            self._guard.wake()
            return False
        if answer.outcome is OrderOutcome.CONNECTION_CLOSED:
            return False
        self._set_reachable(answer.inventory is not None, answer.detail)
        if answer.inventory is None:
            return False
        born_ms = answer.inventory.born_ms
        if born_ms and worker.entry.born_ms != born_ms:
            # The new life may have another capacity: it gets no runs before its entry,
            # unless entries do not tell lives apart.
            entry = replace(
                worker.entry, born_ms=born_ms, suspended=worker.entry.born_ms > 0
            )
            self._worker = ledger.replace_worker(worker, entry)
            return True
        worker.in_conversation = True
        has_new_ends = self._reconciler.on_inventory(worker, answer.inventory, sent_at)
        if first and worker.inventory_known:
            # The worker has seen the token of this life and term, so that earlier calls
            # cannot extend its leases any more.
            now = self._clock.now()
            known_s = now - worker.entry.known_since
            misread = worker.restarted or durations.may_be_misread(known_s)
            worker.lease.limit(
                durations.granted_end(now) if misread else durations.renewal_end(now)
            )
        if first:
            ledger.expire()
        if has_new_ends or first:
            self._guard.wake()
        if worker.applied > worker.acknowledged:
            if not self._guard.is_holder():
                return False
            self._journal.notify_acknowledgement()
            await self._journal.wait_stored(STORED_WAIT_S)
        return True

    def _set_reachable(self, reachable: bool, detail: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            if reachable:
                _LOG.info("worker answers again", worker=self._worker.worker_id)
            else:
                _LOG.warning(
                    "worker does not answer",
                    worker=self._worker.worker_id,
                    detail=detail,
                )
