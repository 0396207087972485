"""Trials of suspects, and the decision who crashed a worker on which a trial ran."""

import uuid
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.crash.rows import (
    PREFIX,
    TRIAL_PREFIX,
    SuspectRows,
)
from trefoilreach._internal.coordination.crash.runs import (
    GuardedRun,
    TrialBusy,
    refuse_poison,
    refuse_without_store,
)
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.commits import commit_checked
from trefoilreach._internal.state.table import RevisionConflict, Row, TableService, Write

# A trial whose row did not change for longer has lost its daemon.
_TRIAL_LIFE_SECONDS = 150.0
# Daemons whose requests ran beside a trial notice the crash and record them in this time.
_RECORDING_SECONDS = 1.5
# Companions whose callers left get no trial; the accused is not left undecided for longer.
_DECISION_LIMIT_SECONDS = 15.0


class _Fault(Enum):
    OPEN = "open"
    OWN = "own"
    OTHER = "other"


class Trial(NamedTuple):
    """Leave to run.

    :param writer: names the leases; empty when the request is no suspect any more.
    """

    writer: str


class Trials:
    """Begins and ends trials, each under a lease on its row and on its worker's.

    :param note_poison: called with the fingerprint of a request that became poison.
    """

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        rows: SuspectRows,
        note_poison: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._table = table
        self._rows = rows
        self._note_poison = note_poison
        self._first_seen: dict[str, tuple[int, float]] = {}
        self._unreleased: list[tuple[GuardedRun, bool]] = []

    def begin(self, fingerprint: str, server: str) -> Result[Trial, Refusal | TrialBusy]:
        """Take the leases of a trial; without a row none is needed."""
        found = self._rows.get(fingerprint)
        if isinstance(found, Err):
            return Err(refuse_without_store())
        row = found.ok_value
        if row is None:
            return Ok(Trial(""))
        if row.value["poison"]:
            self._note_poison(fingerprint)
            return Err(refuse_poison())
        if row.value.get("accused"):
            return Err(self._decide(row))
        if row.value["trial"]:
            return Err(self._judge_trial(row))
        return self._take_leases(row, server)

    def release(self, run: GuardedRun, succeeded: bool) -> bool:
        """Give the leases of a trial back; return whether the request was cleared now."""
        found = self._rows.get(run.fingerprint)
        if isinstance(found, Err):
            self._unreleased.append((run, succeeded))
            return False
        row = found.ok_value
        if row is None or row.value["trial"] != run.writer:
            return False
        value = None if succeeded else {**row.value, "trial": "", "writer": uuid.uuid4().hex}
        writes = [
            Write(row.key, value, row.revision),
            Write(TRIAL_PREFIX + run.server, None, None),
        ]
        if isinstance(self._table.commit(writes), Err):
            # A write that took effect after all is seen by the next reading.
            self._unreleased.append((run, succeeded))
            return False
        return succeeded

    def release_late(self) -> list[str]:
        """Release what the table did not take before; return the fingerprints cleared now."""
        unreleased, self._unreleased = self._unreleased, []
        return [run.fingerprint for run, succeeded in unreleased if self.release(run, succeeded)]

    def forget(self, keys: set[str]) -> None:
        """Stop watching rows that are gone; ``keys`` are those that remain."""
        for key in list(self._first_seen):
            if key.startswith(PREFIX) and key not in keys:
                self._first_seen.pop(key, None)

    def _take_leases(self, row: Row, server: str) -> Result[Trial, Refusal | TrialBusy]:
        writer = uuid.uuid4().hex
        value = {**row.value, "trial": writer, "server": server, "writer": writer}
        lease = {"fingerprint": row.key[len(PREFIX) :], "writer": writer}
        writes = [Write(row.key, value, row.revision), Write(TRIAL_PREFIX + server, lease, 0)]
        done = commit_checked(self._table, writes)
        if isinstance(done, Ok):
            return Ok(Trial(writer))
        if isinstance(done.err_value, RevisionConflict):
            self._break_old_lease(server)
            return Err(TrialBusy())
        return Err(refuse_without_store())

    def _decide(self, row: Row) -> Refusal | TrialBusy:
        """Decide on a request that was the trial on a worker that died."""
        rows = self._rows.read_all()
        if rows is None:
            return refuse_without_store()
        fault = self._find_fault(row, rows, frozenset())
        if fault is _Fault.OTHER:
            self._rows.change(row.key, {**row.value, "accused": ""}, row)
        if fault is not _Fault.OWN:
            return TrialBusy()
        return self._condemn(row)

    def _find_fault(self, row: Row, rows: list[Row], asked: frozenset[str]) -> _Fault:
        """Return whether a trial crashed its worker, or one of the requests beside it.

        Requests beside the trial became suspects by the same crash and get trials of
        their own.

        :param asked: keys of the rows whose decision waits for this one.
        """
        age = self._age(row)
        if age < _RECORDING_SECONDS:
            return _Fault.OPEN
        crash = row.value["accused"]
        beside = [
            entry
            for entry in rows
            if entry.key != row.key and crash in entry.value.get("crashes", ())
        ]
        faults = [self._find_own_fault(entry, rows, asked | {row.key}) for entry in beside]
        if _Fault.OWN in faults:
            return _Fault.OTHER
        if _Fault.OPEN in faults and age < _DECISION_LIMIT_SECONDS:
            return _Fault.OPEN
        return _Fault.OWN

    def _find_own_fault(self, row: Row, rows: list[Row], asked: frozenset[str]) -> _Fault:
        if row.value["poison"]:
            return _Fault.OWN
        if not row.value.get("accused") or row.key in asked:
            return _Fault.OPEN
        return self._find_fault(row, rows, asked)

    def _judge_trial(self, row: Row) -> Refusal | TrialBusy:
        """Return why a trial cannot begin; one without a daemon may have crashed its worker."""
        return self._condemn(row) if self._is_old(row) else TrialBusy()

    def _condemn(self, row: Row) -> Refusal:
        self._rows.change(row.key, {**row.value, "poison": True, "trial": "", "accused": ""}, row)
        self._note_poison(row.key[len(PREFIX) :])
        return refuse_poison()

    def _break_old_lease(self, server: str) -> None:
        found = self._table.get(TRIAL_PREFIX + server)
        if isinstance(found, Ok) and found.ok_value is not None and self._is_old(found.ok_value):
            self._table.commit([Write(found.ok_value.key, None, found.ok_value.revision)])

    def _is_old(self, row: Row) -> bool:
        """Return whether a row is unchanged for longer than a trial lasts, by this clock."""
        return self._age(row) > _TRIAL_LIFE_SECONDS

    def _age(self, row: Row) -> float:
        """Return for how long this daemon has seen a row unchanged."""
        now = self._clock.now()
        revision, since = self._first_seen.get(row.key, (0, now))
        if revision != row.revision:
            self._first_seen[row.key] = (row.revision, now)
            return 0.0
        return now - since
