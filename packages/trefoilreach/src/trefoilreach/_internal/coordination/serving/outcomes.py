"""Outlier detection: finds workers that fail part of their requests but seem healthy.

Designed for a worker that answers its health probe but fails every third request, or works
only intermittently. Each daemon sends it too few requests to tell this from a single bad
request. The daemons therefore report their counts to each other, and each decides by the sum
over the last seconds. A doubtful worker gets requests only when the others are full. Its counts
decay, so that it is tried again soon.
"""

import threading
from collections.abc import Collection, Mapping
from typing import NamedTuple

from trefoilreach._internal.clock import Clock

_HALF_LIFE_SECONDS = 3.0
# Fewer failures are not significant: a request may fail at every worker, and one caller may
# send several such requests.
_MIN_FAILURES = 3.0
# Healthy workers lose or damage less than a tenth of their answers.
_DOUBTFUL_FAILURE_SHARE = 0.25
# If a larger share of the workers is doubtful, the cause lies elsewhere and none is avoided.
_MAX_DOUBTFUL_WORKERS_SHARE = 0.34
_REPORT_SECONDS = 10.0


class OutcomeCounts(NamedTuple):
    """Number of requests of one daemon at one worker since the daemon's start, by outcome."""

    good: int = 0
    bad: int = 0


class _DecayingCounts:
    """Numbers of good and bad requests with exponential decay."""

    def __init__(self, now: float) -> None:
        self.good = 0.0
        self.bad = 0.0
        self.at = now

    def add(self, now: float, good: float, bad: float) -> None:
        """Let the counts decay until now, then add to them."""
        factor = 0.5 ** ((now - self.at) / _HALF_LIFE_SECONDS)
        self.good = self.good * factor + good
        self.bad = self.bad * factor + bad
        self.at = now


class OutcomeTracker:
    """Recent outcomes by worker, over all daemons."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._recent: dict[str, _DecayingCounts] = {}
        self._own_counts: dict[str, OutcomeCounts] = {}
        self._own_counted_at: dict[str, float] = {}
        self._peer_counts: dict[tuple[str, int, str], OutcomeCounts] = {}

    def note(self, worker: str, good: bool) -> None:
        """Count the outcome of one of this daemon's requests."""
        now = self._clock.now()
        with self._lock:
            own = self._own_counts.get(worker, OutcomeCounts())
            self._own_counts[worker] = OutcomeCounts(own.good + good, own.bad + (not good))
            self._own_counted_at[worker] = now
            self._add_recent(worker, now, int(good), int(not good))

    def counts_to_report(self) -> dict[str, OutcomeCounts]:
        """Return this daemon's counts for its next report, without workers unused recently."""
        limit = self._clock.now() - _REPORT_SECONDS
        with self._lock:
            return {
                name: own
                for name, own in self._own_counts.items()
                if self._own_counted_at[name] >= limit
            }

    def apply_peer_outcomes(
        self, vm: str, incarnation: int, outcomes: Mapping[str, OutcomeCounts]
    ) -> None:
        """Add what a peer has counted since its previous report."""
        if not outcomes:
            return
        now = self._clock.now()
        with self._lock:
            for worker, reported in outcomes.items():
                key = (vm, incarnation, worker)
                previous = self._peer_counts.get(key)
                self._peer_counts[key] = reported
                # The first counts from a peer may include old requests, so they are only stored.
                if previous is not None:
                    self._add_recent(
                        worker, now, reported.good - previous.good, reported.bad - previous.bad
                    )

    def remove_peer(self, vm: str, incarnation: int) -> None:
        """Remove the reported counts of a process that has ended."""
        with self._lock:
            for key in [key for key in self._peer_counts if key[:2] == (vm, incarnation)]:
                del self._peer_counts[key]

    def find_doubtful(self, workers: Collection[str]) -> set[str]:
        """Return the workers that fail too many requests.

        The set is empty if too large a share of the workers does.
        """
        now = self._clock.now()
        with self._lock:
            doubtful = {worker for worker in workers if self._is_doubtful(worker, now)}
        return doubtful if len(doubtful) <= _MAX_DOUBTFUL_WORKERS_SHARE * len(workers) else set()

    def _is_doubtful(self, worker: str, now: float) -> bool:
        recent = self._recent.get(worker)
        if recent is None:
            return False
        recent.add(now, 0.0, 0.0)
        return recent.bad >= _MIN_FAILURES and recent.bad > _DOUBTFUL_FAILURE_SHARE * (
            recent.good + recent.bad
        )

    def _add_recent(self, worker: str, now: float, good: int, bad: int) -> None:
        recent = self._recent.get(worker)
        if recent is None:
            recent = self._recent[worker] = _DecayingCounts(now)
        recent.add(now, good, bad)
