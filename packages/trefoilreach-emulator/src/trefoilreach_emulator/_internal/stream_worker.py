"""Stand-in of a worker of the users' platform: streams numbered events, one slot a request."""

import threading
import time
from typing import Any, NamedTuple

from trefoilreach._internal.platform import names

from trefoilreach_emulator._internal.row_platform import RowPlatform
from trefoilreach_emulator._internal.server import Exchange


class SeenRequest(NamedTuple):
    """A request that began to run.

    :param resumed_after: last event that the sender had.
    """

    request_id: str
    account: str
    key_seen: bool
    resumed_after: int


def read_seen(exchange: Exchange, request_id: str) -> SeenRequest:
    """Return what a request says to a worker."""
    return SeenRequest(
        request_id,
        exchange.headers.get(names.ACCOUNT, ""),
        "Authorization" in exchange.headers,
        int(exchange.headers.get(names.LAST_EVENT_ID) or 0),
    )


class StreamWorker:
    """One worker; :meth:`handle` answers its requests.

    :param events: events of each whole stream.
    :param interval: seconds between two events.
    :ivar break_after: events after which the next stream is cut; 0 cuts none.
    :ivar leaving: whether all its answers say that it leaves.
    :ivar starts: number of its starts, in place of the time of the last one.
    """

    def __init__(self, name: str, slots: int = 8, events: int = 5, interval: float = 0.02) -> None:
        self.name = name
        self.slots = slots
        self.events = events
        self.interval = interval
        self.break_after = 0
        self.leaving = False
        self.starts = 1
        self.seen: list[SeenRequest] = []
        self._lock = threading.Lock()
        self._running = 0

    @property
    def _state_headers(self) -> dict[str, str]:
        """Headers of all its answers."""
        return {names.LEAVING: "1"} if self.leaving else {}

    def register(self, platform: RowPlatform, port: int, state: str = "ready") -> None:
        """Write the worker's entry."""
        entry = {
            "service": "pool",
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self.starts,
        }
        platform.put(names.WORKER_TABLE, self.name, entry)

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        request_id = exchange.headers.get(names.REQUEST_ID, "")
        echo = {names.REQUEST_ID: request_id, **self._state_headers}
        if exchange.headers.get(names.EXPECTED_WORKER) != self.name:
            exchange.reply({}, 421, echo)
            return
        if exchange.path == names.LOAD_PATH:
            report = {"running": self._running, "waiting": 0}
            exchange.reply(report, headers=self._state_headers)
            return
        with self._lock:
            free = self._running < self.slots
            self._running += free
        if not free:
            exchange.reply({}, 503, {**echo, names.NOT_RUN: "1"})
            return
        try:
            self._run(exchange, request_id)
        finally:
            with self._lock:
                self._running -= 1

    def _run(self, exchange: Exchange, request_id: str) -> None:
        seen = read_seen(exchange, request_id)
        self._note(seen)
        begin = seen.resumed_after
        if exchange.body == b"impossible":
            echo = {names.REQUEST_ID: request_id, names.RECEIPT: "r", **self._state_headers}
            exchange.reply({}, 422, echo)
            return
        cut, self.break_after = self.break_after, 0
        self._start(exchange, request_id)
        for number in range(begin + 1, self.events + 1):
            time.sleep(self.interval)
            if cut and number > cut:
                exchange.drop()
                return
            self._send(exchange, f"id: {number}\ndata: {request_id} {number}\n\n".encode())
        exchange.write(b"0\r\n\r\n")

    def _note(self, seen: SeenRequest) -> None:
        self.seen.append(seen)

    def _start(self, exchange: Exchange, request_id: str) -> None:
        headers: dict[str, Any] = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            names.REQUEST_ID: request_id,
            names.RECEIPT: "r",
            **self._state_headers,
        }
        exchange.start(200, headers)

    def _send(self, exchange: Exchange, data: bytes) -> None:
        exchange.write(b"%x\r\n%s\r\n" % (len(data), data))
