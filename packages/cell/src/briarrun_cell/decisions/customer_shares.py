"""Weighted fair queueing of customers. No I/O.

Load pattern: demand exceeds the capacity for seconds to minutes, most of it from a few
large customers. A customer that has used less than its share, as large as its weight,
comes before one that has used more.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from briarrun_cell.model import CellConfig
from briarrun_core.resources import NOTHING, Resources

WINDOW_S = 10.0
"""Time constant of the window in which use counts. It is longer than a burst, so that a
customer which was served in one makes way afterwards, and about as long as callers of
less urgent queues wait."""

LEVELS_PER_DOUBLING = 2
"""Number of levels between a customer and one that has used twice as much of its share."""

MAX_LEVEL = 6
"""Highest and, negated, lowest level: eight times the share, and an eighth of it."""

HYSTERESIS = 0.75
"""Distance in levels from the present one from which a level changes. With more than one
half, use at the border of two levels does not change the order in each round."""

ABOVE_LEVEL = 1
"""Level from which operators are told that a customer is above its share: 1.4 times."""


@dataclass(slots=True)
class CustomerShare:
    """Use of one customer relative to its share, as a mean over the window."""

    weighted_use: float = 0.0
    relative_use: float = 0.0
    level: int = 0


@dataclass(slots=True)
class CustomerShares:
    """Use of each customer in the window, from the runs of each moment.

    It starts from what runs, so that it needs no stored state. ``scarce`` tells whether
    demand exceeds the capacity of the cell, so that the shares decide.
    """

    scarce: bool = False
    _share_by_customer: dict[str, CustomerShare] = field(default_factory=dict)
    _window: float = 0.0
    _updated_at: float | None = None

    def update(
        self,
        now: float,
        config: CellConfig,
        usage_by_customer: Mapping[str, Resources],
        total: Resources,
    ) -> None:
        """Add the time since the last update, at the present use."""
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        kept = math.exp(-max(0.0, elapsed_s) / WINDOW_S)
        self._window = self._window * kept + 1 - kept
        weights = sum(each.weight for each in config.customers_by_name.values())
        for name in list(self._share_by_customer):
            if name not in config.customers_by_name:
                del self._share_by_customer[name]
        for name, customer in config.customers_by_name.items():
            known = self._share_by_customer.get(name)
            if known is None:
                known = self._share_by_customer[name] = CustomerShare()
            used = usage_by_customer.get(name, NOTHING).dominant_fraction(total)
            known.weighted_use = known.weighted_use * kept + (1 - kept) * used
            mean = known.weighted_use / self._window if self._window else used
            share = customer.weight / weights if weights else 1.0
            known.relative_use = mean / share if share else 0.0
            known.level = _next_level(known.level, known.relative_use)

    def level(self, customer: str) -> int:
        """Return by how much a customer is above its share, below 0 if it is below it.

        Customers that are not in the configuration count as far above their share.
        """
        known = self._share_by_customer.get(customer)
        return MAX_LEVEL if known is None else known.level

    def relative_use(self, customer: str) -> float:
        """Return the use of a customer in the window as a multiple of its share."""
        known = self._share_by_customer.get(customer)
        return 0.0 if known is None else known.relative_use

    def relative_use_by_customer(self) -> dict[str, float]:
        """Return the use of all customers as multiples of their shares."""
        return {
            name: known.relative_use for name, known in self._share_by_customer.items()
        }

    def above(self) -> set[str]:
        """Return the customers above their share, if the shares decide."""
        if not self.scarce:
            return set()
        return {
            name
            for name, known in self._share_by_customer.items()
            if known.level >= ABOVE_LEVEL
        }


def _next_level(level: int, relative_use: float) -> int:
    if relative_use <= 0:
        return -MAX_LEVEL
    exact = LEVELS_PER_DOUBLING * math.log2(relative_use)
    exact = min(max(exact, -MAX_LEVEL), MAX_LEVEL)
    return level if abs(exact - level) < HYSTERESIS else round(exact)
