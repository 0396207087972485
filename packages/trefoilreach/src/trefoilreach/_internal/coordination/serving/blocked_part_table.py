"""Keeps the blocked prompt parts in the platform's store, which also grants their trials.

Load pattern: all daemons are killed while requests with a deadly part keep coming. A daemon that
starts reads the blocked parts before it has heard of any crash. A trial is granted by a conditional
write, so that only one request of the whole fleet tries a part at a time.
"""

import threading
from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple

import orjson
from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.crashing_parts import (
    BlockedPart,
    CrashingParts,
    find_block_seconds,
)
from trefoilreach._internal.logs import describe_error, log_event
from trefoilreach._internal.protocol.checked_values import (
    MAX_INT64,
    check_integer,
    check_number,
)
from trefoilreach._internal.state.rows import (
    ConditionFailed,
    RowKey,
    RowPrecondition,
    RowStore,
    RowWrite,
    StoredRow,
    read_one,
)

_TABLE = "blocked-parts"
_RETRY_SECONDS = 2.0
# A request for a trial is not held for a store that does not answer.
_CLAIM_RETRY_SECONDS = 5.0
# A row whose trial has been due for so long belongs to a part that is not used any more.
_ROW_EXPIRY_SECONDS = 24 * 3600.0
# Most trials that a row states. A part that is tried once an hour reaches a hundredth of them in a
# year; reports carry 32-bit integers.
_MAX_TRIALS = 1_000_000
_MS_PER_SECOND = 1000.0


class _Record(NamedTuple):
    """A blocked part as it is stored.

    :param next_trial_ms: time from which a request may try it, by the store's clock.
    """

    trials: int
    next_trial_ms: float


