"""Guards the log under load: callers never wait, volume is bounded, lost lines are counted."""

import os
import threading
import time
from contextlib import ExitStack

import orjson
from trefoilreach._internal.clock import ManualClock, SystemClock
from trefoilreach._internal.logs import BoundedLog


class MemoryOutput:
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
    """Guards against requests that wait while nobody reads the log's output pipe."""
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
        reader_thread = threading.Thread(target=lambda: os.read(reader, 1 << 20), daemon=True)
        reader_thread.start()


def test_lines_of_one_kind_do_not_displace_other_kinds() -> None:
    """Guards against refusals of a busy account that displace the line about a cut stream."""
    clock, output = ManualClock(), MemoryOutput()
    log = BoundedLog(clock, output)
    for _ in range(500):
        log({"message_type": "request:refused"})
    log({"message_type": "request:cut"})
    clock.advance(1.0)
    log({"message_type": "request:refused"})
    log.start()
    log.close()
    kinds = [line["message_type"] for line in output.lines]
    assert "request:cut" in kinds
    assert kinds.count("request:refused") < 100
    assert output.lines[-1]["lines_left_out"] == 500 - (kinds.count("request:refused") - 1)
