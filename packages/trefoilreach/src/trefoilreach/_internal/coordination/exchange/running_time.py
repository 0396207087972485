"""Time in which this process ran.

Load pattern: a VM that was frozen or has used up its processor share. When it goes on, the
reports of its peers wait in its socket; by the clock alone all of them would be late, and the
daemon would shrink its quota and send its own report to each of them, as if it were alone.
"""

from typing import NamedTuple

from trefoilreach._internal.clock import Clock

# Beats come every quarter of a second. A stall of any length counts as half a second; with the
# quarter between two reports, that is less than the second after which a peer is late.
_LONGEST_BEAT_SECONDS = 0.5


class _Beat(NamedTuple):
    counted: float
    at: float


class RunningTime:
    """Seconds that go on only while a thread of this process beats."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Replaced as a whole, so that readers need no lock.
        self._last = _Beat(0.0, clock.now())

    def beat(self) -> float:
        """Note that the process runs; return for how long it did not, 0 as a rule."""
        now = self._clock.now()
        last = self._last
        elapsed = now - last.at
        self._last = _Beat(last.counted + min(elapsed, _LONGEST_BEAT_SECONDS), now)
        return max(0.0, elapsed - _LONGEST_BEAT_SECONDS)

    def now(self) -> float:
        """Return the seconds until now."""
        last = self._last
        return last.counted + min(self._clock.now() - last.at, _LONGEST_BEAT_SECONDS)
