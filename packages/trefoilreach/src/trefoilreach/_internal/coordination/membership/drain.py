"""Planned shutdown that finishes, refuses or answers each request."""

from collections.abc import Callable
from typing import Protocol

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.planned_stop import PlannedStop, StopPlan
from trefoilreach._internal.logs import log_event

# Added to the time for which callers may cache an entry point answer, because the answer
# also takes time to reach them.
_TRANSIT_MARGIN_SECONDS = 2.0
# Time for sending last answers to requests that are still open at the end.
_LAST_ANSWERS_SECONDS = 1.0


class LeaveAnnouncer(Protocol):
    """Announces to the peers that this daemon is leaving."""

    def announce_leave(self) -> None:
        """Announce that this daemon takes no new work."""


class StoppableRequests(Protocol):
    """Requests that know of the planned stop."""

    planned_stop: PlannedStop

    def end_running(self) -> None:
        """Give running requests their last answer."""


class DrainableServer(Protocol):
    """HTTP server that can be stopped without interrupting a request."""

    def begin_drain(self) -> None:
        """Ask callers to close their connections from now on."""

    def stop_listening(self) -> None:
        """Accept no more connections."""

    def wait_idle(self, limit: float) -> bool:
        """Wait until all requests have ended; return whether they have."""


class Drain:
    """Runs a planned shutdown.

    :param entry_keep_seconds: seconds for which callers may cache an entry point answer.
    :param stream_grace_seconds: longest wait for open streams, in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        leaver: LeaveAnnouncer,
        requests: StoppableRequests,
        entry_keep_seconds: float,
        stream_grace_seconds: float,
    ) -> None:
        self._clock = clock
        self._leaver = leaver
        self._requests = requests
        self._entry_keep = entry_keep_seconds
        self._stream_grace = stream_grace_seconds
        self._hooks: list[tuple[str, Callable[[], None]]] = []

    def add_hook(self, name: str, hook: Callable[[], None]) -> None:
        """Call ``hook`` once no new requests arrive, to return quota, leases and chunks."""
        self._hooks.append((name, hook))

    def run(self, server: DrainableServer) -> bool:
        """Shut down; return whether all requests ended before the grace period was over."""
        log_event("drain:begins")
        informed_at = self._clock.now() + self._entry_keep + _TRANSIT_MARGIN_SECONDS
        self._requests.planned_stop.begin(
            StopPlan(informed_at, informed_at, informed_at + self._stream_grace)
        )
        self._leaver.announce_leave()
        server.begin_drain()
        self._clock.sleep(informed_at - self._clock.now())
        for name, hook in self._hooks:
            try:
                hook()
            except Exception as error:
                log_event("drain:hook-failed", hook=name, error=repr(error))
        server.stop_listening()
        done = server.wait_idle(self._stream_grace)
        if not done:
            self._requests.end_running()
            server.wait_idle(_LAST_ANSWERS_SECONDS)
        log_event("drain:ends", all_requests_ended=done)
        return done
