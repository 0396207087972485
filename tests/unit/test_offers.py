"""Guards which daemons callers are told to use."""

from trefoilreach._internal.coordination.serving.offers import Offer, choose_offers


def make_offers(count: int, cores: float, name: str) -> list[Offer]:
    return [Offer(f"{name}{number:03}:80", cores) for number in range(count)]


def test_weak_vms_get_no_callers_while_strong_ones_can_carry_them() -> None:
    """Guards against requests that are late because a VM with half a core answers them."""
    strong, weak = make_offers(21, 2.15, "strong"), make_offers(49, 0.516, "weak")
    assert choose_offers("vm", [*weak, *strong]) == [offer.address for offer in strong]


def test_all_are_used_once_the_strong_ones_are_too_few() -> None:
    """Guards against a few VMs that get the requests of all after a loss."""
    strong, weak = make_offers(5, 2.15, "strong"), make_offers(49, 0.516, "weak")
    assert len(choose_offers("vm", [*weak, *strong])) == 54
    # Enough cores, but the loss of one of three would take a third of the requests.
    assert len(choose_offers("vm", [*weak[:4], *strong[:3]])) == 7


def test_equal_vms_are_all_used() -> None:
    assert len(choose_offers("vm", make_offers(12, 2.15, "vm"))) == 12
    assert choose_offers("vm", make_offers(1, 2.15, "vm")) == ["vm000:80"]
    assert choose_offers("vm", []) == []


def test_more_daemons_than_callers_take_are_named_in_turn() -> None:
    """Guards against daemons that no caller ever hears of."""
    offers = make_offers(300, 1.0, "vm")
    named = [set(choose_offers(f"vm{number}", offers)) for number in range(300)]
    assert {len(addresses) for addresses in named} == {64}
    counts = [sum(offer.address in addresses for addresses in named) for offer in offers]
    assert min(counts) > 30 and max(counts) < 110
