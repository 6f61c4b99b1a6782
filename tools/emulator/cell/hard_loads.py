"""The two heavy loads of docs/design/hard-load.md, and smaller ones like them.

The first load exceeds the capacity in each burst. The second one leaves capacity free,
but its rate rises and falls, and some of its runs take much longer than others.
"""

from __future__ import annotations

from dataclasses import replace

from briarrun_cell.model import AdviceTerms, Queue
from briarrun_core.resources import Resources
from tools.emulator.cell.workload import POOL, Burst, CustomerMix, JobClass, Load

GIB = 1024

TICKET_VALIDITY_S = 2.0

CUSTOMER_SKEW = 0.8
"""Exponent by which the shares of the customers fall: of 20, the largest has 20 % of the
load, the smallest 2 %."""

LIMIT_FACTOR = 1.9
"""Limit of a customer as a multiple of its usual use."""

SMALL_SCALE = 4
"""Divisor of workers and VMs in the smaller loads."""

SMALL_WIDTH = 2
"""Divisor of the number of tasks in the smaller loads. Wide gangs would not fit on the
approved workers otherwise."""


def scarce_load(bursts: tuple[Burst, ...] | None = None, lasts_s: float = 48.0) -> Load:
    """Return the load that uses four fifths of all cores, with bursts beyond them."""
    if bursts is None:
        bursts = (
            Burst("rebuild", 4.0, 6.0, 2.0),
            Burst("refresh", 7.0, 5.0, 2.0),
            Burst("preview", 15.0, 6.0, 2.0),
            Burst("", 22.0, 6.0, 6.0, customer="c2"),
            Burst("rebuild", 32.0, 5.0, 2.0),
        )
    classes = (
        JobClass(
            queue=_queue("rebuild", 1, 2.2, 1.2, (0.340, 0.0049)),
            jobs_per_s=2.71,
            value=6.99,
            approved=0.3,
            steps=(1.2, 0.4, 3.0),
            tasks=(20.0, 0.8, 120.0),
            run_s=(4.0, 0.5, 10.0),
            cores=(9_000.0, 0.4, 15_000.0),
            memory_mib=(17.0 * GIB, 0.5, 33.0 * GIB),
            estimate_error=0.9,
            gangs=1.0,
            saves=0.5,
        ),
        JobClass(
            queue=_queue("refresh", 2, 4.0, 3.0, (0.120, 0.0018)),
            jobs_per_s=3.59,
            value=3.3,
            approved=0.45,
            steps=(1.5, 0.4, 3.8),
            tasks=(25.0, 0.8, 150.0),
            run_s=(3.4, 0.5, 8.4),
            cores=(3_500.0, 0.45, 10_000.0),
            memory_mib=(5.0 * GIB, 0.6, 15.0 * GIB),
            estimate_error=0.5,
            saves=0.8,
        ),
        JobClass(
            queue=_queue("preview", 0, 1.5, 0.4, (0.011, 0.00016)),
            jobs_per_s=40.2,
            value=0.413,
            approved=0.7,
            steps=(1.0, 0.0, 1.0),
            tasks=(3.2, 0.8, 19.0),
            run_s=(1.0, 0.5, 2.5),
            cores=(5_000.0, 0.45, 15_000.0),
            memory_mib=(9.1 * GIB, 0.6, 27.0 * GIB),
            estimate_error=0.2,
            gangs=0.3,
        ),
    )
    return Load(
        classes,
        workers=176,
        capacity=Resources(32_000, 64 * GIB),
        vms=34,
        lasts_s=lasts_s,
        bursts=bursts,
        mix=CustomerMix(CUSTOMER_SKEW, LIMIT_FACTOR),
    )


def uneven_load(bursts: tuple[Burst, ...] = (), lasts_s: float = 48.0) -> Load:
    """Return the load that uses three fifths of all cores, unevenly."""
    classes = (
        JobClass(
            queue=_queue("pricing", 1, 2.2, 1.2, (0.540, 0.0077)),
            jobs_per_s=1.52,
            value=13.4,
            approved=0.3,
            steps=(1.2, 0.4, 3.0),
            tasks=(20.0, 0.8, 120.0),
            run_s=(5.3, 0.5, 56.0),
            cores=(18_000.0, 0.4, 30_000.0),
            memory_mib=(49.0 * GIB, 0.5, 99.0 * GIB),
            estimate_error=0.5,
            gangs=1.0,
            saves=0.5,
        ),
        JobClass(
            queue=_queue("refit", 2, 4.0, 3.0, (0.080, 0.0011)),
            jobs_per_s=4.92,
            value=2.59,
            approved=0.45,
            steps=(1.5, 0.4, 3.8),
            tasks=(25.0, 0.8, 150.0),
            run_s=(1.9, 0.5, 20.0),
            cores=(6_900.0, 0.45, 21_000.0),
            memory_mib=(14.0 * GIB, 0.6, 43.0 * GIB),
            estimate_error=0.5,
            saves=0.8,
        ),
        JobClass(
            queue=_queue("check", 0, 1.5, 0.4, (0.009, 0.00013)),
            jobs_per_s=43.9,
            value=0.405,
            approved=0.7,
            steps=(1.0, 0.0, 1.0),
            tasks=(3.2, 0.8, 19.0),
            run_s=(0.68, 0.5, 7.2),
            cores=(9_900.0, 0.45, 30_000.0),
            memory_mib=(28.0 * GIB, 0.6, 85.0 * GIB),
            estimate_error=0.5,
            gangs=0.3,
        ),
    )
    return Load(
        classes,
        workers=176,
        capacity=Resources(64_000, 256 * GIB),
        vms=32,
        lasts_s=lasts_s,
        bursts=bursts,
        mix=CustomerMix(CUSTOMER_SKEW, LIMIT_FACTOR, swing=0.55),
        stragglers=0.03,
        workers_per_rack=8,
    )


def smaller(load: Load, lasts_s: float = 24.0) -> Load:
    """Return a load of a quarter of the cell, with the same demand for its capacity.

    Bursts come at half the time.
    """
    narrow = SMALL_WIDTH
    classes = []
    for kind in load.classes:
        mean, deviation, most = kind.tasks
        width = narrow if mean > narrow * narrow else 1
        classes.append(
            replace(
                kind,
                tasks=(mean / width, deviation, most / width),
                jobs_per_s=kind.jobs_per_s * width / SMALL_SCALE,
            )
        )
    return replace(
        load,
        classes=tuple(classes),
        workers=load.workers // SMALL_SCALE,
        vms=load.vms * narrow // SMALL_SCALE,
        customers=10,
        lasts_s=lasts_s,
        bursts=tuple(replace(b, begins_s=b.begins_s / 2) for b in load.bursts),
    )


def _queue(
    name: str, priority: int, stretch: float, target_s: float, call: tuple[float, float]
) -> Queue:
    return Queue(
        name=name,
        host="cell",
        path_prefix=f"/{name}/",
        pool=POOL,
        priority=priority,
        max_attempts=3,
        stretch=stretch,
        latency_target_s=target_s,
        advice=AdviceTerms(
            decision_s=call[0], per_worker_s=call[1], validity_s=TICKET_VALIDITY_S
        ),
    )
