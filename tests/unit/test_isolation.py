"""Guards against a daemon that flaps into service while it cannot receive key withdrawals."""

from typing import Any, NamedTuple

import pytest
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.open_streams import OpenStreams
from trefoilreach._internal.coordination.membership.isolation_guard import IsolationGuard
from trefoilreach._internal.coordination.membership.peers import LIVE, UNREACHABLE, Member


class Sync(NamedTuple):
    age: float

    def seconds_since_store_answer(self) -> float:
        return self.age


class Contacts(NamedTuple):
    unreachable: int

    def members(self) -> list[Member]:
        states = [UNREACHABLE if n < self.unreachable else LIVE for n in range(3)]
        return [Member(f"vm{n}", "h", 1, 2, "dc", "r", 1, s) for n, s in enumerate(states)]

    def count_recent_probes(self, seconds: float) -> tuple[int, int]:
        # By chance, half of the few recent probes went to the only peer that answers.
        return 4, 2


@pytest.mark.parametrize(
    ("age", "unreachable", "isolated"), [(5.0, 2, True), (5.0, 1, False), (1.0, 3, False)]
)
def test_majority_of_unreachable_peers_isolates_despite_recent_answers(
    age: float, unreachable: int, isolated: bool
) -> None:
    sync: Any = Sync(age)
    found = IsolationGuard(ManualClock(), sync, Contacts(unreachable), OpenStreams(), 3.0)
    assert found.is_isolated is isolated
