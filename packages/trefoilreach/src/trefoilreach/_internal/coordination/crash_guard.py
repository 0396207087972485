"""Limits how many workers one request can crash.

A request that was in flight when its worker died is a suspect. A suspect runs only as a
trial, under a lease on its own row and on the worker's, so that the next crash names the
culprit: the trial becomes poison, and whatever else ran there does not.
"""

import threading
import uuid
from collections.abc import Sequence
from contextlib import ExitStack
from enum import Enum
from typing import Any, NamedTuple

import orjson
import xxhash
from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import Suspect
from trefoilreach._internal.protocol.verdict import Refusal, refuse_unavailable
from trefoilreach._internal.state.commits import commit_checked
from trefoilreach._internal.state.table import RevisionConflict, Row, TableService, Write

_PREFIX = "suspect/"
_TRIAL_PREFIX = "trial/"
_SCAN_SECONDS = 2.0
# Larger fleets scan less often, so that scans stay under 50 reads a second in all.
_SCANS_PER_SECOND = 50.0
_PUSH_TIMEOUT_SECONDS = 0.5
_ROW_LIFE_SECONDS = 3600.0
# A trial whose row did not change for longer has lost its daemon.
_TRIAL_LIFE_SECONDS = 150.0
_BUSY_RETRY_SECONDS = 0.5
_STORE_RETRY_SECONDS = 2.0
# Fields that do not change what the engine computes.
_DELIVERY_FIELDS = {"stream", "stream_options"}


