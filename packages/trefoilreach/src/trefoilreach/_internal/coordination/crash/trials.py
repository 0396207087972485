"""Trials of suspects, and the decision which request crashed the worker of a trial."""

import uuid
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.crash.attempts import (
    GuardedAttempt,
    TrialPending,
    refuse_poison,
    refuse_without_store,
)
from trefoilreach._internal.coordination.crash.rows import (
    SUSPECT_PREFIX,
    TRIAL_LEASE_PREFIX,
    SuspectRows,
)
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.commits import commit_checked
from trefoilreach._internal.state.table import RevisionConflict, Row, TableService, Write

# A trial whose row has not changed for longer is abandoned: its daemon has died.
_MAX_TRIAL_SECONDS = 150.0
# Time in which the daemons of concurrent requests notice the crash and record them.
_RECORDING_WAIT_SECONDS = 1.5
# Concurrent requests whose callers left get no trial, so the decision waits no longer than
# this for their trials.
_MAX_DECISION_WAIT_SECONDS = 15.0


class _Fault(Enum):
    """Which request crashed the worker of a trial: not known yet, the trial, another one."""

    OPEN = "open"
    OWN = "own"
    OTHER = "other"


class Trial(NamedTuple):
    """Permission to run a request.

    :param writer: writer of the leases; empty when the request is no longer a suspect.
    """

    writer: str


class Trials:
    """Begins and ends trials, each under a lease on the request's row and one on the worker.

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
        self._revision_seen_at: dict[str, tuple[int, float]] = {}
        self._unreleased: list[tuple[GuardedAttempt, bool]] = []

    def begin(self, fingerprint: str, server: str) -> Result[Trial, Refusal | TrialPending]:
        """Acquire the leases of a trial; a request without a row needs none."""
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
            return Err(self._decide_accused(row))
        if row.value["trial"]:
            return Err(self._check_registered_trial(row))
        return self._take_leases(row, server)

    def release(self, run: GuardedAttempt, succeeded: bool) -> bool:
        """Release the leases of a trial; return whether its request is no longer a suspect now."""
        found = self._rows.get(run.fingerprint)
        if isinstance(found, Err):
            self._unreleased.append((run, succeeded))
            return False
        row = found.ok_value
        if row is None or row.value["trial"] != run.trial:
            return False
        value = None if succeeded else {**row.value, "trial": "", "writer": uuid.uuid4().hex}
        writes = [
            Write(row.key, value, row.revision),
            Write(TRIAL_LEASE_PREFIX + run.server, None, None),
        ]
        if isinstance(self._table.commit(writes), Err):
            # If the write took effect after all, the next attempt reads that from the row.
            self._unreleased.append((run, succeeded))
            return False
        return succeeded

    def retry_releases(self) -> list[str]:
        """Retry failed releases; return the fingerprints that are no longer suspects now."""
        unreleased, self._unreleased = self._unreleased, []
        return [run.fingerprint for run, succeeded in unreleased if self.release(run, succeeded)]

    def forget_missing(self, keys: set[str]) -> None:
        """Forget rows that no longer exist; ``keys`` are those that do."""
        for key in list(self._revision_seen_at):
            if key.startswith(SUSPECT_PREFIX) and key not in keys:
                self._revision_seen_at.pop(key, None)

    def _take_leases(self, row: Row, server: str) -> Result[Trial, Refusal | TrialPending]:
        writer = uuid.uuid4().hex
        value = {**row.value, "trial": writer, "server": server, "writer": writer}
        lease = {"fingerprint": row.key[len(SUSPECT_PREFIX) :], "writer": writer}
        writes = [Write(row.key, value, row.revision), Write(TRIAL_LEASE_PREFIX + server, lease, 0)]
        done = commit_checked(self._table, writes)
        if isinstance(done, Ok):
            return Ok(Trial(writer))
        if isinstance(done.err_value, RevisionConflict):
            self._delete_abandoned_lease(server)
            return Err(TrialPending())
        return Err(refuse_without_store())

    def _decide_accused(self, row: Row) -> Refusal | TrialPending:
        """Decide whether a request whose trial's worker died may run; return why it cannot now."""
        rows = self._rows.read_all()
        if rows is None:
            return refuse_without_store()
        fault = self._find_fault(row, rows, frozenset())
        if fault is _Fault.OTHER:
            self._rows.change(row.key, {**row.value, "accused": ""}, row)
        if fault is not _Fault.OWN:
            return TrialPending()
        return self._mark_poison(row)

    def _find_fault(self, row: Row, rows: list[Row], pending: frozenset[str]) -> _Fault:
        """Return whether a trial crashed its worker, or one of the requests beside it.

        Requests that ran beside the trial became suspects by the same crash, and get
        trials of their own.

        :param pending: keys of the rows whose decision depends on this one, against cycles.
        """
        unchanged = self._get_unchanged_seconds(row)
        if unchanged < _RECORDING_WAIT_SECONDS:
            return _Fault.OPEN
        crash = row.value["accused"]
        concurrent = [
            entry
            for entry in rows
            if entry.key != row.key and crash in entry.value.get("crashes", ())
        ]
        faults = [
            self._find_concurrent_fault(entry, rows, pending | {row.key}) for entry in concurrent
        ]
        if _Fault.OWN in faults:
            return _Fault.OTHER
        if _Fault.OPEN in faults and unchanged < _MAX_DECISION_WAIT_SECONDS:
            return _Fault.OPEN
        return _Fault.OWN

    def _find_concurrent_fault(self, row: Row, rows: list[Row], pending: frozenset[str]) -> _Fault:
        if row.value["poison"]:
            return _Fault.OWN
        if not row.value.get("accused") or row.key in pending:
            return _Fault.OPEN
        return self._find_fault(row, rows, pending)

    def _check_registered_trial(self, row: Row) -> Refusal | TrialPending:
        """Return why a trial cannot begin while one is registered.

        An abandoned trial may have crashed its worker, so its request becomes poison.
        """
        return self._mark_poison(row) if self._is_abandoned(row) else TrialPending()

    def _mark_poison(self, row: Row) -> Refusal:
        self._rows.change(row.key, {**row.value, "poison": True, "trial": "", "accused": ""}, row)
        self._note_poison(row.key[len(SUSPECT_PREFIX) :])
        return refuse_poison()

    def _delete_abandoned_lease(self, server: str) -> None:
        found = self._table.get(TRIAL_LEASE_PREFIX + server)
        if (
            isinstance(found, Ok)
            and found.ok_value is not None
            and self._is_abandoned(found.ok_value)
        ):
            self._table.commit([Write(found.ok_value.key, None, found.ok_value.revision)])

    def _is_abandoned(self, row: Row) -> bool:
        """Return whether a row has not changed for longer than a trial lasts."""
        return self._get_unchanged_seconds(row) > _MAX_TRIAL_SECONDS

    def _get_unchanged_seconds(self, row: Row) -> float:
        """Return for how many seconds of its clock this daemon has seen a row unchanged."""
        now = self._clock.now()
        revision, since = self._revision_seen_at.get(row.key, (0, now))
        if revision != row.revision:
            self._revision_seen_at[row.key] = (row.revision, now)
            return 0.0
        return now - since
