"""Command that plays seeded runs with faults against real daemons."""

import tempfile
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from trefoilreach_emulator._internal.soak.report import write_report
from trefoilreach_emulator._internal.soak.run import SoakPlan, SoakResult, run_soak

_MOST_DAEMONS = 100
_MOST_SECONDS = 600.0


class SoakCommand(Command):
    """Plays seeded runs with faults against real daemons."""

    name = "soak"
    description = "Start real daemons, harm them from outside by a seed, and check their promises."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("first-seed", None, "First seed.", flag=False, default="1"),
        option("seeds", None, "Number of seeds.", flag=False, default="1"),
        option("seconds", None, "Length of the traffic.", flag=False, default="12"),
        option("daemons", None, "Daemons.", flag=False, default="4"),
        option("workers", None, "Workers.", flag=False, default="3"),
        option("clients", None, "Online clients.", flag=False, default="8"),
        option("faults", None, "Faults in a run.", flag=False, default="6"),
        option("logs", None, "Folder for settings and logs of the daemons.", flag=False),
        option("report", None, "Folder for a report with a plot.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command; the exit code is 1 after a broken promise."""
        first = int(self.option("first-seed"))
        logs = Path(self.option("logs") or tempfile.mkdtemp(prefix="soak-"))
        results = []
        for seed in range(first, first + int(self.option("seeds"))):
            plan = self._plan(seed)
            if plan.daemons > _MOST_DAEMONS or plan.seconds > _MOST_SECONDS:
                self.line_error(f"soak: at most {_MOST_DAEMONS} daemons and {_MOST_SECONDS:g} s")
                return 2
            folder = logs / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            result = run_soak(plan, folder)
            self._print(result, folder)
            results.append(result)
        if self.option("report"):
            write_report(results, Path(self.option("report")))
        return int(any(result.violations for result in results))

    def _plan(self, seed: int) -> SoakPlan:
        return SoakPlan(
            seed,
            float(self.option("seconds")),
            int(self.option("daemons")),
            int(self.option("workers")),
            int(self.option("clients")),
            faults=int(self.option("faults")),
        )

    def _print(self, result: SoakResult, folder: Path) -> None:
        history = result.history
        served = sum(a.status == 200 and a.complete for a in history.attempts)
        kinds = ", ".join(f"{fault.kind}@{fault.at:g}" for fault in result.faults)
        self.line(
            f"seed {result.plan.seed}: {served} of {len(history.attempts)} requests served, "
            f"{len(history.submissions)} submissions, faults: {kinds}"
        )
        for violation in result.violations:
            self.line(f"  broken: {violation} (logs: {folder})")
