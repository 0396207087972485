"""Limits how many workers one request can crash.

A request that was in flight when its worker died is a suspect. A suspect runs only as a
trial, under a lease on its own row and one on the worker. When the worker of a trial dies,
the request becomes poison and is refused everywhere, unless a request that ran concurrently
on that worker turns out to be at fault.
"""

import threading
from collections.abc import Sequence
from contextlib import ExitStack
from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.crash.attempts import (
    GuardedAttempt,
    IdenticalRequestRunning,
    RequestStatus,
    TrialPending,
    refuse_poison,
    refuse_without_store,
)
from trefoilreach._internal.coordination.crash.identical_requests import IdenticalRequests
from trefoilreach._internal.coordination.crash.rows import (
    Finding,
    SuspectRows,
    get_row_fingerprint,
)
from trefoilreach._internal.coordination.crash.trials import Trials
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import Suspect
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.table import TableService

_MIN_SCAN_INTERVAL_SECONDS = 2.0
# In larger fleets, each daemon scans less often, so that all daemons together stay under
# this number of reads a second.
_MAX_SCANS_PER_SECOND = 50.0
_PUSH_TIMEOUT_SECONDS = 0.5


class _KnownRequest(NamedTuple):
    """What this daemon knows of a request.

    :param since: time of the last news of it, by this daemon's clock.
    :param unrecorded: finding that is not in the table yet.
    """

    poison: bool
    since: float
    unrecorded: Finding | None


