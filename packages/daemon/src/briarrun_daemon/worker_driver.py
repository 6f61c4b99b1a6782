"""Communication with the workers of the domain during one epoch."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

import msgspec
from expression import Result

from briarrun_adapters.worker import Inventory, Lease, StartReply, TaskStart
from briarrun_core.ledger_orders import Inventory as LedgerInventory
from briarrun_core.ledger_orders import (
    LeaseExtension,
    StartOrder,
    StartOutcome,
    StopOrder,
    ThrottleOrder,
    WorkerInfo,
    WorkerOrder,
)
from briarrun_core.model import job_id_of
from briarrun_daemon.epoch_state import EpochState
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.replication import EpochEndedError

_LOG = ComponentLog("worker")
RENEWAL_BATCH_PAUSE_S = 0.02
"""Pause between two rounds of renewals. It collects the renewals of tasks that start
together in one batch per worker."""


class WorkerDriver:
    """Starts tasks, renews leases, polls inventories and sends orders to workers."""

    def __init__(self, epoch: EpochState) -> None:
        self._epoch = epoch
        self._context = epoch.context
        self._timing = epoch.context.settings.timing
        self._client = epoch.context.workers
        self._addresses: dict[str, str] = {}
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._calls = asyncio.Semaphore(
            epoch.context.settings.limits.worker_calls_at_once
        )
        self._renewal_due = asyncio.Event()

    def begin(self) -> None:
        """Start the background loops."""
        self._epoch.tasks.supervise("renewals", self._run_renewals)
        self._epoch.tasks.supervise("expiry", self._run_expiry)

    def set_workers(self, workers: Iterable[tuple[str, str, bool]]) -> None:
        """Set the workers, given as (id, address, leaving)."""
        known = set(self._addresses)
        for worker_id, address, leaving in workers:
            known.discard(worker_id)
            self._addresses[worker_id] = address
            self._epoch.ledger.set_worker(
                WorkerInfo(worker_id=worker_id, draining=leaving)
            )
            if worker_id not in self._pollers:
                self._pollers[worker_id] = self._epoch.tasks.start(
                    self._poll(worker_id)
                )
        for worker_id in known:
            if self._epoch.ledger.remove_worker(worker_id):
                del self._addresses[worker_id]
                self._pollers.pop(worker_id).cancel()
        self._epoch.flush()

    # Inventories

    async def _poll(self, worker_id: str) -> None:
        while True:
            started = self._context.clock.now()
            async with self._calls:
                result = await self._client.inventory(
                    self._addresses[worker_id], self._timing.worker_call_timeout_s
                )
            if result.is_error():
                await asyncio.sleep(self._timing.inventory_interval_s / 4)
                continue
            self._on_inventory(worker_id, result.ok)
            # A worker's state stays unknown until it has sent an inventory that is newer
            # than the previous holder's authority. Until then it is polled faster.
            recovering = self._context.clock.wall() < self._recovered_at_wall()
            wait_s = 0.02 if recovering else self._timing.inventory_interval_s
            await asyncio.sleep(max(0.01, started + wait_s - self._context.clock.now()))

    def _recovered_at_wall(self) -> float:
        return self._epoch.previous_term_end_wall + 4 * self._timing.skew_bound_s

    def _on_inventory(self, worker_id: str, inventory: Inventory) -> None:
        epoch = self._epoch
        if epoch.closed:
            return
        result = epoch.ledger.on_inventory(
            worker_id,
            msgspec.convert(inventory, LedgerInventory, from_attributes=True),
            epoch.wall(),
        )
        epoch.flush()
        self.send_orders(result.orders)
        if result.forget and epoch.may_act():
            epoch.tasks.start(self._forget(worker_id, result.forget))

    async def _forget(self, worker_id: str, task_ids: Sequence[str]) -> None:
        async with self._calls:
            await self._client.forget(
                self._addresses[worker_id],
                task_ids,
                self._timing.worker_call_timeout_s,
            )

    # Starts

    def start(self, order: StartOrder) -> None:
        """Send a start order, after its replication if it has to be durable first."""
        self._epoch.tasks.start(self._send_start(order))

    async def _send_start(self, order: StartOrder) -> None:
        epoch = self._epoch
        if order.durable_seq is not None and not await self._wait_replicated(order):
            self._on_start(order, StartOutcome.NOT_SENT)
            return
        async with self._calls:
            if epoch.closed or epoch.wall() >= order.lease_until:
                self._on_start(order, StartOutcome.NOT_SENT)
                return
            address = self._addresses.get(order.worker_id, "")
            result = await self._client.start(
                address, _start_of(order), self._timing.worker_call_timeout_s
            )
        match result:
            case Result(tag="ok", ok=reply):
                self._on_start(order, _OUTCOME_BY_REPLY[reply])
            case Result(error=failure):
                outcome = (
                    StartOutcome.NOT_SENT
                    if failure.had_no_effect
                    else StartOutcome.NO_RESPONSE
                )
                _LOG.warning(
                    "task start failed",
                    task=order.task_id,
                    worker=order.worker_id,
                    outcome=outcome.value,
                    detail=failure.detail,
                )
                self._on_start(order, outcome)

    async def _wait_replicated(self, order: StartOrder) -> bool:
        seq = self._epoch.flush()
        wait_s = order.lease_until - self._epoch.wall()
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                await self._epoch.source.wait_replicated(seq)
        except (TimeoutError, EpochEndedError):
            return False
        return True

    def _on_start(self, order: StartOrder, outcome: StartOutcome) -> None:
        epoch = self._epoch
        if epoch.closed:
            return
        now = epoch.wall()
        orders = epoch.ledger.on_start_result(
            order.task_id, order.attempt, outcome, now
        )
        epoch.flush()
        if outcome is StartOutcome.RUNNING:
            self._renewal_due.set()
            self._observe_start(order, now)
        self.send_orders(orders)

    def _observe_start(self, order: StartOrder, now: float) -> None:
        spec = self._epoch.ledger.job_spec(job_id_of(order.task_id))
        if spec is not None:
            self._context.metrics.start_wait_s.labels(
                spec.team, spec.urgency.value
            ).observe(max(0.0, now - spec.accepted_at))

    # Renewals

    async def _run_renewals(self) -> None:
        while True:
            try:
                async with asyncio.timeout(0.1):
                    await self._renewal_due.wait()
            except TimeoutError:
                pass
            self._renewal_due.clear()
            due = self._epoch.ledger.renewals_due(
                self._epoch.wall(), self._epoch.authority_until_wall()
            )
            for worker_id, stamps in due.items():
                self._epoch.tasks.start(self._send_renewal(worker_id, stamps))
            await asyncio.sleep(RENEWAL_BATCH_PAUSE_S)

    async def _send_renewal(
        self, worker_id: str, stamps: Sequence[LeaseExtension]
    ) -> None:
        if worker_id not in self._addresses:
            return
        leases = [
            Lease(task_id=s.task_id, attempt=s.attempt, lease_until=s.lease_until)
            for s in stamps
        ]
        result = await self._client.renew(
            self._addresses[worker_id], leases, self._timing.worker_call_timeout_s
        )
        if self._epoch.closed:
            return
        match result:
            case Result(tag="ok", ok=unknown):
                orders = self._epoch.ledger.on_renewed(
                    worker_id, stamps, unknown, self._epoch.wall()
                )
                self._epoch.flush()
                self.send_orders(orders)
            case Result(error=failure):
                _LOG.warning(
                    "lease renewal failed", worker=worker_id, detail=failure.detail
                )

    # Orders

    async def _run_expiry(self) -> None:
        while True:
            self.send_orders(self._epoch.ledger.expire(self._epoch.wall()))
            self._epoch.flush()
            await asyncio.sleep(0.1)

    def send_orders(self, orders: Iterable[WorkerOrder]) -> None:
        """Send stop, checkpoint and throttle orders while authority lasts."""
        for order in orders:
            if self._epoch.may_act():
                self._epoch.tasks.start(self._send_order(order))

    async def _send_order(self, order: WorkerOrder) -> None:
        address = self._addresses.get(order.worker_id)
        if address is None:
            return
        async with self._calls:
            result = await self._client.apply_action(
                address,
                order.task_id,
                _action_of(order),
                self._timing.worker_call_timeout_s,
            )
        if self._epoch.closed:
            return
        state = ""
        match result:
            case Result(tag="ok", ok=reported):
                state = reported
            case Result(error=failure):
                state = "unknown" if failure.status == 404 else ""
        if state:
            orders = self._epoch.ledger.on_order_result(
                order, state, self._epoch.wall()
            )
            self._epoch.flush()
            self.send_orders(orders)


_OUTCOME_BY_REPLY = {
    StartReply.RUNNING: StartOutcome.RUNNING,
    StartReply.LAPSED: StartOutcome.LAPSED,
    StartReply.FAILED: StartOutcome.FAILED,
}


def _start_of(order: StartOrder) -> TaskStart:
    return TaskStart(
        task_id=order.task_id,
        attempt=order.attempt,
        epoch=order.epoch,
        resources=order.resources,
        lease_until=order.lease_until,
        command=order.command,
        run_seconds=order.run_seconds,
    )


def _action_of(order: WorkerOrder) -> str:
    if isinstance(order, StopOrder):
        return "stop"
    return "throttle" if isinstance(order, ThrottleOrder) else "checkpoint"
