"""Command that measures the daemons against emulators on loopback."""

import subprocess
import tempfile
import time
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from trefoilreach_emulator._internal.bench import scenarios as modules  # noqa: F401 - registers
from trefoilreach_emulator._internal.bench.page import replace_section
from trefoilreach_emulator._internal.bench.plots import plot_latencies
from trefoilreach_emulator._internal.bench.report import Figure, Scale, format_tables, scenarios

_PAGE = Path("docs/measurements.md")
_PLOTS = (
    ("Batch beside online", "first token", "batch-first-token.png"),
    ("Routing policy", "first token", "routing-first-token.png"),
)


class BenchCommand(Command):
    """Runs the scenarios and writes their figures."""

    name = "bench"
    description = "Measure the daemons against emulators on loopback."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("seconds", None, "Length of each load run.", flag=False, default="10"),
        option("seed", None, "Seed of the arrival times.", flag=False, default="1"),
        option("only", None, "Run only this scenario; repeatable.", flag=False, multiple=True),
        option("write", None, "Write the figures to docs/measurements.md, with plots."),
    ]

    def handle(self) -> int:
        """Run the command."""
        names = self.option("only") or scenarios.names
        scale = Scale(float(self.option("seconds")), int(self.option("seed")))
        figures: list[Figure] = []
        with tempfile.TemporaryDirectory() as folder:
            for name in names:
                self.line(f"running {name}")
                found = scenarios.get(name)(scale, Path(folder) / name)
                self.line(format_tables(found))
                figures += found
        if self.option("write"):
            self._write(figures, scale)
        return 0

    def _write(self, figures: list[Figure], scale: Scale) -> None:
        day = time.strftime("%Y-%m-%d")
        head = (
            f"`make bench` on {day}, commit {read_commit()}, seed {scale.seed}, "
            f"{scale.seconds:g} s a run.\n\n"
        )
        drawn = []
        for scenario, label, name in _PLOTS:
            if plot_latencies(figures, scenario, label, _PAGE.parent / name):
                drawn.append(f"![{scenario}, {label}]({name})")
        text = head + format_tables(figures) + "\n" + "\n\n".join(drawn)
        replace_section(_PAGE, "bench", text)


def read_commit() -> str:
    """Return the short name of the commit that is measured."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"
