"""Clock that does not count the time in which this process did not run.

Load pattern: a VM that was frozen or has used up its processor share. When it resumes, the reports
of its peers are still in its socket's buffer. By the system clock all peers would be late, and the
daemon would shrink its quota and send its own report to each of them, as if it were alone.
"""

from typing import NamedTuple

from trefoilreach._internal.clock import Clock

# A stall of any length counts as this much more than the interval of the heartbeats. For an active
# daemon that is 0.5 s, and 0.75 s with the interval of its peers' reports, which is less than the
# 1 s after which a peer is late.
_HEARTBEAT_MARGIN_SECONDS = 0.25


class _Heartbeat(NamedTuple):
    counted_seconds: float
    at: float
    max_gap: float


class RunningTime:
    """Clock in seconds that advances only while a thread of this process records heartbeats."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Replaced as a whole, so that readers need no lock.
        self._last = _Heartbeat(0.0, clock.now(), _HEARTBEAT_MARGIN_SECONDS)

    def record_heartbeat(self, interval: float) -> float:
        """Record that the process runs; return the seconds of a stall before, usually 0.

        :param interval: seconds until the next heartbeat.
        """
        now = self._clock.now()
        last = self._last
        elapsed = now - last.at
        self._last = _Heartbeat(
            last.counted_seconds + min(elapsed, last.max_gap),
            now,
            interval + _HEARTBEAT_MARGIN_SECONDS,
        )
        return max(0.0, elapsed - last.max_gap)

    def now(self) -> float:
        """Return the seconds in which the process has run."""
        last = self._last
        return last.counted_seconds + min(self._clock.now() - last.at, last.max_gap)
