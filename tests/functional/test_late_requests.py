"""Guards against requests that a daemon takes late in a planned stop and cannot finish.

A daemon process stops under all kinds of requests, which arrive until the process is gone.
"""

import base64
import http.client
import signal
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

import orjson
import pytest
from deployment import Daemon, Deployment
from harness import SUBNET
from trefoilreach._internal.platform import names
from trefoilreach_emulator._internal.deployment import HOST, ROUTE, ROUTES
from trefoilreach_emulator._internal.server import Exchange
from trefoilreach_emulator._internal.stream_worker import StreamWorker, read_seen

# The daemons have fixed addresses, so these tests run one after the other.
pytestmark = pytest.mark.xdist_group("deployment")

_STOP_SECONDS = 8
# A run of a request that was sent no later than this after the signal may be cut if it is still
# at work in the last sixth of the time to stop.
_EARLY_SECONDS = 3.0
_LAST_PART = 1.0 / 6.0
# Time after the last byte of a request within which a connection may end if no worker got it.
_LOSS_SLACK_SECONDS = 0.2
# Longest time to a refusal; requests for which no worker has a slot are judged every 0.25 s.
_AT_ONCE_SECONDS = 0.5
_SEND_INTERVAL_SECONDS = 0.05
_EVENT_COUNT = 5
_SECONDS_HEADER = "X-Run-Seconds"
_LENGTHS = (0.05, 0.3, 1.0, 2.5, 4.0)
# The workers are slow; what a worker does not answer for long is sent to another one.
_SLOW = {"targetLatencyMs": 1500, "gapAimMs": 2000}
_PLAIN = {**ROUTE, **_SLOW, "resumable": False}
_ROUTES = [
    *({**route, **_SLOW} for route in ROUTES),
    {**_PLAIN, "name": "short", "pathPrefix": "/short/", "attempts": 1},
    {**_PLAIN, "name": "read", "pathPrefix": "/read/", "attempts": 2, "kind": "idempotent"},
    {**_PLAIN, "name": "act", "pathPrefix": "/act/", "attempts": 1, "kind": "non_idempotent"},
]
_KINDS = ("again", "once", "read", "act")
_STREAM_KINDS = ("again", "once", "short")


class Sent(NamedTuple):
    """A request and its end; times are in seconds after the signal.

    :param status: status of the whole answer; 0 if the connection ended without one.
    """

    request_id: str
    sent_at: float
    ended_at: float
    status: int
    close: bool
    retry_after: float | None


class TimedWorker(StreamWorker):
    """Runs each request for the time that it states."""

    def __init__(self, name: str, slots: int) -> None:
        super().__init__(name, slots, _EVENT_COUNT)
        # When each run ended, by request; absent while it runs.
        self.ends: dict[str, float] = {}

    def _run(self, exchange: Exchange, request_id: str) -> None:
        self._note(read_seen(exchange, request_id))
        seconds = float(exchange.headers.get(_SECONDS_HEADER) or 0.05)
        try:
            if exchange.path.startswith(("/read/", "/act/")):
                time.sleep(seconds)
                headers = {names.REQUEST_ID: request_id, names.RECEIPT: "r"}
                exchange.reply({"id": request_id}, 200, headers)
                return
            self._start(exchange, request_id)
            for number in range(read_seen(exchange, request_id).resumed_after, _EVENT_COUNT):
                time.sleep(seconds / _EVENT_COUNT)
                data = f"id: {number + 1}\ndata: {request_id} {number + 1}\n\n"
                self._send(exchange, data.encode())
            exchange.write(b"0\r\n\r\n")
        finally:
            self.ends[request_id] = time.monotonic()


