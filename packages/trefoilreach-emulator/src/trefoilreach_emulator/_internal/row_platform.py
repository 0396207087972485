"""Stand-in of the users' platform: rows with a feed, raw objects, and faults."""

import base64
import time
from collections.abc import Callable
from typing import Any

import orjson
from result import Err
from trefoilreach._internal.platform import names
from trefoilreach._internal.state.rows import (
    ConditionFailed,
    MemoryBlobs,
    MemoryRows,
    RowKey,
    RowPrecondition,
    RowWrite,
    StoredRow,
)

from trefoilreach_emulator._internal.server import Exchange

_MILLISECONDS = 1000.0
_FEED_STEP_SECONDS = 0.1


class RowPlatform:
    """Answers the calls of the platform's store.

    :ivar down: answers 503 and does nothing.
    :ivar silent: drops each call without an answer.
    :ivar hanging: keeps each call without an answer while it is set.
    :ivar lose_answers: how many of the next commits take effect without an answer.
    """

    def __init__(self) -> None:
        self.rows = MemoryRows()
        self.blobs = MemoryBlobs()
        self.down = False
        self.silent = False
        self.hanging = False
        self.lose_answers = 0
        self._calls: dict[str, Callable[[Exchange], None]] = {
            names.ROWS_READ: self._read,
            names.ROWS_COMMIT: self._commit,
            names.ROWS_FEED: self._feed,
        }

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a worker does; None deletes it."""
        data = None if value is None else orjson.dumps(value)
        self.rows.commit([], [RowWrite(RowKey(table, "", key), data)])

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        while self.hanging:
            time.sleep(_FEED_STEP_SECONDS)
        if self.silent:
            exchange.drop()
        elif self.down:
            exchange.reply({"error": "unavailable"}, 503)
        elif exchange.path in self._calls:
            self._calls[exchange.path](exchange)
        else:
            self._serve_blob(exchange)

    def _read(self, exchange: Exchange) -> None:
        query = exchange.query
        found = self.rows.read(
            query["table"], query.get("part", ""), query.get("from", ""), query.get("to", "")
        ).unwrap()
        rows = [_encode(row) for row in found.rows]
        exchange.reply({"rows": rows, "hasMore": False, "ver": found.version, "nowMs": _now_ms()})

    def _commit(self, exchange: Exchange) -> None:
        body = exchange.json()
        expected = [RowPrecondition(_name(row), row["ver"]) for row in body["expectRev"]]
        writes = [RowWrite(_name(row), base64.b64decode(row["value"])) for row in body["writes"]]
        writes += [RowWrite(_name(row), None) for row in body["delete"]]
        outcome = self.rows.commit(expected, writes)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            exchange.drop()
        elif isinstance(outcome, Err):
            assert isinstance(outcome.err_value, ConditionFailed)
            exchange.reply({"rows": [_encode(row) for row in outcome.err_value.rows]}, 412)
        else:
            exchange.reply({"ver": outcome.ok_value.version, "nowMs": _now_ms()})

    def _feed(self, exchange: Exchange) -> None:
        query = exchange.query
        end = time.monotonic() + int(query["waitMs"]) / _MILLISECONDS
        while True:
            found = self.rows.poll_changes(query["table"], int(query["after"]), _FEED_STEP_SECONDS)
            if self.down or self.silent:
                self.handle(exchange)
                return
            snapshot = found.unwrap()
            if snapshot.rows or time.monotonic() >= end:
                break
        rows = [_encode(row) for row in snapshot.rows]
        exchange.reply({"rows": rows, "ver": snapshot.version, "nowMs": _now_ms()})

    def _serve_blob(self, exchange: Exchange) -> None:
        name = exchange.path.rsplit("/", 1)[-1]
        if exchange.path.startswith(names.BLOB_PUT):
            written = self.blobs.put(name, exchange.body).unwrap()
            exchange.reply({}, 200 if written else 412)
        elif exchange.path.startswith(names.BLOB_GET):
            data = self.blobs.get(name).unwrap()
            exchange.reply(data or b"", 200 if data is not None else 404)
        elif exchange.path.startswith(names.BLOB_DROP):
            self.blobs.drop(name)
            exchange.reply({})
        else:
            exchange.reply({"error": "not found"}, 404)


def _name(row: dict[str, Any]) -> RowKey:
    return RowKey(row["table"], row.get("part", ""), row["key"])


def _encode(row: StoredRow) -> dict[str, Any]:
    encoded = {**row.name._asdict(), "ver": row.version}
    if row.deleted:
        encoded["tombstone"] = True
    else:
        encoded["value"] = base64.b64encode(row.value).decode()
    return encoded


def _now_ms() -> float:
    return time.monotonic() * _MILLISECONDS
