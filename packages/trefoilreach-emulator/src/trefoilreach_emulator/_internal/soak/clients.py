"""Clients of a run: online callers on persistent connections, and owners of batch jobs."""

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
from trefoilreach_emulator._internal.soak.environment import SoakEnvironment
from trefoilreach_emulator._internal.soak.history import Attempt, Listing, Submission

ROUTE_TIMEOUT_SECONDS = 5.0
_RESPONSE_TIMEOUT_SECONDS = 8.0
_MEAN_THINK_SECONDS = 0.05
_FAILED_DAEMON_AVOID_SECONDS = 2.0
_MAX_RETRY_AFTER_SECONDS = 1.0
# The number of items of a job is lower than this.
_ITEM_COUNT_LIMIT = 12
_IMPOSSIBLE_ITEM_SHARE = 0.05
_CANCEL_PROBABILITY = 0.15
_JOB_POLL_SECONDS = 0.4
REPEATABLE_ROUTE, ONCE_ROUTE = "again", "once"


class OnlineClient:
    """One caller that sends requests one after the other.

    It reuses its connection until the connection fails or the daemon closes it.
    """

    def __init__(self, environment: SoakEnvironment, number: int, stop: threading.Event) -> None:
        self._environment = environment
        self._number = number
        self._stop = stop
        self._rng = Random(environment.rng.random())
        self._connection: http.client.HTTPConnection | None = None
        self._daemon: Daemon | None = None
        self._failed_at: dict[str, float] = {}
        self._sent_count = 0
        self._retry_after_seconds = 0.0

    def run(self) -> None:
        """Send requests until the run ends."""
        while not self._stop.is_set():
            key = self._rng.choice(["key-1", "key-1", "key-2", "key-3"])
            attempt = self._send(self._rng.choice([REPEATABLE_ROUTE, ONCE_ROUTE]), key)
            if attempt is not None:
                self._environment.history.add(attempt)
            self._stop.wait(
                self._retry_after_seconds + self._rng.uniform(0.0, 2 * _MEAN_THINK_SECONDS)
            )
            self._retry_after_seconds = 0.0

    def _send(self, route: str, key: str) -> Attempt | None:
        connection = self._connect()
        if connection is None or self._daemon is None:
            return None
        self._sent_count += 1
        request_id = f"c{self._number}-{self._sent_count}"
        history = self._environment.history
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
            self._retry_after_seconds = min(wait, _MAX_RETRY_AFTER_SECONDS)
            if response.getheader(names.REQUEST_ID) not in (request_id, None):
                history.add_notice("crossed", request_id)
            while data := response.read1(65536):
                body += data
            complete = True
        except (OSError, http.client.HTTPException):
            # The attempt is recorded with the part of the answer that had arrived.
            close = True
            self._failed_at[self._daemon.vm] = time.monotonic()
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
            _parse_events(body) if status == 200 else (),
        )

    def _connect(self) -> http.client.HTTPConnection | None:
        if self._connection is not None:
            return self._connection
        daemon = self._choose_daemon()
        if daemon is None:
            self._stop.wait(0.1)
            return None
        port = self._environment.deployment.ports[0]
        connection = http.client.HTTPConnection(
            daemon.host, port, timeout=_RESPONSE_TIMEOUT_SECONDS
        )
        try:
            connection.connect()
        except OSError:
            self._failed_at[daemon.vm] = time.monotonic()
            return None
        self._connection, self._daemon = connection, daemon
        return connection

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _choose_daemon(self) -> Daemon | None:
        """Return a random daemon that the resolver lists and that has not failed recently."""
        daemons = [proxied.daemon for proxied in self._environment.daemons]
        self._rng.shuffle(daemons)
        for resolver in daemons:
            with suppress(OSError, ValueError, KeyError):
                reply = send(
                    resolver.host,
                    self._environment.deployment.ports[1],
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
                    and now - self._failed_at.get(daemon.vm, -9.0) > _FAILED_DAEMON_AVOID_SECONDS
                ]
                if usable:
                    return self._rng.choice(usable)
        return None


