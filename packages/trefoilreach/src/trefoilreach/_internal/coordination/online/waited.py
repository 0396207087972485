"""Which accounts had to wait lately for a place, by group of requests."""

import threading
from typing import NamedTuple

from trefoilreach._internal.clock import Clock


class _Waited(NamedTuple):
    at: float
    weight: float


class WaitedAccounts:
    """Accounts with requests that waited.

    It has a lock of its own, because it is read while an admission queue gives out places.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._waited: dict[tuple[str, str], _Waited] = {}

    def note(self, group: str, account: str, weight: float) -> None:
        """Note that a request of an account waits now."""
        with self._lock:
            self._waited[group, account] = _Waited(self._clock.now(), weight)

    def sum_weights(self, seconds: float) -> dict[str, float]:
        """Return by group the weight of the accounts that waited in the last ``seconds``."""
        limit = self._clock.now() - seconds
        weights: dict[str, float] = {}
        with self._lock:
            self._waited = {key: entry for key, entry in self._waited.items() if entry.at >= limit}
            for (group, _), entry in self._waited.items():
                weights[group] = weights.get(group, 0.0) + entry.weight
        return weights
