"""Tests which daemons callers are given as entry points."""

from types import SimpleNamespace
from typing import Any

import pytest
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.serving.entry_points import EntryPoint, choose_entry_points
from trefoilreach._internal.coordination.serving.service import ServingState
from trefoilreach._internal.coordination.serving.workers import WorkerDirectory
from trefoilreach._internal.state.serving import DesiredState, RequestLimits, RouteIndex


def make_entry_points(count: int, cores: float, name: str) -> list[EntryPoint]:
    return [EntryPoint(f"{name}{number:03}:80", cores) for number in range(count)]


def test_weak_vms_are_not_used_while_strong_ones_suffice() -> None:
    """Guards against requests that are late because a VM with half a core serves them."""
    strong, weak = make_entry_points(21, 2.15, "strong"), make_entry_points(49, 0.516, "weak")
    assert choose_entry_points("vm", [*weak, *strong]) == [
        entry_point.address for entry_point in strong
    ]


def test_all_vms_are_used_when_strong_ones_are_too_few() -> None:
    """Guards against a few strong VMs that get all requests after the loss of others."""
    strong, weak = make_entry_points(5, 2.15, "strong"), make_entry_points(49, 0.516, "weak")
    assert len(choose_entry_points("vm", [*weak, *strong])) == 54
    # Enough cores, but the loss of one of three would affect a third of the requests.
    assert len(choose_entry_points("vm", [*weak[:4], *strong[:3]])) == 7


def test_equal_vms_are_all_used() -> None:
    assert len(choose_entry_points("vm", make_entry_points(12, 2.15, "vm"))) == 12
    assert choose_entry_points("vm", make_entry_points(1, 2.15, "vm")) == ["vm000:80"]
    assert choose_entry_points("vm", []) == []


def test_daemons_beyond_the_address_limit_are_spread_evenly() -> None:
    """Guards against daemons whose address no caller ever gets."""
    entry_points = make_entry_points(300, 1.0, "vm")
    addresses_by_vm = [
        set(choose_entry_points(f"vm{number}", entry_points)) for number in range(300)
    ]
    assert {len(addresses) for addresses in addresses_by_vm} == {64}
    counts = [
        sum(entry_point.address in addresses for addresses in addresses_by_vm)
        for entry_point in entry_points
    ]
    assert min(counts) > 30 and max(counts) < 110


def make_peer(vm: str, **statement: bool) -> Any:
    flags = {"accepting": False, "leaving": False, "active": True, **statement}
    return SimpleNamespace(
        identity=SimpleNamespace(front=f"{vm}:80", cores=1.0), statement=SimpleNamespace(**flags)
    )


@pytest.mark.parametrize(
    ("peers", "expected"),
    [
        ([make_peer("a", accepting=True), make_peer("b")], ["a:80"]),
        ([make_peer("a"), make_peer("b", active=False)], ["a:80"]),
        ([make_peer("a", leaving=True), make_peer("b", active=False)], ["b:80", "self:80"]),
    ],
)
def test_standby_daemons_are_offered_only_when_no_active_one_is_left(
    peers: list[Any], expected: list[str]
) -> None:
    """Guards against callers that are spread over all daemons while the store is down.

    No daemon has a recent desired state then, and standby ones do not know the slots in use.
    """
    identity = SimpleNamespace(front="self:80", cores=1.0)
    exchange: Any = SimpleNamespace(live_peers=peers, identity=identity, active=False)
    deployment: Any = SimpleNamespace(vm="self", revocation_seconds=5.0, entry_keep_seconds=5.0)
    online: Any = SimpleNamespace(tools=SimpleNamespace(metrics=None))
    unused: Any = None
    state = ServingState(SystemClock(), deployment, exchange, unused, online, unused)
    assert state.entry_points()[0] == expected


def test_daemon_is_ready_only_once_it_knows_the_workers() -> None:
    """Guards against a daemon that is offered to callers and refuses them for want of workers."""
    clock = SystemClock()
    workers = WorkerDirectory(clock, lambda: None)
    deployment: Any = SimpleNamespace(vm="self", revocation_seconds=5.0, entry_keep_seconds=5.0)
    online: Any = SimpleNamespace(tools=SimpleNamespace(metrics=None))
    admission: Any = SimpleNamespace(workers=workers)
    unused: Any = None
    state = ServingState(clock, deployment, unused, admission, online, unused)
    state.route_index = RouteIndex(DesiredState(1, (), (), RequestLimits(), b""))
    assert not state.ready
    workers.replace([], 0.0)
    assert state.ready
