"""State that a daemon reports about itself, and its encoding as a datagram."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from trefoilreach._internal.coordination.quota.fleet_buckets import AccountUsage
from trefoilreach._internal.coordination.serving.crashing_parts import (
    AnsweredPart,
    BlockedPart,
    CrashedRun,
)
from trefoilreach._internal.coordination.serving.outcomes import OutcomeCounts
from trefoilreach._internal.coordination.serving.slot_table import PeerLoad, QueueRank, RunCounts
from trefoilreach._internal.protocol.checked_values import (
    MAX_INT32,
    MAX_INT64,
    MAX_PORT,
    check_address,
    check_host,
    check_integer,
    check_name,
    check_number,
    check_port,
)
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
from trefoilreach._internal.protocol.gen.fleet.ttypes import AnsweredPart as AnsweredPartEntry
from trefoilreach._internal.protocol.gen.fleet.ttypes import BlockedPart as BlockedPartEntry
from trefoilreach._internal.protocol.gen.fleet.ttypes import Identity as IdentityEntry

_MS_PER_SECOND = 1000.0
_MAX_MILLISECONDS = MAX_INT32
# A report must fit in a datagram that no link fragments, so lists that can be long are limited.
_MAX_WAITERS = 16
_MAX_CRASHES = 32
_MAX_CRASH_PARTS = 96
_MAX_ANSWERED_PARTS = 32
_MAX_JOBS = 32
_MILLICORES_PER_CORE = 1000.0
# Processor cores of a VM that a report can state.
MAX_CORES = MAX_INT32 / _MILLICORES_PER_CORE
_FACTORY = TCompactProtocolAcceleratedFactory()


class Identity(NamedTuple):
    """A daemon process.

    :param incarnation: number that grows with each start of the VM's daemon.
    :param port: UDP port for reports.
    :param front: address (``host:port``) for callers.
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


class DaemonState(NamedTuple):
    """State that a report carries besides the sender's identity.

    A short report has only the changed entries of ``account_uses``, ``job_result_counts`` and
    ``outcomes``.

    :param accepting: whether callers may be sent to this daemon.
    :param leaving: whether a planned stop has started.
    :param uptime: seconds since the daemon started.
    :param store_silent_seconds: seconds since the store last answered.
    :param account_uses: admissions by account.
    :param job_result_counts: number of listed results, by batch job that the sender runs.
    :param suspects: workers that do not answer the sender.
    :param outcomes: numbers of successful and failed requests, by worker.
    :param active: whether the sender follows every change of the other active daemons.
    :param answered_parts: suspected prompt parts of requests that workers have answered here.
    :param blocked_parts: prompt parts that crash workers.
    """

    accepting: bool
    leaving: bool
    config_version: int
    uptime: float
    store_silent_seconds: float
    runs: Mapping[str, RunCounts]
    waiting: Mapping[str, tuple[QueueRank, ...]]
    account_uses: Mapping[str, AccountUsage]
    job_result_counts: Mapping[str, int]
    suspects: tuple[str, ...]
    crashes: tuple[CrashedRun, ...]
    outcomes: Mapping[str, OutcomeCounts]
    active: bool = True
    answered_parts: tuple[AnsweredPart, ...] = ()
    blocked_parts: tuple[BlockedPart, ...] = ()

    def slot_load(self, now: float) -> PeerLoad:
        """Return the running and waiting requests, as known at ``now``."""
        return PeerLoad(now, self.runs, self.waiting)


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return bytes(serialize(datagram, _FACTORY))


def decode(data: bytes) -> Datagram | None:
    """Return a datagram, or None when the bytes are malformed."""
    try:
        return deserialize(Datagram(), data, _FACTORY)
    except (TException, EOFError, ValueError, TypeError, OverflowError, RecursionError):
        return None


