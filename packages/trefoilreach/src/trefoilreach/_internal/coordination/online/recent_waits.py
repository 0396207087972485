"""Accounts whose requests waited recently for a slot, by group of requests."""

import threading
from typing import NamedTuple

from trefoilreach._internal.clock import Clock


class _Wait(NamedTuple):
    """When a request of an account last waited, and the weight of the account."""

    seen_at: float
    weight: float


class RecentWaits:
    """Accounts whose requests waited recently, with their weights.

    It has its own lock, because it is read while an admission queue grants slots.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._waits: dict[tuple[str, str], _Wait] = {}

    def record(self, group: str, account: str, weight: float) -> None:
        """Record that a request of an account waits now."""
        with self._lock:
            self._waits[group, account] = _Wait(self._clock.now(), weight)

    def sum_weights(self, seconds: float) -> dict[str, float]:
        """Return by group the summed weight of accounts that waited in the last ``seconds``."""
        earliest = self._clock.now() - seconds
        weights: dict[str, float] = {}
        with self._lock:
            self._waits = {
                key: entry for key, entry in self._waits.items() if entry.seen_at >= earliest
            }
            for (group, _), entry in self._waits.items():
                weights[group] = weights.get(group, 0.0) + entry.weight
        return weights
