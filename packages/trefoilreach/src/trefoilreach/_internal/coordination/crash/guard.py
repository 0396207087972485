"""Limits how many workers one request can crash.

A request that was in flight when its worker died is a suspect. A suspect runs only as a
trial, under a lease on its own row and on the worker's. When the worker of a trial dies,
the trial becomes poison, unless a request that ran beside it turns out to be at fault.
"""

import threading
from collections.abc import Sequence
from contextlib import ExitStack
from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.crash.rows import (
    Finding,
    SuspectRows,
    find_row_fingerprint,
)
from trefoilreach._internal.coordination.crash.runs import (
    GuardedRun,
    RunsElsewhere,
    Standing,
    TrialBusy,
    refuse_poison,
    refuse_without_store,
)
from trefoilreach._internal.coordination.crash.together import RunsTogether
from trefoilreach._internal.coordination.crash.trials import Trials
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import Suspect
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.table import TableService

_SCAN_SECONDS = 2.0
# Larger fleets scan less often, so that scans stay under 50 reads a second in all.
_SCANS_PER_SECOND = 50.0
_PUSH_TIMEOUT_SECONDS = 0.5


class _Known(NamedTuple):
    """What this daemon knows of a request; ``unrecorded`` is not in the table yet."""

    poison: bool
    since: float
    unrecorded: Finding | None


