"""Decodes the operator's desired state and the workers' registrations from the store."""

from collections.abc import Mapping
from typing import Any

import orjson
from result import Err, Ok, Result

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
_WORKER_STATES = {"ready", "draining"}
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
    """Decode a worker's entry and check its values, as any client of the store may write there."""
    try:
        body = orjson.loads(data)
        host, port = body["address"].rsplit(":", 1)
        entry = WorkerEntry(
            id=worker_id,
            service=_require_string(body["service"]),
            host=_require_string(host),
            port=int(port),
            data_centre=_require_string(body.get("zone") or ""),
            slots=int(body["slots"]),
            draining=body["state"] == "draining",
            started_ms=int(body.get("born") or 0),
            sequence=int(body.get("sequence") or 0),
        )
        if body["state"] not in _WORKER_STATES or entry.slots < 1 or not 0 < entry.port < 65536:
            return Err(EntryDecodeError(f"entry of worker {worker_id!r} has a value out of range"))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(EntryDecodeError(f"entry of worker {worker_id!r} cannot be read: {error!r}"))
    return Ok(entry)


def _require_string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value
