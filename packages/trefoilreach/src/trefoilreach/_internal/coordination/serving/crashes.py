"""Tracks requests that were in flight at workers that crashed.

The caller of a request that crashes workers sends it again to any daemon, with another id but
the same account, path and body. A request under which three workers crashed before they began to
answer it is not sent to a fourth. Requests that a worker was already answering did not crash it.
Requests that are not alike may crash workers by a prompt part that they share
(:mod:`~trefoilreach._internal.coordination.serving.crashing_parts`).
"""

import hashlib
import threading
from collections.abc import Callable, Collection, Sequence

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.crashing_parts import (
    AnsweredPart,
    BlockedPart,
    CrashedRun,
    CrashingParts,
)
from trefoilreach._internal.logs import log_event

_MAX_CRASHES = 3
_CRASH_REPORT_SECONDS = 10.0
_CRASH_EXPIRY_SECONDS = 120.0


def compute_fingerprint(account: str, target: str, body: bytes) -> str:
    """Return a hash that is the same for all attempts of one request."""
    digest = hashlib.blake2b(f"{account}\0{target}\0".encode(), digest_size=12)
    digest.update(body)
    return digest.hexdigest()


class CrashRegistry:
    """Crashed workers by request fingerprint and prompt part, from this daemon and its peers.

    ``on_part_blocked`` and ``on_part_unblocked`` are called with a part that this daemon has
    blocked, or unblocked after an answer or because another part explains its crashes.
    ``claim_trial`` asks whether a request may try a blocked part; no more than one daemon gets the
    permission for a trial.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._crash_times: dict[str, dict[str, float]] = {}
        self._own_crashes: list[tuple[float, CrashedRun]] = []
        self.parts = CrashingParts(clock)
        self.on_part_blocked: Callable[[str], None] = lambda part: None
        self.on_part_unblocked: Callable[[str], None] = lambda part: None
        self.claim_trial: Callable[[str], bool] = lambda part: False

    def record(
        self,
        fingerprint: str,
        worker: str,
        request_id: str,
        shared_parts: tuple[str, ...] = (),
        begun: bool = False,
    ) -> None:
        """Record that a worker crashed with a request in flight.

        :param begun: whether the worker had begun to answer, so that another request is at fault.
        """
        if not begun:
            self._add_own_crash(CrashedRun(fingerprint, worker, shared_parts))
        log_event(
            "crash:noted",
            request_id=request_id,
            worker=worker,
            fingerprint=fingerprint,
            shared_parts=shared_parts,
            begun=begun,
            crashes=self.count(fingerprint),
        )

    def record_answered(self, shared_parts: Collection[str]) -> None:
        """Record that a worker has begun to answer a request with some prompt parts."""
        for part in self.parts.record_answered(shared_parts):
            self.on_part_unblocked(part)

    def _add_own_crash(self, run: CrashedRun) -> None:
        now = self._clock.now()
        with self._lock:
            self._own_crashes = [
                (at, crash) for at, crash in self._own_crashes if now - at < _CRASH_REPORT_SECONDS
            ]
            self._own_crashes.append((now, run))
        self.apply_peer_crashes([run])

    def apply_peer_crashes(self, crashes: Collection[CrashedRun]) -> None:
        """Add the crashes that a peer reports."""
        if not crashes:
            return
        now = self._clock.now()
        with self._lock:
            for crash in crashes:
                self._crash_times.setdefault(crash.fingerprint, {})[crash.worker] = now
            expired = [
                name
                for name, workers in self._crash_times.items()
                if now - max(workers.values()) > _CRASH_EXPIRY_SECONDS
            ]
            for name in expired:
                del self._crash_times[name]
        for crash in crashes:
            blocked = self.parts.add_crash(crash)
            if blocked is not None:
                self.on_part_blocked(blocked)
        self._announce_released()

    def apply_peer_findings(
        self, answered: Sequence[AnsweredPart], blocked: Sequence[BlockedPart]
    ) -> None:
        """Add what a peer states about parts."""
        self.parts.apply_peer_findings(answered, blocked)
        self._announce_released()

    def _announce_released(self) -> None:
        for part in self.parts.pop_released():
            self.on_part_unblocked(part)

    def own_crashes_to_report(self) -> tuple[CrashedRun, ...]:
        """Return this daemon's recent crashes for its next report."""
        now = self._clock.now()
        with self._lock:
            return tuple(
                crash._replace(age_seconds=now - at)
                for at, crash in self._own_crashes
                if now - at < _CRASH_REPORT_SECONDS
            )

    def count(self, fingerprint: str) -> int:
        """Return how many workers crashed with a request in flight."""
        return len(self._crash_times.get(fingerprint, ()))

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent again."""
        return self.count(fingerprint) >= _MAX_CRASHES
