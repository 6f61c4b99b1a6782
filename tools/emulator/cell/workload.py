"""Jobs, workers and VMs of a replayed load."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from briarrun_cell.model import Queue, StepSpec
from briarrun_core.resources import Resources

POOL = "planner"


@dataclass(frozen=True, slots=True)
class JobClass:
    """Distribution of the jobs of one queue.

    Sizes are log-normal with the given mean and deviation of the logarithm, up to a
    maximum. ``estimate_error`` is the maximum relative error of the declared run time,
    ``value`` what a job of mean size is worth, ``apart`` the fraction of steps that may
    have one task on each worker.
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


@dataclass(frozen=True, slots=True)
class Burst:
    """Multiple of the usual rate of a queue for a while."""

    queue: str
    begins_s: float
    lasts_s: float
    factor: float


@dataclass(frozen=True, slots=True)
class Load:
    """Jobs, workers and VMs of a replay."""

    classes: tuple[JobClass, ...]
    workers: int
    capacity: Resources
    vms: int
    lasts_s: float
    bursts: tuple[Burst, ...] = ()
    slowness: tuple[float, ...] = (1.0, 1.0, 1.3)
    customers: int = 20


def draw_steps(
    kind: JobClass, rng: random.Random
) -> tuple[tuple[StepSpec, ...], list[float]]:
    """Return the steps of a job, and the run time in seconds of the tasks of each."""
    steps, run_s = [], []
    error = 1 + rng.uniform(-kind.estimate_error, kind.estimate_error)
    need = Resources(int(_draw(rng, kind.cores)), int(_draw(rng, kind.memory_mib)))
    for step in range(max(1, round(_draw(rng, kind.steps)))):
        run_s.append(_draw(rng, kind.run_s))
        steps.append(
            StepSpec(
                count=max(1, round(_draw(rng, kind.tasks))),
                need=need,
                estimated_ms=max(1, int(run_s[-1] * error * 1000)),
                after=(step - 1,) if step else (),
                gang=rng.random() < kind.gangs,
                max_per_worker=int(bool(kind.apart) and rng.random() < kind.apart),
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
