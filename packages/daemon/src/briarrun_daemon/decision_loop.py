"""Execution of the scheduler's decisions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from expression import Result

from briarrun_core.ledger_orders import StartOrder
from briarrun_core.views import Checkpoint, Decision, Place, SetAside
from briarrun_daemon.epoch_state import EpochState
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.worker_driver import WorkerDriver

_LOG = ComponentLog("holder")
IDLE_INTERVAL_S = 0.25
"""Time between two rounds when nothing has changed. Rounds are needed even then, because
the scheduler's promotions and reservations depend on time alone."""


class DecisionLoop:
    """Loop that applies decisions to the ledger and sends the accepted orders."""

    def __init__(self, epoch: EpochState, workers: WorkerDriver) -> None:
        self._epoch = epoch
        self._workers = workers
        self._metrics = epoch.context.metrics

    async def run(self) -> None:
        """Run rounds of decisions until cancelled."""
        interval_s = self._epoch.context.settings.timing.decide_interval_s
        while True:
            try:
                async with asyncio.timeout(IDLE_INTERVAL_S):
                    await self._epoch.feed.changed.wait()
            except TimeoutError:
                pass
            if self._epoch.may_act():
                self.decide()
            await asyncio.sleep(interval_s)

    def decide(self) -> int:
        """Run one round of decisions and return how many there were."""
        epoch = self._epoch
        epoch.feed.dirty = False
        limit = epoch.context.settings.limits.decisions_per_round
        started = time.perf_counter()
        decisions = epoch.scheduler.decide(epoch.wall(), limit)
        self._metrics.decision_s.observe(time.perf_counter() - started)
        gangs: dict[str, list[Place]] = {}
        for decision in decisions:
            if isinstance(decision, Place) and decision.gang is not None:
                gangs.setdefault(decision.gang, []).append(decision)
            else:
                self._execute(decision)
        for places in gangs.values():
            self._start_gang(places)
        epoch.flush()
        epoch.feed.dirty |= bool(decisions)
        return len(decisions)

    def _execute(self, decision: Decision) -> None:
        match decision:
            case Place():
                self._start(decision)
            case Checkpoint(task_id=task_id):
                self._checkpoint(task_id)
            case SetAside(job_id=job_id, reason=reason):
                self._epoch.ledger.set_aside_job(job_id, reason)
                self._count("set-aside", "ok")
                _LOG.info("job set aside", job=job_id, detail=reason)

    def _start(self, place: Place) -> None:
        epoch = self._epoch
        result = epoch.ledger.start_task(
            place.task_id,
            place.worker_id,
            epoch.number,
            epoch.wall(),
            epoch.authority_until_wall(),
        )
        match result:
            case Result(tag="ok", ok=order):
                self._send([order])
            case Result(error=refused):
                self._on_refused([place], refused.reason)

    def _start_gang(self, places: Sequence[Place]) -> None:
        epoch = self._epoch
        result = epoch.ledger.start_gang(
            {place.task_id: place.worker_id for place in places},
            epoch.number,
            epoch.wall(),
            epoch.authority_until_wall(),
        )
        match result:
            case Result(tag="ok", ok=orders):
                self._send(orders)
            case Result(error=refused):
                self._on_refused(places, refused.reason)

    def _checkpoint(self, task_id: str) -> None:
        result = self._epoch.ledger.checkpoint_task(task_id, self._epoch.wall())
        match result:
            case Result(tag="ok", ok=orders):
                self._workers.send_orders(orders)
                self._count("checkpoint", "ok")
            case Result(error=refused):
                self._count("checkpoint", refused.reason)

    def _send(self, orders: Sequence[StartOrder]) -> None:
        self._epoch.flush()
        for order in orders:
            self._workers.start(order)
            self._count("place", "ok")

    def _on_refused(self, places: Sequence[Place], reason: str) -> None:
        for place in places:
            self._epoch.scheduler.on_task_refused(place.task_id, self._epoch.wall())
            self._count("place", reason)

    def _count(self, kind: str, result: str) -> None:
        self._metrics.decisions.labels(kind, result).inc()
