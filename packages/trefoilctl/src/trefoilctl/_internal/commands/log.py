"""Command ``log explain``: log lines of one request or batch job, from all daemons."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument, option

from trefoilctl._internal.command import escape_markup, parse_number, register
from trefoilctl._internal.errors import CtlError

# Fields that are shown in a column of their own or are the same on all lines of a request.
_COLUMN_FIELDS = {"timestamp", "message_type", "vm", "request_id", "job"}
# Kinds of lines about the state of a daemon, which affects all requests it handles at that time.
_STATE_KIND_PREFIXES = ("store:", "desired-state:", "peer:", "worker:", "daemon:", "settings:")


@register
class LogExplainCommand(Command):
    """Prints the lines of one request or batch job over all daemons."""

    name = "log explain"
    description = "Print what happened to a request or batch job, from log files or standard input."
    arguments = [  # noqa: RUF012 - the library reads a class attribute
        argument("id", "Id of the request, batch item or batch job."),
        argument("files", "Log files; standard input by default.", optional=True, multiple=True),
    ]
    options = [  # noqa: RUF012 - the library reads a class attribute
        option(
            "around",
            "a",
            "Seconds before the first and after the last line for which to also show the lines "
            "about the state of the daemons involved.",
            flag=False,
            default="5",
        )
    ]

    def handle(self) -> int:
        """Run the command."""
        try:
            around_seconds = parse_number("around", self.option("around"))
            lines = list(read_lines(self.argument("files")))
            found = explain(lines, self.argument("id"), around_seconds)
        except CtlError as error:
            print(f"trefoilctl: {error}", file=sys.stderr)
            return 1
        for line in found:
            self.line(escape_markup(format_line(line)))
        return 0


def read_lines(names: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the parsed log lines of files; text before the JSON object of a line is ignored."""
    for text in _read_raw_lines(names):
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = orjson.loads(text[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(line, dict) and "message_type" in line and "timestamp" in line:
            yield line


def _read_raw_lines(names: Iterable[str]) -> Iterator[str]:
    files = list(names)
    if not files:
        yield from sys.stdin
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise CtlError(f"{name}: cannot be read: {error}") from error


def explain(
    lines: list[dict[str, Any]], wanted_id: str, around_seconds: float
) -> list[dict[str, Any]]:
    """Return the lines of an id and the state lines of the daemons involved, by timestamp.

    :param around_seconds: seconds before the first and after the last line of the id in which state
        lines are included.
    :raises CtlError: when no line has the id.
    """
    request_lines = [
        line for line in lines if wanted_id in (line.get("request_id"), line.get("job"))
    ]
    if not request_lines:
        raise CtlError(f"no line names {wanted_id!r}; its lines may have been left out under load")
    first = min(line["timestamp"] for line in request_lines) - around_seconds
    last = max(line["timestamp"] for line in request_lines) + around_seconds
    vms = {line.get("vm") for line in request_lines}
    state_lines = [
        line
        for line in lines
        if line["message_type"].startswith(_STATE_KIND_PREFIXES)
        and line.get("vm") in vms
        and first <= line["timestamp"] <= last
    ]
    return sorted(request_lines + state_lines, key=lambda line: line["timestamp"])


def format_line(line: dict[str, Any]) -> str:
    """Format one line for reading: timestamp, VM, kind, other fields."""
    other_fields = " ".join(
        f"{name}={orjson.dumps(value).decode()}"
        for name, value in line.items()
        if name not in _COLUMN_FIELDS
    )
    return f"{line['timestamp']:.3f} {line.get('vm', '-')} {line['message_type']} {other_fields}"
