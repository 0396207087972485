"""Command ``entrypoints``: the entry points that callers should use now."""

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, api_options, register


@register
class EntrypointsCommand(ApiCommand):
    """Lists the entry points to use now."""

    name = "entrypoints"
    description = "List the addresses to use now, the nearest data centre first."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the addresses."""
        self.print_json(client.call("GET", "/v1/entrypoints").json)
