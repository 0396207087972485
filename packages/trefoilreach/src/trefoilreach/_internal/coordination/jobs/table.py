"""What the platform's store has on batch jobs, and the rows that a daemon knows."""

import threading
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.records import (
    INPUT_TABLE,
    JOB_TABLE,
    PARTIAL_TABLE,
    PARTS,
    RESULT_TABLE,
    Item,
    ItemResult,
    JobRecord,
    JobRow,
    Partial,
    StoreTime,
    find_part,
    job_key,
    key_range,
    parse_items,
    read_job,
    read_partial,
    read_result,
    write_job,
)
from trefoilreach._internal.coordination.serving.watch import FeedHooks, FeedWatch, Watched
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.rows import BlobStore, Expectation, RowStore, StoredRow
from trefoilreach._internal.state.table import StoreError, StoreUnavailable

T = TypeVar("T")

STORE_RETRY_SECONDS = 1.0
_JOBS_WAIT_SECONDS = 2.0
# Each change of a job answers the feeds of all daemons. Together they ask at most this often,
# a thirtieth of the reads that the platforms of the users allow.
_FEED_CALLS_PER_SECOND = 200.0
# A job that has just been accepted waits this long at most for its owner to hear of it.
_LONGEST_FEED_PAUSE_SECONDS = 1.0
# What one read of results returns at most.
_READ_BYTES = 900_000


def find_feed_pause(daemons: int) -> float:
    """Return the seconds in which changes of jobs gather before a daemon asks for more.

    Load pattern: many batch jobs at once in a large fleet. The changes grow with the fleet, and
    so do the feeds that each of them answers: at 70 daemons, 640 calls a second.
    """
    return min(_LONGEST_FEED_PAUSE_SECONDS, daemons / _FEED_CALLS_PER_SECOND)


class JobPage(NamedTuple):
    """Results of a job from a position on."""

    total: int
    results: list[ItemResult]
    next: int


class Progress(NamedTuple):
    """What earlier owners of a job have done."""

    listed: list[ItemResult]
    partials: Mapping[str, Partial]


