"""Interface of the platform's table service: rows with revisions, conditional transactions."""

import threading
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

import orjson
from result import Err, Ok, Result
from sortedcontainers import SortedDict

from trefoilreach._internal.registry import Registry


class StoreError(Exception):
    """A call to a store failed."""


class StoreUnavailable(StoreError):
    """The store is unavailable; a write did not take effect."""


class OutcomeUnknown(StoreError):
    """The store's answer was lost; a write may have taken effect."""


class RevisionConflict(StoreError):
    """A condition of a write did not hold; nothing was written.

    :param key: key of the row whose condition failed.
    """

    def __init__(self, key: str) -> None:
        super().__init__(f"row {key!r} has another revision than expected")
        self.key = key


class Row(NamedTuple):
    """One row; the revision starts at 1 and increases by 1 with each write."""

    key: str
    value: dict[str, Any]
    revision: int


class Write(NamedTuple):
    """One write of a transaction.

    ``value`` None deletes the row. ``expected`` None writes without a condition,
    0 requires that the row does not exist, n requires revision n.
    """

    key: str
    value: dict[str, Any] | None
    expected: int | None


class TableService(Protocol):
    """Rows ordered by key, with transactions."""

    def get(self, key: str) -> Result[Row | None, StoreError]:
        """Read one row; None when it does not exist."""

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """Read up to ``limit`` rows whose keys have ``prefix`` and sort after ``after``."""

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """Apply all writes or none; return the new revisions (0 for a deleted row)."""


table_services: Registry[Callable[..., TableService]] = Registry("table service")


@table_services.register("memory")
class MemoryTable:
    """Table service in memory, for a single daemon and for tests."""

    def __init__(self, url: str = "", timeout: float = 0.0) -> None:
        self._lock = threading.Lock()
        # Values are stored encoded, so that callers never share a mutable value.
        self._rows: SortedDict = SortedDict()

    def get(self, key: str) -> Result[Row | None, StoreError]:
        """Read one row."""
        with self._lock:
            stored = self._rows.get(key)
        return Ok(None if stored is None else _decode_row(key, stored))

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """Read rows by prefix, in key order."""
        rows: list[Row] = []
        with self._lock:
            for key in self._rows.irange(minimum=max(prefix, after)):
                if not key.startswith(prefix) or len(rows) >= limit:
                    break
                if key > after:
                    rows.append(_decode_row(key, self._rows[key]))
        return Ok(rows)

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """Apply all writes or none."""
        encoded = [None if write.value is None else orjson.dumps(write.value) for write in writes]
        with self._lock:
            for write in writes:
                if write.expected is not None and write.expected != self._revision(write.key):
                    return Err(RevisionConflict(write.key))
            return Ok(
                [self._apply(write.key, data) for write, data in zip(writes, encoded, strict=True)]
            )

    def _revision(self, key: str) -> int:
        stored = self._rows.get(key)
        return 0 if stored is None else stored[1]

    def _apply(self, key: str, data: bytes | None) -> int:
        if data is None:
            self._rows.pop(key, None)
            return 0
        revision = self._revision(key) + 1
        self._rows[key] = (data, revision)
        return revision


def _decode_row(key: str, stored: tuple[bytes, int]) -> Row:
    return Row(key, orjson.loads(stored[0]), stored[1])
