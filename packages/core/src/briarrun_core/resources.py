"""Resource vectors."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of each schedulable resource.

    ``cores`` is in thousandths of a core, ``memory_mib`` in mebibytes, ``accelerators``
    in whole devices and ``slots`` in concurrent requests.
    """

    cores: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Return the sum of both vectors."""
        return Resources(
            self.cores + other.cores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference, in which amounts may be negative."""
        return Resources(
            self.cores - other.cores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits_in(self, other: Resources) -> bool:
        """Return whether no amount exceeds the amount in ``other``."""
        return (
            self.cores <= other.cores
            and self.memory_mib <= other.memory_mib
            and self.accelerators <= other.accelerators
            and self.slots <= other.slots
        )

    def minimum(self, other: Resources) -> Resources:
        """Return the smaller amount of each resource."""
        return Resources(
            min(self.cores, other.cores),
            min(self.memory_mib, other.memory_mib),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
        )

    def scaled(self, factor: int) -> Resources:
        """Return the vector multiplied by an integer."""
        return Resources(
            self.cores * factor,
            self.memory_mib * factor,
            self.accelerators * factor,
            self.slots * factor,
        )

    def dominant_fraction(self, total: Resources) -> float:
        """Return the largest of the fractions of each resource in ``total``.

        A resource of which ``total`` has none counts as 0.
        """
        return max(
            self.cores / total.cores if total.cores else 0.0,
            self.memory_mib / total.memory_mib if total.memory_mib else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
            self.slots / total.slots if total.slots else 0.0,
        )

    @property
    def is_zero(self) -> bool:
        """Whether no amount is above zero."""
        return self.fits_in(NOTHING)


NOTHING = Resources()
