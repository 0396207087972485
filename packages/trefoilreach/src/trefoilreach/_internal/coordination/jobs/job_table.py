"""Reads and writes batch jobs in the platform's store, and caches their rows."""

import threading
from collections.abc import Callable, Iterable, Mapping
from contextlib import ExitStack
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.records import (
    INPUT_TABLE,
    JOB_TABLE,
    PARTIAL_TABLE,
    PARTS,
    Item,
    ItemResult,
    JobRecord,
    JobRow,
    JobTarget,
    Partial,
    job_key,
    job_write,
    parse_items,
    parse_job,
    parse_partial,
    parse_result,
    parse_target,
    read_job_rows,
    read_results,
    target_key,
)
from trefoilreach._internal.coordination.jobs.store_clock import StoreClock
from trefoilreach._internal.coordination.serving.freshness import StoreAnswer
from trefoilreach._internal.coordination.serving.table_feed import (
    FeedHooks,
    FeedWatch,
    WatchedTable,
)
from trefoilreach._internal.logs import describe_error, log_event
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.rows import (
    BlobStore,
    RowPrecondition,
    RowStore,
    StoredRow,
    read_one,
)
from trefoilreach._internal.state.table import StoreError, StoreUnavailable

T = TypeVar("T")

STORE_RETRY_SECONDS = 1.0
_FEED_WAIT_SECONDS = 2.0
# Each change of a job answers the pending feed calls of all daemons. This limits the feed calls of
# all daemons together, to a thirtieth of the reads that the users' platforms allow.
_MAX_FEED_CALLS_PER_SECOND = 200.0
# Longest wait of a call for the first read of all rows, well below the target of an acceptance.
_FIRST_READ_TIMEOUT_SECONDS = 0.2
# Longest time until the owner of a job that was just accepted reads its row from the feed.
_MAX_FEED_PAUSE_SECONDS = 1.0
# Most output data in one page of results.
_MAX_PAGE_BYTES = 900_000


def compute_feed_pause(daemons: int) -> float:
    """Return the seconds that a daemon waits between feed calls, so that changes accumulate.

    Load pattern: many batch jobs at once in a large fleet. Both the number of changes and the
    number of feed calls that each change answers grow with the fleet: without a pause, 70 daemons
    made 640 calls a second.
    """
    return min(_MAX_FEED_PAUSE_SECONDS, daemons / _MAX_FEED_CALLS_PER_SECOND)


class JobPage(NamedTuple):
    """Results of a job, starting at a position.

    :param total: number of items of the job.
    :param next: position after the last result of the page.
    """

    total: int
    results: list[ItemResult]
    next: int


class StoredProgress(NamedTuple):
    """Progress that earlier owners of a job have stored.

    :param listed: results listed so far, by position.
    :param partials: items that have started but are not listed, by item id.
    """

    listed: list[ItemResult]
    partials: Mapping[str, Partial]


