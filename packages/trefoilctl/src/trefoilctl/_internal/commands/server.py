"""Command ``server``: backend servers."""

from urllib.parse import quote

from cleo.helpers import argument, option

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import (
    ApiCommand,
    Parser,
    api_options,
    change_options,
    parse_whole,
    register,
)
from trefoilctl._internal.entries import Section, keep_text, read_fields, read_if_version
from trefoilctl._internal.errors import CtlError

_SECTION = "servers"
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
_FIELDS: dict[str, tuple[str, Parser]] = {
    "kind": ("kind", keep_text),
    "route": ("routes", keep_text),
    "data-centre": ("data_centre", keep_text),
    "slots": ("slots", parse_whole),
    "model-limit": ("model_limit", parse_whole),
    "role": ("role", keep_text),
}


@register
class ServerAddCommand(ApiCommand):
    """Adds a backend server or changes what it serves."""

    name = "server add"
    description = "Add a backend server or change what it serves."
    arguments = [  # noqa: RUF012
        argument("name", "Name of the backend server."),
        argument("endpoint", "Where it is, as IP:PORT."),
    ]
    options = change_options(
        option("kind", None, "engine or service.", flag=False),
        option("route", None, "Route that it serves; may be repeated.", flag=False, multiple=True),
        option("data-centre", None, "Data centre that it is in.", flag=False),
        option("slots", None, "Requests that it runs at once.", flag=False),
        option("model-limit", None, "Models that it can hold at once; 0: all.", flag=False),
        option("role", None, "Role that the engine should have; empty: any.", flag=False),
    )

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name = self.argument("name")
        host, port = _parse_endpoint(self.argument("endpoint"))
        fields = {**read_fields(self, _FIELDS), "host": host, "port": port, "state": "live"}
        changed = Section(client, _SECTION).set(name, fields, read_if_version(self))
        self.print_result(changed, f"server {name} added in version {changed['version']}")


@register
class ServerListCommand(ApiCommand):
    """Lists the backend servers."""

    name = "server list"
    description = "List the backend servers."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the list."""
        listed = Section(client, _SECTION).list()
        self.print_rows(listed, listed["data"], _COLUMNS)


@register
class ServerLeaveCommand(ApiCommand):
    """Marks a backend server as leaving."""

    name = "server leave"
    description = "Mark a backend server as leaving: it gets no new work."
    arguments = [argument("name", "Name of the backend server.")]  # noqa: RUF012
    options = change_options()

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name, section = self.argument("name"), Section(client, _SECTION)
        path = f"/{quote(name, safe='')}/leave"
        changed = section.change("POST", path, section.base(read_if_version(self)))
        self.print_result(changed, f"server {name} leaving in version {changed['version']}")


@register
class ServerRemoveCommand(ApiCommand):
    """Removes a backend server that is leaving."""

    name = "server remove"
    description = "Remove a backend server that was marked as leaving."
    arguments = [argument("name", "Name of the backend server.")]  # noqa: RUF012
    options = change_options()

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name = self.argument("name")
        changed = Section(client, _SECTION).delete(name, read_if_version(self))
        self.print_result(changed, f"server {name} removed in version {changed['version']}")


def _parse_endpoint(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise CtlError(f"endpoint {text!r} is not allowed; allowed: IP:PORT")
    return host.strip("[]"), int(port)
