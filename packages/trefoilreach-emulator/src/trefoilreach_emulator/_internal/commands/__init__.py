"""Commands, one module each."""

from cleo.commands.command import Command

from trefoilreach_emulator._internal.commands.bench import BenchCommand
from trefoilreach_emulator._internal.commands.capacity import CapacityCommand
from trefoilreach_emulator._internal.commands.demo import DemoCommand
from trefoilreach_emulator._internal.commands.engine import EngineCommand
from trefoilreach_emulator._internal.commands.load import LoadCommand
from trefoilreach_emulator._internal.commands.platform import PlatformCommand
from trefoilreach_emulator._internal.commands.service import ServiceCommand
from trefoilreach_emulator._internal.commands.soak import SoakCommand


def command_classes() -> list[type[Command]]:
    """Return every command."""
    return [
        BenchCommand,
        CapacityCommand,
        DemoCommand,
        EngineCommand,
        LoadCommand,
        PlatformCommand,
        ServiceCommand,
        SoakCommand,
    ]
