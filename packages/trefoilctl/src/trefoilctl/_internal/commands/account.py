"""Command ``account``: client accounts with their agreed rate and burst."""

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
from trefoilctl._internal.entries import Section, read_fields, read_if_version

_SECTION = "accounts"
_FIELDS: dict[str, tuple[str, Parser]] = {
    "rate": ("rate", parse_number),
    "burst": ("burst", parse_number),
}


@register
class AccountSetCommand(ApiCommand):
    """Adds a client account or changes its rate and burst."""

    name = "account set"
    description = "Add a client account or change its rate and burst."
    arguments = [argument("name", "Name of the client account.")]  # noqa: RUF012
    options = change_options(
        option("rate", None, "Requests a second.", flag=False),
        option("burst", None, "Requests at once.", flag=False),
    )

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name, fields = self.argument("name"), read_fields(self, _FIELDS)
        changed = Section(client, _SECTION).set(name, fields, read_if_version(self))
        self.print_result(changed, f"account {name} set in version {changed['version']}")


@register
class AccountListCommand(ApiCommand):
    """Lists the client accounts."""

    name = "account list"
    description = "List the client accounts."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the list."""
        listed = Section(client, _SECTION).list()
        self.print_rows(listed, listed["data"], ("name", "rate", "burst"))


@register
class AccountDeleteCommand(ApiCommand):
    """Deletes a client account without keys and routes."""

    name = "account delete"
    description = "Delete a client account that no key and no route uses."
    arguments = [argument("name", "Name of the client account.")]  # noqa: RUF012
    options = change_options()

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name = self.argument("name")
        changed = Section(client, _SECTION).delete(name, read_if_version(self))
        self.print_result(changed, f"account {name} deleted in version {changed['version']}")
