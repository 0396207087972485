"""Environment of a run: daemon processes, emulated store and workers, and proxies between them."""

import random
import signal
import threading
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path

from trefoilreach._internal.coordination.jobs.records import (
    JOB_TABLE,
    OPEN,
    PARTS,
    RESULT_TABLE,
    parse_job,
)
from trefoilreach._internal.platform import names
from trefoilreach._internal.state.rows import MemoryRows

from trefoilreach_emulator._internal.deployment import Daemon, Deployment
from trefoilreach_emulator._internal.server import Exchange, run_server
from trefoilreach_emulator._internal.soak.history import Failure, History, Run
from trefoilreach_emulator._internal.soak.proxy import Proxies, TcpProxy
from trefoilreach_emulator._internal.stream_worker import SeenRequest, StreamWorker, read_seen

_SUBNET = 9
# The entry of a worker that sends no status expires after three status intervals.
_ENTRY_EXPIRY_SECONDS = 1.0
_EVENTS_PER_STREAM = 12
_EVENT_INTERVAL_SECONDS = 0.02
_SLOTS_PER_WORKER = 6
# Share of the broken streams that are cut before their first event.
_NO_EVENT_BREAK_SHARE = 0.5
ACCOUNT = "shop"


def _find_vm(owner: str) -> str:
    """Return the VM of an owner in a job row, ``vm/incarnation``."""
    return owner.rpartition("/")[0]


def count_unfinished_items(rows: MemoryRows) -> Counter[str]:
    """Return the number of items without a result in open jobs, by owner as in the job rows."""
    found: Counter[str] = Counter()
    for part in PARTS:
        results = rows.read(RESULT_TABLE, part).unwrap().rows
        result_counts = Counter(row.name.key.rpartition("/")[0] for row in results)
        for row in rows.read(JOB_TABLE, part).unwrap().rows:
            record = parse_job(row).record
            count = record.total - result_counts[record.job]
            if record.state == OPEN and count > 0:
                found[record.owner] += count
    return found


class SoakWorker(StreamWorker):
    """A worker that records its runs in the history and can be made to fail.

    :ivar fail_share: share of its requests that it answers with 500.
    :ivar break_share: share of its streams that it cuts before their end.
    :ivar alive: whether it answers; a crashed worker drops all connections.
    """

    def __init__(self, name: str, history: History, rng: random.Random) -> None:
        super().__init__(name, _SLOTS_PER_WORKER, _EVENTS_PER_STREAM, _EVENT_INTERVAL_SECONDS)
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
            if self._rng.random() < _NO_EVENT_BREAK_SHARE:
                self.break_after = 0
                self._note(read_seen(exchange, request_id))
                exchange.drop()
                return
        if self._rng.random() < self.fail_share:
            self._note(read_seen(exchange, request_id))
            self._history.add(Failure(request_id, self.name, self._history.now(), 500))
            echo = {names.REQUEST_ID: request_id, names.RECEIPT: "r", **self._state_headers}
            exchange.reply({}, 500, echo)
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


class ProxiedWorker:
    """A worker and the proxy through which daemons reach it."""

    def __init__(self, worker: SoakWorker, proxy: TcpProxy) -> None:
        self.worker = worker
        self.proxy = proxy


class ProxiedDaemon:
    """A daemon and the proxy through which it reaches the store."""

    def __init__(self, daemon: Daemon, store_proxy: TcpProxy, history: History) -> None:
        self.daemon = daemon
        self.store_proxy = store_proxy
        self._history = history
        self._lock = threading.Lock()

    def restart(self) -> None:
        """Start the daemon again unless another fault has already done so."""
        with self._lock:
            if self.exited:
                self._history.add_notice("started-again", self.daemon.vm)
                self.daemon.start(ready=False)

    @property
    def exited(self) -> bool:
        """Whether the process has exited."""
        return self.daemon.process is None or self.daemon.process.poll() is not None


