"""How many online requests at a time each model is wanted for, over the whole fleet."""

import math
import threading
from collections.abc import Callable
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.protocol.gen.peer.ttypes import ModelDemand

# Time constant of the arrival rate.
_RATE_SECONDS = 15.0
_DURATION_WEIGHT = 0.1
# Until the first answer is complete, the mean duration of a model's answers is unknown.
_FIRST_DURATION_SECONDS = 1.0
# Figures of a daemon that was not heard for longer are not counted.
_HEARD_SECONDS = 30.0
# Demands below this are left out of probes; the traffic age is sent for longer.
_MIN_DEMAND = 0.001
# Ages above this all mean that there was no traffic lately.
_MAX_TRAFFIC_AGE_SECONDS = 600.0


class _Arrivals:
    """Requests of one model at this daemon; times are readings of its clock."""

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.rated_at = now
        self.duration = _FIRST_DURATION_SECONDS
        self.answers = 0

    def rate_at(self, now: float) -> float:
        """Return arrivals a second, the older ones counted for less."""
        return self.rate * math.exp((self.rated_at - now) / _RATE_SECONDS)


class _Heard(NamedTuple):
    when: float
    requests: dict[str, float]


class Demand:
    """Demand of each model: measured here, and heard from peers with their probes.

    :param live_daemons: number of daemons that callers use.
    """

    def __init__(self, clock: Clock, live_daemons: Callable[[], int] = lambda: 1) -> None:
        self._clock = clock
        self._live_daemons = live_daemons
        self._lock = threading.Lock()
        self._started = clock.now()
        self._own: dict[str, _Arrivals] = {}
        self._traffic: dict[str, float] = {}
        self._heard: dict[str, _Heard] = {}

    def note_arrival(self, model: str) -> None:
        """Count an online request, whether or not it will be refused."""
        with self._lock:
            now = self._clock.now()
            found = self._own.setdefault(model, _Arrivals(now))
            found.rate = found.rate_at(now) + 1.0 / _RATE_SECONDS
            found.rated_at = now
            self._traffic[model] = now

    def note_duration(self, model: str, seconds: float) -> None:
        """Take the duration of a whole answer into the mean."""
        with self._lock:
            found = self._own.setdefault(model, _Arrivals(self._clock.now()))
            found.answers += 1
            weight = max(_DURATION_WEIGHT, 1.0 / found.answers)
            found.duration += weight * (seconds - found.duration)

    def own(self) -> list[ModelDemand]:
        """Return what probes tell the peers."""
        with self._lock:
            now = self._clock.now()
            demands = []
            for model in self._traffic:
                age, requests = now - self._traffic[model], self._own_requests(model, now)
                if age < _MAX_TRAFFIC_AGE_SECONDS or requests >= _MIN_DEMAND:
                    demands.append(ModelDemand(model, requests, age))
            return demands

    def hear(self, vm: str, demands: list[ModelDemand]) -> None:
        """Take the figures of a peer."""
        with self._lock:
            now = self._clock.now()
            self._heard[vm] = _Heard(now, {entry.model: entry.requests for entry in demands})
            self._heard = {
                name: heard
                for name, heard in self._heard.items()
                if now - heard.when <= _HEARD_SECONDS
            }
            for entry in demands:
                last = now - max(0.0, entry.traffic_age)
                self._traffic[entry.model] = max(last, self._traffic.get(entry.model, last))

    def fleet(self, model: str) -> float:
        """Return the requests at a time that the callers of all daemons want."""
        with self._lock:
            now = self._clock.now()
            figures = [self._own_requests(model, now)]
            figures += [
                heard.requests.get(model, 0.0)
                for heard in self._heard.values()
                if now - heard.when <= _HEARD_SECONDS
            ]
        return sum(figures) / len(figures) * max(1, self._live_daemons())

    def traffic_age(self, model: str) -> float:
        """Return the time since the last request at any daemon, as far as known here.

        A daemon that started a short while ago knows of no earlier request, so the time
        since its start is the most it can say.
        """
        with self._lock:
            now = self._clock.now()
            return now - max(self._started, self._traffic.get(model, self._started))

    def _own_requests(self, model: str, now: float) -> float:
        found = self._own.get(model)
        return 0.0 if found is None else found.rate_at(now) * found.duration
