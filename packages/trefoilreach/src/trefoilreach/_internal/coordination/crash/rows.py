"""Rows of suspects in the table service.

``poison``: the request is refused everywhere. ``trial`` and ``server``: the trial that
runs it now. ``crashes``: worker processes that died while it was in flight. ``accused``:
the one of them on which it was the trial, until it is decided whether it or a request
that ran beside it was at fault.
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

PREFIX = "suspect/"
TRIAL_PREFIX = "trial/"
_ROW_LIFE_SECONDS = 3600.0
_CRASHES_KEPT = 8
_ATTEMPTS = 4


class Finding(NamedTuple):
    """What one daemon found of a request when a worker died.

    :param crash: the worker's process; empty when it is not known.
    :param accused: whether the request was the trial, with others perhaps beside it.
    """

    poison: bool
    crash: str = ""
    accused: bool = False


def find_row_fingerprint(row: Row) -> str:
    """Return the fingerprint that a row is about."""
    return row.key[len(PREFIX) :]


class SuspectRows:
    """Reads and changes rows of suspects."""

    def __init__(self, clock: Clock, table: TableService) -> None:
        self._clock = clock
        self._table = table

    def get(self, fingerprint: str) -> Result[Row | None, StoreError]:
        """Return the row of a request."""
        return self._table.get(PREFIX + fingerprint)

    def read_all(self) -> list[Row] | None:
        """Return every row, or None when the table gives no answer."""
        rows: list[Row] = []
        while True:
            page = self._table.scan(PREFIX, rows[-1].key if rows else "")
            if isinstance(page, Err):
                return None
            if not page.ok_value:
                return rows
            rows += page.ok_value

    def drop_old(self, rows: Sequence[Row]) -> None:
        """Delete rows after their time."""
        limit = self._clock.wall_time() - _ROW_LIFE_SECONDS
        for row in rows:
            if row.value["wall_time"] < limit:
                self._table.commit([Write(row.key, None, row.revision)])

    def record(self, fingerprint: str, finding: Finding) -> bool:
        """Merge a finding into its row; return whether the row has it."""
        for _ in range(_ATTEMPTS):
            found = self.get(fingerprint)
            if isinstance(found, Err):
                return False
            row = found.ok_value
            value = self._merge(None if row is None else row.value, finding)
            if row is not None and value == row.value:
                return True
            done = self.change(PREFIX + fingerprint, value, row)
            if isinstance(done, Ok):
                return True
            if not isinstance(done.err_value, RevisionConflict):
                return False
        return False

    def change(self, key: str, value: dict[str, Any], row: Row | None) -> Result[int, StoreError]:
        """Write a row; a trial that the new value does not name gives its worker back."""
        value = {**value, "writer": uuid.uuid4().hex}
        writes = [Write(key, value, 0 if row is None else row.revision)]
        if row is not None and row.value["trial"] and not value["trial"]:
            writes.append(Write(TRIAL_PREFIX + row.value["server"], None, None))
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
            merged["crashes"] = [*merged["crashes"], finding.crash][-_CRASHES_KEPT:]
        if not merged["poison"] and (finding.poison or finding.accused):
            merged |= {"trial": "", "poison": finding.poison}
            merged["accused"] = finding.crash if finding.accused else ""
        return merged
