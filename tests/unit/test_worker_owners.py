"""Guards against cached owners of workers that differ between daemons."""

from hypothesis import given
from hypothesis import strategies as st
from trefoilreach._internal.coordination.batch.worker_limit import find_responsible_vm
from trefoilreach._internal.coordination.batch.worker_owners import WorkerOwners
from trefoilreach._internal.coordination.membership.peers import LIVE, Member
from trefoilreach._internal.state.config import Server

NUMBERS = st.frozensets(st.integers(0, 12), max_size=9)


def make_member(number: int) -> Member:
    return Member(f"vm{number}", "h", 1, 2, "dc", "r", 1, LIVE)


def make_server(number: int) -> Server:
    state = "leaving" if number == 12 else "live"
    return Server(f"worker{number}", "engine", "h", 1, ("m",), state=state)


@given(steps=st.lists(st.tuples(NUMBERS, NUMBERS), min_size=1, max_size=8))
def test_fuzz_cached_owners_match_a_full_computation(
    steps: list[tuple[frozenset[int], frozenset[int]]],
) -> None:
    """A daemon that has seen all changes must agree with one that just started."""
    owners = WorkerOwners()
    for vms, workers in steps:
        live = [make_member(number) for number in sorted(vms)]
        servers = [make_server(number) for number in sorted(workers)]
        for member in live:
            expected = [
                server
                for server in servers
                if server.state == "live" and find_responsible_vm(server.name, live) == member.vm
            ]
            assert owners.list_owned(servers, live, member.vm) == expected


def test_fleet_without_live_daemons_has_no_owners() -> None:
    assert WorkerOwners().list_owned([make_server(1)], [], "vm1") == []
