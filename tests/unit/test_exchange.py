"""Tests the exchange of reports between daemons, over datagrams on loopback."""

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from functools import partial

import harness
import pytest
from exchange_simulation import SimulatedExchanges
from trefoilreach._internal.clock import Clock, SystemClock
from trefoilreach._internal.coordination.exchange import report_exchange as exchange_module
from trefoilreach._internal.coordination.exchange.relays import (
    MIN_RELAYED_FLEET_SIZE,
    RelayCandidate,
    RelaySelector,
    RemoteRelays,
    StandbyOutbox,
    rank_relays,
    split_into_bundles,
)
from trefoilreach._internal.coordination.exchange.report_exchange import (
    ExchangeCallbacks,
    KnownDaemon,
    Peer,
    ReportExchange,
)
from trefoilreach._internal.coordination.exchange.reports import (
    DaemonState,
    Identity,
    ReportBuilder,
    decode,
    encode_bundle,
)
from trefoilreach._internal.coordination.quota.fleet_buckets import AccountUsage
from trefoilreach._internal.coordination.serving.outcomes import OutcomeCounts
from trefoilreach._internal.protocol.gen.fleet.ttypes import Spread

STATEMENT = DaemonState(
    accepting=True,
    leaving=False,
    config_version=3,
    uptime=1.0,
    store_silent_seconds=0.1,
    runs={},
    waiting={},
    account_uses={},
    job_result_counts={},
    suspects=(),
    crashes=(),
    outcomes={},
)


