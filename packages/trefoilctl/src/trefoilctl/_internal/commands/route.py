"""Command ``route``: models and plain services that callers can name."""

from cleo.helpers import argument, option

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import (
    ApiCommand,
    Parser,
    api_options,
    change_options,
    parse_flag,
    register,
)
from trefoilctl._internal.entries import Section, keep_text, read_fields, read_if_version

_SECTION = "routes"
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
_FIELDS: dict[str, tuple[str, Parser]] = {
    "kind": ("kind", keep_text),
    "class": ("work_class", keep_text),
    "open-to-all": ("open_to_all", parse_flag),
    "account": ("accounts", keep_text),
    "idempotent": ("idempotent", parse_flag),
    "fencing-checked": ("fencing_checked", parse_flag),
    "model-version": ("version", keep_text),
}


@register
class RouteSetCommand(ApiCommand):
    """Adds a route or changes it."""

    name = "route set"
    description = "Add a route or change it."
    arguments = [argument("name", "Name of the route, for a model its name.")]  # noqa: RUF012
    options = change_options(
        option("kind", None, "model or service.", flag=False),
        option("class", None, "Class of work of its requests.", flag=False),
        option("open-to-all", None, "yes: needs no key; or no.", flag=False),
        option("account", None, "Allowed account; may be repeated.", flag=False, multiple=True),
        option("every-account", None, "Allow every client account."),
        option("idempotent", None, "yes: may be sent again; or no.", flag=False),
        option("fencing-checked", None, "yes: servers check fencing numbers; or no.", flag=False),
        option("model-version", None, "Version that engines load; empty: any.", flag=False),
    )

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name, fields = self.argument("name"), read_fields(self, _FIELDS)
        if self.option("every-account"):
            fields["accounts"] = []
        changed = Section(client, _SECTION).set(name, fields, read_if_version(self))
        self.print_result(changed, f"route {name} set in version {changed['version']}")


@register
class RouteListCommand(ApiCommand):
    """Lists the routes."""

    name = "route list"
    description = "List the routes."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the list."""
        listed = Section(client, _SECTION).list()
        self.print_rows(listed, listed["data"], _COLUMNS)


@register
class RouteDeleteCommand(ApiCommand):
    """Deletes a route that no backend server serves."""

    name = "route delete"
    description = "Delete a route that no backend server serves."
    arguments = [argument("name", "Name of the route.")]  # noqa: RUF012
    options = change_options()

    def run_command(self, client: Client) -> None:
        """Send the change."""
        name = self.argument("name")
        changed = Section(client, _SECTION).delete(name, read_if_version(self))
        self.print_result(changed, f"route {name} deleted in version {changed['version']}")
