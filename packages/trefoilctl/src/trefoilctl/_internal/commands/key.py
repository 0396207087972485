"""Commands ``key``: keys of callers, operators and the monitor."""

from urllib.parse import quote

from cleo.helpers import argument, option

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, change_options, register
from trefoilctl._internal.entries import Section, read_if_version
from trefoilctl._internal.entry_commands import EntryKind, add_list_command

_KEY = EntryKind("key", "keys", "key", "keys", ("id", "role", "account", "state"))
# A withdrawal is valid against any version, so a concurrent change cannot make it fail.
_ANY_VERSION = "*"

add_list_command(_KEY, ", without the secrets")


@register
class KeyGrantCommand(ApiCommand):
    """Grants a key and shows it once."""

    name = "key grant"
    description = "Grant a key and show it, this once."
    arguments = [  # noqa: RUF012
        argument("account", "Client account; needed for role caller.", optional=True)
    ]
    options = change_options(
        option("role", None, "caller, operator or monitor.", flag=False, default="caller")
    )

    def run_command(self, client: Client) -> None:
        """Send the change."""
        section = Section(client, _KEY.section)
        body = {"role": self.option("role"), "account": self.argument("account") or ""}
        granted = section.change("POST", "", section.resolve_version(read_if_version(self)), body)
        entry = granted["entry"]
        text = f"id  {entry['id']}\nkey {entry['key']}"
        self.print_result(granted, text)


@register
class KeyWithdrawCommand(ApiCommand):
    """Withdraws a key."""

    name = "key withdraw"
    description = "Withdraw a key; open streams that use it end."
    arguments = [argument("id", "Id of the key.")]  # noqa: RUF012
    options = change_options()

    def run_command(self, client: Client) -> None:
        """Send the withdrawal."""
        key_id, version = self.argument("id"), read_if_version(self)
        section, path = Section(client, _KEY.section), f"/{quote(self.argument('id'), safe='')}"
        base = _ANY_VERSION if version is None else version
        report = section.change("DELETE", path, base)
        text = f"{key_id} withdrawn, in force on {', '.join(report['in_force'])}"
        if report["pending"]:
            text += f"; no answer yet from {', '.join(report['pending'])}"
        if not report["durable"]:
            text += "; the stores do not name it yet"
        self.print_result(report, text)
