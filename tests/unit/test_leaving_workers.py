"""Tests that a worker whose answers say that it leaves gets no new request, over real sockets."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, suppress
from functools import partial
from typing import Any

import harness
import pytest
from raw_workers import RawWorkers, Reply, name_request
from serving_fakes import ACCOUNT, EVENTS, make_call, make_route, make_service, make_tools
from test_jobs import CHECKED, OUTPUT, ROUTE, make_document, read_until
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.jobs import manager as manager_module
from trefoilreach._internal.coordination.jobs.manager import JobDependencies, JobManager
from trefoilreach._internal.coordination.serving import online as online_module
from trefoilreach._internal.coordination.serving import workers as workers_module
from trefoilreach._internal.coordination.serving.caller import CallerConnection
from trefoilreach._internal.coordination.serving.online import OnlineRunner
from trefoilreach._internal.coordination.serving.orphans import OrphanPoller
from trefoilreach._internal.coordination.serving.request import OnlineAnswer, OnlineRequest
from trefoilreach._internal.platform import names
from trefoilreach._internal.platform.workers import PlatformWorkers
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.rows import MemoryBlobs, MemoryRows
from trefoilreach._internal.state.serving import RouteKind, ServingRoute

IDEMPOTENT = make_route(kind=RouteKind.IDEMPOTENT, max_runs=1)
RUN_ONCE = make_route(kind=RouteKind.NON_IDEMPOTENT, resumable=False, max_runs=1)
RESUMABLE = make_route(max_runs=9)
NOT_RUN = b"X-Not-Executed: 1\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
# A request may be held for one look at the queue, and the machine of the tests may be busy.
AT_ONCE_SECONDS = 0.8

wait_until = partial(harness.wait_until, timeout=3.0)


def answer(
    status: int, headers: bytes = b"", body: bytes = b"text", leaving: bool = True, cut: int = 0
) -> Reply:
    """Return an answer without its last ``cut`` bytes."""
    head = b"HTTP/1.1 %d Status\r\nX-Response-Signature: s\r\n%b" % (status, headers)
    head += b"Server-Leaving: 1\r\n" if leaving else b""
    head += b"Content-Length: %d\r\n\r\n" % len(body)
    return Reply(name_request(head + body[: len(body) - cut]))


WHOLE = b"".join(EVENTS)
SOUND = answer(200, leaving=False)
SOUND_STREAM = answer(200, STREAM, WHOLE, leaving=False)
LEAVING_STREAM = answer(200, STREAM, WHOLE)
REFUSED = answer(503, NOT_RUN)
CUT_STREAM = Reply(
    name_request(
        b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" + STREAM + b"\r\n" + EVENTS[0] + EVENTS[1]
    ),
    reset=True,
)


class Daemon:
    """The parts of a daemon that send requests, with workers on sockets."""

    def __init__(self, stack: ExitStack) -> None:
        self.stack = stack
        self.client = PlatformWorkers(SystemClock())
        stack.callback(self.client.close)
        self.tools = make_tools(self.client, workers=0)
        self.directory = self.tools.admission.workers
        self.runner = OnlineRunner(self.tools)

    def add(self, name: str, *replies: Reply, repeated: Reply | None = None) -> RawWorkers:
        worker = RawWorkers(self.stack, *replies, repeated=repeated)
        self.directory.put(worker.entry(name))
        return worker

    def send(
        self,
        route: ServingRoute = RUN_ONCE,
        request_id: str = "q1",
        headers: tuple[tuple[str, str], ...] = (),
        time_left: float = 5.0,
    ) -> OnlineAnswer:
        call = make_call(request_id)._replace(headers=headers)
        now = self.tools.clock.now()
        request = OnlineRequest(call, route, ACCOUNT, now, time_left, (), None, request_id)
        return self.runner.run(request, CallerConnection())

    def usable(self) -> list[str]:
        return [entry.id for entry in self.directory.list_usable("pool")]


@pytest.fixture
def daemon(monkeypatch: pytest.MonkeyPatch) -> Iterator[Daemon]:
    monkeypatch.setattr(manager_module, "_STARTUP_GRACE_SECONDS", 0.1)
    monkeypatch.setattr(manager_module, "_CHECK_INTERVAL_SECONDS", 0.05)
    with ExitStack() as stack:
        yield Daemon(stack)


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []

    def note(kind: str, **fields: Any) -> None:
        found.append({"kind": kind, **fields})

    monkeypatch.setattr(workers_module, "log_event", note)
    monkeypatch.setattr(online_module, "log_event", note)
    monkeypatch.setattr(
        online_module,
        "log_decision",
        lambda kind, choice, reason, **fields: note(
            f"decision:{kind}", choice=choice, reason=reason, **fields
        ),
    )
    return found


def assert_refused_at_once(send: Callable[[], Any]) -> Refusal:
    begun = time.monotonic()
    with pytest.raises(Refusal) as caught:
        send()
    assert time.monotonic() - begun < AT_ONCE_SECONDS
    refusal = caught.value
    assert (refusal.status, refusal.verdict) == (503, Verdict.NOT_RUN)
    assert 0.1 <= (refusal.retry_after or 0.0) <= 2.0
    return refusal


@pytest.mark.parametrize(
    ("route", "reply"),
    [
        (RUN_ONCE, answer(200)),
        (RUN_ONCE, answer(404)),
        (IDEMPOTENT, answer(500)),
        (RUN_ONCE, answer(503)),
        (RUN_ONCE, REFUSED),
        (RUN_ONCE, answer(429, NOT_RUN)),
        (RESUMABLE, LEAVING_STREAM),
        (RUN_ONCE, answer(200, cut=1)),
        (RUN_ONCE, answer(200, names.RECEIPT.encode() + b": \r\n")),
    ],
)
def test_answers_of_all_kinds_end_the_use_of_a_worker(
    daemon: Daemon, route: ServingRoute, reply: Reply
) -> None:
    """Guards against requests to a worker that has said that it leaves."""
    leaving = daemon.add("w0", reply, repeated=SOUND)
    with suppress(Refusal):
        list(daemon.send(route).events or ())
    sound = daemon.add("w1", repeated=SOUND)
    for number in range(4):
        assert daemon.send(request_id=f"later{number}").status == 200
    assert (len(leaving.requests), len(sound.requests)) == (1, 4)


def test_refusal_for_another_version_says_that_a_worker_leaves(daemon: Daemon) -> None:
    """Guards against a 421 that is not read because it says nothing else about the worker."""
    daemon.add("w0", answer(421))
    with suppress(Refusal):
        daemon.send(headers=(("X-Expected-Version", "7"),))
    assert daemon.usable() == []


def test_other_worker_at_the_address_says_nothing_about_the_former(daemon: Daemon) -> None:
    """Guards against a worker that is not used for what the next one at its address says."""
    daemon.add("w0", repeated=answer(421))
    with suppress(Refusal):
        daemon.send()
    assert daemon.usable() == ["w0"]


def test_header_is_passed_on_to_the_caller(daemon: Daemon) -> None:
    """Guards against an answer that hides the header in place of a daemon that follows it."""
    daemon.add("w0", answer(200))
    assert ("Server-Leaving", "1") in daemon.send().headers


@pytest.mark.parametrize("time_left", [5.0, 3.0])
def test_request_without_a_worker_is_refused_at_once(
    daemon: Daemon, lines: list[dict[str, Any]], time_left: float
) -> None:
    """Guards against a request that is held until its deadline because all workers leave.

    A request with less time than its route gives has come back, and is queued otherwise.
    """
    worker = daemon.add("w0", answer(200), repeated=SOUND)
    daemon.send()
    refusal = assert_refused_at_once(partial(daemon.send, request_id="q2", time_left=time_left))
    assert "worker" in refusal.message
    assert len(worker.requests) == 1
    told = [line for line in lines if "unused" in line]
    assert told and all("(answer)" in line["unused"]["w0"] for line in told)


def test_retry_time_does_not_grow_while_there_is_no_worker(daemon: Daemon) -> None:
    """Guards against callers that are sent away for minutes after a few requests."""
    daemon.add("w0", answer(200))
    daemon.send()
    for number in range(30):
        assert_refused_at_once(partial(daemon.send, request_id=f"q{number}"))


def test_suspected_worker_is_tried_and_a_leaving_one_is_not(daemon: Daemon) -> None:
    """Guards against leaving workers that come back into use when all others are suspected."""
    daemon.add("w0", answer(200), repeated=SOUND)
    daemon.send()
    daemon.add("w1", repeated=SOUND)
    for worker in ("w0", "w1"):
        daemon.directory.note_failure(worker, "silent")
    assert daemon.usable() == ["w1"]


def test_stream_of_a_leaving_worker_goes_on(daemon: Daemon) -> None:
    """Guards against the end of a run because its worker leaves."""
    worker = daemon.add("w0", LEAVING_STREAM)
    events = daemon.send(RESUMABLE).events
    assert events is not None and b"".join(events) == WHOLE
    assert len(worker.requests) == 1


def test_stream_is_not_resumed_at_a_leaving_worker(daemon: Daemon) -> None:
    """Guards against a resume that prefers a leaving worker to the one that broke off."""
    leaving = daemon.add("w0", answer(200), repeated=SOUND_STREAM)
    daemon.send()
    rest = answer(200, STREAM, b"".join(EVENTS[2:]), leaving=False)
    broken = daemon.add("w1", CUT_STREAM, rest)
    events = daemon.send(RESUMABLE, request_id="q2").events
    assert events is not None and b"".join(events) == WHOLE
    assert (len(leaving.requests), len(broken.requests)) == (1, 2)


def test_request_in_the_queue_is_not_sent_to_a_worker_that_begins_to_leave(daemon: Daemon) -> None:
    """Guards against queued requests that get the slots which a leaving worker frees."""
    gate = threading.Event()
    worker = daemon.add("w0", answer(200)._replace(gate=gate), answer(200), repeated=SOUND)
    results: list[Refusal | OnlineAnswer] = []

    def send(request_id: str) -> None:
        try:
            results.append(daemon.send(request_id=request_id, time_left=3.0))
        except Refusal as refusal:
            results.append(refusal)

    threads = [threading.Thread(target=send, args=(f"q{n}",), daemon=True) for n in range(4)]
    for thread in threads:
        thread.start()
        time.sleep(0.05)
    opened_at = time.monotonic()
    gate.set()
    for thread in threads:
        thread.join(5.0)
    assert time.monotonic() - opened_at < AT_ONCE_SECONDS
    # The second request was on its way; the others waited for a slot.
    assert len(worker.requests) == 2
    refusals = [result for result in results if isinstance(result, Refusal)]
    assert len(results) == 4 and len(refusals) == 2
    assert all((r.status, r.verdict) == (503, Verdict.NOT_RUN) for r in refusals)


def test_slot_of_a_worker_that_has_just_begun_to_leave_is_returned(
    daemon: Daemon, lines: list[dict[str, Any]], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that was granted a slot before the news and is sent after it."""
    leaving = daemon.add("w0", answer(200), repeated=SOUND)
    sound: list[RawWorkers] = []

    def learn(attempts: Any) -> None:
        if not sound:
            sound.append(daemon.add("w1", repeated=SOUND))
            dispatch = online_module.Dispatch(
                make_call("other"), leaving.entry("w0"), None, 5.0, None
            )
            told = daemon.client.open(dispatch, 1.0, online_module.Interrupt())
            assert told.says_leaving
            daemon.directory.note_leaving(leaving.entry("w0"), online_module.Source.ANSWER)

    monkeypatch.setattr(online_module._OnlineAttempts, "_find_forbidding_block", learn)
    assert daemon.send().status == 200
    assert (len(leaving.requests), len(sound[0].requests)) == (1, 1)
    assert daemon.tools.admission.running_by_worker() == {}
    assert not [line for line in lines if line["kind"] == "request:attempt-failed"]
    again = [line for line in lines if line.get("choice") == "choose-again"]
    assert len(again) == 1 and "leaving" in again[0]["reason"]


