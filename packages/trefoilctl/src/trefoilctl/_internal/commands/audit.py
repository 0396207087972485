"""Command ``audit``: audit records for the monitor."""

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, api_options, register


@register
class AuditCommand(ApiCommand):
    """Prints the audit records."""

    name = "audit"
    description = "Print accepted items, refusals and withdrawals; needs a monitor key."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the records."""
        self.print_json(client.call("GET", "/v1/audit").json)
