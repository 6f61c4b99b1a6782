"""Linear fits of measured figures against a size."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy


@dataclass(frozen=True, slots=True)
class Fit:
    """Hold a straight line through measured values.

    ``residual`` is the root mean square of the relative deviations.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    offset: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value that the line gives for a size."""
        return self.offset + self.slope * size


def fit_line(
    name: str, unit: str, per: str, sizes: Sequence[int], values: Sequence[float]
) -> Fit:
    """Return the least squares line through at least three points."""
    if len(sizes) < 3:
        raise ValueError(f"{name}: a fit needs at least three sizes")
    x, y = numpy.array(sizes, dtype=float), numpy.array(values, dtype=float)
    slope, offset = numpy.polyfit(x, y, 1)
    relative = (y - (slope * x + offset)) / numpy.maximum(numpy.abs(y), 1e-12)
    residual = float(numpy.sqrt(numpy.mean(relative**2)))
    return Fit(
        name,
        unit,
        per,
        tuple(sizes),
        tuple(float(v) for v in values),
        float(offset),
        float(slope),
        residual,
    )


def measure_line(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Fit:
    """Measure at each size and fit a line."""
    return fit_line(name, unit, per, sizes, [measure(size) for size in sizes])