class CrashGuard:
    """Tracks the suspects and poison of the whole fleet, in the table and in memory."""

    def __init__(self, clock: Clock, table: TableService, peers: Peers) -> None:
        self.identical_requests = IdenticalRequests(clock, peers)
        self._clock = clock
        self._peers = peers
        self._rows = SuspectRows(clock, table)
        self._trials = Trials(clock, table, self._rows, self._add_poison)
        self._lock = threading.Lock()
        self._record_lock = threading.Lock()
        self._known: dict[str, _KnownRequest] = {}
        self._runs: dict[int, GuardedAttempt] = {}
        self._last_number = 0
        self._scanned_at = clock.now()
        self._stop = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Scan the table until the exit stack closes."""
        stack.callback(self._stop.set)
        self.identical_requests.start(stack)
        threading.Thread(target=self._run, name="crash-guard", daemon=True).start()

    def get_request_status(self, fingerprint: str) -> RequestStatus:
        """Return whether a request may run, as far as this daemon knows."""
        if self._clock.now() - self._scanned_at > 2.0 * self._scan_interval():
            # The process was paused, so it may have missed pushes and scans.
            self.scan()
        with self._lock:
            known = self._known.get(fingerprint)
        if known is None:
            return RequestStatus.CLEAR
        return RequestStatus.POISON if known.poison else RequestStatus.SUSPECT

    def begin_attempt(
        self, fingerprint: str, server: str, instance: str = ""
    ) -> Result[GuardedAttempt, Refusal | TrialPending]:
        """Register an attempt on a worker; a suspect acquires its leases first.

        :param instance: the worker's process; empty when it is not known.
        """
        standing = self.get_request_status(fingerprint)
        if standing is RequestStatus.POISON:
            return Err(refuse_poison())
        run = GuardedAttempt(0, fingerprint, server, instance)
        if standing is RequestStatus.SUSPECT:
            return self._begin_trial(run)
        claim, other_server = self.identical_requests.claim(fingerprint, server)
        if other_server:
            return Err(IdenticalRequestRunning(other_server))
        if self.get_request_status(fingerprint) is RequestStatus.CLEAR:
            return Ok(self._add_run(run._replace(claim=claim)))
        # An identical request crashed its worker during the claim.
        self.identical_requests.end(fingerprint, claim, completed=False)
        return Err(TrialPending())

    def end_attempt(self, run: GuardedAttempt, succeeded: bool) -> None:
        """Remove an attempt; a request whose trial succeeded is no longer a suspect."""
        with self._lock:
            registered = self._runs.pop(run.number, None) is not None
        if run.claim:
            self.identical_requests.end(run.fingerprint, run.claim, succeeded)
        if run.trial and registered and self._trials.release(run, succeeded):
            self._clear([run.fingerprint])

    def record_worker_death(self, server: str) -> None:
        """Record the requests in flight on a dead worker as suspects or poison.

        Returns once they may be retried or answered.
        """
        with self._record_lock:
            with self._lock:
                runs = [run for run in self._runs.values() if run.server == server]
                for run in runs:
                    del self._runs[run.number]
                findings = {run.fingerprint: self._build_finding(run, runs) for run in runs}
                for fingerprint, finding in findings.items():
                    self._update_known(fingerprint, finding.poison, finding)
            if not runs:
                return
            for fingerprint in findings:
                self.identical_requests.registry.note_suspect(fingerprint)
            trials = sum(bool(run.trial) for run in runs)
            log_event("worker:died", server=server, suspects=len(findings), trials=trials)
            recorded = self._record(set(findings))
            self._push(set(findings), recorded)

    def apply_peer_suspects(self, suspects: Sequence[Suspect]) -> None:
        """Apply the findings of a peer; an entry without crashes is no longer a suspect."""
        with self._lock:
            for entry in suspects:
                if entry.crashes == 0 and not entry.poison:
                    self._known.pop(entry.fingerprint, None)
                else:
                    # The peer may not have reached the table, so a later scan records the finding.
                    poison = bool(entry.poison)
                    self._update_known(entry.fingerprint, poison, Finding(poison))
        for entry in suspects:
            self.identical_requests.registry.note_suspect(entry.fingerprint)

    def scan(self) -> None:
        """Read all rows; forget recorded entries whose row is gone."""
        started = self._clock.now()
        self._scanned_at = started
        rows = self._rows.read_all()
        if rows is None:
            return
        found = {get_row_fingerprint(row): bool(row.value["poison"]) for row in rows}
        with self._lock:
            for fingerprint, known in list(self._known.items()):
                recorded = known.unrecorded is None
                if recorded and known.since < started and fingerprint not in found:
                    del self._known[fingerprint]
            for fingerprint, is_poison in found.items():
                self._update_known(fingerprint, is_poison, None)
            record_before = started - self._scan_interval()
            unrecorded = {
                key
                for key, known in self._known.items()
                if known.unrecorded is not None and known.since <= record_before
            }
        self._record(unrecorded)
        self._rows.delete_expired(rows)
        self._trials.forget_missing({row.key for row in rows})
        self._clear(self._trials.retry_releases())

    def _build_finding(self, run: GuardedAttempt, runs: list[GuardedAttempt]) -> Finding:
        """Return the finding for one of the runs that were in flight on a dead worker."""
        if not run.trial:
            return Finding(False, run.process)
        other_suspects = len(runs) > 1 or len(self._peers.list_live()) > 1
        accused = other_suspects and bool(run.process)
        return Finding(not accused, run.process, accused)

    def _update_known(self, fingerprint: str, is_poison: bool, finding: Finding | None) -> None:
        """Update the entry of a request; ``finding`` is None when the table has it."""
        known = self._known.get(fingerprint)
        if known is not None:
            is_poison = is_poison or known.poison
            if finding in (None, Finding(False)):
                finding = known.unrecorded if finding is None else known.unrecorded or finding
        self._known[fingerprint] = _KnownRequest(is_poison, self._clock.now(), finding)

    def _add_run(self, run: GuardedAttempt) -> GuardedAttempt:
        with self._lock:
            self._last_number += 1
            run = run._replace(number=self._last_number)
            self._runs[run.number] = run
        return run

    def _begin_trial(self, run: GuardedAttempt) -> Result[GuardedAttempt, Refusal | TrialPending]:
        with self._lock:
            known = self._known.get(run.fingerprint)
        if known is not None and not self._record({run.fingerprint}):
            return Err(refuse_without_store())
        trial = self._trials.begin(run.fingerprint, run.server)
        if isinstance(trial, Err):
            return Err(trial.err_value)
        if not trial.ok_value.writer:
            with self._lock:
                self._known.pop(run.fingerprint, None)
        return Ok(self._add_run(run._replace(trial=trial.ok_value.writer)))

    def _add_poison(self, fingerprint: str) -> None:
        self.apply_peer_suspects([Suspect(fingerprint, 2, True)])

    def _clear(self, fingerprints: Sequence[str]) -> None:
        """Tell every daemon that requests are no longer suspects."""
        if not fingerprints:
            return
        entries = [Suspect(fingerprint, 0, False) for fingerprint in fingerprints]
        self.apply_peer_suspects(entries)
        for fingerprint in fingerprints:
            self.identical_requests.registry.note_completed(fingerprint)
        self._peers.broadcast(lambda client: client.suspects(entries), _PUSH_TIMEOUT_SECONDS)

    def _record(self, fingerprints: set[str]) -> bool:
        """Write unrecorded findings to the table; return whether all are written."""
        written = [self._record_finding(fingerprint) for fingerprint in fingerprints]
        return all(written)

    def _record_finding(self, fingerprint: str) -> bool:
        with self._lock:
            known = self._known.get(fingerprint)
        if known is None or known.unrecorded is None:
            return True
        if not self._rows.record(fingerprint, known.unrecorded):
            return False
        with self._lock:
            current = self._known.get(fingerprint)
            if current is not None and current.unrecorded == known.unrecorded:
                self._known[fingerprint] = current._replace(unrecorded=None)
        return True

    def _push(self, fingerprints: set[str], recorded: bool) -> None:
        """Send entries to every peer; if one missed recorded ones, wait for its scan."""
        with self._lock:
            entries = [
                Suspect(key, 2 if self._known[key].poison else 1, self._known[key].poison)
                for key in fingerprints
                if key in self._known
            ]
        if not entries:
            return
        replies = self._peers.broadcast(
            lambda client: client.suspects(entries), _PUSH_TIMEOUT_SECONDS
        )
        if recorded and any(isinstance(reply, Err) for reply in replies.values()):
            # A peer that was not reached reads the rows in its next scan.
            self._clock.wait(self._stop, 1.5 * self._scan_interval())

    def _scan_interval(self) -> float:
        return max(_MIN_SCAN_INTERVAL_SECONDS, len(self._peers.list_live()) / _MAX_SCANS_PER_SECOND)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.scan()
            except Exception as error:
                log_event("crash-guard:error", error=repr(error))
            self._clock.wait(self._stop, self._scan_interval())
