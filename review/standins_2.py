"""Small stand-ins of the users' platform, workers, operator and clients, on loopback only.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. The daemons are the project's own,
started as separate processes with the command of ``deploy/system.toml``.
"""

import base64
import bisect
import http.client
import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "nony24.example"
# Whether the script plays its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CASE_LIMIT_SECONDS = 110
STORE_ANSWER_SECONDS = 0.004
HISTORY_SECONDS = 20.0
BLOB_SECONDS = 0.025
BLOBS_PER_SECOND = 80.0
MAX_OBJECTS_BYTES = 400_000_000
HEARTBEAT_SECONDS = 1.2
# After a crash a worker is back after so long.
BACK_SECONDS = 4.0


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def close(self) -> None:
        with self._lock:
            self._file.close()

    def write(self, *words: object) -> None:
        with self._lock:
            if self._file.closed:
                return
            at = time.monotonic() - self.started_at
            self._file.write(f"{at:8.3f} " + " ".join(str(word) for word in words) + "\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: object, client_address: object) -> None:
        pass


def start_server(host: str, handle, port: int = 0) -> _Server:
    """Serve HTTP/1.1 in a thread; ``handle`` gets the handler of each request."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_request(self) -> None:
            parts = urlsplit(self.path)
            self.route = parts.path
            self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
            length = int(self.headers.get("Content-Length") or 0)
            self.body = self.rfile.read(length) if length else b""
            handle(self)

        do_GET = do_POST = do_PUT = do_DELETE = do_request

        def reply(self, status: int, value: object = None, headers: dict | None = None) -> None:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.send_response(status)
            for name, text in (headers or {}).items():
                self.send_header(name, text)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *arguments: object) -> None:
            pass

    server = _Server((host, port), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's store: tables of rows with a feed, and raw objects."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._changed = threading.Condition()
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._history: list[tuple[int, float, tuple[str, str, str], str | None]] = []
        self._version = 100
        self._blobs: dict[str, bytes] = {}
        self.blob_bytes = 0
        self.refused_objects = 0
        # When the next call for an object may begin.
        self._next_blob_at = 0.0
        self._server = start_server("127.0.0.1", self._handle)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def close(self) -> None:
        self._server.shutdown()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a worker does; None removes it."""
        data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._apply([((table, "", key), data)])
        self._record.write("store", "row", f"{table}/{key}", json.dumps(value))

    def _apply(self, changes: list[tuple[tuple[str, str, str], str | None]]) -> None:
        self._version += 1
        for name, data in changes:
            if data is None:
                if self._rows.pop(name, None) is None:
                    continue
            else:
                self._rows[name] = (data, self._version)
            self._history.append((self._version, time.monotonic(), name, data))
        self._changed.notify_all()

    def _handle(self, call) -> None:
        time.sleep(STORE_ANSWER_SECONDS)
        route = call.route
        if route == "/trefoilreach/rows-get":
            self._get(call)
        elif route == "/trefoilreach/rows-feed":
            self._feed(call)
        elif route == "/trefoilreach/rows-tx":
            self._commit(call)
        elif route.startswith("/trefoilreach/blob-"):
            self._blob(call)
        else:
            call.reply(404, {})

    def _get(self, call) -> None:
        q = call.query
        with self._changed:
            found = sorted(
                (name[2], row)
                for name, row in self._rows.items()
                if name[:2] == (q["table"], q.get("part", ""))
                and name[2] >= q.get("from", "")
                and ("to" not in q or name[2] < q["to"])
            )
            version = self._version
        rows, size = [], 0
        limit = min(500, int(q.get("limit", 500)))
        for key, (value, ver) in found:
            size += len(value)
            if len(rows) == limit or (rows and size > 900_000):
                break
            rows.append(_row((q["table"], q.get("part", ""), key), value, ver))
        more = len(rows) < len(found)
        call.reply(200, {"rows": rows, "hasMore": more, "ver": version, "nowMs": now_ms()})

    def _feed(self, call) -> None:
        table, after = call.query["table"], int(call.query["after"])
        end = time.monotonic() + int(call.query["waitMs"]) / 1000
        with self._changed:
            oldest = time.monotonic() - HISTORY_SECONDS
            start = bisect.bisect_right([entry[0] for entry in self._history], after)
            while True:
                entries = [e for e in self._history[start:] if e[2][0] == table]
                if entries or time.monotonic() >= end:
                    break
                self._changed.wait(max(0.0, end - time.monotonic()))
            version = self._version
        if entries and entries[0][1] < oldest:
            call.reply(410, {})
            return
        newest = {name: (ver, data) for ver, _, name, data in entries}
        rows = [_row(name, data, ver) for name, (ver, data) in newest.items()]
        call.reply(200, {"rows": rows, "ver": version, "nowMs": now_ms()})

    def _commit(self, call) -> None:
        body = json.loads(call.body)
        with self._changed:
            expected = [(_name(row), row["ver"]) for row in body.get("expectRev", ())]
            good = all(self._rows.get(name, ("", 0))[1] == ver for name, ver in expected)
            if good:
                changes = [(_name(row), row["value"]) for row in body.get("writes", ())]
                changes += [(_name(row), None) for row in body.get("delete", ())]
                self._apply(changes)
            version = self._version
            current = [_row(n, *self._rows[n]) for n, _ in expected if n in self._rows]
        if good:
            call.reply(200, {"ver": version, "nowMs": now_ms()})
        else:
            call.reply(412, {"rows": current, "ver": version, "nowMs": now_ms()})

    def _blob(self, call) -> None:
        verb, _, name = call.route.removeprefix("/trefoilreach/").partition("/")
        name = unquote(name)
        with self._changed:
            begins_at = max(self._next_blob_at, time.monotonic())
            wait = begins_at - time.monotonic()
            if wait <= 1.0:
                self._next_blob_at = begins_at + 1 / BLOBS_PER_SECOND
        if wait > 1.0:
            call.reply(429, {})
            return
        time.sleep(wait + BLOB_SECONDS)
        with self._changed:
            if verb == "blob-put":
                exists = name in self._blobs
                if exists and call.headers.get("If-None-Match") == "*":
                    status, data = 412, b"{}"
                elif self.blob_bytes >= MAX_OBJECTS_BYTES:
                    self.refused_objects += 1
                    status, data = 507, b"{}"
                else:
                    self.blob_bytes += len(call.body) - len(self._blobs.get(name, b""))
                    self._blobs[name] = call.body
                    status, data = 200, b"{}"
            elif verb == "blob-get":
                data = self._blobs.get(name, b"")
                status = 200 if name in self._blobs else 404
            else:
                self.blob_bytes -= len(self._blobs.pop(name, b""))
                status, data = 200, b"{}"
        call.reply(status, data)


def now_ms() -> float:
    return time.monotonic() * 1000


def _name(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


def _row(name: tuple[str, str, str], value: str | None, ver: int) -> dict:
    row = {"table": name[0], "part": name[1], "key": name[2], "ver": ver}
    return {**row, "tombstone": True} if value is None else {**row, "value": value}


class Worker:
    """One worker: runs at most ``slots`` requests, refuses more, and streams numbered events."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        slots: int,
        events: int,
        interval: float,
    ) -> None:
        self.name, self.service = name, service
        self.slots, self.events, self.interval = slots, events, interval
        self.begun: list[tuple[float, str]] = []
        self.finished: list[tuple[float, str]] = []
        self._store, self._record = store, record
        # Smallest length of the data of an event.
        self.event_bytes = 0
        # Whether streams are sent in chunks; without, they end with their connection.
        self.chunked = True
        # Output tokens in one event; 0 for ``events`` events whatever the request asks for.
        self.tokens_per_event = 0
        # Seconds from the arrival of a request to its first event.
        self.first_event_seconds = interval
        # A prompt part on which the worker crashes as it begins to write an answer.
        self.deadly_part = ""
        self.crashes: list[float] = []
        self._lock = threading.Lock()
        self._running = 0
        self._state = "ready"
        self._boot = 0
        self._base_name = name
        self._connections: set[socket.socket] = set()
        self._open()

    def _open(self) -> None:
        """Begin to listen as a new boot, and register."""
        self._server = start_server("127.0.0.1", self._handle)
        self.address = "{}:{}".format(*self._server.server_address)
        self._sequence = 0
        self._register()

    def crash(self) -> None:
        """End without a word; come back as a new boot with a new id after some seconds."""
        with self._lock:
            if self._state == "down":
                return
            self._state = "down"
            connections = list(self._connections)
        # As when a process is killed: nothing listens any more when its connections end.
        self._server.shutdown()
        self._server.server_close()
        self.crashes.append(time.monotonic())
        self._record.write("worker", self.name, "CRASHES")
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=self._come_back, daemon=True).start()

    def _come_back(self) -> None:
        time.sleep(3 * HEARTBEAT_SECONDS)
        # The entry lapses after three intervals of silence.
        self._store.put("servers", self.name, None)
        time.sleep(BACK_SECONDS - 3 * HEARTBEAT_SECONDS)
        self._boot += 1
        self.name = f"{self._base_name}-{self._boot}"
        self._state = "ready"
        self._open()

    @property
    def running(self) -> int:
        return self._running

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": self._state,
            "coldLeftMs": 0,
            "stage": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
        }
        self._store.put("servers", self.name, entry)

    def drain(self) -> None:
        """Report that it leaves."""
        self._state = "draining"
        self._register()

    def leave(self) -> None:
        """End, and remove the entry."""
        self._server.shutdown()
        self._server.socket.close()
        self._store.put("servers", self.name, None)

    def whole_output(self, request_id: str) -> str:
        return "\n".join(self._text(request_id, n) for n in range(1, self.events + 1))

    def _text(self, request_id: str, number: int) -> str:
        return f"{request_id}.{number}".ljust(self.event_bytes, ".")

    def _handle(self, call) -> None:
        request_id = call.headers.get("X-Request-Id", "")
        echo = {"X-Request-Id": request_id}
        if self._state == "draining":
            echo["Server-Leaving"] = "1"
        target = call.headers.get("X-Target-Instance")
        if target not in (None, self.name):
            call.reply(421, {}, {**echo, "X-Served-By": self.name})
            return
        if call.route == "/trefoilreach/report":
            call.reply(200, {"running": self._running, "waiting": 0, "kvUsed": 0}, echo)
            return
        with self._lock:
            free = self._running < self.slots
            self._running += free
        if not free:
            call.reply(503, {}, {**echo, "X-Not-Executed": "1"})
            return
        try:
            with self._lock:
                self._connections.add(call.connection)
            self._run(call, request_id, echo)
        except OSError:
            if self._state != "down":
                self._record.write("worker", self.name, "caller left", request_id)
        finally:
            with self._lock:
                self._connections.discard(call.connection)
                self._running -= 1

    def _run(self, call, request_id: str, echo: dict) -> None:
        after = int(call.headers.get("Last-Event-Id") or 0)
        tenant = call.headers.get("X-Tenant", "")
        parts = call.headers.get("X-Prompt-Prefix", "")
        self.begun.append((time.monotonic(), request_id))
        self._record.write("worker", self.name, "runs", request_id, f"after={after}", tenant)
        call.send_response(200)
        for name, text in {
            **echo,
            "X-Response-Signature": f"sig-{self.name}-{request_id}",
            "Content-Type": "text/event-stream",
            **({"Transfer-Encoding": "chunked"} if self.chunked else {"Connection": "close"}),
        }.items():
            call.send_header(name, text)
        call.end_headers()
        events = self.events
        if self.tokens_per_event:
            events = int(call.headers["X-Token-Usage"].split(",")[1]) // self.tokens_per_event
        if not self.interval:
            numbers = range(after + 1, events + 1)
            data = "".join(f"id: {n}\ndata: {self._text(request_id, n)}\n\n" for n in numbers)
            call.wfile.write(b"%x\r\n%s\r\n" % (len(data), data.encode()) if data else b"")
            after = events
        for number in range(after + 1, events + 1):
            first = number == after + 1
            if _ended(call.connection, self.first_event_seconds if first else self.interval):
                raise ConnectionError("the caller has left")
            if self._state == "down":
                raise ConnectionError("crashed")
            if self.deadly_part and f"{self.deadly_part}:" in parts:
                self.crash()
                raise ConnectionError("crashed")
            data = f"id: {number}\ndata: {self._text(request_id, number)}\n\n".encode()
            call.wfile.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)
        if self.chunked:
            call.wfile.write(b"0\r\n\r\n")
        call.close_connection = call.close_connection or not self.chunked
        self.finished.append((time.monotonic(), request_id))
        self._record.write("worker", self.name, "finished", request_id)


def _ended(connection: socket.socket, seconds: float) -> bool:
    """Wait; return whether the other side has closed the connection meanwhile."""
    end = time.monotonic() + seconds
    readable, _, _ = select.select([connection], [], [], seconds)
    if readable:
        try:
            if not connection.recv(1, socket.MSG_PEEK):
                return True
        except OSError:
            return True
        time.sleep(max(0.0, end - time.monotonic()))
    return False


def free_port(used: set[int]) -> int:
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in used:
            used.add(port)
            return port


class Daemon:
    """One daemon process on a loopback address of its own."""

    def __init__(self, site: "Site", number: int) -> None:
        self._site = site
        self.name = f"edge-a-{number}"
        self.host = f"127.0.{site.subnet}.{10 + number}"
        self.log = site.folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        site = self._site
        front, ready, control, directory, peer = site.ports
        settings = {
            "node": self.name,
            "role": "daemon",
            "machineClass": "edge",
            "serves": "edge,directory,control_plane",
            "ip": self.host,
            "zone": "a",
            "region": "r",
            "zones.a": "r",
            "listen.front": f"{self.host}:{front}",
            "listen.ready": f"{self.host}:{ready}",
            "listen.control": f"{self.host}:{control}",
            "listen.directory": f"{self.host}:{directory}",
            "portRange": f"{peer},{peer + 15}",
            "seeds": f"127.0.{site.subnet}.11:{control}",
            "bootstrap": "true",
            "limits.cpuShare": "0.717",
            "limits.cores": "3",
            "limits.memoryMb": "320",
            "limits.maxFds": "8200",
            "heartbeatMs": "1200",
            **site.bounds,
            "provider.address": site.store.address,
            "provider.form": "table",
            "provider.rowBytes": "65536",
            "provider.blobBytes": "8388608",
        }
        path = site.folder / f"{self.name}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in settings.items()))
        keep = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = {
            **keep,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TREFOILREACH_CONFIG": str(path),
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                site.command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        site.record.write("daemon", self.name, "started")

    def wait_ready(self, seconds: float = 15.0) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if self.get(self._site.ports[1], "/trefoilreach/ready").status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    def send_signal(self, number: signal.Signals) -> None:
        self._site.record.write("daemon", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def get(self, port: int, path: str) -> "Answer":
        return send(self.host, port, "GET", path)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = "key-1",
        timeout: float = 6.0,
        **headers: str,
    ) -> "Answer":
        """Send one request on a new connection, as a client does; status 0 means no answer."""
        fields = {"Host": HOST, "Authorization": f"Bearer {key}"}
        fields |= {name.replace("_", "-"): text for name, text in headers.items()}
        try:
            answer = send(self.host, self._site.ports[0], method, path, body, fields, timeout)
        except OSError as error:
            answer = Answer(0, repr(error).encode(), {})
        return answer


class Answer:
    """A whole answer."""

    def __init__(self, status: int, data: bytes, headers: dict) -> None:
        self.status, self.data, self.headers = status, data, headers

    def json(self):
        return json.loads(self.data)


def send(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict | None = None,
    timeout: float = 6.0,
) -> Answer:
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, answer.read(), dict(answer.getheaders()))
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        connection.close()


ROUTE = {
    "host": HOST,
    "timeoutMs": 5000,
    "targetLatencyMs": 300,
    "priority": 0,
    "service": "pool",
    "attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapAimMs": 250,
}
BATCH_ROUTE = {
    **ROUTE,
    "name": "r-batch",
    "pathPrefix": "/pule252/",
    "kind": "batch",
    "timeoutMs": 15000,
    "targetLatencyMs": 400,
    "priority": 2,
    "attempts": 3,
    "runAimMs": 18000,
    "keepS": 60,
    "cap": 540000,
}


class Site:
    """A small deployment; use as a context manager, which ends all that it started."""

    def __init__(self, case: Path, subnet: int, bounds: dict | None = None) -> None:
        self.record = Record(case / "record.txt")
        self.subnet = subnet
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        used: set[int] = set()
        self.ports = [free_port(used) for _ in range(4)]
        peer = free_port(used)
        self.ports.append(min(peer, 65000))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["daemon"]["run"].split()
        self.bounds = {
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.configMs": "2000",
            "bounds.strictRevoke": "true",
            "bounds.revokeMs": "5000",
            "bounds.quotaWindowS": "5",
            "bounds.quotaExcess": "0.1",
            "bounds.quotaSlack": "20",
            "bounds.finishS": "18",
            "bounds.statusS": "120",
            "bounds.cancelMs": "3000",
            "bounds.settleMs": "1000",
            "bounds.ttl_max_s": "5",
            **(bounds or {}),
        }
        self.daemons: list[Daemon] = []
        self.workers: list[Worker] = []
        self._version = 3

    def __enter__(self) -> "Site":
        return self

    def __exit__(self, *error: object) -> None:
        for daemon in self.daemons:
            daemon.end()
        self.store.close()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, routes: list[dict], tenants: list[dict] | None = None) -> float:
        """Write the next desired state, as the operator does; return the time of the ack."""
        self._version += 4
        names = {route["service"] for route in routes}
        state = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/healthz", "maxConnections": 370} for name in names
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": tenants
            or [{"name": "kaje80", "apiKeys": ["key-1"], "ratePerS": 0, "burst": 0}],
        }
        self.store.put("op", "config", state)
        return time.monotonic()

    def add_worker(
        self,
        name: str,
        service: str = "pool",
        slots: int = 8,
        events: int = 40,
        interval: float = 0.02,
    ) -> Worker:
        worker = Worker(self.store, self.record, name, service, slots, events, interval)
        self.workers.append(worker)
        return worker

    def start_daemons(self, count: int) -> None:
        self.daemons = [Daemon(self, number) for number in range(1, count + 1)]
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            daemon.wait_ready()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            path = f"/trefoilreach/resolve?name={HOST}&region=r&zone=a"
            found = [daemon.get(self.ports[3], path) for daemon in self.daemons]
            if all(f.status == 200 and len(f.json()["addresses"]) == count for f in found):
                # In touch: no disturbance for contactMs.
                time.sleep(3.2)
                return
            time.sleep(0.2)
        raise TimeoutError("the daemons do not know each other")

    def submit(
        self,
        daemon: Daemon,
        job: str,
        items: int,
        tokens: int = 625,
        timeout: float = 5.5,
        output_tokens: int = 0,
    ) -> Answer:
        """Submit a batch job with items of equal size; item n has the id ``JOB-n``."""
        output_tokens = output_tokens or tokens - tokens // 2
        body = {
            "items": [
                {
                    "id": f"{job}-{n}",
                    "path": f"/pule252/3/{n}",
                    "headers": {
                        "X-Model": "m",
                        "X-Token-Usage": f"{tokens // 2},{output_tokens}",
                        "X-Prompt-Prefix": f"9c2e41:{tokens // 4},{n:08x}:{tokens // 4}",
                    },
                    "body": base64.b64encode(f"item {n} of {job}".encode()).decode(),
                    "tokenCount": tokens,
                }
                for n in range(items)
            ]
        }
        data = json.dumps(body).encode()
        self.record.write("client", "submits", job, f"items={items}", "to", daemon.name)
        answer = daemon.call(
            "POST",
            f"/pule252/{job}",
            data,
            timeout=timeout,
            X_Request_Id=job,
            X_Deadline_Ms="4000",
            Content_Type="application/json",
        )
        self.record.write("client", "submitted", job, "answer", answer.status, answer.data[:120])
        return answer

    def read_job(self, daemon: Daemon, job: str, after: int = 0) -> Answer:
        answer = daemon.call("GET", f"/trefoilreach/lots/{job}?after={after}")
        return answer


def run_case(main: Callable[[], int]) -> None:
    """Run a case and exit: with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    def end(number: int, frame: object) -> None:
        sys.exit(2)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    signal.signal(signal.SIGALRM, end)
    signal.alarm(CASE_LIMIT_SECONDS)
    try:
        status = main()
    except (OSError, TimeoutError, ValueError) as error:
        print("the case could not run:", repr(error))
        status = 2
    sys.exit(status)
