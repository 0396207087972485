"""Commands ``class``: classes of work with their targets."""

from cleo.helpers import option

from trefoilctl._internal.command import OptionParser, parse_number
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
    "first_token_seconds",
    "token_interval_seconds",
    "percentile",
    "deadline_seconds",
)
_CLASS = EntryKind("class", "classes", "class", "classes of work", _COLUMNS)
_FIELDS: dict[str, tuple[str, OptionParser]] = {
    "kind": ("kind", parse_text),
    "first-token": ("first_token_seconds", parse_number),
    "token-interval": ("token_interval_seconds", parse_number),
    "percentile": ("percentile", parse_number),
    "deadline": ("deadline_seconds", parse_number),
}

add_set_command(
    _CLASS,
    "Add a class of work or change its targets.",
    (
        option("kind", None, "online or batch.", flag=False),
        option("first-token", None, "Seconds to the first token.", flag=False),
        option("token-interval", None, "Seconds between tokens.", flag=False),
        option("percentile", None, "Share of requests within the target.", flag=False),
        option("deadline", None, "Seconds to finish a batch job.", flag=False),
    ),
    lambda command: read_fields(command, _FIELDS),
)
add_list_command(_CLASS)
add_delete_command(_CLASS, "Delete a class of work that no route uses.")
