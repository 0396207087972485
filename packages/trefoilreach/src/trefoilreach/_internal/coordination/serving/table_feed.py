"""Follows tables of the platform's store: one full read, then the feed of changes."""

import threading
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from typing import NamedTuple

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.freshness import StoreAnswer
from trefoilreach._internal.logs import describe_error, log_event
from trefoilreach._internal.state.rows import HistoryTruncated, RowStore, StoredRow
from trefoilreach._internal.state.table import StoreError

# The first retry follows soon after a failure, because many components need the store; the
# delay then doubles up to the limit.
_FIRST_RETRY_SECONDS = 0.1
_MAX_RETRY_SECONDS = 0.5
# After a row that a hook could not apply, all rows are read again in case the error was a passing
# one. The row may be there for days, so that this must cost few reads.
_REREAD_SECONDS = 5.0


class WatchedTable(NamedTuple):
    """A table to follow.

    :param parts: parts that the full read covers; the feed covers all parts of the table.
    :param long_poll_seconds: seconds for which the store holds a call open while there are no
        changes.
    :param pause_after_changes: returns the seconds to wait after changes, so that the next call
        gets several at once.
    :param unheld_call_interval: seconds after which one call is not held. The time of its answer
        is known best; the estimate for the held ones after it loses a hundredth of a second each
        second. None if all calls may be held.
    """

    table: str
    parts: Sequence[str]
    long_poll_seconds: float
    pause_after_changes: Callable[[], float] = lambda: 0.0
    unheld_call_interval: float | None = None


class FeedHooks(NamedTuple):
    """Callbacks of a :class:`FeedWatch`.

    After an error of one of the first two, the rows are applied again one by one, and those that
    raise it are left out. A row may therefore be applied twice.

    :param on_replaced: gets all rows after a full read, and whether the read follows a failure.
    :param on_changed: gets the changed rows.
    :param on_answered: called after each answer of the store.
    """

    on_replaced: Callable[[list[StoredRow], bool], None]
    on_changed: Callable[[list[StoredRow]], None]
    on_answered: Callable[[StoreAnswer], None] = lambda answer: None


class FeedWatch:
    """A thread that follows one table."""

    def __init__(
        self, clock: Clock, rows: RowStore, watched: WatchedTable, hooks: FeedHooks
    ) -> None:
        self._clock = clock
        self._rows = rows
        self._watched = watched
        self._hooks = hooks
        self._stop = threading.Event()
        self._failing_since: float | None = None
        self._answering_since: float | None = None
        self._version: int | None = None
        self._store_ms = 0.0
        self._held_seconds = 0.0
        self._unheld_call_at = float("-inf")
        self._reread_at = float("inf")

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing_since is not None

    @property
    def answering_seconds(self) -> float:
        """Seconds since the store first answered after the last failure; 0 while it fails."""
        since = self._answering_since
        return 0.0 if since is None else self._clock.now() - since

    def start(self, stack: ExitStack) -> None:
        """Follow the table until the exit stack closes."""
        stack.callback(self._stop.set)
        name = f"watch-{self._watched.table}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def _run(self) -> None:
        retry_delay = _FIRST_RETRY_SECONDS
        while not self._stop.is_set():
            try:
                error = self._call_store()
            except Exception as unexpected:
                # No error may end the feed; all rows are read again.
                reason = describe_error(unexpected)
                log_event("feed:error", table=self._watched.table, error=reason)
                error = StoreError(f"a change could not be applied: {reason}")
            if error is None:
                retry_delay = _FIRST_RETRY_SECONDS
                continue
            self._note_failure(error)
            self._clock.wait(self._stop, retry_delay)
            retry_delay = min(2 * retry_delay, _MAX_RETRY_SECONDS)

    def _call_store(self) -> StoreError | None:
        """Make one call to the store; return its error, if any."""
        called_at = self._clock.now()
        if self._version is None or called_at >= self._reread_at:
            error = self._read_all()
        else:
            error = self._read_changes(self._version)
        if isinstance(error, HistoryTruncated):
            log_event("store:history-gone", table=self._watched.table, version=self._version)
            self._version = None
            return None
        if error is None:
            answer = StoreAnswer(called_at, self._clock.now(), self._store_ms, self._held_seconds)
            self._hooks.on_answered(answer)
            self._note_answer()
        return error

    def _read_all(self) -> StoreError | None:
        rows: list[StoredRow] = []
        version: int | None = None
        for part in self._watched.parts:
            found = self._rows.read(self._watched.table, part)
            if isinstance(found, Err):
                return found.err_value
            rows += found.ok_value.rows
            # The feed starts at the version of the first part, so that it includes changes made
            # between the reads of two parts.
            if version is None:
                version = found.ok_value.version
                self._store_ms = found.ok_value.store_ms
        self._reread_at = float("inf")
        self._replace_rows(rows)
        self._version = version
        self._held_seconds = 0.0
        self._unheld_call_at = self._clock.now()
        return None

    def _read_changes(self, version: int) -> StoreError | None:
        hold_seconds = self._choose_hold()
        found = self._rows.poll_changes(self._watched.table, version, hold_seconds)
        if isinstance(found, Err):
            return found.err_value
        self._held_seconds = 0.0 if found.ok_value.rows else hold_seconds
        if found.ok_value.rows:
            self._change_rows(found.ok_value.rows)
            self._clock.wait(self._stop, self._watched.pause_after_changes())
        self._version = max(version, found.ok_value.version)
        self._store_ms = found.ok_value.store_ms
        return None

    def _replace_rows(self, rows: list[StoredRow]) -> None:
        """Apply the rows of a full read, without those that cannot be applied."""
        try:
            self._hooks.on_replaced(rows, self.failing)
        except Exception as error:
            self._note_row_error(error, "")
            sound = [row for row in rows if self._change_row(row)]
            self._hooks.on_replaced(sound, self.failing)

    def _change_rows(self, rows: list[StoredRow]) -> None:
        """Apply changed rows, without those that cannot be applied."""
        try:
            self._hooks.on_changed(rows)
        except Exception as error:
            self._note_row_error(error, "")
            for row in rows:
                self._change_row(row)

    def _change_row(self, row: StoredRow) -> bool:
        """Apply one changed row; return whether that was possible."""
        try:
            self._hooks.on_changed([row])
        except Exception as error:
            self._note_row_error(error, row.name.key)
            return False
        return True

    def _note_row_error(self, error: Exception, key: str) -> None:
        """Log the error of a hook and plan a full read.

        :param key: the row at fault; empty if it is not known yet.
        """
        log_event("feed:error", table=self._watched.table, key=key, error=describe_error(error))
        self._reread_at = min(self._reread_at, self._clock.now() + _REREAD_SECONDS)

    def _choose_hold(self) -> float:
        """Return for how many seconds the store may hold the next call."""
        now, interval = self._clock.now(), self._watched.unheld_call_interval
        if interval is None or now - self._unheld_call_at < interval:
            return self._watched.long_poll_seconds
        self._unheld_call_at = now
        return 0.0

    def _note_failure(self, error: StoreError) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            log_event("store:lost", table=self._watched.table, error=str(error))
        self._answering_since = None
        # Entries may expire while the store is unavailable, so all of them are read again.
        self._version = None

    def _note_answer(self) -> None:
        if self._answering_since is None:
            self._answering_since = self._clock.now()
        if self._failing_since is not None:
            seconds = self._clock.now() - self._failing_since
            self._failing_since = None
            log_event("store:regained", table=self._watched.table, after_seconds=seconds)
