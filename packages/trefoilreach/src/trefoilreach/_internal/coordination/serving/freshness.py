"""Tracks when the desired state on this daemon was last confirmed to be the newest.

A withdrawn key must fail everywhere within a bound, also on a daemon that can't be told of the
withdrawal. Such a daemon therefore refuses requests with keys once its state is older than the
bound. Ages are counted from before the query was sent, so that a slow or frozen exchange never
makes the state look newer than it is.
"""

import threading

from trefoilreach._internal.clock import DRIFT_MARGIN, Clock

# A key or route that is missing here may have been added since. With a state older than this,
# a refusal must not say that it doesn't exist.
_MAX_AGE_FOR_NOT_FOUND_SECONDS = 1.5


class Freshness:
    """Age of this daemon's desired state.

    :param revocation_bound: seconds within which a withdrawn key must fail everywhere.
    """

    def __init__(self, clock: Clock, revocation_bound: float) -> None:
        self._clock = clock
        self._max_key_age_seconds = revocation_bound / DRIFT_MARGIN
        self._lock = threading.Lock()
        self._confirmed_at: float | None = None

    @property
    def age(self) -> float:
        """Seconds since the state was last confirmed; infinite before the first time."""
        confirmed = self._confirmed_at
        return float("inf") if confirmed is None else self._clock.now() - confirmed

    @property
    def keys_valid(self) -> bool:
        """Whether a key may still be accepted."""
        return self.age <= self._max_key_age_seconds

    @property
    def absence_is_certain(self) -> bool:
        """Whether a key or route that is missing from the state certainly doesn't exist."""
        return self.age <= _MAX_AGE_FOR_NOT_FOUND_SECONDS

    def confirm(self, at: float) -> None:
        """Record that the state was the newest at a time of this daemon's clock."""
        with self._lock:
            if self._confirmed_at is None or at > self._confirmed_at:
                self._confirmed_at = at
