"""Running requests, and the check that ends those without a caller or a responsive server."""

import threading
from collections.abc import Callable
from contextlib import ExitStack

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.online.health import WorkerHealth
from trefoilreach._internal.transport.http_client import Interrupt

_CHECK_INTERVAL_SECONDS = 0.1


class RunningRequest:
    """One admitted request; :meth:`stop` ends it from another thread.

    :param is_stopped: whether the caller disconnected.
    """

    def __init__(self, request_id: str, is_stopped: Callable[[], bool]) -> None:
        self.request_id = request_id
        self._gone = is_stopped
        self._lock = threading.Lock()
        self._interrupt: Interrupt | None = None
        self._server = ""
        self._stop_reason = ""

    @property
    def server(self) -> str:
        """Name of the server of the current attempt; empty between attempts."""
        return self._server

    @property
    def stop_reason(self) -> str:
        """Why the request must end; empty while it may continue."""
        if not self._stop_reason and self._gone():
            self._stop_reason = "the caller disconnected"
        return self._stop_reason

    def begin_attempt(self, server: str) -> Interrupt:
        """Return an interrupt for a new attempt; it has fired if the request was stopped."""
        interrupt = Interrupt()
        with self._lock:
            self._server = server
            self._interrupt = interrupt
            if self._stop_reason:
                interrupt.trigger(self._stop_reason)
        return interrupt

    def end_attempt(self) -> None:
        """Record that no attempt runs."""
        with self._lock:
            self._server = ""
            self._interrupt = None

    def stop(self, reason: str) -> None:
        """Interrupt the request and prevent further attempts."""
        with self._lock:
            self._stop_reason = self._stop_reason or reason
        self.interrupt(reason)

    def interrupt(self, reason: str) -> None:
        """Interrupt the current attempt, if any."""
        with self._lock:
            if self._interrupt is not None:
                self._interrupt.trigger(reason)


class RunningRequests:
    """The running requests of this daemon, which a thread checks periodically."""

    def __init__(self, clock: Clock, health: WorkerHealth) -> None:
        self._clock = clock
        self._health = health
        self._requests: set[RunningRequest] = set()
        self._stop = threading.Event()

    @property
    def count(self) -> int:
        """Number of requests that run or wait."""
        return len(self._requests)

    def start(self, stack: ExitStack) -> None:
        """Check requests in a thread until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="watch", daemon=True).start()

    def add(self, request: RunningRequest) -> None:
        """Start checking a request."""
        self._requests.add(request)

    def remove(self, request: RunningRequest) -> None:
        """Stop checking a request."""
        self._requests.discard(request)

    def stop_all(self, reason: str) -> None:
        """End all requests."""
        for request in self._requests.copy():
            request.stop(reason)

    def check_all(self) -> None:
        """Stop requests whose caller disconnected; interrupt attempts whose server is silent."""
        for request in self._requests.copy():
            reason = request.stop_reason
            if reason:
                request.stop(reason)
            elif request.server and self._health.is_silent(request.server):
                request.interrupt("the server does not answer")

    def _run(self) -> None:
        while not self._clock.wait(self._stop, _CHECK_INTERVAL_SECONDS):
            self.check_all()
