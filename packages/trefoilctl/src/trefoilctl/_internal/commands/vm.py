"""Command ``vm list``: the VMs in the membership view of a daemon."""

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, api_options, register

_COLUMNS = ("vm", "host", "http_port", "peer_port", "data_centre", "region", "state")


@register
class VmListCommand(ApiCommand):
    """Lists the VMs in the membership view of the daemon that answers."""

    name = "vm list"
    description = "List the VMs as the daemon that answers sees them."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the list."""
        listed = client.call("GET", "/v1/admin/vms").json
        self.print_rows(listed, listed["data"], _COLUMNS)