class CrashGuard:
    """Suspects and poison of the whole fleet, in the table and in each daemon's memory."""

    def __init__(self, clock: Clock, table: TableService, peers: Peers) -> None:
        self.together = RunsTogether(clock, peers)
        self._clock = clock
        self._peers = peers
        self._rows = SuspectRows(clock, table)
        self._trials = Trials(clock, table, self._rows, self._hear_poison)
        self._lock = threading.Lock()
        self._recording = threading.Lock()
        self._known: dict[str, _Known] = {}
        self._runs: dict[int, GuardedRun] = {}
        self._number = 0
        self._scanned_at = clock.now()
        self._stop = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Scan the table until the exit stack closes."""
        stack.callback(self._stop.set)
        self.together.start(stack)
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

    def begin(
        self, fingerprint: str, server: str, instance: str = ""
    ) -> Result[GuardedRun, Refusal | TrialBusy]:
        """Note that a request goes to a worker; a suspect takes its leases first.

        :param instance: the worker's process; empty when it is not known.
        """
        standing = self.check(fingerprint)
        if standing is Standing.POISON:
            return Err(refuse_poison())
        run = GuardedRun(0, fingerprint, server, instance)
        if standing is Standing.SUSPECT:
            return self._begin_trial(run)
        claim, elsewhere = self.together.claim(fingerprint, server)
        if elsewhere:
            return Err(RunsElsewhere(elsewhere))
        if self.check(fingerprint) is Standing.CLEAR:
            return Ok(self._add_run(run._replace(claim=claim)))
        # An identical request crashed its worker while this one asked.
        self.together.end(fingerprint, claim, completed=False)
        return Err(TrialBusy())

    def end(self, run: GuardedRun, succeeded: bool) -> None:
        """Note the end of an attempt; a trial that succeeded is no suspect any more."""
        with self._lock:
            listed = self._runs.pop(run.number, None) is not None
        if run.claim:
            self.together.end(run.fingerprint, run.claim, succeeded)
        if run.writer and listed and self._trials.release(run, succeeded):
            self._clear([run.fingerprint])

    def worker_died(self, server: str) -> None:
        """Record what was in flight on a worker; returns when it may be tried again or answered."""
        with self._recording:
            with self._lock:
                runs = [run for run in self._runs.values() if run.server == server]
                for run in runs:
                    del self._runs[run.number]
                findings = {run.fingerprint: self._judge(run, runs) for run in runs}
                for fingerprint, finding in findings.items():
                    self._note(fingerprint, finding.poison, finding)
            if not runs:
                return
            for fingerprint in findings:
                self.together.registry.note_suspect(fingerprint)
            trials = sum(bool(run.writer) for run in runs)
            log_event("worker:died", server=server, suspects=len(findings), trials=trials)
            recorded = self._record(set(findings))
            self._push(set(findings), recorded)

    def hear(self, suspects: Sequence[Suspect]) -> None:
        """Take what a peer found; an entry without crashes is clear again."""
        with self._lock:
            for entry in suspects:
                if entry.crashes == 0 and not entry.poison:
                    self._known.pop(entry.fingerprint, None)
                else:
                    # The peer may not have reached the table; it is looked up there later.
                    poison = bool(entry.poison)
                    self._note(entry.fingerprint, poison, Finding(poison))
        for entry in suspects:
            self.together.registry.note_suspect(entry.fingerprint)

    def scan(self) -> None:
        """Read all rows; entries that are in none of them are forgotten."""
        started = self._clock.now()
        self._scanned_at = started
        rows = self._rows.read_all()
        if rows is None:
            return
        found = {find_row_fingerprint(row): bool(row.value["poison"]) for row in rows}
        with self._lock:
            for fingerprint, known in list(self._known.items()):
                recorded = known.unrecorded is None
                if recorded and known.since < started and fingerprint not in found:
                    del self._known[fingerprint]
            for fingerprint, is_poison in found.items():
                self._note(fingerprint, is_poison, None)
            settled = started - self._scan_interval()
            unrecorded = {
                key
                for key, known in self._known.items()
                if known.unrecorded is not None and known.since <= settled
            }
        self._record(unrecorded)
        self._rows.drop_old(rows)
        self._trials.forget({row.key for row in rows})
        self._clear(self._trials.release_late())

    def _judge(self, run: GuardedRun, runs: list[GuardedRun]) -> Finding:
        if not run.writer:
            return Finding(False, run.place)
        others = len(runs) > 1 or len(self._peers.live()) > 1
        accused = others and bool(run.place)
        return Finding(not accused, run.place, accused)

    def _note(self, fingerprint: str, is_poison: bool, finding: Finding | None) -> None:
        known = self._known.get(fingerprint)
        if known is not None:
            is_poison = is_poison or known.poison
            if finding in (None, Finding(False)):
                finding = known.unrecorded if finding is None else known.unrecorded or finding
        self._known[fingerprint] = _Known(is_poison, self._clock.now(), finding)

    def _add_run(self, run: GuardedRun) -> GuardedRun:
        with self._lock:
            self._number += 1
            run = run._replace(number=self._number)
            self._runs[run.number] = run
        return run

    def _begin_trial(self, run: GuardedRun) -> Result[GuardedRun, Refusal | TrialBusy]:
        with self._lock:
            known = self._known.get(run.fingerprint)
        if known is not None and not self._record({run.fingerprint}):
            return Err(refuse_without_store())
        begun = self._trials.begin(run.fingerprint, run.server)
        if isinstance(begun, Err):
            return Err(begun.err_value)
        if not begun.ok_value.writer:
            with self._lock:
                self._known.pop(run.fingerprint, None)
        return Ok(self._add_run(run._replace(writer=begun.ok_value.writer)))

    def _hear_poison(self, fingerprint: str) -> None:
        self.hear([Suspect(fingerprint, 2, True)])

    def _clear(self, fingerprints: Sequence[str]) -> None:
        """Tell every daemon that requests are no suspects any more."""
        if not fingerprints:
            return
        entries = [Suspect(fingerprint, 0, False) for fingerprint in fingerprints]
        self.hear(entries)
        for fingerprint in fingerprints:
            self.together.registry.note_completed(fingerprint)
        self._peers.broadcast(lambda client: client.suspects(entries), _PUSH_TIMEOUT_SECONDS)

    def _record(self, fingerprints: set[str]) -> bool:
        """Write rows; return whether all are written."""
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

    def _scan_interval(self) -> float:
        return max(_SCAN_SECONDS, len(self._peers.live()) / _SCANS_PER_SECOND)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.scan()
            except Exception as error:
                log_event("crash-guard:error", error=repr(error))
            self._clock.wait(self._stop, self._scan_interval())