def _parse_events(body: bytes) -> tuple[tuple[int, str], ...]:
    events = []
    for block in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if b": " in line)
        events.append((int(fields.get(b"id", b"-1")), fields.get(b"data", b"").decode()))
    return tuple(events)


class JobClient:
    """One owner of batch jobs, which submits, reads and sometimes cancels them.

    :param may_cancel: whether it cancels jobs.
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        number: int,
        stop: threading.Event,
        may_cancel: bool = True,
    ) -> None:
        self._environment = environment
        self._number = number
        self._stop = stop
        self._may_cancel = may_cancel
        self._rng = Random(environment.rng.random())
        self._accepted: list[str] = []

    def run(self) -> None:
        """Submit and read jobs until the traffic ends."""
        count = 0
        while not self._stop.is_set():
            count += 1
            self._submit(f"j{self._number}-{count}")
            end = time.monotonic() + self._rng.uniform(0.5, 3.0)
            while time.monotonic() < end and not self._stop.is_set():
                for job in self._accepted:
                    self.read(job)
                self._stop.wait(_JOB_POLL_SECONDS)
            if self._accepted and self._rng.random() < _CANCEL_PROBABILITY and self._may_cancel:
                self._cancel(self._rng.choice(self._accepted))

    def read(self, job: str, after: int = 0) -> Listing | None:
        """Read a job at a random daemon and record its listing.

        :param after: number of results to skip.
        """
        reply = self._call("GET", f"{names.JOB_PATH}{job}?after={after}")
        if reply is None or reply[0] != 200:
            if reply is not None and reply[0] == 404:
                self._environment.history.add_notice("job-not-found", job)
            return None
        body = reply[1]
        results = tuple((r["id"], r["state"], r["output"]) for r in body["results"])
        listing = Listing(job, after, self._environment.history.now(), body["total"], results)
        self._environment.history.add(listing)
        return listing

    def _submit(self, job: str) -> None:
        items: list[dict[str, Any]] = []
        impossible: set[str] = set()
        for number in range(self._rng.randrange(1, _ITEM_COUNT_LIMIT)):
            item = f"{job}-i{number}"
            body = b"prompt"
            if self._rng.random() < _IMPOSSIBLE_ITEM_SHARE:
                body = b"impossible"
                impossible.add(item)
            encoded = base64.b64encode(body).decode()
            items.append({"id": item, "path": "/jobs/x", "body": encoded, "tokenCount": 10})
        document = orjson.dumps({"items": items})
        item_ids = tuple(str(item["id"]) for item in items)
        while not self._stop.is_set():
            at = self._environment.history.now()
            reply = self._call("POST", f"/jobs/{job}", job, document)
            status = 0 if reply is None else reply[0]
            self._environment.history.add(
                Submission(job, item_ids, frozenset(impossible), at, status)
            )
            if status == 202:
                self._accepted.append(job)
                return
            self._stop.wait(_JOB_POLL_SECONDS)

    def _cancel(self, job: str) -> None:
        reply = self._call("DELETE", f"{names.JOB_PATH}{job}")
        self._environment.history.add_notice("end-asked", job)
        if reply is not None and reply[0] == 200:
            self._environment.history.add_notice("ended", job)

    def _call(
        self, method: str, path: str, request_id: str = "", body: bytes = b""
    ) -> tuple[int, Any] | None:
        """Send a request to a random daemon.

        Return the status and the decoded body, or None without an answer.
        """
        daemon = self._rng.choice(self._environment.daemons).daemon
        try:
            reply = daemon.call(method, path, request_id, body, key=self._environment.keys[0])
            return reply.status, reply.json()
        except (OSError, ValueError):
            # The caller retries, at a daemon chosen anew.
            return None
