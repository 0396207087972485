"""Tests the attempts of one online request: what is sent again, and the caller's answer."""

import threading
import time
from typing import Any

import pytest
from serving_fakes import (
    ACCOUNT,
    EVENTS,
    FakeLink,
    Script,
    make_call,
    make_route,
    make_tools,
    make_workers,
)
from trefoilreach._internal.coordination.serving import online as online_module
from trefoilreach._internal.coordination.serving.caller import CallerConnection
from trefoilreach._internal.coordination.serving.online import OnlineRunner
from trefoilreach._internal.coordination.serving.relay import find_first_answer_timeout
from trefoilreach._internal.coordination.serving.request import OnlineAnswer, OnlineRequest
from trefoilreach._internal.coordination.serving.slot_table import PeerLoad, QueueRank, RunCounts
from trefoilreach._internal.coordination.serving.worker_client import WorkerFailure
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.serving import RouteKind, ServingRoute
from trefoilreach._internal.transport.http_server import AnswerAbortedError

BROKEN = WorkerFailure("reset", Verdict.MAY_HAVE_RUN)
SILENT = WorkerFailure("timed out", Verdict.MAY_HAVE_RUN, timed_out=True)
UNREACHABLE = WorkerFailure("refused", Verdict.NOT_RUN, unreachable=True)
COMPLETE = Script(pieces=tuple(EVENTS))
QUEUE_FULL = Script(status=503, not_run=True, stream=False)
RUN_ONCE = make_route(kind=RouteKind.STREAM, resumable=False, max_runs=1)
RESUMABLE = make_route()


class Case:
    """One request against scripted workers."""

    def __init__(self, route: ServingRoute, *scripts: Script, workers: int = 3) -> None:
        self.link = FakeLink(*scripts)
        self.tools = make_tools(self.link, workers)
        self.runner = OnlineRunner(self.tools)
        self.route = route
        self.watch = CallerConnection()

    def run(self, time_left: float = 5.0, fingerprint: str = "f") -> OnlineAnswer:
        request = OnlineRequest(
            make_call(),
            self.route,
            ACCOUNT,
            self.tools.clock.now(),
            time_left,
            ("part",),
            None,
            fingerprint,
        )
        return self.runner.run(request, self.watch)

    def expect_refusal(self, time_left: float = 5.0) -> Refusal:
        with pytest.raises(Refusal) as caught:
            answer = self.run(time_left)
            list(answer.events or ())
        return caught.value

    def assert_no_slot_taken(self) -> None:
        assert self.tools.admission.running_by_worker() == {}


def test_stream_is_relayed_completely() -> None:
    case = Case(RUN_ONCE, COMPLETE)
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)
    assert ("X-Response-Signature", "s") in answer.headers
    assert case.link.answers[0].closed
    case.assert_no_slot_taken()


def test_non_idempotent_request_is_sent_once_after_a_lost_answer() -> None:
    """Guards against a second run of a request that may have run."""
    case = Case(RUN_ONCE, Script(failure=BROKEN), COMPLETE)
    refusal = case.expect_refusal()
    assert refusal.status == 502 and refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.retry_after is None and len(case.link.sent) == 1
    case.assert_no_slot_taken()


@pytest.mark.parametrize(
    "script", [QUEUE_FULL, Script(status=421, not_run=True), Script(failure=UNREACHABLE)]
)
def test_request_that_was_not_run_goes_to_another_worker(script: Script) -> None:
    case = Case(RUN_ONCE, script, COMPLETE)
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)
    assert case.link.sent[0].worker != case.link.sent[1].worker


def test_worker_whose_address_another_one_has_gets_no_more_requests() -> None:
    """Guards against requests that are sent again and again to the entry of a process that ended.

    Its slots are all free, which makes it the first choice.
    """
    replaced = Script(status=421, not_run=True, wrong_worker=True, stream=False)
    case = Case(RUN_ONCE, *[replaced if n == 0 else COMPLETE for n in range(9)], workers=2)
    for _ in range(8):
        list(case.run().events or ())
    first = case.link.sent[0].worker.id
    assert [dispatch.worker.id for dispatch in case.link.sent].count(first) == 1


