"""Polls load reports and cache events of the engines that this daemon uses.

Online routing and batch work use overlapping sets of engines; each engine is polled once
for both.
"""

import itertools
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import Protocol

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.online.backends import Backends
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.engine import Engine, EngineError, LoadReport

# Limits the control traffic of a daemon that uses many engines.
_MAX_POLLS_PER_SECOND = 10.0
_POLL_THREADS = 16
# Cache events are only a hint, so they are not read with every load report.
_POLLS_PER_EVENT_READ = 2

LoadReply = Result[LoadReport, EngineError]


class LoadWatcher(Protocol):
    """A component that needs the load reports of some engines."""

    def polled_servers(self) -> Sequence[Server]:
        """Return the engines to poll at every load interval."""

    def record_load_report(self, server: Server, reply: LoadReply) -> None:
        """Receive the load report of a watched engine, or the error of its poll."""


class LoadPoller:
    """Polls watched engines at every load interval, and other routed engines in rotation.

    :param interval: load interval in seconds.
    """

    def __init__(self, clock: Clock, engine: Engine, backends: Backends, interval: float) -> None:
        self._clock = clock
        self._engine = engine
        self._backends = backends
        self._interval = max(interval, 1.0 / _MAX_POLLS_PER_SECOND)
        self._watchers: list[LoadWatcher] = []
        self._stop = threading.Event()
        self._polls_in_progress: set[str] = set()
        # Number of the last poll of each engine; polls are numbered in the order they start.
        self._poll_numbers = itertools.count(1)
        self._last_poll_number: dict[str, int] = {}
        self._poll_counts: dict[str, int] = {}

    def add_watcher(self, watcher: LoadWatcher) -> None:
        """Pass load reports on to ``watcher`` for the engines that it watches."""
        self._watchers.append(watcher)

    def start(self, stack: ExitStack) -> None:
        """Poll until the exit stack closes."""
        pool = ThreadPoolExecutor(_POLL_THREADS, thread_name_prefix="load")
        stack.callback(pool.shutdown, wait=False, cancel_futures=True)
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, args=(pool,), name="load-poller", daemon=True).start()

    def start_due_polls(self, submit: Callable[[Callable[[Server], None], Server], object]) -> None:
        """Start the polls that are due in one load interval.

        An engine whose last poll is still running is skipped.
        """
        for server in self._choose_servers():
            self._polls_in_progress.add(server.name)
            self._last_poll_number[server.name] = next(self._poll_numbers)
            submit(self._poll_once, server)

    def poll(self, server: Server) -> None:
        """Poll one engine for online routing and for all watchers."""
        reply = self._engine.load(server)
        routed = any(entry.name == server.name for entry in self._backends.list_polled_engines())
        if routed:
            self._note_load(server, reply)
        for watcher in self._watchers:
            if server in watcher.polled_servers():
                watcher.record_load_report(server, reply)
        if routed and isinstance(reply, Ok):
            self._read_events(server)
            self._backends.grant_waiting()

    def _choose_servers(self) -> list[Server]:
        """Return the engines to poll now: watched ones, and the least recently polled others."""
        watched = {
            server.name: server for watcher in self._watchers for server in watcher.polled_servers()
        }
        others = [
            server for server in self._backends.list_polled_engines() if server.name not in watched
        ]
        others.sort(key=lambda server: self._last_poll_number.get(server.name, 0))
        free = [server for server in others if server.name not in self._polls_in_progress]
        due = [server for server in watched.values() if server.name not in self._polls_in_progress]
        return due + free[: int(_MAX_POLLS_PER_SECOND * self._interval)]

    def _note_load(self, server: Server, reply: LoadReply) -> None:
        if isinstance(reply, Err):
            self._note_failure(server, reply.err_value.is_refused)
            return
        self._backends.health.mark_alive(server.name)
        if self._backends.load_view.update_report(server.name, reply.ok_value):
            log_event("worker:restarted", server=server.name, instance=reply.ok_value.instance)
            self._backends.prefixes.clear_server(server.name)

    def _note_failure(self, server: Server, gone: bool) -> None:
        if self._backends.health.is_usable(server.name):
            log_event("worker:down", server=server.name, refused=gone)
        if gone:
            self._backends.health.mark_refused(server.name, polled=True)
        else:
            self._backends.health.mark_silent(server.name)

    def _read_events(self, server: Server) -> None:
        count = self._poll_counts[server.name] = self._poll_counts.get(server.name, 0) + 1
        if count % _POLLS_PER_EVENT_READ == 1:
            sequence = self._backends.prefixes.last_sequence(server.name)
            events = self._engine.cache_events(server, sequence)
            if isinstance(events, Ok):
                self._backends.prefixes.apply_events(server.name, events.ok_value)

    def _run(self, pool: ThreadPoolExecutor) -> None:
        while not self._stop.is_set():
            try:
                self.start_due_polls(pool.submit)
            except RuntimeError:
                # The executor rejects work after its shutdown.
                return
            self._clock.wait(self._stop, self._interval)

    def _poll_once(self, server: Server) -> None:
        try:
            self.poll(server)
        finally:
            self._polls_in_progress.discard(server.name)
