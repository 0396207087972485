"""Guards against two valid holders of one lease, and fencing numbers that fall."""

from collections.abc import Sequence
from typing import Any

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.membership.leases import Lease, LeaseManager
from trefoilreach._internal.state.table import MemoryTable, OutcomeUnknown, StoreUnavailable, Write

NAME, SECONDS = "lease/worker", 20.0
HOLDERS = st.integers(0, 2)
FAULTS = st.sampled_from(["", "", "", "down", "lost", "late"])


class FaultyTable(MemoryTable):
    fault = ""
    delayed_writes: tuple[Write, ...] = ()

    def get(self, key: str) -> Any:
        return Err(StoreUnavailable("down")) if self.fault == "down" else super().get(key)

    def commit(self, writes: Sequence[Write]) -> Any:
        if self.fault == "down":
            return Err(StoreUnavailable("down"))
        if self.fault == "late":
            self.delayed_writes = tuple(writes)
            return Err(OutcomeUnknown("late"))
        done = super().commit(writes)
        return Err(OutcomeUnknown("lost")) if self.fault == "lost" else done

    def arrive(self) -> None:
        super().commit(self.delayed_writes)
        self.delayed_writes = ()


class LeaseMachine(RuleBasedStateMachine):
    """Three processes compete for a lease; a paused one does not act while the clock advances."""

    def __init__(self) -> None:
        super().__init__()
        self.table, self.clock = FaultyTable(), ManualClock()
        self.processes = [LeaseManager(self.clock, self.table, f"vm{n}", SECONDS) for n in range(3)]
        self.held: dict[int, Lease] = {}
        self.highest = 0

    @rule(number=HOLDERS, renewing=st.booleans(), fault=FAULTS)
    def act(self, number: int, renewing: bool, fault: str) -> None:
        self.table.fault = fault
        process, lease = self.processes[number], self.held.get(number)
        done = process.renew(lease) if renewing and lease else process.acquire(NAME)
        if isinstance(done, Ok):
            self.held[number] = done.ok_value
            assert done.ok_value.fencing_token >= self.highest
            self.highest = done.ok_value.fencing_token

    @rule(number=HOLDERS)
    def release(self, number: int) -> None:
        lease = self.held.pop(number, None)
        self.table.fault = ""
        if lease is not None:
            self.processes[number].release(lease)

    @rule(seconds=st.sampled_from([0.1, 6.0, 12.0, 20.3]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule()
    def arrive(self) -> None:
        self.table.arrive()

    @invariant()
    def one_valid_holder(self) -> None:
        valid = [n for n, lease in self.held.items() if self.processes[n].is_valid(lease)]
        assert len(valid) <= 1, valid


TestLeaseFuzz = LeaseMachine.TestCase


def test_unknown_outcome_is_read_back() -> None:
    """Guards against a process that treats a write with a lost answer as a granted lease."""
    table, clock = FaultyTable(), ManualClock()
    first, second = (LeaseManager(clock, table, name, SECONDS) for name in ("vm1", "vm2"))
    table.fault = "lost"
    assert first.acquire(NAME).unwrap().fencing_token == 1
    assert isinstance(second.acquire(NAME), Err)
    clock.advance(SECONDS * 1.02)
    table.fault = "late"
    assert isinstance(second.acquire(NAME), Err)
    table.arrive()
    table.fault = ""
    assert isinstance(second.acquire(NAME), Err)
    clock.advance(SECONDS * 1.02)
    assert second.acquire(NAME).unwrap().fencing_token == 3
