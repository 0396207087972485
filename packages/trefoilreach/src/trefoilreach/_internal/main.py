"""Command line of the daemon.

Each command imports only its own daemon. The modules of the other one would lengthen the start,
which matters when all daemons of a fleet restart at once.
"""

import signal
import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.io import IO

from trefoilreach import __version__
from trefoilreach._internal.settings import Settings, SettingsError, load_settings

_BAD_SETTINGS_EXIT_CODE = 2
# Many short-running threads relay tokens. With the interpreter's default of 5 ms one thread can
# delay the others: at 50 requests per second the added latency at p99 was 15.0 ms, and 8.1 ms
# with this value.
_SWITCH_INTERVAL_SECONDS = 0.0005


class RunCommand(Command):
    """Runs the daemon until it is told to stop."""

    name = "run"
    description = "Run the daemon."
    options = [  # noqa: RUF012 - the library reads a class attribute
        option("config", "c", "Settings file in INI form.", flag=False),
        option("check-config", None, "Check this settings file and exit.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        check = self.option("check-config")
        try:
            settings = _load_or_default(check or self.option("config"))
        except SettingsError as error:
            print(f"trefoilreachd: {error}", file=sys.stderr)
            return _BAD_SETTINGS_EXIT_CODE
        if check:
            self.line(f"{check}: ok")
            return 0
        serve(settings)
        return 0


class ServeCommand(Command):
    """Runs the daemon with the platform's own settings file."""

    name = "serve"
    description = "Run the daemon on the users' platform, with the settings that it provides."

    def handle(self) -> int:
        """Run the command."""
        from trefoilreach._internal.platform_daemon import serve_deployment

        sys.setswitchinterval(_SWITCH_INTERVAL_SECONDS)
        return serve_deployment()


def _load_or_default(path: str | None) -> Settings:
    return load_settings(path) if path else Settings()


def serve(settings: Settings) -> None:
    """Run a daemon; SIGTERM and SIGINT begin a planned stop."""
    from trefoilreach._internal.daemon import Daemon
    from trefoilreach._internal.signals import handle_signals

    sys.setswitchinterval(_SWITCH_INTERVAL_SECONDS)
    daemon = Daemon(settings)
    handle_signals({signal.SIGTERM: daemon.stop, signal.SIGINT: daemon.stop})
    daemon.run()


class DaemonApplication(Application):
    """Application that prints each of its own errors on one line."""

    def render_error(self, error: Exception, io: IO) -> None:
        """Print an error on one line."""
        print(f"trefoilreachd: {' '.join(str(error).split())}", file=sys.stderr)


def run(arguments: list[str]) -> int:
    """Run the command line; options without a command mean ``run``."""
    application = DaemonApplication("trefoilreachd", __version__)
    application.auto_exits(False)
    application.add(RunCommand())
    application.add(ServeCommand())
    has_command = bool(arguments) and arguments[0] in {
        "run",
        "serve",
        "help",
        "list",
        "completions",
    }
    if not has_command and not {"-V", "--version"}.intersection(arguments):
        arguments = ["run", *arguments]
    return application.run(ArgvInput(["trefoilreachd", *arguments]))
