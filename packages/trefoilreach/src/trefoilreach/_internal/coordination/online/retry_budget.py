"""Limits retries to a share of recent requests, so that failures cannot multiply the load."""

import threading

from trefoilreach._internal.clock import Clock

# Retries that are allowed without recent requests, and how fast these tokens are refilled.
_BASE_TOKENS = 10.0
_REFILL_TOKENS_PER_SECOND = 1.0
_MAX_TOKENS = 100.0


class RetryBudget:
    """Token bucket for retries, filled by first attempts and slowly by time.

    :param retry_ratio: tokens that each first attempt adds, from 0 to 1.
    """

    def __init__(self, clock: Clock, retry_ratio: float) -> None:
        self._clock = clock
        self._retry_ratio = retry_ratio
        self._lock = threading.Lock()
        self._tokens = _BASE_TOKENS
        self._refilled_at = clock.now()

    def note_request(self) -> None:
        """Add the tokens of a first attempt."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + self._retry_ratio)

    def try_take(self) -> bool:
        """Take one token for a retry; return False when none is left."""
        with self._lock:
            now = self._clock.now()
            if self._tokens < _BASE_TOKENS:
                refill = (now - self._refilled_at) * _REFILL_TOKENS_PER_SECOND
                self._tokens = min(_BASE_TOKENS, self._tokens + refill)
            self._refilled_at = now
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
