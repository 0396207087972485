"""Limits retries to a share of recent requests, so that failures cannot multiply the load."""

import threading

from trefoilreach._internal.clock import Clock

# Retries that are allowed without recent requests, and how fast they come back.
_RESERVE = 10.0
_RESERVE_PER_SECOND = 1.0
_LIMIT = 100.0


class RetryBudget:
    """Counts retries against requests.

    :param share: retries for each request, from 0 to 1.
    """

    def __init__(self, clock: Clock, share: float) -> None:
        self._clock = clock
        self._share = share
        self._lock = threading.Lock()
        self._balance = _RESERVE
        self._refilled_at = clock.now()

    def note_request(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self._balance = min(_LIMIT, self._balance + self._share)

    def take(self) -> bool:
        """Take one retry; return whether there was one."""
        with self._lock:
            now = self._clock.now()
            if self._balance < _RESERVE:
                earned = (now - self._refilled_at) * _RESERVE_PER_SECOND
                self._balance = min(_RESERVE, self._balance + earned)
            self._refilled_at = now
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
