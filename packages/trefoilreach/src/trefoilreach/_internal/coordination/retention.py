"""Deletes old history, batch jobs, files and audit segments, so that the stores stay bounded.

For each kind of data one live daemon, chosen by rendezvous hashing, does the work. Two
daemons that disagree on who it is do no harm, as every deletion may be repeated.
"""

import threading
import uuid
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from itertools import pairwise
from typing import TypeVar

from result import Err, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.audit.audit import SEGMENT_PREFIX
from trefoilreach._internal.coordination.batch.share import find_sender
from trefoilreach._internal.coordination.config.store import HEAD_KEY, HISTORY_PREFIX
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.settings import RetentionSettings
from trefoilreach._internal.state.jobs import (
    FILE_PREFIX,
    FINAL_STATUSES,
    JOB_PREFIX,
    chunk_prefix,
    decode_file,
    decode_job,
    inputs_prefix,
    results_prefix,
)
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import Row, StoreError, TableService, Write

T = TypeVar("T")

# Row of a job that was taken out of its account's list but whose parts are not deleted yet.
_PRUNED_PREFIX = "pruned/"
_DOCUMENT_PREFIX = "config/"
# The head row names this many earlier documents, by which lost answers are resolved.
_VERSIONS_KEPT = 32
_PAGE = 1000
# Leaves most of the platform's writes, several hundred a second, to the other work.
_DELETES_PER_SECOND = 100.0


class StoreFailed(Exception):
    """A store gave no answer; the pass ends and the next one goes on."""


def _unwrap(outcome: Result[T, StoreError]) -> T:
    if isinstance(outcome, Err):
        raise StoreFailed(str(outcome.err_value))
    return outcome.ok_value


class Retention:
    """Deletes what is older than the settings say."""

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        objects: ObjectStore,
        peers: Peers,
        settings: RetentionSettings,
    ) -> None:
        self._clock = clock
        self._table = table
        self._objects = objects
        self._peers = peers
        self._settings = settings
        self._stop = threading.Event()
        self._deleted = 0

    def start(self, stack: ExitStack) -> None:
        """Delete old data now and then until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="retention", daemon=True).start()

    def prune(self) -> None:
        """Make one pass over the kinds of data that this daemon looks after."""
        steps: dict[str, Callable[[], None]] = {
            "history": self._prune_history,
            "jobs": self._prune_jobs,
            "files": self._prune_files,
            "audit": self._prune_audit,
        }
        live, own = self._peers.live(), self._peers.self_member.vm
        for kind, step in steps.items():
            if find_sender(f"retention/{kind}", live) == own:
                self._prune_kind(kind, step)

    def _run(self) -> None:
        while not self._clock.wait(self._stop, self._settings.interval):
            self.prune()

    def _prune_kind(self, kind: str, step: Callable[[], None]) -> None:
        self._deleted = 0
        try:
            step()
        except Exception as error:
            log_event("retention:error", data=kind, error=repr(error))
        if self._deleted:
            log_event("retention:pruned", data=kind, deleted=self._deleted)

    def _prune_history(self) -> None:
        """Delete versions that have been out of force for longer than the setting."""
        head = _unwrap(self._table.get(HEAD_KEY))
        if head is None:
            return
        limit = self._limit(self._settings.history)
        first_kept = int(head.value["version"]) - _VERSIONS_KEPT
        for old, new in pairwise(self._scan(HISTORY_PREFIX)):
            # A version went out of force when the next one came.
            if new.value["wall_time"] >= limit or new.value["version"] > first_kept:
                first_kept = min(first_kept, int(old.value["version"]))
                break
            self._delete_row(old)
        self._prune_documents(first_kept, str(head.value["object"]))

    def _prune_documents(self, first_kept: int, in_force: str) -> None:
        """Delete documents of old versions, those that never came into force included."""
        for name in self._list(_DOCUMENT_PREFIX):
            version = name.removeprefix(_DOCUMENT_PREFIX).partition("-")[0]
            if version.isdigit() and int(version) < first_kept and name != in_force:
                self._delete_object(name)

    def _prune_jobs(self) -> None:
        limit = self._limit(self._settings.batches)
        for row in self._scan(JOB_PREFIX):
            job = decode_job(row)
            if job.status in FINAL_STATUSES and (job.final_at or limit) < limit:
                self._take_out(row, job.id)
        for row in self._scan(_PRUNED_PREFIX):
            self._delete_parts(row.key.removeprefix(_PRUNED_PREFIX))
            self._delete_row(row)

    def _take_out(self, row: Row, job_id: str) -> None:
        """Remove a job at once for its account; its parts are deleted afterwards."""
        note = {"writer": uuid.uuid4().hex}
        writes = [Write(row.key, None, row.revision), Write(_PRUNED_PREFIX + job_id, note, None)]
        _unwrap(self._table.commit(writes))

    def _delete_parts(self, job_id: str) -> None:
        for prefix in (results_prefix(job_id), inputs_prefix(job_id)):
            for name in self._list(prefix):
                self._delete_object(name)
        for row in self._scan(chunk_prefix(job_id)):
            self._delete_row(row)

    def _prune_files(self) -> None:
        """Delete uploads; accepted jobs have copies of their input."""
        limit = self._limit(self._settings.batches)
        for row in self._scan(FILE_PREFIX):
            record = decode_file(row)
            if record.created < limit:
                self._delete_row(row)
                self._delete_object(record.object)

    def _prune_audit(self) -> None:
        limit = self._limit(self._settings.audit) * 1000.0
        for name in self._list(SEGMENT_PREFIX):
            milliseconds = name.removeprefix(SEGMENT_PREFIX).partition("-")[0]
            if not milliseconds.isdigit() or int(milliseconds) >= limit:
                return
            self._delete_object(name)

    def _limit(self, age: float) -> float:
        return self._clock.wall_time() - age

    def _scan(self, prefix: str) -> Iterator[Row]:
        after = ""
        while rows := _unwrap(self._table.scan(prefix, after, _PAGE)):
            yield from rows
            after = rows[-1].key

    def _list(self, prefix: str) -> Iterator[str]:
        after = ""
        while names := _unwrap(self._objects.list(prefix, after, _PAGE)):
            yield from names
            after = names[-1]

    def _delete_row(self, row: Row) -> None:
        self._pace()
        _unwrap(self._table.commit([Write(row.key, None, row.revision)]))

    def _delete_object(self, name: str) -> None:
        self._pace()
        _unwrap(self._objects.delete(name))

    def _pace(self) -> None:
        self._deleted += 1
        self._clock.wait(self._stop, 1.0 / _DELETES_PER_SECOND)
        if self._stop.is_set():
            raise StoreFailed("the daemon stops")
