"""Plots of the measured figures."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from trefoilreach_emulator._internal.bench.report import Figure

_PERCENTILES = ("p50", "p95", "p99")


def plot_latencies(figures: list[Figure], scenario: str, label: str, path: Path) -> bool:
    """Draw p50, p95 and p99 of one latency for each variant; return whether there were any."""
    wanted = {f"{label} {percentile}" for percentile in _PERCENTILES}
    found: dict[str, list[float]] = {}
    for figure in figures:
        if figure.scenario == scenario and figure.name in wanted:
            found.setdefault(figure.variant, []).append(figure.value)
    if not found:
        return False
    drawing, axes = pyplot.subplots(figsize=(7, 3.5))
    width = 0.8 / len(found)
    for index, (variant, values) in enumerate(found.items()):
        places = [place + index * width for place in range(len(values))]
        axes.bar(places, values, width, label=variant)
    middle = 0.4 - width / 2
    axes.set_xticks([place + middle for place in range(len(_PERCENTILES))], _PERCENTILES)
    axes.set_ylabel(f"{label}, ms")
    axes.set_title(scenario)
    axes.legend(fontsize="small")
    drawing.tight_layout()
    drawing.savefig(path, dpi=110)
    pyplot.close(drawing)
    return True
