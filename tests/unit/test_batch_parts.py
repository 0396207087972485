"""Guards against batch work that takes slots from online requests or is not fairly queued."""

from typing import Any

from batch_fakes import (
    DOCUMENT,
    ENDPOINT,
    FakeDaemon,
    Faults,
    FaultyObjects,
    FaultyTable,
    make_input,
)
from hypothesis import given
from hypothesis import strategies as st
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.batch.accept import JobRequest, Upload
from trefoilreach._internal.coordination.batch.chunks import JobClosed, free_chunk
from trefoilreach._internal.coordination.batch.fair_queue import FairQueue
from trefoilreach._internal.coordination.batch.item_runner import StreamHandle
from trefoilreach._internal.coordination.batch.worker_limit import (
    LatencyTargets,
    WorkerBatchLimit,
    find_responsible_vm,
)
from trefoilreach._internal.coordination.membership.peers import LIVE, Member
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.jobs import FREE, decode_chunk
from trefoilreach._internal.transport.engine import LoadReport

SERVER = Server("w", "engine", "127.0.0.1", 1, ("m",), slots=8)


def make_member(name: str) -> Member:
    return Member(name, "127.0.0.1", 1, 2, "dc", "r", 1, LIVE)


def fill(share: WorkerBatchLimit, now: float, first: int = 0) -> None:
    for number in range(first, first + max(0, share.free_slots(now))):
        share.start(StreamHandle(None, f"r{number}", share.server), now)  # type: ignore[arg-type]


def make_share(now: float, **options: Any) -> WorkerBatchLimit:
    share = WorkerBatchLimit(SERVER, LatencyTargets(1.0, 0.1), now, **options)
    share.record_load_report(LoadReport("i", 1, 0, 0, 8, 0.0, ("m",), "mixed"), now)
    return share


@given(
    steps=st.lists(
        st.one_of(st.tuples(st.just("online"), st.integers(1, 6)), st.just(("grow", 0))),
        max_size=20,
    )
)
def test_batch_and_online_never_exceed_the_slots_fuzz(steps: list[tuple[str, int]]) -> None:
    now, online = 100.0, 0
    share = make_share(now)
    for number, (kind, count) in enumerate(steps):
        now += 0.05
        if kind == "online":
            online += count
            for handle in share.preempt_for_online(count, now):
                handle.cancel()
                share.end(handle, now)
        share.adjust(now)
        fill(share, now, first=100 * number)
        assert share.running + min(online, SERVER.slots) <= SERVER.slots


def test_baseline_without_yielding_keeps_every_slot() -> None:
    share = make_share(100.0, yielding=False)
    assert share.free_slots(100.0) == SERVER.slots
    fill(share, 100.0)
    assert share.preempt_for_online(5, 100.0) == []


def test_share_shrinks_while_a_target_is_missed_and_grows_again() -> None:
    share = make_share(100.0)
    for _ in range(100):
        share.record_token_interval(0.5)
    for tenths in range(30):
        share.adjust(100.0 + tenths / 10)
    shrunk = share.free_slots(103.0)
    for _ in range(200):
        share.record_token_interval(0.01)
    for tenths in range(30):
        share.adjust(103.0 + tenths / 10)
    assert shrunk <= 1
    assert share.free_slots(106.0) == 7


@given(names=st.sets(st.sampled_from("abcdefgh"), min_size=2), worker=st.text(max_size=5))
def test_sender_changes_only_when_it_leaves_fuzz(names: set[str], worker: str) -> None:
    members = [make_member(name) for name in sorted(names)]
    sender = find_responsible_vm(worker, members)
    other = next(name for name in sorted(names) if name != sender)
    assert find_responsible_vm(worker, [entry for entry in members if entry.vm != other]) == sender


def test_fair_queue_follows_the_agreed_rates() -> None:
    fair_queue = FairQueue()
    rates = {"a": 30.0, "b": 10.0}
    served = {"a": 0, "b": 0}
    for _ in range(400):
        account = fair_queue.order(rates)[0]
        fair_queue.charge(account, 1, rates[account])
        served[account] += 1
    assert served == {"a": 300, "b": 100}


def test_claim_from_a_stale_view_of_a_cancelled_job_is_undone() -> None:
    clock, faults = ManualClock(), Faults()
    table = FaultyTable(faults)
    daemon = FakeDaemon("vm1", clock, table, FaultyObjects(faults))
    account, parts = DOCUMENT.accounts[0], daemon.parts
    file = parts.acceptor.accept_file(account, Upload("f", "batch", make_input(2)))
    job = parts.acceptor.accept_job(account, JobRequest(file.id, ENDPOINT, "24h", {}), "k")
    parts.canceller.cancel("a", job.id)
    chunk = free_chunk(job.id, 0)
    claimed = parts.canceller._store.claim(chunk)
    assert isinstance(claimed.err_value, JobClosed)
    row = table.get(chunk.key).unwrap()
    assert row is not None
    assert decode_chunk(row).state == FREE
