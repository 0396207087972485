"""Daemons with the users' settings format against stand-ins of platform and workers."""

import http.client
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import orjson
from trefoilreach._internal.platform import names

from trefoilreach_emulator._internal.fleet import free_ports, wait_until
from trefoilreach_emulator._internal.http_call import Address, Answer, call
from trefoilreach_emulator._internal.row_platform import RowPlatform
from trefoilreach_emulator._internal.server import run_server
from trefoilreach_emulator._internal.stream_worker import StreamWorker

HOST = "h.example"
ROUTE = {
    "host": HOST,
    "kind": "stream",
    "service": "pool",
    "timeoutMs": 5000,
    "targetLatencyMs": 300,
    "gapAimMs": 250,
    "priority": 0,
    "public": False,
}
ROUTES = [
    {**ROUTE, "name": "again", "pathPrefix": "/again/", "attempts": 3, "resumable": True},
    {**ROUTE, "name": "once", "pathPrefix": "/once/", "attempts": 1, "resumable": False},
    {
        **ROUTE,
        "name": "jobs",
        "pathPrefix": "/jobs/",
        "kind": "batch",
        "attempts": 3,
        "runAimMs": 18000,
        "keepS": 60,
        "cap": 0,
        "resumable": True,
    },
]
STOP_SECONDS = 4
_SHOWN_LOG_LINES = 20
# Holds a ``sitecustomize`` module that steps the time of day of a process.
_CLOCK_FOLDER = Path(__file__).parent / "soak" / "clock"
REVOKE_SECONDS = 2


class Reply(Answer):
    """A whole answer."""

    @property
    def events(self) -> list[int]:
        """Numbers of the events of a stream."""
        return [int(line[4:]) for line in self.data.splitlines() if line.startswith(b"id: ")]


class Daemon:
    """One daemon on an address of its own; ended by its process id.

    :param store: address of the platform's store, as this daemon reaches it.
    """

    def __init__(self, deployment: "Deployment", number: int, store: str) -> None:
        self.vm = f"vm-{number}"
        self.host = deployment.host(number)
        self._deployment = deployment
        self._store = store
        self.settings = deployment.folder / f"{self.vm}.conf"
        self.log = deployment.folder / f"{self.vm}.log"
        self.process: subprocess.Popen[bytes] | None = None
        # Seconds by which the daemon's time of day is wrong.
        self.clock_step = 0.0

    @property
    def datagram_address(self) -> tuple[str, int]:
        """Address at which it takes the reports of the others."""
        return self.host, self._deployment.ports[3]

    def start(self, ready: bool = True) -> None:
        """Start the process.

        :param ready: whether to wait until it serves.
        """
        ports = self._deployment.ports
        lines = [
            f"node={self.vm}",
            f"ip={self.host}",
            "zone=a",
            "region=r",
            f"listen.front={self.host}:{ports[0]}",
            f"listen.ready={self.host}:{ports[1]}",
            f"listen.control={self.host}:{ports[2]}",
            f"listen.directory={self.host}:{ports[1]}",
            f"portRange={ports[3]},{ports[3]}",
            f"seeds={self._deployment.host(1)}:{ports[2]}",
            "bounds.strictRevoke=true",
            f"bounds.revokeMs={self._deployment.revoke_seconds * 1000}",
            f"bounds.graceS={self._deployment.stop_seconds}",
            f"provider.address={self._store}",
        ]
        self.settings.write_text("\n".join(lines) + "\n")
        environment = {**os.environ, "TREFOILREACH_CONFIG": str(self.settings)}
        if self.clock_step:
            environment["PYTHONPATH"] = f"{_CLOCK_FOLDER}:{os.environ.get('PYTHONPATH', '')}"
            environment["CLOCK_STEP_SECONDS"] = str(self.clock_step)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "trefoilreach", "serve"],
                cwd=self._deployment.folder,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        if ready:
            self._wait_until_ready()

    def _wait_until_ready(self) -> None:
        """Wait until the daemon says that it is ready.

        :raises TimeoutError: when it does not, or ends; with the last lines of its log.
        """
        process = self.process
        assert process is not None
        try:
            wait_until(
                lambda: process.poll() is not None or self.is_ready(),
                what=f"{self.vm} to be ready",
            )
        except TimeoutError as error:
            raise TimeoutError(f"{error}; {self._describe_log_end()}") from error
        if process.poll() is not None:
            raise TimeoutError(
                f"{self.vm} ended with {process.returncode}; {self._describe_log_end()}"
            )

    def _describe_log_end(self) -> str:
        lines = self.log.read_text(errors="replace").splitlines()
        return "its log ends with: " + "\n".join(lines[-_SHOWN_LOG_LINES:])

    def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        return self.get_check(names.READY_PATH).status == 200

    def get_check(self, path: str) -> Reply:
        """Ask the server of the checks."""
        return send(self.host, self._deployment.ports[1], "GET", path)

    def call(
        self,
        method: str,
        path: str,
        request_id: str = "",
        body: bytes = b"",
        key: str = "key-1",
        **headers: str,
    ) -> Reply:
        """Send a request as a caller does, on a new connection."""
        sent = {"Host": HOST, "Authorization": f"Bearer {key}", names.TIME_LEFT_MS: "5000"}
        if request_id:
            sent[names.REQUEST_ID] = request_id
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        return send(self.host, self._deployment.ports[0], method, path, body, sent)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, also a stopped one."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def read_log(self) -> list[dict[str, Any]]:
        """Return the lines of the log."""
        lines = self.log.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines if line.startswith(b"{")]


