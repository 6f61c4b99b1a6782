"""A fake fleet of workers and a network that delays, loses and reorders messages.

The workers are the ground truth of the checks. They obey leases by their own clocks and
accept everything else blindly.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from briarrun_core.ledger_orders import (
    Inventory,
    InventoryTask,
    LeaseExtension,
    StartOrder,
    StartOutcome,
)
from briarrun_core.resources import NOTHING, Resources

Key = tuple[str, int]


@dataclass
class Running:
    """Hold an attempt that a worker runs."""

    resources: Resources
    lease_until: float
    usage: Resources


@dataclass
class FakeWorker:
    """Run what it is told to; ``offset`` is its clock's difference from true time."""

    worker_id: str
    capacity: Resources
    offset: float
    alive: bool = True
    reachable: bool = True
    cut_from: str = ""
    fails_starts: bool = False
    running: dict[Key, Running] = field(default_factory=dict)
    ended: dict[Key, str] = field(default_factory=dict)

    def start(self, order: StartOrder, now: float) -> StartOutcome:
        if order.lease_until <= now + self.offset:
            return StartOutcome.LAPSED
        if self.fails_starts:
            return StartOutcome.FAILED
        key = (order.task_id, order.attempt)
        self.running[key] = Running(order.resources, order.lease_until, NOTHING)
        return StartOutcome.RUNNING

    def renew(self, stamps: list[LeaseExtension]) -> list[str]:
        unknown = []
        for stamp in stamps:
            attempt = self.running.get((stamp.task_id, stamp.attempt))
            if attempt is None:
                unknown.append(stamp.task_id)
            else:
                attempt.lease_until = stamp.lease_until
        return unknown

    def end(self, key: Key, state: str) -> None:
        del self.running[key]
        self.ended[key] = state

    def act(self, task_id: str, action: str) -> str:
        """Stop or checkpoint by task id alone, as the protocol has it."""
        for key in [k for k in self.running if k[0] == task_id]:
            if action == "throttle":
                return "throttled"
            self.end(key, "stopped")
            return "checkpointed" if action == "checkpoint" else "stopped"
        states = [state for key, state in self.ended.items() if key[0] == task_id]
        return states[-1] if states else "unknown"

    def lapse(self, now: float) -> None:
        for key in list(self.running):
            if self.running[key].lease_until <= now + self.offset:
                self.end(key, "lapsed")

    def forget(self, task_ids: list[str]) -> None:
        for key in [k for k in self.ended if k[0] in task_ids]:
            del self.ended[key]

    def die(self) -> None:
        self.alive = False
        self.running.clear()
        self.ended.clear()

    def inventory(self, now: float) -> Inventory:
        listed = [
            InventoryTask(
                task_id=key[0],
                attempt=key[1],
                state="running",
                lease_until=attempt.lease_until,
                usage=attempt.usage,
            )
            for key, attempt in self.running.items()
        ]
        listed += [
            InventoryTask(task_id=key[0], attempt=key[1], state=state)
            for key, state in self.ended.items()
        ]
        return Inventory(
            taken_at=now + self.offset, capacity=self.capacity, tasks=tuple(listed)
        )


class Network:
    """Deliver messages in virtual time."""

    def __init__(self, source: random.Random) -> None:
        self.now = 100.0
        self.source = source
        self.healed = False
        self.replication_lags = False
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sent = 0

    def delay(self) -> float:
        """Draw a delay; the long ones are those of a sender frozen before sending."""
        if self.healed:
            return 0.001
        kind = self.source.random()
        if kind < 0.75:
            return self.source.uniform(0.0005, 0.003)
        if kind < 0.93:
            return self.source.uniform(0.003, 0.3)
        return self.source.uniform(0.3, 4.0)

    def replication_delay(self) -> float:
        if self.replication_lags and not self.healed:
            return self.source.uniform(0.1, 1.0)
        return self.delay()

    def lost(self) -> bool:
        return not self.healed and self.source.random() < 0.08

    def send(self, act: Callable[[], None], delay: float | None = None) -> None:
        self._sent += 1
        due = self.now + (self.delay() if delay is None else delay)
        heapq.heappush(self._queue, (due, self._sent, act))

    def run_until(self, end: float, before: Callable[[], None]) -> None:
        """Deliver everything due; ``before`` lets time pass for the workers."""
        while self._queue and self._queue[0][0] <= end:
            due, _, act = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            before()
            act()
        self.now = max(self.now, end)
        before()


@dataclass
class GroundTruth:
    """Count what really happened to each task, by task id."""

    orders: Counter[str] = field(default_factory=Counter)
    runs: Counter[str] = field(default_factory=Counter)
    done: Counter[str] = field(default_factory=Counter)
