"""Models that get no new request on a worker because an order is about to change them."""

import threading
from collections.abc import Iterable

from trefoilreach._internal.clock import Clock

# A daemon that is asked to hold requests back answers within 1 s, so its hold may end that
# much later than another daemon's.
HOLD_SKEW_SECONDS = 1.0


class Holds:
    """Holds by worker and model; each ends by itself if nobody ends it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._ends: dict[tuple[str, str], float] = {}

    def hold(self, worker: str, models: Iterable[str], seconds: float) -> None:
        """Hold requests back for a time, which replaces an earlier one."""
        with self._lock:
            now = self._clock.now()
            limit = now - HOLD_SKEW_SECONDS
            self._ends = {place: end for place, end in self._ends.items() if end > limit}
            for model in models:
                self._ends[worker, model] = now + seconds

    def is_held(self, worker: str, model: str) -> bool:
        """Return whether a worker gets no new request for a model."""
        return self._lasts(worker, model, 0.0)

    def may_be_held(self, worker: str, model: str) -> bool:
        """Return whether a daemon may still hold requests back that this one does not."""
        return self._lasts(worker, model, HOLD_SKEW_SECONDS)

    def _lasts(self, worker: str, model: str, skew: float) -> bool:
        if not self._ends:
            return False
        with self._lock:
            end = self._ends.get((worker, model), float("-inf"))
            return end > self._clock.now() - skew
