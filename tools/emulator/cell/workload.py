"""Jobs, workers and VMs of a replayed load."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from briarrun_cell.model import Customer, Queue, StepSpec
from briarrun_core.resources import NOTHING, Resources

POOL = "planner"

UNLIMITED_WEIGHT = 1000.0
"""Weight of customers that are never beyond their rate."""

MAX_GANG_FRACTION = 0.8
"""Fraction of its customer's limit that a gang may need; a larger gang could never start
beside another task of its customer."""


@dataclass(frozen=True, slots=True)
class JobClass:
    """Distribution of the jobs of one queue.

    Sizes are log-normal with the given mean and deviation of the logarithm, up to a
    maximum. ``estimate_error`` is the maximum relative error of the declared run time,
    ``value`` what a job of mean size is worth, ``apart`` the fraction of steps that may
    have one task on each worker, ``saves`` the fraction of jobs that save their progress.
    """

    queue: Queue
    jobs_per_s: float
    value: float
    approved: float
    steps: tuple[float, float, float]
    tasks: tuple[float, float, float]
    run_s: tuple[float, float, float]
    cores: tuple[float, float, float]
    memory_mib: tuple[float, float, float]
    estimate_error: float
    gangs: float = 0.0
    apart: float = 0.0
    saves: float = 0.0

    @property
    def mean_use(self) -> tuple[float, float]:
        """Millicores and MiB that the jobs of the queue use at the usual rate."""
        tasks = self.jobs_per_s * self.steps[0] * self.tasks[0] * self.run_s[0]
        return tasks * self.cores[0], tasks * self.memory_mib[0]


@dataclass(frozen=True, slots=True)
class Burst:
    """Multiple of the usual rate for a while: of a queue, of a customer, or of both.

    A ``queue`` or ``customer`` of "" means all of them.
    """

    queue: str
    begins_s: float
    lasts_s: float
    factor: float
    customer: str = ""

    def covers(self, queue: str, customer: str, at_s: float) -> bool:
        """Return whether jobs of the queue and the customer arrive faster at a time."""
        return (
            self.queue in ("", queue)
            and self.customer in ("", customer)
            and self.begins_s <= at_s < self.begins_s + self.lasts_s
        )


@dataclass(frozen=True, slots=True)
class CustomerMix:
    """Usual shares of the customers in the load, their weights and their limits.

    The share of the n-th customer is proportional to ``n ** -skew``. The weight of a
    customer is its usual number of jobs a second, its limit ``limit_factor`` times its
    usual use. The rate of each customer rises and falls by ``swing`` in
    ``swing_period_s``, at other times in each of the ``domains`` that they call from.
    """

    skew: float
    limit_factor: float
    swing: float = 0.0
    swing_period_s: float = 20.0
    domains: int = 4

    def rate_factor(self, number: int, at_s: float) -> float:
        """Return the rate of a customer at a time as a multiple of the usual one."""
        turns = at_s / self.swing_period_s + number % self.domains / self.domains
        return 1.0 + self.swing * math.sin(2 * math.pi * turns)


@dataclass(frozen=True, slots=True)
class Load:
    """Jobs, workers and VMs of a replay.

    Without a ``mix``, half of the jobs are of one customer, and customers have no limit
    and are never beyond their rate. ``stragglers`` is the fraction of runs that take
    ``straggler_factor`` times as long.
    """

    classes: tuple[JobClass, ...]
    workers: int
    capacity: Resources
    vms: int
    lasts_s: float
    bursts: tuple[Burst, ...] = ()
    slowness: tuple[float, ...] = (1.0, 1.0, 1.3)
    customers: int = 20
    mix: CustomerMix | None = None
    stragglers: float = 0.0
    straggler_factor: float = 7.0
    workers_per_rack: int = 12

    def customer_fractions(self) -> list[float]:
        """Return the usual shares of the customers in the load."""
        assert self.mix is not None
        parts = [(n + 1) ** -self.mix.skew for n in range(self.customers)]
        return [part / sum(parts) for part in parts]

    def customer_terms(self) -> dict[str, Customer]:
        """Return the customers by name."""
        if self.mix is None:
            return {
                f"c{n}": Customer(f"c{n}", (), UNLIMITED_WEIGHT, NOTHING)
                for n in range(self.customers)
            }
        jobs_per_s = sum(kind.jobs_per_s for kind in self.classes)
        cores = sum(kind.mean_use[0] for kind in self.classes)
        memory_mib = sum(kind.mean_use[1] for kind in self.classes)
        terms = {}
        for n, fraction in enumerate(self.customer_fractions()):
            factor = self.mix.limit_factor * fraction
            limit = Resources(int(cores * factor), int(memory_mib * factor))
            name = f"c{n}"
            terms[name] = Customer(name, (), jobs_per_s * fraction, limit)
        return terms

    def rate_factor(self, queue: str, number: int, at_s: float) -> float:
        """Return the rate of a customer in a queue as a multiple of the usual one."""
        factor = 1.0 if self.mix is None else self.mix.rate_factor(number, at_s)
        for burst in self.bursts:
            if burst.covers(queue, f"c{number}", at_s):
                factor *= burst.factor
        return factor


def draw_steps(
    kind: JobClass, rng: random.Random, limit: Resources = NOTHING
) -> tuple[tuple[StepSpec, ...], list[float]]:
    """Return the steps of a job, and the run time in seconds of the tasks of each.

    Gangs are smaller than the limit of their customer.
    """
    steps, run_s = [], []
    saves = bool(kind.saves) and rng.random() < kind.saves
    error = 1 + rng.uniform(-kind.estimate_error, kind.estimate_error)
    need = Resources(int(_draw(rng, kind.cores)), int(_draw(rng, kind.memory_mib)))
    for step in range(max(1, round(_draw(rng, kind.steps)))):
        run_s.append(_draw(rng, kind.run_s))
        count = max(1, round(_draw(rng, kind.tasks)))
        gang = rng.random() < kind.gangs
        if gang and not limit.is_zero:
            count = max(1, min(count, int(MAX_GANG_FRACTION * tasks_in(limit, need))))
        steps.append(
            StepSpec(
                count=count,
                need=need,
                estimated_ms=max(1, int(run_s[-1] * error * 1000)),
                after=(step - 1,) if step else (),
                gang=gang,
                max_per_worker=int(bool(kind.apart) and rng.random() < kind.apart),
                checkpoints=saves,
            )
        )
    return tuple(steps), run_s


def tasks_in(room: Resources, need: Resources) -> int:
    """Return how many tasks of cores and memory fit into the room."""
    return max(
        0,
        min(
            room.cores // max(1, need.cores),
            room.memory_mib // max(1, need.memory_mib),
        ),
    )


def _draw(rng: random.Random, shape: tuple[float, float, float]) -> float:
    mean, deviation, largest = shape
    drawn = rng.lognormvariate(math.log(mean) - deviation**2 / 2, deviation)
    return min(drawn, largest)
