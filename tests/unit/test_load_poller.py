"""Tests that each load report is read once and reaches both routing and batch work."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from result import Err, Ok
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.batch.scheduler import BatchScheduler
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.online.backends import Backends
from trefoilreach._internal.coordination.online.load_poller import LoadPoller
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.config import ConfigDocument, Route, Server
from trefoilreach._internal.transport.engine import EngineError, LoadReport

ROUND_SECONDS = 1.0


class CountingEngine:
    """Engine that counts reads and gives no answer for the workers in ``silent_servers``."""

    def __init__(self) -> None:
        self.loads: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.silent_servers: set[str] = set()

    def load(self, server: Server) -> Any:
        self.loads[server.name] += 1
        if server.name in self.silent_servers:
            return Err(EngineError("no answer", Verdict.MAY_HAVE_RUN, timed_out=True))
        return Ok(LoadReport("i", self.loads[server.name], 3, 1, 8, 0.0, ("m0",), "mixed"))

    def cache_events(self, server: Server, after: int) -> Any:
        self.events[server.name] += 1
        return Ok([])


class PollingDaemon:
    """A daemon that sends online requests to ``routed`` workers and batch work to ``batch``."""

    def __init__(self, routed: int, batch: list[str]) -> None:
        names = sorted({*(f"w{number}" for number in range(routed)), *batch})
        servers = {
            name: Server(name, "engine", "::1", 1, ("m0",) if name[0] == "w" else ("batch",))
            for name in names
        }
        clock, config, self.engine = ManualClock(), ActiveConfig(), CountingEngine()
        config.adopt(ConfigDocument(1, routes=(Route("m0"),), servers=tuple(servers.values())))
        engine: Any = self.engine
        self.backends = Backends(clock, Settings(), config)
        self.feed = BatchScheduler(clock, engine, config, True, lambda: None)
        self.feed.set_workers([servers[name] for name in batch])
        self.poller = LoadPoller(clock, engine, self.backends, ROUND_SECONDS)
        self.poller.add_watcher(self.feed)
        self.started: list[tuple[Callable[[Server], None], Server]] = []

    def run_due_polls(self) -> None:
        self.poller.start_due_polls(lambda poll, server: poll(server))

    def free_batch_slots(self, name: str) -> int:
        return self.feed._shares_by_worker[name].free_slots(self.feed._clock.now())


def test_worker_used_by_routing_and_batch_is_polled_once() -> None:
    """Guards against polling a worker once each for routing and for batch work.

    Two polls cost twice the processor time.
    """
    daemon = PollingDaemon(2, ["w0", "b0"])
    daemon.run_due_polls()
    assert daemon.engine.loads == {"w0": 1, "w1": 1, "b0": 1}
    assert (
        daemon.backends.load_view.estimate("w0") == daemon.backends.load_view.estimate("w1") == 4.0
    )
    assert daemon.free_batch_slots("w0") == daemon.free_batch_slots("b0") == 8 - 4 - 1
    assert "b0" not in daemon.engine.events and daemon.engine.events["w0"] == 1


@pytest.mark.parametrize("batch", [["w0"], []])
def test_missed_report_stops_routing_and_batch_until_the_next_report(batch: list[str]) -> None:
    """Guards against sending work to a silent worker, or avoiding it after it answers again."""
    daemon = PollingDaemon(1, batch)
    daemon.run_due_polls()
    daemon.engine.silent_servers = {"w0"}
    daemon.run_due_polls()
    assert not daemon.backends.health.is_usable("w0")
    assert [daemon.free_batch_slots(name) for name in batch] == [0] * len(batch)
    daemon.engine.silent_servers = set()
    daemon.run_due_polls()
    assert daemon.backends.health.is_usable("w0")
    assert all(daemon.free_batch_slots(name) > 0 for name in batch)


def test_routed_engines_are_polled_in_rotation_and_batch_workers_every_time() -> None:
    """Guards against an engine that is never polled once there are more than the limit allows."""
    daemon = PollingDaemon(16, ["w3", "b0", "b1"])
    for _ in range(6):
        daemon.run_due_polls()
    assert {daemon.engine.loads[name] for name in ("w3", "b0", "b1")} == {6}
    rest = [daemon.engine.loads[f"w{number}"] for number in range(16) if number != 3]
    assert len(rest) == 15 and set(rest) == {4}


def test_running_poll_is_not_repeated_and_is_ignored_for_a_moved_worker() -> None:
    """Guards against late polls that use up the threads, or count for the worker's new address."""
    daemon = PollingDaemon(1, ["w0"])
    daemon.poller.start_due_polls(lambda poll, server: daemon.started.append((poll, server)))
    daemon.run_due_polls()
    assert daemon.engine.loads["w0"] == 0
    (poll, server), moved = (
        daemon.started[0],
        daemon.feed._shares_by_worker["w0"].server._replace(port=2),
    )
    daemon.feed.set_workers([moved])
    poll(server)
    assert daemon.free_batch_slots("w0") == 0
    daemon.run_due_polls()
    assert daemon.engine.loads["w0"] == 2 and daemon.free_batch_slots("w0") > 0
