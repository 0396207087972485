"""Console application of trefoilctl."""

import sys

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.io import IO

from trefoilctl import __version__
from trefoilctl._internal.command import commands
from trefoilctl._internal.commands import load_commands
from trefoilctl._internal.completions import CtlCompletionsCommand


class CtlApplication(Application):
    """Console application that prints its own errors on one line."""

    def render_error(self, error: Exception, io: IO) -> None:
        """Print an error on one line."""
        print(f"trefoilctl: {' '.join(str(error).split())}", file=sys.stderr)


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    load_commands()
    if arguments in (["--help"], ["-h"]):
        arguments = ["list"]
    application = CtlApplication("trefoilctl", __version__)
    application.auto_exits(False)
    for command in commands:
        application.add(command())
    # Replaces the console library's command of that name.
    application.add(CtlCompletionsCommand())
    return application.run(ArgvInput(["trefoilctl", *arguments]))