class JobTable:
    """Cache of all job rows, kept current by a feed, and access to the data of one job.

    :ivar on_change: called with each row that is newer than the cached one.
    :ivar on_drop: called with each job whose row was deleted.
    :ivar count_live_daemons: returns the number of daemons that follow the feed.
    """

    def __init__(self, clock: Clock, rows: RowStore, blobs: BlobStore) -> None:
        self.store_clock = StoreClock(clock)
        self.on_change: Callable[[JobRow], None] = lambda row: None
        self.on_drop: Callable[[str], None] = lambda job: None
        self.count_live_daemons: Callable[[], int] = lambda: 1
        self.rows = rows
        self.blobs = blobs
        self._clock = clock
        self._lock = threading.RLock()
        self._known: dict[str, JobRow] = {}
        self._owner_changed_at: dict[str, float] = {}
        self._feed: FeedWatch | None = None
        self._complete = threading.Event()

    @property
    def answering_seconds(self) -> float:
        """Seconds for which the store has answered this daemon without a failure."""
        return 0.0 if self._feed is None else self._feed.answering_seconds

    @property
    def following(self) -> bool:
        """Whether this daemon follows the feed of jobs."""
        return self._feed is not None

    @property
    def complete(self) -> bool:
        """Whether all rows and the store's clock are known."""
        return self._complete.is_set()

    def wait_until_complete(self) -> bool:
        """As :attr:`complete`, after a short wait if the rows are being read."""
        timeout = 0.0 if self._feed is None else _FIRST_READ_TIMEOUT_SECONDS
        return self._clock.wait(self._complete, timeout)

    def start(self, stack: ExitStack) -> None:
        """Follow the feed of jobs until the exit stack closes; then forget all rows."""
        watched = WatchedTable(
            JOB_TABLE,
            PARTS,
            _FEED_WAIT_SECONDS,
            lambda: compute_feed_pause(self.count_live_daemons()),
        )
        hooks = FeedHooks(self._replace_rows, self.apply_stored_rows, self._note_answer)
        self._feed = FeedWatch(self._clock, self.rows, watched, hooks)
        stack.callback(self._forget_rows)
        self._feed.start(stack)

    def _forget_rows(self) -> None:
        with self._lock:
            self._feed = None
            self._complete.clear()
            self._known.clear()
            self._owner_changed_at.clear()

    def known_rows(self) -> list[JobRow]:
        """Return all cached rows."""
        with self._lock:
            return list(self._known.values())

    def get(self, job: str) -> JobRow | None:
        """Return the cached row of a job."""
        return self._known.get(job)

    def seconds_since_owner_change(self, job: str) -> float:
        """Return the seconds since this daemon saw a job change its owner; infinite if never."""
        return self._clock.now() - self._owner_changed_at.get(job, float("-inf"))

    def apply_row(self, row: JobRow) -> None:
        """Cache a row and call ``on_change``, unless the cached row is the same or newer."""
        with self._lock:
            known = self._known.get(row.record.job)
            if known is not None and known.version >= row.version:
                return
            if known is not None and known.record.owner != row.record.owner:
                self._owner_changed_at[row.record.job] = self._clock.now()
            self._known[row.record.job] = row
        self.on_change(row)

    def drop_row(self, job: str) -> None:
        """Remove the row of a deleted job from the cache."""
        with self._lock:
            self._known.pop(job, None)
            self._owner_changed_at.pop(job, None)
        self.on_drop(job)

    def find_row(self, job: str, account: str) -> JobRow:
        """Return a job's row, from the store when it is not cached.

        :raises Refusal: when the account has no such job, or when the store does not answer.
        """
        row = self._known.get(job)
        if row is None or row.record.account != account:
            row = self.read_row(job, account)
        return row

    def read_row(self, job: str, account: str) -> JobRow:
        """Read a job's row from the store.

        :raises Refusal: when the account has no such job, or when the store does not answer.
        """
        snapshot = unwrap_or_refuse(read_one(self.rows, job_key(job)))
        rows = unwrap_or_refuse(_parse_rows(snapshot.rows, parse_job))
        if not rows or rows[0].record.account != account:
            raise Refusal(404, "not_found", f"there is no job {job!r}")
        self.apply_row(rows[0])
        return rows[0]

    def read_page(self, row: JobRow, after: int) -> JobPage:
        """Read results, starting at position ``after``.

        :raises Refusal: when the store does not answer.
        """
        job, total = row.record.job, row.record.total
        if after >= total:
            return JobPage(total, [], after)
        asked_at = self._clock.now()
        snapshot = unwrap_or_refuse(read_results(self.rows, job, after))
        self.store_clock.update(snapshot.store_ms, asked_at)
        size = 0
        results: list[ItemResult] = []
        for found in unwrap_or_refuse(_parse_rows(snapshot.rows, parse_result)):
            result = self._fill_output(found)
            size += len(result.output or "")
            if results and size > _MAX_PAGE_BYTES:
                break
            results.append(result)
        return JobPage(total, results, after + len(results))

    def _fill_output(self, result: ItemResult) -> ItemResult:
        """Return a result with its output, read from the object that holds it if there is one.

        :raises Refusal: when the store does not answer or the object is missing.
        """
        if not result.output_blob:
            return result
        data = unwrap_or_refuse(self.blobs.get(result.output_blob))
        if data is None:
            # The object is written before the row that names it, so it should exist.
            raise store_refusal(StoreUnavailable(f"object {result.output_blob!r} is missing"))
        return result._replace(output=data.decode())

    def load_items(self, record: JobRecord) -> Result[tuple[list[Item], int], StoreError]:
        """Return the items of a job, and the bytes of its document that are stored in rows."""
        if record.input_blob:
            found = self.blobs.get(record.input_blob)
            return found.and_then(lambda data: _load_items(data or b"", 0))
        read = read_job_rows(self.rows, INPUT_TABLE, record.job)
        if isinstance(read, Err):
            return read
        data = b"".join(stored.value for stored in read.ok_value.rows)
        return _load_items(data, len(data))

    def load_target(self, job: str) -> Result[JobTarget | None, StoreError]:
        """Return the host and path that a job was submitted to; None if they are not stored."""
        read = read_one(self.rows, target_key(job))
        if isinstance(read, Err):
            return read
        for stored in read.ok_value.rows:
            try:
                return Ok(parse_target(stored))
            except ValueError as error:
                _log_undecodable(stored, error)
        return Ok(None)

    def load_progress(self, job: str) -> Result[StoredProgress, StoreError]:
        """Return the progress that earlier owners of a job have stored."""
        listed = read_results(self.rows, job)
        started = read_job_rows(self.rows, PARTIAL_TABLE, job)
        if isinstance(listed, Err):
            return listed
        if isinstance(started, Err):
            return started
        partials: dict[str, Partial] = {}
        for stored in started.ok_value.rows:
            try:
                partial = parse_partial(stored)
            except ValueError as error:
                # Without its events so far, the item runs from its start.
                _log_undecodable(stored, error)
            else:
                partials[partial.id] = partial
        results = _parse_rows(listed.ok_value.rows, parse_result)
        return results.map(lambda entries: StoredProgress(entries, partials))

    def write_row(self, row: JobRow, record: JobRecord) -> Result[JobRow, StoreError]:
        """Write a job's row, on condition that the stored one has not changed since ``row``."""
        expected = [RowPrecondition(job_key(record.job), row.version)]
        outcome = self.rows.commit(expected, [job_write(record)])
        return outcome.map(lambda done: JobRow(record, done.version))

    def _replace_rows(self, rows: list[StoredRow], regained: bool) -> None:
        self.apply_stored_rows(rows)

    def _note_answer(self, answer: StoreAnswer) -> None:
        # Later answers of this feed are noted after a pause; the desired state has a feed without.
        if not self.store_clock.known:
            self.store_clock.update(answer.store_ms, answer.asked_at, answer.answered_at)
        self._complete.set()

    def apply_stored_rows(self, rows: Iterable[StoredRow]) -> None:
        """Cache the jobs of rows; a malformed one changes nothing."""
        for stored in rows:
            if stored.deleted:
                self.drop_row(stored.name.key)
                continue
            try:
                row = parse_job(stored)
            except ValueError as error:
                _log_undecodable(stored, error)
            else:
                self.apply_row(row)


