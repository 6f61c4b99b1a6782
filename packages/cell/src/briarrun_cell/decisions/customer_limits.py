"""How many tasks the limits of customers allow to start. No I/O.

Load pattern: a customer at its limit has a backlog of patient tasks, and an urgent step
that needs tickets. Each time a task ends, a patient task could start at once and the
urgent step only after an advice call, so that it would be overtaken for ever. Freed
amounts are therefore held for the more urgent steps of the customer for a while.
"""

from __future__ import annotations

from dataclasses import dataclass

from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.jobs import Step
from briarrun_cell.ledger import Ledger
from briarrun_core.resources import NOTHING, Resources

MAX_HOLD_S = 6.0
"""Time from the beginning of a wait for which amounts are held for the step. Without a
limit, a step that never starts would keep its customer from using what it may."""

HOLDING_REASONS = frozenset(
    {WaitReason.CUSTOMER_LIMIT, WaitReason.ADVICE, WaitReason.TICKETS}
)
"""Waits that end by themselves once the customer has room, so that holding it helps."""


@dataclass(frozen=True, slots=True)
class _Hold:
    priority: int
    amount: Resources


class CustomerLimits:
    """Limits of the customers against what they use.

    Usage includes what an earlier holder may have started unnoticed, as of ``refresh``,
    and what has been held since then for more urgent steps of the customer.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._uncertain_usage_by_customer: dict[str, Resources] = {}
        self._holds_by_customer: dict[str, list[_Hold]] = {}

    def refresh(self) -> None:
        """Find out what an earlier holder may have started; drop what is held."""
        self._holds_by_customer = {}
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
        for hold in self._holds_by_customer.get(name, ()):
            if hold.priority < step.job.queue.priority:
                used = used + hold.amount
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

    def hold_for(self, step: Step, now: float) -> None:
        """Keep less urgent steps of the customer from what the step is to use."""
        wait = step.wait
        if wait is None or wait.reason not in HOLDING_REASONS:
            return
        if now > wait.since + MAX_HOLD_S:
            return
        amount = step.spec.need.scaled(step.spec.count if step.spec.gang else 1)
        hold = _Hold(step.job.queue.priority, amount)
        self._holds_by_customer.setdefault(step.job.spec.customer, []).append(hold)