def check_report(report: Report) -> None:
    """Check that a report has all fields that its reader needs, with values that it can use.

    :raises ValueError: when one is missing or cannot be used.
    """
    check_name(report.vm)
    _check_integers(report.incarnation, report.sequence)
    identity = report.identity
    if identity is not None:
        check_host(identity.host)
        check_port(identity.port)
        check_integer(identity.control_port, 0, MAX_PORT)
        check_address(identity.front)
        check_name(identity.data_centre)
        check_integer(identity.uptime_ms, 0, MAX_INT32)
        check_integer(identity.millicores, 0, MAX_INT32)
    for runs in report.runs or ():
        _check_texts(runs.worker)
        check_integer(runs.online, 0, MAX_INT32)
        check_integer(runs.batch, 0, MAX_INT32)
    for waiter in report.waiters or ():
        _check_texts(waiter.pool)
        _check_integers(waiter.urgency, waiter.order_ms)
    for use in report.accounts or ():
        _check_texts(use.account)
        _check_integers(use.admitted)
        check_number(use.level, -MAX_INT64, MAX_INT64)
    for job in report.jobs or ():
        _check_texts(job.job)
        _check_integers(job.results)
    _check_texts(*(report.suspects or ()))
    for crash in report.crashes or ():
        _check_texts(crash.fingerprint, crash.worker, *(crash.parts or ()))
    for outcome in report.outcomes or ():
        _check_texts(outcome.worker)
        _check_integers(outcome.good, outcome.bad)
    for answered in report.answered_parts or ():
        _check_texts(answered.part)
        _check_integers(answered.age_ms)
    for blocked in report.blocked_parts or ():
        _check_texts(blocked.part)
        _check_integers(blocked.age_ms)
        check_integer(blocked.trials, 0, MAX_INT32)


def _check_texts(*values: Any) -> None:
    if not all(isinstance(value, str) for value in values):
        raise ValueError("not a text")


def _check_integers(*values: Any) -> None:
    if not all(isinstance(value, int) for value in values):
        raise ValueError("not a whole number")


def encode_bundle(
    vm: str, spread: int, reports: list[Report], late: list[str] | None = None
) -> bytes:
    """Return the datagram that carries reports.

    :param vm: the sender.
    :param spread: to whom the receiver relays the reports.
    :param late: active daemons that are silent; only to standby daemons.
    """
    return encode(Datagram(bundle=Bundle(vm, spread, reports, late)))


class ReportBuilder:
    """Creates the reports of one daemon: full ones, and short ones that hold changes."""

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._sequence = 0
        self._uses: Mapping[str, AccountUsage] = {}
        self._jobs: Mapping[str, int] = {}
        self._outcomes: Mapping[str, OutcomeCounts] = {}

    def build(self, statement: DaemonState, now: float, full: bool) -> Report:
        """Return the next report, with times as durations relative to ``now``.

        :param full: whether to create a full report.
        """
        self._sequence += 1
        # If a datagram with a change is lost, the next full report repeats the entry.
        uses = _find_changes({} if full else self._uses, statement.account_uses)
        jobs = _find_changes({} if full else self._jobs, statement.job_result_counts)
        outcomes = _find_changes({} if full else self._outcomes, statement.outcomes)
        self._uses, self._jobs = statement.account_uses, statement.job_result_counts
        self._outcomes = statement.outcomes
        identity = self._identity
        return Report(
            vm=identity.vm,
            incarnation=identity.incarnation,
            sequence=self._sequence,
            identity=_encode_identity(identity, statement.uptime) if full else None,
            accepting=statement.accepting,
            leaving=statement.leaving,
            config_version=statement.config_version,
            store_age_ms=_to_milliseconds(statement.store_silent_seconds),
            runs=[WorkerRuns(name, r.online, r.batch) for name, r in statement.runs.items()]
            or None,
            waiters=_encode_waiters(statement, now) or None,
            accounts=[AccountUse(name, u.admitted, u.level) for name, u in uses.items()] or None,
            jobs=[JobProgress(job, count) for job, count in jobs.items()][-_MAX_JOBS:] or None,
            suspects=list(statement.suspects) or None,
            crashes=_encode_crashes(statement.crashes) or None,
            outcomes=[WorkerOutcomes(name, *o) for name, o in outcomes.items()] or None,
            standby=None if statement.active else True,
            answered_parts=[
                AnsweredPartEntry(entry.part, _to_milliseconds(entry.age_seconds))
                for entry in statement.answered_parts[-_MAX_ANSWERED_PARTS:]
            ]
            or None,
            blocked_parts=[
                BlockedPartEntry(entry.part, _to_milliseconds(entry.age_seconds), entry.trials)
                for entry in statement.blocked_parts
            ]
            or None,
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
        uptime_ms=_to_milliseconds(uptime),
        millicores=int(identity.cores * _MILLICORES_PER_CORE),
    )


