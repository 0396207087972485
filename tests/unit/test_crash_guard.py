"""Guards against requests that crash a third worker, and against refusing innocent ones."""

from typing import Any

from result import Err, Ok, Result
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.crash.attempts import (
    GuardedAttempt,
    IdenticalRequestRunning,
    RequestStatus,
    TrialPending,
)
from trefoilreach._internal.coordination.crash.guard import CrashGuard
from trefoilreach._internal.coordination.membership.peers import LIVE, Member, PeerError
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.table import MemoryTable


class PeerClient:
    """Client of one peer; calls the peer's crash guard directly."""

    def __init__(self, guard: CrashGuard) -> None:
        self.suspects = guard.apply_peer_suspects
        self.claim_run = guard.identical_requests.registry.claim
        self.end_run = guard.identical_requests.registry.end


class FleetPeers:
    """Peers of one daemon; every call reaches them."""

    def __init__(self, name: str, guards: dict[str, CrashGuard]) -> None:
        self.own_member = Member(name, "127.0.0.1", 1, 2, "dc", "r", 1, LIVE)
        self._guards = guards

    def members(self) -> list[Member]:
        return [entry for entry in self.list_live() if entry.vm != self.own_member.vm]

    def list_live(self) -> list[Member]:
        return [self.own_member._replace(vm=name) for name in sorted(self._guards)]

    def call(self, vm: str, action: Any, timeout: float) -> Result[Any, PeerError]:
        return Ok(action(PeerClient(self._guards[vm])))

    def broadcast(self, action: Any, timeout: float) -> dict[str, Result[Any, PeerError]]:
        return {entry.vm: self.call(entry.vm, action, timeout) for entry in self.members()}


class World:
    """Three daemons with crash guards that share a table."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        table = MemoryTable()
        self.guards: dict[str, CrashGuard] = {}
        for name in ("d1", "d2", "d3"):
            peers: Any = FleetPeers(name, self.guards)
            self.guards[name] = CrashGuard(self.clock, table, peers)

    def begin(self, daemon: str, request: str, server: str) -> Result[GuardedAttempt, Any]:
        return self.guards[daemon].begin_attempt(request, server, "i1")

    def start(self, daemon: str, request: str, server: str) -> GuardedAttempt:
        return self.begin(daemon, request, server).unwrap()

    def crash(self, server: str) -> None:
        for guard in self.guards.values():
            guard.record_worker_death(server)

    def begin_after_decision_time(self, request: str, server: str = "w9") -> Any:
        """Begin before and after the time for a decision; return why the request cannot run."""
        assert isinstance(self.begin("d1", request, server), Err)
        self.clock.advance(2.0)
        return self.begin("d1", request, server).err()


def test_identical_requests_run_on_one_worker_until_one_completed() -> None:
    """Guards against each daemon losing a worker before the first crash is known."""
    world = World()
    first = world.start("d1", "x", "w1")
    for daemon in ("d2", "d3"):
        refused = world.begin(daemon, "x", "w2").err()
        assert isinstance(refused, IdenticalRequestRunning) and refused.server == "w1"
    second = world.start("d3", "x", "w1")
    world.guards["d1"].end_attempt(first, succeeded=False)
    assert isinstance(world.begin("d2", "x", "w2"), Err)
    world.guards["d3"].end_attempt(second, succeeded=True)
    world.guards["d3"].identical_requests._end_notices.shutdown(wait=True)
    world.start("d2", "x", "w2")
    world.start("d1", "x", "w3")


def test_request_is_refused_everywhere_after_two_crashes() -> None:
    """Guards against a request that crashes a third worker through another daemon."""
    world = World()
    run = world.start("d1", "x", "w1")
    world.crash("w1")
    world.guards["d1"].end_attempt(run, succeeded=False)
    trial = world.start("d2", "x", "w2")
    assert isinstance(world.begin("d3", "x", "w3").err(), TrialPending)
    world.crash("w2")
    world.guards["d2"].end_attempt(trial, succeeded=False)
    error = world.begin_after_decision_time("x")
    assert isinstance(error, Refusal) and error.status == 422
    assert {guard.get_request_status("x") for guard in world.guards.values()} <= {
        RequestStatus.SUSPECT,
        RequestStatus.POISON,
    }
    assert isinstance(world.begin("d3", "x", "w3").err(), Refusal)


def test_innocent_trial_is_cleared_when_a_request_beside_it_was_at_fault() -> None:
    """Guards against refusing an innocent request that was in flight at two crashes."""
    world = World()
    for request, daemon in (("innocent", "d1"), ("x", "d2")):
        world.start(daemon, request, "w1")
    world.crash("w1")
    world.start("d1", "innocent", "w2")
    world.start("d3", "y", "w2")
    world.crash("w2")
    assert isinstance(world.begin_after_decision_time("innocent"), TrialPending)
    for request, server in (("x", "w3"), ("y", "w4")):
        world.start("d3", request, server)
        world.crash(server)
        error = world.begin_after_decision_time(request)
        assert isinstance(error, Refusal) and error.status == 422
    assert isinstance(world.begin("d1", "innocent", "w5").err(), TrialPending)
    trial = world.start("d1", "innocent", "w5")
    world.guards["d1"].end_attempt(trial, succeeded=True)
    assert world.guards["d2"].get_request_status("innocent") is RequestStatus.CLEAR


def test_trial_beside_innocent_requests_is_refused_after_two_workers() -> None:
    """Guards against a third crash by a request whose trial ran beside innocent ones."""
    world = World()
    world.start("d1", "x", "w1")
    world.crash("w1")
    world.start("d1", "x", "w2")
    world.start("d2", "innocent", "w2")
    world.crash("w2")
    assert isinstance(world.begin_after_decision_time("x"), TrialPending)
    trial = world.start("d2", "innocent", "w3")
    world.guards["d2"].end_attempt(trial, succeeded=True)
    error = world.begin("d1", "x", "w4").err()
    assert isinstance(error, Refusal) and error.status == 422
