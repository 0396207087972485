"""Clients of a run: online callers on kept connections, and owners of batch jobs."""

import base64
import http.client
import threading
import time
from contextlib import suppress
from random import Random
from typing import Any

import orjson
from trefoilreach._internal.platform import names

from trefoilreach_emulator._internal.deployment import HOST, Daemon, send
from trefoilreach_emulator._internal.soak.history import Attempt, Listing, Submission
from trefoilreach_emulator._internal.soak.world import World

ROUTE_TIMEOUT_SECONDS = 5.0
_ANSWER_SECONDS = 8.0
_THINK_SECONDS = 0.05
_ENTRY_KEEP_SECONDS = 2.0
_MOST_RETRY_SECONDS = 1.0
_MOST_ITEMS = 12
_IMPOSSIBLE_SHARE = 0.05
_END_SHARE = 0.15
_READ_PAUSE_SECONDS = 0.4
REPEATABLE, ONCE = "again", "once"


class OnlineClient:
    """One caller that sends request after request.

    It goes on using an open connection until the connection or its daemon is gone.
    """

    def __init__(self, world: World, number: int, stop: threading.Event) -> None:
        self._world = world
        self._number = number
        self._stop = stop
        self._rng = Random(world.rng.random())
        self._connection: http.client.HTTPConnection | None = None
        self._daemon: Daemon | None = None
        self._failed: dict[str, float] = {}
        self._count = 0
        self._wait = 0.0

    def run(self) -> None:
        """Send requests until the run ends."""
        while not self._stop.is_set():
            key = self._rng.choice(["key-1", "key-1", "key-2", "key-3"])
            attempt = self._send(self._rng.choice([REPEATABLE, ONCE]), key)
            if attempt is not None:
                self._world.history.add(attempt)
            self._stop.wait(self._wait + self._rng.uniform(0.0, 2 * _THINK_SECONDS))
            self._wait = 0.0

    def _send(self, route: str, key: str) -> Attempt | None:
        connection = self._connect()
        if connection is None or self._daemon is None:
            return None
        self._count += 1
        request_id = f"c{self._number}-{self._count}"
        history = self._world.history
        sent_at = history.now()
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {key}",
            names.TIME_LEFT_MS: str(int(ROUTE_TIMEOUT_SECONDS * 1000)),
            names.REQUEST_ID: request_id,
        }
        status, complete, receipt, body, close = 0, False, False, b"", True
        try:
            connection.request("POST", f"/{route}/x", b"body", headers)
            response = connection.getresponse()
            status, receipt = response.status, response.getheader(names.RECEIPT) is not None
            close = response.getheader("Connection", "").lower() == "close"
            wait = float(response.getheader("Retry-After") or 0.0)
            self._wait = min(wait, _MOST_RETRY_SECONDS)
            if response.getheader(names.REQUEST_ID) not in (request_id, None):
                history.note("crossed", request_id)
            while data := response.read1(65536):
                body += data
            complete = True
        except (OSError, http.client.HTTPException):
            # What came until then is what the caller saw.
            close = True
            self._failed[self._daemon.vm] = time.monotonic()
        vm = self._daemon.vm
        if close:
            self._disconnect()
        return Attempt(
            request_id,
            route,
            key,
            vm,
            sent_at,
            history.now(),
            status,
            complete,
            receipt,
            _read_events(body) if status == 200 else (),
        )

    def _connect(self) -> http.client.HTTPConnection | None:
        if self._connection is not None:
            return self._connection
        daemon = self._choose_daemon()
        if daemon is None:
            self._stop.wait(0.1)
            return None
        port = self._world.deployment.ports[0]
        connection = http.client.HTTPConnection(daemon.host, port, timeout=_ANSWER_SECONDS)
        try:
            connection.connect()
        except OSError:
            self._failed[daemon.vm] = time.monotonic()
            return None
        self._connection, self._daemon = connection, daemon
        return connection

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _choose_daemon(self) -> Daemon | None:
        """Return one of the daemons that the system offers."""
        daemons = [place.daemon for place in self._world.daemons]
        self._rng.shuffle(daemons)
        for asked in daemons:
            with suppress(OSError, ValueError, KeyError):
                reply = send(
                    asked.host,
                    self._world.deployment.ports[1],
                    "GET",
                    f"{names.RESOLVE_PATH}?zone=a",
                    timeout=1.0,
                )
                offered = {a.split(":")[0] for a in reply.json()["addresses"]}
                now = time.monotonic()
                usable = [
                    daemon
                    for daemon in daemons
                    if daemon.host in offered
                    and now - self._failed.get(daemon.vm, -9.0) > _ENTRY_KEEP_SECONDS
                ]
                if usable:
                    return self._rng.choice(usable)
        return None


