"""How long ago the desired state in force here was certainly the newest.

A key that was taken away must fail everywhere within a bound, also on a daemon that cannot
hear of it. Such a daemon therefore refuses requests with keys once its view is older than
the bound. Ages are counted from before a question was sent, so that a slow or frozen
exchange never makes a view look newer than it is.
"""

import threading

from trefoilreach._internal.clock import DRIFT_MARGIN, Clock

# A key or route that is not known here may have been added since; beyond this age, the
# refusal must not say that it does not exist.
_UNKNOWN_IS_CERTAIN_SECONDS = 1.5


class Freshness:
    """Age of the desired state.

    :param revocation_bound: seconds after which a withdrawn key must fail everywhere.
    """

    def __init__(self, clock: Clock, revocation_bound: float) -> None:
        self._clock = clock
        self._limit = revocation_bound / DRIFT_MARGIN
        self._lock = threading.Lock()
        self._confirmed_at: float | None = None

    @property
    def age(self) -> float:
        """Seconds since the view was confirmed; infinite before the first time."""
        confirmed = self._confirmed_at
        return float("inf") if confirmed is None else self._clock.now() - confirmed

    @property
    def keys_valid(self) -> bool:
        """Whether a key may still be accepted."""
        return self.age <= self._limit

    @property
    def unknown_is_certain(self) -> bool:
        """Whether a name that is not in the view does not exist."""
        return self.age <= _UNKNOWN_IS_CERTAIN_SECONDS

    def confirm(self, at: float) -> None:
        """Note that the view was the newest at a time of this daemon's clock."""
        with self._lock:
            if self._confirmed_at is None or at > self._confirmed_at:
                self._confirmed_at = at
