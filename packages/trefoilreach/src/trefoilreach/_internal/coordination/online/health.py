"""Which backend servers can be given work, from refused connections and silence."""

import threading
from typing import NamedTuple

from trefoilreach._internal.clock import Clock

# Plain services are not polled; after this time a request may try the server again.
_DOWN_SECONDS = 1.0
# A polled engine comes back by its next answer; this only guards against a lost poll.
_POLLED_DOWN_SECONDS = 10.0


class _Trouble(NamedTuple):
    silent: bool
    until: float


class WorkerHealth:
    """Servers in trouble."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._troubles: dict[str, _Trouble] = {}

    def is_usable(self, server: str) -> bool:
        """Return whether a server can be given work."""
        return self._find(server) is None

    def is_silent(self, server: str) -> bool:
        """Return whether a server accepts connections but gives no answer."""
        trouble = self._find(server)
        return trouble is not None and trouble.silent

    def mark_refused(self, server: str, polled: bool) -> None:
        """Note that no process listens at a server's address."""
        self._mark(server, False, _POLLED_DOWN_SECONDS if polled else _DOWN_SECONDS)

    def mark_silent(self, server: str, polled: bool = True) -> None:
        """Note that a server gave no answer on a new connection."""
        self._mark(server, True, _POLLED_DOWN_SECONDS if polled else _DOWN_SECONDS)

    def mark_alive(self, server: str) -> None:
        """Note that a server answered."""
        with self._lock:
            self._troubles.pop(server, None)

    def _mark(self, server: str, silent: bool, seconds: float) -> None:
        with self._lock:
            self._troubles[server] = _Trouble(silent, self._clock.now() + seconds)

    def _find(self, server: str) -> _Trouble | None:
        with self._lock:
            trouble = self._troubles.get(server)
            if trouble is not None and trouble.until <= self._clock.now():
                del self._troubles[server]
                return None
            return trouble
