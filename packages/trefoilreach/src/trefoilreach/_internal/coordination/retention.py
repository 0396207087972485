"""Deletes old history, batch jobs, files and audit segments, so that the stores stay bounded.

For each kind of data, one live daemon chosen by rendezvous hashing does the work. Two daemons
may both consider themselves responsible without harm, as every deletion may be repeated.
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
from trefoilreach._internal.coordination.batch.worker_limit import find_responsible_vm
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

# Rows of jobs that were removed from their account's list but have parts left to delete.
_PRUNED_PREFIX = "pruned/"
_DOCUMENT_PREFIX = "config/"
# Earlier versions that are kept regardless of age: the head row names this many documents, by
# which writes with a lost answer are resolved.
_MIN_VERSIONS_KEPT = 32
_PAGE_ENTRIES = 1000
# Leaves most of the platform's write capacity, several hundred a second, to other work.
_DELETES_PER_SECOND = 100.0


class StoreFailed(Exception):
    """A store did not answer or the daemon is stopping; the next pass continues."""


def _unwrap(outcome: Result[T, StoreError]) -> T:
    if isinstance(outcome, Err):
        raise StoreFailed(str(outcome.err_value))
    return outcome.ok_value


class Retention:
    """Deletes data that is older than the settings allow."""

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
        """Delete old data once per interval until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="retention", daemon=True).start()

    def prune(self) -> None:
        """Make one pass over the kinds of data for which this daemon is responsible."""
        steps: dict[str, Callable[[], None]] = {
            "history": self._prune_history,
            "jobs": self._prune_jobs,
            "files": self._prune_files,
            "audit": self._prune_audit,
        }
        live, own_vm = self._peers.list_live(), self._peers.own_member.vm
        for kind, step in steps.items():
            if find_responsible_vm(f"retention/{kind}", live) == own_vm:
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
        """Delete versions that were superseded longer ago than the setting."""
        head = _unwrap(self._table.get(HEAD_KEY))
        if head is None:
            return
        cutoff = self._find_cutoff(self._settings.history)
        first_kept_version = int(head.value["version"]) - _MIN_VERSIONS_KEPT
        for old, new in pairwise(self._scan(HISTORY_PREFIX)):
            # A version was superseded when the next one was written.
            if new.value["wall_time"] >= cutoff or new.value["version"] > first_kept_version:
                first_kept_version = min(first_kept_version, int(old.value["version"]))
                break
            self._delete_row(old)
        self._prune_documents(first_kept_version, str(head.value["object"]))

    def _prune_documents(self, first_kept_version: int, current_object: str) -> None:
        """Delete documents of old versions, including those that never took effect."""
        for name in self._list(_DOCUMENT_PREFIX):
            version = name.removeprefix(_DOCUMENT_PREFIX).partition("-")[0]
            if version.isdigit() and int(version) < first_kept_version and name != current_object:
                self._delete_object(name)

    def _prune_jobs(self) -> None:
        cutoff = self._find_cutoff(self._settings.batches)
        for row in self._scan(JOB_PREFIX):
            job = decode_job(row)
            if job.status in FINAL_STATUSES and (job.final_at or cutoff) < cutoff:
                self._remove_job(row, job.id)
        for row in self._scan(_PRUNED_PREFIX):
            self._delete_parts(row.key.removeprefix(_PRUNED_PREFIX))
            self._delete_row(row)

    def _remove_job(self, row: Row, job_id: str) -> None:
        """Remove a job from its account's list in one commit; its parts are deleted afterwards."""
        marker = {"writer": uuid.uuid4().hex}
        writes = [Write(row.key, None, row.revision), Write(_PRUNED_PREFIX + job_id, marker, None)]
        _unwrap(self._table.commit(writes))

    def _delete_parts(self, job_id: str) -> None:
        for prefix in (results_prefix(job_id), inputs_prefix(job_id)):
            for name in self._list(prefix):
                self._delete_object(name)
        for row in self._scan(chunk_prefix(job_id)):
            self._delete_row(row)

    def _prune_files(self) -> None:
        """Delete uploads; accepted jobs have copies of their input."""
        cutoff = self._find_cutoff(self._settings.batches)
        for row in self._scan(FILE_PREFIX):
            record = decode_file(row)
            if record.created < cutoff:
                self._delete_row(row)
                self._delete_object(record.object)

    def _prune_audit(self) -> None:
        cutoff = self._find_cutoff(self._settings.audit) * 1000.0
        for name in self._list(SEGMENT_PREFIX):
            milliseconds = name.removeprefix(SEGMENT_PREFIX).partition("-")[0]
            if not milliseconds.isdigit() or int(milliseconds) >= cutoff:
                return
            self._delete_object(name)

    def _find_cutoff(self, age: float) -> float:
        return self._clock.wall_time() - age

    def _scan(self, prefix: str) -> Iterator[Row]:
        after = ""
        while rows := _unwrap(self._table.scan(prefix, after, _PAGE_ENTRIES)):
            yield from rows
            after = rows[-1].key

    def _list(self, prefix: str) -> Iterator[str]:
        after = ""
        while names := _unwrap(self._objects.list(prefix, after, _PAGE_ENTRIES)):
            yield from names
            after = names[-1]

    def _delete_row(self, row: Row) -> None:
        self._throttle()
        _unwrap(self._table.commit([Write(row.key, None, row.revision)]))

    def _delete_object(self, name: str) -> None:
        self._throttle()
        _unwrap(self._objects.delete(name))

    def _throttle(self) -> None:
        self._deleted += 1
        self._clock.wait(self._stop, 1.0 / _DELETES_PER_SECOND)
        if self._stop.is_set():
            raise StoreFailed("the daemon is stopping")
