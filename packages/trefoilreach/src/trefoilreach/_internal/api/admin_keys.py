"""Operator handlers that list, grant and withdraw keys."""

import secrets
from typing import Any

from result import Err

from trefoilreach._internal.api.admin_change import (
    apply_change,
    build_field_refusal,
    read_base_version,
    read_fields,
    read_if_match,
    require_operator,
    respond_version,
)
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json, routes
from trefoilreach._internal.coordination.config.store import build_stale_refusal
from trefoilreach._internal.state.config import ConfigDocument, Key, hash_key
from trefoilreach._internal.state.config_check import FieldError, validate_fields

_SECRET_BYTES = 32
_ID_BYTES = 8
_SECRET_PREFIX = "tr-"


@routes.register("GET", "/v1/admin/keys")
def list_keys(parts: Parts, request: WebRequest) -> WebResponse:
    """List all granted keys, withdrawn ones included, without their hashes."""
    require_operator(parts, request)
    document = parts.config.view.document
    withdrawn = {entry.key_id: entry.wall_time for entry in parts.config_sync.withdrawals.entries()}
    entries = [_describe_key(key, withdrawn.get(key.id)) for key in document.keys]
    return respond_version(document.version, {"data": entries})


@routes.register("POST", "/v1/admin/keys")
def grant_key(parts: Parts, request: WebRequest) -> WebResponse:
    """Grant a new key; only this response contains it, as only its hash is stored."""
    require_operator(parts, request)
    base = read_base_version(request)
    try:
        fields = validate_fields(Key, read_fields(request))
    except FieldError as error:
        raise build_field_refusal(error) from error
    secret = _SECRET_PREFIX + secrets.token_urlsafe(_SECRET_BYTES)
    key = Key(id="key-" + secrets.token_hex(_ID_BYTES), hash=hash_key(secret), **fields)

    def edit(document: ConfigDocument) -> ConfigDocument:
        return document._replace(keys=(*document.keys, key))

    document = apply_change(parts, base, edit)
    entry_fields = {**_describe_key(key, None), "key": secret}
    return respond_version(document.version, {"entry": entry_fields}, status=201)


@routes.register("DELETE", "/v1/admin/keys/{key_id}")
def withdraw_key(parts: Parts, request: WebRequest, key_id: str) -> WebResponse:
    """Withdraw a key; ``If-Match: *`` withdraws it whichever version is in force."""
    require_operator(parts, request)
    base = read_if_match(request)
    document = parts.config.view.document
    if base is not None and base != document.version:
        raise build_stale_refusal(base, document.version)
    withdrawal = parts.config_sync.withdraw(key_id)
    if isinstance(withdrawal, Err):
        raise withdrawal.err_value
    return respond_json(withdrawal.ok_value._asdict())


def _describe_key(key: Key, withdrawn_at: float | None) -> dict[str, Any]:
    return {
        "id": key.id,
        "role": key.role,
        "account": key.account,
        "state": "granted" if withdrawn_at is None else "withdrawn",
        "withdrawn_at": withdrawn_at,
    }
