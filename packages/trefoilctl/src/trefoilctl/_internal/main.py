"""Command line of trefoilctl."""

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from trefoilctl import __version__


def run(arguments: list[str]) -> int:
    """Run one command."""
    application = Application("trefoilctl", __version__)
    application.auto_exits(False)
    return application.run(ArgvInput(["trefoilctl", *arguments]))
