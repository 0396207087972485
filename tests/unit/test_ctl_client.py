"""Guards against a client that repeats a request which may have run."""

import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from raw_workers import RawWorkers, Reply
from trefoilctl._internal.client import Client
from trefoilctl._internal.errors import CtlError

Behaviour = Callable[[BaseHTTPRequestHandler], None]


def respond_with(status: int, verdict: str = "") -> Behaviour:
    def respond(handler: BaseHTTPRequestHandler) -> None:
        handler.send_response(status)
        handler.send_header("Content-Length", "2")
        handler.send_header("Trefoilreach-Verdict", verdict)
        handler.end_headers()
        handler.wfile.write(b"{}")

    return respond


def close_without_response(handler: BaseHTTPRequestHandler) -> None:
    handler.close_connection = True


class FakeDaemons:
    """Fake daemons that count the requests that reach them."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack
        self.request_counts: list[int] = []

    def add(self, behaviour: Behaviour) -> str:
        index = len(self.request_counts)
        self.request_counts.append(0)
        request_counts = self.request_counts

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                request_counts[index] += 1
                behaviour(self)

            def log_message(self, *details: object) -> None:
                pass

        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._stack.callback(server.server_close)
        self._stack.callback(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"http://127.0.0.1:{server.server_port}"


@pytest.fixture
def daemons() -> Iterator[FakeDaemons]:
    with ExitStack() as stack:
        yield FakeDaemons(stack)


def test_refused_connection_goes_to_the_next_address(daemons: FakeDaemons) -> None:
    """Guards against giving up at an address where no daemon listens."""
    client = Client(["http://127.0.0.1:1", daemons.add(respond_with(200))], None)
    assert client.call("POST", "/x").status == 200


def test_request_that_did_not_run_is_repeated(daemons: FakeDaemons) -> None:
    """Guards against a failed command although the next daemon could run its request."""
    urls = [daemons.add(respond_with(503, "not-run")), daemons.add(respond_with(200))]
    assert Client(urls, None).call("POST", "/x").status == 200
    assert daemons.request_counts == [1, 1]


@pytest.mark.parametrize(
    "behaviour",
    [
        close_without_response,
        respond_with(503, "may-have-run"),
        respond_with(503),
        respond_with(409, "not-run"),
    ],
)
def test_request_that_may_have_run_is_sent_once(daemons: FakeDaemons, behaviour: Behaviour) -> None:
    """Guards against running a request twice: only 503 with the verdict not-run is retried."""
    urls = [daemons.add(behaviour), daemons.add(respond_with(200))]
    with pytest.raises(CtlError):
        Client(urls, None).call("POST", "/x")
    assert daemons.request_counts == [1, 0]


def test_answer_cut_in_its_head_is_no_answer() -> None:
    """Guards against an empty file in place of a result, from a daemon killed while it answers."""
    whole = b"HTTP/1.1 200 OK\r\nServer: d\r\nContent-Length: 5\r\n\r\nwhole"
    with ExitStack() as stack:
        daemon = RawWorkers(stack, *[Reply(whole[:cut]) for cut in range(len(whole))])
        client = Client([f"http://127.0.0.1:{daemon.port}"], None, 1.0)
        for _ in range(len(whole)):
            with pytest.raises(CtlError):
                client.call("POST", "/")
