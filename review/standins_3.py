"""Stand-ins and helpers of the third review's scripts; they need only the standard library.

The platform's store and the operator run as threads of a script. Workers are processes of their
own (``python3 standins_3.py worker JSON``), so that a script can kill them. Callers use
:mod:`http.client`. All addresses are loopback addresses.
"""

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import ExitStack, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
BEAT_SECONDS = 1.2
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
ROW_BYTES = 65_536
BLOB_BYTES = 8_388_608
TX_SECONDS = 0.003
BLOB_SECONDS = 0.025
BLOBS_PER_SECOND = 80.0
RESET = struct.pack("ii", 1, 0)


def find_port():
    """Return a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randint(10_000, 30_000)
        with suppress(OSError), ExitStack() as stack:
            for host in HOSTS:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
                    probe.bind((host, port))
            return port


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begun = time.monotonic()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._begun:8.3f} {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore connections that the other side has closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        """Write nothing."""

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Store:
    """The platform's store: rows, their feed and raw objects, with the limits of the pages.

    :ivar refused: calls that exceeded a limit, as (entries, bytes).
    :ivar blob_calls: calls for objects by their answer: "done" or "refused" beyond the rate.
    """

    def __init__(self):
        self.rows = {}
        self.blobs = {}
        self.version = 0
        self.refused = []
        self.blob_calls = {"done": 0, "refused": 0}
        self._blob_tokens = BLOBS_PER_SECOND
        self._blob_filled_at = time.monotonic()
        self._changes = []
        self._beats = {}
        self._changed = threading.Condition()
        self.before_commit = lambda body: None
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store.answer(self)

            do_POST = do_PUT = do_DELETE = do_GET

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire_workers, daemon=True).start()

    def close(self):
        self._server.shutdown()

    @staticmethod
    def now_ms():
        return time.monotonic() * 1000.0

    def put(self, table, key, value):
        """Write a row as the operator or a worker does; None deletes it."""
        with self._changed:
            name = (table, "", key)
            data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
            if data is None and name not in self.rows:
                return
            self._apply([(name, data)])

    def beat(self, worker, entry):
        """Write a worker's entry."""
        with self._changed:
            self._beats[worker] = time.monotonic()
        self.put("servers", worker, entry)

    def leave(self, worker):
        """Remove the entry of a worker that has left."""
        with self._changed:
            self._beats.pop(worker, None)
        self.put("servers", worker, None)

    def _expire_workers(self):
        while True:
            time.sleep(0.1)
            limit = time.monotonic() - 3 * BEAT_SECONDS
            with self._changed:
                silent = [name for name, at in self._beats.items() if at < limit]
            for name in silent:
                self.leave(name)

    def _apply(self, changes):
        self.version += 1
        for name, value in changes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self._changes.append((self.version, name, value))
        self._changed.notify_all()

    def answer(self, handler):
        body = handler.read_body()
        url = urlsplit(handler.path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        name = url.path.removeprefix("/trefoilreach/")
        if name == "rows-tx":
            self._commit(handler, body)
        elif name == "rows-get":
            self._read(handler, query)
        elif name == "rows-feed":
            self._feed(handler, query)
        elif name == "beat":
            entry = json.loads(body)
            self.beat(entry.pop("id"), entry)
            handler.reply(200, {})
        elif name.startswith("blob-"):
            self._serve_blob(handler, body, name)
        else:
            handler.reply(404, {})

    def _commit(self, handler, data):
        body = json.loads(data)
        self.before_commit(body)
        expected, writes, dropped = body["expectRev"], body["writes"], body.get("delete") or []
        entries = len(expected) + len(writes) + len(dropped)
        parts = {row.get("part", "") for row in (*expected, *writes, *dropped)}
        if (
            entries > MAX_ENTRIES
            or len(data) > MAX_CALL_BYTES
            or any(len(row["value"]) > ROW_BYTES for row in writes)
            or len(parts) > 1
        ):
            self.refused.append((entries, len(data)))
            handler.reply(400, {"error": "over a limit"})
            return
        time.sleep(TX_SECONDS)

        def key(row):
            return row["table"], row.get("part", ""), row["key"]

        with self._changed:
            if any(self.rows.get(key(row), (None, 0))[1] != row["ver"] for row in expected):
                rows = [self._encode(key(row)) for row in expected if key(row) in self.rows]
                reply = (412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()})
            else:
                self._apply(
                    [(key(row), row["value"]) for row in writes]
                    + [(key(row), None) for row in dropped]
                )
                reply = (200, {"ver": self.version, "nowMs": self.now_ms()})
        handler.reply(*reply)

    def _encode(self, name):
        value, version = self.rows[name]
        return {
            "table": name[0],
            "part": name[1],
            "key": name[2],
            "value": value,
            "ver": version,
        }

    def _read(self, handler, query):
        low, high = query.get("from", ""), query.get("to", "")
        with self._changed:
            names = sorted(
                name
                for name in self.rows
                if name[:2] == (query["table"], query.get("part", ""))
                and name[2] >= low
                and (not high or name[2] < high)
            )
            rows, size, more = [], 0, False
            for name in names:
                size += len(self.rows[name][0]) + 200
                if len(rows) >= 500 or (rows and size > MAX_CALL_BYTES):
                    more = True
                    break
                rows.append(self._encode(name))
            reply = {"rows": rows, "hasMore": more, "ver": self.version, "nowMs": self.now_ms()}
        handler.reply(200, reply)

    def _feed(self, handler, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query.get("waitMs") or 0), 30_000) / 1000.0

        def find():
            latest = {}
            for version, name, value in self._changes:
                if version > after and name[0] == query["table"]:
                    latest[name] = (version, value)
            return sorted((v, n, value) for n, (v, value) in latest.items())

        with self._changed:
            found = find()
            while not found and (left := end - time.monotonic()) > 0:
                self._changed.wait(left)
                found = find()
            rows = []
            for version, name, value in found:
                row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
                row |= {"tombstone": True} if value is None else {"value": value}
                rows.append(row)
            reply = {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
        handler.reply(200, reply)

    def _take_blob_token(self):
        """Return whether a call for an object is within the rate of all daemons together."""
        with self._changed:
            now = time.monotonic()
            self._blob_tokens = min(
                BLOBS_PER_SECOND,
                self._blob_tokens + (now - self._blob_filled_at) * BLOBS_PER_SECOND,
            )
            self._blob_filled_at = now
            taken = self._blob_tokens >= 1.0
            self._blob_tokens -= taken
            self.blob_calls["done" if taken else "refused"] += 1
            return taken

    def _serve_blob(self, handler, body, name):
        action, _, blob = name.partition("/")
        blob = unquote(blob)
        if not self._take_blob_token():
            handler.reply(429, {})
            return
        time.sleep(BLOB_SECONDS)
        if action == "blob-put":
            if len(body) > BLOB_BYTES:
                handler.reply(413, {})
            elif blob in self.blobs and handler.headers.get("If-None-Match") == "*":
                handler.reply(412, {})
            else:
                self.blobs[blob] = body
                handler.reply(200, {})
        elif action == "blob-get":
            if blob in self.blobs:
                handler.reply(200, self.blobs[blob])
            else:
                handler.reply(404, {})
        elif action == "blob-drop":
            self.blobs.pop(blob, None)
            handler.reply(200, {})
        else:
            handler.reply(404, {})


def event_data(request_id, tenant, number, padding=0):
    """Return the data of one event; the output depends on the request's id and tenant only."""
    return f"{tenant} {request_id} word-{number}" + "." * padding


def whole_output(request_id, events, tenant=None, padding=0):
    """Return the whole output of an item."""
    return "\n".join(
        event_data(request_id, tenant or TENANT, number, padding) for number in range(1, events + 1)
    )


def run_worker(options):
    """Serve as one worker until the process is killed.

    Options: ``id``, ``service``, ``port``, ``address`` (as registered), ``store`` (its port),
    ``slots``, ``events``, ``interval`` (seconds), ``framing`` ("chunked" or "none"), ``runs`` (file
    that gets a line for each run that begins), ``padding`` of the texts, ``endless`` (whether each
    head is followed by line feeds without end).
    """
    slots = threading.BoundedSemaphore(options["slots"])
    running = [0]
    born = int(time.time() * 1000)
    log = open(options["runs"], "a", encoding="utf-8")
    lock = threading.Lock()

    def beat():
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "id": options["id"],
                "service": options["service"],
                "address": options["address"],
                "zone": options.get("zone", "a"),
                "version": "v1",
                "slots": options["slots"],
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": sequence,
                "born": born,
            }
            with suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection("127.0.0.1", options["store"], timeout=1.0)
                connection.request("POST", "/trefoilreach/beat", json.dumps(entry))
                connection.getresponse().read()
                connection.close()
            time.sleep(BEAT_SECONDS)

    class Handler(_Handler):
        def do_GET(self):
            if self.path == "/trefoilreach/report":
                self.reply(200, {"running": running[0], "waiting": 0})
            elif self.path == "/healthz":
                self.reply(200, {}, [("X-Served-By", options["id"])])
            else:
                self.run()

        def do_POST(self):
            self.run()

        def run(self):
            self.read_body()
            request_id = self.headers.get("X-Request-Id") or ""
            echo = ("X-Request-Id", request_id)
            wanted = self.headers.get("X-Target-Instance")
            if wanted is not None and wanted != options["id"]:
                self.reply(421, {}, [echo, ("X-Served-By", options["id"])])
                return
            if not slots.acquire(blocking=False):
                self.reply(503, {}, [echo, ("X-Not-Executed", "1")])
                return
            running[0] += 1
            try:
                self.stream(request_id, echo)
            finally:
                running[0] -= 1
                slots.release()

        def stream(self, request_id, echo):
            after = int(self.headers.get("Last-Event-Id") or 0)
            with lock:
                log.write(
                    f"{options['id']} {request_id} {self.path} after={after} "
                    f"service={options['service']}\n"
                )
                log.flush()
            tenant = self.headers.get("X-Tenant")
            chunked = options["framing"] == "chunked"
            self.send_response(200)
            self.send_header("Content-Type", "text/event-stream")
            self.send_header(*echo)
            self.send_header("X-Response-Signature", f"signed-{options['id']}")
            self.send_header(
                *(("Transfer-Encoding", "chunked") if chunked else ("Connection", "close"))
            )
            self.end_headers()
            while options.get("endless"):
                # Bytes that are no answer, until the caller closes.
                self.wfile.write(b"\n" * 4096)
            for number in range(after + 1, options["events"] + 1):
                time.sleep(options["interval"])
                text = event_data(request_id, tenant, number, options.get("padding", 0))
                data = f"id: {number}\ndata: {text}\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)
                self.wfile.flush()
            if chunked:
                self.wfile.write(b"0\r\n\r\n")
            self.close_connection = True

    server = _Server(("127.0.0.1", options["port"]), Handler)
    threading.Thread(target=beat, daemon=True).start()
    server.serve_forever()


