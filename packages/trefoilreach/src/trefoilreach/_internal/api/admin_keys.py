"""Operators' handlers for keys: granted, listed and withdrawn."""

import secrets
from typing import Any

from result import Err

from trefoilreach._internal.api.admin_change import (
    put_into_force,
    read_base_version,
    read_fields,
    read_if_match,
    refuse_field,
    require_operator,
    respond_version,
)
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json, routes
from trefoilreach._internal.coordination.config.store import refuse_stale
from trefoilreach._internal.state.config import ConfigDocument, Key, hash_key
from trefoilreach._internal.state.config_check import FieldError, parse_fields

_SECRET_BYTES = 32
_ID_BYTES = 8
_SECRET_PREFIX = "tr-"


@routes.register("GET", "/v1/admin/keys")
def list_keys(parts: Parts, request: WebRequest) -> WebResponse:
    """List the keys that were granted, without their hashes."""
    require_operator(parts, request)
    document = parts.config.view.document
    withdrawn = {entry.key_id: entry.wall_time for entry in parts.config_sync.withdrawals.entries()}
    entries = [_describe(key, withdrawn.get(key.id)) for key in document.keys]
    return respond_version(document.version, {"data": entries})


@routes.register("POST", "/v1/admin/keys")
def grant_key(parts: Parts, request: WebRequest) -> WebResponse:
    """Grant a new key; the answer is the only place that shows it."""
    require_operator(parts, request)
    base = read_base_version(request)
    try:
        fields = parse_fields(Key, read_fields(request))
    except FieldError as error:
        raise refuse_field(error) from error
    secret = _SECRET_PREFIX + secrets.token_urlsafe(_SECRET_BYTES)
    key = Key(id="key-" + secrets.token_hex(_ID_BYTES), hash=hash_key(secret), **fields)

    def edit(document: ConfigDocument) -> ConfigDocument:
        return document._replace(keys=(*document.keys, key))

    document = put_into_force(parts, base, edit)
    shown = {**_describe(key, None), "key": secret}
    return respond_version(document.version, {"entry": shown}, status=201)


@routes.register("DELETE", "/v1/admin/keys/{key_id}")
def withdraw_key(parts: Parts, request: WebRequest, key_id: str) -> WebResponse:
    """Withdraw a key; ``If-Match: *`` does so whatever version is in force."""
    require_operator(parts, request)
    base = read_if_match(request)
    document = parts.config.view.document
    if base is not None and base != document.version:
        raise refuse_stale(base, document.version)
    outcome = parts.config_sync.withdraw(key_id)
    if isinstance(outcome, Err):
        raise outcome.err_value
    return respond_json(outcome.ok_value._asdict())


def _describe(key: Key, withdrawn_at: float | None) -> dict[str, Any]:
    return {
        "id": key.id,
        "role": key.role,
        "account": key.account,
        "state": "granted" if withdrawn_at is None else "withdrawn",
        "withdrawn_at": withdrawn_at,
    }
