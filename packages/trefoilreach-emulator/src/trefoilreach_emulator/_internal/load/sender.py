"""Sends the requests of a plan at their times, whether or not earlier ones are answered."""

import ipaddress
import itertools
import queue
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException, HTTPResponse

import orjson

from trefoilreach_emulator._internal.load.plan import Arrival, LoadPlan, list_arrivals
from trefoilreach_emulator._internal.load.samples import LoadResult, Sample

_THREADS = 400
_NO_ANSWER = 0


class LoadTargetError(ValueError):
    """A load target that is not on this machine."""


def run_plan(plan: LoadPlan) -> LoadResult:
    """Send all requests of a plan and return the outcomes.

    :raises LoadTargetError: when an entry is not a loopback address.
    """
    arrivals = list_arrivals(plan)
    for arrival in arrivals:
        check_loopback(arrival.entry)
    result = LoadResult()
    lock = threading.Lock()
    connections = _Connections(plan.timeout_seconds)
    start = time.monotonic()

    def send(arrival: Arrival) -> None:
        late = max(0.0, time.monotonic() - start - arrival.at)
        sample = send_completion(connections, arrival, late)
        with lock:
            result.stream(arrival.stream.name).add(sample)

    with ThreadPoolExecutor(_THREADS) as pool:
        for arrival in arrivals:
            time.sleep(max(0.0, start + arrival.at - time.monotonic()))
            pool.submit(send, arrival)
    connections.close()
    return result


def check_loopback(entry: str) -> None:
    """Refuse an entry that is not on this machine."""
    host = entry.rpartition(":")[0]
    if not ipaddress.ip_address(host).is_loopback:
        raise LoadTargetError(f"load goes to loopback addresses only, not to {entry}")


class _Connections:
    """Kept-alive connections by entry."""

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._idle: dict[str, queue.SimpleQueue[HTTPConnection]] = {}

    def take(self, entry: str) -> HTTPConnection:
        """Return an idle connection or a new one."""
        try:
            return self._queue(entry).get_nowait()
        except queue.Empty:
            host, _, port = entry.rpartition(":")
            return HTTPConnection(host, int(port), timeout=self._timeout)

    def give_back(self, entry: str, connection: HTTPConnection) -> None:
        """Keep a connection for the next request."""
        self._queue(entry).put(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            while not idle.empty():
                idle.get_nowait().close()

    def _queue(self, entry: str) -> "queue.SimpleQueue[HTTPConnection]":
        return self._idle.setdefault(entry, queue.SimpleQueue())


def send_completion(connections: _Connections, arrival: Arrival, late: float) -> Sample:
    """Send one streamed completion and time its tokens."""
    stream = arrival.stream
    body = {
        "model": stream.model,
        "messages": [{"role": "user", "content": arrival.prompt}],
        "max_tokens": stream.tokens,
        "stream": True,
    }
    headers = {"Content-Type": "application/json", "Authorization": f"Bearer {stream.key}"}
    connection = connections.take(arrival.entry)
    started = time.monotonic()
    try:
        connection.request("POST", "/v1/chat/completions", orjson.dumps(body), headers)
        response = connection.getresponse()
        times, complete = _read_tokens(response)
    except (OSError, HTTPException):
        connection.close()
        return Sample(_NO_ANSWER, False, 0.0, (), time.monotonic() - started, late)
    if complete or response.status != 200:
        connections.give_back(arrival.entry, connection)
    else:
        connection.close()
    return _build_sample(response.status, complete, started, times, late)


def _read_tokens(response: HTTPResponse) -> tuple[list[float], bool]:
    if response.status != 200:
        response.read()
        return [], False
    times: list[float] = []
    done = False
    while line := response.readline():
        if line.startswith(b"data: [DONE]"):
            done = True
        elif line.startswith(b"data: {") and b'"content":"' in line:
            times.append(time.monotonic())
    return times, done


def _build_sample(
    status: int, complete: bool, started: float, times: list[float], late: float
) -> Sample:
    first = times[0] - started if times else 0.0
    intervals = tuple(after - before for before, after in itertools.pairwise(times))
    total = (times[-1] if times else time.monotonic()) - started
    return Sample(status, complete and bool(times), first, intervals, total, late)