def test_request_that_no_worker_took_is_refused_as_not_run() -> None:
    case = Case(RUN_ONCE, *[QUEUE_FULL] * 10)
    refusal = case.expect_refusal()
    assert refusal.status == 503 and refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after is not None
    case.assert_no_slot_taken()


def test_503_is_not_returned_after_a_possible_run() -> None:
    """Guards against a 503 for a request that an earlier worker may have run."""
    case = Case(RESUMABLE, Script(failure=BROKEN), *[QUEUE_FULL] * 10)
    assert case.expect_refusal().status in (502, 504)


def test_503_of_a_worker_without_not_run_mark_is_not_passed_on() -> None:
    """Guards against a worker's 503 that the caller takes as proof that the request has not run."""
    case = Case(RUN_ONCE, Script(status=503, stream=False, pieces=(b"x",)))
    assert case.expect_refusal().status == 502


def test_answer_without_receipt_is_a_failure() -> None:
    assert (
        Case(RUN_ONCE, Script(pieces=tuple(EVENTS), receipt=False)).expect_refusal().status == 502
    )


def test_broken_stream_is_resumed_after_its_last_complete_event() -> None:
    """Guards against missing, duplicate or partial events after a resume."""
    partial = Script(pieces=(EVENTS[0] + EVENTS[1] + EVENTS[2][:7],), failure_after_pieces=BROKEN)
    case = Case(RESUMABLE, partial, Script(pieces=tuple(EVENTS[2:])))
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)
    assert [dispatch.resume_after for dispatch in case.link.sent] == [None, 2]
    assert case.link.sent[0].worker != case.link.sent[1].worker
    case.assert_no_slot_taken()


def test_stalled_stream_is_closed_before_it_is_resumed() -> None:
    """Guards against two workers that run one request at the same time."""
    case = Case(
        RESUMABLE,
        Script(pieces=(EVENTS[0],), failure_after_pieces=SILENT, silence_seconds=0.6),
        Script(pieces=tuple(EVENTS[1:])),
    )
    answer = case.run()
    assert answer.events is not None
    list(answer.events)
    assert case.link.answers[0].closed
    assert case.link.sent[0].worker.id in case.tools.admission.workers.suspects


@pytest.mark.parametrize("filler", [b"x", b": comment\n\n"])
def test_stalled_stream_that_sends_bytes_now_and_then_is_resumed(filler: bytes) -> None:
    """Guards against a stalled worker that keeps its request by bytes that are no event."""
    case = Case(
        RESUMABLE,
        Script(pieces=(EVENTS[0], *[filler] * 60), piece_seconds=0.05),
        Script(pieces=tuple(EVENTS[1:])),
    )
    begun = time.monotonic()
    answer = case.run()
    assert answer.events is not None
    received = b"".join(answer.events)
    # Twice the longest pause that counts as on time, and room for a busy machine.
    assert time.monotonic() - begun < 1.5
    assert received.replace(filler, b"") == b"".join(EVENTS).replace(filler, b"")
    assert case.link.answers[0].closed


def test_slow_stream_whose_events_keep_coming_is_not_cut() -> None:
    """Guards against the loss of a stream that is slow but makes progress."""
    case = Case(RESUMABLE, Script(pieces=tuple(EVENTS), piece_seconds=0.35))
    answer = case.run()
    assert answer.events is not None
    assert b"".join(answer.events) == b"".join(EVENTS)
    assert len(case.link.sent) == 1


def test_stream_that_cannot_be_resumed_is_cut() -> None:
    case = Case(RUN_ONCE, Script(pieces=tuple(EVENTS[:2]), failure_after_pieces=BROKEN))
    answer = case.run()
    assert answer.events is not None
    with pytest.raises(AnswerAbortedError):
        list(answer.events)
    case.assert_no_slot_taken()


def test_silent_worker_is_waited_for_when_no_other_run_is_allowed() -> None:
    """Guards against answers that are aborted although no other attempt is allowed."""
    broken = Script(pieces=(EVENTS[0],), failure_after_pieces=BROKEN)
    case = Case(RESUMABLE, broken, Script(pieces=tuple(EVENTS[1:])))
    answer = case.run()
    assert answer.events is not None
    list(answer.events)
    first, second = (answer.timeouts for answer in case.link.answers)
    assert max(first) <= 0.8
    assert min(second) > 4.0


