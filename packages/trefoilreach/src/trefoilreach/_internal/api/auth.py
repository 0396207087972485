"""Who sent a request, from its key."""

from result import Err

from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest
from trefoilreach._internal.coordination.admission import refuse_rate
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import Account, Key, Route, hash_key

# Callers without a key on routes that are open to all share one place in the queue.
ANONYMOUS = Account("", 1.0, 1.0)


def require_key(parts: Parts, request: WebRequest) -> Key:
    """Return the granted key of a request.

    :raises Refusal: 401 when it is missing, unknown or withdrawn.
    """
    secret = request.bearer_key()
    if secret is None:
        raise Refusal(401, "missing_key", "the Authorization header has no bearer key")
    key = parts.config.view.keys_by_hash.get(hash_key(secret))
    withdrawn = {entry.key_id for entry in parts.config.view.document.withdrawn}
    if key is None or key.id in withdrawn:
        raise Refusal(401, "invalid_key", "the key is unknown or withdrawn")
    return key


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


def may_use(route: Route, account: Account) -> bool:
    """Return whether an account may use a route."""
    return route.open_to_all or not route.accounts or account.name in route.accounts


def identify_caller(parts: Parts, request: WebRequest, route: Route | None) -> Account:
    """Return the account that a request for a route runs for.

    A route that is open to all needs no key; without a known one it runs for
    :data:`ANONYMOUS`.

    :raises Refusal: 401 or 403.
    """
    if route is not None and route.open_to_all:
        try:
            return require_account(parts, request)[1]
        except Refusal:
            return ANONYMOUS
    _, account = require_account(parts, request)
    if route is not None and not may_use(route, account):
        message = f"account {account.name!r} may not use {route.name!r}"
        raise Refusal(403, "route_not_allowed", message)
    return account


def take_quota(parts: Parts, account: Account) -> None:
    """Take one request from the account's rate.

    :raises Refusal: 429 when the account is over its rate or burst.
    """
    if account is ANONYMOUS:
        return
    admitted = parts.quota.admit(account)
    if isinstance(admitted, Err):
        raise refuse_rate(account, admitted.err_value)
