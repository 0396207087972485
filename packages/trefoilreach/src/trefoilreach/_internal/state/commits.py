"""Conditional commits whose unknown outcomes are resolved by reading back."""

from collections.abc import Sequence

from result import Err, Ok, Result

from trefoilreach._internal.state.table import (
    OutcomeUnknown,
    RevisionConflict,
    StoreError,
    StoreUnavailable,
    TableService,
    Write,
)

_ATTEMPTS = 3


def commit_checked(table: TableService, writes: Sequence[Write]) -> Result[int, StoreError]:
    """Commit conditional writes; return the revision of the first row.

    The first write carries a unique ``writer``. It may be passed again after an unknown
    outcome, as every write is conditional and the writer tells whether it took effect.
    """
    unknown: StoreError | None = None
    for _ in range(_ATTEMPTS):
        done = table.commit(writes)
        if isinstance(done, Ok):
            return Ok(done.ok_value[0])
        error = done.err_value
        if isinstance(error, StoreUnavailable):
            return Err(unknown or error)
        own = _read_own(table, writes[0])
        if isinstance(own, Err):
            return Err(unknown or error if isinstance(error, OutcomeUnknown) else own.err_value)
        if own.ok_value is not None:
            return Ok(own.ok_value)
        if isinstance(error, RevisionConflict):
            return Err(error)
        # The lost write can still take effect after the read; its condition then
        # makes the repeated one conflict.
        unknown = error
    return Err(unknown or StoreUnavailable("the table service does not answer"))


def _read_own(table: TableService, write: Write) -> Result[int | None, StoreError]:
    found = table.get(write.key)
    if isinstance(found, Err):
        return Err(found.err_value)
    row = found.ok_value
    if row is None or write.value is None or row.value.get("writer") != write.value["writer"]:
        return Ok(None)
    return Ok(row.revision)
