"""HTTP client of the platform's store: rows, change feed and raw objects."""

import base64
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import orjson
from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.logs import describe_error, log_event
from trefoilreach._internal.platform import names
from trefoilreach._internal.protocol.completeness import Framing
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.rows import (
    Committed,
    ConditionFailed,
    HistoryTruncated,
    RowKey,
    RowPrecondition,
    RowWrite,
    Snapshot,
    StoredRow,
)
from trefoilreach._internal.state.table import OutcomeUnknown, StoreError, StoreUnavailable
from trefoilreach._internal.transport.http_client import HttpFailure, HttpPool

# A healthy store answers in 4 ms and a slow one in about 250 ms; a timeout means an outage.
READ_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 1.5
_CONNECT_TIMEOUT_SECONDS = 0.5
_STATUS_OK = 200
_STATUS_CONDITION_FAILED = 412
_STATUS_HISTORY_GONE = 410
_STATUS_NOT_FOUND = 404
# Status codes with which the store states that it has applied nothing.
_NOT_APPLIED_STATUSES = {403, 413, 429, 503, 507}


class _Reply(NamedTuple):
    status: int
    data: bytes
    framing: Framing


class StoreClient:
    """Sends calls to the store; connections are reused until a call fails."""

    def __init__(self, host: str, port: int, clock: Clock) -> None:
        self._pool = HttpPool(host, port, clock, _CONNECT_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def call(
        self,
        method: str,
        path: str,
        data: bytes = b"",
        timeout: float = READ_TIMEOUT_SECONDS,
        headers: dict[str, str] | None = None,
    ) -> Result[_Reply, StoreError]:
        """Send one call.

        The error is :class:`StoreUnavailable` when the call took no effect, and
        :class:`OutcomeUnknown` when it may have taken effect.
        """
        try:
            exchange = self._pool.request(method, path, data, headers, timeout)
            try:
                reply = _Reply(exchange.status, exchange.read(), exchange.framing)
            finally:
                exchange.close()
        except HttpFailure as failure:
            # What broke this connection may have broken the idle ones too.
            self._pool.drop_idle()
            if failure.verdict is Verdict.NOT_RUN:
                return Err(StoreUnavailable(str(failure)))
            return Err(OutcomeUnknown(str(failure)))
        if reply.status in _NOT_APPLIED_STATUSES:
            return Err(StoreUnavailable(f"the store answered {reply.status} to {method} {path}"))
        if reply.status >= 500:
            return Err(OutcomeUnknown(f"the store answered {reply.status} to {method} {path}"))
        return Ok(reply)


class PlatformRows:
    """Rows of the platform's store."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Result[Snapshot, StoreError]:
        """Read the rows of a part, with one call for each page of the answer."""
        rows: list[StoredRow] = []
        while True:
            query = {"table": table, "part": part, "from": start, "to": end}
            path = f"{names.ROWS_READ}?{urlencode({k: v for k, v in query.items() if v})}"
            body = _decode(self._client.call("GET", path), f"rows of {table!r}")
            if isinstance(body, Err):
                return body
            found = body.ok_value
            rows += [_decode_row(row) for row in found["rows"]]
            if not found.get("hasMore"):
                return Ok(Snapshot(rows, found["ver"], found.get("nowMs", 0.0)))
            # The smallest key above the last one in byte order.
            start = rows[-1].name.key + "\0"

    def commit(
        self, expected: Sequence[RowPrecondition], writes: Sequence[RowWrite]
    ) -> Result[Committed, StoreError]:
        """Apply all writes or none."""
        data = orjson.dumps(
            {
                "expectRev": [{**e.name._asdict(), "ver": e.version} for e in expected],
                "writes": [
                    {**w.name._asdict(), "value": base64.b64encode(w.value).decode()}
                    for w in writes
                    if w.value is not None
                ],
                "delete": [w.name._asdict() for w in writes if w.value is None],
            }
        )
        headers = {"Content-Type": "application/json"}
        reply = self._client.call("POST", names.ROWS_COMMIT, data, WRITE_TIMEOUT_SECONDS, headers)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status == _STATUS_CONDITION_FAILED:
            body = orjson.loads(reply.ok_value.data)
            rows = [_decode_row(row) for row in body.get("rows", ())]
            return Err(ConditionFailed([row for row in rows if row.version]))
        body = _decode(reply, "transaction")
        return body.map(lambda found: Committed(found["ver"], found.get("nowMs", 0.0)))

    def poll_changes(self, table: str, after: int, wait: float) -> Result[Snapshot, StoreError]:
        """Wait for changes of a table after a version (long poll) and return them."""
        query = urlencode({"table": table, "after": after, "waitMs": int(wait * 1000)})
        path = f"{names.ROWS_FEED}?{query}"
        reply = self._client.call("GET", path, timeout=wait + READ_TIMEOUT_SECONDS)
        if isinstance(reply, Ok) and reply.ok_value.status == _STATUS_HISTORY_GONE:
            return Err(HistoryTruncated(f"history of {table!r} after {after} is gone"))
        body = _decode(reply, f"feed of {table!r}")
        return body.map(
            lambda found: Snapshot(
                [_decode_row(row) for row in found["rows"]],
                found["ver"],
                found.get("nowMs", 0.0),
            )
        )


class PlatformBlobs:
    """Raw objects of the platform's store."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    def put(self, name: str, data: bytes) -> Result[bool, StoreError]:
        """Write an object unless it exists."""
        path = names.BLOB_PUT + quote(name, safe="")
        headers = {"If-None-Match": "*"}
        reply = self._client.call("PUT", path, data, WRITE_TIMEOUT_SECONDS, headers)
        if isinstance(reply, Err):
            return reply
        status = reply.ok_value.status
        if status in (_STATUS_OK, 201, 204):
            return Ok(True)
        if status == _STATUS_CONDITION_FAILED:
            return Ok(False)
        return Err(OutcomeUnknown(f"the store answered {status} to the write of an object"))

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object."""
        reply = self._client.call("GET", names.BLOB_GET + quote(name, safe=""))
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status == _STATUS_NOT_FOUND:
            return Ok(None)
        if reply.ok_value.status != _STATUS_OK:
            message = f"the store answered {reply.ok_value.status} to the read of an object"
            return Err(StoreUnavailable(message))
        if reply.ok_value.framing is Framing.CONNECTION:
            return Err(StoreUnavailable("the store's answer with an object states no length"))
        return Ok(reply.ok_value.data)

    def drop(self, name: str) -> Result[None, StoreError]:
        """Delete an object."""
        return self._client.call("DELETE", names.BLOB_DROP + quote(name, safe="")).map(
            lambda _: None
        )


def _decode(reply: Result[_Reply, StoreError], subject: str) -> Result[Any, StoreError]:
    """Decode the JSON body of an answer with status 200."""
    if isinstance(reply, Err):
        return reply
    if reply.ok_value.status != _STATUS_OK:
        return Err(StoreUnavailable(f"the store answered {reply.ok_value.status} for {subject}"))
    try:
        return Ok(orjson.loads(reply.ok_value.data))
    except orjson.JSONDecodeError as error:
        return Err(OutcomeUnknown(f"the store's answer for {subject} cannot be read: {error}"))


def _decode_row(row: dict[str, Any]) -> StoredRow:
    name = RowKey(row["table"], row.get("part", ""), row["key"])
    try:
        value = base64.b64decode(row.get("value") or "")
    except (TypeError, ValueError) as error:
        # One such value must not hide the other rows. No value that can be read is empty.
        log_event("row:undecodable", table=name.table, key=name.key, error=describe_error(error))
        value = b""
    return StoredRow(name, value, row.get("ver", 0), bool(row.get("tombstone")))