def test_slow_services_have_longer_timeouts() -> None:
    """Guards against plain answers that are aborted and run again because they take a second."""
    plain = make_route(kind=RouteKind.IDEMPOTENT, target_seconds=1.0)
    assert find_first_answer_timeout(plain) >= 5.0
    assert find_first_answer_timeout(RESUMABLE) == 0.8
    assert find_first_answer_timeout(make_route(target_seconds=2.0)) >= 4.0


def test_run_limit_of_a_route_is_not_exceeded() -> None:
    case = Case(RESUMABLE, Script(failure=BROKEN), Script(failure=BROKEN), COMPLETE)
    assert case.expect_refusal().status == 502
    assert len(case.link.sent) == 2


def test_error_of_a_worker_is_retried_elsewhere_if_the_route_allows_it() -> None:
    """Guards against errors of a failing worker for requests that another worker could serve."""
    failing = Script(status=500, stream=False, pieces=(b"sick",))
    case = Case(RESUMABLE, failing, COMPLETE)
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)
    answer = Case(RUN_ONCE, failing).run()
    assert (answer.status, answer.body) == (500, b"sick")
    answer = Case(RESUMABLE, failing, failing).run()
    assert (answer.status, answer.body) == (500, b"sick")


def test_request_of_three_crashed_workers_is_not_sent_to_a_fourth() -> None:
    """Guards against a request that crashes one worker after another."""
    route = make_route(max_runs=9)
    case = Case(route, *[Script(failure=BROKEN)] * 9, workers=6)
    case.link.dead = {f"w{n}" for n in range(6)}
    assert case.expect_refusal().verdict is Verdict.MAY_HAVE_RUN
    assert len(case.link.sent) == 3
    assert case.expect_refusal().status == 500
    assert len(case.link.sent) == 3


def test_stream_that_had_begun_at_three_crashed_workers_is_resumed() -> None:
    """Guards against a sound stream that is blocked for crashes while it was being answered."""
    broken = [Script(pieces=(event,), failure_after_pieces=BROKEN) for event in EVENTS[:3]]
    case = Case(make_route(max_runs=9), *broken, Script(pieces=tuple(EVENTS[3:])), workers=6)
    case.link.dead = {f"w{n}" for n in range(6)}
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)


def test_disconnect_of_the_caller_ends_the_run() -> None:
    """Guards against a worker that continues a run whose caller has disconnected."""
    gate = threading.Event()
    case = Case(RESUMABLE, Script(pieces=tuple(EVENTS[:2]), gate=gate))
    answer = case.run()
    threading.Timer(0.05, case.watch.mark_disconnected).start()
    begun = time.monotonic()
    assert answer.events is not None
    with pytest.raises(AnswerAbortedError):
        list(answer.events)
    assert time.monotonic() - begun < 0.5 and case.link.answers[0].closed
    assert len(case.link.sent) == 1
    case.assert_no_slot_taken()


def test_request_of_a_caller_that_disconnects_in_the_queue_is_not_sent() -> None:
    case = Case(RUN_ONCE, workers=1)
    report_queue(case, waiting=2)
    begun = time.monotonic()
    threading.Timer(0.1, case.watch.mark_disconnected).start()
    assert case.expect_refusal(time_left=4.0).status == 503
    assert 0.1 <= time.monotonic() - begun < 0.5
    assert case.link.sent == []


def test_request_without_slot_in_time_is_refused_with_a_retry_time() -> None:
    case = Case(RUN_ONCE, workers=0)
    begun = time.monotonic()
    refusal = case.expect_refusal(time_left=0.6)
    assert refusal.status == 503 and (refusal.retry_after or 0) > 0
    assert time.monotonic() - begun < 0.5


@pytest.mark.parametrize("time_left", [5.0, 4.0, 3.0])
def test_request_without_a_worker_is_refused_at_once(time_left: float) -> None:
    """Guards against a request that is held until its deadline because there is no worker.

    One with less time than its route gives has come back, and is queued while there are workers.
    """
    case = Case(RUN_ONCE, workers=0)
    begun = time.monotonic()
    refusal = case.expect_refusal(time_left)
    assert time.monotonic() - begun < 0.3
    assert refusal.status == 503 and refusal.verdict is Verdict.NOT_RUN
    assert "worker" in refusal.message


