"""Guards against daemons with diverging member lists, or that route work to dead VMs."""

import threading
from contextlib import ExitStack
from typing import Any

import pytest
from harness import free_port, free_ports, wait_until
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from trefoilreach._internal.clock import ManualClock, SystemClock
from trefoilreach._internal.coordination.membership.entrypoints import EntryPoints
from trefoilreach._internal.coordination.membership.member_table import MAX_UPDATES
from trefoilreach._internal.coordination.membership.member_wire import to_update
from trefoilreach._internal.coordination.membership.membership import Membership
from trefoilreach._internal.coordination.membership.peers import (
    LEAVING,
    LIVE,
    SUSPECT,
    UNREACHABLE,
    Member,
    PeerState,
)
from trefoilreach._internal.protocol.gen.peer.ttypes import ProbeRequest
from trefoilreach._internal.settings import DaemonSettings, FleetSettings
from trefoilreach._internal.state.vms import MemoryVmList, Vm
from trefoilreach._internal.transport.peer_client import PeerClient
from trefoilreach._internal.transport.peer_handler import PeerHandlers
from trefoilreach._internal.transport.peer_server import PeerServer

STATES = st.sampled_from([LIVE, LEAVING, SUSPECT, UNREACHABLE])


def make_member(
    vm: str, incarnation: int = 1, state: str = LIVE, data_centre: str = "dc1"
) -> Member:
    return Member(vm, "127.0.0.1", 1, 2, data_centre, data_centre[:2], incarnation, state)


def make_membership(clock: Any = None, name: str = "me") -> Membership:
    return Membership(clock or ManualClock(), DaemonSettings(name), FleetSettings(), MemoryVmList())


def deliver_updates(membership: Membership, *members: Member, sender: str = "sender") -> Any:
    updates = [to_update(member) for member in members]
    return membership.answer_probe(ProbeRequest(to_update(make_member(sender)), 0, 0, updates))


def list_vms(membership: Membership, *names: str, leaving: str = "") -> None:
    vms = [
        Vm(name, "127.0.0.1", "dc1", "dc", "leaving" if name == leaving else "live", 1, 2)
        for name in names
    ]
    membership._vm_list.replace(vms)
    membership.poll_vm_list()


@given(
    news=st.lists(
        st.builds(make_member, st.sampled_from("abc"), st.integers(1, 4), STATES), max_size=12
    ),
    seed=st.randoms(),
)
def test_fuzz_update_order_does_not_matter(news: list[Member], seed: Any) -> None:
    """Guards against daemons that diverge because updates arrived in a different order."""
    views = []
    for _ in range(2):
        membership = make_membership()
        seed.shuffle(news)
        for member in news:
            deliver_updates(membership, member)
        views.append(sorted(membership.members()))
    assert views[0] == views[1]


@given(incarnation=st.integers(0, 5), ahead=st.integers(-2, 3), state=STATES)
def test_suspected_daemon_refutes(incarnation: int, ahead: int, state: str) -> None:
    """Guards against a live daemon that peers leave out of the entry points.

    It must answer a false claim about itself with a higher incarnation.
    """
    membership = make_membership()
    before = membership.own_member
    claim = before._replace(incarnation=before.incarnation + ahead, state=state)
    deliver_updates(membership, claim)
    after = membership.own_member
    assert after.state == LIVE
    if ahead > 0 or (ahead == 0 and state != LIVE):
        assert after.incarnation > claim.incarnation
    else:
        assert after == before


def test_suspect_is_notified_and_becomes_unreachable_after_timeout() -> None:
    clock = ManualClock()
    membership = make_membership(clock)
    reply = deliver_updates(membership, make_member("sender", 1, SUSPECT))
    assert [update.vm for update in reply.updates] == ["sender"]
    clock.advance(2.9)
    membership._prober._expire_suspicions()
    assert membership.members()[0].state == SUSPECT
    clock.advance(0.2)
    membership._prober._expire_suspicions()
    assert membership.members()[0].state == UNREACHABLE
    deliver_updates(membership, make_member("sender", 2))
    assert membership.members()[0].state == LIVE


def test_only_the_platform_list_removes_a_vm() -> None:
    """Guards against late gossip that restores a VM which the platform removed."""
    membership = make_membership()
    list_vms(membership, "me", "a", "b")
    deliver_updates(membership, make_member("a", 7, UNREACHABLE), make_member("new"))
    assert {member.vm for member in membership.members()} == {"a", "b", "new", "sender"}
    list_vms(membership, "me", "b", "sender", "new", leaving="b")
    deliver_updates(membership, make_member("a", 8))
    states = {member.vm: member.state for member in membership.members()}
    assert states == {"b": LEAVING, "new": LIVE, "sender": LIVE}
    list_vms(membership, "me", "a", "b", "sender", "new")
    assert "a" in {member.vm for member in membership.members()}


