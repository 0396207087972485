"""Checks a list of admission times against burst + rate * T in every window."""

from collections.abc import Sequence
from typing import NamedTuple

TOLERANCE = 1e-6


class Limit(NamedTuple):
    """Rate and burst that apply from the time ``since`` until that of the next limit."""

    since: float
    rate: float
    burst: float


def find_excess(admitted: Sequence[float], limits: Sequence[Limit]) -> str | None:
    """Return a description of a window with too many admissions, or None.

    The limit of a window is the burst at its first admission plus the integral of the rate.
    """
    lowest, lowest_at = float("inf"), 0.0
    for index, at in enumerate(sorted(admitted)):
        limit = max((entry for entry in limits if entry.since <= at), key=lambda e: e.since)
        position = index - _integrate(limits, at)
        if position + limit.burst < lowest:
            lowest, lowest_at = position + limit.burst, at
        if position + 1.0 > lowest + TOLERANCE:
            over = position + 1.0 - lowest
            return f"{over:.3f} too many from {lowest_at:.3f} to {at:.3f}"
    return None


def _integrate(limits: Sequence[Limit], until: float) -> float:
    total = 0.0
    for index, limit in enumerate(limits):
        end = limits[index + 1].since if index + 1 < len(limits) else until
        total += limit.rate * max(0.0, min(end, until) - limit.since)
    return total
