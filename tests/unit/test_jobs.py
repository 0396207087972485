"""Guards batch jobs: accepted once, each item listed once, taken over, ended."""

import base64
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from types import SimpleNamespace
from typing import Any

import harness
import orjson
import pytest
from result import Err, Result
from serving_fakes import ACCOUNT, EVENTS, FakeLink, Script, make_route, make_service, make_tools
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.jobs import keeper as keeper_module
from trefoilreach._internal.coordination.jobs import running as running_module
from trefoilreach._internal.coordination.jobs.keeper import JobKeeper, JobTools
from trefoilreach._internal.coordination.jobs.records import (
    INPUT_TABLE,
    OPEN,
    PARTIAL_TABLE,
    RESULT_TABLE,
    JobRecord,
    JobRow,
    find_part,
    job_key,
    job_write,
    parse_job,
)
from trefoilreach._internal.coordination.jobs.table import JobTable
from trefoilreach._internal.coordination.serving.link import Dispatch, WorkerFailure
from trefoilreach._internal.coordination.serving.service import Checked
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.rows import MemoryBlobs, MemoryRows, Snapshot
from trefoilreach._internal.state.serving import RouteKind
from trefoilreach._internal.state.table import OutcomeUnknown, StoreError, StoreUnavailable

ROUTE = make_route(kind=RouteKind.BATCH, max_runs=3)
OUTPUT = "\n".join(f"text {n}" for n in range(1, 6))


def make_document(count: int, tokens: int = 100) -> bytes:
    items = [
        {
            "id": f"i{n}",
            "path": f"/a/{n}",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(b"prompt %d" % n).decode(),
            "tokenCount": tokens,
        }
        for n in range(count)
    ]
    return orjson.dumps({"items": items})


class LossyRows(MemoryRows):
    """Loses the answers of commits, or refuses them, as told."""

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[str] = []

    def commit(self, expected: Any, writes: Any) -> Result[Any, StoreError]:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "refused":
            return Err(StoreUnavailable("busy"))
        outcome = super().commit(expected, writes)
        return Err(OutcomeUnknown("lost")) if fault == "lost" else outcome


class Fleet:
    """Daemons that share a store and a link to the workers."""

    def __init__(self, stack: ExitStack, decide: Callable[[Dispatch], Script]) -> None:
        self.stack = stack
        self.rows, self.blobs = LossyRows(), MemoryBlobs()
        self.link = FakeLink(decide=decide)
        self.clock = SystemClock()

    def start(
        self, vm: str, incarnation: int = 1, workers: int = 3, route: Any = ROUTE
    ) -> JobKeeper:
        tools = make_tools(self.link, workers, self.clock)
        service = make_service(vm, incarnation, route)
        keeper = JobKeeper(JobTools(self.clock, self.rows, self.blobs, tools, service))
        keeper.start(self.stack)
        return keeper


wait_until = partial(harness.wait_until, timeout=3.0)


@pytest.fixture
def stack(monkeypatch: pytest.MonkeyPatch) -> Any:
    monkeypatch.setattr(keeper_module, "_STARTUP_GRACE_SECONDS", 0.1)
    monkeypatch.setattr(keeper_module, "_CHECK_INTERVAL_SECONDS", 0.05)
    with ExitStack() as opened:
        yield opened


def whole(dispatch: Dispatch) -> Script:
    return Script(pieces=tuple(EVENTS[dispatch.resume_after or 0 :]))


def wait_before_last(gate: threading.Event) -> Callable[[Dispatch], Script]:
    """Let first runs wait for the gate before their last event; resumed ones come whole."""

    def decide(dispatch: Dispatch) -> Script:
        if dispatch.resume_after is None:
            return Script(pieces=(EVENTS[0] + EVENTS[1], EVENTS[2]), gate=gate)
        return whole(dispatch)

    return decide


def read_until(keeper: JobKeeper, job: str, count: int, limit: float = 5.0) -> list[Any]:
    end = time.monotonic() + limit
    while time.monotonic() < end:
        page = keeper.read(job, ACCOUNT.name, 0, 0.05)
        if len(page.results) >= count:
            return page.results
        time.sleep(0.02)
    raise AssertionError(f"{len(page.results)} of {count} results")


