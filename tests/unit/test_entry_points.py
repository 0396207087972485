"""Tests which daemons callers are given as entry points."""

from trefoilreach._internal.coordination.serving.entry_points import EntryPoint, choose_entry_points


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
