"""Planned stop that cuts no request."""

from collections.abc import Callable
from typing import Protocol

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.logs import log_event

# Added to the time for which callers may keep an answer, for its way to them.
_MARGIN_SECONDS = 2.0


class Leaver(Protocol):
    """Tells the peers that this daemon is leaving."""

    def leave(self) -> None:
        """Announce it."""


class DrainableServer(Protocol):
    """HTTP server that can be stopped without cutting a request."""

    def begin_drain(self) -> None:
        """Ask callers to close their connections from now on."""

    def stop_listening(self) -> None:
        """Accept no more connections."""

    def wait_idle(self, limit: float) -> bool:
        """Wait until all requests have ended; return whether they have."""


class Drain:
    """Runs a planned stop.

    :param entry_keep: seconds for which callers may keep an entry point answer.
    :param stream_grace: seconds to wait for open streams.
    """

    def __init__(
        self, clock: Clock, leaver: Leaver, entry_keep: float, stream_grace: float
    ) -> None:
        self._clock = clock
        self._leaver = leaver
        self._entry_keep = entry_keep
        self._stream_grace = stream_grace
        self._hooks: list[tuple[str, Callable[[], None]]] = []

    def add_hook(self, name: str, hook: Callable[[], None]) -> None:
        """Call ``hook`` once callers have stopped coming, to hand back quota, leases and chunks."""
        self._hooks.append((name, hook))

    def run(self, server: DrainableServer) -> bool:
        """Stop; return whether every request has ended by itself."""
        log_event("drain:begins")
        self._leaver.leave()
        server.begin_drain()
        self._clock.sleep(self._entry_keep + _MARGIN_SECONDS)
        for name, hook in self._hooks:
            try:
                hook()
            except Exception as error:
                log_event("drain:hook-failed", hook=name, error=repr(error))
        server.stop_listening()
        done = server.wait_idle(self._stream_grace)
        log_event("drain:ends", all_requests_ended=done)
        return done