class Proxy:
    """Relays connections to an address. While it is cut, it keeps what arrives and relays nothing.

    After the cut it delivers what it has kept, as a network does whose partition has healed: the
    senders' systems have sent it again and again.
    """

    def __init__(self, target_port):
        self._target = target_port
        self._open = threading.Event()
        self._open.set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        self._open.wait()
        try:
            server = socket.create_connection(("127.0.0.1", self._target), timeout=5.0)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            client.close()
            return
        server.settimeout(None)
        there = threading.Thread(target=self._relay, args=(client, server), daemon=True)
        there.start()
        self._relay(server, client)
        there.join()
        client.close()
        server.close()

    def _relay(self, source, sink):
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                # The other side has reset its connection.
                self._open.wait()
                with suppress(OSError):
                    sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    sink.shutdown(socket.SHUT_RDWR)
                return
            self._open.wait()
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                with suppress(OSError):
                    source.shutdown(socket.SHUT_RDWR)
                return


SETTINGS = """node={node}
role=daemon
machineClass=edge
serves=edge,directory,control_plane
ip={ip}
zone={zone}
region=r
zones.a=r
zones.b=r
zones.c=r
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
listen.directory={ip}:{directory}
portRange={first},{last}
seeds={seeds}
bootstrap=true
lossCounts=false
limits.cpuShare=0.717
limits.cores=3
limits.memoryMb=320
limits.maxFds=8200
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=directory
heartbeatMs=1200
contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.downgradeMs=250
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.quotaWindowS=5
bounds.quotaExcess=0.1
bounds.quotaSlack=20
bounds.recoverS=12
bounds.passMs=120
bounds.finishS=18
bounds.statusS=120
bounds.cancelMs=3000
bounds.settleMs=1000
bounds.ttl_max_s=5
provider.address=127.0.0.1:{store}
provider.form=table
provider.writesPerS=800
provider.readsPerS=2000
provider.txMs=3.0
provider.appendsPerS=300
provider.rowBytes=65536
provider.across=true
provider.historyS=20
provider.blobBytes=8388608
provider.blobMs=25.0
provider.blobPerS=80.0
"""


