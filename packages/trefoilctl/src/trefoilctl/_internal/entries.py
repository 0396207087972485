"""Access to the named entries of the configuration."""

from typing import Any
from urllib.parse import quote

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, OptionParser, parse_whole_number


class Section:
    """The entries of one kind, under ``/v1/admin/NAME``."""

    def __init__(self, client: Client, name: str) -> None:
        self._client = client
        self._path = f"/v1/admin/{name}"

    def list(self) -> dict[str, Any]:
        """Return the configuration version in force and the entries of this kind in it."""
        found: dict[str, Any] = self._client.call("GET", self._path).json
        return found

    def set(self, name: str, fields: dict[str, Any], if_version: int | None) -> dict[str, Any]:
        """Add an entry, or change the given fields of an existing one."""
        listed = self.list()
        current: dict[str, Any] = {}
        for entry in listed["data"]:
            if entry["name"] == name:
                current = entry
        base = listed["version"] if if_version is None else if_version
        return self.change("PUT", f"/{quote(name, safe='')}", base, {**current, **fields})

    def delete(self, name: str, if_version: int | None) -> dict[str, Any]:
        """Delete an entry."""
        return self.change("DELETE", f"/{quote(name, safe='')}", self.resolve_version(if_version))

    def resolve_version(self, if_version: int | None) -> int:
        """Return ``if_version``, or the version in force when it is None."""
        return int(self.list()["version"]) if if_version is None else if_version

    def change(self, method: str, path: str, base: int | str, body: Any = None) -> dict[str, Any]:
        """Send one change against the version ``base``; ``*`` stands for any version."""
        headers = {"If-Match": f'"{base}"' if isinstance(base, int) else base}
        changed: dict[str, Any] = self._client.call(method, self._path + path, body, headers).json
        return changed


def read_if_version(command: ApiCommand) -> int | None:
    """Return the value of ``--if-version``, or None when it is not given."""
    text = command.option("if-version")
    return None if text is None else parse_whole_number("if-version", text)


def read_fields(
    command: ApiCommand, parsers: dict[str, tuple[str, OptionParser]]
) -> dict[str, Any]:
    """Return the fields of an entry whose options were given.

    :param parsers: name of the field and parser of its value, by option name.
    """
    fields = {}
    for name, (field, parse) in parsers.items():
        text = command.option(name)
        if text is not None and text != []:
            fields[field] = parse(name, text)
    return fields


def parse_text(name: str, text: Any) -> Any:
    """Return the value of an option unchanged; used as a parser."""
    return text
