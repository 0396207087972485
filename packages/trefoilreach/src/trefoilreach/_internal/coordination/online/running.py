"""Requests that run now, and the watch that ends those whose caller left or server is silent."""

import threading
from collections.abc import Callable
from contextlib import ExitStack

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.online.health import WorkerHealth
from trefoilreach._internal.transport.http_client import Interrupt

_WATCH_SECONDS = 0.1


class RunningRequest:
    """One admitted request; :meth:`stop` ends it from another thread.

    :param gone: whether the caller went away.
    """

    def __init__(self, request_id: str, gone: Callable[[], bool]) -> None:
        self.request_id = request_id
        self._gone = gone
        self._lock = threading.Lock()
        self._interrupt: Interrupt | None = None
        self._server = ""
        self._stop_reason = ""

    @property
    def server(self) -> str:
        """Server of the present attempt; empty between attempts."""
        return self._server

    @property
    def stop_reason(self) -> str:
        """Why the request must end; empty while it may go on."""
        if not self._stop_reason and self._gone():
            self._stop_reason = "the caller went away"
        return self._stop_reason

    def begin_attempt(self, server: str) -> Interrupt:
        """Return the interrupt of a new attempt."""
        interrupt = Interrupt()
        with self._lock:
            self._server = server
            self._interrupt = interrupt
            if self._stop_reason:
                interrupt.fire(self._stop_reason)
        return interrupt

    def end_attempt(self) -> None:
        """Note that no attempt runs."""
        with self._lock:
            self._server = ""
            self._interrupt = None

    def stop(self, reason: str) -> None:
        """End the request; there will be no other attempt."""
        with self._lock:
            self._stop_reason = self._stop_reason or reason
        self.interrupt(reason)

    def interrupt(self, reason: str) -> None:
        """End the present attempt."""
        with self._lock:
            if self._interrupt is not None:
                self._interrupt.fire(reason)


class RunningRequests:
    """The requests that run now on this daemon."""

    def __init__(self, clock: Clock, health: WorkerHealth) -> None:
        self._clock = clock
        self._health = health
        self._requests: set[RunningRequest] = set()
        self._stop = threading.Event()

    @property
    def count(self) -> int:
        """How many requests run or wait."""
        return len(self._requests)

    def start(self, stack: ExitStack) -> None:
        """Watch in a thread until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="watch", daemon=True).start()

    def add(self, request: RunningRequest) -> None:
        """Begin to watch a request."""
        self._requests.add(request)

    def remove(self, request: RunningRequest) -> None:
        """End the watch of a request."""
        self._requests.discard(request)

    def check(self) -> None:
        """Look at every request once."""
        for request in self._requests.copy():
            reason = request.stop_reason
            if reason:
                request.stop(reason)
            elif request.server and self._health.is_silent(request.server):
                request.interrupt("the server is silent")

    def _run(self) -> None:
        while not self._clock.wait(self._stop, _WATCH_SECONDS):
            self.check()
