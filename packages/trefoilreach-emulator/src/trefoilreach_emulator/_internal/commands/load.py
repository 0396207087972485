"""Command that sends a bounded open-loop load."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from trefoilreach_emulator._internal.load.plan import LoadPlan, LoadStream, read_plan
from trefoilreach_emulator._internal.load.samples import LoadResult, save_result
from trefoilreach_emulator._internal.load.sender import LoadTargetError, run_plan

_MAX_SECONDS = 600.0
_MAX_RATE = 2000.0


class LoadCommand(Command):
    """Sends a bounded open-loop load to loopback addresses."""

    name = "load"
    description = "Send completions at Poisson arrival times and print latency percentiles."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("plan", None, "Plan file; replaces all options but --out.", flag=False),
        option("out", None, "File for the result as JSON.", flag=False),
        option("entry", None, "Entry IP:PORT; repeatable.", flag=False, multiple=True),
        option("key", None, "Caller key.", flag=False, default=""),
        option("model", None, "Model.", flag=False, default="m"),
        option("rate", None, "Requests a second.", flag=False, default="10"),
        option("seconds", None, "Length of the run.", flag=False, default="10"),
        option("tokens", None, "Tokens a request.", flag=False, default="16"),
        option("seed", None, "Seed of the arrival times.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the command."""
        try:
            plan = self._read_plan()
            result = run_plan(plan)
        except (ValueError, LoadTargetError) as error:
            self.line_error(f"load: {error}")
            return 2
        if self.option("out"):
            save_result(result, Path(self.option("out")))
        else:
            self._print(result)
        return 0

    def _read_plan(self) -> LoadPlan:
        if self.option("plan"):
            plan = read_plan(Path(self.option("plan")))
        else:
            stream = LoadStream(
                name="load",
                entries=tuple(self.option("entry")) or ("127.0.0.1:8080",),
                key=self.option("key"),
                model=self.option("model"),
                rate=float(self.option("rate")),
                tokens=int(self.option("tokens")),
            )
            plan = LoadPlan(int(self.option("seed")), float(self.option("seconds")), (stream,))
        if plan.seconds > _MAX_SECONDS or sum(s.rate for s in plan.streams) > _MAX_RATE:
            raise ValueError(f"a run is limited to {_MAX_SECONDS:g} s and {_MAX_RATE:g} a second")
        return plan

    def _print(self, result: LoadResult) -> None:
        for name, found in result.streams.items():
            first, interval = found.first_token, found.interval
            self.line(f"{name}: sent {found.sent}, complete {found.complete}, {found.statuses}")
            for label, histogram in (("first token", first), ("token interval", interval)):
                figures = [f"p{p} {histogram.percentile(p) * 1000:.1f} ms" for p in (50, 95, 99)]
                self.line(f"  {label}: {', '.join(figures)}")