CHECKED = Checked(ROUTE, ACCOUNT)


def test_job_is_accepted_run_and_read(stack: ExitStack) -> None:
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(12))
    results = read_until(keeper, "j1", 12)
    assert {result.id for result in results} == {f"i{n}" for n in range(12)}
    assert all(result.output == OUTPUT for result in results)
    page = keeper.read("j1", ACCOUNT.name, 10, 0.0)
    assert page.results == results[10:] and page.next == 12 and page.total == 12
    # What is no longer needed is deleted with the last result.
    assert fleet.rows.read(INPUT_TABLE, find_part("j1")).ok_value.rows == []


def test_output_that_does_not_fit_in_a_row_is_read_whole(stack: ExitStack) -> None:
    """Guards against an item that can never be listed because its output is large."""
    events = [f"id: {n}\ndata: {n} {'x' * 9000}\n\n".encode() for n in range(1, 9)]
    fleet = Fleet(stack, lambda dispatch: Script(pieces=tuple(events)))
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(1))
    output = read_until(keeper, "j1", 1)[0].output
    assert output is not None and len(output) > 65_536 and output.count("\n") == 7
    rows = fleet.rows.read(RESULT_TABLE, find_part("j1")).ok_value.rows
    assert all(len(row.value) < 1000 for row in rows)


def test_resent_job_is_accepted_once(stack: ExitStack) -> None:
    """Guards against a job that runs twice because its first answer was lost."""
    fleet = Fleet(stack, whole)
    first, second = fleet.start("d0"), fleet.start("d1")
    first.submit("j1", CHECKED, make_document(4))
    second.submit("j1", CHECKED, make_document(4))
    first.submit("j1", CHECKED, make_document(4))
    read_until(second, "j1", 4)
    time.sleep(0.2)
    assert len(fleet.link.sent) == 4


def test_lost_answer_of_the_store_is_resolved(stack: ExitStack) -> None:
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0")
    fleet.rows.faults = ["lost"]
    keeper.submit("j1", CHECKED, make_document(3))
    assert len(read_until(keeper, "j1", 3)) == 3


def test_refusal_is_a_promise_only_while_nothing_is_unknown(stack: ExitStack) -> None:
    """Guards against a 503 for a job that a late write brings to life."""
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0")
    fleet.rows.faults = ["refused"]
    with pytest.raises(Refusal) as caught:
        keeper.submit("j1", CHECKED, make_document(1))
    assert (caught.value.status, caught.value.verdict) == (503, Verdict.NOT_RUN)
    fleet.rows.commit = lambda expected, writes: Err(OutcomeUnknown("lost"))
    with pytest.raises(Refusal) as caught:
        keeper.submit("j2", CHECKED, make_document(1))
    assert (caught.value.status, caught.value.verdict) == (504, Verdict.MAY_HAVE_RUN)


def test_own_row_of_another_version_is_no_loss_of_the_job(stack: ExitStack) -> None:
    """Guards against a job that its owner drops and nobody takes.

    While the answer to its acceptance was lost, the owner had also taken the job by its row;
    the run with the older version failed, took itself for replaced, and forgot the job.
    """
    gate = threading.Event()
    fleet = Fleet(stack, lambda dispatch: Script(pieces=tuple(EVENTS), gate=gate))
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(3))
    row = keeper.table.get("j1")
    assert row is not None
    assert not isinstance(keeper.table.change(row, row.record), Err)
    time.sleep(0.2)
    gate.set()
    assert len(read_until(keeper, "j1", 3)) == 3


def test_job_with_a_lost_acceptance_is_run_once(stack: ExitStack) -> None:
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0")
    time.sleep(0.3)
    fleet.rows.faults = ["lost", "", "lost"]
    keeper.submit("j1", CHECKED, make_document(5))
    assert len(read_until(keeper, "j1", 5)) == 5
    assert len(fleet.link.sent) == 5


