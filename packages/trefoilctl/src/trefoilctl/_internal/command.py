"""Base of all commands: addresses of the daemons, the key, output as tables or JSON."""

import os
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import orjson
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.ui.table import Table

from trefoilctl._internal.client import Client
from trefoilctl._internal.errors import CtlError

URL_VARIABLE = "TREFOILREACH_URL"
KEY_VARIABLE = "TREFOILREACH_KEY"
DEFAULT_URL = "http://127.0.0.1:8080"
FAILURE_EXIT_CODE = 1

CommandClass = type[Command]
commands: list[CommandClass] = []


def register(command: CommandClass) -> CommandClass:
    """Add a command class to the command line; used as a decorator."""
    commands.append(command)
    return command


def api_options(*own_options: Option) -> list[Option]:
    """Return a command's own options and those of every command that calls the daemons."""
    return [
        *own_options,
        option("url", "u", "Base URL of a daemon; may be repeated.", flag=False, multiple=True),
        option("key", "k", f"Key; {KEY_VARIABLE} by default.", flag=False),
        option("json", None, "Print JSON."),
    ]


def change_options(*own_options: Option) -> list[Option]:
    """Return the options of a command that changes the configuration."""
    version = option("if-version", None, "Version that the change is made against.", flag=False)
    return api_options(*own_options, version)


class ApiCommand(Command, ABC):
    """A command that calls the daemons."""

    def handle(self) -> int:
        """Run the command; a failure prints one line and returns a non-zero exit code."""
        try:
            self.run_command(self._open_client())
        except CtlError as error:
            print(f"trefoilctl: {' '.join(str(error).split())}", file=sys.stderr)
            return FAILURE_EXIT_CODE
        return 0

    @abstractmethod
    def run_command(self, client: Client) -> None:
        """Send the requests of the command and print their result."""

    def _open_client(self) -> Client:
        urls = self.option("url") or split_urls(os.environ.get(URL_VARIABLE, DEFAULT_URL))
        return Client(urls, self.option("key") or os.environ.get(KEY_VARIABLE))

    def print_json(self, value: Any) -> None:
        """Print a value as indented JSON."""
        text = orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()
        self.line(escape_markup(text))

    def print_rows(
        self, value: Any, rows: Sequence[dict[str, Any]], columns: Iterable[str]
    ) -> None:
        """Print ``rows`` as a table, or the whole ``value`` with ``--json``."""
        if self.option("json"):
            self.print_json(value)
            return
        names = list(columns)
        if not rows:
            self.line("none")
            return
        table = Table(self.io, style="compact")
        table.set_headers([name.replace("_", " ") for name in names])
        for row in rows:
            table.add_row([escape_markup(format_cell(row.get(name))) for name in names])
        table.render()

    def print_result(self, value: Any, text: str) -> None:
        """Print ``text``, or the whole ``value`` with ``--json``."""
        if self.option("json"):
            self.print_json(value)
        else:
            self.line(escape_markup(text))


def split_urls(text: str) -> list[str]:
    """Return the URLs of a comma-separated list."""
    return [part.strip() for part in text.split(",") if part.strip()]


def escape_markup(text: str) -> str:
    """Escape text so that the console library does not read it as markup."""
    return text.replace("<", "\\<")


def format_cell(value: Any) -> str:
    """Return the text of one table cell."""
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case list():
            return ", ".join(str(entry) for entry in value) or "-"
    return str(value)


def parse_number(name: str, text: str) -> float:
    """Parse the value of an option as a number.

    :raises CtlError: when it is anything else.
    """
    try:
        return float(text)
    except ValueError:
        raise CtlError(f"--{name} {text!r} is not allowed; allowed: a number") from None


def parse_whole_number(name: str, text: str) -> int:
    """Parse the value of an option as a non-negative whole number.

    :raises CtlError: when it is anything else.
    """
    if not text.isdecimal():
        raise CtlError(f"--{name} {text!r} is not allowed; allowed: a whole number")
    return int(text)


def parse_yes_no(name: str, text: str) -> bool:
    """Parse the value of an option as ``yes`` or ``no``.

    :raises CtlError: when it is anything else.
    """
    if text not in ("yes", "no"):
        raise CtlError(f"--{name} {text!r} is not allowed; allowed: yes, no")
    return text == "yes"


# Takes the name and the value of an option.
OptionParser = Callable[[str, str], Any]
