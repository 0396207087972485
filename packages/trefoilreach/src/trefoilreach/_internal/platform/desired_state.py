"""Decodes the operator's desired state and the workers' registrations from the store."""

from collections.abc import Callable, Mapping
from typing import Any

import orjson
from result import Err, Ok, Result

from trefoilreach._internal.logs import describe_error
from trefoilreach._internal.protocol.checked_values import (
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


class EntryDecodeError(ValueError):
    """An entry of the store that is malformed or has a value out of range."""


def decode_desired_state(data: bytes) -> Result[DesiredState, EntryDecodeError]:
    """Decode the JSON document of a desired state."""
    try:
        body = orjson.loads(data)
        limits = body.get("limits") or {}
        state = DesiredState(
            version=int(body["version"]),
            routes=tuple(_decode_route(route) for route in body.get("routes") or ()),
            accounts=tuple(_decode_account(entry) for entry in body.get("tenants") or ()),
            limits=RequestLimits(int(limits.get("maxBodyBytes") or RequestLimits().body_bytes)),
            document=data,
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(EntryDecodeError(f"desired state cannot be read: {error!r}"))
    return Ok(state)


def _decode_route(route: Mapping[str, Any]) -> ServingRoute:
    split = route.get("trafficSplit")
    services = (
        tuple(WeightedService(part["service"], float(part["weight"])) for part in split)
        if split
        else (WeightedService(route["service"], 1.0),)
    )
    return ServingRoute(
        name=route["name"],
        host=route["host"],
        path_prefix=route["pathPrefix"],
        kind=_ROUTE_KINDS[route["kind"]],
        services=services,
        max_runs=max(1, int(route.get("attempts") or 1)),
        resumable=bool(route.get("resumable")),
        open_to_all=bool(route.get("public")),
        priority=int(route.get("priority") or 0),
        target_seconds=_read_seconds(route, "targetLatencyMs"),
        timeout_seconds=_read_seconds(route, "timeoutMs"),
        event_gap_target_seconds=_read_seconds(route, "gapAimMs"),
        results_target_seconds=_read_seconds(route, "runAimMs"),
        abandon_after_seconds=float(route.get("keepS") or 0.0),
        waiting_token_limit=int(route.get("cap") or 0),
    )


def _read_seconds(route: Mapping[str, Any], field: str) -> float:
    return float(route.get(field) or 0.0) / _MILLISECONDS_PER_SECOND


def _decode_account(entry: Mapping[str, Any]) -> ServingAccount:
    priority = entry.get("priority")
    return ServingAccount(
        name=entry["name"],
        keys=frozenset(entry.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
        rate=float(entry.get("ratePerS") or 0.0),
        burst=float(entry.get("burst") or 0.0),
    )


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
        )
        _check_field(body, "version", check_name)
        _check_field(body, "sequence", _check_count)
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
