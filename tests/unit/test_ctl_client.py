"""Guards against commands that repeat a request which may have run."""

import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from trefoilctl._internal.client import Client
from trefoilctl._internal.errors import CtlError

Behaviour = Callable[[BaseHTTPRequestHandler], None]


def answer(status: int, verdict: str = "") -> Behaviour:
    def act(handler: BaseHTTPRequestHandler) -> None:
        handler.send_response(status)
        handler.send_header("Content-Length", "2")
        handler.send_header("Trefoilreach-Verdict", verdict)
        handler.end_headers()
        handler.wfile.write(b"{}")

    return act


def drop(handler: BaseHTTPRequestHandler) -> None:
    handler.close_connection = True


class Daemons:
    """Stand-ins that count what reaches them."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack
        self.counts: list[int] = []

    def add(self, behaviour: Behaviour) -> str:
        number = len(self.counts)
        self.counts.append(0)
        counts = self.counts

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                counts[number] += 1
                behaviour(self)

            def log_message(self, *details: object) -> None:
                pass

        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._stack.callback(server.server_close)
        self._stack.callback(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"http://127.0.0.1:{server.server_port}"


@pytest.fixture
def daemons() -> Iterator[Daemons]:
    with ExitStack() as stack:
        yield Daemons(stack)


def test_refused_connection_goes_to_the_next_address(daemons: Daemons) -> None:
    client = Client(["http://127.0.0.1:1", daemons.add(answer(200))], None)
    assert client.call("POST", "/x").status == 200


def test_request_that_did_not_run_is_repeated(daemons: Daemons) -> None:
    urls = [daemons.add(answer(503, "not-run")), daemons.add(answer(200))]
    assert Client(urls, None).call("POST", "/x").status == 200
    assert daemons.counts == [1, 1]


@pytest.mark.parametrize(
    "behaviour", [drop, answer(503, "may-have-run"), answer(503), answer(409, "not-run")]
)
def test_request_that_may_have_run_is_sent_once(daemons: Daemons, behaviour: Behaviour) -> None:
    urls = [daemons.add(behaviour), daemons.add(answer(200))]
    with pytest.raises(CtlError):
        Client(urls, None).call("POST", "/x")
    assert daemons.counts == [1, 0]