def test_job_that_its_owner_dropped_is_taken_again(stack: ExitStack) -> None:
    """Guards against a job that is forgotten because a run of it was given up."""
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0", workers=0)
    keeper.submit("j1", CHECKED, make_document(2))
    run = keeper._runs["j1"]
    run.stop("test")
    wait_until(lambda: keeper._runs.get("j1") not in (None, run))


def test_each_result_is_listed_once_through_lost_answers(stack: ExitStack) -> None:
    """Guards against an item at two positions, or a position with two results."""
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(0 + 8))
    fleet.rows.faults = ["lost", "", "refused", "lost", "lost", ""] * 2
    results = read_until(keeper, "j1", 8)
    assert sorted(result.id for result in results) == sorted(f"i{n}" for n in range(8))


def test_job_of_a_lost_daemon_is_taken_over(stack: ExitStack) -> None:
    """Guards against a job that nobody goes on with."""
    fleet = Fleet(stack, whole)
    lost = fleet.start("d0", workers=0)
    lost.submit("j1", CHECKED, make_document(5))
    lost.stop()
    heir = fleet.start("d1")
    assert len(read_until(heir, "j1", 5)) == 5
    # The former owner comes back to life and finds that it has no part in the job.
    row = fleet.rows.read(*job_key("j1")[:2], "j1", "j1\0").ok_value.rows[0]
    assert parse_job(row).record.owner == "d1/1" and parse_job(row).record.state == "done"


def test_former_owner_cannot_list_a_result(stack: ExitStack) -> None:
    """Guards against two daemons that list results of one job."""
    fleet = Fleet(stack, whole)
    slow = fleet.start("d0")
    gate_open = False

    def held(dispatch: Dispatch) -> Script:
        while not gate_open:
            time.sleep(0.01)
        return whole(dispatch)

    fleet.link.decide = held
    fleet.link.lock = _NoLock()
    slow.submit("j1", CHECKED, make_document(3))
    heir = fleet.start("d1")
    fleet.link.decide = whole
    results = read_until(heir, "j1", 3)
    gate_open = True
    time.sleep(0.3)
    assert heir.read("j1", ACCOUNT.name, 0, 0.0).results == results
    assert len(fleet.rows.read(RESULT_TABLE, find_part("j1")).ok_value.rows) == 3


class _NoLock:
    def __enter__(self) -> None: ...

    def __exit__(self, *error: object) -> None: ...


def test_stopping_daemon_hands_its_jobs_over_with_their_events(stack: ExitStack) -> None:
    """Guards against batch work that each planned stop throws away."""
    gate = threading.Event()

    fleet = Fleet(stack, wait_before_last(gate))
    stopping = fleet.start("d0")
    stopping.submit("j1", CHECKED, make_document(3))
    wait_until(lambda: len(fleet.link.answers) == 3 and fleet.link.answers[2].left == [EVENTS[2]])
    time.sleep(0.05)
    stopping.stop()
    heir = fleet.start("d1")
    results = read_until(heir, "j1", 3)
    assert all(result.output == OUTPUT for result in results)
    assert {dispatch.resume_after for dispatch in fleet.link.sent[3:6]} == {2}
    fleet.link.decide = whole
    stopping.submit("j2", CHECKED, make_document(2))
    assert len(read_until(heir, "j2", 2)) == 2
    gate.set()


