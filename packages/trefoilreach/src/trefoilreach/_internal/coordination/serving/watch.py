"""Follows tables of the platform's store: a whole read, then the feed of changes."""

import threading
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from typing import NamedTuple

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.state.rows import HistoryGone, RowStore, StoredRow
from trefoilreach._internal.state.table import StoreError

# The store is asked again soon after a failure, since much waits for it, then more rarely.
_FIRST_RETRY_SECONDS = 0.1
_LONGEST_RETRY_SECONDS = 0.5


class Watched(NamedTuple):
    """A table to follow.

    :param parts: parts that are read whole; the feed has all parts of a table.
    :param wait: seconds for which the store keeps a call without changes.
    :param pause: returns the seconds in which changes gather before the next call.
    """

    table: str
    parts: Sequence[str]
    wait: float
    pause: Callable[[], float] = lambda: 0.0


class FeedHooks(NamedTuple):
    """What a watch calls.

    :param replaced: takes all rows, and whether this follows a failure.
    :param changed: takes changed rows.
    :param answered: takes the time before a call that the store has answered, and the
        store's clock in milliseconds.
    """

    replaced: Callable[[list[StoredRow], bool], None]
    changed: Callable[[list[StoredRow]], None]
    answered: Callable[[float, float], None] = lambda at, store_ms: None


class FeedWatch:
    """One thread that follows one table."""

    def __init__(self, clock: Clock, rows: RowStore, watched: Watched, hooks: FeedHooks) -> None:
        self._clock = clock
        self._rows = rows
        self._watched = watched
        self._hooks = hooks
        self._stop = threading.Event()
        self._failing_since: float | None = None
        self._answering_since: float | None = None
        self._version: int | None = None
        self._store_ms = 0.0

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing_since is not None

    @property
    def answering_seconds(self) -> float:
        """Seconds for which the store has answered without a failure."""
        since = self._answering_since
        return 0.0 if since is None else self._clock.now() - since

    def start(self, stack: ExitStack) -> None:
        """Follow the table until the exit stack closes."""
        stack.callback(self._stop.set)
        name = f"watch-{self._watched.table}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def _run(self) -> None:
        pause = _FIRST_RETRY_SECONDS
        while not self._stop.is_set():
            error = self._step()
            if error is None:
                pause = _FIRST_RETRY_SECONDS
                continue
            self._note_failure(error)
            self._clock.wait(self._stop, pause)
            pause = min(2 * pause, _LONGEST_RETRY_SECONDS)

    def _step(self) -> StoreError | None:
        """Make one call; return why it failed."""
        begin = self._clock.now()
        error = self._read_all() if self._version is None else self._read_changes(self._version)
        if isinstance(error, HistoryGone):
            log_event("store:history-gone", table=self._watched.table, version=self._version)
            self._version = None
            return None
        if error is None:
            self._hooks.answered(begin, self._store_ms)
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
            # What changes between the reads of two parts comes again in the feed.
            version = found.ok_value.version if version is None else version
            self._store_ms = found.ok_value.store_ms
        self._hooks.replaced(rows, self.failing)
        self._version = version
        return None

    def _read_changes(self, version: int) -> StoreError | None:
        found = self._rows.follow(self._watched.table, version, self._watched.wait)
        if isinstance(found, Err):
            return found.err_value
        if found.ok_value.rows:
            self._hooks.changed(found.ok_value.rows)
            self._clock.wait(self._stop, self._watched.pause())
        self._version = max(version, found.ok_value.version)
        self._store_ms = found.ok_value.store_ms
        return None

    def _note_failure(self, error: StoreError) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            log_event("store:lost", table=self._watched.table, error=str(error))
        self._answering_since = None
        # Entries may lapse while the store is away, so all of them are read again.
        self._version = None

    def _note_answer(self) -> None:
        if self._answering_since is None:
            self._answering_since = self._clock.now()
        if self._failing_since is not None:
            seconds = self._clock.now() - self._failing_since
            self._failing_since = None
            log_event("store:regained", table=self._watched.table, after_seconds=seconds)
