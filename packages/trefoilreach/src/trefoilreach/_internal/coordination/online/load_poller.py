"""Reads load reports and cache events of the engines that this daemon uses.

Online routing and batch work watch overlapping sets of engines; each engine is read once
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

# Keeps the polls of a daemon that uses many engines within its control traffic.
_POLLS_PER_SECOND = 10.0
_POLL_THREADS = 16
# Cache events are only a hint, so they are read with every second load report.
_EVENTS_EVERY = 2

LoadReply = Result[LoadReport, EngineError]


class LoadWatcher(Protocol):
    """Another part of the daemon that needs load reports."""

    def watched_servers(self) -> Sequence[Server]:
        """Return the engines to read at every load interval."""

    def note_load(self, server: Server, reply: LoadReply) -> None:
        """Take a load report of a watched engine, or its failure."""


class LoadPoller:
    """Polls watched engines at every load interval, and the others of routing in turns.

    :param interval: load interval in seconds.
    """

    def __init__(self, clock: Clock, engine: Engine, backends: Backends, interval: float) -> None:
        self._clock = clock
        self._engine = engine
        self._backends = backends
        self._interval = max(interval, 1.0 / _POLLS_PER_SECOND)
        self._watchers: list[LoadWatcher] = []
        self._stop = threading.Event()
        self._busy: set[str] = set()
        # Number of the last poll of each engine, in the order in which the polls began.
        self._numbers = itertools.count(1)
        self._last_poll: dict[str, int] = {}
        self._polls: dict[str, int] = {}

    def add_watcher(self, watcher: LoadWatcher) -> None:
        """Pass the load reports of the engines that ``watcher`` names on to it."""
        self._watchers.append(watcher)

    def start(self, stack: ExitStack) -> None:
        """Poll until the exit stack closes."""
        pool = ThreadPoolExecutor(_POLL_THREADS, thread_name_prefix="load")
        stack.callback(pool.shutdown, wait=False, cancel_futures=True)
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, args=(pool,), name="load-poller", daemon=True).start()

    def run_round(self, submit: Callable[[Callable[[Server], None], Server], object]) -> None:
        """Begin the polls that are due in one load interval.

        An engine whose last poll still runs is left out.
        """
        for server in self._choose():
            self._busy.add(server.name)
            self._last_poll[server.name] = next(self._numbers)
            submit(self._poll_once, server)

    def poll(self, server: Server) -> None:
        """Read one engine for all who use it."""
        reply = self._engine.load(server)
        routed = any(entry.name == server.name for entry in self._backends.engines())
        if routed:
            self._note_load(server, reply)
        for watcher in self._watchers:
            if server in watcher.watched_servers():
                watcher.note_load(server, reply)
        if routed and isinstance(reply, Ok):
            self._read_events(server)
            self._backends.pump()

    def _choose(self) -> list[Server]:
        """Return the engines to poll now: all watched ones, and those read longest ago."""
        watched = {
            server.name: server
            for watcher in self._watchers
            for server in watcher.watched_servers()
        }
        others = [server for server in self._backends.engines() if server.name not in watched]
        others.sort(key=lambda server: self._last_poll.get(server.name, 0))
        free = [server for server in others if server.name not in self._busy]
        due = [server for server in watched.values() if server.name not in self._busy]
        return due + free[: int(_POLLS_PER_SECOND * self._interval)]

    def _note_load(self, server: Server, reply: LoadReply) -> None:
        if isinstance(reply, Err):
            self._note_failure(server, reply.err_value.gone)
            return
        self._backends.health.mark_alive(server.name)
        if self._backends.load.report(server.name, reply.ok_value):
            log_event("worker:restarted", server=server.name, instance=reply.ok_value.instance)
            self._backends.prefixes.forget(server.name)

    def _note_failure(self, server: Server, gone: bool) -> None:
        if self._backends.health.is_usable(server.name):
            log_event("worker:down", server=server.name, refused=gone)
        if gone:
            self._backends.health.mark_refused(server.name, polled=True)
        else:
            self._backends.health.mark_silent(server.name)

    def _read_events(self, server: Server) -> None:
        count = self._polls[server.name] = self._polls.get(server.name, 0) + 1
        if count % _EVENTS_EVERY == 1:
            sequence = self._backends.prefixes.sequence(server.name)
            events = self._engine.cache_events(server, sequence)
            if isinstance(events, Ok):
                self._backends.prefixes.apply(server.name, events.ok_value)

    def _run(self, pool: ThreadPoolExecutor) -> None:
        while not self._stop.is_set():
            try:
                self.run_round(pool.submit)
            except RuntimeError:
                # The executor refuses work while this daemon stops.
                return
            self._clock.wait(self._stop, self._interval)

    def _poll_once(self, server: Server) -> None:
        try:
            self.poll(server)
        finally:
            self._busy.discard(server.name)
