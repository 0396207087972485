"""Command that runs the demo."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from trefoilreach_emulator._internal.demo.run import run_demo


class DemoCommand(Command):
    """Runs a small fleet on loopback and a sample of everything."""

    name = "demo"
    description = "Run a small fleet on loopback and a sample of everything."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("once", None, "End after the sample; exit code 1 if a step was wrong."),
        option("folder", None, "Folder for settings, logs and endpoints.json.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        folder = Path(self.option("folder") or ".demo").absolute()
        return run_demo(folder, bool(self.option("once")))
