"""Selects the daemons that relay reports in a large fleet, and queues the reports to relay.

Load pattern: dozens of daemons that each report the start and end of every request. If each daemon
sent its reports to all others, the datagrams would grow with the square of the fleet; at 70 daemons
they took most of the processor time and of the bytes between data centres. With a relay in each
data centre, a daemon sends one datagram per report, and a report is sent to each other data centre
once.

Every daemon selects the relays by itself, from the peers whose reports it receives. Daemons that
select differently delay reports but lose none: a daemon relays every report that it is asked to.
"""

import threading
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import NamedTuple

from trefoilreach._internal.protocol.gen.fleet.ttypes import Report

# In a fleet smaller than this, each daemon sends its reports to all others: this saves a hop, and
# the datagrams are few enough.
MIN_RELAYED_FLEET_SIZE = 16
# A relay also sends a report back to its sender (the echo), within about 25 ms, or 100 ms later if
# its VM has used up its processor share. Reports are sent every 0.25 s, so the second one after the
# loss of a relay goes to another relay, well before peers consider the sender late.
_ECHO_TIMEOUT_SECONDS = 0.2
# Relays send to standby daemons at this interval, so that a daemon that serves no callers is woken
# only twice a second.
STANDBY_BUNDLE_SECONDS = 0.5
_STANDBY_ECHO_TIMEOUT_SECONDS = STANDBY_BUNDLE_SECONDS + _ECHO_TIMEOUT_SECONDS
# A live relay sends the reports of its whole data centre, many a second, so a short silence means
# that it is lost.
_REMOTE_RELAY_TIMEOUT_SECONDS = 0.3
# A relay that stopped echoing is tried again at this interval, in addition to the one in use.
_RELAY_RETRY_SECONDS = 2.0
# Sizes in units of a short report (150 bytes). A full report has up to 3 KB, a UDP datagram 64 KB.
_MAX_BUNDLE_UNITS = 256
_FULL_REPORT_UNITS = 16


class RelayCandidate(NamedTuple):
    """A daemon that could be a relay.

    :param cores: processor cores of its VM.
    :param leaving: whether its planned stop has started.
    """

    vm: str
    cores: float
    leaving: bool = False


def rank_relay(candidate: RelayCandidate) -> tuple[bool, float, str]:
    """Return the sort key of a daemon among those of its data centre, the best relay first.

    The order is the same on all VMs.
    """
    return candidate.leaving, -candidate.cores, candidate.vm


def rank_relays(candidates: Iterable[RelayCandidate]) -> list[str]:
    """Return the daemons of one data centre, the best relay first."""
    return [candidate.vm for candidate in sorted(candidates, key=rank_relay)]


