"""What a daemon states about itself, and its form as a datagram."""

from collections.abc import Mapping
from typing import NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from trefoilreach._internal.coordination.quota.shared import Use
from trefoilreach._internal.coordination.serving.board import PeerLoad, Runs, Waiting
from trefoilreach._internal.protocol.gen.fleet.ttypes import (
    AccountUse,
    Crash,
    Datagram,
    JobProgress,
    Report,
    Waiter,
    WorkerRuns,
)

_MILLISECONDS = 1000.0
_MOST_MILLISECONDS = 2**31 - 1
# A report must fit in a datagram that no link splits; these are the entries that can be many.
_WAITERS_KEPT = 16
_CRASHES_KEPT = 32
_JOBS_KEPT = 32
_FACTORY = TCompactProtocolAcceleratedFactory()


class Identity(NamedTuple):
    """A daemon process.

    :param incarnation: grows with each start of the VM's daemon.
    :param front: address for callers.
    """

    vm: str
    incarnation: int
    host: str
    port: int
    control_port: int
    front: str
    data_centre: str


class CrashedRun(NamedTuple):
    """A request that was in flight at a worker that died."""

    fingerprint: str
    worker: str


class Statement(NamedTuple):
    """What a report says beside the sender's identity.

    :param accepting: whether callers may be sent there.
    :param leaving: whether a planned stop has begun.
    :param store_age: seconds since the store last answered.
    :param jobs: number of results of the batch jobs that the sender runs.
    :param suspects: workers that do not answer the sender.
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


def encode_report(identity: Identity, sequence: int, statement: Statement, now: float) -> bytes:
    """Return the datagram of a report; times become durations before ``now``."""
    waiters = [
        Waiter(service, entry.urgency, _milliseconds(entry.order_at - now))
        for service, entries in statement.waiting.items()
        for entry in sorted(entries)[:_WAITERS_KEPT]
    ]
    report = Report(
        vm=identity.vm,
        incarnation=identity.incarnation,
        sequence=sequence,
        host=identity.host,
        port=identity.port,
        control_port=identity.control_port,
        front=identity.front,
        data_centre=identity.data_centre,
        accepting=statement.accepting,
        config_version=statement.config_version,
        uptime_ms=_milliseconds(statement.uptime),
        runs=[WorkerRuns(name, runs.online, runs.batch) for name, runs in statement.runs.items()],
        waiters=waiters,
        accounts=[AccountUse(name, u.admitted, u.level) for name, u in statement.uses.items()],
        jobs=[JobProgress(job, count) for job, count in statement.jobs.items()][:_JOBS_KEPT],
        suspects=list(statement.suspects),
        crashes=[Crash(*crash) for crash in statement.crashes[-_CRASHES_KEPT:]],
        store_age_ms=_milliseconds(statement.store_age),
        leaving=statement.leaving,
    )
    return encode(Datagram(report=report))


def read_identity(report: Report) -> Identity:
    """Return who sent a report."""
    return Identity(
        report.vm,
        report.incarnation,
        report.host,
        report.port,
        report.control_port,
        report.front,
        report.data_centre,
    )


def read_statement(report: Report, now: float) -> Statement:
    """Return what a report says, with times by this daemon's clock."""
    waiting: dict[str, list[Waiting]] = {}
    for waiter in report.waiters or ():
        entry = Waiting(waiter.urgency, now + waiter.order_ms / _MILLISECONDS)
        waiting.setdefault(waiter.pool, []).append(entry)
    return Statement(
        accepting=bool(report.accepting),
        leaving=bool(report.leaving),
        config_version=report.config_version or 0,
        uptime=(report.uptime_ms or 0) / _MILLISECONDS,
        store_age=(report.store_age_ms or 0) / _MILLISECONDS,
        runs={entry.worker: Runs(entry.online, entry.batch) for entry in report.runs or ()},
        waiting={service: tuple(entries) for service, entries in waiting.items()},
        uses={entry.account: Use(entry.admitted, entry.level) for entry in report.accounts or ()},
        jobs={entry.job: entry.results for entry in report.jobs or ()},
        suspects=tuple(report.suspects or ()),
        crashes=tuple(CrashedRun(c.fingerprint, c.worker) for c in report.crashes or ()),
    )


def _milliseconds(seconds: float) -> int:
    return int(max(-_MOST_MILLISECONDS, min(seconds * _MILLISECONDS, _MOST_MILLISECONDS)))
