"""Load of each backend server: its last report, corrected by this daemon's own requests."""

import threading
from collections import deque
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.transport.engine import LoadReport

# A request that reached the engine just as it took its figures may be missing in them.
_REPORT_MARGIN_SECONDS = 0.02
# Older reports say nothing; the daemon's own requests are all that is known then.
_REPORT_LIFE_SECONDS = 10.0
_BATCH_NOTE_LIFE_SECONDS = 3.0


class _Finished(NamedTuple):
    started: float
    ended: float


class _ServerLoad:
    """Figures of one server; times are clock readings of this daemon."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.taken_at = float("-inf")
        self.running: dict[str, float] = {}
        self.online: set[str] = set()
        self.finished: deque[_Finished] = deque()
        self.batch = 0
        self.batch_noted_at = float("-inf")


class LoadView:
    """Load estimates that do not make all daemons choose the same server.

    A report lags, so the daemon adds its own requests started since the figures were
    taken and takes off its own requests that the figures count but that have ended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._servers: dict[str, _ServerLoad] = {}

    def started(self, server: str, request_id: str, online: bool = False) -> None:
        """Count a request that goes out to a server."""
        with self._lock:
            load = self._load(server)
            load.running[request_id] = self._clock.now()
            if online:
                load.online.add(request_id)

    def finished(self, server: str, request_id: str) -> None:
        """Count the end of a request, whatever its outcome."""
        with self._lock:
            load = self._load(server)
            load.online.discard(request_id)
            started = load.running.pop(request_id, None)
            if started is not None:
                load.finished.append(_Finished(started, self._clock.now()))
                _forget_old(load, self._clock.now() - _REPORT_LIFE_SECONDS)

    def report(self, server: str, report: LoadReport) -> bool:
        """Take a load report; return whether the server restarted since the last one."""
        with self._lock:
            load = self._load(server)
            taken_at = self._clock.now() - report.age_seconds - _REPORT_MARGIN_SECONDS
            known = load.report
            restarted = known is not None and known.instance != report.instance
            if known is not None and not restarted and report.sequence < known.sequence:
                return False
            load.report = report
            load.taken_at = taken_at
            _forget_old(load, taken_at)
            return restarted

    def last_report(self, server: str) -> LoadReport | None:
        """Return the last report of a server."""
        with self._lock:
            return self._load(server).report

    def taken_at(self, server: str) -> float:
        """Return when the figures of the last report were taken, by this daemon's clock."""
        with self._lock:
            return self._load(server).taken_at

    def note_batch(self, server: str, count: int) -> None:
        """Take the number of batch items that run on a server, known for a few seconds."""
        with self._lock:
            load = self._load(server)
            load.batch = count
            load.batch_noted_at = self._clock.now()

    def own(self, server: str) -> int:
        """Return how many of this daemon's online requests run on a server."""
        with self._lock:
            return len(self._load(server).online)

    def estimate(self, server: str) -> float:
        """Return the estimated number of running and waiting requests."""
        with self._lock:
            return _estimate(self._load(server), self._clock.now())

    def online_estimate(self, server: str) -> float:
        """Return the estimate without batch items, which yield to online requests."""
        with self._lock:
            load, now = self._load(server), self._clock.now()
            fresh = now - load.batch_noted_at <= _BATCH_NOTE_LIFE_SECONDS
            return max(0.0, _estimate(load, now) - (load.batch if fresh else 0))

    def _load(self, server: str) -> _ServerLoad:
        found = self._servers.get(server)
        if found is None:
            found = self._servers[server] = _ServerLoad()
        return found


def _estimate(load: _ServerLoad, now: float) -> float:
    own = len(load.running)
    if load.report is None or now - load.taken_at > _REPORT_LIFE_SECONDS:
        return float(own)
    reported = load.report.running + load.report.waiting
    unseen = sum(1 for started in load.running.values() if started > load.taken_at)
    ended = sum(1 for entry in load.finished if entry.started <= load.taken_at < entry.ended)
    return float(max(own, reported + unseen - ended))


def _forget_old(load: _ServerLoad, before: float) -> None:
    while load.finished and load.finished[0].ended <= before:
        load.finished.popleft()
