"""Reads load reports and cache events of the engines that this daemon uses."""

import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.backends import Backends
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.engine import Engine

# Keeps the polls of a daemon that uses many engines within its control traffic.
_POLLS_PER_SECOND = 10.0
_POLL_THREADS = 16
# Cache events are only a hint, so they are read with every second load report.
_EVENTS_EVERY = 2


class LoadPoller:
    """Polls each engine at the load interval, each in its own turn."""

    def __init__(
        self,
        clock: Clock,
        engine: Engine,
        backends: Backends,
        interval: float,
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._backends = backends
        self._interval = interval
        self._stop = threading.Event()
        self._busy: set[str] = set()
        self._polls: dict[str, int] = {}

    def start(self, stack: ExitStack) -> None:
        """Poll until the exit stack closes."""
        pool = ThreadPoolExecutor(_POLL_THREADS, thread_name_prefix="load")
        stack.callback(pool.shutdown, wait=False, cancel_futures=True)
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, args=(pool,), name="load-poller", daemon=True).start()

    def poll(self, server: Server) -> None:
        """Read one engine."""
        reply = self._engine.load(server)
        if isinstance(reply, Err):
            self._note_failure(server, reply.err_value.gone)
            return
        self._backends.health.mark_alive(server.name)
        if self._backends.load.report(server.name, reply.ok_value):
            log_event("worker:restarted", server=server.name, instance=reply.ok_value.instance)
            self._backends.prefixes.forget(server.name)
        count = self._polls[server.name] = self._polls.get(server.name, 0) + 1
        if count % _EVENTS_EVERY == 1:
            events = self._engine.cache_events(
                server, self._backends.prefixes.sequence(server.name)
            )
            if not isinstance(events, Err):
                self._backends.prefixes.apply(server.name, events.ok_value)
        self._backends.pump()

    def _note_failure(self, server: Server, gone: bool) -> None:
        if self._backends.health.is_usable(server.name):
            log_event("worker:down", server=server.name, refused=gone)
        if gone:
            self._backends.health.mark_refused(server.name, polled=True)
        else:
            self._backends.health.mark_silent(server.name)

    def _run(self, pool: ThreadPoolExecutor) -> None:
        while not self._stop.is_set():
            servers = self._backends.engines()
            for server in servers:
                if server.name not in self._busy:
                    self._busy.add(server.name)
                    pool.submit(self._poll_once, server)
            interval = max(self._interval, len(servers) / _POLLS_PER_SECOND)
            self._clock.wait(self._stop, interval)

    def _poll_once(self, server: Server) -> None:
        try:
            self.poll(server)
        finally:
            self._busy.discard(server.name)
