"""Command ``class``: classes of work with their targets."""

from cleo.helpers import argument, option

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import (
    ApiCommand,
    Parser,
    api_options,
    change_options,
    parse_number,
    register,
)
from trefoilctl._internal.entries import Section, keep_text, read_fields, read_if_version

_SECTION = "classes"
_COLUMNS = (
    "name",
    "kind",
    "first_token_seconds",
    "token_interval_seconds",
    "percentile",
    "deadline_seconds",
)
_FIELDS: dict[str, tuple[str, Parser]] = {
    "kind": ("kind", keep_text),
    "first-token": ("first_token_seconds", parse_number),
    "token-interval": ("token_interval_seconds", parse_number),
    "percentile": ("percentile", parse_number),
    "deadline": ("deadline_seconds", parse_number),
}


@register
class ClassSetCommand(ApiCommand):
    """Adds a class of work or changes its targets."""

    name = "class set"
    description = "Add a class of work or change its targets."
    arguments = [argument("name", "Name of the class.")]  # noqa: RUF012
    options = change_options(
        option("kind", None, "online or batch.", flag=False),
        option("first-token", None, "Seconds to the first token.", flag=False),
        option("token-interval", None, "Seconds between tokens.", flag=False),
        option("percentile", None, "Share of requests within the target.", flag=False),
        option("deadline", None, "Seconds to finish a batch job.", flag=False),
    )

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name, fields = self.argument("name"), read_fields(self, _FIELDS)
        changed = Section(client, _SECTION).set(name, fields, read_if_version(self))
        self.print_result(changed, f"class {name} set in version {changed['version']}")


@register
class ClassListCommand(ApiCommand):
    """Lists the classes of work."""

    name = "class list"
    description = "List the classes of work."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the list."""
        listed = Section(client, _SECTION).list()
        self.print_rows(listed, listed["data"], _COLUMNS)


@register
class ClassDeleteCommand(ApiCommand):
    """Deletes a class of work that no route uses."""

    name = "class delete"
    description = "Delete a class of work that no route uses."
    arguments = [argument("name", "Name of the class.")]  # noqa: RUF012
    options = change_options()

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name = self.argument("name")
        changed = Section(client, _SECTION).delete(name, read_if_version(self))
        self.print_result(changed, f"class {name} deleted in version {changed['version']}")