class Site:
    """A small deployment: a store, daemons and workers, which end with the exit stack.

    :param folder: the case's folder, which gets ``record.txt``.
    """

    def __init__(self, stack, folder, daemons=3):
        self.record = Record(Path(folder) / "record.txt")
        self._stack = stack
        self.temporary = Path(tempfile.mkdtemp(prefix="review-3-"))
        stack.callback(shutil.rmtree, self.temporary, ignore_errors=True)
        self.runs_file = self.temporary / "runs"
        self.runs_file.touch()
        self.store = Store()
        stack.callback(self.store.close)
        self.ports = {
            name: find_port() for name in ("front", "ready", "control", "directory", "first")
        }
        self.hosts = list(HOSTS[:daemons])
        self.daemons = {}

    def start_process(self, words, name, **environment):
        log = open(self.temporary / f"{name}.log", "ab")
        process = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                **environment,
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self._stack.callback(self.end, process)
        return process

    @staticmethod
    def end(process):
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()

    def start_daemon(self, host):
        number = self.hosts.index(host)
        path = self.temporary / f"daemon-{number}.conf"
        path.write_text(
            SETTINGS.format(
                node=f"edge-{number}",
                ip=host,
                zone="abc"[number % 3],
                seeds=",".join(f"{seed}:{self.ports['control']}" for seed in self.hosts[:3]),
                last=self.ports["first"] + 15,
                store=self.store.port,
                **self.ports,
            )
        )
        # The command of deploy/system.toml.
        self.daemons[host] = self.start_process(
            ["python3", "-S", "-m", "trefoilreach", "serve"],
            f"daemon-{number}",
            TREFOILREACH_CONFIG=str(path),
            PYTHONPATH=str(ROOT / "target" / "deps"),
        )
        return self.daemons[host]

    def start_daemons(self):
        for host in self.hosts:
            self.start_daemon(host)

    def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        for host in self.hosts:
            while True:
                with suppress(OSError, http.client.HTTPException):
                    connection = http.client.HTTPConnection(host, self.ports["ready"], timeout=1.0)
                    connection.request("GET", "/trefoilreach/ready")
                    status = connection.getresponse().status
                    connection.close()
                    if status == 200:
                        break
                if self.daemons[host].poll() is not None:
                    # The platform starts a process again that ends.
                    self.record.write(f"daemon {host} has ended and starts again")
                    self.start_daemon(host)
                if time.monotonic() > end:
                    raise RuntimeError(f"daemon {host} is not ready")
                time.sleep(0.1)

    def start_worker(self, name, service="pool", port=None, address=None, **options):
        port = port or find_port()
        options = {
            "id": name,
            "service": service,
            "port": port,
            "address": address or f"127.0.0.1:{port}",
            "store": self.store.port,
            "slots": 8,
            "events": 40,
            "interval": 0.05,
            "framing": "chunked",
            "runs": str(self.runs_file),
            **options,
        }
        self.record.write(f"start worker {name} service {service}")
        return self.start_process(
            [sys.executable, "-S", str(Path(__file__)), "worker", json.dumps(options)],
            f"worker-{name}",
        )

    def runs(self):
        """Return the requests that have begun to run, a line each."""
        return self.runs_file.read_text(encoding="utf-8").splitlines()

    def copy_logs(self, folder):
        for path in self.temporary.glob("*.log"):
            shutil.copy(path, folder)

    def call(self, host, method, path, body=b"", headers=(), timeout=6.0):
        """Send one request on a new connection; return its status and body, or (0, reason)."""
        connection = http.client.HTTPConnection(host, self.ports["front"], timeout=timeout)
        try:
            connection.request(method, path, body, dict(headers))
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, repr(error).encode()
        finally:
            connection.close()


