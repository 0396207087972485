"""Tracks when the desired state on this daemon was last confirmed to be the newest.

A withdrawn key must fail everywhere within a bound, also on a daemon that can't be told of the
withdrawal. Such a daemon therefore refuses requests with keys once its state is older than the
bound. Ages are counted from a time at which the store, or a peer, cannot yet have built its answer,
so that a slow or frozen exchange never makes the state look newer than it is.
"""

import threading
from typing import NamedTuple

from trefoilreach._internal.clock import DRIFT_MARGIN, Clock

# A key or route that is missing here may have been added since. With a state older than this,
# a refusal must not say that it doesn't exist.
_MAX_AGE_FOR_NOT_FOUND_SECONDS = 1.5
_MS_PER_SECOND = 1000.0


class StoreAnswer(NamedTuple):
    """When a call was made that the store has answered.

    :param asked_at: time just before the call.
    :param answered_at: time just after its answer.
    :param store_ms: the store's clock in the answer, in milliseconds; 0 if it has none.
    :param held_seconds: time for which the store held the call because nothing changed.
    """

    asked_at: float
    answered_at: float
    store_ms: float
    held_seconds: float = 0.0


class AnswerTimes:
    """Finds times by this daemon's clock at which the store had not yet built its answers.

    Load pattern: calls that the store holds for a second while nothing changes. Counted from their
    start, the state seems up to two seconds old all the time: unknown keys and routes then get no
    final answer, and the keys expire a second early when the store is lost.
    """

    def __init__(self) -> None:
        self._last: StoreAnswer | None = None
        self._last_built_at = 0.0

    def find_earliest_build(self, answer: StoreAnswer) -> float:
        """Return the latest time at which an answer was certainly not built yet.

        A held call is answered after its time is over. Its answer may have been under way for long,
        so the store's clock must have advanced as much since the answer before it.
        """
        built_at = answer.asked_at
        if self._last is not None and answer.held_seconds:
            store_seconds = (answer.store_ms - self._last.store_ms) / _MS_PER_SECOND
            by_store = self._last_built_at + store_seconds / DRIFT_MARGIN
            by_hold = answer.asked_at + answer.held_seconds / DRIFT_MARGIN
            built_at = max(built_at, min(by_store, by_hold, answer.answered_at))
        self._last, self._last_built_at = answer, built_at
        return built_at


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
