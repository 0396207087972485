"""Guards the HTTP server against stalled answers, undetected disconnects and idle threads."""

import os
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, closing
from types import SimpleNamespace
from typing import Any

import harness
import pytest
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.transport.http_server import (
    AnswerAbortedError,
    HttpServer,
    _DrainingChannel,
)

_CHUNK = b"x" * 4096
_CHUNK_COUNT = 2000


def _serve(app: Callable[..., Any]) -> HttpServer:
    server = HttpServer(app, "127.0.0.1", 0, 4, SystemClock())
    server.start()
    return server


def _connect(port: int) -> socket.socket:
    connection = socket.socket()
    # A small window makes the server's socket buffer fill up.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.settimeout(10.0)
    connection.connect(("127.0.0.1", port))
    return connection


def test_server_thread_skips_data_that_a_task_is_sending() -> None:
    """Guards against a server thread that loops during a task's write, and against unsent data."""
    channel = _DrainingChannel.__new__(_DrainingChannel)
    channel.adj = SimpleNamespace(channel_request_lookahead=1, outbuf_high_watermark=100)
    channel.total_outbufs_len, channel.requests = 5, [object()]
    channel.will_close = channel.close_when_flushed = False
    with ThreadPoolExecutor(1) as server_thread:

        def check_channel() -> tuple[bool, bool]:
            return server_thread.submit(lambda: (channel.writable(), channel.readable())).result()

        channel._sending = True
        assert check_channel() == (False, True)
        channel.total_outbufs_len = 101  # the task waits until the buffer drains
        assert check_channel() == (True, False)
        channel.total_outbufs_len = 5
        channel.will_close = True
        assert check_channel() == (True, False)
        channel.will_close = channel._sending = False
        assert check_channel() == (True, False)
        channel.total_outbufs_len = 0
        assert check_channel()[0] is False


def test_complete_answer_arrives_after_the_send_buffer_was_full() -> None:
    """Guards against data that stays in the buffer until the server's next idle poll (1 s)."""

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Length", str(_CHUNK_COUNT * len(_CHUNK)))])
        yield from (_CHUNK for _ in range(_CHUNK_COUNT))

    server = _serve(app)
    with closing(server), closing(_connect(server.port)) as connection:
        for _ in range(2):
            connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            received, longest, head = 0, 0.0, b""
            while b"\r\n\r\n" not in head:
                head += connection.recv(1)
            while received < _CHUNK_COUNT * len(_CHUNK):
                begin = time.monotonic()
                received += len(connection.recv(65536))
                longest = max(longest, time.monotonic() - begin)
            assert longest < 0.8


def test_disconnect_of_a_caller_ends_a_busy_stream() -> None:
    """Guards against a stream that goes on for a caller who closed the connection."""
    ended: list[float] = []

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        try:
            for _ in range(5000):
                yield b"data: x\n\n"
                time.sleep(0.001)
        finally:
            ended.append(time.monotonic())

    server = _serve(app)
    with closing(server):
        connection = _connect(server.port)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert connection.recv(100)
        connection.close()
        disconnected_at = time.monotonic()
        while not ended and time.monotonic() < disconnected_at + 10.0:
            time.sleep(0.01)
        assert ended and ended[0] - disconnected_at < 0.8


def test_threads_start_on_demand_up_to_the_limit(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against threads that are started before requests need them or above the limit.

    No new thread is worth a warning.
    """
    lock, running, max_running = threading.Lock(), 0, 0

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        nonlocal running, max_running
        with lock:
            running += 1
            max_running = max(max_running, running)
        time.sleep(0.2)
        with lock:
            running -= 1
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def send_request() -> bytes:
        with closing(_connect(server.port)) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            return connection.makefile("rb").read()

    server = _serve(app)
    with closing(server):
        assert len(server._server.task_dispatcher.threads) == 0
        for concurrency, expected in ((1, 1), (3, 3), (7, 4)):
            with ThreadPoolExecutor(concurrency) as pool:
                answers = list(pool.map(lambda _: send_request(), range(concurrency)))
            assert all(answer.endswith(b"ok") for answer in answers)
            assert max_running == expected
        assert len(server._server.task_dispatcher.threads) == 4
    assert not caplog.records


def test_planned_stop_closes_idle_connections_with_high_descriptors() -> None:
    """Guards against a planned stop under load that waits for idle connections until its end.

    select() refuses descriptors above 1023, which a daemon with many callers has.
    """
    with ExitStack() as stack:
        server = _serve(lambda environ, start_response: [])
        stack.callback(server.close)
        for _ in range(1100):
            stack.callback(os.close, os.dup(0))
        client = stack.enter_context(closing(_connect(server.port)))
        harness.wait_until(lambda: server._server.active_channels, 3.0)
        assert max(server._server.active_channels) > 1023
        server.begin_drain()
        server.stop_listening()
        assert server.wait_idle(8.0)
        assert client.recv(1) == b""


def test_idle_connections_are_closed_before_the_end_of_the_wait() -> None:
    """Guards against requests on kept connections that the end of the process cuts."""
    server = _serve(lambda environ, start_response: [])
    with closing(server), closing(_connect(server.port)) as client:
        harness.wait_until(lambda: server._server.active_channels, 3.0)
        server.begin_drain()
        server.stop_listening()
        begin = time.monotonic()
        assert server.wait_idle(0.6)
        assert 0.3 < time.monotonic() - begin < 0.6
        assert client.recv(1) == b""


def test_request_in_the_last_moments_is_answered() -> None:
    """Guards against closing a connection on which a request is being answered."""

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        time.sleep(0.3)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = _serve(app)
    with closing(server), closing(_connect(server.port)) as client:
        harness.wait_until(lambda: server._server.active_channels, 3.0)
        server.begin_drain()
        server.stop_listening()
        client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        harness.wait_until(lambda: any(c.busy for c in server._server.active_channels.values()))
        # Shorter than the time that the answer takes, and than the time for closing.
        assert not server.wait_idle(0.1)
        assert server.wait_idle(1.0)
        answer = client.makefile("rb").read()
        assert answer.endswith(b"ok") and b"Connection: close" in answer


@pytest.mark.parametrize("error", [AnswerAbortedError("no worker"), ValueError("unexpected")])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_aborted_answer_does_not_look_complete(version: str, error: Exception) -> None:
    """Guards against an answer without a length or chunks that is aborted by closing it.

    HTTP/1.0 has no chunks, so that such an answer ends with its connection.
    """

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        yield b"id: 1\ndata: x\n\n"
        raise error

    with closing(_serve(app)) as server, closing(_connect(server.port)) as connection:
        connection.sendall(f"GET / HTTP/{version}\r\nHost: a\r\n\r\n".encode())
        received = b""
        reset = False
        try:
            while data := connection.recv(65536):
                received += data
        except ConnectionResetError:
            reset = True
        assert reset or (b"chunked" in received and not received.endswith(b"0\r\n\r\n"))
