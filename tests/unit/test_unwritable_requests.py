"""Guards against errors of hosts and headers that callers of the HTTP client are not made for."""

import socket
from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from serving_fakes import make_call, make_route, make_workers
from test_online_run import COMPLETE, Case
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.serving.worker_client import Dispatch, WorkerFailure
from trefoilreach._internal.platform.workers import PlatformWorkers
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.transport.http_client import HttpFailure, HttpPool, Interrupt

UNUSABLE_ADDRESSES = [
    ("a\0b", 80),
    ("127.0.0.1 x", 80),
    ("127.0.0.1\r\nX-A: b", 80),
    ("x" * 300, 80),
    ("x" * 60_000, 80),
    (".", 80),
    ("a..b", 80),
    ("\udc80", 80),
    ("127.0.0.1", 65536),
    ("127.0.0.1", 2**70),
    ("127.0.0.1", -1),
]
UNWRITABLE_HEADERS = [
    {"X-A": "b\r\nX-C: d"},
    {"X-A": "\u0416"},
    {"X-A\r\n": "b"},
    {"\u0416": "b"},
    {"": "b"},
]


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as opened:
        opened.settimeout(5.0)
        yield opened


@pytest.mark.parametrize(("host", "port"), UNUSABLE_ADDRESSES)
def test_unusable_address_is_a_failure_before_the_run(host: str, port: int) -> None:
    pool = HttpPool(host, port, SystemClock(), 0.2)
    with pytest.raises(HttpFailure) as caught:
        pool.request("GET", "/", timeout=0.2)
    assert caught.value.verdict is Verdict.NOT_RUN and not caught.value.unwritable
    assert len(str(caught.value)) < 600
    assert not pool.is_refused()


@pytest.mark.parametrize("headers", UNWRITABLE_HEADERS)
def test_unwritable_header_is_a_failure_before_the_run(
    headers: dict[str, str], listener: socket.socket
) -> None:
    """Guards against a connection that is left open after a request that cannot be written."""
    pool = HttpPool("127.0.0.1", listener.getsockname()[1], SystemClock())
    interrupt = Interrupt()
    with pytest.raises(HttpFailure) as caught:
        pool.request("GET", "/", headers=headers, fresh=True, interrupt=interrupt)
    assert caught.value.verdict is Verdict.NOT_RUN and caught.value.unwritable
    with listener.accept()[0] as connection:
        connection.settimeout(5.0)
        assert connection.recv(100) == b""
    interrupt.trigger("no connection is attached any more")


@given(st.text(max_size=20), st.text(max_size=20), st.text(max_size=20))
@settings(max_examples=200, deadline=None)
def test_request_of_any_texts_is_sent_or_fails_before_the_run_fuzz(
    path: str, name: str, value: str
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, ExitStack() as stack:
        pool = HttpPool("127.0.0.1", listener.getsockname()[1], SystemClock())
        stack.callback(pool.close)
        with pytest.raises(HttpFailure) as caught:
            pool.request("GET", "/" + path, headers={name: value}, timeout=0.001)
        # A request that was sent gets no answer in time.
        assert caught.value.unwritable is (caught.value.verdict is Verdict.NOT_RUN)


def test_worker_with_an_unusable_host_is_unreachable() -> None:
    with ExitStack() as stack:
        workers = PlatformWorkers(SystemClock())
        stack.callback(workers.close)
        worker = make_workers(1)[0]._replace(host="a b")
        with pytest.raises(WorkerFailure) as caught:
            workers.open(Dispatch(make_call(), worker, None, 1.0, None), 1.0, Interrupt())
        assert caught.value.verdict is Verdict.NOT_RUN and caught.value.unreachable
        assert workers.fetch_load(worker).requests is None and not workers.is_refused(worker)


def test_request_that_cannot_be_written_is_not_held_against_the_worker(
    listener: socket.socket,
) -> None:
    """Guards against a caller's odd request that makes one worker after the other suspected."""
    with ExitStack() as stack:
        workers = PlatformWorkers(SystemClock())
        stack.callback(workers.close)
        worker = make_workers(1)[0]._replace(host="127.0.0.1", port=listener.getsockname()[1])
        call = make_call()._replace(target="/a/\x7f")
        with pytest.raises(WorkerFailure) as caught:
            workers.open(Dispatch(call, worker, None, 1.0, None), 1.0, Interrupt())
        assert caught.value.verdict is Verdict.NOT_RUN and not caught.value.unreachable


def test_caller_of_a_request_that_cannot_be_written_hears_that_it_has_not_run() -> None:
    failure = WorkerFailure("the request cannot be written", Verdict.NOT_RUN)
    case = Case(make_route(), *[COMPLETE._replace(failure=failure)] * 10)
    refusal = case.expect_refusal()
    assert refusal.status == 503 and refusal.verdict is Verdict.NOT_RUN
    assert case.tools.admission.workers.suspects == ()
    case.assert_no_slot_taken()


def test_slot_is_released_after_an_unexpected_error() -> None:
    """Guards against slots that are lost one by one to errors that nobody handles."""
    case = Case(make_route(), *[COMPLETE._replace(failure=ValueError("odd"))] * 2)  # type: ignore[arg-type]
    for _ in range(2):
        with pytest.raises(ValueError, match="odd"):
            case.run()
    case.assert_no_slot_taken()
