"""Decodes the operator's desired state and the workers' registrations from the store."""

from collections.abc import Callable, Mapping
from typing import Any

import orjson
from result import Err, Ok, Result

from trefoilreach._internal.logs import describe_error
from trefoilreach._internal.protocol.checked_values import (
    MAX_INT32,
    MAX_INT64,
    check_address,
    check_integer,
    check_name,
    check_number,
    check_token,
)
from trefoilreach._internal.state.config_check import MAX_SLOTS
from trefoilreach._internal.state.serving import (
    DesiredState,
    RequestLimits,
    RouteKind,
    ServingAccount,
    ServingRoute,
    WeightedService,
    WorkerEntry,
    compute_key_digest,
)

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
    "batch": RouteKind.BATCH,
}
# Whether a worker in a state takes no new requests.
_DRAINING_BY_STATE = {"ready": False, "draining": True}
_MILLISECONDS_PER_SECOND = 1000.0
# Field of a client account that only daemons write, to each other.
_KEY_DIGESTS = "apiKeyDigests"


class EntryDecodeError(ValueError):
    """An entry of the store that is malformed or has a value out of range."""


def encode_for_peers(document: bytes) -> bytes:
    """Return the document of a valid desired state with digests in the place of all keys."""
    body = orjson.loads(document)
    for entry in body.get("tenants") or ():
        digests = {compute_key_digest(key) for key in entry.pop("apiKeys", None) or ()}
        entry[_KEY_DIGESTS] = sorted(digests.union(entry.get(_KEY_DIGESTS) or ()))
    return orjson.dumps(body)


def decode_desired_state(data: bytes) -> Result[DesiredState, EntryDecodeError]:
    """Decode the JSON document of a desired state."""
    try:
        body = orjson.loads(data)
        limits = body.get("limits") or {}
        state = DesiredState(
            # 0 is the version before the first state.
            version=check_integer(_read_integer(body["version"], 0, MAX_INT64), 1, MAX_INT64),
            routes=tuple(_decode_route(route) for route in body.get("routes") or ()),
            accounts=tuple(_decode_account(entry) for entry in body.get("tenants") or ()),
            limits=RequestLimits(
                _read_integer(limits.get("maxBodyBytes"), 0, MAX_INT64)
                or RequestLimits().body_bytes
            ),
            document=data,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(EntryDecodeError(f"desired state cannot be read: {describe_error(error)}"))
    return Ok(state)


def _decode_route(route: Mapping[str, Any]) -> ServingRoute:
    split = route.get("trafficSplit")
    services = (
        tuple(
            WeightedService(_require_string(part["service"]), _read_number(part["weight"]))
            for part in split
        )
        if split
        else (WeightedService(_require_string(route["service"]), 1.0),)
    )
    return ServingRoute(
        name=_require_string(route["name"]),
        host=_require_string(route["host"]),
        path_prefix=_require_string(route["pathPrefix"]),
        kind=_ROUTE_KINDS[route["kind"]],
        services=services,
        max_runs=max(1, _read_integer(route.get("attempts"), 0, MAX_INT32)),
        resumable=bool(route.get("resumable")),
        open_to_all=bool(route.get("public")),
        priority=_read_integer(route.get("priority"), -MAX_INT32, MAX_INT32),
        target_seconds=_read_seconds(route, "targetLatencyMs"),
        timeout_seconds=_read_seconds(route, "timeoutMs"),
        event_gap_target_seconds=_read_seconds(route, "gapAimMs"),
        results_target_seconds=_read_seconds(route, "runAimMs"),
        abandon_after_seconds=_read_number(route.get("keepS")),
        waiting_token_limit=_read_integer(route.get("cap"), 0, MAX_INT64),
    )


def _read_seconds(route: Mapping[str, Any], field: str) -> float:
    return _read_number(route.get(field)) / _MILLISECONDS_PER_SECOND


def _decode_account(entry: Mapping[str, Any]) -> ServingAccount:
    priority = entry.get("priority")
    return ServingAccount(
        name=_require_string(entry["name"]),
        keys=_read_keys(entry, "apiKeys"),
        priority=None if priority is None else _read_integer(priority, -MAX_INT32, MAX_INT32),
        rate=_read_number(entry.get("ratePerS")),
        burst=_read_number(entry.get("burst")),
        key_digests=_read_keys(entry, _KEY_DIGESTS),
    )


def _read_keys(entry: Mapping[str, Any], field: str) -> frozenset[str]:
    keys = entry.get(field) or []
    if not isinstance(keys, list):
        raise TypeError("the keys are not a list")
    return frozenset(_require_string(key) for key in keys)


def _require_string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value


def _read_integer(value: Any, low: int, high: int) -> int:
    """Return a whole number, which JSON may also write as a fraction, or 0 for none.

    :raises ValueError: for any other value.
    """
    if value is None:
        return 0
    whole = isinstance(value, float) and value.is_integer()
    return check_integer(int(value) if whole else value, low, high)


def _read_number(value: Any) -> float:
    return 0.0 if value is None else check_number(value, 0.0, MAX_INT64)


def decode_worker(worker_id: str, data: bytes) -> Result[WorkerEntry, EntryDecodeError]:
    """Decode a worker's entry and check its values, as any client of the store may write there.

    An entry without a field that every worker writes is not a worker's, also if the field is not
    used here. ``born`` may be missing, but not be malformed.
    """
    try:
        body = orjson.loads(data)
        host, port = _check_field(body, "address", check_address)
        entry = WorkerEntry(
            id=check_token(worker_id),
            service=_check_field(body, "service", check_name),
            host=host,
            port=port,
            data_centre=_check_field(body, "zone", check_name),
            slots=_check_field(body, "slots", lambda value: check_integer(value, 1, MAX_SLOTS)),
            draining=_check_field(body, "state", _check_state),
            started_ms=_check_field({"born": 0, **body}, "born", _check_count),
            sequence=_check_field(body, "sequence", _check_count),
        )
        _check_field(body, "version", check_name)
        _check_field(body, "coldLeftMs", lambda value: check_number(value, 0.0, MAX_INT64))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = describe_error(error)
        return Err(EntryDecodeError(f"entry of worker {worker_id!r} cannot be read: {reason}"))
    return Ok(entry)


def _check_field(body: Mapping[str, Any], field: str, check: Callable[[Any], Any]) -> Any:
    """Return a field as a check returns it.

    :raises ValueError: names the field that is not allowed; ``KeyError`` for a missing one.
    """
    try:
        return check(body[field])
    except ValueError as error:
        raise ValueError(f"{field}: {error}") from None


def _check_count(value: Any) -> int:
    return check_integer(value, 0, MAX_INT64)


def _check_state(value: Any) -> bool:
    if not isinstance(value, str) or value not in _DRAINING_BY_STATE:
        raise ValueError("not a state of workers")
    return _DRAINING_BY_STATE[value]
