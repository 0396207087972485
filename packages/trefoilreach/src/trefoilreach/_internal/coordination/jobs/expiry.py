"""Removes finished jobs from the store once their results need not be kept any longer.

Load pattern: jobs come all day, some with long outputs in objects. Nothing in the store expires by
itself, and it takes no more objects once it is full. One daemon removes a job, which rendezvous
hashing selects among those that live, so that a job whose owner is lost is removed too.
"""

from collections.abc import Callable, Iterator, Sequence

from result import Err, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.job_table import JobTable
from trefoilreach._internal.coordination.jobs.records import (
    INPUT_TABLE,
    OPEN,
    PARTIAL_TABLE,
    RESULT_TABLE,
    JobRow,
    job_key,
    parse_result,
    read_job_rows,
    target_key,
)
from trefoilreach._internal.logs import describe_error, log_event
from trefoilreach._internal.state.rows import RowPrecondition, RowWrite, StoredRow
from trefoilreach._internal.state.table import StoreError

# A job's time of acceptance is an estimate, which a slow answer of the store makes too early. The
# slowest stores answer in 0.3 s, and an acceptance may be repeated for 3 s.
_EXPIRY_MARGIN_SECONDS = 5.0
# All daemons together; a quarter of the calls for objects that the users' platforms allow.
_MAX_DROPS_PER_SECOND = 20.0
# The store limits a call to 100 entries.
_MAX_DELETIONS_PER_CALL = 90


class ExpiredJobRemover:
    """Removes finished jobs with all their rows and objects.

    :param keep_seconds: time from a job's acceptance for which its results are kept.
    """

    def __init__(self, clock: Clock, table: JobTable, keep_seconds: float) -> None:
        self._clock = clock
        self._table = table
        self._keep_seconds = keep_seconds

    def remove_expired(self, may_remove: Callable[[str], bool]) -> None:
        """Remove expired jobs one after the other, until the store refuses a call.

        :param may_remove: returns whether this daemon removes a job.
        """
        for row in self._list_expired():
            if not may_remove(row.record.job):
                continue
            removed = self._remove(row)
            if isinstance(removed, Err):
                # The rows of the job remain until all else is gone, so that it is found again.
                error = str(removed.err_value)
                log_event("job:not-removed", job=row.record.job, error=error)
                return

    def _list_expired(self) -> Iterator[JobRow]:
        if not self._table.complete:
            return
        accepted_by = self._clock.now() - self._keep_seconds - _EXPIRY_MARGIN_SECONDS
        for row in self._table.known_rows():
            accepted_at = self._table.store_clock.latest_local(row.record.accepted_ms)
            if row.record.state != OPEN and accepted_at < accepted_by:
                yield row

    def _remove(self, row: JobRow) -> Result[object, StoreError]:
        """Remove the objects of a job, then its other rows, then its own."""
        job = row.record.job
        found: list[StoredRow] = []
        for table in (RESULT_TABLE, PARTIAL_TABLE, INPUT_TABLE):
            read = read_job_rows(self._table.rows, table, job)
            if isinstance(read, Err):
                return read
            found += read.ok_value.rows
        objects = [name for name in (*_list_objects(found), row.record.input_blob) if name]
        for name in objects:
            dropped = self._table.blobs.drop(name)
            if isinstance(dropped, Err):
                return dropped
            self._clock.sleep(self._table.count_live_daemons() / _MAX_DROPS_PER_SECOND)
        for start in range(0, len(found), _MAX_DELETIONS_PER_CALL):
            some = found[start : start + _MAX_DELETIONS_PER_CALL]
            deleted = self._table.rows.commit([], [RowWrite(entry.name, None) for entry in some])
            if isinstance(deleted, Err):
                return deleted
        key = job_key(job)
        outcome = self._table.rows.commit(
            [RowPrecondition(key, row.version)],
            [RowWrite(key, None), RowWrite(target_key(job), None)],
        )
        if not isinstance(outcome, Err):
            self._table.drop_row(job)
            log_event("job:removed", job=job, rows=len(found) + 2, objects=len(objects))
        return outcome


def _list_objects(rows: Sequence[StoredRow]) -> list[str]:
    """Return the names of the objects that results name; empty ones for outputs in rows."""
    names: list[str] = []
    for row in rows:
        if row.name.table != RESULT_TABLE:
            continue
        try:
            names.append(parse_result(row).output_blob)
        except ValueError as error:
            log_event("job:undecodable", key=row.name.key, error=describe_error(error))
    return names