class SoakEnvironment:
    """Daemons, workers, store and proxies of a run; the exit stack that it is given closes them."""

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
        self.workers: list[ProxiedWorker] = []
        self.daemons: list[ProxiedDaemon] = []
        self._stack = stack
        self._proxies = Proxies(stack)
        self._lock = threading.RLock()
        self._worker_count = 0
        # Owners, as job rows name them, whose processes were killed; their jobs have no process.
        self._killed_owners: set[str] = set()
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

    def withdraw_key(self, key: str) -> None:
        """Remove a key of the client account from the desired state."""
        with self._lock:
            self.keys.remove(key)
            self.configure()
        self.history.add_notice("withdrawn", key)

    def add_worker(self) -> ProxiedWorker:
        """Start a worker with a new id and register it."""
        with self._lock:
            self._worker_count += 1
            name = f"w{self._worker_count}"
        worker = SoakWorker(name, self.history, random.Random(self.rng.random()))
        port = self._stack.enter_context(run_server("127.0.0.1", 0, worker.handle))
        proxy = self._proxies.add("127.0.0.1", port)
        proxied = ProxiedWorker(worker, proxy)
        worker.register(self.platform, proxy.port)
        self.workers.append(proxied)
        return proxied

    def crash_worker(self, proxied: ProxiedWorker) -> None:
        """Make a worker fail at once; its entry is deleted when it would expire."""
        self.history.add_notice("worker-lost", proxied.worker.name)
        self.workers.remove(proxied)
        proxied.worker.alive = False
        proxied.proxy.refusing = True
        proxied.proxy.reset()
        expiry_timer = threading.Timer(_ENTRY_EXPIRY_SECONDS, self._delete_entry, [proxied])
        expiry_timer.daemon = True
        expiry_timer.start()

    def drain_worker(self, proxied: ProxiedWorker, reported: bool) -> None:
        """Let a worker say in its answers that it leaves; it serves on.

        :param reported: whether it also registers as draining.
        """
        self.workers.remove(proxied)
        self.history.add_notice("leaving", proxied.worker.name)
        proxied.worker.leaving = True
        if reported:
            self.history.add_notice("draining", proxied.worker.name)
            proxied.worker.register(self.platform, proxied.proxy.port, "draining")

    def _delete_entry(self, proxied: ProxiedWorker) -> None:
        self.platform.put(names.WORKER_TABLE, proxied.worker.name, None)

    def add_daemon(self) -> ProxiedDaemon:
        """Start a daemon behind a store proxy of its own."""
        store_proxy = self._proxies.add("127.0.0.1", self.deployment.store_port)
        daemon = self.deployment.add_daemon(store=f"127.0.0.1:{store_proxy.port}")
        proxied = ProxiedDaemon(daemon, store_proxy, self.history)
        self.daemons.append(proxied)
        return proxied

    def kill_daemon(self, proxied: ProxiedDaemon) -> None:
        """Kill a daemon."""
        self.history.add_notice("killed", proxied.daemon.vm)
        proxied.daemon.end()

    def kill_job_owner(self) -> ProxiedDaemon | None:
        """Kill the daemon with the most items left to run; return it, or None if none has any."""
        with self._lock:
            running = {d.daemon.vm: d for d in self.daemons if not d.exited}
            unfinished_items = {
                owner: count
                for owner, count in count_unfinished_items(self.platform.rows).items()
                if owner not in self._killed_owners and _find_vm(owner) in running
            }
            if not unfinished_items:
                return None
            owner = max(unfinished_items, key=unfinished_items.__getitem__)
            self._killed_owners.add(owner)
            proxied = running[_find_vm(owner)]
            self.kill_daemon(proxied)
            return proxied

    def stop_daemon(self, proxied: ProxiedDaemon, timeout_seconds: float) -> None:
        """Stop a daemon by SIGTERM, and kill it after the timeout."""
        self.history.add_notice("stopped", proxied.daemon.vm)
        process = proxied.daemon.process
        assert process is not None
        proxied.daemon.signal(signal.SIGTERM)
        end = time.monotonic() + timeout_seconds
        while process.poll() is None and time.monotonic() < end:
            time.sleep(0.05)
        if process.poll() is None:
            self.history.add_notice("stop-too-long", proxied.daemon.vm)
        proxied.daemon.end()

    def find_exited(self) -> list[ProxiedDaemon]:
        """Return the daemons whose processes have exited."""
        return [proxied for proxied in self.daemons if proxied.exited]
