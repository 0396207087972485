"""Figures of the measurements and the tables made from them."""

from collections.abc import Callable
from typing import NamedTuple

from trefoilreach._internal.registry import Registry


class Figure(NamedTuple):
    """One measured figure.

    :param value: number in ``unit``.
    :param target: what it must reach, as text, or empty.
    :param met: whether the target was met; None without a target.
    """

    scenario: str
    variant: str
    name: str
    value: float
    unit: str
    target: str = ""
    met: bool | None = None


class Scale(NamedTuple):
    """Length of the measurements.

    :param seconds: length of each load run.
    """

    seconds: float
    seed: int


Scenario = Callable[..., list[Figure]]
scenarios: Registry[Scenario] = Registry("scenario")


def at_most(figure: Figure, limit: float) -> Figure:
    """Return the figure with an upper target."""
    return figure._replace(
        target=f"at most {limit:g} {figure.unit}".strip(), met=figure.value <= limit
    )


def at_least(figure: Figure, limit: float) -> Figure:
    """Return the figure with a lower target."""
    return figure._replace(
        target=f"at least {limit:g} {figure.unit}".strip(), met=figure.value >= limit
    )


def format_tables(figures: list[Figure]) -> str:
    """Return a Markdown table for each scenario."""
    parts = []
    for scenario in dict.fromkeys(figure.scenario for figure in figures):
        parts.append(f"### {scenario}\n")
        parts.append("| variant | figure | value | target | met |")
        parts.append("|---|---|---|---|---|")
        parts += [_format_row(figure) for figure in figures if figure.scenario == scenario]
        parts.append("")
    return "\n".join(parts)


def _format_row(figure: Figure) -> str:
    met = {None: "", True: "yes", False: "no"}[figure.met]
    value = f"{figure.value:.4g} {figure.unit}".strip()
    return f"| {figure.variant} | {figure.name} | {value} | {figure.target} | {met} |"
