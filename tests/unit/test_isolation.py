"""Guards against a daemon that flaps into service while it cannot receive key withdrawals."""

from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest
from trefoilreach._internal.api.app import Application
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.open_streams import OpenStreams
from trefoilreach._internal.coordination.membership.isolation_guard import IsolationGuard
from trefoilreach._internal.coordination.membership.peers import LIVE, UNREACHABLE, Member
from trefoilreach._internal.state.config import Key, hash_key


class Sync(NamedTuple):
    age: float
    ready: bool = True

    def seconds_since_store_answer(self) -> float:
        return self.age

    def get_withdrawn_key_ids(self) -> frozenset[str]:
        return frozenset({"k1"})


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


@pytest.mark.parametrize(("secret", "status"), [("s1", "401"), ("s2", "503"), ("unknown", "503")])
def test_isolated_daemon_rejects_withdrawn_keys_for_good(secret: str, status: str) -> None:
    """Guards against a caller that is told to come back with a key that stays withdrawn.

    A daemon that was frozen got the withdrawal, but counted as isolated until its next probe.
    """
    sync: Any = Sync(5.0)
    clock = ManualClock()
    keys = {hash_key(f"s{n}"): Key(f"k{n}", hash_key(f"s{n}"), "caller", "a") for n in (1, 2)}
    parts: Any = SimpleNamespace(
        isolation=IsolationGuard(clock, sync, Contacts(2), OpenStreams(), 3.0),
        config=SimpleNamespace(view=SimpleNamespace(keys_by_hash=keys)),
        config_sync=sync,
        clock=clock,
        metrics=SimpleNamespace(count=lambda *_: None, time=lambda *_: None),
        audit=SimpleNamespace(record=lambda *_: None),
    )
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/v1/models",
        "HTTP_AUTHORIZATION": f"Bearer {secret}",
    }
    answered: list[str] = []
    list(Application(parts)(environ, lambda line, _: answered.append(line)))
    assert answered[0].startswith(status)
