"""Reads and changes named entries of the configuration."""

from typing import Any
from urllib.parse import quote

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, Parser, parse_whole


class Section:
    """One kind of entry under ``/v1/admin``."""

    def __init__(self, client: Client, name: str) -> None:
        self._client = client
        self._path = f"/v1/admin/{name}"

    def list(self) -> dict[str, Any]:
        """Return the version in force and its entries."""
        found: dict[str, Any] = self._client.call("GET", self._path).json
        return found

    def set(self, name: str, fields: dict[str, Any], if_version: int | None) -> dict[str, Any]:
        """Add an entry, or change some fields of it."""
        listed = self.list()
        present: dict[str, Any] = {}
        for entry in listed["data"]:
            if entry["name"] == name:
                present = entry
        base = listed["version"] if if_version is None else if_version
        return self.change("PUT", f"/{quote(name, safe='')}", base, {**present, **fields})

    def delete(self, name: str, if_version: int | None) -> dict[str, Any]:
        """Remove an entry."""
        return self.change("DELETE", f"/{quote(name, safe='')}", self.base(if_version))

    def base(self, if_version: int | None) -> int:
        """Return the version that a change is made against."""
        return int(self.list()["version"]) if if_version is None else if_version

    def change(self, method: str, path: str, base: int | str, body: Any = None) -> dict[str, Any]:
        """Send one change."""
        headers = {"If-Match": f'"{base}"' if isinstance(base, int) else base}
        changed: dict[str, Any] = self._client.call(method, self._path + path, body, headers).json
        return changed


def read_if_version(command: ApiCommand) -> int | None:
    """Return the version that the operator stated, or None."""
    text = command.option("if-version")
    return None if text is None else parse_whole("if-version", text)


def read_fields(command: ApiCommand, parsers: dict[str, tuple[str, Parser]]) -> dict[str, Any]:
    """Return the fields whose options were given.

    :param parsers: field and parser by option name.
    """
    fields = {}
    for name, (field, parse) in parsers.items():
        text = command.option(name)
        if text is not None and text != []:
            fields[field] = parse(name, text)
    return fields


def keep_text(name: str, text: Any) -> Any:
    """Return the value of an option as it was given."""
    return text
