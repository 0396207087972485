"""Guards against load reports that routing or batch work misses, or that are read twice."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from result import Err, Ok
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.batch.feed import BatchFeed
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.online.backends import Backends
from trefoilreach._internal.coordination.online.load_poller import LoadPoller
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.config import ConfigDocument, Route, Server
from trefoilreach._internal.transport.engine import EngineError, LoadReport

ROUND_SECONDS = 1.0


class CountedEngine:
    """Engine that counts reads and gives no answer for the workers in ``lost``."""

    def __init__(self) -> None:
        self.loads: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.lost: set[str] = set()

    def load(self, server: Server) -> Any:
        self.loads[server.name] += 1
        if server.name in self.lost:
            return Err(EngineError("no answer", Verdict.MAY_HAVE_RUN, silent=True))
        return Ok(LoadReport("i", self.loads[server.name], 3, 1, 8, 0.0, ("m0",), "mixed"))

    def cache_events(self, server: Server, after: int) -> Any:
        self.events[server.name] += 1
        return Ok([])


class Site:
    """A daemon that sends online requests to ``routed`` workers and batch work to ``batch``."""

    def __init__(self, routed: int, batch: list[str]) -> None:
        names = sorted({*(f"w{number}" for number in range(routed)), *batch})
        servers = {
            name: Server(name, "engine", "::1", 1, ("m0",) if name[0] == "w" else ("batch",))
            for name in names
        }
        clock, config, self.engine = ManualClock(), ConfigHolder(), CountedEngine()
        config.adopt(ConfigDocument(1, routes=(Route("m0"),), servers=tuple(servers.values())))
        engine: Any = self.engine
        self.backends = Backends(clock, Settings(), config)
        self.feed = BatchFeed(clock, engine, config, True, lambda: None)
        self.feed.set_workers([servers[name] for name in batch])
        self.poller = LoadPoller(clock, engine, self.backends, ROUND_SECONDS)
        self.poller.add_watcher(self.feed)
        self.started: list[tuple[Callable[[Server], None], Server]] = []

    def run_round(self) -> None:
        self.poller.start_due_polls(lambda poll, server: poll(server))

    def batch_room(self, name: str) -> int:
        return self.feed._shares[name].room(self.feed._clock.now())


def test_shared_worker_is_read_once_for_both() -> None:
    """Two polls of one worker cost twice the processor time; one must serve both users."""
    site = Site(2, ["w0", "b0"])
    site.run_round()
    assert site.engine.loads == {"w0": 1, "w1": 1, "b0": 1}
    assert site.backends.load.estimate("w0") == site.backends.load.estimate("w1") == 4.0
    assert site.batch_room("w0") == site.batch_room("b0") == 8 - 4 - 1
    assert "b0" not in site.engine.events and site.engine.events["w0"] == 1


@pytest.mark.parametrize("batch", [["w0"], []])
def test_lost_answer_reaches_both_and_ends_with_the_next(batch: list[str]) -> None:
    """A silent worker that one of the two goes on sending work to, or avoids for good."""
    site = Site(1, batch)
    site.run_round()
    site.engine.lost = {"w0"}
    site.run_round()
    assert not site.backends.health.is_usable("w0")
    assert [site.batch_room(name) for name in batch] == [0] * len(batch)
    site.engine.lost = set()
    site.run_round()
    assert site.backends.health.is_usable("w0")
    assert all(site.batch_room(name) > 0 for name in batch)


def test_many_engines_are_read_in_turns_and_batch_workers_each_time() -> None:
    """An engine that is never read again once the daemon uses more than the limit allows."""
    site = Site(16, ["w3", "b0", "b1"])
    for _ in range(6):
        site.run_round()
    assert {site.engine.loads[name] for name in ("w3", "b0", "b1")} == {6}
    rest = [site.engine.loads[f"w{number}"] for number in range(16) if number != 3]
    assert len(rest) == 15 and set(rest) == {4}


def test_running_poll_is_not_started_again_and_a_moved_worker_is_not_mixed_up() -> None:
    """A worker that answers late must not tie up all threads, nor be taken for its successor."""
    site = Site(1, ["w0"])
    site.poller.start_due_polls(lambda poll, server: site.started.append((poll, server)))
    site.run_round()
    assert site.engine.loads["w0"] == 0
    (poll, server), moved = site.started[0], site.feed._shares["w0"].server._replace(port=2)
    site.feed.set_workers([moved])
    poll(server)
    assert site.batch_room("w0") == 0
    site.run_round()
    assert site.engine.loads["w0"] == 2 and site.batch_room("w0") > 0
