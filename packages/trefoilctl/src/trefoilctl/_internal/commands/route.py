"""Commands ``route``: models and plain services that requests can name."""

from typing import Any

from cleo.helpers import option

from trefoilctl._internal.command import ApiCommand, OptionParser, parse_yes_no
from trefoilctl._internal.entries import parse_text, read_fields
from trefoilctl._internal.entry_commands import (
    EntryKind,
    add_delete_command,
    add_list_command,
    add_set_command,
)

_COLUMNS = (
    "name",
    "kind",
    "work_class",
    "open_to_all",
    "accounts",
    "idempotent",
    "fencing_checked",
    "version",
)
_ROUTE = EntryKind("route", "routes", "route or model", "routes", _COLUMNS)
_FIELDS: dict[str, tuple[str, OptionParser]] = {
    "kind": ("kind", parse_text),
    "class": ("work_class", parse_text),
    "open-to-all": ("open_to_all", parse_yes_no),
    "account": ("accounts", parse_text),
    "idempotent": ("idempotent", parse_yes_no),
    "fencing-checked": ("fencing_checked", parse_yes_no),
    "model-version": ("version", parse_text),
}


def _read_route(command: ApiCommand) -> dict[str, Any]:
    fields = read_fields(command, _FIELDS)
    if command.option("every-account"):
        fields["accounts"] = []
    return fields


add_set_command(
    _ROUTE,
    "Add a route or change it.",
    (
        option("kind", None, "model or service.", flag=False),
        option("class", None, "Class of work of its requests.", flag=False),
        option("open-to-all", None, "yes: needs no key; or no.", flag=False),
        option("account", None, "Allowed account; may be repeated.", flag=False, multiple=True),
        option("every-account", None, "Allow every client account."),
        option("idempotent", None, "yes: may be sent again; or no.", flag=False),
        option("fencing-checked", None, "yes: servers check fencing numbers; or no.", flag=False),
        option("model-version", None, "Version that engines load; empty: any.", flag=False),
    ),
    _read_route,
)
add_list_command(_ROUTE)
add_delete_command(_ROUTE, "Delete a route that no backend server serves.")