def test_request_whose_worker_has_gone_since_the_choice_gets_another(
    daemon: Daemon, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal, with other workers free, for an entry that has just gone."""
    gone = daemon.add("w0", repeated=SOUND)
    sound: list[RawWorkers] = []

    def drop(attempts: Any) -> None:
        if not sound:
            sound.append(daemon.add("w1", repeated=SOUND))
            daemon.directory.drop("w0")

    monkeypatch.setattr(online_module._OnlineAttempts, "_find_forbidding_block", drop)
    assert daemon.send().status == 200
    assert (len(gone.requests), len(sound[0].requests)) == (0, 1)


def test_one_worker_of_many_serves_when_all_others_leave(daemon: Daemon) -> None:
    """Guards against requests that give up after some refusals though a worker is left."""
    leaving = [daemon.add(f"w{n}", repeated=REFUSED) for n in range(9)]
    sound = daemon.add("last", repeated=SOUND)
    # With fewer free slots, it is chosen after all others.
    daemon.directory.put(sound.entry("last")._replace(slots=1))
    assert daemon.send(request_id="q0").status == 200
    assert [len(worker.requests) for worker in leaving] == [1] * 9
    for number in range(1, 12):
        assert daemon.send(request_id=f"q{number}").status == 200
    assert all(len(worker.requests) <= 1 for worker in leaving)
    assert len(sound.requests) == 12


def test_worker_that_says_so_and_never_leaves_is_told_of_once(
    daemon: Daemon, lines: list[dict[str, Any]]
) -> None:
    """Guards against a log line for each answer, and against an entry that says ready."""
    gate = threading.Event()
    reply = answer(200)._replace(gate=gate)
    worker = daemon.add("w0", reply, reply, repeated=answer(200))
    senders = [
        threading.Thread(target=daemon.send, kwargs={"request_id": f"q{n}"}, daemon=True)
        for n in range(2)
    ]
    for sender in senders:
        sender.start()
    wait_until(lambda: daemon.tools.admission.running_by_worker().get("w0", (0, 0))[0] == 2)
    gate.set()
    for sender in senders:
        sender.join(5.0)
    for sequence in range(1, 20):
        daemon.directory.put(worker.entry("w0")._replace(sequence=sequence))
        with pytest.raises(Refusal):
            daemon.send(request_id=f"later{sequence}")
    assert len(worker.requests) == 2
    assert [line["kind"] for line in lines].count("worker:leaving") == 1


def start_job(daemon: Daemon, items: int) -> JobManager:
    service = make_service("d0", 1, ROUTE)
    parts = JobDependencies(daemon.tools.clock, MemoryRows(), MemoryBlobs(), daemon.tools, service)
    keeper = JobManager(parts)
    keeper.start(daemon.stack)
    keeper.follow(daemon.stack)
    keeper.submit("j1", CHECKED, make_document(items))
    return keeper


@pytest.mark.parametrize("reply", [LEAVING_STREAM, REFUSED, answer(500)])
def test_batch_items_do_not_go_to_a_leaving_worker(daemon: Daemon, reply: Reply) -> None:
    """Guards against items that fill the slots of a leaving worker."""
    leaving = daemon.add("w0", repeated=reply)
    sound = daemon.add("w1", repeated=SOUND_STREAM)
    keeper = start_job(daemon, 12)
    results = read_until(keeper, "j1", 12)
    assert all(result.output == OUTPUT for result in results)
    # Both slots may have been taken before the first answer.
    assert 1 <= len(leaving.requests) <= 2
    assert len(leaving.requests) + len(sound.requests) <= 14


class HeldExecutor:
    """Runs the first tasks only when they are released."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.released = threading.Event()

    def submit(self, task: Any, /, *arguments: Any) -> None:
        def run() -> None:
            self.released.wait(10.0)
            task(*arguments)

        threading.Thread(target=run, daemon=True).start()

    def shutdown(self, wait: bool = True, cancel_futures: bool = False) -> None:
        """Nothing to end."""


def test_batch_item_that_waits_for_a_thread_is_not_sent_to_a_leaving_worker(
    daemon: Daemon, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an item that got its slot before the news and is sent after it."""
    monkeypatch.setattr(manager_module, "ThreadPoolExecutor", HeldExecutor)
    leaving = daemon.add("w0", LEAVING_STREAM, repeated=SOUND_STREAM)
    keeper = start_job(daemon, 1)
    wait_until(lambda: daemon.tools.admission.running_by_worker())
    daemon.send(RESUMABLE)
    sound = daemon.add("w1", repeated=SOUND_STREAM)
    keeper._executor.released.set()
    assert read_until(keeper, "j1", 1)[0].output == OUTPUT
    assert (len(leaving.requests), len(sound.requests)) == (1, 1)


@pytest.mark.parametrize("status", [200, 500, 503])
def test_load_report_ends_the_use_of_a_worker(daemon: Daemon, status: int) -> None:
    """Guards against a load report whose header is not read because its body is of no use."""
    daemon.add("w0", answer(status, body=b'{"running":1,"waiting":0}'))
    OrphanPoller(daemon.tools.clock, daemon.tools.admission, daemon.client, lambda _: True).poll()
    assert daemon.usable() == []


def test_load_report_of_another_worker_at_the_address_changes_nothing(daemon: Daemon) -> None:
    """Guards against a worker that is not used for what another one says."""
    daemon.add("w0", answer(421))
    OrphanPoller(daemon.tools.clock, daemon.tools.admission, daemon.client, lambda _: True).poll()
    assert daemon.usable() == ["w0"]


def test_worker_that_starts_again_under_its_id_is_used(daemon: Daemon) -> None:
    """Guards against a worker that is lost for good once it has said that it leaves."""
    worker = daemon.add("w0", answer(200), repeated=SOUND)
    daemon.send()
    daemon.directory.drop("w0")
    daemon.directory.put(worker.entry("w0"))
    assert_refused_at_once(partial(daemon.send, request_id="q2"))
    daemon.directory.put(worker.entry("w0")._replace(started_ms=2))
    assert daemon.send(request_id="q3").status == 200
    assert len(worker.requests) == 2


def test_answer_of_a_former_process_says_nothing_about_the_next(daemon: Daemon) -> None:
    """Guards against a new process that is not used for the late answer of the former one."""
    gate = threading.Event()
    worker = daemon.add("w0", answer(200)._replace(gate=gate), repeated=SOUND)
    sender = threading.Thread(target=daemon.send, daemon=True)
    sender.start()
    wait_until(lambda: worker.requests)
    daemon.directory.put(worker.entry("w0")._replace(started_ms=2))
    gate.set()
    sender.join(5.0)
    assert daemon.usable() == ["w0"]
