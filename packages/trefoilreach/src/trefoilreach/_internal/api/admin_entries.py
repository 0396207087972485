"""Operator handlers for classes of work, client accounts, routes and backend servers."""

from functools import partial
from typing import Any

from trefoilreach._internal.api.admin_change import (
    apply_change,
    build_field_refusal,
    read_base_version,
    read_fields,
    require_operator,
    respond_version,
)
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, routes
from trefoilreach._internal.protocol.verdict import Refusal, build_bad_request_refusal
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Route,
    Server,
    WorkClass,
    find_by_name,
)
from trefoilreach._internal.state.config_check import FieldError, find_references, parse_entry

_ENTRY_TYPES: dict[str, type] = {
    "classes": WorkClass,
    "accounts": Account,
    "routes": Route,
    "servers": Server,
}
_ENTRY_LABELS = {
    "classes": "class of work",
    "accounts": "client account",
    "routes": "route",
    "servers": "backend server",
}


def list_entries(section: str, parts: Parts, request: WebRequest) -> WebResponse:
    """List all entries of one section."""
    require_operator(parts, request)
    document = parts.config.view.document
    entries = [entry._asdict() for entry in getattr(document, section)]
    return respond_version(document.version, {"data": entries})


def show_entry(section: str, parts: Parts, request: WebRequest, name: str) -> WebResponse:
    """Return one entry."""
    require_operator(parts, request)
    document = parts.config.view.document
    entry = _require_entry(document, section, name)
    return respond_version(document.version, {"entry": entry._asdict()})


def set_entry(section: str, parts: Parts, request: WebRequest, name: str) -> WebResponse:
    """Add an entry, or replace all its fields."""
    require_operator(parts, request)
    base = read_base_version(request)
    fields = read_fields(request)
    if fields.setdefault("name", name) != name:
        raise build_bad_request_refusal(f"'name' must be {name!r}, as in the path", "name")
    entry = _parse_entry(section, fields)

    def edit(document: ConfigDocument) -> ConfigDocument:
        return _replace_entry(document, section, _keep_server_state(document, fields, entry))

    document = apply_change(parts, base, edit)
    stored = find_by_name(getattr(document, section), name)
    return respond_version(document.version, {"entry": stored._asdict()})


def delete_entry(section: str, parts: Parts, request: WebRequest, name: str) -> WebResponse:
    """Delete an entry that no other entry refers to."""
    require_operator(parts, request)
    base = read_base_version(request)

    def edit(document: ConfigDocument) -> ConfigDocument:
        entry = _require_entry(document, section, name)
        _require_unreferenced(document, section, name)
        if isinstance(entry, Server) and entry.state != "leaving":
            message = f"backend server {name!r} is live; mark it as leaving first"
            raise Refusal(409, "server_live", message)
        remaining = tuple(other for other in getattr(document, section) if other.name != name)
        return _replace_section(document, section, remaining)

    document = apply_change(parts, base, edit)
    return respond_version(document.version, {"deleted": name})


for _section in _ENTRY_TYPES:
    _path = f"/v1/admin/{_section}"
    routes.register("GET", _path)(partial(list_entries, _section))
    routes.register("GET", _path + "/{name}")(partial(show_entry, _section))
    routes.register("PUT", _path + "/{name}")(partial(set_entry, _section))
    routes.register("DELETE", _path + "/{name}")(partial(delete_entry, _section))


@routes.register("POST", "/v1/admin/servers/{name}/leave")
def mark_leaving(parts: Parts, request: WebRequest, name: str) -> WebResponse:
    """Mark a backend server as leaving, so that it gets no new requests."""
    require_operator(parts, request)
    base = read_base_version(request)

    def edit(document: ConfigDocument) -> ConfigDocument:
        server = _require_entry(document, "servers", name)
        return _replace_entry(document, "servers", server._replace(state="leaving"))

    document = apply_change(parts, base, edit)
    server = find_by_name(document.servers, name)
    return respond_version(document.version, {"entry": server._asdict()})


def _parse_entry(section: str, fields: dict[str, Any]) -> Any:
    try:
        return parse_entry(_ENTRY_TYPES[section], fields)
    except FieldError as error:
        raise build_field_refusal(error) from error


def _keep_server_state(document: ConfigDocument, fields: dict[str, Any], entry: Any) -> Any:
    """Return ``entry``; a backend server keeps its current state unless ``fields`` set one."""
    if not isinstance(entry, Server) or "state" in fields:
        return entry
    current = find_by_name(document.servers, entry.name)
    return entry if current is None else entry._replace(state=current.state)


def _replace_entry(document: ConfigDocument, section: str, entry: Any) -> ConfigDocument:
    others = [other for other in getattr(document, section) if other.name != entry.name]
    entries = sorted([*others, entry], key=lambda each: str(each.name))
    return _replace_section(document, section, tuple(entries))


def _replace_section(document: ConfigDocument, section: str, entries: Any) -> ConfigDocument:
    changed: dict[str, Any] = {section: entries}
    return document._replace(**changed)


def _require_entry(document: ConfigDocument, section: str, name: str) -> Any:
    entry = find_by_name(getattr(document, section), name)
    if entry is None:
        raise Refusal(404, "not_found", f"there is no {_ENTRY_LABELS[section]} {name!r}")
    return entry


def _require_unreferenced(document: ConfigDocument, section: str, name: str) -> None:
    references = find_references(document, section, name)
    if references:
        message = f"{_ENTRY_LABELS[section]} {name!r} is still used by {', '.join(references)}"
        raise Refusal(409, "still_referenced", message)
