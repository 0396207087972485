"""Keeps the first outcome of each ``Idempotency-Key``, so that any VM can answer a resend."""

import hashlib
import threading
import uuid
from contextlib import ExitStack
from typing import Any, NamedTuple

import orjson
from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.peers import UNREACHABLE, Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import (
    Refusal,
    Verdict,
    build_bad_request_refusal,
    build_unavailable_refusal,
)
from trefoilreach._internal.state.commits import commit_checked
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import (
    RevisionConflict,
    Row,
    StoreError,
    TableService,
    Write,
)

MAX_KEY_CHARACTERS = 255
_STORE_RETRY_AFTER_SECONDS = 2.0
_RUNNING_RETRY_AFTER_SECONDS = 1.0
_PENDING_RETRY_SECONDS = 1.0
# A record in state "running" that this daemon first read longer ago has lost its process.
_RUNNING_RECORD_TTL_SECONDS = 600.0
# An incarnation starts as wall-clock milliseconds and grows by one with each refuted
# suspicion, so a larger increase means that the VM restarted under its old name.
_MAX_REFUTATIONS = 1000


class Outcome(NamedTuple):
    """A complete HTTP answer to a caller."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class KeyClaim(NamedTuple):
    """The table row of a claimed key; only the process that holds it runs the request."""

    row_key: str
    revision: int
    value: dict[str, Any]


class _PendingWrite(NamedTuple):
    """An outcome that the stores have not accepted yet; None if the request did not run."""

    record: KeyClaim
    outcome: Outcome | None


class _SeenRecord(NamedTuple):
    """A record in state "running" of another VM, and when this daemon read it."""

    first_read_at: float
    last_read_at: float


class IdempotencyStore:
    """Keeps a record of each key in the table service, and outcomes in the object store."""

    def __init__(
        self, clock: Clock, table: TableService, objects: ObjectStore, peers: Peers
    ) -> None:
        self._clock = clock
        self._table = table
        self._objects = objects
        self._peers = peers
        self._process_id = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._pending_writes: list[_PendingWrite] = []
        self._running_records: dict[str, _SeenRecord] = {}
        self._stop = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Retry pending writes in a thread until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="idempotency", daemon=True).start()

    def claim(self, account: str, key: str, fingerprint: str) -> KeyClaim | Outcome:
        """Claim a key for a request, or return the outcome that the key has already.

        :raises Refusal: when the key is invalid or was used for another request, when the
            request runs now or may have run, or when a store does not answer.
        """
        if not key or len(key) > MAX_KEY_CHARACTERS:
            message = f"'Idempotency-Key' must have 1 to {MAX_KEY_CHARACTERS} characters"
            raise build_bad_request_refusal(message, "Idempotency-Key")
        row_key = f"idem/{account}/{hashlib.sha256(key.encode()).hexdigest()}"
        value = {
            "fingerprint": fingerprint,
            "state": "running",
            "vm": self._peers.own_member.vm,
            "process": self._process_id,
            "incarnation": self._peers.own_member.incarnation,
            "writer": uuid.uuid4().hex,
            "wall_time": self._clock.wall_time(),
        }
        committed = commit_checked(self._table, [Write(row_key, value, 0)])
        if isinstance(committed, Ok):
            return KeyClaim(row_key, committed.ok_value, value)
        if not isinstance(committed.err_value, RevisionConflict):
            # The insertion may still take effect. No request runs for it, so it is removed later.
            self._postpone(KeyClaim(row_key, 1, value), None)
            raise build_unavailable_refusal(
                f"table service: {committed.err_value}", _STORE_RETRY_AFTER_SECONDS
            )
        return self._resolve(row_key, fingerprint)

    def record_outcome(self, record: KeyClaim, outcome: Outcome) -> None:
        """Write the first outcome; if a store is down, it is written later."""
        self._write_or_postpone(record, outcome)

    def release_key(self, record: KeyClaim) -> None:
        """Free the key of a request that certainly did not run."""
        self._write_or_postpone(record, None)

    def retry_pending_writes(self) -> None:
        """Retry the postponed writes once."""
        with self._lock:
            entries, self._pending_writes = self._pending_writes, []
        for entry in entries:
            if isinstance(self._write_outcome(entry.record, entry.outcome), Err):
                self._postpone(entry.record, entry.outcome)

    def _resolve(self, row_key: str, fingerprint: str) -> Outcome:
        found = self._table.get(row_key)
        if isinstance(found, Err):
            raise build_unavailable_refusal(
                f"table service: {found.err_value}", _STORE_RETRY_AFTER_SECONDS
            )
        row = found.ok_value
        if row is None:
            # The first request has just ended without having run.
            raise build_unavailable_refusal(
                "the first request did not run", _RUNNING_RETRY_AFTER_SECONDS
            )
        if row.value["fingerprint"] != fingerprint:
            message = "the idempotency key was used for another request"
            raise Refusal(422, "idempotency_key_reused", message, param="Idempotency-Key")
        if row.value["state"] == "running":
            raise self._build_running_refusal(row)
        return self._load_outcome(row)

    def _build_running_refusal(self, row: Row) -> Refusal:
        if self._is_owner_gone(row):
            message = "the VM that ran the first request is gone; it may have run"
            return Refusal(502, "outcome_unknown", message, Verdict.MAY_HAVE_RUN)
        message = "the first request with this idempotency key still runs"
        return Refusal(
            409, "request_running", message, Verdict.MAY_HAVE_RUN, _RUNNING_RETRY_AFTER_SECONDS
        )

    def _is_owner_gone(self, row: Row) -> bool:
        vm = row.value["vm"]
        if vm == self._peers.own_member.vm:
            return bool(row.value["process"] != self._process_id)
        now = self._clock.now()
        if now - self._record_read(row.value["writer"], now) > _RUNNING_RECORD_TTL_SECONDS:
            return True
        found = [member for member in self._peers.members() if member.vm == vm]
        if not found or found[0].state == UNREACHABLE:
            return True
        return found[0].incarnation - row.value["incarnation"] > _MAX_REFUTATIONS

    def _record_read(self, writer: str, now: float) -> float:
        """Record that a record in state "running" was read; return when it was read first."""
        with self._lock:
            first_read_at = self._running_records.get(writer, _SeenRecord(now, now)).first_read_at
            self._running_records[writer] = _SeenRecord(first_read_at, now)
        return first_read_at

    def _forget_old_records(self) -> None:
        """Forget the records of which no caller has asked for as long as they may be kept."""
        oldest = self._clock.now() - _RUNNING_RECORD_TTL_SECONDS
        with self._lock:
            self._running_records = {
                writer: record
                for writer, record in self._running_records.items()
                if record.last_read_at >= oldest
            }

    def _load_outcome(self, row: Row) -> Outcome:
        found = self._objects.get(row.value["object"])
        if isinstance(found, Err) or found.ok_value is None:
            message = "the outcome of the first request cannot be read now"
            raise Refusal(
                503, "unavailable", message, Verdict.MAY_HAVE_RUN, _STORE_RETRY_AFTER_SECONDS
            )
        return _decode(found.ok_value)

    def _write_or_postpone(self, record: KeyClaim, outcome: Outcome | None) -> None:
        written = self._write_outcome(record, outcome)
        if isinstance(written, Err):
            # Until the write succeeds, a resend gets status 409.
            log_event("idempotency:postponed", row=record.row_key, error=str(written.err_value))
            self._postpone(record, outcome)

    def _write_outcome(self, record: KeyClaim, outcome: Outcome | None) -> Result[None, StoreError]:
        if outcome is None:
            return self._remove_record(record)
        name = f"{record.row_key}/{record.value['writer']}"
        stored = self._objects.put(name, _encode(outcome))
        if isinstance(stored, Err):
            return stored
        value = {**record.value, "state": "done", "object": name, "writer": uuid.uuid4().hex}
        committed = commit_checked(self._table, [Write(record.row_key, value, record.revision)])
        if isinstance(committed, Err) and not isinstance(committed.err_value, RevisionConflict):
            return committed.map(lambda revision: None)
        return Ok(None)

    def _remove_record(self, record: KeyClaim) -> Result[None, StoreError]:
        committed = self._table.commit([Write(record.row_key, None, record.revision)])
        if isinstance(committed, Ok):
            return Ok(None)
        found = self._table.get(record.row_key)
        if isinstance(found, Err):
            return found.map(lambda row: None)
        row = found.ok_value
        if row is None or row.value["writer"] != record.value["writer"]:
            return Ok(None)
        return committed.map(lambda revisions: None)

    def _postpone(self, record: KeyClaim, outcome: Outcome | None) -> None:
        with self._lock:
            self._pending_writes.append(_PendingWrite(record, outcome))

    def _run(self) -> None:
        while not self._clock.wait(self._stop, _PENDING_RETRY_SECONDS):
            try:
                self.retry_pending_writes()
                self._forget_old_records()
            except Exception as error:
                log_event("idempotency:error", error=repr(error))


def _encode(outcome: Outcome) -> bytes:
    head = orjson.dumps({"status": outcome.status, "headers": outcome.headers})
    return head + b"\n" + outcome.body


def _decode(data: bytes) -> Outcome:
    head, _, body = data.partition(b"\n")
    fields = orjson.loads(head)
    headers = [(name, value) for name, value in fields["headers"]]
    return Outcome(fields["status"], headers, body)
