"""What the decisions of one planning round have in common. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from briarrun_cell.decisions.fitting import largest_free
from briarrun_cell.decisions.headroom import UrgentHeadroom
from briarrun_cell.decisions.ticket_renewal import RenewalLimits
from briarrun_cell.jobs import Step
from briarrun_cell.workers import Worker
from briarrun_core.resources import NOTHING, Resources

TICKET_MARGIN_S = 0.25
"""Remaining validity below which a ticket is renewed before use."""

SCARCE_FRACTION = 0.5
"""Fraction of a pool in use from which capacity is scarce. Below it callers may expect
that a job which could run does."""


@dataclass(slots=True)
class PlanningRound:
    """Workers of one round, and what its earlier decisions leave for the later ones.

    ``usable`` and ``quarantined`` are the workers that take orders, without the
    ``evacuated`` ones. ``largest`` is an upper bound of the free amount of each resource
    on any of them.
    """

    now: float
    usable: list[Worker]
    quarantined: list[Worker]
    urgent_priority: int
    headroom: UrgentHeadroom
    renewal_limits: RenewalLimits
    evacuated: list[Worker] = field(default_factory=list)
    largest: Resources = field(init=False)
    largest_is_exact: bool = True
    reserved: set[str] = field(default_factory=set)
    reserving: int = 0
    blocked: int = 0
    limited: int = 0
    gangs_kept_fresh: int = 0
    steps_kept_fresh: int = 0
    _pools: dict[tuple[str, str], list[Worker]] = field(default_factory=dict)
    _used_by_pool: dict[str, tuple[Resources, Resources]] = field(default_factory=dict)
    _kept_by_worker: dict[Worker, Resources] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Measure the free resources."""
        self.largest = largest_free([*self.usable, *self.quarantined])

    def correct_largest(self) -> None:
        """Measure the free resources again, if placements have reduced them."""
        if not self.largest_is_exact:
            self.largest = largest_free([*self.usable, *self.quarantined])
            self.largest_is_exact = True

    def is_less_urgent(self, step: Step) -> bool:
        """Return whether the step is of another queue than the most urgent ones."""
        return step.job.queue.priority > self.urgent_priority

    def pool_of(self, step: Step) -> list[Worker]:
        """Return the usable workers in the pool of the step with the required label."""
        key = (step.job.queue.pool, step.spec.required_label)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = in_pool(step, self.usable)
        return pool

    def quarantined_of(self, step: Step) -> list[Worker]:
        """Return the workers in quarantine that the step could use otherwise."""
        return in_pool(step, self.quarantined)

    def is_scarce(self, step: Step) -> bool:
        """Return whether much of a resource that the step needs is in use."""
        pool, need = step.job.queue.pool, step.spec.need
        amounts = self._used_by_pool.get(pool)
        if amounts is None:
            used = total = NOTHING
            for worker in (*self.usable, *self.quarantined):
                if worker.entry.pool == pool:
                    used = used + worker.used
                    total = total + worker.entry.capacity
            amounts = self._used_by_pool[pool] = (used, total)
        used, total = amounts
        return any(
            amount and taken >= SCARCE_FRACTION * available
            for amount, taken, available in (
                (need.cores, used.cores, total.cores),
                (need.memory_mib, used.memory_mib, total.memory_mib),
                (need.accelerators, used.accelerators, total.accelerators),
            )
        )

    def available(self, worker: Worker, *, headroom: bool) -> Resources:
        """Return the free resources, without the headroom if that is to be left."""
        if not headroom:
            return worker.free()
        kept = self._kept_by_worker.get(worker)
        if kept is None:
            kept = self._kept_by_worker[worker] = self.headroom.kept_on(worker)
        return worker.free() - kept

    def ticket_is_fresh(self, step: Step, worker: Worker) -> bool:
        """Return whether the step has a ticket for the worker that can be used."""
        ticket = step.advice.tickets_by_worker.get(worker.incarnation_id)
        return ticket is not None and self.now + TICKET_MARGIN_S <= ticket.expires_at


def in_pool(step: Step, workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers in the pool of the step with the required label."""
    pool, label = step.job.queue.pool, step.spec.required_label
    return [
        worker
        for worker in workers
        if worker.entry.pool == pool and (not label or label in worker.entry.labels)
    ]


def approved_for(step: Step, workers: list[Worker]) -> list[Worker]:
    """Return the workers approved for the step, all of them if it needs no advice."""
    if step.job.queue.advice is None:
        return workers
    tickets = step.advice.tickets_by_worker
    return [worker for worker in workers if worker.incarnation_id in tickets]
