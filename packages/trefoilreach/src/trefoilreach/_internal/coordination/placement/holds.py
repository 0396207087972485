"""Holds back new requests for models that an order is about to change on a worker."""

import threading
from collections.abc import Iterable

from trefoilreach._internal.clock import Clock

# A daemon that is asked to hold requests back answers within 1 s, so its hold may end up to
# 1 s later than that of another daemon.
HOLD_SKEW_SECONDS = 1.0


class RequestHolds:
    """Holds by worker and model; each expires after its time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._expires_at: dict[tuple[str, str], float] = {}

    def hold(self, worker: str, models: Iterable[str], seconds: float) -> None:
        """Hold requests back for a time, which replaces the rest of an earlier hold."""
        with self._lock:
            now = self._clock.now()
            cutoff = now - HOLD_SKEW_SECONDS
            self._expires_at = {key: end for key, end in self._expires_at.items() if end > cutoff}
            for model in models:
                self._expires_at[worker, model] = now + seconds

    def is_held(self, worker: str, model: str) -> bool:
        """Return whether this daemon holds back new requests for a model from a worker."""
        return self._is_unexpired(worker, model, 0.0)

    def may_be_held(self, worker: str, model: str) -> bool:
        """Return whether any daemon may still hold back requests, even if this one does not."""
        return self._is_unexpired(worker, model, HOLD_SKEW_SECONDS)

    def _is_unexpired(self, worker: str, model: str, skew: float) -> bool:
        if not self._expires_at:
            return False
        with self._lock:
            end = self._expires_at.get((worker, model), float("-inf"))
            return end > self._clock.now() - skew
