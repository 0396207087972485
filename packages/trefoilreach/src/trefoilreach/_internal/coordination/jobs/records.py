"""Rows of batch jobs in the platform's store.

All rows of one job are in one part, so that each change of it is one transaction:

- ``jobs``: one row for each job, which names its owner;
- ``inputs``: the submitted document, in pieces that fit in a row;
- ``results``: one row for each result, whose key ends in its position;
- ``partials``: one row for each item that has begun, with the events so far, from which the
  next owner of the job goes on.
"""

import base64
from typing import Any, NamedTuple

import orjson
import xxhash

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.state.rows import RowKey, RowWrite, StoredRow

JOB_TABLE = "jobs"
INPUT_TABLE = "inputs"
RESULT_TABLE = "results"
PARTIAL_TABLE = "partials"
# A part takes 300 transactions a second; eight carry 2,400 results a second.
PARTS = tuple(f"p{number}" for number in range(8))
# A row holds 65,536 bytes in base64.
PIECE_BYTES = 45_000
# A call holds 1 MB, that is 16 pieces in base64 with room for the other rows.
_MOST_PIECES = 16
INPUT_BYTES_IN_ROWS = _MOST_PIECES * PIECE_BYTES
OPEN, ENDED, DONE = "open", "ended", "done"
_MILLISECONDS = 1000.0


class JobRecord(NamedTuple):
    """One job as its row has it.

    :param owner: daemon process that runs it.
    :param total: number of items.
    :param tokens: tokens of all items.
    :param accepted_ms: by the store's clock.
    :param input_blob: object with the document, empty when it is in rows.
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


class Item(NamedTuple):
    """One item of a job."""

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class Partial(NamedTuple):
    """What an item has so far.

    :param last_event: number of its last event; None without events.
    :param output: data of its events, joined like a whole output.
    :param failures: runs that the worker said had failed.
    """

    id: str
    last_event: int | None
    output: str
    failures: int


class ItemResult(NamedTuple):
    """Outcome of an item.

    :param output: None for an item that was given up.
    :param output_blob: object with an output that does not fit in a row.
    """

    id: str
    output: str | None
    output_blob: str = ""


class StoreTime:
    """The store's clock, as estimated from its answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = 0.0

    def note(self, store_ms: float) -> None:
        """Take the clock of an answer that has just come."""
        if store_ms:
            self._offset = store_ms - self._clock.now() * _MILLISECONDS

    def now_ms(self) -> float:
        """Return the store's clock."""
        return self._clock.now() * _MILLISECONDS + self._offset

    def to_local(self, store_ms: float) -> float:
        """Return a time of the store's clock by the daemon's."""
        return (store_ms - self._offset) / _MILLISECONDS


def find_part(job: str) -> str:
    """Return the part of a job's rows."""
    return PARTS[xxhash.xxh32_intdigest(job.encode()) % len(PARTS)]


def job_key(job: str) -> RowKey:
    """Return the name of a job's row."""
    return RowKey(JOB_TABLE, find_part(job), job)


def result_key(job: str, position: int) -> RowKey:
    """Return the name of a result's row."""
    return RowKey(RESULT_TABLE, find_part(job), f"{job}/{position:06d}")


def input_key(job: str, number: int) -> RowKey:
    """Return the name of a piece of the input."""
    return RowKey(INPUT_TABLE, find_part(job), f"{job}/{number:03d}")


def key_range(job: str, start: int = 0, width: int = 6) -> tuple[str, str]:
    """Return the first key of a job's rows from a number on, and the end of the range."""
    return f"{job}/{start:0{width}d}", f"{job}/~"


def write_job(record: JobRecord) -> RowWrite:
    """Return the write of a job's row."""
    return RowWrite(job_key(record.job), orjson.dumps(record._asdict()))


def read_job(row: StoredRow) -> JobRow:
    """Return the job of a row."""
    return JobRow(JobRecord(**orjson.loads(row.value)), row.version)


def write_result(job: str, position: int, result: ItemResult) -> RowWrite:
    """Return the write of a result."""
    return RowWrite(result_key(job, position), orjson.dumps(result._asdict()))


def read_result(row: StoredRow) -> ItemResult:
    """Return the result of a row."""
    return ItemResult(**orjson.loads(row.value))


def partial_key(job: str, item: str) -> RowKey:
    """Return the name of the row of an item that has begun."""
    return RowKey(PARTIAL_TABLE, find_part(job), f"{job}/{item}")


def write_partial(job: str, partial: Partial) -> RowWrite:
    """Return the write of an item's events so far."""
    return RowWrite(partial_key(job, partial.id), orjson.dumps(partial._asdict()))


def read_partial(row: StoredRow) -> Partial:
    """Return the events of a row."""
    return Partial(**orjson.loads(row.value))


def write_input(job: str, data: bytes) -> list[RowWrite]:
    """Return the writes of a document that fits in rows."""
    pieces = [data[at : at + PIECE_BYTES] for at in range(0, len(data), PIECE_BYTES)]
    return [RowWrite(input_key(job, number), piece) for number, piece in enumerate(pieces)]


def drop_input(job: str, size: int) -> list[RowWrite]:
    """Return the deletion of a document of a size in bytes."""
    count = -(-size // PIECE_BYTES)
    return [RowWrite(input_key(job, number), None) for number in range(count)]


def parse_items(data: bytes) -> list[Item]:
    """Return the items of a submitted document.

    :raises ValueError: when it is not one.
    """
    try:
        body = orjson.loads(data)
        return [_parse_item(entry) for entry in body["items"]]
    except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError) as error:
        raise ValueError(f"the items cannot be read: {error!r}") from error


def _parse_item(entry: dict[str, Any]) -> Item:
    return Item(
        id=str(entry["id"]),
        target=str(entry["path"]),
        headers=tuple((str(k), str(v)) for k, v in (entry.get("headers") or {}).items()),
        body=base64.b64decode(entry.get("body") or ""),
        tokens=int(entry.get("tokenCount") or 0),
    )