def test_queued_request_is_refused_as_soon_as_the_last_worker_has_gone() -> None:
    """Guards against a queued request that waits until its deadline for the slots of no worker."""
    case = Case(RUN_ONCE, workers=1)
    report_queue(case, waiting=0)
    begun = time.monotonic()
    threading.Timer(0.3, case.tools.admission.workers.drop, ("w0",)).start()
    refusal = case.expect_refusal(time_left=4.0)
    assert 0.3 <= time.monotonic() - begun < 1.0
    assert refusal.status == 503 and refusal.verdict is Verdict.NOT_RUN


def test_retry_times_without_a_worker_do_not_grow() -> None:
    """Guards against callers that are sent away for minutes, also after workers have come."""
    case = Case(RUN_ONCE, workers=0)
    waits = [case.expect_refusal().retry_after or 0.0 for _ in range(40)]
    assert all(0.1 <= wait <= 2.0 for wait in waits)
    case.tools.admission.workers.put(make_workers(1)[0])
    report_queue(case, waiting=60)
    assert (case.expect_refusal().retry_after or 0.0) < 30.0


def report_queue(case: Case, waiting: int, running: int = 2) -> None:
    """Let a peer report that it fills a worker, and requests that go before any new one."""
    now = case.tools.clock.now()
    ranks = tuple(QueueRank(0, now - 9.0) for _ in range(waiting))
    load = PeerLoad(now + 60.0, {"w0": RunCounts(running, 0)}, {"pool": ranks})
    case.tools.admission.apply_peer_load("d1", load)


def test_returning_request_that_cannot_get_a_slot_in_time_is_refused_at_once() -> None:
    """Guards against a request that is held until its caller leaves, though it has no chance.

    The 60 requests before it need 24 s on the two slots.
    """
    case = Case(RUN_ONCE, workers=1)
    report_queue(case, waiting=60)
    begun = time.monotonic()
    refusal = case.expect_refusal(time_left=4.0)
    assert time.monotonic() - begun < 0.5
    assert refusal.status == 503 and refusal.verdict is Verdict.NOT_RUN
    assert (refusal.retry_after or 0) > 0


def test_queued_request_is_refused_as_soon_as_it_has_become_hopeless(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that stays queued after the loss of the workers it waits for.

    The log tells its place and the expected wait, when it is queued and when it leaves.
    """
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        online_module,
        "log_decision",
        lambda kind, choice, reason, **fields: lines.append({"is": (kind, choice), **fields}),
    )
    case = Case(RUN_ONCE, workers=1)
    report_queue(case, waiting=2)
    threading.Timer(0.4, report_queue, (case, 60)).start()
    begun = time.monotonic()
    refusal = case.expect_refusal(time_left=4.0)
    assert 0.4 <= time.monotonic() - begun < 1.5
    assert refusal.verdict is Verdict.NOT_RUN
    waits, leaves = (line for line in lines if line["is"][0] == "queue")
    assert (waits["is"][1], leaves["is"][1]) == ("wait", "leave")
    assert waits["pressure"]["before"] < leaves["pressure"]["before"]
    assert waits["estimated_wait"] < waits["seconds_to_latest_start"]
    assert leaves["estimated_wait"] > leaves["seconds_to_latest_start"]


def test_queued_request_that_can_be_served_late_is_not_refused() -> None:
    """Guards against refusals by an estimate that is only somewhat longer than the time left."""
    case = Case(RUN_ONCE, COMPLETE, workers=1)
    report_queue(case, waiting=8)
    threading.Timer(1.2, report_queue, (case, 0, 0)).start()
    threading.Timer(1.25, case.tools.admission.grant_waiting).start()
    assert case.run(time_left=4.0).status == 200


def test_account_over_its_rate_is_refused_with_a_retry_time() -> None:
    account = ACCOUNT._replace(rate=1.0, burst=1.0)
    case = Case(RUN_ONCE, COMPLETE, COMPLETE)
    case.tools.buckets.set_accounts([account])
    request = OnlineRequest(
        make_call(), RUN_ONCE, account, case.tools.clock.now(), 5.0, (), None, "f"
    )
    list(case.runner.run(request, CallerConnection()).events or ())
    with pytest.raises(Refusal) as caught:
        case.runner.run(request, CallerConnection())
    assert caught.value.status == 429 and 0 < (caught.value.retry_after or 0) <= 1.1