def test_events_of_a_killed_daemon_are_gone_on_with(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a loss of power that throws away all batch work in flight."""
    monkeypatch.setattr(running_module, "_CHECKPOINT_INTERVAL_SECONDS", 0.1)
    gate = threading.Event()

    fleet = Fleet(stack, wait_before_last(gate))
    fleet.start("d0").submit("j1", CHECKED, make_document(2))
    read = lambda: fleet.rows.read(PARTIAL_TABLE, find_part("j1")).ok_value.rows  # noqa: E731
    wait_until(lambda: len(read()) == 2)
    # The keeper of the first daemon goes on in this process; only its row is taken from it.
    heir = fleet.start("d1")
    assert all(result.output == OUTPUT for result in read_until(heir, "j1", 2))
    assert {dispatch.resume_after for dispatch in fleet.link.sent[2:]} == {2}
    gate.set()
    wait_until(lambda: read() == [])


def test_failed_runs_count_over_owners(stack: ExitStack, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an item that fails at each run and is run anew by each owner."""
    monkeypatch.setattr(running_module, "_CHECKPOINT_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(running_module, "_RETRY_SECONDS", 1.0)
    fleet = Fleet(stack, lambda dispatch: Script(status=500, stream=False))
    first = fleet.start("d0")
    first.submit("j1", CHECKED, make_document(1))
    wait_until(lambda: len(fleet.rows.read(PARTIAL_TABLE, find_part("j1")).ok_value.rows) == 1)
    first.stop()
    monkeypatch.setattr(running_module, "_RETRY_SECONDS", 0.05)
    assert read_until(fleet.start("d1"), "j1", 1)[0].output is None
    assert len(fleet.link.sent) == ROUTE.max_runs


def test_daemons_that_do_not_hear_each_other_do_not_take_a_job_at_every_look(
    stack: ExitStack,
) -> None:
    """Guards against a job whose items are cut at each look of two daemons."""
    fleet = Fleet(stack, whole)
    first, second = fleet.start("d0", workers=0), fleet.start("d1", workers=0)
    first.submit("j1", CHECKED, make_document(1))
    time.sleep(1.0)
    rows = [keeper.table.get("j1") for keeper in (first, second)]
    versions = {row.version for row in rows if row is not None}
    assert len(versions) == 1
    assert versions.pop() <= 2


def test_item_that_can_never_be_done_is_given_up(stack: ExitStack) -> None:
    def decide(dispatch: Dispatch) -> Script:
        return (
            Script(status=422, stream=False)
            if dispatch.call.request_id == "i1"
            else whole(dispatch)
        )

    fleet = Fleet(stack, decide)
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(3))
    outputs = {result.id: result.output for result in read_until(keeper, "j1", 3)}
    assert outputs["i1"] is None and outputs["i0"] == OUTPUT
    assert sum(dispatch.call.request_id == "i1" for dispatch in fleet.link.sent) == 1


def test_failing_item_is_given_up_after_its_attempts(stack: ExitStack) -> None:
    fleet = Fleet(stack, lambda dispatch: Script(status=500, stream=False))
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(1))
    assert read_until(keeper, "j1", 1)[0].output is None
    assert len(fleet.link.sent) == ROUTE.max_runs


def test_full_workers_are_no_failed_attempts(stack: ExitStack) -> None:
    """Guards against items that are given up because the workers were busy."""
    full = [Script(status=503, not_run=True, stream=False)] * 5
    fleet = Fleet(stack, lambda dispatch: full.pop() if full else whole(dispatch))
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(1))
    assert read_until(keeper, "j1", 1)[0].output == OUTPUT


def test_item_that_gave_its_slot_up_goes_on_after_its_events(stack: ExitStack) -> None:
    """Guards against work that is done again from the start after each yield."""
    broken = WorkerFailure("reset", Verdict.MAY_HAVE_RUN)

    def decide(dispatch: Dispatch) -> Script:
        if dispatch.resume_after is None:
            return Script(pieces=(EVENTS[0], EVENTS[1] + EVENTS[2][:5]), broken=broken)
        return whole(dispatch)

    fleet = Fleet(stack, decide)
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(1))
    assert read_until(keeper, "j1", 1)[0].output == OUTPUT
    assert [dispatch.resume_after for dispatch in fleet.link.sent] == [None, 2]


def test_ended_job_stops_and_keeps_what_is_listed(stack: ExitStack) -> None:
    fleet = Fleet(stack, whole)
    keeper, other = fleet.start("d0", workers=0), fleet.start("d1", workers=0)
    keeper.submit("j1", CHECKED, make_document(6))
    other.end("j1", ACCOUNT.name)
    other.end("j1", ACCOUNT.name)
    time.sleep(0.3)
    assert keeper.progress() == {}
    with pytest.raises(Refusal) as caught:
        keeper.read_item("j1", ACCOUNT.name, "i1")
    assert caught.value.status == 404
    assert keeper.read("j1", ACCOUNT.name, 0, 0.0).results == []


