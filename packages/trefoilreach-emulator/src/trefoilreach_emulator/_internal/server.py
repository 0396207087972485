"""A small HTTP server that gives emulators full control of each answer."""

import signal
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import orjson
import xxhash


class Exchange:
    """One request and the means to answer it."""

    def __init__(self, handler: BaseHTTPRequestHandler) -> None:
        self._handler = handler
        parts = urlsplit(handler.path)
        self.method = handler.command
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = handler.headers
        length = int(handler.headers.get("Content-Length") or 0)
        self.body = handler.rfile.read(length) if length else b""

    def json(self) -> Any:
        """Decode the request body."""
        return orjson.loads(self.body)

    def reply(self, value: Any, status: int = 200, headers: dict[str, str] | None = None) -> None:
        """Answer with a JSON value, or with bytes as they are."""
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self._handler.send_response(status)
        self._handler.send_header("Content-Type", "application/json")
        self._handler.send_header("Content-Length", str(len(data)))
        for name, text in (headers or {}).items():
            self._handler.send_header(name, text)
        self._handler.end_headers()
        self._handler.wfile.write(data)

    def reply_tagged(self, value: Any) -> None:
        """Answer with a JSON value and its entity tag, or 304 when the caller has the value."""
        data = orjson.dumps(value)
        tag = f'"{xxhash.xxh3_64_hexdigest(data)}"'
        if not _matches(self.headers.get("If-None-Match", ""), tag):
            self.reply(data, headers={"ETag": tag})
            return
        self._handler.send_response(304)
        self._handler.send_header("ETag", tag)
        self._handler.end_headers()

    def start_events(self) -> None:
        """Begin a stream of server-sent events in chunked encoding."""
        self.start(200, {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})

    def send_event(self, payload: bytes) -> None:
        """Send one event."""
        data = b"data: " + payload + b"\n\n"
        self.write(b"%x\r\n%s\r\n" % (len(data), data))

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer."""
        self._handler.send_response(status)
        for name, text in headers.items():
            self._handler.send_header(name, text)
        self._handler.end_headers()

    def write(self, data: bytes) -> None:
        """Send bytes of the body as they are."""
        self._handler.wfile.write(data)
        self._handler.wfile.flush()

    def end_events(self) -> None:
        """End the stream."""
        self.send_event(b"[DONE]")
        self._handler.wfile.write(b"0\r\n\r\n")

    def drop(self) -> None:
        """Close the connection without completing the answer."""
        self._handler.close_connection = True


def _matches(condition: str, tag: str) -> bool:
    """Return whether an If-None-Match condition names the tag, by weak comparison."""
    named = [entry.strip().removeprefix("W/") for entry in condition.split(",")]
    return condition.strip() == "*" or tag in named


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore callers that went away."""


def build_server(host: str, port: int, handle: Callable[[Exchange], None]) -> ThreadingHTTPServer:
    """Return a server that passes each request to ``handle``."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_request(self) -> None:
            """Pass the request on."""
            handle(Exchange(self))

        do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_request  # noqa: N815

        def log_message(self, format: str, *args: Any) -> None:
            """Write no access log."""

    return _Server((host, port), Handler)


@contextmanager
def run_server(host: str, port: int, handle: Callable[[Exchange], None]) -> Iterator[int]:
    """Serve in a thread for the time of a ``with`` block; give the port."""
    server = build_server(host, port, handle)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server.server_address[1]
    finally:
        server.shutdown()
        server.server_close()


def serve_until_signal(host: str, port: int, handle: Callable[[Exchange], None]) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stop.set())
    signal.signal(signal.SIGINT, lambda number, frame: stop.set())
    with run_server(host, port, handle):
        stop.wait()