class Standing(Enum):
    """What is known of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    POISON = "poison"


class TrialBusy(Exception):
    """Another trial runs on the worker or of the same request."""


class GuardedRun(NamedTuple):
    """One attempt; ``writer`` names its leases and is empty when it is no trial."""

    number: int
    fingerprint: str
    server: str
    writer: str = ""


class _Known(NamedTuple):
    poison: bool
    since: float
    recorded: bool


def find_fingerprint(account: str, path: str, body: dict[str, Any]) -> str:
    """Return the hash that a resent request has again, on any daemon."""
    kept = {name: value for name, value in body.items() if name not in _DELIVERY_FIELDS}
    text = orjson.dumps([account, path, kept], option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh3_128_hexdigest(text)


def refuse_poison() -> Refusal:
    """Return the refusal of a request that crashed workers."""
    message = "the request crashed the servers that ran it and is not run again"
    return Refusal(422, "crashes_servers", message)


class CrashGuard:
    """Suspects and poison of the whole fleet, in the table and in each daemon's memory."""

    def __init__(self, clock: Clock, table: TableService, peers: Peers) -> None:
        self._clock = clock
        self._table = table
        self._peers = peers
        self._lock = threading.Lock()
        self._recording = threading.Lock()
        self._known: dict[str, _Known] = {}
        self._runs: dict[int, GuardedRun] = {}
        self._number = 0
        self._first_seen: dict[tuple[str, int], float] = {}
        self._unreleased: list[tuple[GuardedRun, bool]] = []
        self._scanned_at = clock.now()
        self._stop = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Scan the table until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="crash-guard", daemon=True).start()

    def check(self, fingerprint: str) -> Standing:
        """Return what is known of a request."""
        if self._clock.now() - self._scanned_at > 2.0 * self._scan_interval():
            # After a pause of the process, pushes and scans were missed.
            self.scan()
        with self._lock:
            known = self._known.get(fingerprint)
        if known is None:
            return Standing.CLEAR
        return Standing.POISON if known.poison else Standing.SUSPECT

    def begin(self, fingerprint: str, server: str) -> Result[GuardedRun, Refusal | TrialBusy]:
        """Note that a request goes to a worker; a suspect takes its leases first."""
        standing = self.check(fingerprint)
        if standing is Standing.POISON:
            return Err(refuse_poison())
        if standing is Standing.CLEAR:
            return Ok(self._add_run(fingerprint, server, ""))
        return self._begin_trial(fingerprint, server)

    def end(self, run: GuardedRun, succeeded: bool) -> None:
        """Note the end of an attempt; a trial that succeeded is no suspect any more."""
        with self._lock:
            listed = self._runs.pop(run.number, None) is not None
        if run.writer and listed:
            self._release(run, succeeded)

    def worker_died(self, server: str) -> None:
        """Record what was in flight on a worker; returns when it may be tried again or answered."""
        with self._recording:
            with self._lock:
                runs = [run for run in self._runs.values() if run.server == server]
                for run in runs:
                    del self._runs[run.number]
                poison = {run.fingerprint for run in runs if run.writer}
                suspects = {run.fingerprint for run in runs} - poison
                suspects -= set(self._known)
                for fingerprint in poison | suspects:
                    self._note(fingerprint, fingerprint in poison, recorded=False)
            if not runs:
                return
            log_event("worker:died", server=server, suspects=len(suspects), poison=len(poison))
            recorded = self._record(poison | suspects)
            self._push(poison | suspects, recorded)

    def hear(self, suspects: Sequence[Suspect]) -> None:
        """Take what a peer found; an entry without crashes is clear again."""
        with self._lock:
            for entry in suspects:
                if entry.crashes == 0 and not entry.poison:
                    self._known.pop(entry.fingerprint, None)
                else:
                    # The peer may not have reached the table; it is looked up there later.
                    self._note(entry.fingerprint, bool(entry.poison), recorded=False)

    def scan(self) -> None:
        """Read all rows; entries that are in none of them are forgotten."""
        started = self._clock.now()
        self._scanned_at = started
        rows = self._read_rows()
        if rows is None:
            return
        found = {row.key[len(_PREFIX) :]: bool(row.value["poison"]) for row in rows}
        with self._lock:
            for fingerprint, known in list(self._known.items()):
                if known.recorded and known.since < started and fingerprint not in found:
                    del self._known[fingerprint]
            for fingerprint, is_poison in found.items():
                self._note(fingerprint, is_poison, recorded=True)
            settled = started - self._scan_interval()
            unrecorded = {
                key
                for key, known in self._known.items()
                if not known.recorded and known.since <= settled
            }
        self._record(unrecorded)
        self._drop_old(rows)
        unreleased, self._unreleased = self._unreleased, []
        for run, succeeded in unreleased:
            self._release(run, succeeded)

    def _note(self, fingerprint: str, is_poison: bool, recorded: bool) -> None:
        known = self._known.get(fingerprint)
        if known is not None and known.poison and not is_poison:
            is_poison, recorded = True, known.recorded
        elif known is not None and known.poison == is_poison:
            recorded = recorded or known.recorded
        self._known[fingerprint] = _Known(is_poison, self._clock.now(), recorded)

    def _add_run(self, fingerprint: str, server: str, writer: str) -> GuardedRun:
        with self._lock:
            self._number += 1
            run = GuardedRun(self._number, fingerprint, server, writer)
            self._runs[run.number] = run
        return run

    def _begin_trial(
        self, fingerprint: str, server: str
    ) -> Result[GuardedRun, Refusal | TrialBusy]:
        found = self._table.get(_PREFIX + fingerprint)
        if isinstance(found, Err):
            return Err(_refuse_without_store())
        row = found.ok_value
        if row is None:
            return self._begin_cleared(fingerprint, server)
        if row.value["poison"]:
            self.hear([Suspect(fingerprint, 2, True)])
            return Err(refuse_poison())
        if row.value["trial"]:
            return Err(self._judge_trial(row))
        writer = uuid.uuid4().hex
        value = {**row.value, "trial": writer, "server": server, "writer": writer}
        lease = {"fingerprint": fingerprint, "writer": writer}
        writes = [
            Write(row.key, value, row.revision),
            Write(_TRIAL_PREFIX + server, lease, 0),
        ]
        done = commit_checked(self._table, writes)
        if isinstance(done, Ok):
            return Ok(self._add_run(fingerprint, server, writer))
        if isinstance(done.err_value, RevisionConflict):
            self._break_old_lease(server)
            return Err(TrialBusy())
        return Err(_refuse_without_store())

    def _begin_cleared(
        self, fingerprint: str, server: str
    ) -> Result[GuardedRun, Refusal | TrialBusy]:
        with self._lock:
            known = self._known.get(fingerprint)
            if known is not None and not known.recorded:
                return Err(_refuse_without_store())
            self._known.pop(fingerprint, None)
        return Ok(self._add_run(fingerprint, server, ""))

    def _judge_trial(self, row: Row) -> Refusal | TrialBusy:
        """Return why a trial cannot begin; one without a daemon may have crashed its worker."""
        if not self._is_old(row):
            return TrialBusy()
        value = {**row.value, "poison": True, "trial": "", "writer": uuid.uuid4().hex}
        commit_checked(self._table, [Write(row.key, value, row.revision)])
        self.hear([Suspect(row.key[len(_PREFIX) :], 2, True)])
        return refuse_poison()

    def _break_old_lease(self, server: str) -> None:
        found = self._table.get(_TRIAL_PREFIX + server)
        if isinstance(found, Ok) and found.ok_value is not None and self._is_old(found.ok_value):
            self._table.commit([Write(found.ok_value.key, None, found.ok_value.revision)])

    def _is_old(self, row: Row) -> bool:
        """Return whether a row is unchanged for longer than a trial lasts, by this clock."""
        now = self._clock.now()
        first = self._first_seen.setdefault((row.key, row.revision), now)
        return now - first > _TRIAL_LIFE_SECONDS

    def _release(self, run: GuardedRun, succeeded: bool) -> None:
        key = _PREFIX + run.fingerprint
        found = self._table.get(key)
        if isinstance(found, Err):
            self._unreleased.append((run, succeeded))
            return
        row = found.ok_value
        if row is None or row.value["trial"] != run.writer:
            return
        value = None if succeeded else {**row.value, "trial": "", "writer": uuid.uuid4().hex}
        writes = [Write(key, value, row.revision), Write(_TRIAL_PREFIX + run.server, None, None)]
        done = self._table.commit(writes)
        if isinstance(done, Err):
            # A write that took effect after all is seen by the next reading.
            self._unreleased.append((run, succeeded))
        elif succeeded:
            self.hear([Suspect(run.fingerprint, 0, False)])
            self._peers.broadcast(
                lambda client: client.suspects([Suspect(run.fingerprint, 0, False)]),
                _PUSH_TIMEOUT_SECONDS,
            )

    def _record(self, fingerprints: set[str]) -> bool:
        """Write rows; return whether all are written."""
        written = [self._record_one(fingerprint) for fingerprint in fingerprints]
        return all(written)

    def _record_one(self, fingerprint: str) -> bool:
        key = _PREFIX + fingerprint
        with self._lock:
            known = self._known.get(fingerprint)
        if known is None:
            return True
        found = self._table.get(key)
        if isinstance(found, Err):
            return False
        row = found.ok_value
        if row is None or (known.poison and not row.value["poison"]):
            writes = self._build_writes(key, known.poison, row)
            done = commit_checked(self._table, writes)
            if isinstance(done, Err):
                return False
        with self._lock:
            self._known[fingerprint] = known._replace(recorded=True)
        return True

    def _build_writes(self, key: str, is_poison: bool, row: Row | None) -> list[Write]:
        value = {
            "poison": is_poison,
            "trial": "",
            "server": "",
            "writer": uuid.uuid4().hex,
            "wall_time": self._clock.wall_time(),
        }
        writes = [Write(key, value, 0 if row is None else row.revision)]
        if row is not None and row.value["trial"]:
            writes.append(Write(_TRIAL_PREFIX + row.value["server"], None, None))
        return writes

    def _push(self, fingerprints: set[str], recorded: bool) -> None:
        with self._lock:
            entries = [
                Suspect(key, 2 if self._known[key].poison else 1, self._known[key].poison)
                for key in fingerprints
                if key in self._known
            ]
        if not entries:
            return
        heard = self._peers.broadcast(
            lambda client: client.suspects(entries), _PUSH_TIMEOUT_SECONDS
        )
        if recorded and any(isinstance(reply, Err) for reply in heard.values()):
            # A peer that was not reached learns of the rows by its next scan.
            self._clock.wait(self._stop, 1.5 * self._scan_interval())

    def _read_rows(self) -> list[Row] | None:
        rows: list[Row] = []
        while True:
            page = self._table.scan(_PREFIX, rows[-1].key if rows else "")
            if isinstance(page, Err):
                return None
            if not page.ok_value:
                return rows
            rows += page.ok_value

    def _drop_old(self, rows: list[Row]) -> None:
        limit = self._clock.wall_time() - _ROW_LIFE_SECONDS
        for row in rows:
            if row.value["wall_time"] < limit:
                self._table.commit([Write(row.key, None, row.revision)])

    def _scan_interval(self) -> float:
        return max(_SCAN_SECONDS, len(self._peers.live()) / _SCANS_PER_SECOND)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.scan()
            except Exception as error:
                log_event("crash-guard:error", error=repr(error))
            self._clock.wait(self._stop, self._scan_interval())


def _refuse_without_store() -> Refusal:
    message = "the request was in flight when a server died and cannot be tried without the store"
    return refuse_unavailable(message, _STORE_RETRY_SECONDS)


def refuse_busy() -> Refusal:
    """Return the refusal of a suspect that found no worker for its trial."""
    message = "the request was in flight when a server died and waits for a trial"
    return refuse_unavailable(message, _BUSY_RETRY_SECONDS)