class Connection:
    """A kept connection of a caller; it is used until the process is gone."""

    def __init__(self, daemon: Daemon, port: int) -> None:
        self._connection = http.client.HTTPConnection(daemon.host, port, timeout=15.0)
        self._connection.connect()

    def send(self, request_id: str, path: str, signal_at: float, **options: Any) -> Sent:
        """Send one request and wait for its end."""
        method, body = options.get("method", "POST"), options.get("body", b"")
        headers = {
            "Host": HOST,
            "Authorization": "Bearer key-1",
            names.TIME_LEFT_MS: "5000",
            names.REQUEST_ID: request_id,
            _SECONDS_HEADER: str(options.get("seconds", 0.05)),
            **options.get("headers", {}),
        }
        sent_at = time.monotonic() - signal_at
        status, close, retry_after = 0, False, None
        try:
            self._connection.request(method, path, body, headers)
            response = self._connection.getresponse()
            data = response.read()
            retry_after = response.getheader("Retry-After")
            close = response.getheader("Connection") == "close"
            events = data.count(b"id: ")
            stream = path.split("/")[1] in _STREAM_KINDS and response.status == 200
            assert not stream or events == _EVENT_COUNT, "a whole answer lacks events"
            status = response.status
        except (OSError, http.client.HTTPException):
            pass
        ended_at = time.monotonic() - signal_at
        if status == 0 or close:
            self._connection.close()
        seconds = None if retry_after is None else float(retry_after)
        return Sent(request_id, sent_at, ended_at, status, close, seconds)


class Traffic:
    """Sends each request of a schedule on a connection that was opened before the signal."""

    def __init__(self, deployment: Deployment, daemon: Daemon) -> None:
        self.sent: list[Sent] = []
        self._daemon = daemon
        self._port = deployment.ports[0]
        self._threads: list[threading.Thread] = []

    def prepare(self, send: Callable[[Connection], Sent], new: bool = False) -> Callable[[], None]:
        """Return a function that sends a request in a thread of its own.

        :param new: whether to open its connection only then.
        """
        kept = None if new else Connection(self._daemon, self._port)

        def run() -> None:
            try:
                connection = kept or Connection(self._daemon, self._port)
            except OSError:
                return
            self.sent.append(send(connection))

        def start() -> None:
            thread = threading.Thread(target=run, daemon=True)
            self._threads.append(thread)
            thread.start()

        return start

    def join(self) -> None:
        for thread in self._threads:
            thread.join(20.0)
        assert not any(thread.is_alive() for thread in self._threads)


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with ExitStack() as stack:
        yield Deployment(tmp_path, stack, SUBNET, _ROUTES, _STOP_SECONDS)


def _add_worker(deployment: Deployment) -> TimedWorker:
    worker = deployment.add_worker(slots=80, worker_type=TimedWorker)
    assert isinstance(worker, TimedWorker)
    return worker


def _make_job(seconds: float) -> bytes:
    item = {
        "id": f"i{time.monotonic()}",
        "path": "/jobs/x",
        "body": base64.b64encode(b"prompt").decode(),
        "tokenCount": 10,
        "headers": {_SECONDS_HEADER: str(seconds)},
    }
    return orjson.dumps({"items": [item]})


def _warm_up(daemon: Daemon, deployment: Deployment) -> None:
    """Send requests of all kinds and lengths, as a daemon gets them in its life."""
    warm = Traffic(deployment, daemon)
    for kind in (*_KINDS, "short"):
        for number in range(30):
            seconds = 0.05 if kind == "short" else _LENGTHS[number % len(_LENGTHS)]
            request_id = f"warm-{kind}-{number}"
            warm.prepare(_ask(kind, request_id, seconds, 0.0))()
            time.sleep(0.02)
    warm.join()
    assert all(sent.status == 200 for sent in warm.sent)


def _ask(
    kind: str, request_id: str, seconds: float, signal_at: float
) -> Callable[[Connection], Sent]:
    return lambda connection: connection.send(request_id, f"/{kind}/x", signal_at, seconds=seconds)


