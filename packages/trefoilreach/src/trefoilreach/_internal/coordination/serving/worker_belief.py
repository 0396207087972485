"""What a daemon believes of one backend server: the sources, their age, and which one decides.

In this order: the worker's own answers say that it leaves, its entry says so, requests of this
daemon failed, requests of a peer failed. Answers go before the entry, because the entry arrives by
way of the store, which may be down.
"""

from enum import Enum
from typing import NamedTuple

from trefoilreach._internal.state.serving import WorkerEntry

# First and longest time for which a worker that does not answer is suspected, and not used.
_FIRST_SUSPICION_SECONDS = 0.5
_MAX_SUSPICION_SECONDS = 4.0


class Source(Enum):
    """Origin of a belief."""

    ANSWER = "answer"
    LOAD_REPORT = "load-report"
    ENTRY = "entry"
    OWN_REQUESTS = "own-requests"
    PEER = "peer"


class Obstacle(NamedTuple):
    """Reason why a worker should get no new requests.

    :param leaving: whether it must get none until its process is replaced or its entry changes;
        a suspected worker may still be tried when there is no other.
    """

    source: Source
    age_seconds: float
    leaving: bool

    def describe(self) -> str:
        """Return a text for log lines."""
        state = "leaving" if self.leaving else "suspected"
        return f"{state} for {self.age_seconds:.1f} s ({self.source.value})"


class LeavingNotice(NamedTuple):
    """First statement of a worker that it leaves; valid as long as its process runs."""

    source: Source
    noted_at: float


def is_same_process(before: WorkerEntry, after: WorkerEntry) -> bool:
    """Return whether two entries of one worker, the second one newer, are of the same process.

    Without the time of its start, a process is known by its address and by its counter, which
    starts anew with it.
    """
    if before.started_ms and after.started_ms:
        return before.started_ms == after.started_ms
    same_address = (before.host, before.port) == (after.host, after.port)
    return same_address and after.sequence >= before.sequence


class WorkerBelief:
    """What is believed of one process of a worker; not thread-safe.

    ``entry`` is its newest entry, kept while the store has lost it.
    """

    def __init__(self, entry: WorkerEntry | None = None) -> None:
        self.entry = entry
        self.leaving: LeavingNotice | None = None
        self.draining_since: float | None = None
        self.failures = 0
        self.suspected_at = float("-inf")
        self.suspected_until = float("-inf")
        # Suspicions of peers are kept separately: reported again as this daemon's own, they
        # would never end.
        self.peer_suspected_at = float("-inf")
        self.peer_suspected_until = float("-inf")
        self.answered_at = float("-inf")

    def apply_entry(self, entry: WorkerEntry, now: float) -> None:
        """Apply an entry of the same process."""
        self.entry = entry
        if not entry.draining:
            self.draining_since = None
        elif self.draining_since is None:
            self.draining_since = now

    def suspect(self, now: float, ended: bool) -> None:
        """Suspect the worker after a failure, for longer each time.

        :param ended: whether its process is known to have ended.
        """
        self.failures += 1
        seconds = _FIRST_SUSPICION_SECONDS * 2 ** (self.failures - 1)
        if ended:
            seconds = _MAX_SUSPICION_SECONDS
        self.suspected_at = now
        self.suspected_until = now + min(_MAX_SUSPICION_SECONDS, seconds)

    def suspect_for_peer(self, now: float, seconds: float) -> None:
        """Suspect the worker because a peer does."""
        if self.peer_suspected_until <= now:
            self.peer_suspected_at = now
        self.peer_suspected_until = now + seconds

    def measure_leaving(self, now: float) -> float | None:
        """Return for how many seconds the worker has said that it leaves; None if it has not."""
        return None if self.leaving is None else round(now - self.leaving.noted_at, 3)

    def find_obstacle(self, now: float) -> Obstacle | None:
        """Return the reason that decides, or None if the worker may get requests."""
        if self.leaving is not None:
            return Obstacle(self.leaving.source, now - self.leaving.noted_at, leaving=True)
        if self.draining_since is not None:
            return Obstacle(Source.ENTRY, now - self.draining_since, leaving=True)
        if self.suspected_until > now:
            return Obstacle(Source.OWN_REQUESTS, now - self.suspected_at, leaving=False)
        if self.peer_suspected_until > now:
            return Obstacle(Source.PEER, now - self.peer_suspected_at, leaving=False)
        return None
