"""Authentication of requests by bearer key, and authorization by role and account."""

import hmac

from result import Err

from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest
from trefoilreach._internal.coordination.quota.policy import build_quota_refusal
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import (
    BOOTSTRAP_KEY_ID,
    Account,
    Key,
    Route,
    hash_key,
)

# Account of all requests without a valid key on routes that are open to all; they are queued
# together, as one account.
ANONYMOUS = Account("", 1.0, 1.0)


def require_key(parts: Parts, request: WebRequest) -> Key:
    """Return the key that authenticates a request.

    :raises Refusal: 401 when it is missing, unknown or withdrawn.
    """
    secret = request.bearer_key()
    if secret is None:
        raise Refusal(401, "missing_key", "the Authorization header has no bearer key")
    key = find_configured_key(parts, request) or _find_bootstrap_key(parts, hash_key(secret))
    if key is None or key.id in parts.config_sync.get_withdrawn_key_ids():
        raise _build_invalid_key_refusal()
    return key


def find_configured_key(parts: Parts, request: WebRequest) -> Key | None:
    """Return the configured key that a request names, also if it is withdrawn."""
    secret = request.bearer_key()
    return None if secret is None else parts.config.view.keys_by_hash.get(hash_key(secret))


def reject_withdrawn_key(parts: Parts, request: WebRequest) -> None:
    """Check that the key of a request is not one that this daemon knows to be withdrawn.

    A withdrawal is final, so the answer holds even while newer ones cannot arrive.

    :raises Refusal: 401 when the key is withdrawn.
    """
    key = find_configured_key(parts, request)
    if key is not None and key.id in parts.config_sync.get_withdrawn_key_ids():
        raise _build_invalid_key_refusal()


def _build_invalid_key_refusal() -> Refusal:
    return Refusal(401, "invalid_key", "the key is unknown or withdrawn")


def _find_bootstrap_key(parts: Parts, hashed: str) -> Key | None:
    """Return the bootstrap operator key when ``hashed`` is its hash, else None.

    It stays valid until it is withdrawn. If the first granted key replaced it, operators
    would be locked out when the response to that grant is lost.
    """
    expected = parts.settings.platform.bootstrap_operator_key_hash
    if not expected or not hmac.compare_digest(expected, hashed):
        return None
    return Key(BOOTSTRAP_KEY_ID, hashed, "operator")


def require_role(parts: Parts, request: WebRequest, *roles: str) -> Key:
    """Return the key of a request whose role is one of ``roles``.

    :raises Refusal: 401 as :func:`require_key`, 403 for any other role.
    """
    key = require_key(parts, request)
    if key.role not in roles:
        raise Refusal(403, "wrong_role", f"this needs a key of role {' or '.join(roles)}")
    return key


def require_account(parts: Parts, request: WebRequest) -> tuple[Key, Account]:
    """Return the caller key of a request and its client account.

    :raises Refusal: 401 or 403.
    """
    key = require_role(parts, request, "caller")
    account = parts.config.view.accounts.get(key.account)
    if account is None:
        raise Refusal(403, "no_account", "the key belongs to no client account")
    return key, account


def may_use(route: Route, account: Account) -> bool:
    """Return whether an account may use a route."""
    return route.open_to_all or not route.accounts or account.name in route.accounts


def identify_caller(
    parts: Parts, request: WebRequest, route: Route | None
) -> tuple[Key | None, Account]:
    """Return the key and the account to which a request for a route is attributed.

    A route that is open to all needs no key; without a valid one the request is attributed
    to :data:`ANONYMOUS`.

    :raises Refusal: 401 or 403.
    """
    if route is not None and route.open_to_all:
        try:
            return require_account(parts, request)
        except Refusal:
            return None, ANONYMOUS
    key, account = require_account(parts, request)
    if route is not None and not may_use(route, account):
        message = f"account {account.name!r} may not use {route.name!r}"
        raise Refusal(403, "route_not_allowed", message)
    return key, account


def take_quota(parts: Parts, account: Account) -> None:
    """Take one token from the token bucket of the account; anonymous requests take none.

    :raises Refusal: 429 when the account is over its rate or burst, 503 when the quota
        cannot be reached.
    """
    if account is ANONYMOUS:
        return
    admitted = parts.quota.admit(account)
    if isinstance(admitted, Err):
        raise build_quota_refusal(account, admitted.err_value)
