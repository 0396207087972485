"""Commands ``config``: the configuration in force, its state per daemon, earlier versions."""

import time
from typing import Any

from cleo.helpers import option

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, api_options, parse_whole_number, register

_PATH = "/v1/admin/config"


@register
class ConfigShowCommand(ApiCommand):
    """Shows a configuration."""

    name = "config show"
    description = "Show the configuration in force, or an earlier version, as JSON."
    options = api_options(option("at-version", None, "Version to show.", flag=False))

    def run_command(self, client: Client) -> None:
        """Print the document."""
        text = self.option("at-version")
        query = "" if text is None else f"?version={parse_whole_number('at-version', text)}"
        self.print_json(client.call("GET", _PATH + query).json["config"])


@register
class ConfigStatusCommand(ApiCommand):
    """Shows which version is in force on each daemon."""

    name = "config status"
    description = "Say which version is in force on each daemon."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the versions."""
        status = client.call("GET", _PATH + "/status").json
        if not self.option("json"):
            extent = "everywhere" if status["everywhere"] else "not everywhere yet"
            self.line(f"version {status['version']}, in force {extent}")
        self.print_rows(status, status["daemons"], ("vm", "version"))


@register
class ConfigHistoryCommand(ApiCommand):
    """Lists the last versions."""

    name = "config history"
    description = "List the last versions, the newest first."
    options = api_options(option("limit", None, "Versions to list.", flag=False, default="20"))

    def run_command(self, client: Client) -> None:
        """Print the list."""
        limit = parse_whole_number("limit", self.option("limit"))
        listed = client.call("GET", f"{_PATH}/history?limit={limit}").json
        rows = [_format_entry(entry) for entry in listed["data"]]
        self.print_rows(listed, rows, ("version", "time"))


def _format_entry(entry: dict[str, Any]) -> dict[str, Any]:
    utc_time = time.gmtime(entry["wall_time"])
    return {"version": entry["version"], "time": time.strftime("%Y-%m-%d %H:%M:%SZ", utc_time)}
