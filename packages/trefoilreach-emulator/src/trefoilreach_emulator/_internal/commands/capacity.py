"""Command that measures the slopes that docs/CAPACITY.md is worked out from."""

import time
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from trefoilreach_emulator._internal.bench.page import replace_section
from trefoilreach_emulator._internal.capacity import probes as modules  # noqa: F401 - registers
from trefoilreach_emulator._internal.capacity.projection import format_estimates, project
from trefoilreach_emulator._internal.capacity.slopes import Slope, format_slopes, probes
from trefoilreach_emulator._internal.commands.bench import read_commit

_PAGE = Path("docs/CAPACITY.md")


class CapacityCommand(Command):
    """Measures the cost of each role at several sizes and fits lines."""

    name = "capacity"
    description = "Measure the cost of each role against the size of the fleet."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("seconds", None, "Length of each measured point.", flag=False, default="6"),
        option("only", None, "Run only this probe; repeatable.", flag=False, multiple=True),
        option("write", None, "Write the figures to docs/CAPACITY.md."),
    ]

    def handle(self) -> int:
        """Run the command."""
        seconds = float(self.option("seconds"))
        slopes: list[Slope] = []
        for name in self.option("only") or probes.names:
            self.line(f"measuring {name}")
            found = probes.get(name)(seconds)
            self.line(format_slopes(found))
            slopes += found
        if self.option("write"):
            day = time.strftime("%Y-%m-%d")
            head = f"`make capacity` on {day}, commit {read_commit()}.\n\n"
            replace_section(_PAGE, "slopes", head + format_slopes(slopes))
            replace_section(_PAGE, "estimates", format_estimates(project(slopes)))
        return 0
