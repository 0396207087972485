"""Tests which streams of engines count as whole, over real sockets."""

from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from raw_workers import RawWorkers, Reply
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.engine import EngineError, EngineRequest, HttpEngine

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
PAYLOADS = [b'{"id":"q1","choices":[{"index":0,"text":"t%d"}]}' % n for n in range(3)]
EVENTS = [b"data: %b\n\n" % payload for payload in PAYLOADS]
DONE = b"data: [DONE]\n\n"


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as opened:
        yield opened


def read_stream(stack: ExitStack, body: bytes) -> list[bytes]:
    workers = RawWorkers(stack, Reply(HEAD + body))
    server = Server("s", "engine", "127.0.0.1", workers.port, ("m",))
    engine = HttpEngine(SystemClock(), 1.0)
    stack.callback(engine.close)
    stream = engine.open(server, EngineRequest("q1", "/v1/completions", {})).unwrap()
    stack.callback(stream.close)
    return list(stream)


def test_stream_with_its_end_is_whole(stack: ExitStack) -> None:
    """Guards against a sound stream that is refused."""
    assert read_stream(stack, b"".join(EVENTS) + DONE) == PAYLOADS


@pytest.mark.parametrize("begun", [b"", EVENTS[0], EVENTS[0][:9], EVENTS[0][:-9]])
def test_second_answer_does_not_complete_a_stream(stack: ExitStack, begun: bytes) -> None:
    """Guards against the events of another answer that are joined to a stream that broke off."""
    with pytest.raises(EngineError):
        read_stream(stack, begun + HEAD + b"".join(EVENTS) + DONE)