class CountingExchange(ReportExchange):
    """An exchange that keeps its datagrams and loses those to the addresses in ``blocked``."""

    def __init__(self, clock: Clock, identity: Identity, seeds: list[tuple[str, int]]) -> None:
        super().__init__(clock, identity, seeds)
        self.sent = 0
        self.datagrams: list[tuple[tuple[str, int], bytes]] = []
        self.blocked: set[tuple[str, int]] = set()

    def _send_to(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent += 1
        self.datagrams.append((address, data))
        if address not in self.blocked:
            super()._send_to(data, address)


class Node:
    """An exchange with a record of the reports and confirmed versions that it received.

    :ivar close: closes the exchange.
    """

    def __init__(
        self,
        stack: ExitStack,
        name: str,
        seeds: list[tuple[str, int]],
        data_centre: str = "a",
        cores: float = 1.0,
        clock: Clock | None = None,
        active: bool = True,
    ) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        identity = Identity(name, 1, *self.address, 0, "10.0.0.1:80", data_centre, cores)
        self.exchange = CountingExchange(clock or SystemClock(), identity, seeds)
        self.exchange.set_active(active)
        self.received: list[Peer] = []
        self.confirmed: list[tuple[int, float]] = []
        hooks = ExchangeCallbacks(
            get_state=lambda: STATEMENT._replace(active=self.exchange.active),
            on_report=self.received.append,
            on_datagram_applied=lambda: None,
            on_peer_lost=lambda peer: None,
            get_state_age=lambda: 0.2,
            on_version_confirmed=lambda version, at: self.confirmed.append((version, at)),
        )
        own_stack = stack.enter_context(ExitStack())
        self.exchange.start(hooks, own_stack)
        self.close = own_stack.close


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as opened:
        yield opened


# One full report may be missing, and another one wait for the relay's next bundle. A standby daemon
# takes a peer for late after 3 s.
MAX_SILENCE_SECONDS = 2.6

wait_until = partial(harness.wait_until, timeout=5.0)


def test_address_that_sends_no_reports_gets_full_reports(stack: ExitStack) -> None:
    """Guards against two daemons that never learn of each other.

    Short reports do not contain the identity of their sender. When only these reached a daemon
    that had just started, each considered the other lost and took its batch jobs over.
    """
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stack.callback(receiver.close)
    receiver.bind(("127.0.0.1", 0))
    receiver.settimeout(5.0)
    Node(stack, "a", [receiver.getsockname()])
    for _ in range(6):
        datagram = decode(receiver.recv(65536))
        assert datagram is not None and datagram.bundle is not None
        assert datagram.bundle.reports
        for report in datagram.bundle.reports:
            assert report.identity is not None


def test_reports_are_accepted_after_a_restart_with_the_clock_set_back(stack: ExitStack) -> None:
    """Guards against the loss of a restarted daemon whose new reports are dropped as old ones.

    Incarnations are times of day, so the new one is smaller when the clock was set back.
    """
    node = Node(stack, "a", [])
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stack.callback(sender.close)

    def send_report(incarnation: int) -> None:
        identity = Identity("b", incarnation, *sender.getsockname(), 0, "10.0.0.1:80", "a")
        report = ReportBuilder(identity).build(STATEMENT, 0.0, full=True)
        sender.sendto(encode_bundle("b", Spread.NOWHERE, [report]), node.address)

    sender.bind(("127.0.0.1", 0))
    send_report(500)
    wait_until(lambda: node.received)
    # It may be a delayed report of an earlier process, so it is dropped while the peer is live.
    send_report(400)
    time.sleep(1.2)
    assert [peer.identity.incarnation for peer in node.received] == [500]
    send_report(400)
    wait_until(lambda: len(node.received) == 2)
    assert node.exchange.peers[0].identity.incarnation == 400


def test_daemons_discover_each_other_through_one_seed(stack: ExitStack) -> None:
    first = Node(stack, "a", [])
    others = [Node(stack, name, [first.address]) for name in ("b", "c", "d")]
    for node in [first, *others]:
        wait_until(lambda n=node: len(n.exchange.live_peers) == 3)
    assert {peer.identity.vm for peer in others[0].exchange.live_peers} == {"a", "c", "d"}


def test_confirmed_version_is_dated_from_before_the_query(stack: ExitStack) -> None:
    first = Node(stack, "a", [])
    second = Node(stack, "b", [first.address])
    wait_until(lambda: second.exchange.live_peers)
    asked_at = SystemClock().now()
    second.exchange.query_newest_version()
    wait_until(lambda: second.confirmed)
    version, at = second.confirmed[0]
    assert version == 3 and at <= asked_at - 0.15


class JumpingClock(SystemClock):
    """A clock that can jump ahead, as after a stall of the process."""

    def __init__(self) -> None:
        self.jump_seconds = 0.0

    def now(self) -> float:
        return super().now() + self.jump_seconds


def test_stall_of_a_daemon_does_not_make_its_peers_late(stack: ExitStack) -> None:
    """Guards against a daemon that considers all peers late when it resumes after a stall."""
    clock = JumpingClock()
    first = Node(stack, "a", [], clock=clock)
    second = Node(stack, "b", [first.address])
    wait_until(lambda: first.exchange.live_peers and second.exchange.live_peers)
    deadline = time.monotonic() + 1.0
    clock.jump_seconds = 5.0
    while time.monotonic() < deadline:
        assert first.exchange.live_peers
    second.close()
    wait_until(lambda: not first.exchange.live_peers, timeout=2.0)


@pytest.mark.parametrize("until", ["late", "gone"])
def test_silent_peer_known_only_by_its_reports_is_contacted(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch, until: str
) -> None:
    """Guards against daemons that never meet again after a cut while the store is down."""
    monkeypatch.setattr(exchange_module, "PEER_GONE_SECONDS", 1.5)
    monkeypatch.setattr(exchange_module, "_LATE_FULL_REPORTS", 0.5)
    first = Node(stack, "first", [])
    second = Node(stack, "second", [first.address])
    wait_until(lambda: first.exchange.live_peers and second.exchange.live_peers)
    first.exchange.blocked.add(second.address)
    second.exchange.blocked.add(first.address)
    wait_until(lambda: first.exchange.late_peers if until == "late" else not first.exchange.peers)
    received_before = len(second.received)
    first.exchange.blocked.clear()
    wait_until(lambda: len(second.received) > received_before)


class RelayedFleet:
    """Daemons of two data centres, the first two of each on the VMs with the most cores.

    :param standby: whether the others stand by.
    """

    def __init__(self, stack: ExitStack, standby: bool = False) -> None:
        self.nodes: dict[str, Node] = {}
        for number in range(MIN_RELAYED_FLEET_SIZE + 4):
            data_centre, rank = "ab"[number % 2], number // 2
            seeds = [node.address for node in list(self.nodes.values())[:2]]
            name = f"{data_centre}{rank}"
            strong = rank < 2
            self.nodes[name] = Node(
                stack,
                name,
                seeds,
                data_centre,
                cores=2.0 if strong else 1.0,
                active=strong or not standby,
            )
        for name in self.nodes:
            self.wait_live(name)

    def wait_live(self, name: str) -> None:
        """Wait until a daemon is live for all others."""
        others = [node for other, node in self.nodes.items() if other != name]
        wait_until(lambda: all(name in _find_live(node) for node in others), timeout=10.0)

    def close(self, name: str) -> None:
        self.nodes.pop(name).close()


def _find_live(node: Node) -> set[str]:
    return {peer.identity.vm for peer in node.exchange.live_peers}


@pytest.fixture
def fleet(stack: ExitStack, monkeypatch: pytest.MonkeyPatch) -> RelayedFleet:
    """Return a fleet with too many active daemons for direct reports."""
    monkeypatch.setattr(exchange_module, "_MAX_DIRECT_ACTIVE_PEERS", 15)
    return RelayedFleet(stack)


def test_report_in_a_large_fleet_costs_its_sender_one_datagram(fleet: RelayedFleet) -> None:
    """Guards against datagrams that grow with the square of the fleet."""
    for node in fleet.nodes.values():
        node.exchange.set_known_daemons(KnownDaemon(n.address) for n in fleet.nodes.values())
    # Until a daemon knows the best relay it relays its own reports, with many datagrams.
    wait_until(lambda: all(n.exchange._relay_in_use in ("a0", "b0") for n in fleet.nodes.values()))
    sent_before = {name: node.exchange.sent for name, node in fleet.nodes.items()}
    time.sleep(2.0)
    sent = {name: node.exchange.sent - sent_before[name] for name, node in fleet.nodes.items()}
    # Four reports a second for two seconds; there are no changes to report.
    assert all(count <= 12 for name, count in sent.items() if name not in ("a0", "b0")), sent
    assert sent["a0"] > 20 and sent["b0"] > 20
    for name in fleet.nodes:
        fleet.wait_live(name)


def test_lost_relay_is_replaced_before_a_peer_is_late(fleet: RelayedFleet) -> None:
    """Guards against a fleet in which all peers become late after the loss of one VM."""
    fleet.close("a0")
    deadline = time.monotonic() + 3.0
    while time.monotonic() < deadline:
        for node in fleet.nodes.values():
            assert _find_live(node) >= set(fleet.nodes) - {node.exchange.identity.vm}
        time.sleep(0.05)


def test_daemon_does_not_use_a_relay_that_loses_its_reports(fleet: RelayedFleet) -> None:
    """Guards against the loss of reports when a network cut blocks only one direction.

    The daemon still receives the datagrams of the relay, but the relay does not receive its own.
    """
    daemon = fleet.nodes["a5"]
    daemon.exchange.blocked.add(fleet.nodes["a0"].address)
    wait_until(lambda: daemon.exchange._relay_in_use == "a1")
    fleet.wait_live("a5")
    daemon.exchange.blocked.clear()
    wait_until(lambda: daemon.exchange._relay_in_use == "a0")


def test_relay_ranking_is_by_leaving_cores_and_name_in_any_input_order() -> None:
    candidates = [
        RelayCandidate("x", 0.5),
        RelayCandidate("y", 2.0),
        RelayCandidate("b", 2.0),
        RelayCandidate("a", 4.0, leaving=True),
    ]
    assert rank_relays(candidates) == rank_relays(reversed(candidates)) == ["b", "y", "x", "a"]


def test_relay_without_echoes_is_replaced_and_tried_again() -> None:
    selector = RelaySelector()
    ranked = ["first", "second"]
    assert selector.choose(ranked, 10.0) == ["first"]
    selector.record_sent("first", 10.0)
    assert selector.choose(ranked, 10.15) == ["first"]
    assert selector.choose(ranked, 10.25) == ["first", "second"]
    assert selector.choose(ranked, 11.0) == ["second"]
    assert selector.choose(ranked, 12.5) == ["first", "second"]
    assert selector.record_echo("first")
    assert selector.choose(ranked, 12.6) == ["first"]
    selector.record_sent("first", 20.0)
    selector.record_sent("second", 20.0)
    assert selector.choose(ranked, 30.0)


def test_remote_relay_is_the_one_that_sent_last() -> None:
    """Guards against reports that are sent to a lost remote relay until it counts as late."""
    relays = RemoteRelays()
    assert relays.choose("b", ["b0", "b1", "b2"], 10.0) == ["b0", "b1"]
    relays.record("b", "b1", 10.0)
    assert relays.choose("b", ["b0", "b1"], 10.1) == ["b1"]
    assert relays.choose("b", ["b0", "b1"], 10.4) == ["b0", "b1"]
    assert relays.choose("b", ["b0"], 10.1) == ["b0"]


def test_bundles_fit_in_a_datagram_and_lose_no_report() -> None:
    """Guards against a growing backlog of a relay, and against datagrams too large to send."""
    accounts = {f"account-{number}": AccountUsage(10**6, 10.0) for number in range(80)}
    outcomes = {f"i-{number:010x}": OutcomeCounts(10**4, 10**3) for number in range(45)}
    statement = STATEMENT._replace(account_uses=accounts, outcomes=outcomes)
    writer = ReportBuilder(Identity("edge-cymru-a-12", 10**12, "10.0.0.1", 7, 7, "x:1", "a"))
    full = [writer.build(statement, 0.0, full=True) for _ in range(40)]
    short = [writer.build(statement, 0.0, full=False) for _ in range(400)]
    bundles = list(split_into_bundles([*full, *short]))
    assert [report for bundle in bundles for report in bundle] == [*full, *short]
    assert len(bundles) <= 5
    assert all(len(encode_bundle("vm", Spread.FLEET, bundle)) < 65_000 for bundle in bundles)
    assert list(split_into_bundles([])) == []


def test_standby_daemons_are_told_of_a_late_active_one_at_once() -> None:
    """Guards against news that wait for the next bundle, and come 2 s late if that is lost."""
    outbox = StandbyOutbox()
    assert outbox.take_due(10.0, []) == []
    assert outbox.take_due(10.1, []) is None
    assert outbox.take_due(10.2, ["b1"]) == []
    assert outbox.take_due(10.3, ["b1"]) is None
    assert outbox.take_due(11.2, ["b1"]) == []
    assert outbox.take_due(11.3, []) is None
    assert outbox.take_due(12.3, []) == []
    assert outbox.take_due(12.4, ["b1"]) == []


@pytest.fixture
def standby_fleet(stack: ExitStack) -> RelayedFleet:
    return RelayedFleet(stack, standby=True)


def test_changes_of_active_daemons_do_not_reach_standby_ones(standby_fleet: RelayedFleet) -> None:
    """Guards against a daemon without callers that reads every change of all others.

    With 195 daemons, nearly all of their processor time went into reading each other's reports.
    """
    nodes = standby_fleet.nodes
    # Until a daemon knows the best relay, reports take several ways.
    wait_until(lambda: all(n.exchange._relay_in_use in ("a0", "b0") for n in nodes.values()))
    before = {name: len(node.received) for name, node in nodes.items()}
    for _ in range(100):
        for name in ("a0", "a1", "b0", "b1"):
            nodes[name].exchange.request_report()
        time.sleep(0.02)
    received = {name: len(node.received) - before[name] for name, node in nodes.items()}
    # Each of the 20 daemons sends one full report a second.
    standby = {name: count for name, count in received.items() if int(name[1:]) >= 2}
    assert all(10 <= count <= 60 for count in standby.values()), received
    assert all(received[name] >= 100 for name in ("a0", "a1", "b0", "b1")), received


def test_standby_daemon_learns_of_a_lost_active_one_from_its_relay(
    standby_fleet: RelayedFleet,
) -> None:
    """Guards against callers that a standby daemon sends to a lost one for many seconds.

    By its own timeout for full reports, it would take 3 s.
    """
    closed_at = time.monotonic()
    standby_fleet.close("b1")
    observers = [node for name, node in standby_fleet.nodes.items() if int(name[1:]) >= 2]
    wait_until(lambda: all("b1" not in _find_live(node) for node in observers), timeout=2.5)
    assert time.monotonic() - closed_at < 2.5
    for node in observers:
        assert _find_live(node) >= {"a0", "a1", "b0"} - {node.exchange.identity.vm}


def test_standby_daemons_survive_the_loss_of_their_relay(standby_fleet: RelayedFleet) -> None:
    """Guards against standby daemons that lose sight of the fleet together with their relay."""
    standby_fleet.close("a0")
    others = {name: node for name, node in standby_fleet.nodes.items() if name[0] == "a"}
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        for name, node in others.items():
            assert _find_live(node) >= {"a1", "b0", "b1"} - {name}
        time.sleep(0.05)
    for name, node in standby_fleet.nodes.items():
        wait_until(lambda n=node, own=name: _find_live(n) == set(standby_fleet.nodes) - {own})


@pytest.mark.parametrize(("seed", "lost_at"), [(0, 8.53), (26, 8.24), (34, 7.59)])
def test_loss_of_a_relay_loses_few_full_reports(
    stack: ExitStack, seed: int, lost_at: float
) -> None:
    """Guards against standby daemons that take an active one for late after the loss of its relay.

    The relay had echoed the last full report of an active daemon, but had not yet sent it to the
    standby ones. The next one was sent to the lost relay only, and the one after it came 3 s after
    the last report that had arrived. The simulated clock shows the silence whatever the load of the
    machine.
    """
    fleet = SimulatedExchanges(stack, STATEMENT, seed)
    for number in range(MIN_RELAYED_FLEET_SIZE + 4):
        data_centre, rank = "ab"[number % 2], number // 2
        strong = rank < 2
        fleet.add(f"{data_centre}{rank}", data_centre, 2.0 if strong else 1.0, strong)
    fleet.run(lost_at)
    fleet.close("a0")
    silences: list[float] = []

    def note_silences() -> None:
        now = fleet.clock.now()
        for node in fleet.nodes.values():
            silences.extend(
                now - peer.last_report_at
                for peer in node.peers
                if not node.active and peer.identity.vm in ("a1", "b0", "b1")
            )

    fleet.run(5.0, note_silences)
    assert max(silences) < MAX_SILENCE_SECONDS


def test_daemon_that_becomes_active_reads_every_change(standby_fleet: RelayedFleet) -> None:
    node = standby_fleet.nodes["a5"]
    node.exchange.set_active(True)
    wait_until(
        lambda: (
            "a5" in {peer.identity.vm for peer in standby_fleet.nodes["b0"].exchange.active_peers}
        )
    )
    time.sleep(0.5)
    before = len(node.received)
    time.sleep(2.0)
    # Four active peers send four reports a second each.
    assert len(node.received) - before >= 2 * 4 * 4


def test_few_active_daemons_report_to_each_other_without_a_relay(
    standby_fleet: RelayedFleet,
) -> None:
    """Guards against batch items preempted because a taken slot is heard of after 50 ms."""
    exchange = standby_fleet.nodes["a1"].exchange
    peers = {standby_fleet.nodes[name].address for name in ("a0", "b0", "b1")}
    wait_until(lambda: len(exchange.active_peers) == len(peers))
    exchange.datagrams.clear()

    def find_short_reports() -> dict[int, set[tuple[str, int]]]:
        """Return the addresses that each short report was sent to, by its number."""
        found: dict[int, set[tuple[str, int]]] = {}
        for address, data in list(exchange.datagrams):
            datagram = decode(data)
            bundle = None if datagram is None else datagram.bundle
            for report in () if bundle is None else bundle.reports:
                if report.identity is None:
                    assert bundle is not None and bundle.spread == Spread.NOWHERE
                    found.setdefault(report.sequence, set()).add(address)
        return found

    wait_until(lambda: peers in find_short_reports().values(), timeout=10.0)
    assert all(addresses <= peers for addresses in find_short_reports().values())


def test_age_of_a_newer_version_does_not_confirm_an_older_one(stack: ExitStack) -> None:
    """Guards against a withdrawn key that stays in use because its version is confirmed falsely.

    The peer adopts a newer version between the reads of the version and of its age.
    """
    first = Node(stack, "a", [])
    second = Node(stack, "b", [first.address])
    wait_until(lambda: second.exchange.live_peers and first.exchange.live_peers)
    hooks = first.exchange._hooks
    assert hooks is not None
    versions = iter([3, 4])
    first.exchange._hooks = hooks._replace(
        get_state=lambda: STATEMENT._replace(config_version=next(versions, 4)),
        get_state_age=lambda: 0.0,
    )
    second.exchange.query_newest_version()
    time.sleep(0.3)
    assert all(version == 4 for version, _ in second.confirmed)
