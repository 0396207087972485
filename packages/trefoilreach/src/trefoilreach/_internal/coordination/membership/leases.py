"""Leases with fencing numbers, kept in rows of the table service.

A row holds the holder, the fencing number and the lease duration, but no timestamp, so
that clocks of different VMs are never compared. A process that wants the lease takes it
over only after the row has not changed for the whole duration by its own clock.
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
    """A lease as seen by its holder.

    :param fencing_token: increases with each acquisition, never decreases.
    :param expires_at: expiry by the holder's clock, counted from before the write started.
    :param revision: revision of the row that granted it.
    """

    name: str
    fencing_token: int
    expires_at: float
    revision: int


class LeaseHeldError(Exception):
    """Another process holds the lease, or may still hold it."""


class _RowObservation(NamedTuple):
    revision: int
    since: float


class LeaseManager:
    """Acquires, renews and releases leases for one process.

    :param owner: name of the process in the rows; a random suffix makes it unique.
    :param seconds: lease duration.
    """

    def __init__(self, clock: Clock, table: TableService, owner: str, seconds: float) -> None:
        self._clock = clock
        self._table = table
        self._owner = f"{owner}/{uuid.uuid4().hex}"
        self._seconds = seconds
        self._observations: dict[str, _RowObservation] = {}

    def is_valid(self, lease: Lease, margin: float = 0.0) -> bool:
        """Return whether a lease stays valid for at least ``margin`` more seconds."""
        return self._clock.now() + margin < lease.expires_at

    def acquire(self, name: str) -> Result[Lease, LeaseHeldError | StoreError]:
        """Acquire a lease that is free, or whose row has not changed for its whole duration."""
        found = self._table.get(name)
        if isinstance(found, Err):
            return Err(found.err_value)
        row = found.ok_value
        if row is not None and row.value["holder"] and not self._is_expired(row):
            return Err(LeaseHeldError(f"lease {name!r} is held by {row.value['holder']!r}"))
        fencing = 1 if row is None else int(row.value["fencing"]) + 1
        return self._write(name, fencing, 0 if row is None else row.revision)

    def renew(self, lease: Lease) -> Result[Lease, LeaseHeldError | StoreError]:
        """Extend a lease that has not expired; an expired one must be acquired again."""
        if not self.is_valid(lease):
            return Err(LeaseHeldError(f"lease {lease.name!r} has ended"))
        return self._write(lease.name, lease.fencing_token, lease.revision)

    def release(self, lease: Lease) -> Result[None, StoreError]:
        """Release a lease that the caller no longer uses; the row keeps the fencing number."""
        value = self._make_value("", lease.fencing_token)
        done = self._table.commit([Write(lease.name, value, lease.revision)])
        return Ok(None) if isinstance(done, Ok) else Err(done.err_value)

    def _is_expired(self, row: Row) -> bool:
        now = self._clock.now()
        observation = self._observations.get(row.key)
        if observation is None or observation.revision != row.revision:
            self._observations[row.key] = observation = _RowObservation(row.revision, now)
        # The observation starts after the holder's write, so this wait ends after the lease does.
        return now - observation.since > float(row.value["seconds"]) * DRIFT_MARGIN

    def _write(
        self, name: str, fencing: int, revision: int
    ) -> Result[Lease, LeaseHeldError | StoreError]:
        started_at = self._clock.now()
        value = self._make_value(self._owner, fencing)
        done = self._table.commit([Write(name, value, revision)])
        if isinstance(done, Ok):
            return Ok(Lease(name, fencing, started_at + self._seconds, done.ok_value[0]))
        if isinstance(done.err_value, OutcomeUnknown):
            return self._read_back(name, value, started_at, done.err_value)
        return Err(done.err_value)

    def _read_back(
        self, name: str, value: dict[str, Any], started_at: float, error: StoreError
    ) -> Result[Lease, LeaseHeldError | StoreError]:
        found = self._table.get(name)
        if isinstance(found, Err):
            return Err(error)
        row = found.ok_value
        if row is None or row.value.get("writer") != value["writer"]:
            # A delayed write may still take effect. Then the row names this process, which does
            # not use the lease, and the lease expires and can be acquired again.
            return Err(error)
        return Ok(Lease(name, value["fencing"], started_at + self._seconds, row.revision))

    def _make_value(self, holder: str, fencing: int) -> dict[str, Any]:
        return {
            "holder": holder,
            "fencing": fencing,
            "seconds": self._seconds,
            "writer": uuid.uuid4().hex,
        }
