"""Customers of a replay: their part of the load, their limits and their rates."""

from __future__ import annotations

from dataclasses import dataclass, replace

from briarrun_cell.model import Customer
from briarrun_core.resources import Resources
from tools.emulator.cell.workload import Load

LIMIT_FACTOR = 1.9
"""Limit of a customer as a multiple of its usual use."""

MIN_LIMIT_FRACTION = 0.05
"""Minimum limit of a customer as a fraction of the capacity of the cell."""

RATE_FACTOR = 1.05
"""Rate of a customer above which it ranks last, as a multiple of its usual rate."""


@dataclass(slots=True)
class CustomerState:
    """Part of the usual load, and what faults have changed."""

    share: float
    terms: Customer
    rate_factor: float = 1.0
    limit_factor: float = 1.0

    def customer(self) -> Customer:
        """Return the customer with its present limit."""
        limit, factor = self.terms.limit, self.limit_factor
        if factor == 1.0:
            return self.terms
        lowered = Resources(
            max(1, int(limit.cores * factor)), max(1, int(limit.memory_mib * factor))
        )
        return replace(self.terms, limit=lowered)


def usual_customers(load: Load) -> dict[str, CustomerState]:
    """Return customers of unequal size, with limits and rates above their usual use."""
    sizes = [1 / (number + 1.5) for number in range(load.customers)]
    jobs_per_s = sum(kind.jobs_per_s for kind in load.classes)
    cores, memory_mib = 0.0, 0.0
    for kind in load.classes:
        task_s = kind.jobs_per_s * kind.steps[0] * kind.tasks[0] * kind.run_s[0]
        cores += task_s * kind.cores[0]
        memory_mib += task_s * kind.memory_mib[0]
    least = load.workers * MIN_LIMIT_FRACTION
    states = {}
    for number, size in enumerate(sizes):
        share = size / sum(sizes)
        limit = Resources(
            int(max(LIMIT_FACTOR * share * cores, least * load.capacity.cores)),
            int(
                max(LIMIT_FACTOR * share * memory_mib, least * load.capacity.memory_mib)
            ),
        )
        name = f"c{number}"
        weight = RATE_FACTOR * share * jobs_per_s
        states[name] = CustomerState(share, Customer(name, (), weight, limit))
    return states
