"""Stops service on a daemon that cannot receive key withdrawals."""

import threading
from contextlib import ExitStack
from typing import Protocol

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.open_streams import OpenStreams
from trefoilreach._internal.coordination.config.sync import ConfigSync
from trefoilreach._internal.coordination.membership.peers import UNREACHABLE, Member
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal

# Time between refusing new requests and closing open streams, so that streams are closed 5 s
# after the last contact.
_STREAM_GRACE_SECONDS = 2.0
_TICK_SECONDS = 0.25
_RETRY_SECONDS = 1.0
# Minimum number of peers for a majority decision; fewer do not represent a larger fleet.
_MIN_PEERS = 5


class ContactSource(Protocol):
    """Source of peer states and recent probe results."""

    def members(self) -> list[Member]:
        """Return every known daemon but this one."""

    def count_recent_peers(self, seconds: float) -> tuple[int, int]:
        """Return to how many peers a probe ended in the last ``seconds``, and how many answered."""


class IsolationGuard:
    """Decides whether this daemon may serve.

    :param limit_seconds: seconds without contact to the table service and to most peers after which
        the daemon is isolated.
    """

    def __init__(
        self,
        clock: Clock,
        sync: ConfigSync,
        contacts: ContactSource,
        streams: OpenStreams,
        limit_seconds: float,
    ) -> None:
        self._clock = clock
        self._sync = sync
        self._contacts = contacts
        self._streams = streams
        self._limit = limit_seconds
        self._isolated_since: float | None = None
        self._stop = threading.Event()

    @property
    def is_isolated(self) -> bool:
        """Whether neither the table service nor most peers answered within the limit."""
        if self._sync.seconds_since_store_answer() <= self._limit:
            return False
        members = self._contacts.members()
        peers = len(members)
        if peers == 0:
            return False
        # Few peers are probed within the limit, so a decision by them alone would flap.
        unreachable = sum(member.state == UNREACHABLE for member in members)
        if 2 * unreachable > peers:
            return True
        asked, answered = self._contacts.count_recent_peers(self._limit)
        if answered == 0:
            return True
        return asked >= min(peers, _MIN_PEERS) and 2 * answered < asked

    def check(self) -> None:
        """Check whether this daemon may serve a request.

        :raises Refusal: 503, not run, when the daemon is starting or isolated.
        """
        if not self._sync.ready:
            message = "this daemon has not learned yet which configuration is in force"
            raise Refusal(503, "starting", message, retry_after=_RETRY_SECONDS)
        if self.is_isolated:
            message = "this daemon is cut off from the table service and from most peers"
            raise Refusal(503, "isolated", message, retry_after=_RETRY_SECONDS)

    def start(self, stack: ExitStack) -> None:
        """Call :meth:`tick` periodically in a thread until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="isolation", daemon=True).start()

    def tick(self) -> None:
        """Close open streams once the isolation has lasted for the grace period."""
        if not self._sync.ready or not self.is_isolated:
            self._isolated_since = None
            return
        now = self._clock.now()
        if self._isolated_since is None:
            self._isolated_since = now
            log_event("isolation:begins", store_age=self._sync.seconds_since_store_answer())
        if now - self._isolated_since >= _STREAM_GRACE_SECONDS:
            closed = self._streams.close_all()
            if closed:
                log_event("isolation:streams-ended", count=closed)

    def _run(self) -> None:
        while not self._clock.wait(self._stop, _TICK_SECONDS):
            self.tick()
