"""Faults of a replay, each with a begin and an end, and random mixes of them."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tools.emulator.cell.fleet import FakeWorker
from tools.emulator.cell.workload import Load

if TYPE_CHECKING:
    from tools.emulator.cell.holder_replay import HolderReplay

DRAIN_S = 1.5
"""Time between the notice that a worker drains and its end."""

LATE_ORDER_S = 1.0
"""Delay of a late order."""

MIN_FAULTS = 2
MAX_FAULTS = 5
"""Bounds of the number of faults in a random mix."""


@dataclass(frozen=True, slots=True)
class Fault(ABC):
    """Change of the conditions of a replay; times are in seconds from its start."""

    begins_s: float
    lasts_s: float

    @abstractmethod
    def begin(self, replay: HolderReplay) -> None:
        """Change the conditions."""

    @abstractmethod
    def end(self, replay: HolderReplay) -> None:
        """Restore the conditions."""


@dataclass(frozen=True, slots=True)
class HotCustomer(Fault):
    """A customer sends a multiple of its usual jobs."""

    customer: str
    factor: float

    def begin(self, replay: HolderReplay) -> None:
        """Raise the rate."""
        replay.customers_by_name[self.customer].rate_factor = self.factor

    def end(self, replay: HolderReplay) -> None:
        """Restore the rate."""
        replay.customers_by_name[self.customer].rate_factor = 1.0


@dataclass(frozen=True, slots=True)
class LoweredLimit(Fault):
    """The limit of a customer is a fraction of the usual one."""

    customer: str
    fraction: float

    def begin(self, replay: HolderReplay) -> None:
        """Publish the lower limit."""
        replay.customers_by_name[self.customer].limit_factor = self.fraction
        replay.publish()

    def end(self, replay: HolderReplay) -> None:
        """Publish the usual limit."""
        replay.customers_by_name[self.customer].limit_factor = 1.0
        replay.publish()


@dataclass(frozen=True, slots=True)
class QueueBurst(Fault):
    """All customers send a multiple of the usual jobs of a queue."""

    queue: str
    factor: float

    def begin(self, replay: HolderReplay) -> None:
        """Raise the rate."""
        replay.rate_factor_by_queue[self.queue] = self.factor

    def end(self, replay: HolderReplay) -> None:
        """Restore the rate."""
        replay.rate_factor_by_queue.pop(self.queue, None)


@dataclass(frozen=True, slots=True)
class FailingJobs(Fault):
    """Tasks of a fraction of the new jobs of a queue fail in all attempts."""

    queue: str
    fraction: float

    def begin(self, replay: HolderReplay) -> None:
        """Let new jobs fail."""
        replay.failing_fraction_by_queue[self.queue] = self.fraction

    def end(self, replay: HolderReplay) -> None:
        """Let new jobs succeed."""
        replay.failing_fraction_by_queue.pop(self.queue, None)


@dataclass(frozen=True, slots=True)
class Cancellations(Fault):
    """A fraction of the new jobs is cancelled soon."""

    fraction: float

    def begin(self, replay: HolderReplay) -> None:
        """Cancel new jobs."""
        replay.cancelled_fraction = self.fraction

    def end(self, replay: HolderReplay) -> None:
        """Leave new jobs alone."""
        replay.cancelled_fraction = 0.0


@dataclass(frozen=True, slots=True)
class WorkerFault(Fault):
    """A fraction of the workers is not sound."""

    fraction: float

    def begin(self, replay: HolderReplay) -> None:
        """Make the workers unsound."""
        for worker in self._chosen(replay):
            self._disturb(replay, worker)

    def end(self, replay: HolderReplay) -> None:
        """Make the workers sound."""
        for worker in self._chosen(replay):
            self._restore(replay, worker)

    def _chosen(self, replay: HolderReplay) -> list[FakeWorker]:
        """Return the same workers at the begin and at the end."""
        rng = random.Random(f"{replay.seed}/{self}")
        workers = list(replay.fleet.workers_by_address.values())
        count = max(1, round(self.fraction * len(workers)))
        return [workers[each] for each in rng.sample(range(len(workers)), count)]

    @abstractmethod
    def _disturb(self, replay: HolderReplay, worker: FakeWorker) -> None:
        """Make a worker unsound."""

    @abstractmethod
    def _restore(self, replay: HolderReplay, worker: FakeWorker) -> None:
        """Make a worker sound."""


class FailingWorkers(WorkerFault):
    """All tasks fail on some workers."""

    def _disturb(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.fails_all = True

    def _restore(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.fails_all = False


class StuckWorkers(WorkerFault):
    """New tasks stand still on some workers."""

    def _disturb(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.hangs = True

    def _restore(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.hangs = False


class SilentWorkers(WorkerFault):
    """Some workers answer neither polls nor orders."""

    def _disturb(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.cut = True

    def _restore(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.cut = False


@dataclass(frozen=True, slots=True)
class SlowWorkers(WorkerFault):
    """Tasks take a multiple of their time on some workers."""

    factor: float

    def _disturb(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.slow_factor *= self.factor

    def _restore(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.slow_factor /= self.factor


@dataclass(frozen=True, slots=True)
class LateOrders(WorkerFault):
    """A fraction of the orders to some workers is carried out late, unanswered."""

    late: float

    def _disturb(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.late_orders = self.late
        worker.faults.late_s = LATE_ORDER_S

    def _restore(self, replay: HolderReplay, worker: FakeWorker) -> None:
        worker.faults.late_orders = 0.0


class CrashedWorkers(WorkerFault):
    """Some workers crash, and come back as new incarnations."""

    def _disturb(self, replay: HolderReplay, worker: FakeWorker) -> None:
        replay.crash_worker(worker)

    def _restore(self, replay: HolderReplay, worker: FakeWorker) -> None:
        replay.add_worker(_number(worker))


class LeavingWorkers(WorkerFault):
    """Some workers drain and leave, and come back as new incarnations."""

    def _disturb(self, replay: HolderReplay, worker: FakeWorker) -> None:
        replay.drain_worker(worker)
        replay.call_later(DRAIN_S, replay.remove_worker, worker)

    def _restore(self, replay: HolderReplay, worker: FakeWorker) -> None:
        replay.add_worker(_number(worker))


def _number(worker: FakeWorker) -> int:
    return int(worker.entry.worker_id[1:])


@dataclass(frozen=True, slots=True)
class SlowAdvice(Fault):
    """Calls for advice take a multiple of their time."""

    factor: float

    def begin(self, replay: HolderReplay) -> None:
        """Slow the calls down."""
        replay.advice.slow_factor = self.factor

    def end(self, replay: HolderReplay) -> None:
        """Restore the duration of calls."""
        replay.advice.slow_factor = 1.0


@dataclass(frozen=True, slots=True)
class UnreliableAdvice(Fault):
    """Fractions of the calls for advice fail, or hang until their timeout."""

    failing: float
    hanging: float

    def begin(self, replay: HolderReplay) -> None:
        """Let calls fail."""
        replay.advice.failing, replay.advice.hanging = self.failing, self.hanging

    def end(self, replay: HolderReplay) -> None:
        """Answer all calls."""
        replay.advice.failing = replay.advice.hanging = 0.0


@dataclass(frozen=True, slots=True)
class LostVms(Fault):
    """Calls for advice through a fraction of the VMs are not answered."""

    fraction: float

    def begin(self, replay: HolderReplay) -> None:
        """Lose the VMs at the end of the list, which slow calls prefer."""
        vms = replay.load.vms
        kept = vms - max(1, round(self.fraction * vms))
        replay.advice.lost_vms = {f"vm{number:03}" for number in range(kept, vms)}

    def end(self, replay: HolderReplay) -> None:
        """Return the VMs."""
        replay.advice.lost_vms = set()


class HolderChange(Fault):
    """The holder ends without notice, and a later one begins its term."""

    def begin(self, replay: HolderReplay) -> None:
        """End the term."""
        replay.stop_holder()

    def end(self, replay: HolderReplay) -> None:
        """Begin the next term."""
        if replay.session is None:
            replay.start_holder()


@dataclass(frozen=True, slots=True)
class _Draw:
    """Random generator of a fault, with the load that it is to fit."""

    rng: random.Random
    load: Load

    def span(self, shortest_s: float, longest_s: float) -> tuple[float, float]:
        """Return a begin, and a duration between bounds; it ends with the traffic."""
        lasts_s = min(self.load.lasts_s, self.rng.uniform(shortest_s, longest_s))
        return self.rng.uniform(0.0, self.load.lasts_s - lasts_s), lasts_s

    def customer(self) -> str:
        """Return one of the larger customers, mostly."""
        rank = min(self.rng.randrange(self.load.customers) for _ in range(2))
        return f"c{rank}"

    def queue(self) -> str:
        """Return the name of a queue."""
        return self.rng.choice(self.load.classes).queue.name


FAULTS: dict[str, Callable[[_Draw], Fault]] = {
    "hot-customer": lambda d: HotCustomer(
        *d.span(5, 25), d.customer(), d.rng.uniform(3, 12)
    ),
    "lowered-limit": lambda d: LoweredLimit(
        *d.span(5, 25), d.customer(), d.rng.choice((0.0, 0.02, 0.1, 0.3))
    ),
    "queue-burst": lambda d: QueueBurst(
        *d.span(3, 8), d.queue(), d.rng.uniform(1.5, 3)
    ),
    "failing-jobs": lambda d: FailingJobs(
        *d.span(3, 15), d.queue(), d.rng.uniform(0.1, 0.8)
    ),
    "cancellations": lambda d: Cancellations(*d.span(3, 15), d.rng.uniform(0.05, 0.5)),
    "failing-workers": lambda d: FailingWorkers(
        *d.span(1, 8), d.rng.uniform(0.05, 0.6)
    ),
    "stuck-workers": lambda d: StuckWorkers(*d.span(1, 8), d.rng.uniform(0.05, 0.5)),
    "silent-workers": lambda d: SilentWorkers(*d.span(1, 8), d.rng.uniform(0.05, 0.6)),
    "slow-workers": lambda d: SlowWorkers(
        *d.span(3, 20), d.rng.uniform(0.05, 0.5), d.rng.uniform(2, 6)
    ),
    "late-orders": lambda d: LateOrders(
        *d.span(1, 8), d.rng.uniform(0.05, 0.5), d.rng.uniform(0.1, 0.7)
    ),
    "crashed-workers": lambda d: CrashedWorkers(
        *d.span(0.5, 6), d.rng.uniform(0.05, 0.6)
    ),
    "leaving-workers": lambda d: LeavingWorkers(
        *d.span(2, 12), d.rng.uniform(0.05, 0.5)
    ),
    "slow-advice": lambda d: SlowAdvice(
        *d.span(1, 15), d.rng.choice((1.2, 1.5, 2.0, 5.0))
    ),
    "unreliable-advice": lambda d: UnreliableAdvice(
        *d.span(1, 15), d.rng.choice((0.03, 0.06, 0.5)), d.rng.choice((0.02, 0.04, 0.4))
    ),
    "lost-vms": lambda d: LostVms(*d.span(1, 15), d.rng.uniform(0.05, 0.6)),
    "holder-change": lambda d: HolderChange(*d.span(0.5, 3)),
}
"""Generators of random faults by name."""


def draw_faults(
    load: Load, seed: int, names: Sequence[str] = tuple(FAULTS)
) -> dict[str, Fault]:
    """Return a random mix of some of the named faults, by name."""
    rng = random.Random(f"{seed}/mix")
    most = min(MAX_FAULTS, len(names))
    chosen = rng.sample(list(names), rng.randint(min(MIN_FAULTS, most), most))
    return {name: FAULTS[name](_Draw(rng, load)) for name in chosen}