class BlockedPartTable:
    """Rows of the blocked parts.

    :param get_store_ms: returns the present time of the store's clock in milliseconds.
    :param store_answers: returns whether the store has answered lately.
    """

    def __init__(
        self,
        clock: Clock,
        rows: RowStore,
        parts: CrashingParts,
        get_store_ms: Callable[[], float],
        store_answers: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._rows = rows
        self._parts = parts
        self._get_store_ms = get_store_ms
        self._store_answers = store_answers
        self._lock = threading.Lock()
        self._claim_lock = threading.Lock()
        self._no_claim_before = float("-inf")
        self._stopped = threading.Event()
        self._loaded = False
        # Parts to add to the table (True) or to delete from it.
        self._pending: dict[str, bool] = {}
        self._syncing = False

    def start(self, stack: ExitStack) -> None:
        """Read the table, and write changes until the exit stack closes."""
        stack.callback(self._stopped.set)
        self._start_sync()

    def add(self, part: str) -> None:
        """Store a part that this daemon has blocked."""
        self._set_pending(part, True)

    def remove(self, part: str) -> None:
        """Delete a part that a worker has answered."""
        self._set_pending(part, False)

    def claim_trial(self, part: str) -> bool:
        """Return whether a request may try a part now; grants one trial at a time."""
        if self._clock.now() < self._no_claim_before or not self._store_answers():
            return False
        if not self._claim_lock.acquire(blocking=False):
            return False
        try:
            granted = self._claim(part)
            if not granted:
                self._no_claim_before = self._clock.now() + _CLAIM_RETRY_SECONDS
            return granted
        finally:
            self._claim_lock.release()

    def _claim(self, part: str) -> bool:
        found = read_one(self._rows, _make_key(part))
        if isinstance(found, Err):
            log_event("blocked-part:trial-failed", part=part, error=str(found.err_value))
            return False
        snapshot = found.ok_value
        version, trials = 0, 0
        for row in snapshot.rows:
            version = row.version
            record = _parse(row)
            if record is None:
                # The claim replaces it.
                continue
            trials = record.trials
            if record.next_trial_ms > snapshot.store_ms:
                self._restore(part, record, snapshot.store_ms)
                return False
        trials = min(trials + 1, _MAX_TRIALS)
        wait_ms = find_block_seconds(trials) * _MS_PER_SECOND
        written = self._rows.commit(
            [RowPrecondition(_make_key(part), version)],
            [_make_write(part, _Record(trials, snapshot.store_ms + wait_ms))],
        )
        if isinstance(written, Err):
            log_event("blocked-part:trial-failed", part=part, error=str(written.err_value))
            return False
        self._parts.set_block(BlockedPart(part, 0.0, trials))
        return True

    def _set_pending(self, part: str, blocked: bool) -> None:
        with self._lock:
            self._pending[part] = blocked
        self._start_sync()

    def _start_sync(self) -> None:
        with self._lock:
            if self._syncing or self._stopped.is_set():
                return
            self._syncing = True
        threading.Thread(target=self._sync, name="blocked-parts", daemon=True).start()

    def _sync(self) -> None:
        """Read the table once and write what is pending; repeat until both are done."""
        while not self._stopped.is_set():
            try:
                done = (self._loaded or self._load()) and self._write_pending()
            except Exception as error:
                log_event("blocked-part:sync-failed", error=repr(error))
                done = False
            with self._lock:
                if done and not self._pending:
                    self._syncing = False
                    return
            if not done:
                self._clock.wait(self._stopped, _RETRY_SECONDS)

    def _load(self) -> bool:
        found = self._rows.read(_TABLE, "")
        if isinstance(found, Err):
            log_event("blocked-part:not-read", error=str(found.err_value))
            return False
        snapshot = found.ok_value
        for row in snapshot.rows:
            record = _parse(row)
            if record is None:
                continue
            if record.next_trial_ms + _ROW_EXPIRY_SECONDS * _MS_PER_SECOND < snapshot.store_ms:
                self._rows.commit([], [RowWrite(row.name, None)])
            else:
                self._restore(row.name.key, record, snapshot.store_ms)
        self._loaded = True
        return True

    def _restore(self, part: str, record: _Record, store_ms: float) -> None:
        """Block a part for as long as the store says."""
        total = find_block_seconds(record.trials)
        left = min(total, max(0.0, (record.next_trial_ms - store_ms) / _MS_PER_SECOND))
        self._parts.set_block(BlockedPart(part, total - left, record.trials))

    def _write_pending(self) -> bool:
        """Write the pending changes; return False if one must be repeated."""
        with self._lock:
            pending = dict(self._pending)
        for part, blocked in pending.items():
            if not self._write(part, blocked):
                return False
            with self._lock:
                if self._pending.get(part) is blocked:
                    del self._pending[part]
        return True

    def _write(self, part: str, blocked: bool) -> bool:
        if blocked and self._parts.find_block([part]) is None:
            # A peer's worker has answered it in the meantime.
            return True
        if blocked:
            next_trial_ms = self._get_store_ms() + find_block_seconds(0) * _MS_PER_SECOND
            written = self._rows.commit(
                [RowPrecondition(_make_key(part), 0)],
                [_make_write(part, _Record(0, next_trial_ms))],
            )
        else:
            written = self._rows.commit([], [RowWrite(_make_key(part), None)])
        # A row that exists already was written by a peer.
        done = isinstance(written, Ok) or isinstance(written.err_value, ConditionFailed)
        log_event(
            "blocked-part:stored" if done else "blocked-part:not-stored",
            part=part,
            blocked=blocked,
            error=None if isinstance(written, Ok) else str(written.err_value),
        )
        return done


def _make_key(part: str) -> RowKey:
    return RowKey(_TABLE, "", part)


def _make_write(part: str, record: _Record) -> RowWrite:
    return RowWrite(_make_key(part), orjson.dumps(record._asdict()))


def _parse(row: StoredRow) -> _Record | None:
    """Return the record of a row, or None if it is malformed."""
    try:
        fields = orjson.loads(row.value)
        return _Record(
            check_integer(fields["trials"], 0, _MAX_TRIALS),
            check_number(fields["next_trial_ms"], 0.0, MAX_INT64),
        )
    except (ValueError, TypeError, KeyError) as error:
        reason = describe_error(error)
        log_event("blocked-part:undecodable", part=row.name.key, error=reason)
        return None
