"""Guards the parts of the quota against faults that runs of whole fleets rarely reach."""

from quota_oracle import Limit, find_excess
from quota_simulation import SimulatedFleet, copy_message
from trefoilreach._internal.coordination.quota.buckets import Bucket, Terms
from trefoilreach._internal.protocol.gen.peer.ttypes import BorrowRequest, QuotaReturn
from trefoilreach._internal.state.config import Account, ConfigDocument


def make_full_bucket(rate: float, capacity: float) -> Bucket:
    bucket = Bucket(0.0)
    bucket.set_own(Terms(rate, capacity))
    bucket.add(capacity)
    return bucket


def test_larger_terms_count_until_later_ones_are_confirmed() -> None:
    """Admissions above the limit after a lost reply.

    The borrower keeps using its earlier, larger terms, while the lender counts the smaller ones.
    """
    bucket = make_full_bucket(10.0, 10.0)
    bucket.add_lent("b", Terms(8.0, 8.0, 3.0, 1))
    bucket.add_lent("b", Terms(2.0, 2.0, 4.0, 2))
    assert (bucket.rate, bucket.capacity) == (2.0, 2.0)
    bucket.confirm_lent("b", 2)
    assert (bucket.rate, bucket.capacity) == (8.0, 8.0)


def test_terms_expire_at_their_own_times() -> None:
    """Admissions above the limit after a pause, with tokens from loans that have expired."""
    bucket = Bucket(0.0)
    bucket.set_borrowed("l", Terms(1.0, 5.0, 3.0))
    bucket.set_borrowed("m", Terms(1.0, 5.0, 9.0))
    bucket.advance(10.0)
    assert (bucket.tokens, bucket.rate, bucket.capacity) == (0.0, 0.0, 0.0)


def test_repeated_return_is_credited_once() -> None:
    """A return that is credited again when it arrives twice.

    The second time, the same borrower already has a new loan, which must stay as it is.
    """
    world = SimulatedFleet([Account("a", 10.0, 12.0)])
    lender, borrower = (world.start_daemon(name) for name in ("vm0", "vm1"))
    world.advance(12.0)
    for _ in range(12):
        borrower.admit("a")
    ledger = lender.quota.ledger
    sequence = ledger.refresh("a", lender.clock.now()).bucket.latest_sequence(
        borrower.quota.ledger.owner
    )
    assert sequence is not None
    returned = QuotaReturn(account="a", sequence=sequence, tokens=6.0)
    request = BorrowRequest(
        sender=borrower.quota.ledger.owner,
        receiver=ledger.owner,
        demands=[],
        returns=[returned],
        recalls=[],
        slots_revision=ledger.slots.revision,
    )
    lender.quota.borrow(copy_message(request))
    credited_tokens = ledger.refresh("a", lender.clock.now()).bucket.tokens
    ledger.refresh("a", lender.clock.now()).bucket.remove(credited_tokens)
    ledger.refresh("a", lender.clock.now()).bucket.add_lent(
        borrower.quota.ledger.owner, Terms(1.0, 1.0, 1e9, sequence + 1)
    )
    lender.quota.borrow(copy_message(request))
    bucket = ledger.refresh("a", lender.clock.now()).bucket
    assert bucket.tokens < 0.01
    assert bucket.lent(borrower.quota.ledger.owner).capacity == 1.0


def test_lowered_rate_applies_from_its_adoption() -> None:
    """An account without requests during a change, whose bucket keeps filling at the old rate."""
    world = SimulatedFleet([Account("a", 10.0, 12.0)])
    node = world.start_daemon("vm0")
    world.advance(3.0)
    while node.admit("a"):
        pass
    node.config.adopt(ConfigDocument(2, accounts=(Account("a", 0.1, 12.0),)))
    world.time += 4.0
    assert not node.admit("a")


def test_taken_over_slot_is_unused_until_former_owner_has_stopped() -> None:
    """Two daemons that use one slot at the same time.

    The owner is cut off and missing from the platform's list, but still running.
    """
    world = SimulatedFleet([Account("a", 12.0, 12.0)])
    world.delay_seconds = 0.0
    nodes = [world.start_daemon(f"vm{index}") for index in range(3)]
    world.advance(15.0)
    world.cut_from_table.add("vm0")
    for other in ("vm1", "vm2"):
        world.cut_links |= {("vm0", other), (other, "vm0")}
    world.listed.discard("vm0")
    limits = [Limit(0.0, 12.0, 12.0)]
    admitted = []
    for _ in range(150):
        world.advance(0.2, 0.2)
        for node in nodes:
            while node.admit("a") and len(admitted) < 1000:
                admitted.append(world.time)
    assert find_excess(admitted, limits) is None
    owners = world.rows.get("quota/slots").unwrap().value["slots"]
    assert not any(owner.startswith("vm0/") for owner, _ in owners)