def test_item_bodies_are_served_until_they_are_listed(stack: ExitStack) -> None:
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0", workers=0)
    keeper.submit("j1", CHECKED, make_document(2))
    assert fleet.start("d1", workers=0).read_item("j1", ACCOUNT.name, "i1") == b"prompt 1"


def test_other_accounts_see_no_job(stack: ExitStack) -> None:
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0", workers=0)
    keeper.submit("j1", CHECKED, make_document(1))
    for call in (
        lambda: keeper.read("j1", "other", 0, 0.0),
        lambda: keeper.end("j1", "other"),
        lambda: keeper.read_item("j1", "other", "i0"),
    ):
        with pytest.raises(Refusal) as caught:
            call()
        assert caught.value.status == 404


def test_tokens_that_may_wait_are_limited_over_all_daemons(stack: ExitStack) -> None:
    route = make_route(kind=RouteKind.BATCH, waiting_token_limit=1000)
    checked = Checked(route, ACCOUNT)
    fleet = Fleet(stack, whole)
    first, second = (
        fleet.start("d0", workers=0, route=route),
        fleet.start("d1", workers=0, route=route),
    )
    first.submit("j1", checked, make_document(6))
    time.sleep(0.1)
    with pytest.raises(Refusal) as caught:
        second.submit("j2", checked, make_document(6))
    assert caught.value.status == 429 and caught.value.retry_after
    second.submit("j3", checked, make_document(3))


@pytest.mark.parametrize("document", [b"", b"{}", b'{"items":[]}', b'{"items":[{"id":1}]}', b"[1]"])
def test_odd_documents_are_refused(stack: ExitStack, document: bytes) -> None:
    keeper = Fleet(stack, whole).start("d0")
    with pytest.raises(Refusal) as caught:
        keeper.submit("j1", CHECKED, document)
    assert caught.value.status == 400


def test_store_that_is_down_is_not_taken_for_a_missing_job(stack: ExitStack) -> None:
    fleet = Fleet(stack, whole)
    keeper = fleet.start("d0")
    fleet.rows.read = lambda *args, **kwargs: Err(StoreUnavailable("down"))
    with pytest.raises(Refusal) as caught:
        keeper.read("j9", ACCOUNT.name, 0, 0.0)
    assert caught.value.status == 503


def test_events_of_an_item_are_read_some_at_a_time() -> None:
    """Guards against a wake-up for each event of each batch item."""
    interval, events = 0.021, 229
    now, taken, waits = 0.0, 0, 0
    while taken < events:
        ready = min(events, int(now / interval))
        read_seconds = 0.0001
        if ready <= taken:
            read_seconds = (taken + 1) * interval - now
            waits += 1
        taken += 1
        now += read_seconds + running_module.choose_read_pause(read_seconds)
    # Each wait is a wake-up beside the one at the end of its pause.
    assert 2 * waits < events / 2
    assert now < events * interval + 0.15


class CountingRows(MemoryRows):
    """A store that counts the calls of feeds."""

    def __init__(self) -> None:
        super().__init__()
        self.follows = 0

    def follow(self, table: str, after: int, wait: float) -> Result[Snapshot, StoreError]:
        self.follows += 1
        return super().follow(table, after, wait)


def test_feed_of_jobs_in_a_large_fleet_gathers_changes(stack: ExitStack) -> None:
    """Guards against calls that grow with the square of the fleet: each change to each daemon."""
    rows = CountingRows()
    table = JobTable(SystemClock(), rows, MemoryBlobs())
    table.live_daemons = lambda: 70
    heard: list[JobRow] = []
    table.on_change = heard.append
    table.start(stack)
    record = JobRecord("j", ACCOUNT.name, "r", "a/1", OPEN, 1, 1, 0.0)
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        written = rows.commit([], [job_write(record)])
        time.sleep(0.01)
    version = written.unwrap().version
    wait_until(lambda: heard[-1].version == version)
    # The fleet's 200 calls a second are 2.9 for each of 70 daemons.
    assert rows.follows <= 7


