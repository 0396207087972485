"""Tests which streams of engines count as whole, over real sockets."""

from collections.abc import Iterator
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any

import pytest
from raw_workers import RawWorkers, Reply
from result import Ok
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.batch.item_runner import (
    Ending,
    ItemRunner,
    LatencyCallbacks,
    StreamHandle,
)
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


class _CancellingStream:
    """Payloads of a stream that is cancelled before the last one is read."""

    def __init__(self, payloads: list[bytes], handle: StreamHandle) -> None:
        self._payloads = payloads
        self._handle = handle

    def __iter__(self) -> Iterator[bytes]:
        yield from self._payloads[:-1]
        self._handle.cancel()
        yield self._payloads[-1]

    def close(self) -> None:
        pass


FINISHED = b'{"id":"q1","choices":[{"index":0,"text":"t1","finish_reason":"stop"}]}'
OTHER_CHOICE = b'{"id":"q1","choices":[{"index":1,"text":"t0"}]}'
WITHOUT_CHOICES = b'{"id":"q1","choices":[]}'


@pytest.mark.parametrize(
    ("payloads", "ending"),
    [
        ([PAYLOADS[0], WITHOUT_CHOICES], Ending.YIELDED),
        ([WITHOUT_CHOICES], Ending.YIELDED),
        ([OTHER_CHOICE, FINISHED], Ending.YIELDED),
        ([PAYLOADS[0], FINISHED], Ending.COMPLETED),
        ([PAYLOADS[0], FINISHED, WITHOUT_CHOICES], Ending.COMPLETED),
    ],
)
def test_cancelled_item_is_complete_only_after_its_finish_reason(
    payloads: list[bytes], ending: Ending
) -> None:
    """Guards against a part of an item's text that an event without choices completes."""
    task: Any = SimpleNamespace(item=SimpleNamespace(body={}), text="")
    handle = StreamHandle(task, "q1", Server("s", "engine", "127.0.0.1", 1, ("m",)))
    stream = _CancellingStream(payloads, handle)
    engine: Any = SimpleNamespace(open=lambda server, request: Ok(stream))
    latency = LatencyCallbacks(lambda seconds: None, lambda seconds: None)
    attempt = ItemRunner(SystemClock(), engine).run(handle, "/v1/completions", "i", 1.0, latency)
    assert attempt.ending is ending
