"""Guards the exchange of reports between daemons, over datagrams on loopback."""

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.exchange.exchange import Exchange, Hooks, Peer
from trefoilreach._internal.coordination.exchange.reports import (
    Identity,
    ReportWriter,
    Statement,
    decode,
)

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


class Node:
    """One exchange that notes what it hears."""

    def __init__(self, stack: ExitStack, name: str, seeds: list[tuple[str, int]]) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        identity = Identity(name, 1, *self.address, 0, f"{name}:80", "a")
        self.exchange = Exchange(SystemClock(), identity, seeds)
        self.heard: list[Peer] = []
        self.confirmed: list[tuple[int, float]] = []
        hooks = Hooks(
            state=lambda: STATEMENT,
            heard=lambda peer, new: self.heard.append(peer),
            lost=lambda peer: None,
            freshness=lambda: 0.2,
            confirmed=lambda version, at: self.confirmed.append((version, at)),
        )
        self.exchange.start(hooks, stack)


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as opened:
        yield opened


def wait_until(check: Callable[[], object], limit: float = 5.0) -> None:
    end = time.monotonic() + limit
    while not check():
        assert time.monotonic() < end
        time.sleep(0.01)


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
        assert datagram is not None and datagram.report is not None
        assert datagram.report.identity is not None


def test_daemon_that_restarts_with_its_clock_set_back_is_heard(stack: ExitStack) -> None:
    """Guards against reports that are taken for old ones because incarnations are times of day."""
    node = Node(stack, "a", [])
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stack.callback(sender.close)

    def report(incarnation: int) -> None:
        identity = Identity("b", incarnation, *sender.getsockname(), 0, "b:80", "a")
        data = ReportWriter(identity).encode(STATEMENT, 0.0, whole=True)
        sender.sendto(data, node.address)

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
