"""Command line of the emulators and tools: one command per module under ``commands``."""

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from trefoilreach_emulator import __version__
from trefoilreach_emulator._internal.commands import command_classes


def run(arguments: list[str]) -> int:
    """Run one command."""
    application = Application("trefoilreach_emulator", __version__)
    application.auto_exits(False)
    for command in command_classes():
        application.add(command())
    return application.run(ArgvInput(["trefoilreach_emulator", *arguments]))
