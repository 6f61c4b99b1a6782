"""How many tasks the limits of customers allow to start. No I/O."""

from __future__ import annotations

from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_core.resources import NOTHING, Resources


class CustomerLimits:
    """Limits of the customers against what they use.

    Usage includes what an earlier holder may have started unnoticed, as of ``refresh``.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._uncertain_usage_by_customer: dict[str, Resources] = {}

    def refresh(self) -> None:
        """Find out what an earlier holder may have started."""
        uncertain = self._ledger.uncertain_usage_by_customer()
        self._uncertain_usage_by_customer = uncertain

    def tasks_admitted(self, step: Step) -> int:
        """Return how many pending tasks of the step may start."""
        name = step.job.spec.customer
        customer = self._ledger.config.customers_by_name.get(name)
        count = len(step.pending)
        if customer is None:
            return count
        used = self._ledger.usage_by_customer.get(name, NOTHING)
        used = used + self._uncertain_usage_by_customer.get(name, NOTHING)
        need, limit = step.spec.need, customer.limit
        for amount, bound, taken in (
            (need.cores, limit.cores, used.cores),
            (need.memory_mib, limit.memory_mib, used.memory_mib),
            (need.accelerators, limit.accelerators, used.accelerators),
        ):
            if amount and bound:
                count = min(count, max(0, (bound - taken) // amount))
        return count

    def admit(self, step: Step) -> bool:
        """Return whether the step may start: one task, or all tasks of a gang."""
        wanted = step.spec.count if step.spec.gang else 1
        return self.tasks_admitted(step) >= wanted
