"""Interface of the platform's store: versioned rows with a change feed, and raw objects."""

import threading
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from trefoilreach._internal.state.table import StoreError


class RowKey(NamedTuple):
    """Name of a row; each part of a table runs one transaction at a time."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """One row.

    :param version: number of the transaction that wrote it, increasing over the whole store.
    :param deleted: whether this is the tombstone of a deleted row.
    """

    name: RowKey
    value: bytes
    version: int
    deleted: bool = False


class RowWrite(NamedTuple):
    """One write of a transaction; ``value`` None deletes the row."""

    name: RowKey
    value: bytes | None


class RowPrecondition(NamedTuple):
    """Precondition of a transaction: the version that a row must have, 0 for no such row."""

    name: RowKey
    version: int


class Snapshot(NamedTuple):
    """Rows of a consistent read, or the changes of a feed.

    :param version: newest version of the store at the time of the read.
    :param store_ms: the store's monotonic clock at the time of the read, in ms.
    """

    rows: list[StoredRow]
    version: int
    store_ms: float


class Committed(NamedTuple):
    """Result of an applied transaction; fields as in :class:`Snapshot`."""

    version: int
    store_ms: float


class ConditionFailed(StoreError):
    """A precondition did not hold; nothing was written.

    :param rows: current state of the existing rows that the preconditions name.
    """

    def __init__(self, rows: list[StoredRow]) -> None:
        super().__init__("a row has another version than expected")
        self.rows = rows


class HistoryTruncated(StoreError):
    """The feed no longer holds all changes since the requested version."""


class RowStore(Protocol):
    """Row interface of the platform's store."""

    def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Result[Snapshot, StoreError]:
        """Read the rows of a part with ``start`` <= key < ``end``, in key order."""

    def commit(
        self, expected: Sequence[RowPrecondition], writes: Sequence[RowWrite]
    ) -> Result[Committed, StoreError]:
        """Apply all writes or none; the error is :class:`ConditionFailed` on a conflict."""

    def poll_changes(self, table: str, after: int, wait: float) -> Result[Snapshot, StoreError]:
        """Return the changes of a table after a version, waiting up to ``wait`` seconds."""


def read_one(store: RowStore, name: RowKey) -> Result[Snapshot, StoreError]:
    """Read the row with a key, if there is one."""
    return store.read(name.table, name.part, name.key, name.key + "\0")


class BlobStore(Protocol):
    """Raw object interface of the platform's store."""

    def put(self, name: str, data: bytes) -> Result[bool, StoreError]:
        """Write an object unless it exists; return whether it was written."""

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object; None when it does not exist."""

    def drop(self, name: str) -> Result[None, StoreError]:
        """Delete an object; a missing one is no error."""


class MemoryRows:
    """Row store in memory, for tests and emulators."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._rows: dict[RowKey, StoredRow] = {}
        self._history: list[StoredRow] = []
        self._version = 0

    def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Result[Snapshot, StoreError]:
        """Read the rows of a part."""
        with self._changed:
            found = sorted(
                row
                for name, row in self._rows.items()
                if name.table == table
                and name.part == part
                and name.key >= start
                and (not end or name.key < end)
            )
            return Ok(Snapshot(found, self._version, 0.0))

    def commit(
        self, expected: Sequence[RowPrecondition], writes: Sequence[RowWrite]
    ) -> Result[Committed, StoreError]:
        """Apply all writes or none."""
        with self._changed:
            current = [self._rows.get(entry.name) for entry in expected]
            versions = [row.version if row else 0 for row in current]
            if versions != [entry.version for entry in expected]:
                return Err(ConditionFailed([row for row in current if row]))
            self._version += 1
            for write in writes:
                is_deleted = write.value is None
                row = StoredRow(write.name, write.value or b"", self._version, is_deleted)
                self._history.append(row)
                if is_deleted:
                    self._rows.pop(write.name, None)
                else:
                    self._rows[write.name] = row
            self._changed.notify_all()
            return Ok(Committed(self._version, 0.0))

    def poll_changes(self, table: str, after: int, wait: float) -> Result[Snapshot, StoreError]:
        """Return the changes of a table after a version."""

        def changes() -> list[StoredRow]:
            return [r for r in self._history if r.version > after and r.name.table == table]

        with self._changed:
            self._changed.wait_for(lambda: bool(changes()), wait)
            return Ok(Snapshot(changes(), self._version, 0.0))


class MemoryBlobs:
    """Object store in memory, for tests and emulators."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._objects: dict[str, bytes] = {}

    def put(self, name: str, data: bytes) -> Result[bool, StoreError]:
        """Write an object unless it exists."""
        with self._lock:
            written = name not in self._objects
            self._objects.setdefault(name, data)
            return Ok(written)

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object."""
        with self._lock:
            return Ok(self._objects.get(name))

    def drop(self, name: str) -> Result[None, StoreError]:
        """Delete an object."""
        with self._lock:
            self._objects.pop(name, None)
        return Ok(None)
