"""Load shedding: refuses new requests under overload and assigns their retry times.

Designed for a burst that exceeds all slots. A new request that cannot start within its target
is refused immediately, so that its caller can go elsewhere or retry when slots are free.
Retries are queued, and refused only when they cannot start before their caller leaves. Queued
requests are judged again while they wait, since workers may be lost and more urgent requests
arrive. Retry times are spaced at the rate at which slots become free, so that the retries do
not arrive together.
"""

from typing import NamedTuple

# Weight of the newest run in the moving average of the length of online runs.
_NEWEST_RUN_WEIGHT = 0.05
_INITIAL_RUN_SECONDS = 0.8
_MIN_RETRY_SECONDS = 0.1
# Workers that replace others are there within seconds, and callers wait for a part of their time.
_NO_WORKER_RETRY_SECONDS = 1.0
# A queued request is hopeless when it would wait for this many times its time left. Runs differ in
# length, and some requests before it leave the queue.
_HOPELESS_FACTOR = 1.5


class Pressure(NamedTuple):
    """Load of a service when a request arrives.

    :param before: number of queued requests that go first.
    :param slots: number of slots that online requests may use.
    :param taken: number of slots that online requests use.
    :param daemons: number of daemons that share the slots.
    """

    before: int
    slots: int
    taken: int
    daemons: int


class OverloadPolicy:
    """Decides on refusals for one service; not thread-safe."""

    def __init__(self) -> None:
        self._run_seconds = _INITIAL_RUN_SECONDS
        self._last_retry_at = 0.0

    @property
    def run_seconds(self) -> float:
        """Moving average of the length of an online run, in seconds."""
        return self._run_seconds

    def record_run(self, seconds: float) -> None:
        """Add the length of a complete run to the moving average."""
        self._run_seconds += _NEWEST_RUN_WEIGHT * (seconds - self._run_seconds)

    def estimate_wait(self, pressure: Pressure) -> float:
        """Return the expected wait of a new request for a slot, in seconds."""
        if pressure.slots <= 0:
            return self._run_seconds
        queue = pressure.before + 1 - (pressure.slots - pressure.taken)
        return max(0, queue) * self._run_seconds / pressure.slots

    def must_refuse(self, pressure: Pressure, max_wait: float) -> bool:
        """Return whether a new request must be refused.

        Without workers, waiting is of no use: nobody knows when one will come.

        :param max_wait: longest wait in seconds that still meets the target.
        """
        return pressure.slots <= 0 or self.estimate_wait(pressure) > max_wait

    def is_hopeless(self, pressure: Pressure, time_left: float) -> bool:
        """Return whether a queued request cannot get a slot before its caller leaves.

        :param pressure: load with the requests that go before it.
        :param time_left: seconds until its latest start.
        """
        if pressure.slots <= 0:
            return True
        return self.estimate_wait(pressure) > _HOPELESS_FACTOR * time_left

    def assign_retry_delay(self, pressure: Pressure, now: float) -> float:
        """Return after how many seconds a refused caller should retry.

        Each call assigns a later retry time, unless there is no worker whose slots become free.
        """
        if pressure.slots <= 0:
            return _NO_WORKER_RETRY_SECONDS
        earliest = now + max(_MIN_RETRY_SECONDS, self.estimate_wait(pressure))
        # Each daemon assigns its share of the slots that become free.
        interval = self._run_seconds * pressure.daemons / max(1, pressure.slots)
        self._last_retry_at = max(earliest, self._last_retry_at + interval)
        return self._last_retry_at - now
