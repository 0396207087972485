"""Command that runs the platform emulator."""

from cleo.commands.command import Command
from cleo.helpers import option

from trefoilreach_emulator._internal.platform import PlatformEmulator
from trefoilreach_emulator._internal.server import serve_until_signal


class PlatformCommand(Command):
    """Runs the platform emulator."""

    name = "platform"
    description = "Run a platform emulator: table, object and weight stores, VM list."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("host", None, "Address to listen on.", flag=False, default="127.0.0.1"),
        option("port", None, "Port to listen on.", flag=False, default="9100"),
    ]

    def handle(self) -> int:
        """Run the command."""
        emulator = PlatformEmulator()
        serve_until_signal(self.option("host"), int(self.option("port")), emulator.handle)
        return 0