def send(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 8.0,
) -> Reply:
    """Send one request on a new connection.

    :raises OSError: when there is no answer.
    """
    try:
        return Reply(*call(Address(host, port), method, path, body, None, headers, timeout))
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error


class Deployment:
    """A store, workers and daemons; closed by its exit stack.

    :param subnet: the daemons listen on 127.0.``subnet``.N.
    :param routes: routes of the desired state.
    :param stop_seconds: time between the signal to stop and the kill.
    :param revoke_seconds: time after which a withdrawn key must fail.
    """

    def __init__(
        self,
        folder: Path,
        stack: ExitStack,
        subnet: int,
        routes: Sequence[dict[str, Any]] = ROUTES,
        stop_seconds: int = STOP_SECONDS,
        revoke_seconds: int = REVOKE_SECONDS,
    ) -> None:
        self.folder = folder
        self.stop_seconds = stop_seconds
        self.revoke_seconds = revoke_seconds
        self._subnet = subnet
        self._routes = routes
        self.platform = RowPlatform()
        self.store_port = stack.enter_context(run_server("127.0.0.1", 0, self.platform.handle))
        # Free on all addresses, since each daemon has an address of its own.
        self.ports = free_ports(4, "0.0.0.0")
        self.workers: list[StreamWorker] = []
        self.daemons: list[Daemon] = []
        self.version = 0
        self._stack = stack
        self.configure(["key-1", "key-2"])

    def host(self, number: int) -> str:
        """Return the address of a VM."""
        return f"127.0.{self._subnet}.{number}"

    def configure(self, keys: list[str], rate: float = 200.0, burst: float = 200.0) -> None:
        """Write the next desired state, with one client account."""
        self.version += 7
        tenants = [{"name": "shop", "apiKeys": keys, "ratePerS": rate, "burst": burst}]
        state = {
            "version": self.version,
            "routes": self._routes,
            "services": [{"name": "pool"}],
            "tenants": tenants,
            "limits": {"maxBodyBytes": 2_000_000},
        }
        self.platform.put(names.OPERATOR_TABLE, names.DESIRED_STATE_KEY, state)

    def add_worker(
        self, worker_type: type[StreamWorker] = StreamWorker, **options: Any
    ) -> StreamWorker:
        """Start and register a worker."""
        worker = worker_type(f"w{len(self.workers)}", **options)
        port = self._stack.enter_context(run_server("127.0.0.1", 0, worker.handle))
        worker.register(self.platform, port)
        self.workers.append(worker)
        return worker

    def add_daemon(self, number: int | None = None, store: str = "") -> Daemon:
        """Start a daemon and wait until it serves."""
        store = store or f"127.0.0.1:{self.store_port}"
        daemon = Daemon(self, number or len(self.daemons) + 1, store)
        self.daemons.append(daemon)
        self._stack.callback(daemon.end)
        daemon.start()
        return daemon

    def wait_settled(self) -> None:
        """Wait until each daemon offers all of them to callers."""

        def settled() -> bool:
            answers = [d.get_check(f"{names.RESOLVE_PATH}?zone=a") for d in self.daemons]
            return all(len(answer.json()["addresses"]) == len(self.daemons) for answer in answers)

        wait_until(settled, what="the daemons to know each other")

    def requests_seen(self) -> list[str]:
        """Return the ids of the requests that ran, in order by worker."""
        return [seen.request_id for worker in self.workers for seen in worker.seen]


def wait_for_results(daemon: Daemon, job: str, count: int, limit: float = 15.0) -> list[Any]:
    """Read a job until it has a number of results."""
    end = time.monotonic() + limit
    results: list[Any] = []
    while time.monotonic() < end:
        reply = daemon.call("GET", f"{names.JOB_PATH}{job}?after=0", X_Wait_Ms="500")
        if reply.status == 200:
            results = reply.json()["results"]
            if len(results) >= count:
                return results
        time.sleep(0.05)
    raise AssertionError(f"{len(results)} of {count} results of {job}")
