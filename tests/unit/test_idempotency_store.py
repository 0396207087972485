"""Guards the records of idempotency keys: early resends, broken bodies, a failing store, memory."""

import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Result
from trefoilreach._internal.api.idempotency import run_idempotent
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_bytes
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.membership.peers import LIVE, Member
from trefoilreach._internal.coordination.online import idempotency
from trefoilreach._internal.coordination.online.idempotency import (
    IdempotencyStore,
    KeyClaim,
    Outcome,
)
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.objects import MemoryObjectStore
from trefoilreach._internal.state.table import MemoryTable, StoreError, StoreUnavailable, Write

OUTCOME = Outcome(200, [("Content-Type", "text/plain")], b"paid")


class OutageTable(MemoryTable):
    """Refuses commits while ``down`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        return Err(StoreUnavailable("down")) if self.down else super().commit(writes)


class StoredKeys:
    """The stores of two daemons that share one table."""

    def __init__(self) -> None:
        self.clock, self.table, objects = ManualClock(), OutageTable(), MemoryObjectStore()
        members = [Member(f"vm{n}", "h", 1, 2, "dc", "r", 1, LIVE) for n in range(2)]
        self.stores = [
            IdempotencyStore(self.clock, self.table, objects, make_peers(own, members))
            for own in members
        ]


def make_peers(own: Member, members: list[Member]) -> Any:
    return SimpleNamespace(own_member=own, members=lambda: members)


@pytest.fixture
def keys() -> StoredKeys:
    return StoredKeys()


def claim_refused(store: IdempotencyStore, key: str) -> Refusal:
    with pytest.raises(Refusal) as raised:
        store.claim("a", key, "f")
    return raised.value


def run_keyed(keys: StoredKeys, store: int, response: WebResponse) -> WebResponse:
    """Send one request with the key "order" to a daemon."""
    parts: Any = SimpleNamespace(idempotency=keys.stores[store])
    environ = {"REQUEST_METHOD": "POST", "PATH_INFO": "/pay", "HTTP_IDEMPOTENCY_KEY": "order"}
    return run_idempotent(parts, WebRequest(environ), "a", b"", lambda: response)


def test_resend_right_after_the_answer_gets_its_outcome(keys: StoredKeys) -> None:
    """Guards against a caller who has the whole answer and is told that the request still runs."""
    body = iter(run_keyed(keys, 0, respond_bytes(b"paid", "text/plain")).body)
    assert next(body) == b"paid"
    again = run_keyed(keys, 1, respond_bytes(b"a second run", "text/plain"))
    assert b"".join(again.body) == b"paid"


@pytest.mark.parametrize("disconnected", [False, True])
def test_body_that_breaks_off_is_not_the_outcome(keys: StoredKeys, disconnected: bool) -> None:
    """Guards against a resend that gets a part of an answer as the whole one, with status 200."""

    def break_off() -> Iterator[bytes]:
        yield b"pa"
        raise OSError("broken")

    body: Any = iter(run_keyed(keys, 0, WebResponse(200, [], break_off())).body)
    assert next(body) == b"pa"
    if disconnected:
        body.close()
    else:
        with pytest.raises(OSError, match="broken"):
            next(body)
    assert run_keyed(keys, 1, respond_bytes(b"a second run", "text/plain")).status == 502


def test_resend_waits_for_an_outcome_that_the_store_did_not_take(
    keys: StoredKeys, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run, or a lost outcome, when the store fails after the first run."""
    logged: list[str] = []
    monkeypatch.setattr(idempotency, "log_event", lambda name, **_: logged.append(name))
    claim: Any = keys.stores[0].claim("a", "order", "f")
    assert isinstance(claim, KeyClaim)
    keys.table.down = True
    keys.stores[0].record_outcome(claim, OUTCOME)
    keys.table.down = False
    assert logged == ["idempotency:postponed"]
    refusal = claim_refused(keys.stores[1], "order")
    assert (refusal.status, refusal.verdict) == (409, Verdict.MAY_HAVE_RUN)
    assert refusal.retry_after
    keys.stores[0].retry_pending_writes()
    assert keys.stores[1].claim("a", "order", "f") == OUTCOME


def test_records_of_other_vms_are_forgotten(keys: StoredKeys) -> None:
    """Guards against memory that grows with each key that was resent while its request ran."""
    for number in range(3):
        assert isinstance(keys.stores[0].claim("a", str(number), "f"), KeyClaim)
        assert claim_refused(keys.stores[1], str(number)).status == 409
    with ExitStack() as stack:
        keys.stores[1].start(stack)
        keys.clock.advance(500.0)
        # A caller who still asks keeps the age of its record.
        assert claim_refused(keys.stores[1], "0").status == 409
        keys.clock.advance(200.0)
        end = time.monotonic() + 5.0
        while len(keys.stores[1]._running_records) > 1 and time.monotonic() < end:
            time.sleep(0.01)
        assert len(keys.stores[1]._running_records) == 1
        assert claim_refused(keys.stores[1], "0").status == 502
