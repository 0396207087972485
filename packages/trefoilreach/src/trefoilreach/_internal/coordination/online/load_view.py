"""Load estimate of each backend server, from its last report and this daemon's requests."""

import threading
from collections import deque
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.transport.engine import LoadReport

# A request that reached the engine just before it took its figures may be missing in them.
_REPORT_MARGIN_SECONDS = 0.02
# Older reports are ignored; the estimate then counts only this daemon's own requests.
_MAX_REPORT_AGE_SECONDS = 10.0
_MAX_BATCH_COUNT_AGE_SECONDS = 3.0


class _FinishedRequest(NamedTuple):
    """Start and end of a finished request, as clock readings of this daemon in seconds."""

    started: float
    ended: float


class _ServerLoad:
    """Load figures of one server; times are clock readings of this daemon in seconds."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.taken_at = float("-inf")
        # Start time of each running request, by request id.
        self.running_since: dict[str, float] = {}
        self.online_ids: set[str] = set()
        self.finished: deque[_FinishedRequest] = deque()
        self.batch_count = 0
        self.batch_counted_at = float("-inf")


class LoadView:
    """Estimates the load of servers from reports that lag.

    To each report the daemon adds its own requests that started after the figures were
    taken, and subtracts those that the figures count but that have ended. Without this,
    all daemons would send their requests to the same server until the next report.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._servers: dict[str, _ServerLoad] = {}

    def request_started(self, server: str, request_id: str, online: bool = False) -> None:
        """Count a request that is sent to a server."""
        with self._lock:
            load = self._get_load(server)
            load.running_since[request_id] = self._clock.now()
            if online:
                load.online_ids.add(request_id)

    def request_finished(self, server: str, request_id: str) -> None:
        """Count the end of a request, whatever its outcome."""
        with self._lock:
            load = self._get_load(server)
            load.online_ids.discard(request_id)
            started = load.running_since.pop(request_id, None)
            if started is not None:
                load.finished.append(_FinishedRequest(started, self._clock.now()))
                _drop_finished_before(load, self._clock.now() - _MAX_REPORT_AGE_SECONDS)

    def update_report(self, server: str, report: LoadReport) -> bool:
        """Store a load report; return whether the server restarted since the last one."""
        with self._lock:
            load = self._get_load(server)
            taken_at = self._clock.now() - report.age_seconds - _REPORT_MARGIN_SECONDS
            known = load.report
            restarted = known is not None and known.instance != report.instance
            if known is not None and not restarted and report.sequence < known.sequence:
                return False
            load.report = report
            load.taken_at = taken_at
            _drop_finished_before(load, taken_at)
            return restarted

    def last_report(self, server: str) -> LoadReport | None:
        """Return the last report of a server, None before the first one."""
        with self._lock:
            return self._get_load(server).report

    def report_taken_at(self, server: str) -> float:
        """Return when the figures of the last report were taken, by this daemon's clock.

        Negative infinity before the first report.
        """
        with self._lock:
            return self._get_load(server).taken_at

    def record_batch_count(self, server: str, count: int) -> None:
        """Store the number of batch items that run on a server; it expires after a few seconds."""
        with self._lock:
            load = self._get_load(server)
            load.batch_count = count
            load.batch_counted_at = self._clock.now()

    def own_online_count(self, server: str) -> int:
        """Return how many of this daemon's online requests run on a server."""
        with self._lock:
            return len(self._get_load(server).online_ids)

    def estimate(self, server: str) -> float:
        """Return the estimated number of running and waiting requests."""
        with self._lock:
            return _estimate(self._get_load(server), self._clock.now())

    def online_estimate(self, server: str) -> float:
        """Return the estimate less the batch items, which yield to online requests."""
        with self._lock:
            load, now = self._get_load(server), self._clock.now()
            fresh = now - load.batch_counted_at <= _MAX_BATCH_COUNT_AGE_SECONDS
            return max(0.0, _estimate(load, now) - (load.batch_count if fresh else 0))

    def _get_load(self, server: str) -> _ServerLoad:
        found = self._servers.get(server)
        if found is None:
            found = self._servers[server] = _ServerLoad()
        return found


def _estimate(load: _ServerLoad, now: float) -> float:
    own = len(load.running_since)
    if load.report is None or now - load.taken_at > _MAX_REPORT_AGE_SECONDS:
        return float(own)
    reported = load.report.running + load.report.waiting
    unreported = sum(1 for started in load.running_since.values() if started > load.taken_at)
    ended = sum(1 for entry in load.finished if entry.started <= load.taken_at < entry.ended)
    return float(max(own, reported + unreported - ended))


def _drop_finished_before(load: _ServerLoad, before: float) -> None:
    while load.finished and load.finished[0].ended <= before:
        load.finished.popleft()