class SlowRows(MemoryRows):
    """A store that goes silent: each write takes its whole time-out."""

    silent = False

    def commit(self, expected: Any, writes: Any) -> Result[Any, StoreError]:
        if not self.silent:
            return super().commit(expected, writes)
        time.sleep(0.3)
        return Err(OutcomeUnknown("silent"))


def test_silent_store_does_not_hold_a_planned_stop(stack: ExitStack) -> None:
    """Guards against a daemon with many jobs that is killed at the end of its time to stop."""
    gate = threading.Event()
    stack.callback(gate.set)
    fleet = Fleet(stack, lambda dispatch: Script(pieces=(EVENTS[0], EVENTS[1]), gate=gate))
    fleet.rows = rows = SlowRows()
    stopping = fleet.start("d0")
    for number in range(8):
        stopping.submit(f"j{number}", CHECKED, make_document(2))
    rows.silent = True
    begin = time.monotonic()
    stopping.stop()
    assert time.monotonic() - begin < 0.2
    assert not stopping.finish(0.5)
    assert time.monotonic() - begin < 1.0
    rows.silent = False
    assert stopping.finish(5.0)


def make_peer(vm: str) -> Any:
    """Return a daemon that is always heard."""
    return SimpleNamespace(
        identity=SimpleNamespace(vm=vm, incarnation=1),
        statement=SimpleNamespace(leaving=False, store_age=0.0),
        heard_at=float("inf"),
    )


class OutageRows(MemoryRows):
    """A store that refuses all calls for a time."""

    down = False

    def follow(self, table: str, after: int, wait: float) -> Result[Snapshot, StoreError]:
        if self.down:
            return Err(StoreUnavailable("down"))
        return super().follow(table, after, min(wait, 0.05))

    def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Result[Snapshot, StoreError]:
        return Err(StoreUnavailable("down")) if self.down else super().read(table, part, start, end)


def test_end_of_an_outage_takes_no_job_from_an_owner_that_lives(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against items that are cut because one daemon has the store back before another.

    Every job of the fleet changed its owner within 0.2 s after an outage of 4 s.
    """
    monkeypatch.setattr(keeper_module, "_OWNER_STORE_OUTAGE_LIMIT_SECONDS", 1.0)
    monkeypatch.setattr(keeper_module, "_OWNER_CHANGE_GRACE_SECONDS", 0.2)
    fleet = Fleet(stack, whole)
    fleet.rows = rows = OutageRows()
    owner = fleet.start("d0", workers=0)
    owner.submit("j1", CHECKED, make_document(1))
    first = fleet.start("d1")
    peer = make_peer("d0")
    first._tools.service.exchange.peers.append(peer)
    wait_until(lambda: first.table.get("j1") is not None)
    rows.down = True
    wait_until(lambda: first.table.answering_seconds == 0.0)
    peer.statement.store_age = 5.0
    rows.down = False
    wait_until(lambda: first.table.answering_seconds > 0.6)
    assert first.table.get("j1").record.owner == "d0/1"
    # An owner that stays without the store loses its jobs.
    wait_until(lambda: first.table.get("j1").record.owner == "d1/1")


def test_owner_by_a_lost_acceptance_runs_the_job_whatever_its_rank(stack: ExitStack) -> None:
    """Guards against an accepted job that nobody runs (seed 300 of the soak)."""
    fleet = Fleet(stack, whole)
    owner = fleet.start("d0", workers=0)
    owner._tools.service.exchange.peers += [make_peer(f"p{number}") for number in range(50)]
    owner.submit("j1", CHECKED, make_document(2))
    # As after an acceptance whose answer was lost: the row names this process, which has no run.
    owner._runs.pop("j1").stop("lost acceptance")
    wait_until(lambda: "j1" in owner._runs)
