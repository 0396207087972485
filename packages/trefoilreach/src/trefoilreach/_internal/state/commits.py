"""Conditional commits that resolve an unknown outcome by reading the row back."""

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

_MAX_COMMIT_ATTEMPTS = 3


def commit_checked(table: TableService, writes: Sequence[Write]) -> Result[int, StoreError]:
    """Commit conditional writes and return the new revision of the first row.

    The value of the first write must hold a unique ``writer``. A caller may pass the same
    writes again after an unknown outcome: every write must be conditional, and the writer in
    the stored row shows whether an earlier attempt took effect.
    """
    unknown: StoreError | None = None
    for _ in range(_MAX_COMMIT_ATTEMPTS):
        outcome = table.commit(writes)
        if isinstance(outcome, Ok):
            return Ok(outcome.ok_value[0])
        error = outcome.err_value
        if isinstance(error, StoreUnavailable):
            return Err(unknown or error)
        own_revision = _read_own_revision(table, writes[0])
        if isinstance(own_revision, Err):
            return Err(
                unknown or error if isinstance(error, OutcomeUnknown) else own_revision.err_value
            )
        if own_revision.ok_value is not None:
            return Ok(own_revision.ok_value)
        if isinstance(error, RevisionConflict):
            return Err(error)
        # The write whose answer was lost can still take effect after this read. The
        # condition of the next attempt then fails, so that it is applied only once.
        unknown = error
    return Err(unknown or StoreUnavailable("the table service does not answer"))


def _read_own_revision(table: TableService, write: Write) -> Result[int | None, StoreError]:
    found = table.get(write.key)
    if isinstance(found, Err):
        return Err(found.err_value)
    row = found.ok_value
    if row is None or write.value is None or row.value.get("writer") != write.value["writer"]:
        return Ok(None)
    return Ok(row.revision)
