"""Rows of batch jobs in the platform's store.

All rows of one job are in one part of their tables, so that one transaction can change them all:

- ``jobs``: one row for each job, which names its owner;
- ``targets``: one row for each job, with the host and path that it was submitted to;
- ``inputs``: the submitted document, split into pieces that fit in a row;
- ``results``: one row for each result; the key ends in the position of the result;
- ``partials``: one row for each item that has started, with the events received so far, so that
  the next owner of the job can resume after them.

Callers choose the ids of jobs freely. The key of each row of a job but its own is the job's id, a
slash and a name without one, so that no row counts for two jobs. The range of keys of the job "r"
holds those of the job "r/1" too, which :func:`read_job_rows` leaves out.
"""

import base64
from typing import Any, NamedTuple

import orjson
import xxhash
from result import Result

from trefoilreach._internal.coordination.jobs.ids import digest_texts
from trefoilreach._internal.logs import describe_error
from trefoilreach._internal.protocol.checked_values import (
    MAX_INT32,
    MAX_INT64,
    check_integer,
    check_number,
)
from trefoilreach._internal.state.rows import RowKey, RowStore, RowWrite, Snapshot, StoredRow
from trefoilreach._internal.state.table import StoreError

JOB_TABLE = "jobs"
# Builds before 2026-12-07 refuse a job's row with fields that they do not know.
TARGET_TABLE = "targets"
INPUT_TABLE = "inputs"
RESULT_TABLE = "results"
PARTIAL_TABLE = "partials"
# The store commits 300 transactions a second in each part: 2,400 results a second in eight.
PARTS = tuple(f"p{number}" for number in range(8))
# Most data in one row: the store limits a row to 65,536 bytes after encoding in base64.
MAX_ROW_DATA_BYTES = 45_000
# The store limits a call to 1 MB: 16 pieces in base64, with space left for the other rows.
_MAX_INPUT_PIECES = 16
MAX_INPUT_BYTES_IN_ROWS = _MAX_INPUT_PIECES * MAX_ROW_DATA_BYTES
# The store takes keys of 200 bytes; the longest one has a slash and a digest of 40 characters.
MAX_JOB_ID_BYTES = 159
OPEN, ENDED, DONE = "open", "ended", "done"


class JobRecord(NamedTuple):
    """A job as it is stored in its row.

    :param owner: daemon process that runs the job (``vm/incarnation``); empty when none does.
    :param total: number of items.
    :param tokens: tokens of all items.
    :param accepted_ms: time of acceptance by the store's clock.
    :param input_blob: name of the object with the document; empty when the document is in rows.
    """

    job: str
    account: str
    route: str
    owner: str
    state: str
    total: int
    tokens: int
    accepted_ms: float
    input_blob: str = ""


class JobRow(NamedTuple):
    """A job with the version of its row."""

    record: JobRecord
    version: int


class JobTarget(NamedTuple):
    """Host and path that a job was submitted to, by which its route is found."""

    host: str
    path: str


class Item(NamedTuple):
    """One item of a job."""

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class Partial(NamedTuple):
    """Progress of an item that is not complete.

    :param last_event: id of the last event received; None when there is none.
    :param output: data of all events received, joined in the same way as a complete output.
    :param failures: number of runs that a worker reported as failed.
    """

    id: str
    last_event: int | None
    output: str
    failures: int


class ItemResult(NamedTuple):
    """Outcome of an item.

    :param output: complete output; None for an item that was given up.
    :param output_blob: name of the object that holds an output too large for a row.
    """

    id: str
    output: str | None
    output_blob: str = ""


_RECORD_BY_TABLE: dict[str, Any] = {
    JOB_TABLE: JobRecord,
    TARGET_TABLE: JobTarget,
    RESULT_TABLE: ItemResult,
    PARTIAL_TABLE: Partial,
}


def find_part(job: str) -> str:
    """Return the part that holds all rows of a job."""
    return PARTS[xxhash.xxh32_intdigest(job.encode()) % len(PARTS)]


def fits_in_row(output: str) -> bool:
    """Return whether an output fits in a row; in JSON, quotes and line feeds take two bytes."""
    return len(orjson.dumps(output)) <= MAX_ROW_DATA_BYTES


def job_key(job: str) -> RowKey:
    """Return the key of a job's row."""
    return RowKey(JOB_TABLE, find_part(job), job)


def result_key(job: str, position: int) -> RowKey:
    """Return the key of the row of a result."""
    return RowKey(RESULT_TABLE, find_part(job), f"{job}/{_name_position(position)}")


def input_key(job: str, number: int) -> RowKey:
    """Return the key of the row of one piece of the input."""
    return RowKey(INPUT_TABLE, find_part(job), f"{job}/{number:03d}")


def is_key_of(job: str, key: str) -> bool:
    """Return whether a key in the range of a job's rows is that of a row of this job."""
    return key.startswith(f"{job}/") and "/" not in key[len(job) + 1 :]


def read_job_rows(
    store: RowStore, table: str, job: str, first: str = ""
) -> Result[Snapshot, StoreError]:
    """Read the rows of a job in one of the tables that have several of them.

    :param first: name of the first row, which follows the job's id and the slash in its key.
    """
    read = store.read(table, find_part(job), f"{job}/{first}", f"{job}/~")
    return read.map(
        lambda found: found._replace(
            rows=[row for row in found.rows if is_key_of(job, row.name.key)]
        )
    )


