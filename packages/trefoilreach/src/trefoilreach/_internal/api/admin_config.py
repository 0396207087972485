"""Operator handlers for whole configuration versions and for the list of VMs."""

from typing import Any

import orjson
from result import Err

from trefoilreach._internal.api.admin_change import require_operator, respond_version
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json, routes
from trefoilreach._internal.coordination.config.store import HISTORY_PREFIX, format_history_key
from trefoilreach._internal.protocol.verdict import (
    Refusal,
    build_bad_request_refusal,
    build_unavailable_refusal,
)
from trefoilreach._internal.state.config import ConfigDocument, decode_config, encode_config
from trefoilreach._internal.state.table import StoreError

_MAX_HISTORY_VERSIONS = 1000
_DEFAULT_HISTORY_VERSIONS = 50
_STORE_RETRY_SECONDS = 2.0


@routes.register("GET", "/v1/admin/config")
def show_config(parts: Parts, request: WebRequest) -> WebResponse:
    """Return the configuration in force on this daemon, or the version named in the query."""
    require_operator(parts, request)
    document = parts.config.view.document
    requested = _read_integer(request, "version", document.version)
    if requested != document.version:
        document = _read_version(parts, requested)
    return respond_version(document.version, {"config": describe_document(document)})


@routes.register("GET", "/v1/admin/config/status")
def show_status(parts: Parts, request: WebRequest) -> WebResponse:
    """Report the configuration version in force on each daemon."""
    require_operator(parts, request)
    version = parts.config.view.document.version
    versions = parts.config_sync.query_versions()
    daemons = [
        {"vm": vm, "version": daemon_version} for vm, daemon_version in sorted(versions.items())
    ]
    everywhere = all(daemon_version == version for daemon_version in versions.values())
    return respond_version(version, {"everywhere": everywhere, "daemons": daemons})


@routes.register("GET", "/v1/admin/config/history")
def show_history(parts: Parts, request: WebRequest) -> WebResponse:
    """List the latest configuration versions, the newest first."""
    require_operator(parts, request)
    limit = _read_integer(request, "limit", _DEFAULT_HISTORY_VERSIONS)
    if not 1 <= limit <= _MAX_HISTORY_VERSIONS:
        raise build_bad_request_refusal(
            f"'limit' must be from 1 to {_MAX_HISTORY_VERSIONS}", "limit"
        )
    version = parts.config.view.document.version
    after = format_history_key(max(0, version - limit))
    rows = parts.table.scan(HISTORY_PREFIX, after, limit)
    if isinstance(rows, Err):
        raise _build_store_refusal(rows.err_value)
    entries = [
        {"version": row.value["version"], "wall_time": row.value["wall_time"]}
        for row in reversed(rows.ok_value)
    ]
    return respond_version(version, {"data": entries})


def _read_version(parts: Parts, version: int) -> ConfigDocument:
    row = parts.table.get(format_history_key(version))
    if isinstance(row, Err):
        raise _build_store_refusal(row.err_value)
    if row.ok_value is None:
        raise Refusal(404, "not_found", f"there is no configuration version {version}")
    stored = parts.objects.get(row.ok_value.value["object"])
    if isinstance(stored, Err):
        raise _build_store_refusal(stored.err_value)
    if stored.ok_value is None:
        message = f"the document of configuration version {version} is not in the object store"
        raise build_unavailable_refusal(message, _STORE_RETRY_SECONDS)
    return decode_config(stored.ok_value)


def _build_store_refusal(error: StoreError) -> Refusal:
    return build_unavailable_refusal(f"the platform's store: {error}", _STORE_RETRY_SECONDS)


def _read_integer(request: WebRequest, name: str, default: int) -> int:
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isdecimal():
        raise build_bad_request_refusal(f"{name!r} must be a whole number", name)
    return int(text)


def describe_document(document: ConfigDocument) -> dict[str, Any]:
    """Return the JSON fields of a configuration, without the hashes of its keys."""
    fields: dict[str, Any] = orjson.loads(encode_config(document))
    for key in fields["keys"]:
        del key["hash"]
    return fields


@routes.register("GET", "/v1/admin/vms")
def list_vms(parts: Parts, request: WebRequest) -> WebResponse:
    """List the VMs in this daemon's membership view, its own VM first."""
    require_operator(parts, request)
    members = [parts.membership.own_member, *parts.membership.members()]
    return respond_json({"data": [member._asdict() for member in members]})
