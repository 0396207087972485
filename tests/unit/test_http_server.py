"""Guards the HTTP server: answers that stall between the task's and the server's thread."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from types import SimpleNamespace
from typing import Any

from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.transport.http_server import HttpServer, _DrainingChannel

_CHUNK = b"x" * 4096
_CHUNKS = 2000


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


def test_server_thread_leaves_alone_what_a_task_sends() -> None:
    """Guards against a busy loop beside each write, and against data that no thread sends."""
    channel = _DrainingChannel.__new__(_DrainingChannel)
    channel.adj = SimpleNamespace(channel_request_lookahead=1, outbuf_high_watermark=100)
    channel.total_outbufs_len, channel.requests = 5, [object()]
    channel.will_close = channel.close_when_flushed = False
    with ThreadPoolExecutor(1) as server_thread:

        def look() -> tuple[bool, bool]:
            return server_thread.submit(lambda: (channel.writable(), channel.readable())).result()

        channel._sending = True
        assert look() == (False, True)
        channel.total_outbufs_len = 101  # the task waits for room
        assert look() == (True, False)
        channel.total_outbufs_len = 5
        channel.will_close = True
        assert look() == (True, False)
        channel.will_close = channel._sending = False
        assert look() == (True, False)
        channel.total_outbufs_len = 0
        assert look()[0] is False


def test_whole_answer_arrives_when_the_send_buffer_was_full() -> None:
    """Guards against data that stays in the buffer until the server's next idle look (1 s)."""

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Length", str(_CHUNKS * len(_CHUNK)))])
        yield from (_CHUNK for _ in range(_CHUNKS))

    server = _serve(app)
    with closing(server), closing(_connect(server.port)) as connection:
        for _ in range(2):
            connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            received, longest, head = 0, 0.0, b""
            while b"\r\n\r\n" not in head:
                head += connection.recv(1)
            while received < _CHUNKS * len(_CHUNK):
                begin = time.monotonic()
                received += len(connection.recv(65536))
                longest = max(longest, time.monotonic() - begin)
            assert longest < 0.8


def test_caller_that_leaves_a_busy_stream_is_noticed() -> None:
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
        left = time.monotonic()
        while not ended and time.monotonic() < left + 10.0:
            time.sleep(0.01)
        assert ended and ended[0] - left < 0.8


def test_threads_are_started_as_requests_need_them() -> None:
    """Guards against threads that a daemon never uses, and against more than the limit."""
    lock, running, most = threading.Lock(), 0, 0

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        nonlocal running, most
        with lock:
            running += 1
            most = max(most, running)
        time.sleep(0.2)
        with lock:
            running -= 1
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def ask() -> bytes:
        with closing(_connect(server.port)) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            return connection.makefile("rb").read()

    server = _serve(app)
    with closing(server):
        assert len(server._server.task_dispatcher.threads) == 0
        for at_once, expected in ((1, 1), (3, 3), (7, 4)):
            with ThreadPoolExecutor(at_once) as pool:
                answers = list(pool.map(lambda _: ask(), range(at_once)))
            assert all(answer.endswith(b"ok") for answer in answers)
            assert most == expected
        assert len(server._server.task_dispatcher.threads) == 4
