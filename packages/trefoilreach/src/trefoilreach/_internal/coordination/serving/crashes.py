"""Requests that were in flight at workers that died.

A request at fault comes again, with another id but the same account, path and body, at any
daemon. One that was in flight at three workers that died is not sent to a fourth.
"""

import hashlib
import threading
from collections.abc import Collection

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.exchange.reports import CrashedRun
from trefoilreach._internal.logs import log_event

_CRASHES_ALLOWED = 3
_REPORTED_SECONDS = 10.0
_KEPT_SECONDS = 120.0


def find_fingerprint(account: str, target: str, body: bytes) -> str:
    """Return what all attempts of one request have in common."""
    digest = hashlib.blake2b(f"{account}\0{target}\0".encode(), digest_size=12)
    digest.update(body)
    return digest.hexdigest()


class CrashList:
    """Crashes by request, with those that peers report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._workers: dict[str, dict[str, float]] = {}
        self._own: list[tuple[float, CrashedRun]] = []

    def note(self, fingerprint: str, worker: str, request_id: str) -> None:
        """Note that a worker died with a request in flight."""
        now = self._clock.now()
        run = CrashedRun(fingerprint, worker)
        with self._lock:
            self._own = [(at, crash) for at, crash in self._own if now - at < _REPORTED_SECONDS]
            self._own.append((now, run))
        self.hear([run])
        log_event(
            "crash:noted",
            request_id=request_id,
            worker=worker,
            crashes=self.count(fingerprint),
        )

    def hear(self, crashes: Collection[CrashedRun]) -> None:
        """Take crashes that a peer reports."""
        if not crashes:
            return
        now = self._clock.now()
        with self._lock:
            for crash in crashes:
                self._workers.setdefault(crash.fingerprint, {})[crash.worker] = now
            old = [
                name
                for name, workers in self._workers.items()
                if now - max(workers.values()) > _KEPT_SECONDS
            ]
            for name in old:
                del self._workers[name]

    def reported(self) -> tuple[CrashedRun, ...]:
        """Return the crashes for the next report."""
        now = self._clock.now()
        with self._lock:
            return tuple(crash for at, crash in self._own if now - at < _REPORTED_SECONDS)

    def count(self, fingerprint: str) -> int:
        """Return how many workers died with a request in flight."""
        return len(self._workers.get(fingerprint, ()))

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent again."""
        return self.count(fingerprint) >= _CRASHES_ALLOWED
