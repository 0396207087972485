"""Commands ``server``: backend servers."""

from typing import Any
from urllib.parse import quote

from cleo.helpers import argument, option

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import (
    ApiCommand,
    OptionParser,
    change_options,
    parse_whole_number,
    register,
)
from trefoilctl._internal.entries import Section, parse_text, read_fields, read_if_version
from trefoilctl._internal.entry_commands import (
    EntryKind,
    Verb,
    add_delete_command,
    add_list_command,
    add_set_command,
)
from trefoilctl._internal.errors import CtlError

_COLUMNS = (
    "name",
    "kind",
    "host",
    "port",
    "routes",
    "data_centre",
    "slots",
    "model_limit",
    "role",
    "state",
)
_SERVER = EntryKind("server", "servers", "backend server", "backend servers", _COLUMNS)
_FIELDS: dict[str, tuple[str, OptionParser]] = {
    "kind": ("kind", parse_text),
    "route": ("routes", parse_text),
    "data-centre": ("data_centre", parse_text),
    "slots": ("slots", parse_whole_number),
    "model-limit": ("model_limit", parse_whole_number),
    "role": ("role", parse_text),
}


def _read_server(command: ApiCommand) -> dict[str, Any]:
    host, port = _parse_endpoint(command.argument("endpoint"))
    return {**read_fields(command, _FIELDS), "host": host, "port": port, "state": "live"}


def _parse_endpoint(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise CtlError(f"endpoint {text!r} is not allowed; allowed: IP:PORT")
    return host.strip("[]"), int(port)


add_set_command(
    _SERVER,
    "Add a backend server or change what it serves.",
    (
        option("kind", None, "engine or service.", flag=False),
        option("route", None, "Route that it serves; may be repeated.", flag=False, multiple=True),
        option("data-centre", None, "Data centre that it is in.", flag=False),
        option("slots", None, "Requests that it runs at once.", flag=False),
        option("model-limit", None, "Models that it can hold at once; 0: all.", flag=False),
        option("role", None, "Role that the engine should have; empty: any.", flag=False),
    ),
    _read_server,
    Verb("add", "added"),
    (argument("endpoint", "Where it is, as IP:PORT."),),
)
add_list_command(_SERVER)
add_delete_command(
    _SERVER, "Remove a backend server that was marked as leaving.", Verb("remove", "removed")
)


@register
class ServerLeaveCommand(ApiCommand):
    """Marks a backend server as leaving."""

    name = "server leave"
    description = "Mark a backend server as leaving: it gets no new work."
    arguments = [argument("name", "Name of the backend server.")]  # noqa: RUF012
    options = change_options()

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name, section = self.argument("name"), Section(client, _SERVER.section)
        path = f"/{quote(name, safe='')}/leave"
        changed = section.change("POST", path, section.resolve_version(read_if_version(self)))
        self.print_result(changed, f"server {name} leaving in version {changed['version']}")