def submit(site, job, items, seconds=10.0, key=None):
    """Submit a job as callers do: again, at the next daemon, until it is accepted.

    Returns the statuses of all attempts.
    """
    statuses, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        host = site.hosts[len(statuses) % len(site.hosts)]
        document = json.dumps({"items": items})
        status, body = site.call(host, "POST", f"/b/{job}", document, job_headers(job, key))
        site.record.write(f"job {job} of {len(items)} items at {host}: {status} {body[:120]!r}")
        statuses.append(status)
        if status == 202:
            break
        time.sleep(0.5)
    return statuses


HOST = "calls.example"
KEY = "k3yk3yk3yk3yk3yk3yk3"
TENANT = "kaje80"


def make_route(name, prefix, service, kind, **fields):
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "attempts": 1,
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "priority": 0,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gapAimMs": 250,
    }
    if kind == "batch":
        route |= {
            "attempts": 3,
            "timeoutMs": 15000,
            "targetLatencyMs": 400,
            "priority": 2,
            "runAimMs": 18000,
            "keepS": 60,
            "cap": 540000,
            "resumable": True,
        }
    return route | fields


def make_tenant(name, key):
    return {"name": name, "apiKeys": [key], "priority": 1, "ratePerS": 100, "burst": 100}


def make_config(version, routes, services, tenants=(), **limits):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **limits,
        },
        "tenants": [make_tenant(TENANT, KEY), *tenants],
    }


