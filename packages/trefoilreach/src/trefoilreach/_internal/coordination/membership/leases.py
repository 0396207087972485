"""Leases with fencing numbers, kept in rows of the table service.

A row names the holder, the fencing number and how long the lease lasts, but no time of
day: whoever wants the lease watches the row by its own clock and takes it over only
after the row has not changed for the whole duration.
"""

import uuid
from typing import Any, NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import DRIFT_MARGIN, Clock
from trefoilreach._internal.state.table import (
    OutcomeUnknown,
    Row,
    StoreError,
    TableService,
    Write,
)


class Lease(NamedTuple):
    """A lease as its holder knows it.

    :param fencing: grows with each change of the holder, never falls.
    :param ends: time of the holder's clock, counted from before the write.
    :param revision: revision of the row that granted it.
    """

    name: str
    fencing: int
    ends: float
    revision: int


class LeaseHeldError(Exception):
    """Another process holds the lease, or may still hold it."""


class _Watch(NamedTuple):
    revision: int
    since: float


class Leases:
    """Leases of one process.

    :param owner: name of the process in the rows.
    :param seconds: duration of a lease.
    """

    def __init__(self, clock: Clock, table: TableService, owner: str, seconds: float) -> None:
        self._clock = clock
        self._table = table
        self._owner = f"{owner}/{uuid.uuid4().hex}"
        self._seconds = seconds
        self._watches: dict[str, _Watch] = {}

    def is_valid(self, lease: Lease, margin: float = 0.0) -> bool:
        """Return whether a lease lasts for ``margin`` seconds more by the clock now."""
        return self._clock.now() + margin < lease.ends

    def acquire(self, name: str) -> Result[Lease, LeaseHeldError | StoreError]:
        """Take a lease that is free, or whose row rested for its whole duration."""
        found = self._table.get(name)
        if isinstance(found, Err):
            return Err(found.err_value)
        row = found.ok_value
        if row is not None and row.value["holder"] and not self._has_rested(row):
            return Err(LeaseHeldError(f"lease {name!r} is held by {row.value['holder']!r}"))
        fencing = 1 if row is None else int(row.value["fencing"]) + 1
        return self._write(name, fencing, 0 if row is None else row.revision)

    def renew(self, lease: Lease) -> Result[Lease, LeaseHeldError | StoreError]:
        """Extend a lease that has not ended; the holder of an ended one must acquire it again."""
        if not self.is_valid(lease):
            return Err(LeaseHeldError(f"lease {lease.name!r} has ended"))
        return self._write(lease.name, lease.fencing, lease.revision)

    def release(self, lease: Lease) -> Result[None, StoreError]:
        """Give a lease up; the caller has stopped using it. The fencing number stays."""
        value = self._make_value("", lease.fencing)
        done = self._table.commit([Write(lease.name, value, lease.revision)])
        return Ok(None) if isinstance(done, Ok) else Err(done.err_value)

    def _has_rested(self, row: Row) -> bool:
        now = self._clock.now()
        watch = self._watches.get(row.key)
        if watch is None or watch.revision != row.revision:
            self._watches[row.key] = watch = _Watch(row.revision, now)
        # The watch began after the holder wrote, so it ends after the holder's lease.
        return now - watch.since > float(row.value["seconds"]) * DRIFT_MARGIN

    def _write(
        self, name: str, fencing: int, revision: int
    ) -> Result[Lease, LeaseHeldError | StoreError]:
        began = self._clock.now()
        value = self._make_value(self._owner, fencing)
        done = self._table.commit([Write(name, value, revision)])
        if isinstance(done, Ok):
            return Ok(Lease(name, fencing, began + self._seconds, done.ok_value[0]))
        if isinstance(done.err_value, OutcomeUnknown):
            return self._read_back(name, value, began, done.err_value)
        return Err(done.err_value)

    def _read_back(
        self, name: str, value: dict[str, Any], began: float, error: StoreError
    ) -> Result[Lease, LeaseHeldError | StoreError]:
        found = self._table.get(name)
        if isinstance(found, Err):
            return Err(error)
        row = found.ok_value
        if row is None or row.value.get("writer") != value["writer"]:
            # A late write may still take effect; then this process holds a lease it does not
            # use, and the row rests until someone takes it over.
            return Err(error)
        return Ok(Lease(name, value["fencing"], began + self._seconds, row.revision))

    def _make_value(self, holder: str, fencing: int) -> dict[str, Any]:
        return {
            "holder": holder,
            "fencing": fencing,
            "seconds": self._seconds,
            "writer": uuid.uuid4().hex,
        }