class JobTable:
    """Rows of jobs, followed by feed, and reads of what belongs to one job.

    :ivar changed: called with each row that is newer than the known one.
    :ivar live_daemons: number of daemons that follow the jobs.
    """

    def __init__(self, clock: Clock, rows: RowStore, blobs: BlobStore) -> None:
        self.store_clock = StoreTime(clock)
        self.changed: Callable[[JobRow], None] = lambda row: None
        self.live_daemons: Callable[[], int] = lambda: 1
        self.rows = rows
        self.blobs = blobs
        self._clock = clock
        self._lock = threading.RLock()
        self._known: dict[str, JobRow] = {}
        self._owner_changed_at: dict[str, float] = {}
        watched = Watched(
            JOB_TABLE,
            PARTS,
            _JOBS_WAIT_SECONDS,
            lambda: find_feed_pause(self.live_daemons()),
        )
        hooks = FeedHooks(self._replace, self._change)
        self._feed = FeedWatch(clock, rows, watched, hooks)

    @property
    def answering_seconds(self) -> float:
        """Seconds for which the store has answered this daemon without a failure."""
        return self._feed.answering_seconds

    def start(self, stack: ExitStack) -> None:
        """Follow the jobs until the exit stack closes."""
        self._feed.start(stack)

    def known(self) -> list[JobRow]:
        """Return the rows that this daemon knows."""
        with self._lock:
            return list(self._known.values())

    def get(self, job: str) -> JobRow | None:
        """Return the row of a job as it is known here."""
        return self._known.get(job)

    def owner_age(self, job: str) -> float:
        """Return the seconds since a job was seen to change its owner; infinite if never."""
        return self._clock.now() - self._owner_changed_at.get(job, float("-inf"))

    def learn(self, row: JobRow) -> None:
        """Take a row that is newer than the known one."""
        with self._lock:
            known = self._known.get(row.record.job)
            if known is not None and known.version >= row.version:
                return
            if known is not None and known.record.owner != row.record.owner:
                self._owner_changed_at[row.record.job] = self._clock.now()
            self._known[row.record.job] = row
        self.changed(row)

    def forget(self, job: str) -> None:
        """Drop a row that is known to be old."""
        with self._lock:
            self._known.pop(job, None)

    def find(self, job: str, account: str) -> JobRow:
        """Return a job's row, from the store when it is not known here.

        :raises Refusal: when there is none, or when the store does not answer.
        """
        row = self._known.get(job)
        if row is None or row.record.account != account:
            row = self.read_row(job, account)
        return row

    def read_row(self, job: str, account: str) -> JobRow:
        """Read a job's row.

        :raises Refusal: when there is none, or when the store does not answer.
        """
        name = job_key(job)
        snapshot = unwrap(self.rows.read(name.table, name.part, job, job + "\0"))
        rows = [read_job(stored) for stored in snapshot.rows]
        if not rows or rows[0].record.account != account:
            raise Refusal(404, "not_found", f"there is no job {job!r}")
        self.learn(rows[0])
        return rows[0]

    def read_page(self, row: JobRow, after: int) -> JobPage:
        """Read results from a position on.

        :raises Refusal: when the store does not answer.
        """
        job, total = row.record.job, row.record.total
        if after >= total:
            return JobPage(total, [], after)
        snapshot = unwrap(self.rows.read(RESULT_TABLE, find_part(job), *key_range(job, after)))
        self.store_clock.note(snapshot.store_ms)
        size = 0
        results: list[ItemResult] = []
        for stored in snapshot.rows:
            result = self._fill_output(read_result(stored))
            size += len(result.output or "")
            if results and size > _READ_BYTES:
                break
            results.append(result)
        return JobPage(total, results, after + len(results))

    def _fill_output(self, result: ItemResult) -> ItemResult:
        """Return a result with its output, which may be too large for a row."""
        if not result.output_blob:
            return result
        data = unwrap(self.blobs.get(result.output_blob))
        if data is None:
            # It was written before the row that names it.
            raise refuse_store(StoreUnavailable(f"object {result.output_blob!r} is missing"))
        return result._replace(output=data.decode())

    def load_items(self, record: JobRecord) -> Result[tuple[list[Item], int], StoreError]:
        """Return the items of a job and the size of its document in rows."""
        if record.input_blob:
            found = self.blobs.get(record.input_blob)
            return found.map(lambda data: (parse_items(data) if data else [], 0))
        key = key_range(record.job, width=3)
        read = self.rows.read(INPUT_TABLE, find_part(record.job), *key)
        if isinstance(read, Err):
            return read
        data = b"".join(stored.value for stored in read.ok_value.rows)
        return Ok((parse_items(data) if data else [], len(data)))

    def load_progress(self, job: str) -> Result[Progress, StoreError]:
        """Return what earlier owners of a job have done."""
        part = find_part(job)
        listed = self.rows.read(RESULT_TABLE, part, *key_range(job))
        begun = self.rows.read(PARTIAL_TABLE, part, f"{job}/", f"{job}/~")
        if isinstance(listed, Err):
            return listed
        if isinstance(begun, Err):
            return begun
        results = [read_result(stored) for stored in listed.ok_value.rows]
        partials = [read_partial(stored) for stored in begun.ok_value.rows]
        return Ok(Progress(results, {partial.id: partial for partial in partials}))

    def change(self, row: JobRow, record: JobRecord) -> Result[JobRow, StoreError]:
        """Write a job's row if it is still the given one."""
        expected = [Expectation(job_key(record.job), row.version)]
        outcome = self.rows.commit(expected, [write_job(record)])
        return outcome.map(lambda done: JobRow(record, done.version))

    def _replace(self, rows: list[StoredRow], regained: bool) -> None:
        self._change(rows)

    def _change(self, rows: list[StoredRow]) -> None:
        for stored in rows:
            if stored.deleted:
                self.forget(stored.name.key)
            else:
                self.learn(read_job(stored))


def refuse_store(error: StoreError) -> Refusal:
    """Return the refusal of a call that needs the store."""
    return Refusal(503, "store", str(error), retry_after=STORE_RETRY_SECONDS)


def unwrap(outcome: Result[T, StoreError]) -> T:
    """Return what the store answered.

    :raises Refusal: when it did not.
    """
    if isinstance(outcome, Err):
        raise refuse_store(outcome.err_value)
    return outcome.ok_value