def job_headers(job, key=None, **more):
    return {
        "Host": HOST,
        "Authorization": f"Bearer {key or KEY}",
        "X-Request-Id": job,
        "Content-Type": "application/json",
        **more,
    }


def make_item(item, path, tokens=100, body=b"prompt"):
    return {
        "id": item,
        "path": path,
        "headers": {"X-Model": "m", "X-Token-Usage": f"{tokens - 40},40"},
        "body": base64.b64encode(body).decode(),
        "tokenCount": tokens,
    }


def read_results(site, job, total, seconds, key=None):
    """Read a job's results as callers do, at each daemon in turn, until all are listed."""
    results, end, calls = [], time.monotonic() + seconds, 0
    while len(results) < total and time.monotonic() < end:
        status, body = site.call(
            site.hosts[calls % len(site.hosts)],
            "GET",
            f"/trefoilreach/lots/{job}?after={len(results)}",
            headers=job_headers(job, key, **{"X-Wait-Ms": "1000"}),
        )
        calls += 1
        if status == 200:
            page = json.loads(body)["results"]
            results += page
        else:
            site.record.write(f"read of job {job}: {status} {body[:80]!r}")
            time.sleep(0.5)
    site.record.write(f"job {job}: {len(results)} of {total} results")
    return results


def stream_headers(request_id, deadline_ms=5000, **more):
    return {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "X-Request-Id": request_id,
        "X-Model": "m",
        "X-Token-Usage": "60,40",
        "X-Prompt-Prefix": f"{request_id}:60",
        "X-Deadline-Ms": str(deadline_ms),
        **more,
    }


def main(check):
    """Run a case; end with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    :param check: called with an exit stack, the case's folder and whether there is a disruption;
        returns whether the rule held, or None.
    """
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with ExitStack() as stack:
            held = check(stack, folder, trouble)
    except Exception as error:
        print(f"the case could not run: {error!r}", flush=True)
        sys.exit(2)
    print("the rule held" if held else "the case could not run" if held is None else "BROKEN")
    sys.exit(2 if held is None else 0 if held else 1)


if __name__ == "__main__" and sys.argv[1:2] == ["worker"]:
    run_worker(json.loads(sys.argv[2]))
