"""Which daemons pass reports on, in a fleet in which not each can send to all.

Load pattern: dozens of daemons that each state every request that begins and ends. Sent from
each to all, the datagrams grow with the square of the fleet; at 70 daemons they were most of
the processor time and of the bytes between data centres. With a relay in each data centre, a
daemon sends one datagram for a report, and a report crosses to another data centre once.

Every daemon finds the relays from the peers that it hears, without a message. A wrong choice
costs time and never a report for good: whoever is asked to pass a report on does so.
"""

import threading
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from trefoilreach._internal.protocol.gen.fleet.ttypes import Report

# Below this number of daemons, each sends its reports to all others: one datagram less on the
# way, and few enough of them.
RELAYED_FLEET = 16
# A report comes back from its relay within some 25 ms; a relay on a VM whose processor share is
# used up answers a tenth of a second later. Reports come every quarter of a second, so that the
# second one after a relay's loss goes to another, well before anyone is taken for late.
_ECHO_SECONDS = 0.2
# A live relay passes on the reports of its whole data centre, many a second.
_FAR_SILENT_SECONDS = 0.3
# A relay whose echoes were missing is asked again, beside another one, at this interval.
_RETRY_SECONDS = 2.0
# Size of a bundle in short reports of 150 bytes; a whole report has up to 3 KB. UDP carries 64 KB.
_BUNDLE_SIZE = 256
_WHOLE_REPORT_SIZE = 16


class Candidate(NamedTuple):
    """A daemon that could pass reports on.

    :param cores: processor cores of its VM.
    :param leaving: whether its planned stop has begun.
    """

    vm: str
    cores: float
    leaving: bool = False


def rank_relays(candidates: Iterable[Candidate]) -> list[str]:
    """Return daemons of one data centre, the best relay first; the same on all VMs."""
    return [c.vm for c in sorted(candidates, key=lambda c: (c.leaving, -c.cores, c.vm))]


class RelayChoice:
    """Relays of this daemon's own reports, chosen by the echoes of what was sent."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Time of the first report to each relay that has not come back.
        self._unechoed: dict[str, float] = {}
        self._retried: dict[str, float] = {}

    def choose(self, ranked: Sequence[str], now: float) -> list[str]:
        """Return the relays for the next report: one that works, and one to be tried again."""
        chosen: list[str] = []
        with self._lock:
            for vm in ranked:
                if now - self._unechoed.get(vm, now) <= _ECHO_SECONDS:
                    return [*chosen, vm]
                if now - self._retried.get(vm, float("-inf")) >= _RETRY_SECONDS:
                    self._retried[vm] = now
                    chosen.append(vm)
        # None echoes: as at a start, any may be the first to work.
        return list(dict.fromkeys([*chosen, *ranked[:1]]))

    def note_sent(self, vm: str, now: float) -> None:
        """Note that a report was sent to a relay."""
        with self._lock:
            self._unechoed.setdefault(vm, now)

    def note_echo(self, vm: str) -> bool:
        """Note a report that came back; return whether its relay had been given up."""
        with self._lock:
            self._unechoed.pop(vm, None)
            return self._retried.pop(vm, None) is not None


class Pending(NamedTuple):
    """Reports that a relay has taken and not yet passed on.

    :param near: reports of its own data centre, for all daemons.
    :param far: reports of other data centres, for its own.
    """

    near: list[Report]
    far: list[Report]


class RelayOutbox:
    """Reports to pass on, gathered over some milliseconds."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._near: list[Report] = []
        self._far: list[Report] = []
        self._closed = False

    def add_near(self, reports: Iterable[Report]) -> None:
        """Take reports of the own data centre."""
        with self._changed:
            self._near += reports
            self._changed.notify()

    def add_far(self, reports: Iterable[Report]) -> None:
        """Take reports that another data centre's relay has passed on."""
        with self._changed:
            self._far += reports
            self._changed.notify()

    def wait(self) -> bool:
        """Wait for reports; return whether there will be more after these."""
        with self._changed:
            self._changed.wait_for(lambda: bool(self._near or self._far) or self._closed)
            return not self._closed

    def take(self) -> Pending:
        """Return what is to be passed on now."""
        with self._changed:
            pending = Pending(self._near, self._far)
            self._near, self._far = [], []
            return pending

    def close(self) -> None:
        """Let the waiting thread go."""
        with self._changed:
            self._closed = True
            self._changed.notify()


class FarRelays:
    """Relays of the other data centres, as they were heard."""

    def __init__(self) -> None:
        self._heard: dict[str, tuple[str, float]] = {}

    def note(self, data_centre: str, vm: str, now: float) -> None:
        """Note the relay that passed on reports of a data centre."""
        self._heard[data_centre] = (vm, now)

    def choose(self, data_centre: str, ranked: Sequence[str], now: float) -> list[str]:
        """Return the relays to send to: the one that was heard, else the two best.

        :param ranked: live daemons there.
        """
        vm, heard_at = self._heard.get(data_centre, ("", float("-inf")))
        if vm in ranked and now - heard_at <= _FAR_SILENT_SECONDS:
            return [vm]
        return list(ranked[:2])


def divide_reports(reports: Iterable[Report]) -> Iterator[list[Report]]:
    """Yield reports in bundles that fit in a datagram.

    Load pattern: hundreds of daemons, whose reports come faster than a relay may send
    datagrams; fewer and larger ones keep its backlog from growing.
    """
    bundle: list[Report] = []
    size = 0
    for report in reports:
        own_size = 1 if report.identity is None else _WHOLE_REPORT_SIZE
        if size + own_size > _BUNDLE_SIZE:
            yield bundle
            bundle, size = [], 0
        bundle.append(report)
        size += own_size
    if bundle:
        yield bundle
