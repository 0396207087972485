"""Refusal at the door, and the time to come back.

Load pattern: a burst beyond all slots. A new request that cannot start within its target is
refused at once, so that its caller can go elsewhere or come back when slots are free.
Callers that come back are let in to wait. Return times are handed out one after the other
at the pace at which slots become free, so that the returning do not meet.
"""

from typing import NamedTuple

# Weight of the newest run in the mean length of online runs.
_RUN_WEIGHT = 0.05
_FIRST_RUN_SECONDS = 0.8
_MIN_RETRY_SECONDS = 0.1


class Pressure(NamedTuple):
    """State of a service at the arrival of a request.

    :param before: waiting requests that go first.
    :param slots: slots that online requests may use.
    :param taken: slots that they do use.
    :param daemons: daemons that share the slots.
    """

    before: int
    slots: int
    taken: int
    daemons: int


class DoorPolicy:
    """Decides on refusals for one service; not synchronized."""

    def __init__(self) -> None:
        self._run_seconds = _FIRST_RUN_SECONDS
        self._next_return = 0.0

    @property
    def run_seconds(self) -> float:
        """Mean length of an online run."""
        return self._run_seconds

    def note_run(self, seconds: float) -> None:
        """Take the length of a complete run into the mean."""
        self._run_seconds += _RUN_WEIGHT * (seconds - self._run_seconds)

    def expect_wait(self, pressure: Pressure) -> float:
        """Return how long a new request would wait for a slot."""
        if pressure.slots <= 0:
            return self._run_seconds
        queue = pressure.before + 1 - (pressure.slots - pressure.taken)
        return max(0, queue) * self._run_seconds / pressure.slots

    def must_refuse(self, pressure: Pressure, patience: float) -> bool:
        """Return whether a new request is refused.

        :param patience: longest wait that meets the target, in seconds.
        """
        return self.expect_wait(pressure) > patience

    def return_seconds(self, pressure: Pressure, now: float) -> float:
        """Return after how many seconds a refused caller should come back."""
        first = now + max(_MIN_RETRY_SECONDS, self.expect_wait(pressure))
        # Each daemon hands out its part of the slots that become free.
        pace = self._run_seconds * pressure.daemons / max(1, pressure.slots)
        self._next_return = max(first, self._next_return + pace)
        return self._next_return - now
