"""Measures the demand for each model: mean concurrent online requests in the whole fleet."""

import math
import threading
from collections.abc import Callable
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.protocol.gen.peer.ttypes import ModelDemand

# Time constant of the exponential decay of the arrival rate.
_RATE_TIME_CONSTANT_SECONDS = 15.0
# Least weight of a new answer in the moving average of durations.
_MIN_DURATION_WEIGHT = 0.1
# Assumed duration of a model's answers until the first one is complete.
_INITIAL_DURATION_SECONDS = 1.0
# Demand reported by a peer is ignored after this time without a newer report.
_PEER_DEMAND_TTL_SECONDS = 30.0
# Probes leave out demand below this number of requests, except while the traffic age is
# below its limit.
_MIN_DEMAND_REQUESTS = 0.001
# Longer ages are not told apart: each means that there was no recent traffic.
_MAX_TRAFFIC_AGE_SECONDS = 600.0


class _ModelStats:
    """Arrival rate and mean answer duration of one model's requests at this daemon.

    ``rate`` is in requests a second at the time ``rated_at``, which is a reading of the
    daemon's clock; ``duration`` is in seconds.
    """

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.rated_at = now
        self.duration = _INITIAL_DURATION_SECONDS
        self.answers = 0

    def rate_at(self, now: float) -> float:
        """Return the arrivals a second; older ones count for exponentially less."""
        return self.rate * math.exp((self.rated_at - now) / _RATE_TIME_CONSTANT_SECONDS)


class _PeerDemand(NamedTuple):
    """Demand that a peer reported, by model, and when it was received."""

    received_at: float
    requests: dict[str, float]


class ModelDemandTracker:
    """Demand of each model: measured at this daemon, and received from peers in probes.

    :param live_daemons: returns the number of daemons that serve callers.
    """

    def __init__(self, clock: Clock, live_daemons: Callable[[], int] = lambda: 1) -> None:
        self._clock = clock
        self._live_daemons = live_daemons
        self._lock = threading.Lock()
        self._started = clock.now()
        self._local_stats: dict[str, _ModelStats] = {}
        self._last_request_at: dict[str, float] = {}
        self._peer_demand: dict[str, _PeerDemand] = {}

    def record_arrival(self, model: str) -> None:
        """Count an online request, whether or not it will be refused."""
        with self._lock:
            now = self._clock.now()
            stats = self._local_stats.setdefault(model, _ModelStats(now))
            stats.rate = stats.rate_at(now) + 1.0 / _RATE_TIME_CONSTANT_SECONDS
            stats.rated_at = now
            self._last_request_at[model] = now

    def record_duration(self, model: str, seconds: float) -> None:
        """Update the mean duration by that of a complete answer."""
        with self._lock:
            stats = self._local_stats.setdefault(model, _ModelStats(self._clock.now()))
            stats.answers += 1
            weight = max(_MIN_DURATION_WEIGHT, 1.0 / stats.answers)
            stats.duration += weight * (seconds - stats.duration)

    def list_local_demand(self) -> list[ModelDemand]:
        """Return the demand at this daemon, which probes carry to the peers."""
        with self._lock:
            now = self._clock.now()
            demands = []
            for model in self._last_request_at:
                age, requests = now - self._last_request_at[model], self._local_requests(model, now)
                if age < _MAX_TRAFFIC_AGE_SECONDS or requests >= _MIN_DEMAND_REQUESTS:
                    demands.append(ModelDemand(model, requests, age))
            return demands

    def apply_peer_demands(self, vm: str, demands: list[ModelDemand]) -> None:
        """Replace the demand of a peer by what its probe carried."""
        with self._lock:
            now = self._clock.now()
            self._peer_demand[vm] = _PeerDemand(
                now, {entry.model: entry.requests for entry in demands}
            )
            self._peer_demand = {
                name: report
                for name, report in self._peer_demand.items()
                if now - report.received_at <= _PEER_DEMAND_TTL_SECONDS
            }
            for entry in demands:
                last = now - max(0.0, entry.traffic_age)
                self._last_request_at[entry.model] = max(
                    last, self._last_request_at.get(entry.model, last)
                )

    def estimate_fleet_demand(self, model: str) -> float:
        """Return the mean number of concurrent requests at all daemons.

        The mean of the known daemons stands for those whose demand is not known.
        """
        with self._lock:
            now = self._clock.now()
            requests = [self._local_requests(model, now)]
            requests += [
                report.requests.get(model, 0.0)
                for report in self._peer_demand.values()
                if now - report.received_at <= _PEER_DEMAND_TTL_SECONDS
            ]
        return sum(requests) / len(requests) * max(1, self._live_daemons())

    def traffic_age(self, model: str) -> float:
        """Return the seconds since the last request at any daemon, as far as known here.

        A daemon knows nothing of requests before its start, so the result is at most the
        time since its start.
        """
        with self._lock:
            now = self._clock.now()
            return now - max(self._started, self._last_request_at.get(model, self._started))

    def _local_requests(self, model: str, now: float) -> float:
        stats = self._local_stats.get(model)
        return 0.0 if stats is None else stats.rate_at(now) * stats.duration