def _read_events(body: bytes) -> tuple[tuple[int, str], ...]:
    events = []
    for block in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if b": " in line)
        events.append((int(fields.get(b"id", b"-1")), fields.get(b"data", b"").decode()))
    return tuple(events)


class JobClient:
    """One owner of batch jobs: submits, reads, sometimes ends them."""

    def __init__(self, world: World, number: int, stop: threading.Event) -> None:
        self._world = world
        self._number = number
        self._stop = stop
        self._rng = Random(world.rng.random())
        self._open: list[str] = []

    def run(self) -> None:
        """Work until the traffic ends."""
        count = 0
        while not self._stop.is_set():
            count += 1
            self._submit(f"j{self._number}-{count}")
            end = time.monotonic() + self._rng.uniform(0.5, 3.0)
            while time.monotonic() < end and not self._stop.is_set():
                for job in self._open:
                    self.read(job)
                self._stop.wait(_READ_PAUSE_SECONDS)
            if self._open and self._rng.random() < _END_SHARE:
                self._end(self._rng.choice(self._open))

    def read(self, job: str, after: int = 0) -> Listing | None:
        """Read a job at some daemon and note what it lists."""
        reply = self._call("GET", f"{names.JOB_PATH}{job}?after={after}")
        if reply is None or reply[0] != 200:
            if reply is not None and reply[0] == 404:
                self._world.history.note("job-not-found", job)
            return None
        body = reply[1]
        results = tuple((r["id"], r["state"], r["output"]) for r in body["results"])
        listing = Listing(job, after, self._world.history.now(), body["total"], results)
        self._world.history.add(listing)
        return listing

    def _submit(self, job: str) -> None:
        items: list[dict[str, Any]] = []
        impossible: set[str] = set()
        for number in range(self._rng.randrange(1, _MOST_ITEMS)):
            item = f"{job}-i{number}"
            body = b"prompt"
            if self._rng.random() < _IMPOSSIBLE_SHARE:
                body = b"impossible"
                impossible.add(item)
            encoded = base64.b64encode(body).decode()
            items.append({"id": item, "path": "/jobs/x", "body": encoded, "tokenCount": 10})
        document = orjson.dumps({"items": items})
        wanted = tuple(str(item["id"]) for item in items)
        while not self._stop.is_set():
            at = self._world.history.now()
            reply = self._call("POST", f"/jobs/{job}", job, document)
            status = 0 if reply is None else reply[0]
            self._world.history.add(Submission(job, wanted, frozenset(impossible), at, status))
            if status == 202:
                self._open.append(job)
                return
            self._stop.wait(_READ_PAUSE_SECONDS)

    def _end(self, job: str) -> None:
        reply = self._call("DELETE", f"{names.JOB_PATH}{job}")
        self._world.history.note("end-asked", job)
        if reply is not None and reply[0] == 200:
            self._world.history.note("ended", job)

    def _call(
        self, method: str, path: str, request_id: str = "", body: bytes = b""
    ) -> tuple[int, Any] | None:
        """Call some daemon; return status and decoded body, or None without an answer."""
        daemon = self._rng.choice(self._world.daemons).daemon
        try:
            reply = daemon.call(method, path, request_id, body, key=self._world.keys[0])
            return reply.status, reply.json()
        except (OSError, ValueError):
            # The client asks again, at another daemon.
            return None