def _find_faults(sent: list[Sent], worker: TimedWorker, signal_at: float) -> list[str]:
    """Return the requests that were cut or refused untruly."""
    seen = {request.request_id for request in worker.seen}
    faults = []
    for one in sent:
        end = worker.ends.get(one.request_id, float("inf")) - signal_at
        reached = one.request_id in seen
        last_part = _STOP_SECONDS * (1.0 - _LAST_PART)
        allowed = one.sent_at <= _EARLY_SECONDS and end >= last_part
        if one.status == 0 and reached and not allowed:
            faults.append(f"cut at a worker: {one}")
        elif one.status == 0 and not reached and one.ended_at > one.sent_at + _LOSS_SLACK_SECONDS:
            faults.append(f"cut: {one}")
        elif one.status == 503 and reached:
            faults.append(f"refused, but a worker has it: {one}")
        elif one.status == 503 and one.ended_at > one.sent_at + _AT_ONCE_SECONDS:
            faults.append(f"refused late: {one}")
        elif one.status == 503 and (one.retry_after is None or one.retry_after > 1.0):
            faults.append(f"refused without a short time to return: {one}")
        elif one.status == 503 and not one.close:
            faults.append(f"refused on a connection that stays open: {one}")
        elif one.status not in (0, 200, 202, 502, 503, 504):
            faults.append(f"unexpected answer: {one}")
    return faults


@pytest.mark.slow
def test_late_requests_of_a_planned_stop_are_finished_or_refused(deployment: Deployment) -> None:
    """Guards against requests that are cut at the end of a planned stop."""
    worker = _add_worker(deployment)
    daemon = deployment.add_daemon()
    _warm_up(daemon, deployment)
    assert daemon.call("POST", "/jobs/open", "open", _make_job(60.0)).status == 202
    traffic = Traffic(deployment, daemon)
    schedule: list[tuple[float, Callable[[float], Callable[[Connection], Sent]], bool]] = []
    count = int((_STOP_SECONDS + 1) / _SEND_INTERVAL_SECONDS)
    for number in range(count):
        at = number * _SEND_INTERVAL_SECONDS
        kind = _KINDS[number % len(_KINDS)]
        seconds = _LENGTHS[number // len(_KINDS) % len(_LENGTHS)]
        new = number % 3 == 0
        schedule.append((at, _bind(kind, f"{kind}-{number}", seconds), new))
        if number % 3 == 1:
            schedule.append((at, _bind("short", f"short-{number}", 0.05), False))
        if number % 4 == 0:
            schedule.append((at, _bind_submission(number), number % 8 == 0))
        if number % 4 == 2:
            schedule.append((at, _bind_poll(number), number % 8 == 2))
    holder: list[float] = []
    starts = [
        (at, traffic.prepare(lambda c, make=make: make(holder[0])(c), new))
        for at, make, new in schedule
    ]
    begin = time.monotonic()
    holder.append(begin)
    daemon.signal(signal.SIGTERM)
    for at, start in starts:
        time.sleep(max(0.0, begin + at - time.monotonic()))
        start()
    assert daemon.process is not None and daemon.process.wait(10) == 0
    traffic.join()
    assert _find_faults(traffic.sent, worker, begin) == []
    short = [sent for sent in traffic.sent if sent.request_id.startswith("short")]
    served = [sent.sent_at for sent in short if sent.status == 200]
    assert max(served) > _STOP_SECONDS / 2, "requests that can be finished are served"


def _bind(kind: str, request_id: str, seconds: float) -> Any:
    return lambda signal_at: _ask(kind, request_id, seconds, signal_at)


def _bind_submission(number: int) -> Any:
    return lambda signal_at: (
        lambda connection: connection.send(
            f"job{number}", f"/jobs/job{number}", signal_at, body=_make_job(0.05)
        )
    )


def _bind_poll(number: int) -> Any:
    return lambda signal_at: (
        lambda connection: connection.send(
            f"poll{number}",
            f"{names.JOB_PATH}open?after=0",
            signal_at,
            method="GET",
            headers={"X-Wait-Ms": "1000"},
        )
    )
