"""Guards against addresses and reports of other writers that cut a daemon off from its peers."""

import random
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from typing import Any

import harness
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_exchange import STATEMENT, Node
from test_feeds import Daemon
from trefoilreach._internal.coordination.exchange.report_exchange import KnownDaemon
from trefoilreach._internal.coordination.exchange.reports import (
    Identity,
    ReportBuilder,
    check_report,
    encode,
    encode_bundle,
    parse_identity,
    parse_statement,
)
from trefoilreach._internal.protocol.gen.fleet.ttypes import (
    AccountUse,
    AnsweredPart,
    BlockedPart,
    Crash,
    Datagram,
    FreshnessQuery,
    FreshnessReply,
    Hello,
    JobProgress,
    Peers,
    Report,
    Spread,
    Waiter,
    WorkerOutcomes,
    WorkerRuns,
)
from trefoilreach._internal.state.rows import RowKey, StoredRow

GOOD_MEMBER = {"host": "10.0.0.2", "port": 7, "data_centre": "x", "cores": 1.0}
ODD_MEMBERS: list[dict[str, Any]] = [
    {"port": 65536},
    {"port": 0},
    {"port": -1},
    {"port": True},
    {"port": 7.0},
    {"port": 10**18},
    {"host": "localhost"},
    {"host": "a\0"},
    {"host": "x" * 300},
    {"host": ""},
    {"host": "0.0.0.0"},
    {"host": 167772162},
    {"data_centre": None},
    {"data_centre": "x" * 201},
    {"data_centre": "a\n"},
    {"cores": "1"},
    {"cores": True},
    {"cores": -1.0},
    {"cores": 1e308},
    {"cores": None},
]


def make_member_row(name: str, **changes: Any) -> StoredRow:
    return StoredRow(RowKey("members", "", name), orjson.dumps({**GOOD_MEMBER, **changes}), 1)


@pytest.mark.parametrize("changes", ODD_MEMBERS)
def test_odd_address_of_a_daemon_is_not_contacted(changes: dict[str, Any]) -> None:
    daemon = Daemon()
    daemon.feeds._replace_members([make_member_row("b", **changes), make_member_row("c")], False)
    assert set(daemon.feeds._members) == {"c"}
    # A good row that becomes odd names no daemon either.
    daemon.feeds._change_members([make_member_row("c", **changes)])
    assert set(daemon.feeds._members) == set()


@given(
    st.dictionaries(
        st.sampled_from(list(GOOD_MEMBER)),
        st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    )
)
def test_only_usable_addresses_of_daemons_are_known_fuzz(changes: dict[str, Any]) -> None:
    daemon = Daemon()
    daemon.feeds._change_members([make_member_row("b", **changes)])
    for member in daemon.feeds._members.values():
        socket.inet_aton(member.address[0])
        assert 0 < member.address[1] < 65536 and 0 <= member.cores < 2**31


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as opened:
        yield opened


@pytest.mark.parametrize(
    "address", [("127.0.0.1", 70000), ("127.0.0.1", -1), ("a\0", 7), ("127.0.0.1", None)]
)
def test_unusable_address_does_not_stop_the_reports_to_others(
    stack: ExitStack, address: Any
) -> None:
    """Guards against daemons that never learn of each other because of one address."""
    first = Node(stack, "a", [])
    second = Node(stack, "b", [])
    # The address with more cores is contacted first.
    known = [KnownDaemon(address, "a", 9.0), KnownDaemon(first.address, "a", 1.0)]
    second.exchange.set_known_daemons(known)
    harness.wait_until(lambda: first.exchange.live_peers and second.exchange.live_peers, 5.0)


def build_report(name: str = "b") -> Report:
    identity = Identity(name, 500, "127.0.0.1", 9, 9, "10.0.0.1:80", "a")
    return ReportBuilder(identity).build(STATEMENT, 0.0, full=True)


def change_report(**fields: Any) -> Callable[[Report], None]:
    def change(report: Report) -> None:
        for name, value in fields.items():
            setattr(report, name, value)

    return change


def change_identity(**fields: Any) -> Callable[[Report], None]:
    def change(report: Report) -> None:
        for name, value in fields.items():
            setattr(report.identity, name, value)

    return change