def _encode_waiters(statement: DaemonState, now: float) -> list[Waiter]:
    return [
        Waiter(service, entry.urgency, _to_milliseconds(entry.order_time - now))
        for service, entries in statement.waiting.items()
        for entry in sorted(entries)[:_MAX_WAITERS]
    ]


def _encode_crashes(crashes: tuple[CrashedRun, ...]) -> list[Crash]:
    """Return the newest crashes, as many as a datagram has room for."""
    entries: list[Crash] = []
    parts = 0
    for crash in reversed(crashes[-_MAX_CRASHES:]):
        parts += len(crash.shared_parts)
        if entries and parts > _MAX_CRASH_PARTS:
            break
        entries.append(
            Crash(
                crash.fingerprint,
                crash.worker,
                list(crash.shared_parts) or None,
                _to_milliseconds(crash.age_seconds),
            )
        )
    return entries[::-1]


def parse_identity(report: Report) -> Identity | None:
    """Return the sender of a full report; None for a short report."""
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
        entry.millicores / _MILLICORES_PER_CORE,
    )


def parse_statement(report: Report, now: float, uptime: float = 0.0) -> DaemonState:
    """Return the state in a report, with times by this daemon's clock.

    :param uptime: uptime of the sender, estimated from earlier reports; used for short reports.
    """
    waiting: dict[str, list[QueueRank]] = {}
    for waiter in report.waiters or ():
        entry = QueueRank(waiter.urgency, now + waiter.order_ms / _MS_PER_SECOND)
        waiting.setdefault(waiter.pool, []).append(entry)
    if report.identity is not None:
        uptime = report.identity.uptime_ms / _MS_PER_SECOND
    return DaemonState(
        accepting=bool(report.accepting),
        leaving=bool(report.leaving),
        config_version=report.config_version or 0,
        uptime=uptime,
        store_silent_seconds=(report.store_age_ms or 0) / _MS_PER_SECOND,
        runs={entry.worker: RunCounts(entry.online, entry.batch) for entry in report.runs or ()},
        waiting={service: tuple(entries) for service, entries in waiting.items()},
        account_uses={
            entry.account: AccountUsage(entry.admitted, entry.level)
            for entry in report.accounts or ()
        },
        job_result_counts={entry.job: entry.results for entry in report.jobs or ()},
        suspects=tuple(report.suspects or ()),
        crashes=tuple(
            CrashedRun(
                entry.fingerprint,
                entry.worker,
                tuple(entry.parts or ()),
                (entry.age_ms or 0) / _MS_PER_SECOND,
            )
            for entry in report.crashes or ()
        ),
        outcomes={
            entry.worker: OutcomeCounts(entry.good, entry.bad) for entry in report.outcomes or ()
        },
        active=not report.standby,
        answered_parts=tuple(
            AnsweredPart(entry.part, entry.age_ms / _MS_PER_SECOND)
            for entry in report.answered_parts or ()
        ),
        blocked_parts=tuple(
            BlockedPart(entry.part, entry.age_ms / _MS_PER_SECOND, entry.trials)
            for entry in report.blocked_parts or ()
        ),
    )


def _to_milliseconds(seconds: float) -> int:
    return int(max(-_MAX_MILLISECONDS, min(seconds * _MS_PER_SECOND, _MAX_MILLISECONDS)))
