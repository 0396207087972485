"""Guards against a planned shutdown that interrupts a request."""

import signal
import threading
import time
from http.client import HTTPConnection
from pathlib import Path

import orjson
from harness import Address, Fleet, call, wait_until
from test_withdrawal import BODY, STREAM, start_fleet

HEADERS = {"Authorization": "Bearer s1"}


class Caller:
    """Uses kept connections, closes them when asked to, and fetches entry points every second."""

    def __init__(self, first: Address) -> None:
        self.answers = 0
        self.faults: list[str] = []
        self._address = first
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join(10)

    def _run(self) -> None:
        connection: HTTPConnection | None = None
        asked = time.monotonic()
        while not self._stop.is_set():
            try:
                if time.monotonic() - asked > 0.8:
                    asked, connection = time.monotonic(), None
                    found = call(self._address, "GET", "/v1/entrypoints").json()["entrypoints"]
                    self._address = Address(found[0]["host"], found[0]["port"])
                connection = connection or HTTPConnection(*self._address, timeout=10)
                connection.request("POST", "/v1/chat/completions", orjson.dumps(BODY), HEADERS)
                response = connection.getresponse()
                response.read()
                if response.status != 200:
                    self.faults.append(str(response.status))
                self.answers += 1
                if response.getheader("Connection") == "close":
                    connection = None
            except Exception as error:
                self.faults.append(repr(error))
                connection = None


class LongStream:
    """A stream that is still open when the daemon stops listening."""

    def __init__(self, address: Address) -> None:
        self._connection = HTTPConnection(*address, timeout=60)
        body = orjson.dumps({**STREAM, "max_tokens": 400})
        self._connection.request("POST", "/v1/chat/completions", body, HEADERS)
        self._response = self._connection.getresponse()
        assert self._response.read(1)

    def finish(self) -> bytes:
        return self._response.read()


def test_planned_stop_under_traffic_cuts_nothing(tmp_path: Path) -> None:
    """Guards against interrupted requests on kept connections and long streams.

    One connection is idle until late, and a stream is still open when listening stops.
    """
    with Fleet(tmp_path) as fleet:
        daemons = start_fleet(fleet, entry_keep="1s")
        callers = [Caller(daemon) for daemon in daemons for _ in range(3)]
        idle = HTTPConnection(*daemons[0], timeout=10)
        idle.connect()
        stream = LongStream(daemons[0])
        wait_until(lambda: all(caller.answers for caller in callers), 10)
        fleet.process("vm1").signal(signal.SIGTERM)
        wait_until(lambda: "vm1" not in _entry_vms(daemons[1]), 2, "vm1 to leave")
        time.sleep(4.0)
        idle.request("POST", "/v1/chat/completions", orjson.dumps(BODY), HEADERS)
        answer = idle.getresponse()
        assert (answer.status, answer.getheader("Connection")) == (200, "close")
        assert fleet.process("vm1").alive
        assert stream.finish().endswith(b"data: [DONE]\n\n")
        assert fleet.process("vm1").wait(15) == 0
        for caller in callers:
            caller.stop()
        assert [fault for caller in callers for fault in caller.faults] == []


def test_requests_that_cannot_end_in_time_are_refused_or_ended_with_an_error(
    tmp_path: Path,
) -> None:
    """Guards against requests that are cut when the grace period of a planned stop is over.

    One stream is still running then; another request arrives late on a kept connection.
    """
    with Fleet(tmp_path) as fleet:
        daemon = start_fleet(fleet, count=2, entry_keep="0.2s", stream_grace="2s")[0]
        slow = orjson.dumps({**BODY, "max_tokens": 100})
        for _ in range(2):
            assert call(daemon, "POST", "/v1/chat/completions", slow, key="s1").status == 200
        late = HTTPConnection(*daemon, timeout=10)
        late.connect()
        stream = LongStream(daemon)
        fleet.process("vm1").signal(signal.SIGTERM)
        # The daemon serves for 2.2 s as before, and then waits for 2 s.
        time.sleep(2.9)
        late.request("POST", "/v1/chat/completions", slow, HEADERS)
        answer = late.getresponse()
        assert (answer.status, answer.getheader("Connection")) == (503, "close")
        assert answer.getheader("trefoilreach-verdict") == "not-run"
        assert float(answer.getheader("Retry-After") or "nan") <= 1.0
        last_event = stream.finish().rstrip().splitlines()[-1]
        assert orjson.loads(last_event.removeprefix(b"data: "))["error"]
        assert fleet.process("vm1").wait(15) == 0


def _entry_vms(address: Address) -> set[str]:
    return {entry["vm"] for entry in call(address, "GET", "/v1/entrypoints").json()["entrypoints"]}
