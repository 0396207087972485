"""Tests the admission queue: fair order, early refusals, no lost slots."""

import threading
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from trefoilreach._internal.clock import ManualClock, SystemClock
from trefoilreach._internal.coordination.online.fair_queue import CallerGone, Claim, FairQueue
from trefoilreach._internal.protocol.verdict import Refusal, Verdict


class Slots:
    """Free slots of one group."""

    def __init__(self, free: int) -> None:
        self.free = free

    def take(self) -> str | None:
        if self.free == 0:
            return None
        self.free -= 1
        return "server"


def make_claim(
    slots: Slots,
    account: str = "a",
    weight: float = 1.0,
    target: float = 100.0,
    interval: float = 0.0,
    group: str = "m",
) -> Claim[str]:
    return Claim(account, weight, group, slots.take, target, lambda: interval, lambda: False)


class QueuedRequests:
    """Sends requests from threads, and records the order in which they were granted."""

    def __init__(self, queue: FairQueue[str]) -> None:
        self._queue = queue
        self._threads: list[threading.Thread] = []
        self.served: list[str] = []
        self.refused: list[Refusal] = []

    def send(self, claim: Claim[str]) -> None:
        before = (self._queue.waiting_count, len(self.refused))
        thread = threading.Thread(target=self._run, args=(claim,), daemon=True)
        thread.start()
        self._threads.append(thread)
        while thread.is_alive() and (self._queue.waiting_count, len(self.refused)) == before:
            thread.join(0.0005)

    def _run(self, claim: Claim[str]) -> None:
        def take() -> str | None:
            server = claim.try_acquire()
            if server is not None:
                # Recorded at the grant, because granted threads wake up in any order.
                self.served.append(claim.account)
            return server

        try:
            self._queue.acquire(claim._replace(try_acquire=take))
        except Refusal as refusal:
            self.refused.append(refusal)

    def join(self) -> None:
        for thread in self._threads:
            thread.join(5.0)
            assert not thread.is_alive()


@given(
    weights=st.lists(st.integers(1, 10), min_size=2, max_size=4),
    slot_count=st.integers(10, 60),
)
def test_fuzz_backlogged_accounts_get_slots_by_rate(weights: list[int], slot_count: int) -> None:
    """Guards against an account that gets less than its share while all accounts wait.

    The oracle is weighted sharing; fair queuing may differ by one request in each direction.
    """
    queue: FairQueue[str] = FairQueue(ManualClock(), 10_000)
    order: list[str] = []

    def add_request(account: str, weight: int) -> None:
        def take() -> str | None:
            if not slots.take():
                return None
            order.append(account)
            return "server"

        claim = make_claim(slots, account, weight)._replace(try_acquire=take)
        with queue._lock:
            queue._add(claim)

    slots = Slots(0)
    for account, weight in enumerate(weights):
        for _ in range(slot_count):
            add_request(f"a{account}", weight)
    for _ in range(slot_count):
        slots.free = 1
        queue.grant_waiting()
    counts = Counter(order)
    for account, weight in enumerate(weights):
        share = slot_count * weight / sum(weights)
        assert abs(counts[f"a{account}"] - share) <= 1 + len(weights)


def test_a_flood_of_one_account_does_not_delay_another() -> None:
    """Guards against a small account that waits behind all earlier requests of a large one."""
    queue: FairQueue[str] = FairQueue(SystemClock(), 1000)
    slots = Slots(0)
    requests = QueuedRequests(queue)
    for _ in range(30):
        requests.send(make_claim(slots, "flood", 10.0))
    requests.send(make_claim(slots, "small", 1.0))
    for _ in range(31):
        slots.free += 1
        queue.grant_waiting()
    requests.join()
    assert len(requests.served) == 31
    assert requests.served.index("small") <= 12


def test_wait_estimated_over_the_target_is_refused_at_once() -> None:
    """Guards against a refusal that is sent only after the target time has passed."""
    queue: FairQueue[str] = FairQueue(ManualClock(), 1000)
    slots = Slots(0)
    requests = QueuedRequests(queue)
    for number in range(6):
        requests.send(make_claim(slots, target=2.0, interval=0.5))
        assert len(requests.refused) == max(0, number - 3)
    refusal = requests.refused[0]
    assert (refusal.status, refusal.verdict) == (503, Verdict.NOT_RUN)
    assert refusal.retry_after is not None and refusal.retry_after >= 0.5
    slots.free = 4
    queue.grant_waiting()
    requests.join()
    assert len(requests.served) == 4


def test_request_that_waited_too_long_is_refused_and_takes_no_slot() -> None:
    """Guards against a request that stays queued, or takes a slot, after its refusal."""
    clock = ManualClock()
    queue: FairQueue[str] = FairQueue(clock, 1000)
    slots = Slots(0)
    requests = QueuedRequests(queue)
    requests.send(make_claim(slots, target=1.0))
    while not requests.refused:
        clock.advance(0.2)
    requests.join()
    slots.free = 1
    queue.grant_waiting()
    assert slots.free == 1 and queue.waiting_count == 0


def test_full_group_does_not_block_another() -> None:
    """Guards against a request that waits although its own servers are free."""
    queue: FairQueue[str] = FairQueue(SystemClock(), 1000)
    full, free = Slots(0), Slots(1)
    requests = QueuedRequests(queue)
    requests.send(make_claim(full, group="busy"))
    assert queue.acquire(make_claim(free, group="idle")) == "server"
    full.free = 1
    queue.grant_waiting()
    requests.join()


def test_full_queue_refuses_the_request_that_would_be_served_last() -> None:
    """Guards against a small account that is refused because another one filled the queue."""
    queue: FairQueue[str] = FairQueue(SystemClock(), 5)
    slots = Slots(0)
    requests = QueuedRequests(queue)
    for _ in range(5):
        requests.send(make_claim(slots, "flood", 1.0))
    requests.send(make_claim(slots, "small", 1.0))
    slots.free = 5
    queue.grant_waiting()
    requests.join()
    assert Counter(requests.served) == {"flood": 4, "small": 1}


def test_request_of_a_disconnected_caller_leaves_the_queue() -> None:
    """Guards against a slot that is granted to a disconnected caller."""
    queue: FairQueue[str] = FairQueue(SystemClock(), 5)
    slots = Slots(0)
    with pytest.raises(CallerGone):
        queue.acquire(make_claim(slots)._replace(is_stopped=lambda: True))
    assert queue.waiting_count == 0
