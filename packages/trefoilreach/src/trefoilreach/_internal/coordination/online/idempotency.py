"""The first outcome of each ``Idempotency-Key``, for resends to any VM."""

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
    refuse_bad_request,
    refuse_unavailable,
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

KEY_CHARACTERS = 255
_STORE_RETRY_SECONDS = 2.0
_RUNNING_RETRY_SECONDS = 1.0
_SETTLE_SECONDS = 1.0
# A record that says "running" for longer, by this daemon's clock, has lost its process.
_RUNNING_LIFE_SECONDS = 600.0
# An incarnation begins as wall-clock milliseconds and grows by one with each refuted
# suspicion, so a larger step means that the VM restarted under its old name.
_REFUTATIONS = 1000


class Outcome(NamedTuple):
    """A whole answer to a caller."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Record(NamedTuple):
    """A claimed key; its holder alone runs the request."""

    row_key: str
    revision: int
    value: dict[str, Any]


class _Unsettled(NamedTuple):
    """An end that the stores have not taken yet; no outcome means that nothing ran."""

    record: Record
    outcome: Outcome | None


class Idempotency:
    """Records in the table, outcomes in the object store."""

    def __init__(
        self, clock: Clock, table: TableService, objects: ObjectStore, peers: Peers
    ) -> None:
        self._clock = clock
        self._table = table
        self._objects = objects
        self._peers = peers
        self._process = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._unsettled: list[_Unsettled] = []
        self._first_seen: dict[str, float] = {}
        self._stop = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Settle ends that a store did not take, until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="idempotency", daemon=True).start()

    def claim(self, account: str, key: str, fingerprint: str) -> Record | Outcome:
        """Return the right to run a request, or the outcome that it has already.

        :raises Refusal: when it runs now, may have run, or the store does not answer.
        """
        if not key or len(key) > KEY_CHARACTERS:
            message = f"'Idempotency-Key' must have 1 to {KEY_CHARACTERS} characters"
            raise refuse_bad_request(message, "Idempotency-Key")
        row_key = f"idem/{account}/{hashlib.sha256(key.encode()).hexdigest()}"
        value = {
            "fingerprint": fingerprint,
            "state": "running",
            "vm": self._peers.self_member.vm,
            "process": self._process,
            "incarnation": self._peers.self_member.incarnation,
            "writer": uuid.uuid4().hex,
            "wall_time": self._clock.wall_time(),
        }
        done = commit_checked(self._table, [Write(row_key, value, 0)])
        if isinstance(done, Ok):
            return Record(row_key, done.ok_value, value)
        if not isinstance(done.err_value, RevisionConflict):
            # The insertion may still take effect; without a call behind it, it is removed.
            self._postpone(Record(row_key, 1, value), None)
            raise refuse_unavailable(f"table service: {done.err_value}", _STORE_RETRY_SECONDS)
        return self._resolve(row_key, fingerprint)

    def finish(self, record: Record, outcome: Outcome) -> None:
        """Record the first outcome; a store that is down gets it later."""
        self._settle_now(record, outcome)

    def abandon(self, record: Record) -> None:
        """Free the key of a request that certainly did not run."""
        self._settle_now(record, None)

    def settle_again(self) -> None:
        """Try the postponed ends once more."""
        with self._lock:
            entries, self._unsettled = self._unsettled, []
        for entry in entries:
            if isinstance(self._settle(entry.record, entry.outcome), Err):
                self._postpone(entry.record, entry.outcome)

    def _resolve(self, row_key: str, fingerprint: str) -> Outcome:
        found = self._table.get(row_key)
        if isinstance(found, Err):
            raise refuse_unavailable(f"table service: {found.err_value}", _STORE_RETRY_SECONDS)
        row = found.ok_value
        if row is None:
            # The first request ended just now without having run.
            raise refuse_unavailable("the first request did not run", _RUNNING_RETRY_SECONDS)
        if row.value["fingerprint"] != fingerprint:
            message = "the idempotency key was used for another request"
            raise Refusal(422, "idempotency_key_reused", message, param="Idempotency-Key")
        if row.value["state"] == "running":
            raise self._refuse_running(row)
        return self._load(row)

    def _refuse_running(self, row: Row) -> Refusal:
        if self._is_owner_gone(row):
            message = "the VM that ran the first request is gone; it may have run"
            return Refusal(502, "outcome_unknown", message, Verdict.MAY_HAVE_RUN)
        message = "the first request with this idempotency key still runs"
        return Refusal(
            409, "request_running", message, Verdict.MAY_HAVE_RUN, _RUNNING_RETRY_SECONDS
        )

    def _is_owner_gone(self, row: Row) -> bool:
        vm = row.value["vm"]
        if vm == self._peers.self_member.vm:
            return bool(row.value["process"] != self._process)
        now = self._clock.now()
        first = self._first_seen.setdefault(row.value["writer"], now)
        if now - first > _RUNNING_LIFE_SECONDS:
            return True
        found = [member for member in self._peers.members() if member.vm == vm]
        if not found or found[0].state == UNREACHABLE:
            return True
        return found[0].incarnation - row.value["incarnation"] > _REFUTATIONS

    def _load(self, row: Row) -> Outcome:
        found = self._objects.get(row.value["object"])
        if isinstance(found, Err) or found.ok_value is None:
            message = "the outcome of the first request cannot be read now"
            raise Refusal(503, "unavailable", message, Verdict.MAY_HAVE_RUN, _STORE_RETRY_SECONDS)
        return _decode(found.ok_value)

    def _settle_now(self, record: Record, outcome: Outcome | None) -> None:
        settled = self._settle(record, outcome)
        if isinstance(settled, Err):
            # Until it is settled, a resend gets 409.
            log_event("idempotency:postponed", row=record.row_key, error=str(settled.err_value))
            self._postpone(record, outcome)

    def _settle(self, record: Record, outcome: Outcome | None) -> Result[None, StoreError]:
        if outcome is None:
            return self._remove(record)
        name = f"{record.row_key}/{record.value['writer']}"
        stored = self._objects.put(name, _encode(outcome))
        if isinstance(stored, Err):
            return stored
        value = {**record.value, "state": "done", "object": name, "writer": uuid.uuid4().hex}
        done = commit_checked(self._table, [Write(record.row_key, value, record.revision)])
        if isinstance(done, Err) and not isinstance(done.err_value, RevisionConflict):
            return done.map(lambda revision: None)
        return Ok(None)

    def _remove(self, record: Record) -> Result[None, StoreError]:
        done = self._table.commit([Write(record.row_key, None, record.revision)])
        if isinstance(done, Ok):
            return Ok(None)
        found = self._table.get(record.row_key)
        if isinstance(found, Err):
            return found.map(lambda row: None)
        row = found.ok_value
        if row is None or row.value["writer"] != record.value["writer"]:
            return Ok(None)
        return done.map(lambda revisions: None)

    def _postpone(self, record: Record, outcome: Outcome | None) -> None:
        with self._lock:
            self._unsettled.append(_Unsettled(record, outcome))

    def _run(self) -> None:
        while not self._clock.wait(self._stop, _SETTLE_SECONDS):
            try:
                self.settle_again()
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
