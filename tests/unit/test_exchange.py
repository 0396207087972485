"""Guards the exchange of reports between daemons, over datagrams on loopback."""

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from functools import partial

import harness
import pytest
from trefoilreach._internal.clock import Clock, SystemClock
from trefoilreach._internal.coordination.exchange.exchange import Exchange, Hooks, Peer
from trefoilreach._internal.coordination.exchange.relays import (
    MIN_RELAYED_FLEET_SIZE,
    RelayCandidate,
    RelaySelector,
    RemoteRelays,
    rank_relays,
    split_into_bundles,
)
from trefoilreach._internal.coordination.exchange.reports import (
    Identity,
    ReportWriter,
    Statement,
    decode,
    encode_bundle,
)
from trefoilreach._internal.coordination.quota.shared import Use
from trefoilreach._internal.coordination.serving.outcomes import Outcomes
from trefoilreach._internal.protocol.gen.fleet.ttypes import Spread

STATEMENT = Statement(
    accepting=True,
    leaving=False,
    config_version=3,
    uptime=1.0,
    store_age=0.1,
    runs={},
    waiting={},
    uses={},
    jobs={},
    suspects=(),
    crashes=(),
    outcomes={},
)


class CountingExchange(Exchange):
    """An exchange that counts its datagrams and loses those to some addresses."""

    def __init__(self, clock: Clock, identity: Identity, seeds: list[tuple[str, int]]) -> None:
        super().__init__(clock, identity, seeds)
        self.sent = 0
        self.cut: set[tuple[str, int]] = set()

    def _send_to(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent += 1
        if address not in self.cut:
            super()._send_to(data, address)


class Node:
    """One exchange that notes what it hears."""

    def __init__(
        self,
        stack: ExitStack,
        name: str,
        seeds: list[tuple[str, int]],
        data_centre: str = "a",
        cores: float = 1.0,
        clock: Clock | None = None,
    ) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        identity = Identity(name, 1, *self.address, 0, f"{name}:80", data_centre, cores)
        self.exchange = CountingExchange(clock or SystemClock(), identity, seeds)
        self.heard: list[Peer] = []
        self.confirmed: list[tuple[int, float]] = []
        hooks = Hooks(
            state=lambda: STATEMENT,
            heard=self.heard.append,
            settled=lambda: None,
            lost=lambda peer: None,
            freshness=lambda: 0.2,
            confirmed=lambda version, at: self.confirmed.append((version, at)),
        )
        own = stack.enter_context(ExitStack())
        self.exchange.start(hooks, own)
        self.end = own.close


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as opened:
        yield opened


wait_until = partial(harness.wait_until, timeout=5.0)


def test_whoever_is_not_heard_gets_whole_reports(stack: ExitStack) -> None:
    """Guards against two daemons that never hear of each other.

    Short reports do not name their sender; when only these reached a daemon that had
    just started, both took each other for dead and took each other's batch jobs.
    """
    silent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stack.callback(silent.close)
    silent.bind(("127.0.0.1", 0))
    silent.settimeout(5.0)
    Node(stack, "a", [silent.getsockname()])
    for _ in range(6):
        datagram = decode(silent.recv(65536))
        assert datagram is not None and datagram.bundle is not None
        assert datagram.bundle.reports
        for report in datagram.bundle.reports:
            assert report.identity is not None


def test_daemon_that_restarts_with_its_clock_set_back_is_heard(stack: ExitStack) -> None:
    """Guards against reports that are taken for old ones because incarnations are times of day."""
    node = Node(stack, "a", [])
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stack.callback(sender.close)

    def report(incarnation: int) -> None:
        identity = Identity("b", incarnation, *sender.getsockname(), 0, "b:80", "a")
        report = ReportWriter(identity).write(STATEMENT, 0.0, whole=True)
        sender.sendto(encode_bundle("b", Spread.NOWHERE, [report]), node.address)

    sender.bind(("127.0.0.1", 0))
    report(500)
    wait_until(lambda: node.heard)
    # What an ended process sent may still be on its way.
    report(400)
    time.sleep(1.2)
    assert [peer.identity.incarnation for peer in node.heard] == [500]
    report(400)
    wait_until(lambda: len(node.heard) == 2)
    assert node.exchange.peers[0].identity.incarnation == 400


def test_daemons_find_each_other_through_one_seed(stack: ExitStack) -> None:
    first = Node(stack, "a", [])
    others = [Node(stack, name, [first.address]) for name in ("b", "c", "d")]
    for node in [first, *others]:
        wait_until(lambda n=node: len(n.exchange.live) == 3)
    assert {peer.identity.vm for peer in others[0].exchange.live} == {"a", "c", "d"}


def test_freshness_is_counted_from_before_the_question(stack: ExitStack) -> None:
    first = Node(stack, "a", [])
    second = Node(stack, "b", [first.address])
    wait_until(lambda: second.exchange.live)
    asked_at = SystemClock().now()
    second.exchange.ask_freshness()
    wait_until(lambda: second.confirmed)
    version, at = second.confirmed[0]
    assert version == 3 and at <= asked_at - 0.15


class JumpingClock(SystemClock):
    """A clock that jumps ahead, as after a time in which the process did not run."""

    def __init__(self) -> None:
        self.skipped = 0.0

    def now(self) -> float:
        return super().now() + self.skipped


def test_daemon_that_stalled_does_not_take_its_peers_for_late(stack: ExitStack) -> None:
    """Guards against a daemon that thinks itself alone when it goes on after a stall."""
    clock = JumpingClock()
    first = Node(stack, "a", [], clock=clock)
    second = Node(stack, "b", [first.address])
    wait_until(lambda: first.exchange.live and second.exchange.live)
    end = time.monotonic() + 1.0
    clock.skipped = 5.0
    while time.monotonic() < end:
        assert first.exchange.live
    second.end()
    wait_until(lambda: not first.exchange.live, timeout=2.0)


class RelayedFleet:
    """Daemons of two data centres, the first of each on the strongest VM."""

    def __init__(self, stack: ExitStack) -> None:
        self.nodes: dict[str, Node] = {}
        for number in range(MIN_RELAYED_FLEET_SIZE + 4):
            place, rank = "ab"[number % 2], number // 2
            seeds = [node.address for node in list(self.nodes.values())[:2]]
            name = f"{place}{rank}"
            self.nodes[name] = Node(stack, name, seeds, place, cores=2.0 if rank < 2 else 1.0)
        for name in self.nodes:
            self.wait_heard(name)

    def wait_heard(self, name: str) -> None:
        """Wait until all others hear a daemon."""
        others = [node for other, node in self.nodes.items() if other != name]
        wait_until(lambda: all(name in _find_live(node) for node in others), timeout=10.0)

    def end(self, name: str) -> None:
        self.nodes.pop(name).end()


def _find_live(node: Node) -> set[str]:
    return {peer.identity.vm for peer in node.exchange.live}


@pytest.fixture
def fleet(stack: ExitStack) -> RelayedFleet:
    return RelayedFleet(stack)


def test_reports_of_a_large_fleet_cost_one_datagram_each(fleet: RelayedFleet) -> None:
    """Guards against datagrams that grow with the square of the fleet."""
    for node in fleet.nodes.values():
        node.exchange.set_known([other.address for other in fleet.nodes.values()])
    wait_until(lambda: all(node.exchange._relay_in_use for node in fleet.nodes.values()))
    before = {name: node.exchange.sent for name, node in fleet.nodes.items()}
    time.sleep(2.0)
    sent = {name: node.exchange.sent - before[name] for name, node in fleet.nodes.items()}
    # Four reports a second, and one for each change, of which there are none.
    assert all(count <= 12 for name, count in sent.items() if name not in ("a0", "b0")), sent
    assert sent["a0"] > 20 and sent["b0"] > 20
    for name in fleet.nodes:
        fleet.wait_heard(name)


def test_lost_relay_is_replaced_before_anyone_is_late(fleet: RelayedFleet) -> None:
    """Guards against a fleet that goes blind with one VM."""
    fleet.end("a0")
    end = time.monotonic() + 3.0
    while time.monotonic() < end:
        for node in fleet.nodes.values():
            assert _find_live(node) >= set(fleet.nodes) - {node.exchange.identity.vm}
        time.sleep(0.05)


def test_relay_that_does_not_hear_a_daemon_is_not_used_by_it(fleet: RelayedFleet) -> None:
    """Guards against reports that are lost in a cut of one direction, while answers come."""
    cut = fleet.nodes["a5"]
    cut.exchange.cut.add(fleet.nodes["a0"].address)
    wait_until(lambda: cut.exchange._relay_in_use == "a1")
    fleet.wait_heard("a5")
    cut.exchange.cut.clear()
    wait_until(lambda: cut.exchange._relay_in_use == "a0")


def test_relays_are_the_strongest_that_stay_and_the_same_for_all() -> None:
    candidates = [
        RelayCandidate("x", 0.5),
        RelayCandidate("y", 2.0),
        RelayCandidate("b", 2.0),
        RelayCandidate("a", 4.0, leaving=True),
    ]
    assert rank_relays(candidates) == rank_relays(reversed(candidates)) == ["b", "y", "x", "a"]


def test_relay_without_echoes_is_left_and_tried_again() -> None:
    choice = RelaySelector()
    ranked = ["first", "second"]
    assert choice.choose(ranked, 10.0) == ["first"]
    choice.record_sent("first", 10.0)
    assert choice.choose(ranked, 10.15) == ["first"]
    assert choice.choose(ranked, 10.25) == ["first", "second"]
    assert choice.choose(ranked, 11.0) == ["second"]
    assert choice.choose(ranked, 12.5) == ["first", "second"]
    assert choice.record_echo("first")
    assert choice.choose(ranked, 12.6) == ["first"]
    choice.record_sent("first", 20.0)
    choice.record_sent("second", 20.0)
    assert choice.choose(ranked, 30.0)


def test_far_relay_is_the_one_that_was_heard() -> None:
    """Guards against reports that go to a lost relay until all take it for late."""
    relays = RemoteRelays()
    assert relays.choose("b", ["b0", "b1", "b2"], 10.0) == ["b0", "b1"]
    relays.record("b", "b1", 10.0)
    assert relays.choose("b", ["b0", "b1"], 10.1) == ["b1"]
    assert relays.choose("b", ["b0", "b1"], 10.4) == ["b0", "b1"]
    assert relays.choose("b", ["b0"], 10.1) == ["b0"]


def test_bundles_fit_in_a_datagram_and_lose_no_report() -> None:
    """Guards against a relay that falls behind, and against datagrams that cannot be sent."""
    accounts = {f"account-{number}": Use(10**6, 10.0) for number in range(80)}
    outcomes = {f"i-{number:010x}": Outcomes(10**4, 10**3) for number in range(45)}
    statement = STATEMENT._replace(uses=accounts, outcomes=outcomes)
    writer = ReportWriter(Identity("edge-cymru-a-12", 10**12, "10.0.0.1", 7, 7, "x:1", "a"))
    whole = [writer.write(statement, 0.0, whole=True) for _ in range(40)]
    short = [writer.write(statement, 0.0, whole=False) for _ in range(400)]
    bundles = list(split_into_bundles([*whole, *short]))
    assert [report for bundle in bundles for report in bundle] == [*whole, *short]
    assert len(bundles) <= 5
    assert all(len(encode_bundle("vm", Spread.FLEET, bundle)) < 65_000 for bundle in bundles)
    assert list(split_into_bundles([])) == []
