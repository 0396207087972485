"""Guards against a planned shutdown that closes the listener while callers cache its address."""

import math

import pytest
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.membership.drain import Drain
from trefoilreach._internal.coordination.serving.planned_stop import PlannedStop
from trefoilreach._internal.protocol.verdict import Refusal


class SteppedClock(ManualClock):
    def sleep(self, seconds: float) -> None:
        self.advance(seconds)


class Recorder:
    """Fake membership, requests and HTTP server that records the time of each call."""

    def __init__(self, clock: ManualClock, idle: bool = True) -> None:
        self._clock = clock
        self._idle = idle
        self.planned_stop = PlannedStop()
        self._start = clock.now()
        self.calls: list[tuple[str, float]] = []

    def record(self, name: str) -> None:
        self.calls.append((name, self._clock.now() - self._start))

    def announce_leave(self) -> None:
        self.record("leave")

    def begin_drain(self) -> None:
        self.record("begin_drain")

    def stop_listening(self) -> None:
        self.record("stop_listening")

    def wait_idle(self, limit: float) -> bool:
        self.record(f"wait_idle {limit:g}")
        if not self._idle:
            self._clock.advance(limit)
        return self._idle

    def end_running(self) -> None:
        self.record("end_running")


def test_listener_stays_open_until_cached_addresses_expire() -> None:
    clock = SteppedClock()
    recorder = Recorder(clock)
    drain = Drain(clock, recorder, recorder, entry_keep_seconds=10.0, stream_grace_seconds=120.0)
    drain.add_hook("quota", lambda: recorder.record("hook"))
    drain.add_hook("failing", lambda: 1 // 0)
    assert drain.run(recorder)
    assert recorder.calls == [
        ("leave", 0.0),
        ("begin_drain", 0.0),
        ("hook", 12.0),
        ("stop_listening", 12.0),
        ("wait_idle 120", 12.0),
    ]


def test_requests_that_run_at_the_end_get_a_last_answer() -> None:
    """Guards against connections that are cut when the grace period is over."""
    clock = SteppedClock()
    recorder = Recorder(clock, idle=False)
    drain = Drain(clock, recorder, recorder, entry_keep_seconds=10.0, stream_grace_seconds=120.0)
    assert not drain.run(recorder)
    assert recorder.calls[-3:] == [
        ("wait_idle 120", 12.0),
        ("end_running", 132.0),
        ("wait_idle 1", 132.0),
    ]


def test_request_that_would_last_beyond_the_end_is_refused() -> None:
    """Guards against requests on kept connections that are cut when the grace period is over."""
    clock = SteppedClock()
    recorder = Recorder(clock)
    begin = clock.now()
    for _ in range(100):
        recorder.planned_stop.record_run("m", 10.0)
    drain = Drain(clock, recorder, recorder, entry_keep_seconds=10.0, stream_grace_seconds=120.0)
    drain.run(recorder)
    recorder.planned_stop.refuse_if_late("m", begin + 100.0, math.inf)
    with pytest.raises(Refusal) as caught:
        recorder.planned_stop.refuse_if_late("m", begin + 115.0, math.inf)
    assert caught.value.status == 503
