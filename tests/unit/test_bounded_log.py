"""Guards logs under load: writing never waits, volume is bounded, what is left out is counted."""

import os
import threading
import time
from contextlib import ExitStack

import orjson
from trefoilreach._internal.clock import ManualClock, SystemClock
from trefoilreach._internal.logs import BoundedLog


class Sink:
    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> int:
        self.data += data
        return len(data)

    def flush(self) -> None: ...

    @property
    def lines(self) -> list[dict[str, object]]:
        return [orjson.loads(line) for line in self.data.splitlines()]


def test_blocked_output_never_delays_a_request() -> None:
    """Guards against requests that wait for whoever reads the log."""
    reader, writer = os.pipe()
    with ExitStack() as stack:
        stack.callback(os.close, reader)
        output = stack.enter_context(os.fdopen(writer, "wb", buffering=0))
        lost: list[int] = []
        log = BoundedLog(SystemClock(), output, lost.append)
        log.start()
        longest = 0.0
        for number in range(20_000):
            begin = time.monotonic()
            log({"message_type": f"kind{number % 400}", "text": "x" * 200})
            longest = max(longest, time.monotonic() - begin)
        assert longest < 0.1
        assert lost and lost[-1] > 1000
        drained = threading.Thread(target=lambda: os.read(reader, 1 << 20), daemon=True)
        drained.start()


def test_one_kind_cannot_crowd_out_the_others() -> None:
    """Guards against refusals of a hot account that hide why a stream was cut."""
    clock, sink = ManualClock(), Sink()
    log = BoundedLog(clock, sink)
    for _ in range(500):
        log({"message_type": "request:refused"})
    log({"message_type": "request:cut"})
    clock.advance(1.0)
    log({"message_type": "request:refused"})
    log.start()
    log.close()
    kinds = [line["message_type"] for line in sink.lines]
    assert "request:cut" in kinds
    assert kinds.count("request:refused") < 100
    assert sink.lines[-1]["lines_left_out"] == 500 - (kinds.count("request:refused") - 1)
