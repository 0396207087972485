"""Decodes the operator's desired state and the entries of the workers."""

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

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
    "batch": RouteKind.BATCH,
}
_STATES = {"ready", "draining"}
_MILLISECONDS = 1000.0


class Undecodable(ValueError):
    """An entry that names nothing that can be used."""


def decode_desired_state(data: bytes) -> Result[DesiredState, Undecodable]:
    """Decode a whole desired state."""
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
        return Err(Undecodable(f"desired state cannot be read: {error!r}"))
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
        kind=_KINDS[route["kind"]],
        services=services,
        max_runs=max(1, int(route.get("attempts") or 1)),
        resumable=bool(route.get("resumable")),
        open_to_all=bool(route.get("public")),
        priority=int(route.get("priority") or 0),
        target_seconds=_seconds(route, "targetLatencyMs"),
        timeout_seconds=_seconds(route, "timeoutMs"),
        stall_seconds=_seconds(route, "gapAimMs"),
        due_seconds=_seconds(route, "runAimMs"),
        keep_seconds=float(route.get("keepS") or 0.0),
        waiting_token_limit=int(route.get("cap") or 0),
    )


def _seconds(route: Mapping[str, Any], field: str) -> float:
    return float(route.get(field) or 0.0) / _MILLISECONDS


def _decode_account(entry: Mapping[str, Any]) -> ServingAccount:
    priority = entry.get("priority")
    return ServingAccount(
        name=entry["name"],
        keys=frozenset(entry.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
        rate=float(entry.get("ratePerS") or 0.0),
        burst=float(entry.get("burst") or 0.0),
    )


def decode_worker(worker_id: str, data: bytes) -> Result[WorkerEntry, Undecodable]:
    """Decode a worker's entry; another writer may have left anything there."""
    try:
        body = orjson.loads(data)
        host, port = body["address"].rsplit(":", 1)
        entry = WorkerEntry(
            id=worker_id,
            service=_text(body["service"]),
            host=_text(host),
            port=int(port),
            data_centre=_text(body.get("zone") or ""),
            slots=int(body["slots"]),
            draining=body["state"] == "draining",
            started_ms=int(body.get("born") or 0),
        )
        if body["state"] not in _STATES or entry.slots < 1 or not 0 < entry.port < 65536:
            return Err(Undecodable(f"entry of worker {worker_id!r} has a value out of range"))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(Undecodable(f"entry of worker {worker_id!r} cannot be read: {error!r}"))
    return Ok(entry)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value
