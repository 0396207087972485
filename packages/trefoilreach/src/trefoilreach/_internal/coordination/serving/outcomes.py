"""Which workers fail part of their requests although they seem healthy.

Load pattern: a worker that answers its health probe and fails every third request, or works
by turns. Each daemon sends it too few requests to tell this from a single bad one, so the
daemons state their counts to each other, and all of them judge by the sum of the last
seconds. A doubtful worker gets requests only when the others are full; its counts fade, so
that it is tried again soon.
"""

import threading
from collections.abc import Collection, Mapping
from typing import NamedTuple

from trefoilreach._internal.clock import Clock

_HALF_LIFE_SECONDS = 3.0
# Fewer failures than these say nothing: one request may fail everywhere, and one caller may
# send a few of its kind.
_LEAST_FAILURES = 3.0
# Lost and spoiled answers of sound workers stay below a tenth.
_DOUBTFUL_SHARE = 0.25
# More doubtful workers than this mean that something else is wrong.
_MOST_DOUBTFUL_SHARE = 0.34
_STATED_SECONDS = 10.0


class Outcomes(NamedTuple):
    """Requests of one daemon at one worker since the daemon's start."""

    good: int = 0
    bad: int = 0


class _Recent:
    """Counts that fade."""

    def __init__(self, now: float) -> None:
        self.good = 0.0
        self.bad = 0.0
        self.at = now

    def add(self, now: float, good: float, bad: float) -> None:
        """Fade the counts until now and add to them."""
        factor = 0.5 ** ((now - self.at) / _HALF_LIFE_SECONDS)
        self.good = self.good * factor + good
        self.bad = self.bad * factor + bad
        self.at = now


class OutcomeBoard:
    """Outcomes of the whole fleet by worker."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._recent: dict[str, _Recent] = {}
        self._own: dict[str, Outcomes] = {}
        self._own_at: dict[str, float] = {}
        self._heard: dict[tuple[str, int, str], Outcomes] = {}

    def note(self, worker: str, good: bool) -> None:
        """Count a request of this daemon."""
        now = self._clock.now()
        with self._lock:
            own = self._own.get(worker, Outcomes())
            self._own[worker] = Outcomes(own.good + good, own.bad + (not good))
            self._own_at[worker] = now
            self._add(worker, now, int(good), int(not good))

    def stated(self) -> dict[str, Outcomes]:
        """Return the counts of this daemon for its next report."""
        limit = self._clock.now() - _STATED_SECONDS
        with self._lock:
            return {name: own for name, own in self._own.items() if self._own_at[name] >= limit}

    def hear(self, vm: str, incarnation: int, outcomes: Mapping[str, Outcomes]) -> None:
        """Take the counts that a peer states."""
        if not outcomes:
            return
        now = self._clock.now()
        with self._lock:
            for worker, stated in outcomes.items():
                key = (vm, incarnation, worker)
                known = self._heard.get(key)
                self._heard[key] = stated
                # What a peer counted before it was first heard may be old.
                if known is not None:
                    self._add(worker, now, stated.good - known.good, stated.bad - known.bad)

    def forget(self, vm: str, incarnation: int) -> None:
        """Drop the counts of a process that has ended."""
        with self._lock:
            for key in [key for key in self._heard if key[:2] == (vm, incarnation)]:
                del self._heard[key]

    def find_doubtful(self, workers: Collection[str]) -> set[str]:
        """Return the workers that fail too many requests, unless these are too many."""
        now = self._clock.now()
        with self._lock:
            doubtful = {worker for worker in workers if self._is_doubtful(worker, now)}
        return doubtful if len(doubtful) <= _MOST_DOUBTFUL_SHARE * len(workers) else set()

    def _is_doubtful(self, worker: str, now: float) -> bool:
        recent = self._recent.get(worker)
        if recent is None:
            return False
        recent.add(now, 0.0, 0.0)
        return recent.bad >= _LEAST_FAILURES and recent.bad > _DOUBTFUL_SHARE * (
            recent.good + recent.bad
        )

    def _add(self, worker: str, now: float, good: int, bad: int) -> None:
        recent = self._recent.get(worker)
        if recent is None:
            recent = self._recent[worker] = _Recent(now)
        recent.add(now, good, bad)