def read_results(store: RowStore, job: str, start: int = 0) -> Result[Snapshot, StoreError]:
    """Read the rows of a job's results from a position on."""
    return read_job_rows(store, RESULT_TABLE, job, _name_position(start))


def _name_position(position: int) -> str:
    return f"{position:06d}"


def job_write(record: JobRecord) -> RowWrite:
    """Return the row write that stores a job."""
    return RowWrite(job_key(record.job), orjson.dumps(record._asdict()))


def parse_job(row: StoredRow) -> JobRow:
    """Return the job that a row holds.

    :raises ValueError: when the row is malformed, or its key is not that of the job.
    """
    record = JobRecord(**_load_fields(row))
    _check_texts(record.job, record.account, record.route, record.owner, record.input_blob)
    check_integer(record.total, 0, MAX_INT32)
    check_integer(record.tokens, 0, MAX_INT64)
    check_number(record.accepted_ms, -MAX_INT64, MAX_INT64)
    if record.state not in (OPEN, ENDED, DONE):
        raise ValueError("not a state of jobs")
    # The cached rows are found by the job, so a row under another key would replace the job's own.
    if row.name != job_key(record.job):
        raise ValueError("the key is not that of the job")
    return JobRow(record, row.version)


def target_key(job: str) -> RowKey:
    """Return the key of the row with the host and path that a job was submitted to."""
    return RowKey(TARGET_TABLE, find_part(job), job)


def target_write(job: str, target: JobTarget) -> RowWrite:
    """Return the row write that stores the host and path that a job was submitted to."""
    return RowWrite(target_key(job), orjson.dumps(target._asdict()))


def parse_target(row: StoredRow) -> JobTarget:
    """Return the host and path that a row holds.

    :raises ValueError: when the row is malformed.
    """
    target = JobTarget(**_load_fields(row))
    _check_texts(*target)
    return target


def result_write(job: str, position: int, result: ItemResult) -> RowWrite:
    """Return the row write that stores a result at a position."""
    return RowWrite(result_key(job, position), orjson.dumps(result._asdict()))


def parse_result(row: StoredRow) -> ItemResult:
    """Return the result that a row holds.

    :raises ValueError: when the row is malformed.
    """
    result = ItemResult(**_load_fields(row))
    _check_texts(result.id, result.output_blob, "" if result.output is None else result.output)
    return result


def partial_key(job: str, item: str) -> RowKey:
    """Return the key of the row with an item's events so far."""
    return RowKey(PARTIAL_TABLE, find_part(job), f"{job}/{digest_texts(item)}")


def partial_write(job: str, partial: Partial) -> RowWrite:
    """Return the row write that stores an item's events so far."""
    return RowWrite(partial_key(job, partial.id), orjson.dumps(partial._asdict()))


def parse_partial(row: StoredRow) -> Partial:
    """Return the events so far that a row holds.

    :raises ValueError: when the row is malformed.
    """
    partial = Partial(**_load_fields(row))
    _check_texts(partial.id, partial.output)
    check_integer(0 if partial.last_event is None else partial.last_event, 0, MAX_INT64)
    check_integer(partial.failures, 0, MAX_INT32)
    return partial


def _load_fields(row: StoredRow) -> dict[str, Any]:
    """Return the fields of a row.

    :raises ValueError: when the row holds no object, or one without fields that records need.
    """
    fields = orjson.loads(row.value)
    kind = _RECORD_BY_TABLE[row.name.table]
    required = set(kind._fields) - set(kind._field_defaults)
    if not isinstance(fields, dict) or not required <= fields.keys() <= set(kind._fields):
        raise ValueError(f"not the fields of {kind.__name__}")
    return fields


def _check_texts(*values: Any) -> None:
    if not all(isinstance(value, str) for value in values):
        raise ValueError("not a text")


def input_writes(job: str, data: bytes) -> list[RowWrite]:
    """Return the row writes that store a document in pieces."""
    pieces = [data[at : at + MAX_ROW_DATA_BYTES] for at in range(0, len(data), MAX_ROW_DATA_BYTES)]
    return [RowWrite(input_key(job, number), piece) for number, piece in enumerate(pieces)]


def input_deletions(job: str, size: int) -> list[RowWrite]:
    """Return the row writes that delete a document of ``size`` bytes."""
    count = -(-size // MAX_ROW_DATA_BYTES)
    return [RowWrite(input_key(job, number), None) for number in range(count)]


def parse_items(data: bytes) -> list[Item]:
    """Return the items of a submitted document.

    :raises ValueError: when the document is malformed.
    """
    try:
        body = orjson.loads(data)
        return [_parse_item(entry) for entry in body["items"]]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"the items cannot be read: {describe_error(error)}") from error


def _parse_item(entry: dict[str, Any]) -> Item:
    return Item(
        id=_parse_text(entry["id"]),
        target=_parse_text(entry["path"]),
        headers=tuple((k, _parse_text(v)) for k, v in (entry.get("headers") or {}).items()),
        body=base64.b64decode(entry.get("body") or ""),
        tokens=check_integer(entry.get("tokenCount") or 0, 0, MAX_INT32),
    )


def _parse_text(value: Any) -> str:
    if not isinstance(value, str | int | float):
        raise ValueError("not a text or a number")
    return str(value)