def test_message_size_is_bounded_and_gossip_ends() -> None:
    membership = make_membership()
    deliver_updates(membership, *(make_member(f"vm{number}") for number in range(300)))
    sizes = [len(deliver_updates(membership).updates) for _ in range(2000)]
    assert max(sizes) == MAX_UPDATES
    assert sizes[-1] == 0


def test_entry_points_are_usable_and_sorted_by_distance() -> None:
    membership = make_membership()
    deliver_updates(
        membership,
        *(make_member(f"far{number}", data_centre="xx9") for number in range(40)),
        *(make_member(f"near{number}", data_centre="default") for number in range(30)),
        make_member("gone", 1, UNREACHABLE, "default"),
        make_member("stops", 1, LEAVING, "default"),
    )
    chosen = EntryPoints(membership).choose()
    places = [entry.data_centre for entry in chosen]
    assert places[:24] == ["default"] * 24
    assert len(places) == 32 and "default" not in places[24:]
    assert not {"gone", "stops"} & {entry.vm for entry in chosen}
    assert EntryPoints(membership).choose("xx9")[0].data_centre == "xx9"


class StallingHandlers:
    """Server handlers that leave the next ``silent_calls`` calls unanswered."""

    def __init__(self) -> None:
        self.silent_calls = 0
        self.release = threading.Event()
        self.served = 0

    def answer(self, worker: str, count: int) -> int:
        self.served += 1
        if self.silent_calls:
            self.silent_calls -= 1
            self.release.wait(10)
        return 0


@pytest.mark.parametrize(("silent_calls", "expected"), [(0, Ok), (1, Ok), (2, Err)])
def test_unresponsive_connection_is_replaced_once(silent_calls: int, expected: Any) -> None:
    """Guards against a dead kept connection that makes a reachable peer look unreachable."""
    stalling = StallingHandlers()
    handlers = PeerHandlers(
        **{**dict.fromkeys(PeerHandlers._fields), "online_started": stalling.answer}
    )
    port = free_port()
    with ExitStack() as stack:
        server = PeerServer(handlers, "127.0.0.1", port)
        stack.callback(server.close)
        stack.callback(stalling.release.set)
        server.start()
        client = PeerClient("127.0.0.1", port, SystemClock())
        stack.callback(client.close)
        assert isinstance(client.call(lambda peer: peer.online_started("w", 1), 1.0), Ok)
        stalling.silent_calls = silent_calls
        outcome = client.call(lambda peer: peer.online_started("w", 1), 1.0)
        assert isinstance(outcome, expected)
        assert stalling.served == 2 + min(silent_calls, 1)


def test_peer_is_suspected_only_when_helpers_cannot_reach_it() -> None:
    """Guards against a VM taken out of service by one broken path between two daemons."""
    nodes: dict[str, Membership] = {}
    ports = free_ports(3)
    vms = [Vm(f"n{number}", "127.0.0.1", "d", "r", "live", 1, ports[number]) for number in range(3)]
    with ExitStack() as stack:
        for vm in vms:
            settings = DaemonSettings(vm.name, vm.host, 1, vm.peer_port)
            node = Membership(SystemClock(), settings, FleetSettings(), MemoryVmList())
            node.set_state_handlers(lambda: PeerState(0, 0), lambda name, state: None)
            node._vm_list.replace(vms)
            node.poll_vm_list()
            handlers = PeerHandlers(
                **{
                    **dict.fromkeys(PeerHandlers._fields),
                    "probe": node.answer_probe,
                    "probe_via": node.answer_probe_via,
                }
            )
            server = PeerServer(handlers, vm.host, vm.peer_port)
            server.start()
            stack.callback(server.close)
            stack.callback(node._close)
            nodes[vm.name] = node
        direct = nodes["n0"]._prober._send_probe
        broken = ("127.0.0.1", vms[2].peer_port)
        nodes["n0"]._prober._send_probe = lambda address, receiver: (  # type: ignore[method-assign]
            Err("cut") if address == broken else direct(address, receiver)
        )
        nodes["n0"]._prober._probe_member("n2")
        assert {member.vm: member.state for member in nodes["n0"].members()}["n2"] == LIVE
        nodes["n1"].answer_probe_via = lambda host, port: False  # type: ignore[method-assign]
        server.close()
        nodes["n0"]._prober._probe_member("n2")
        wait_until(lambda: {m.vm: m.state for m in nodes["n0"].members()}["n2"] == SUSPECT, 2)
