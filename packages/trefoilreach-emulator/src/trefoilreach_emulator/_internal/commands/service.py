"""Command that runs a plain service emulator."""

from cleo.commands.command import Command
from cleo.helpers import option

from trefoilreach_emulator._internal.server import serve_until_signal
from trefoilreach_emulator._internal.service import ServiceEmulator


class ServiceCommand(Command):
    """Runs a plain service emulator."""

    name = "service"
    description = "Run a plain service emulator that counts its calls."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("host", None, "Address to listen on.", flag=False, default="127.0.0.1"),
        option("port", None, "Port to listen on.", flag=False, default="9200"),
    ]

    def handle(self) -> int:
        """Run the command."""
        emulator = ServiceEmulator()
        serve_until_signal(self.option("host"), int(self.option("port")), emulator.handle)
        return 0