class RelaySelector:
    """Selects relays for this daemon's own reports, by whether they echo them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Time of the first report sent to each relay since its last echo.
        self._awaiting_echo_since: dict[str, float] = {}
        self._retried_at: dict[str, float] = {}

    def choose(self, ranked: Sequence[str], now: float, active: bool = True) -> list[str]:
        """Return the relays for the next report: those to be tried again, then the one in use.

        :param active: whether this daemon is active, and gets its reports back soon.
        """
        chosen: list[str] = []
        with self._lock:
            for vm in ranked:
                if not self._is_overdue(vm, now, active):
                    return [*chosen, vm]
                if now - self._retried_at.get(vm, float("-inf")) >= _RELAY_RETRY_SECONDS:
                    self._retried_at[vm] = now
                    chosen.append(vm)
        # No relay echoes, as after a start. Any relay may be the first to echo, so the best one is
        # used as well as those that are tried again.
        return list(dict.fromkeys([*chosen, *ranked[:1]]))

    def is_newly_silent(self, vm: str, now: float, active: bool = True) -> bool:
        """Return whether a relay has stopped echoing and no report was sent by another one since.

        :param active: as for :meth:`choose`.
        """
        with self._lock:
            return vm not in self._retried_at and self._is_overdue(vm, now, active)

    def _is_overdue(self, vm: str, now: float, active: bool) -> bool:
        timeout = _ECHO_TIMEOUT_SECONDS if active else _STANDBY_ECHO_TIMEOUT_SECONDS
        return now - self._awaiting_echo_since.get(vm, now) > timeout

    def record_sent(self, vm: str, now: float) -> None:
        """Record that a report was sent to a relay."""
        with self._lock:
            self._awaiting_echo_since.setdefault(vm, now)

    def record_echo(self, vm: str) -> bool:
        """Record an echo from a relay; return whether the relay had stopped echoing before."""
        with self._lock:
            self._awaiting_echo_since.pop(vm, None)
            return self._retried_at.pop(vm, None) is not None


class PendingReports(NamedTuple):
    """Reports that a relay has received and not yet sent on.

    :param local: reports from its own data centre, for all daemons.
    :param remote: reports from other data centres, for the daemons of its own.
    """

    local: list[Report]
    remote: list[Report]


class RelayOutbox:
    """Queue of reports to relay, which are sent in bundles every few milliseconds."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._local: list[Report] = []
        self._remote: list[Report] = []
        self._closed = False

    def add_local(self, reports: Iterable[Report]) -> None:
        """Queue reports from this data centre."""
        with self._condition:
            self._local += reports
            self._condition.notify()

    def add_remote(self, reports: Iterable[Report]) -> None:
        """Queue reports that a relay of another data centre has sent."""
        with self._condition:
            self._remote += reports
            self._condition.notify()

    def wait(self) -> bool:
        """Wait until reports are queued; return False when the queue is closed."""
        with self._condition:
            self._condition.wait_for(lambda: bool(self._local or self._remote) or self._closed)
            return not self._closed

    def take(self) -> PendingReports:
        """Remove and return all queued reports."""
        with self._condition:
            pending = PendingReports(self._local, self._remote)
            self._local, self._remote = [], []
            return pending

    def close(self) -> None:
        """Close the queue and wake the waiting thread."""
        with self._condition:
            self._closed = True
            self._condition.notify()


class StandbyOutbox:
    """Newest full report of each daemon that a relay has not yet sent to its standby daemons.

    Used by the thread that sends bundles only.
    """

    def __init__(self) -> None:
        self._reports: dict[str, Report] = {}
        self._sent_at = float("-inf")
        self._late_sent: frozenset[str] = frozenset()

    def add(self, reports: Iterable[Report]) -> None:
        """Queue the full reports among those given."""
        for report in reports:
            if report.identity is not None:
                self._reports[report.vm] = report

    def take_due(self, now: float, late: Collection[str]) -> list[Report] | None:
        """Remove and return all reports if it is time to send them, else None.

        :param late: active daemons that are silent. A new one is told at once, so that a datagram
            that is lost delays the news by one interval only.
        """
        if self._late_sent.issuperset(late) and now - self._sent_at < STANDBY_BUNDLE_SECONDS:
            return None
        self._sent_at = now
        self._late_sent = frozenset(late)
        reports, self._reports = list(self._reports.values()), {}
        return reports


class RemoteRelays:
    """Last known relay of each other data centre."""

    def __init__(self) -> None:
        self._last_relays: dict[str, tuple[str, float]] = {}

    def record(self, data_centre: str, vm: str, now: float) -> None:
        """Record that a daemon relayed reports of its data centre."""
        self._last_relays[data_centre] = (vm, now)

    def choose(self, data_centre: str, ranked: Sequence[str], now: float) -> list[str]:
        """Return the relays to send to: the last known one, or the two best when it is silent.

        :param ranked: live daemons of that data centre, the best relay first.
        """
        vm, received_at = self._last_relays.get(data_centre, ("", float("-inf")))
        if vm in ranked and now - received_at <= _REMOTE_RELAY_TIMEOUT_SECONDS:
            return [vm]
        return list(ranked[:2])


def split_into_bundles(reports: Iterable[Report]) -> Iterator[list[Report]]:
    """Split reports into bundles that fit in a datagram.

    Load pattern: hundreds of daemons, whose reports arrive faster than a relay may send
    datagrams. Sending fewer and larger ones keeps its backlog from growing.
    """
    bundle: list[Report] = []
    bundle_units = 0
    for report in reports:
        units = 1 if report.identity is None else _FULL_REPORT_UNITS
        if bundle_units + units > _MAX_BUNDLE_UNITS:
            yield bundle
            bundle, bundle_units = [], 0
        bundle.append(report)
        bundle_units += units
    if bundle:
        yield bundle