ODD_REPORTS = [
    change_report(vm=None),
    change_report(vm=""),
    change_report(sequence=None),
    change_report(incarnation=None),
    change_identity(host="a\0"),
    change_identity(host="localhost"),
    change_identity(host=None),
    change_identity(port=70000),
    change_identity(port=None),
    change_identity(control_port=-1),
    change_identity(front="x"),
    change_identity(front="10.0.0.1:70000"),
    change_identity(data_centre=None),
    change_identity(uptime_ms=-1),
    change_identity(millicores=-1),
    change_identity(millicores=None),
    change_report(runs=[WorkerRuns("w", None, 1)]),
    change_report(runs=[WorkerRuns(None, 1, 1)]),
    change_report(runs=[WorkerRuns("w", -1, 1)]),
    change_report(waiters=[Waiter("s", None, 1)]),
    change_report(waiters=[Waiter("s", 1, None)]),
    change_report(accounts=[AccountUse("a", 1, float("nan"))]),
    change_report(accounts=[AccountUse("a", 1, float("inf"))]),
    change_report(accounts=[AccountUse("a", None, 1.0)]),
    change_report(jobs=[JobProgress("j", None)]),
    change_report(crashes=[Crash(None, "w")]),
    change_report(outcomes=[WorkerOutcomes("w", None, 1)]),
    change_report(answered_parts=[AnsweredPart("p", None)]),
    change_report(blocked_parts=[BlockedPart("p", 1, None)]),
    change_report(blocked_parts=[BlockedPart("p", 1, -1)]),
]


@pytest.mark.parametrize("change", ODD_REPORTS)
def test_odd_report_does_not_hide_those_beside_it(
    stack: ExitStack, change: Callable[[Report], None]
) -> None:
    node = Node(stack, "a", [])
    odd, sound = build_report("odd"), build_report("sound")
    change(odd)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(encode_bundle("b", Spread.FLEET, [odd, sound]), node.address)
        harness.wait_until(lambda: node.received, 5.0)
    assert [peer.identity.vm for peer in node.received] == ["sound"]
    assert [report.vm for report in node.exchange._outbox.take().local] in ([], ["sound"])


ODD_DATAGRAMS = [
    Datagram(),
    Datagram(hello=Hello("a\0", 7)),
    Datagram(hello=Hello("127.0.0.1", 70000)),
    Datagram(hello=Hello(None, None)),
    Datagram(query=FreshnessQuery(1, "127.0.0.1", 70000)),
    Datagram(query=FreshnessQuery(None, None, None)),
    Datagram(reply=FreshnessReply(1, 1, None)),
    Datagram(peers=Peers(["", ":", "a:1", "127.0.0.1:70000", "127.0.0.1:\u0664"])),
    Datagram(peers=Peers(None)),
]


def test_receiver_survives_any_datagram(stack: ExitStack) -> None:
    node = Node(stack, "a", [])
    chosen = random.Random(5)
    data = [encode(datagram) for datagram in ODD_DATAGRAMS]
    data += [encode_bundle(None, None, None), encode_bundle("b", 9, [])]  # type: ignore[arg-type]
    data += [b"", b"\xfc" * 60_000, b"\xf9" + b"\x19" * 60_000]
    data += [chosen.randbytes(chosen.randrange(200)) for _ in range(200)]
    whole = encode_bundle("b", Spread.FLEET, [build_report()])
    for _ in range(200):
        spoilt = bytearray(whole)
        spoilt[chosen.randrange(len(spoilt))] = chosen.randrange(256)
        data.append(bytes(spoilt[: chosen.randrange(1, len(spoilt) + 1)]))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for entry in data:
            sender.sendto(entry, node.address)
            time.sleep(0.0005)
        sender.sendto(encode_bundle("z", Spread.NOWHERE, [build_report("z")]), node.address)
        harness.wait_until(lambda: any(p.identity.vm == "z" for p in node.received), 5.0)
    for host, port in node.exchange._known:
        socket.inet_aton(host)
        assert 0 < port < 65536


def test_reply_with_a_negative_age_confirms_nothing(stack: ExitStack) -> None:
    """Guards against a state that counts as confirmed for a time to come."""
    node = Node(stack, "a", [])
    node.exchange._pending_queries[5] = 1.0
    for age in (-1000, None):
        with pytest.raises(ValueError, match="whole number"):
            node.exchange._handle(Datagram(reply=FreshnessReply(5, 1, age)))
    assert node.confirmed == []


def test_every_report_of_a_daemon_is_sound() -> None:
    report = build_report()
    check_report(report)
    assert parse_identity(report) is not None
    assert parse_statement(report, 1.0).config_version == STATEMENT.config_version
