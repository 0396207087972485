"""The programs of a run: daemons as processes, stand-ins of store and workers, proxies between."""

import random
import signal
import threading
import time
from contextlib import ExitStack
from pathlib import Path

from trefoilreach._internal.platform import names

from trefoilreach_emulator._internal.deployment import Daemon, Deployment
from trefoilreach_emulator._internal.server import Exchange, run_server
from trefoilreach_emulator._internal.soak.history import Failure, History, Run
from trefoilreach_emulator._internal.soak.proxy import Link, Proxies
from trefoilreach_emulator._internal.stream_worker import SeenRequest, StreamWorker, read_seen

_SUBNET = 9
# The entry of a worker that says nothing goes after three status intervals.
_ENTRY_LAPSE_SECONDS = 1.0
_EVENTS = 12
_EVENT_SECONDS = 0.02
_SLOTS = 6
# Part of the broken streams that end before their first event.
_NO_EVENT_SHARE = 0.5
ACCOUNT = "shop"


class SoakWorker(StreamWorker):
    """A worker that notes its runs and can be made to fail.

    :ivar fail_share: share of its requests that it answers with 500.
    :ivar break_share: share of its streams that it cuts in the middle.
    """

    def __init__(self, name: str, history: History, rng: random.Random) -> None:
        super().__init__(name, _SLOTS, _EVENTS, _EVENT_SECONDS)
        self.fail_share = 0.0
        self.break_share = 0.0
        self.alive = True
        self._history = history
        self._rng = rng

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if self.alive:
            super().handle(exchange)
        else:
            exchange.drop()

    def _run(self, exchange: Exchange, request_id: str) -> None:
        if self._rng.random() < self.break_share:
            self.break_after = self._rng.randrange(1, self.events)
            if self._rng.random() < _NO_EVENT_SHARE:
                self.break_after = 0
                self._note(read_seen(exchange, request_id))
                exchange.drop()
                return
        if self._rng.random() < self.fail_share:
            self._note(read_seen(exchange, request_id))
            self._history.add(Failure(request_id, self.name, self._history.now(), 500))
            exchange.reply({}, 500, {names.REQUEST_ID: request_id, names.RECEIPT: "r"})
            return
        if exchange.body == b"impossible":
            self._history.add(Failure(request_id, self.name, self._history.now(), 422))
        super()._run(exchange, request_id)

    def _note(self, seen: SeenRequest) -> None:
        at = self._history.now()
        self._history.add(
            Run(seen.request_id, self.name, at, seen.account, seen.key_seen, seen.resumed_after)
        )

    def _send(self, exchange: Exchange, data: bytes) -> None:
        if not self.alive:
            exchange.drop()
            raise ConnectionAbortedError("the worker has crashed")
        super()._send(exchange, data)


class WorkerPlace:
    """A worker with the proxy in front of it."""

    def __init__(self, worker: SoakWorker, link: Link) -> None:
        self.worker = worker
        self.link = link


class DaemonPlace:
    """A daemon with the proxy between it and the store."""

    def __init__(self, daemon: Daemon, store: Link) -> None:
        self.daemon = daemon
        self.store = store
        self._lock = threading.Lock()

    def restart(self) -> None:
        """Start the daemon again unless another fault has done so."""
        with self._lock:
            if self.ended:
                self.daemon.start(ready=False)

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.daemon.process is None or self.daemon.process.poll() is not None


class World:
    """All programs; closed by its exit stack."""

    def __init__(
        self,
        folder: Path,
        stack: ExitStack,
        history: History,
        seed: int,
        daemons: int,
        workers: int,
    ) -> None:
        self.history = history
        self.rng = random.Random(seed)
        self.deployment = Deployment(folder, stack, _SUBNET)
        self.platform = self.deployment.platform
        self.keys = ["key-1", "key-2", "key-3"]
        self.workers: list[WorkerPlace] = []
        self.daemons: list[DaemonPlace] = []
        self._stack = stack
        self._proxies = Proxies(stack)
        self._lock = threading.RLock()
        self._count = 0
        self.configure()
        for _ in range(workers):
            self.add_worker()
        for _ in range(daemons):
            self.add_daemon()
        self.deployment.wait_settled()

    def configure(self) -> None:
        """Write the next desired state."""
        with self._lock:
            self.deployment.configure(list(self.keys), self.history.rate, self.history.rate)

    def withdraw(self, key: str) -> None:
        """Take a key away."""
        with self._lock:
            self.keys.remove(key)
            self.configure()
        self.history.note("withdrawn", key)

    def add_worker(self) -> WorkerPlace:
        """Start a worker with a new id and register it."""
        with self._lock:
            self._count += 1
            name = f"w{self._count}"
        worker = SoakWorker(name, self.history, random.Random(self.rng.random()))
        port = self._stack.enter_context(run_server("127.0.0.1", 0, worker.handle))
        link = self._proxies.add("127.0.0.1", port)
        place = WorkerPlace(worker, link)
        worker.register(self.platform, link.port)
        self.workers.append(place)
        return place

    def crash_worker(self, place: WorkerPlace) -> None:
        """End a worker at once; its entry goes later."""
        self.history.note("worker-lost", place.worker.name)
        self.workers.remove(place)
        place.worker.alive = False
        place.link.refusing = True
        place.link.reset()
        lapse = threading.Timer(_ENTRY_LAPSE_SECONDS, self._drop_entry, [place])
        lapse.daemon = True
        lapse.start()

    def drain_worker(self, place: WorkerPlace) -> None:
        """Let a worker say that it leaves."""
        self.history.note("draining", place.worker.name)
        self.workers.remove(place)
        place.worker.register(self.platform, place.link.port, "draining")

    def _drop_entry(self, place: WorkerPlace) -> None:
        self.platform.put(names.WORKER_TABLE, place.worker.name, None)

    def add_daemon(self) -> DaemonPlace:
        """Start a daemon behind a store proxy of its own."""
        store = self._proxies.add("127.0.0.1", self.deployment.store_port)
        daemon = self.deployment.add_daemon(store=f"127.0.0.1:{store.port}")
        place = DaemonPlace(daemon, store)
        self.daemons.append(place)
        return place

    def kill(self, place: DaemonPlace) -> None:
        """End a daemon at once."""
        self.history.note("killed", place.daemon.vm)
        place.daemon.end()

    def stop(self, place: DaemonPlace, limit: float) -> None:
        """Order a planned stop, and kill after the limit."""
        self.history.note("stopped", place.daemon.vm)
        process = place.daemon.process
        assert process is not None
        place.daemon.signal(signal.SIGTERM)
        end = time.monotonic() + limit
        while process.poll() is None and time.monotonic() < end:
            time.sleep(0.05)
        if process.poll() is None:
            self.history.note("stop-too-long", place.daemon.vm)
        place.daemon.end()

    def find_ended(self) -> list[DaemonPlace]:
        """Return the daemons whose processes have ended."""
        return [place for place in self.daemons if place.ended]
