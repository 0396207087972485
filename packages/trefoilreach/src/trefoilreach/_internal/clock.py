"""Time sources: the system clock, and a manual clock that tests pause and advance."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

from trefoilreach._internal.registry import Registry

# Largest assumed drift between the clocks of two VMs, as a factor on intervals.
DRIFT_MARGIN = 1.01


class Clock(Protocol):
    """Source of time for everything that waits or expires."""

    def now(self) -> float:
        """Return seconds that never decrease; only differences between them are meaningful."""

    def wall_time(self) -> float:
        """Return seconds since the epoch, for display only."""

    def sleep(self, seconds: float) -> None:
        """Block the calling thread."""

    def wait(self, event: threading.Event, timeout: float) -> bool:
        """Block until the event is set or the timeout is over; return whether it is set."""

    def wait_for(
        self, condition: threading.Condition, predicate: Callable[[], bool], timeout: float
    ) -> bool:
        """Block until the predicate is true or the time is over; the caller holds the condition."""


clocks: Registry[Callable[[], Clock]] = Registry("clock")


@clocks.register("system")
class SystemClock:
    """Clock since boot, which also counts the time while the VM was suspended."""

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread."""
        time.sleep(seconds)

    def wait(self, event: threading.Event, timeout: float) -> bool:
        """Wait for an event."""
        return event.wait(timeout)

    def wait_for(
        self, condition: threading.Condition, predicate: Callable[[], bool], timeout: float
    ) -> bool:
        """Wait for a predicate on a held condition."""
        return condition.wait_for(predicate, timeout)


# Real seconds between two checks of the manual clock by a waiting thread.
_MANUAL_POLL_SECONDS = 0.001


@clocks.register("manual")
class ManualClock:
    """Clock that moves only when :meth:`advance` is called."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._advanced = threading.Condition()

    def now(self) -> float:
        """Return the manual time."""
        with self._advanced:
            return self._now

    def wall_time(self) -> float:
        """Return the manual time as seconds since the epoch."""
        return self.now()

    def advance(self, seconds: float) -> None:
        """Move the time forward and wake the waiting threads."""
        with self._advanced:
            self._now += seconds
            self._advanced.notify_all()

    def sleep(self, seconds: float) -> None:
        """Block until the manual time has advanced by ``seconds``."""
        with self._advanced:
            end = self._now + seconds
            self._advanced.wait_for(lambda: self._now >= end)

    def wait(self, event: threading.Event, timeout: float) -> bool:
        """Wait for an event on manual time."""
        end = self.now() + timeout
        while not event.wait(_MANUAL_POLL_SECONDS):
            if self.now() >= end:
                return event.is_set()
        return True

    def wait_for(
        self, condition: threading.Condition, predicate: Callable[[], bool], timeout: float
    ) -> bool:
        """Wait for a predicate on manual time."""
        end = self.now() + timeout
        while not predicate():
            if self.now() >= end:
                return False
            condition.wait(_MANUAL_POLL_SECONDS)
        return True
