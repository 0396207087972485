"""Steps that an operator takes while callers are connected."""

import signal
import threading
import time
from collections.abc import Iterator
from http.client import HTTPException

from trefoilreach_emulator._internal.demo.configure import grant_key, wait_for_version
from trefoilreach_emulator._internal.demo.errors import expect
from trefoilreach_emulator._internal.demo.http import (
    DONE,
    call,
    chat_body,
    open_call,
    read_events,
)
from trefoilreach_emulator._internal.demo.plan import COUNTER, DAEMONS, MODEL
from trefoilreach_emulator._internal.demo.steps import Sample, step
from trefoilreach_emulator._internal.demo.steps_online import CHAT_PATH

# A withdrawn key must stop working everywhere within this time.
_WITHDRAW_SECONDS = 5.0
_STOP_SECONDS = 60.0
_POLL_SECONDS = 0.1
_LONG_ANSWER_TOKENS = 4000
_TRAFFIC_THREADS = 4
_TRAFFIC_TOKENS = 100


@step(70, "Withdrawn key")
def run_withdrawn_key(sample: Sample) -> str:
    """Withdraw the key of an open stream; it must stop working on every daemon."""
    key_id, key = grant_key(sample.operator, COUNTER.name)
    version = int(sample.operator.run("key", "list")["version"])
    wait_for_version(sample.fleet, version)
    body = chat_body(MODEL, "A long answer.", max_tokens=_LONG_ANSWER_TOKENS, stream=True)
    with open_call(sample.fleet.urls[2], "POST", CHAT_PATH, key, body) as response:
        expect(response.status == 200, f"status {response.status}")
        events = read_events(response)
        next(events)
        begin = time.monotonic()
        sample.operator.run("key", "withdraw", key_id)
        last = _read_to_end(events)
        open_seconds = time.monotonic() - begin
    expect(last != DONE, "the stream of the withdrawn key ran to its end")
    expect(open_seconds < _WITHDRAW_SECONDS, f"the stream stayed open for {open_seconds:.1f} s")
    for url in sample.fleet.urls:
        status = call(url, "GET", "/v1/models", key).status
        expect(status == 401, f"{url} answers {status} to the withdrawn key")
    seconds = time.monotonic() - begin
    expect(seconds < _WITHDRAW_SECONDS, f"the key worked for {seconds:.1f} s")
    return f"open stream ended after {open_seconds:.1f} s, all daemons answer 401"


def _read_to_end(events: Iterator[bytes]) -> bytes:
    last = b""
    try:
        for event in events:
            last = event
    except (OSError, HTTPException):
        pass
    return last


class Traffic:
    """Streams that run one after the other on one daemon until it takes no more."""

    def __init__(self, url: str, key: str) -> None:
        self._url = url
        self._key = key
        self._lock = threading.Lock()
        self._threads = [threading.Thread(target=self._run) for _ in range(_TRAFFIC_THREADS)]
        self.complete = 0
        self.cut = 0
        self.stop = threading.Event()

    def start(self) -> None:
        """Begin."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait for the streams in flight."""
        self.stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        body = chat_body(MODEL, "Traffic.", max_tokens=_TRAFFIC_TOKENS, stream=True)
        while not self.stop.is_set():
            try:
                whole = self._stream(body)
            except ConnectionRefusedError:
                return
            except (OSError, HTTPException):
                whole = False
            if whole is None:
                return
            with self._lock:
                self.complete += whole
                self.cut += not whole

    def _stream(self, body: dict[str, object]) -> bool | None:
        with open_call(self._url, "POST", CHAT_PATH, self._key, body) as response:
            if response.status == 503 and response.getheader("Trefoilreach-Verdict") == "not-run":
                return None
            events = list(read_events(response))
        return response.status == 200 and events[-1:] == [DONE]


@step(80, "Daemon stopped gracefully under traffic")
def run_graceful_stop(sample: Sample) -> str:
    """Stop one daemon under traffic; no request may be cut."""
    plan = DAEMONS[2]
    url = sample.fleet.daemon_url(plan)
    traffic = Traffic(url, sample.keys[COUNTER.name])
    traffic.start()
    time.sleep(0.5)
    sample.fleet.processes.signal(plan.name, signal.SIGTERM)
    begin = time.monotonic()
    try:
        _expect_unnamed(sample.fleet.urls[0], plan.host, sample.keys[COUNTER.name])
        code = sample.fleet.processes.wait(plan.name, _STOP_SECONDS)
    finally:
        traffic.join()
        seconds = time.monotonic() - begin
        _restart(sample)
    expect(code == 0, f"the daemon ended with {code}")
    expect(traffic.cut == 0, f"{traffic.cut} requests were cut, {traffic.complete} complete")
    expect(traffic.complete >= _TRAFFIC_THREADS, f"only {traffic.complete} requests complete")
    return f"{traffic.complete} streams complete, none cut, stopped after {seconds:.1f} s"


def _restart(sample: Sample) -> None:
    plan = DAEMONS[2]
    if sample.fleet.processes.wait(plan.name, 1.0) is None:
        sample.fleet.processes.signal(plan.name, signal.SIGKILL)
        sample.fleet.processes.wait(plan.name, 5.0)
    sample.fleet.start_daemon(plan)
    version = int(sample.operator.run("class", "list")["version"])
    wait_for_version(sample.fleet, version)


def _expect_unnamed(url: str, host: str, key: str) -> None:
    """Wait until ``url`` no longer names the VM among the addresses to use."""
    end = time.monotonic() + _WITHDRAW_SECONDS
    while True:
        answer = call(url, "GET", "/v1/entrypoints", key)
        expect(answer.status == 200, f"entrypoints: status {answer.status}: {answer.data!r}")
        if host not in answer.data.decode():
            return
        expect(time.monotonic() < end, f"entrypoints still names {host}")
        time.sleep(_POLL_SECONDS)
