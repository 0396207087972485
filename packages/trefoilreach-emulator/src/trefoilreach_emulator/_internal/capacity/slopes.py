"""Measured points and the line fitted through them."""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

import numpy
from trefoilreach._internal.registry import Registry


class Point(NamedTuple):
    """Cost measured at one size."""

    size: float
    value: float


class Slope(NamedTuple):
    """A fitted line: ``value = intercept + slope * size``.

    :param role: role of the daemon or store that bears the cost.
    :param cost: what is measured, for example ``processor time``.
    :param unit: unit of the cost.
    :param against: what the size counts.
    :param residual: root mean square distance of the points from the line, in ``unit``.
    """

    role: str
    cost: str
    unit: str
    against: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.intercept + self.slope * size

    def is_extrapolated(self, size: float) -> bool:
        """Return whether the size is outside of what was measured."""
        return size > max(point.size for point in self.points)


def fit_slope(role: str, cost: str, unit: str, against: str, points: Sequence[Point]) -> Slope:
    """Fit a line by least squares."""
    sizes = numpy.array([point.size for point in points])
    values = numpy.array([point.value for point in points])
    slope, intercept = numpy.polyfit(sizes, values, 1)
    distances = values - (slope * sizes + intercept)
    residual = math.sqrt(float(numpy.mean(distances**2)))
    return Slope(role, cost, unit, against, tuple(points), float(slope), float(intercept), residual)


Probe = Callable[[float], list[Slope]]
probes: Registry[Probe] = Registry("capacity probe")


def format_slopes(slopes: Sequence[Slope]) -> str:
    """Return a Markdown table of the measured points and the fitted lines."""
    lines = [
        "| role | cost | against | measured | per unit | fixed | residual |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [_format_slope(slope) for slope in slopes]
    return "\n".join(lines)


def _format_slope(slope: Slope) -> str:
    points = ", ".join(f"{point.size:g}: {point.value:.4g}" for point in slope.points)
    return (
        f"| {slope.role} | {slope.cost}, {slope.unit} | {slope.against} | {points} "
        f"| {slope.slope:.4g} | {slope.intercept:.4g} | {slope.residual:.2g} |"
    )
