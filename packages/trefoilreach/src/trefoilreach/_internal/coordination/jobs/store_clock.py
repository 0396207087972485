"""Estimates the clock of the platform's store from the times in its answers.

An answer states that the store's clock stood at a time at some moment between its request and its
reading. A daemon may stand still between the two, so that this can be seconds. Both ends are kept,
and each use takes the one that is safe for it.
"""

import threading

from trefoilreach._internal.clock import DRIFT_MARGIN, Clock
from trefoilreach._internal.logs import log_event

_MS_PER_SECOND = 1000.0


class StoreClock:
    """Bounds of the difference between the store's clock and the daemon's.

    :ivar known: whether an answer has arrived; before that, the times mean nothing.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # Least and largest difference in milliseconds, and when they were found; stores without a
        # clock have no difference.
        self._low = 0.0
        self._high = 0.0
        self._found_at: float | None = None
        self.known = False

    def update(self, store_ms: float, earliest: float, latest: float | None = None) -> None:
        """Narrow the bounds by an answer of the store.

        :param store_ms: the store's clock in the answer; 0 means no time.
        :param earliest: time by the daemon's clock before which it cannot have been built.
        :param latest: time by which it had arrived; None for now.
        """
        with self._lock:
            self.known = True
            if not store_ms:
                return
            now = self._clock.now()
            latest = now if latest is None else latest
            # The difference was within these bounds when the answer was built, and has drifted.
            low = store_ms - latest * _MS_PER_SECOND - _find_drift_ms(now - latest)
            high = store_ms - earliest * _MS_PER_SECOND + _find_drift_ms(now - earliest)
            known_low, known_high = self._find_bounds(now)
            if self._found_at is not None and low <= known_high and known_low <= high:
                low, high = max(low, known_low), min(high, known_high)
            elif self._found_at is not None:
                # Only the newest answer says where a clock stands that was set.
                log_event("store-clock:reset", former=known_low, low=low, high=high)
            self._low, self._high, self._found_at = low, high, now

    def now_ms(self) -> float:
        """Return the likely present time of the store's clock in milliseconds."""
        low, high = self._read_bounds()
        return self._clock.now() * _MS_PER_SECOND + (low + high) / 2

    def latest_now_ms(self) -> float:
        """Return a time that the store's clock has not passed yet, in milliseconds."""
        return self._clock.now() * _MS_PER_SECOND + self._read_bounds()[1]

    def latest_local(self, store_ms: float) -> float:
        """Return the latest time of the daemon's clock at a time of the store's, in seconds."""
        return (store_ms - self._read_bounds()[0]) / _MS_PER_SECOND

    def _read_bounds(self) -> tuple[float, float]:
        with self._lock:
            return self._find_bounds(self._clock.now())

    def _find_bounds(self, now: float) -> tuple[float, float]:
        """Return the bounds, which drift widens with time; the caller holds the lock."""
        if self._found_at is None:
            return self._low, self._high
        drift = _find_drift_ms(now - self._found_at)
        return self._low - drift, self._high + drift


def _find_drift_ms(seconds: float) -> float:
    """Return by how many milliseconds two clocks may drift apart in a time."""
    return seconds * (DRIFT_MARGIN - 1.0) * _MS_PER_SECOND
