"""Guards the passing on of quota slots against tokens that count twice or get lost."""

import random

import pytest
from quota_world import Node, World
from result import Err
from trefoilreach._internal.coordination.quota import borrower as quota_borrower
from trefoilreach._internal.coordination.quota.row import PASSED, Slot
from trefoilreach._internal.state.config import Account

RATE = 30.0
ACCOUNT = Account("a", RATE, RATE)

# Refusals of an account that stays inside its rate.
MAX_REFUSED_FRACTION = 0.005


@pytest.fixture
def daemon_borrow_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quota_borrower, "BORROW_WAIT_SECONDS", 0.1)


def start_pair() -> tuple[World, Node, Node]:
    """Start one VM that owns every slot, and a second one that was not heard yet."""
    world = World([ACCOUNT])
    first = world.start("vm0")
    world.run(3.0)
    return world, first, world.start("vm1")


def count_tokens(node: Node) -> float:
    return node.quota.ledger.refresh("a", node.clock.now()).bucket.tokens


def offer_load(world: World, seconds: float, seed: int) -> float:
    """Offer 90% of the rate to every daemon; return the refused share."""
    generator = random.Random(seed)
    due = tick = world.time
    end = due + seconds
    sent = refused = 0
    while due < end:
        while tick <= due:
            world.time = max(world.time, tick)
            for node in world.nodes.values():
                node.tick()
            tick += 0.5
        world.time = max(world.time, due)
        sent += 1
        refused += not generator.choice(list(world.nodes.values())).admit("a")
        due += generator.expovariate(0.9 * RATE)
    return refused / sent


@pytest.mark.parametrize("seed", range(3))
def test_joining_daemons_cause_few_refusals(seed: int, daemon_borrow_wait: None) -> None:
    """Slots that rest while they move, or arrive empty: up to 16% were refused."""
    world = World([ACCOUNT])
    world.delay_seconds = 0.0003
    world.start("vm0")
    world.run(2.0)
    shares = []
    for index in range(1, 6):
        world.start(f"vm{index}").tick()
        shares.append(offer_load(world, 4.0, seed + index))
    assert sum(shares) / len(shares) < MAX_REFUSED_FRACTION


@pytest.mark.parametrize("seed", range(3))
def test_leaving_daemon_causes_few_refusals(seed: int, daemon_borrow_wait: None) -> None:
    """A planned stop under traffic whose slots are out of use until its loans ended."""
    world = World([ACCOUNT])
    world.delay_seconds = 0.0003
    for index in range(3):
        world.start(f"vm{index}")
    world.run(12.0)
    offer_load(world, 5.0, seed)
    world.leave("vm0")
    assert offer_load(world, 8.0, seed) < MAX_REFUSED_FRACTION
    row = world.nodes["vm1"].quota.ledger.slots.row
    assert row is not None
    assert {owner.partition("/")[0] for owner in row.owners()} == {"vm1", "vm2"}


def test_passed_slots_bring_their_tokens() -> None:
    """A joining daemon with empty buckets refuses the first burst that reaches it."""
    _, first, second = start_pair()
    second.tick()
    first.tick()
    assert count_tokens(first) == pytest.approx(RATE / 2, abs=1.0)
    assert count_tokens(second) == pytest.approx(RATE / 2, abs=1.0)


def test_tokens_of_a_known_row_are_not_added() -> None:
    """The slots refilled since the table told of the row; late tokens came on top."""
    world, first, second = start_pair()
    second.tick()
    world.lose_requests = 1
    first.tick()
    second.tick()
    while second.admit("a"):
        pass
    spent = count_tokens(second)
    world.deliver_delayed_requests()
    assert count_tokens(second) == pytest.approx(spent, abs=0.5)


def test_slots_rest_while_their_write_is_unknown() -> None:
    """An owner that goes on with slots which the row gave to another one."""
    world, first, second = start_pair()
    second.tick()
    world.lose_writes = 1
    first.tick()
    used = len(first.quota.ledger.slots.in_use())
    second.tick()
    assert used + len(second.quota.ledger.slots.in_use()) == 12


def test_slots_and_tokens_come_back_after_a_failed_write() -> None:
    """A conflict on the row must not cost the account its tokens."""
    _, first, _ = start_pair()
    ledger = first.quota.ledger
    with ledger.lock:
        ledger.set_draining([0, 1])
        tokens = ledger.suspend([0, 1])
        assert len(ledger.slots.in_use()) == 10
        ledger.resume(tokens)
    assert len(ledger.slots.in_use()) == 12
    assert count_tokens(first) == pytest.approx(RATE, abs=0.5)


def test_slots_that_were_passed_on_do_not_come_back() -> None:
    """A failed write after one whose outcome was unknown and which took effect."""
    _, first, _ = start_pair()
    ledger = first.quota.ledger
    row = ledger.slots.row
    assert row is not None
    with ledger.lock:
        tokens = ledger.suspend([0, 1])
        passed = row.with_slots([0], Slot("vm1/x", PASSED))._replace(revision=row.revision + 1)
        ledger.adopt(passed, first.clock.now())
        ledger.resume(tokens)
    assert ledger.slots.in_use() == list(range(1, 12))


def test_refusal_says_whether_the_account_is_over_its_rate() -> None:
    """429 for an account inside its rate whose quota another daemon holds out of reach."""
    world, _, second = start_pair()
    world.run(4.0)
    while second.admit("a"):
        world.time += 1.0 / RATE / 2.0
    over = second.quota.admit(ACCOUNT)
    assert isinstance(over, Err) and over.err_value.over_rate
    world.cut_links = {("vm0", "vm1"), ("vm1", "vm0")}
    world.time += 4.0
    world.run(4.0)
    while second.admit("a"):
        pass
    cut = second.quota.admit(ACCOUNT)
    assert isinstance(cut, Err) and not cut.err_value.over_rate
