"""Command that runs one model engine emulator."""

from cleo.commands.command import Command
from cleo.helpers import option

from trefoilreach_emulator._internal.engine import EngineEmulator, EngineOptions
from trefoilreach_emulator._internal.server import serve_until_signal


class EngineCommand(Command):
    """Runs one model engine emulator."""

    name = "engine"
    description = "Run a model engine emulator."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("host", None, "Address to listen on.", flag=False, default="127.0.0.1"),
        option("port", None, "Port to listen on.", flag=False, default="9000"),
        option("models", None, "Loaded models: NAME[=VERSION],...", flag=False, default="m"),
        option("model-limit", None, "Models held at once; 0: any.", flag=False, default="0"),
        option("load-time", None, "Seconds that a load takes.", flag=False, default="0"),
        option("slots", None, "Requests that run at once.", flag=False, default="8"),
        option("token-interval", None, "Seconds per token.", flag=False, default="0.02"),
        option("first-token", None, "Seconds to the first token.", flag=False, default="0.05"),
        option("load-lag", None, "Age of load reports in seconds.", flag=False, default="0.5"),
        option("silence", None, "Seconds of silence on demand.", flag=False, default="600"),
        option("crossed", None, "Give two requests at once each other's answers."),
        option("check-fencing", None, "Refuse orders with an old fencing number."),
    ]

    def handle(self) -> int:
        """Run the command."""
        options = EngineOptions(
            models=tuple(self.option("models").split(",")),
            slots=int(self.option("slots")),
            token_interval=float(self.option("token-interval")),
            first_token=float(self.option("first-token")),
            load_lag=float(self.option("load-lag")),
            silence=float(self.option("silence")),
            crossed=bool(self.option("crossed")),
            check_fencing=bool(self.option("check-fencing")),
            model_limit=int(self.option("model-limit")),
            load_seconds=float(self.option("load-time")),
        )
        emulator = EngineEmulator(options)
        serve_until_signal(self.option("host"), int(self.option("port")), emulator.handle)
        return 0
