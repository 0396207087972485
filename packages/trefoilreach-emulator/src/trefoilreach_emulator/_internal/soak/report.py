"""Report of several runs: violations, and the share of requests served by kind of fault."""

from collections import Counter
from pathlib import Path

import matplotlib
import orjson

matplotlib.use("Agg")
from matplotlib import pyplot

from trefoilreach_emulator._internal.soak.run import SoakResult


def write_report(results: list[SoakResult], folder: Path) -> None:
    """Write ``soak.json`` and the plot ``soak.png`` of requests served by kind of fault."""
    folder.mkdir(parents=True, exist_ok=True)
    table = [
        {
            "plan": result.plan._asdict(),
            "faults": [fault._asdict() for fault in result.faults],
            "violations": result.violations,
            "answers": dict(Counter(str(a.status) for a in result.history.attempts)),
        }
        for result in results
    ]
    (folder / "soak.json").write_bytes(orjson.dumps(table, option=orjson.OPT_INDENT_2))
    _plot(results, folder / "soak.png")


def _plot(results: list[SoakResult], path: Path) -> None:
    """Plot, for each kind of fault, the share of requests served in the runs that had it."""
    served: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for result in results:
        complete_count = sum(a.status == 200 and a.complete for a in result.history.attempts)
        for kind in {fault.kind for fault in result.faults}:
            served[kind] += complete_count
            sent[kind] += len(result.history.attempts)
    kinds = sorted(sent, key=lambda kind: served[kind] / max(1, sent[kind]))
    figure, axes = pyplot.subplots(figsize=(7, 4))
    axes.barh(kinds, [served[kind] / max(1, sent[kind]) for kind in kinds])
    axes.set_xlabel("share of requests served in runs with this fault")
    axes.set_xlim(0, 1)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
