"""Commands ``account``: client accounts with their agreed rate and burst."""

from cleo.helpers import option

from trefoilctl._internal.command import OptionParser, parse_number
from trefoilctl._internal.entries import read_fields
from trefoilctl._internal.entry_commands import (
    EntryKind,
    add_delete_command,
    add_list_command,
    add_set_command,
)

_ACCOUNT = EntryKind(
    "account", "accounts", "client account", "client accounts", ("name", "rate", "burst")
)
_FIELDS: dict[str, tuple[str, OptionParser]] = {
    "rate": ("rate", parse_number),
    "burst": ("burst", parse_number),
}

add_set_command(
    _ACCOUNT,
    "Add a client account or change its rate and burst.",
    (
        option("rate", None, "Requests a second.", flag=False),
        option("burst", None, "Requests at once.", flag=False),
    ),
    lambda command: read_fields(command, _FIELDS),
)
add_list_command(_ACCOUNT)
add_delete_command(_ACCOUNT, "Delete a client account that no key and no route uses.")
