"""What a daemon states about itself, and its form as a datagram."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from trefoilreach._internal.coordination.quota.shared import Use
from trefoilreach._internal.coordination.serving.board import PeerLoad, Runs, Waiting
from trefoilreach._internal.coordination.serving.outcomes import Outcomes
from trefoilreach._internal.protocol.gen.fleet.ttypes import (
    AccountUse,
    Bundle,
    Crash,
    Datagram,
    JobProgress,
    Report,
    Waiter,
    WorkerOutcomes,
    WorkerRuns,
)
from trefoilreach._internal.protocol.gen.fleet.ttypes import Identity as IdentityEntry

_MILLISECONDS = 1000.0
_MOST_MILLISECONDS = 2**31 - 1
# A report must fit in a datagram that no link splits; these are the entries that can be many.
_WAITERS_KEPT = 16
_CRASHES_KEPT = 32
_JOBS_KEPT = 32
_MILLICORES = 1000.0
_FACTORY = TCompactProtocolAcceleratedFactory()


class Identity(NamedTuple):
    """A daemon process.

    :param incarnation: grows with each start of the VM's daemon.
    :param front: address for callers.
    :param cores: processor cores of the VM.
    """

    vm: str
    incarnation: int
    host: str
    port: int
    control_port: int
    front: str
    data_centre: str
    cores: float = 1.0


class CrashedRun(NamedTuple):
    """A request that was in flight at a worker that died."""

    fingerprint: str
    worker: str


class Statement(NamedTuple):
    """What a report says beside the sender's identity.

    :param accepting: whether callers may be sent there.
    :param leaving: whether a planned stop has begun.
    :param store_age: seconds since the store last answered.
    :param uses: admissions by account; a peer's report may have only those that changed.
    :param jobs: number of results of the batch jobs that the sender runs; likewise.
    :param suspects: workers that do not answer the sender.
    :param outcomes: requests by worker, good and bad; in a peer's report those that changed.
    """

    accepting: bool
    leaving: bool
    config_version: int
    uptime: float
    store_age: float
    runs: Mapping[str, Runs]
    waiting: Mapping[str, tuple[Waiting, ...]]
    uses: Mapping[str, Use]
    jobs: Mapping[str, int]
    suspects: tuple[str, ...]
    crashes: tuple[CrashedRun, ...]
    outcomes: Mapping[str, Outcomes]

    def load(self, now: float) -> PeerLoad:
        """Return the part that concerns slots."""
        return PeerLoad(now, self.runs, self.waiting)


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return bytes(serialize(datagram, _FACTORY))


def decode(data: bytes) -> Datagram | None:
    """Return a datagram, or None for bytes that are none."""
    try:
        return deserialize(Datagram(), data, _FACTORY)
    except (TException, EOFError, ValueError, TypeError, OverflowError):
        return None


def encode_bundle(vm: str, spread: int, reports: list[Report]) -> bytes:
    """Return the datagram that brings reports.

    :param vm: the sender.
    :param spread: how far the receiver passes them on.
    """
    return encode(Datagram(bundle=Bundle(vm, spread, reports)))


class ReportWriter:
    """Writes the reports of one daemon: whole ones, and the changes since."""

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._sequence = 0
        self._uses: Mapping[str, Use] = {}
        self._jobs: Mapping[str, int] = {}
        self._outcomes: Mapping[str, Outcomes] = {}

    def write(self, statement: Statement, now: float, whole: bool) -> Report:
        """Return the next report; times become durations before ``now``."""
        self._sequence += 1
        # A change that was lost is made good by the next whole report.
        uses = _find_changes({} if whole else self._uses, statement.uses)
        jobs = _find_changes({} if whole else self._jobs, statement.jobs)
        outcomes = _find_changes({} if whole else self._outcomes, statement.outcomes)
        self._uses, self._jobs = statement.uses, statement.jobs
        self._outcomes = statement.outcomes
        identity = self._identity
        return Report(
            vm=identity.vm,
            incarnation=identity.incarnation,
            sequence=self._sequence,
            identity=_encode_identity(identity, statement.uptime) if whole else None,
            accepting=statement.accepting,
            leaving=statement.leaving,
            config_version=statement.config_version,
            store_age_ms=_milliseconds(statement.store_age),
            runs=[WorkerRuns(name, r.online, r.batch) for name, r in statement.runs.items()]
            or None,
            waiters=_encode_waiters(statement, now) or None,
            accounts=[AccountUse(name, u.admitted, u.level) for name, u in uses.items()] or None,
            jobs=[JobProgress(job, count) for job, count in jobs.items()][-_JOBS_KEPT:] or None,
            suspects=list(statement.suspects) or None,
            crashes=[Crash(*crash) for crash in statement.crashes[-_CRASHES_KEPT:]] or None,
            outcomes=[WorkerOutcomes(name, *o) for name, o in outcomes.items()] or None,
        )


def _find_changes(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, Any]:
    return {name: entry for name, entry in after.items() if before.get(name) != entry}


def _encode_identity(identity: Identity, uptime: float) -> IdentityEntry:
    return IdentityEntry(
        host=identity.host,
        port=identity.port,
        control_port=identity.control_port,
        front=identity.front,
        data_centre=identity.data_centre,
        uptime_ms=_milliseconds(uptime),
        millicores=int(identity.cores * _MILLICORES),
    )


def _encode_waiters(statement: Statement, now: float) -> list[Waiter]:
    return [
        Waiter(service, entry.urgency, _milliseconds(entry.order_at - now))
        for service, entries in statement.waiting.items()
        for entry in sorted(entries)[:_WAITERS_KEPT]
    ]


def read_identity(report: Report) -> Identity | None:
    """Return who sent a whole report; None for any other."""
    entry = report.identity
    if entry is None:
        return None
    return Identity(
        report.vm,
        report.incarnation,
        entry.host,
        entry.port,
        entry.control_port,
        entry.front,
        entry.data_centre,
        entry.millicores / _MILLICORES,
    )


def read_statement(report: Report, now: float, uptime: float = 0.0) -> Statement:
    """Return what a report says, with times by this daemon's clock.

    :param uptime: of the sender, as far as it is known from an earlier report.
    """
    waiting: dict[str, list[Waiting]] = {}
    for waiter in report.waiters or ():
        entry = Waiting(waiter.urgency, now + waiter.order_ms / _MILLISECONDS)
        waiting.setdefault(waiter.pool, []).append(entry)
    if report.identity is not None:
        uptime = report.identity.uptime_ms / _MILLISECONDS
    return Statement(
        accepting=bool(report.accepting),
        leaving=bool(report.leaving),
        config_version=report.config_version or 0,
        uptime=uptime,
        store_age=(report.store_age_ms or 0) / _MILLISECONDS,
        runs={entry.worker: Runs(entry.online, entry.batch) for entry in report.runs or ()},
        waiting={service: tuple(entries) for service, entries in waiting.items()},
        uses={entry.account: Use(entry.admitted, entry.level) for entry in report.accounts or ()},
        jobs={entry.job: entry.results for entry in report.jobs or ()},
        suspects=tuple(report.suspects or ()),
        crashes=tuple(CrashedRun(c.fingerprint, c.worker) for c in report.crashes or ()),
        outcomes={entry.worker: Outcomes(entry.good, entry.bad) for entry in report.outcomes or ()},
    )


def _milliseconds(seconds: float) -> int:
    return int(max(-_MOST_MILLISECONDS, min(seconds * _MILLISECONDS, _MOST_MILLISECONDS)))
