"""Rows of suspects in the table service.

Fields of a row:

- ``poison``: whether the request is refused everywhere;
- ``trial`` and ``server``: name and worker of the trial that runs it now; ``trial`` is empty
  if none does;
- ``crashes``: worker processes that died while the request was in flight;
- ``accused``: the one of ``crashes`` on which the request was the trial, until it is decided
  whether it or a request that ran concurrently was at fault.
"""

import uuid
from collections.abc import Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.state.commits import commit_checked
from trefoilreach._internal.state.table import (
    RevisionConflict,
    Row,
    StoreError,
    TableService,
    Write,
)

SUSPECT_PREFIX = "suspect/"
TRIAL_LEASE_PREFIX = "trial/"
_ROW_TTL_SECONDS = 3600.0
_MAX_CRASHES = 8
_MAX_WRITE_ATTEMPTS = 4


class Finding(NamedTuple):
    """What one daemon knows about a request that was in flight when a worker died.

    :param crash: the worker's process; empty when it is not known.
    :param accused: whether the request was the trial, and others may have run concurrently.
    """

    poison: bool
    crash: str = ""
    accused: bool = False


def get_row_fingerprint(row: Row) -> str:
    """Return the fingerprint of the request that a row describes."""
    return row.key[len(SUSPECT_PREFIX) :]


class SuspectRows:
    """Reads and changes rows of suspects."""

    def __init__(self, clock: Clock, table: TableService) -> None:
        self._clock = clock
        self._table = table

    def get(self, fingerprint: str) -> Result[Row | None, StoreError]:
        """Return the row of a request."""
        return self._table.get(SUSPECT_PREFIX + fingerprint)

    def read_all(self) -> list[Row] | None:
        """Return every row, or None when the table cannot be read."""
        rows: list[Row] = []
        while True:
            page = self._table.scan(SUSPECT_PREFIX, rows[-1].key if rows else "")
            if isinstance(page, Err):
                return None
            if not page.ok_value:
                return rows
            rows += page.ok_value

    def delete_expired(self, rows: Sequence[Row]) -> None:
        """Delete expired rows."""
        cutoff = self._clock.wall_time() - _ROW_TTL_SECONDS
        for row in rows:
            if row.value["wall_time"] < cutoff:
                self._table.commit([Write(row.key, None, row.revision)])

    def record(self, fingerprint: str, finding: Finding) -> bool:
        """Merge a finding into the row of a request; return whether the row contains it."""
        for _ in range(_MAX_WRITE_ATTEMPTS):
            found = self.get(fingerprint)
            if isinstance(found, Err):
                return False
            row = found.ok_value
            value = self._merge(None if row is None else row.value, finding)
            if row is not None and value == row.value:
                return True
            done = self.change(SUSPECT_PREFIX + fingerprint, value, row)
            if isinstance(done, Ok):
                return True
            if not isinstance(done.err_value, RevisionConflict):
                return False
        return False

    def change(self, key: str, value: dict[str, Any], row: Row | None) -> Result[int, StoreError]:
        """Write a row; release the lease on the trial's worker if the new value names no trial."""
        value = {**value, "writer": uuid.uuid4().hex}
        writes = [Write(key, value, 0 if row is None else row.revision)]
        if row is not None and row.value["trial"] and not value["trial"]:
            writes.append(Write(TRIAL_LEASE_PREFIX + row.value["server"], None, None))
        return commit_checked(self._table, writes)

    def _merge(self, value: dict[str, Any] | None, finding: Finding) -> dict[str, Any]:
        merged: dict[str, Any] = {
            "poison": False,
            "trial": "",
            "server": "",
            "accused": "",
            "crashes": [],
            "wall_time": self._clock.wall_time(),
            **(value or {}),
        }
        if finding.crash and finding.crash not in merged["crashes"]:
            merged["crashes"] = [*merged["crashes"], finding.crash][-_MAX_CRASHES:]
        if not merged["poison"] and (finding.poison or finding.accused):
            merged |= {"trial": "", "poison": finding.poison}
            merged["accused"] = finding.crash if finding.accused else ""
        return merged
