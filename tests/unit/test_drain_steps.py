"""Guards against a planned shutdown that closes the listener while callers cache its address."""

from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.membership.drain import Drain


class SteppedClock(ManualClock):
    def sleep(self, seconds: float) -> None:
        self.advance(seconds)


class Recorder:
    """Fake membership and HTTP server that records the time of each call."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
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
        return True


def test_listener_stays_open_until_cached_addresses_expire() -> None:
    clock = SteppedClock()
    recorder = Recorder(clock)
    drain = Drain(clock, recorder, entry_keep_seconds=10.0, stream_grace_seconds=120.0)
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
