"""Clock that does not count the time in which this process did not run.

Load pattern: a VM that was frozen or has used up its processor share. When it resumes, the reports
of its peers are still in its socket's buffer. By the system clock all peers would be late, and the
daemon would shrink its quota and send its own report to each of them, as if it were alone.
"""

from typing import NamedTuple

from trefoilreach._internal.clock import Clock

# Heartbeats come every 0.25 s. A stall of any length counts as 0.5 s; with the 0.25 s between two
# reports, that is less than the 1 s after which a peer is late.
_MAX_HEARTBEAT_GAP_SECONDS = 0.5


class _Heartbeat(NamedTuple):
    counted_seconds: float
    at: float


class RunningTime:
    """Clock in seconds that advances only while a thread of this process records heartbeats."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Replaced as a whole, so that readers need no lock.
        self._last = _Heartbeat(0.0, clock.now())

    def record_heartbeat(self) -> float:
        """Record that the process runs; return the seconds of a stall before, usually 0."""
        now = self._clock.now()
        last = self._last
        elapsed = now - last.at
        self._last = _Heartbeat(
            last.counted_seconds + min(elapsed, _MAX_HEARTBEAT_GAP_SECONDS), now
        )
        return max(0.0, elapsed - _MAX_HEARTBEAT_GAP_SECONDS)

    def now(self) -> float:
        """Return the seconds in which the process has run."""
        last = self._last
        return last.counted_seconds + min(self._clock.now() - last.at, _MAX_HEARTBEAT_GAP_SECONDS)
