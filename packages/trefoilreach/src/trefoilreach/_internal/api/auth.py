"""Who sent a request, from its key."""

from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import (
    BOOTSTRAP_KEY_ID,
    Account,
    Key,
    Route,
    hash_key,
)


def require_key(parts: Parts, request: WebRequest) -> Key:
    """Return the granted key of a request.

    :raises Refusal: 401 when it is missing, unknown or withdrawn.
    """
    secret = request.bearer_key()
    if secret is None:
        raise Refusal(401, "missing_key", "the Authorization header has no bearer key")
    key = _find_key(parts, hash_key(secret))
    withdrawn = {entry.key_id for entry in parts.config.view.document.withdrawn}
    if key is None or key.id in withdrawn:
        raise Refusal(401, "invalid_key", "the key is unknown or withdrawn")
    return key


def _find_key(parts: Parts, digest: str) -> Key | None:
    granted = parts.config.view.keys_by_hash.get(digest)
    if granted is not None or digest != parts.settings.platform.bootstrap_operator_key_hash:
        return granted
    return Key(BOOTSTRAP_KEY_ID, digest, "operator")


def require_role(parts: Parts, request: WebRequest, *roles: str) -> Key:
    """Return the key of a request whose role is one of ``roles``."""
    key = require_key(parts, request)
    if key.role not in roles:
        raise Refusal(403, "wrong_role", f"this needs a key of role {' or '.join(roles)}")
    return key


def require_account(parts: Parts, request: WebRequest) -> tuple[Key, Account]:
    """Return the key and the client account of a caller."""
    key = require_role(parts, request, "caller")
    account = parts.config.view.accounts.get(key.account)
    if account is None:
        raise Refusal(403, "no_account", "the key belongs to no client account")
    return key, account


def check_route(route: Route, account: Account) -> None:
    """Refuse a route that the account may not use."""
    if route.accounts and account.name not in route.accounts:
        message = f"account {account.name!r} may not use {route.name!r}"
        raise Refusal(403, "route_not_allowed", message)