def _parse_rows(
    rows: Iterable[StoredRow], parse: Callable[[StoredRow], T]
) -> Result[list[T], StoreError]:
    """Parse rows that are all needed; a malformed one leaves unknown what was stored."""
    parsed: list[T] = []
    for stored in rows:
        try:
            parsed.append(parse(stored))
        except ValueError as error:
            _log_undecodable(stored, error)
            return Err(StoreUnavailable(f"row {stored.name.key!r} cannot be read"))
    return Ok(parsed)


def _load_items(data: bytes, size: int) -> Result[tuple[list[Item], int], StoreError]:
    try:
        return Ok((parse_items(data) if data else [], size))
    except ValueError as error:
        return Err(StoreUnavailable(str(error)))


def _log_undecodable(stored: StoredRow, error: ValueError) -> None:
    log_event(
        "job:undecodable",
        table=stored.name.table,
        key=stored.name.key,
        error=describe_error(error),
    )


def store_refusal(error: StoreError) -> Refusal:
    """Return the refusal for a call that failed because of the store."""
    return Refusal(503, "store", str(error), retry_after=STORE_RETRY_SECONDS)


def unwrap_or_refuse(outcome: Result[T, StoreError]) -> T:
    """Return the store's answer.

    :raises Refusal: when the call of the store failed.
    """
    if isinstance(outcome, Err):
        raise store_refusal(outcome.err_value)
    return outcome.ok_value
