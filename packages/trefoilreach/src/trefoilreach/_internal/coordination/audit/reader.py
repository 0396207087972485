"""Reads audit records and batch items page by page for the monitor."""

from typing import Any, NamedTuple

import orjson
from result import Err

from trefoilreach._internal.coordination.audit.audit import SEGMENT_PREFIX
from trefoilreach._internal.coordination.batch.accept import build_store_refusal
from trefoilreach._internal.coordination.batch.input import decode_items
from trefoilreach._internal.protocol.verdict import (
    build_bad_request_refusal,
    build_unavailable_refusal,
)
from trefoilreach._internal.state.jobs import (
    CANCELLED,
    DONE,
    ChunkRecord,
    JobRecord,
    chunk_key,
    decode_chunk,
    decode_job,
    input_object,
)
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import TableService

_JOB_PREFIX = "job/"
_RECORDS = "records"
_ITEMS = "items"
_STORE_RETRY_SECONDS = 2.0


class Page(NamedTuple):
    """Records and the cursor of the next page, None if there is nothing more for now."""

    records: list[dict[str, Any]]
    cursor: str | None


class AuditReader:
    """Reads audit segments, batch jobs and their results; writes nothing.

    A page ends after the segment or chunk in which its limit was reached, so it may exceed it.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    def read(self, cursor: str, limit: int) -> Page:
        """Return one page: the records of all daemons come first, then all accepted batch items.

        :raises Refusal: 400 for a bad cursor, 503 when a store does not answer.
        """
        source, _, position = cursor.partition(":")
        if source in ("", _RECORDS):
            return self._read_records(position, limit)
        if source == _ITEMS:
            return self._read_items(position, limit)
        raise build_bad_request_refusal("'after' is no cursor of the audit", "after")

    def _read_records(self, after: str, limit: int) -> Page:
        names = self._objects.list(SEGMENT_PREFIX, after, limit)
        if isinstance(names, Err):
            raise build_store_refusal(names.err_value)
        records: list[dict[str, Any]] = []
        for name in names.ok_value:
            records += [orjson.loads(line) for line in self._read_object(name).splitlines()]
            if len(records) >= limit:
                return Page(records, f"{_RECORDS}:{name}")
        return Page(records, f"{_ITEMS}:")

    def _read_items(self, position: str, limit: int) -> Page:
        key, _, number = position.partition("|")
        first = int(number) if number.isdigit() else 0
        records: list[dict[str, Any]] = []
        while True:
            job = self._find_job(key, inclusive=bool(number))
            if job is None:
                return Page(records, None)
            key = f"{_JOB_PREFIX}{job.account}/{job.id}"
            for index in range(first, job.chunk_count):
                records += self._read_chunk(job, index)
                if len(records) >= limit:
                    return Page(records, f"{_ITEMS}:{key}|{index + 1}")
            first, number = 0, ""

    def _find_job(self, key: str, inclusive: bool) -> JobRecord | None:
        """Return the next job after a key; if ``inclusive``, the job with the key if it exists."""
        if inclusive:
            row = self._table.get(key)
            if isinstance(row, Err):
                raise build_store_refusal(row.err_value)
            if row.ok_value is not None:
                return decode_job(row.ok_value)
        rows = self._table.scan(_JOB_PREFIX, key, 1)
        if isinstance(rows, Err):
            raise build_store_refusal(rows.err_value)
        return decode_job(rows.ok_value[0]) if rows.ok_value else None

    def _read_chunk(self, job: JobRecord, index: int) -> list[dict[str, Any]]:
        row = self._table.get(chunk_key(job.id, index))
        if isinstance(row, Err):
            raise build_store_refusal(row.err_value)
        record = ChunkRecord("free") if row.ok_value is None else decode_chunk(row.ok_value)
        lines: dict[str, list[dict[str, Any]]] = {}
        if record.state == DONE and record.result:
            for text in self._read_object(record.result).splitlines():
                line = orjson.loads(text)
                lines.setdefault(line["custom_id"], []).append(line)
        items = decode_items(self._read_object(input_object(job.input_prefix, index)))
        return [
            _describe_item(job, item.custom_id, lines.get(item.custom_id, [])) for item in items
        ]

    def _read_object(self, name: str) -> bytes:
        found = self._objects.get(name)
        if isinstance(found, Err):
            raise build_store_refusal(found.err_value)
        if found.ok_value is None:
            raise build_unavailable_refusal(
                f"the object {name!r} cannot be read", _STORE_RETRY_SECONDS
            )
        return found.ok_value


def _describe_item(job: JobRecord, custom_id: str, lines: list[dict[str, Any]]) -> dict[str, Any]:
    outcome = "cancelled" if job.status == CANCELLED else "pending"
    if lines:
        outcome = "completed" if lines[0]["error"] is None else "failed"
    return {
        "kind": "accepted",
        "account": job.account,
        "batch": job.id,
        "custom_id": custom_id,
        "accepted_at": job.created,
        "outcome": outcome,
        "completions": [line["id"] for line in lines],
    }
