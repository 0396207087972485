"""Tracks which backend servers refuse connections or do not answer."""

import threading
from typing import NamedTuple

from trefoilreach._internal.clock import Clock

# Services are not polled, so a request may try the server again after this time.
_OUTAGE_SECONDS = 1.0
# A polled engine is usable again from its next answer; this limit applies only if polls
# are missed.
_POLLED_OUTAGE_SECONDS = 10.0


class _Outage(NamedTuple):
    """Why a server gets no work, and until when.

    :param silent: it accepts connections without an answer, rather than refusing them.
    :param until: clock time in seconds.
    """

    silent: bool
    until: float


class WorkerHealth:
    """Servers that get no work because they refuse connections or do not answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._outages: dict[str, _Outage] = {}

    def is_usable(self, server: str) -> bool:
        """Return whether a server can be given work."""
        return self._find_outage(server) is None

    def is_silent(self, server: str) -> bool:
        """Return whether a server accepts connections but gives no answer."""
        outage = self._find_outage(server)
        return outage is not None and outage.silent

    def mark_refused(self, server: str, polled: bool) -> None:
        """Record that no process listens at a server's address."""
        self._mark_outage(server, False, _POLLED_OUTAGE_SECONDS if polled else _OUTAGE_SECONDS)

    def mark_silent(self, server: str, polled: bool = True) -> None:
        """Record that a server gave no answer on a new connection."""
        self._mark_outage(server, True, _POLLED_OUTAGE_SECONDS if polled else _OUTAGE_SECONDS)

    def mark_alive(self, server: str) -> None:
        """Record that a server answered."""
        with self._lock:
            self._outages.pop(server, None)

    def _mark_outage(self, server: str, silent: bool, seconds: float) -> None:
        with self._lock:
            self._outages[server] = _Outage(silent, self._clock.now() + seconds)

    def _find_outage(self, server: str) -> _Outage | None:
        with self._lock:
            outage = self._outages.get(server)
            if outage is not None and outage.until <= self._clock.now():
                del self._outages[server]
                return None
            return outage
