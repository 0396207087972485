"""Guards the attempts of one online request: what is sent again, and what the caller is told."""

import threading
import time

import pytest
from serving_fakes import ACCOUNT, EVENTS, FakeLink, Script, make_call, make_route, make_tools
from trefoilreach._internal.coordination.serving.caller import CallerWatch
from trefoilreach._internal.coordination.serving.link import WorkerFailure
from trefoilreach._internal.coordination.serving.online import OnlineRunner
from trefoilreach._internal.coordination.serving.relay import find_first_answer_timeout
from trefoilreach._internal.coordination.serving.request import OnlineAnswer, OnlineRequest
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.serving import RouteKind, ServingRoute
from trefoilreach._internal.transport.http_server import AnswerCut

BROKEN = WorkerFailure("reset", Verdict.MAY_HAVE_RUN)
SILENT = WorkerFailure("timed out", Verdict.MAY_HAVE_RUN, silent=True)
UNREACHABLE = WorkerFailure("refused", Verdict.NOT_RUN, unreachable=True)
WHOLE = Script(pieces=tuple(EVENTS))
FULL = Script(status=503, not_run=True, stream=False)
ONCE = make_route(kind=RouteKind.STREAM, resumable=False, max_runs=1)
RESUMABLE = make_route()


class Case:
    """One request against scripted workers."""

    def __init__(self, route: ServingRoute, *scripts: Script, workers: int = 3) -> None:
        self.link = FakeLink(*scripts)
        self.tools = make_tools(self.link, workers)
        self.runner = OnlineRunner(self.tools)
        self.route = route
        self.watch = CallerWatch()

    def run(self, time_left: float = 5.0, fingerprint: str = "f") -> OnlineAnswer:
        request = OnlineRequest(
            make_call(),
            self.route,
            ACCOUNT,
            self.tools.clock.now(),
            time_left,
            "part",
            None,
            fingerprint,
        )
        return self.runner.run(request, self.watch)

    def refuse(self, time_left: float = 5.0) -> Refusal:
        with pytest.raises(Refusal) as caught:
            answer = self.run(time_left)
            list(answer.events or ())
        return caught.value

    def assert_no_slot_taken(self) -> None:
        assert self.tools.admission.runs() == {}


def test_stream_is_relayed_whole() -> None:
    case = Case(ONCE, WHOLE)
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)
    assert ("X-Response-Signature", "s") in answer.headers
    assert case.link.answers[0].closed
    case.assert_no_slot_taken()


def test_non_idempotent_request_is_sent_once_after_a_lost_answer() -> None:
    """Guards against a second run of a request that may have run."""
    case = Case(ONCE, Script(failure=BROKEN), WHOLE)
    refusal = case.refuse()
    assert refusal.status == 502 and refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.retry_after is None and len(case.link.sent) == 1
    case.assert_no_slot_taken()


@pytest.mark.parametrize(
    "script", [FULL, Script(status=421, not_run=True), Script(failure=UNREACHABLE)]
)
def test_request_that_was_not_run_goes_to_another_worker(script: Script) -> None:
    case = Case(ONCE, script, WHOLE)
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)
    assert case.link.sent[0].worker != case.link.sent[1].worker


def test_request_that_no_worker_took_is_refused_as_not_run() -> None:
    case = Case(ONCE, *[FULL] * 10)
    refusal = case.refuse()
    assert refusal.status == 503 and refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after is not None
    case.assert_no_slot_taken()


def test_promise_is_not_made_after_a_run() -> None:
    """Guards against a 503 for a request that an earlier worker may have run."""
    case = Case(RESUMABLE, Script(failure=BROKEN), *[FULL] * 10)
    assert case.refuse().status in (502, 504)


def test_worker_answer_that_promises_without_its_mark_is_not_passed_on() -> None:
    """Guards against a worker's own 503 that the caller takes for a promise."""
    case = Case(ONCE, Script(status=503, stream=False, pieces=(b"x",)))
    assert case.refuse().status == 502


def test_success_without_receipt_is_no_success() -> None:
    assert Case(ONCE, Script(pieces=tuple(EVENTS), receipt=False)).refuse().status == 502


def test_broken_stream_goes_on_after_its_last_whole_event() -> None:
    """Guards against missing, doubled or torn events after a resume."""
    torn = Script(pieces=(EVENTS[0] + EVENTS[1] + EVENTS[2][:7],), broken=BROKEN)
    case = Case(RESUMABLE, torn, Script(pieces=tuple(EVENTS[2:])))
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)
    assert [dispatch.resume_after for dispatch in case.link.sent] == [None, 2]
    assert case.link.sent[0].worker != case.link.sent[1].worker
    case.assert_no_slot_taken()


def test_stalled_stream_is_taken_from_its_worker_first() -> None:
    """Guards against two workers that run one request at the same time."""
    case = Case(
        RESUMABLE,
        Script(pieces=(EVENTS[0],), broken=SILENT, silence=0.6),
        Script(pieces=tuple(EVENTS[1:])),
    )
    answer = case.run()
    assert answer.events is not None
    list(answer.events)
    assert case.link.answers[0].closed
    assert case.link.sent[0].worker.id in case.tools.admission.workers.suspects


def test_stream_that_cannot_go_on_never_looks_complete() -> None:
    case = Case(ONCE, Script(pieces=tuple(EVENTS[:2]), broken=BROKEN))
    answer = case.run()
    assert answer.events is not None
    with pytest.raises(AnswerCut):
        list(answer.events)
    case.assert_no_slot_taken()


def test_silent_worker_is_waited_for_when_no_other_run_is_allowed() -> None:
    """Guards against answers that are ended early although nothing is gained by it."""
    broken = Script(pieces=(EVENTS[0],), broken=BROKEN)
    case = Case(RESUMABLE, broken, Script(pieces=tuple(EVENTS[1:])))
    answer = case.run()
    assert answer.events is not None
    list(answer.events)
    first, second = (answer.timeouts for answer in case.link.answers)
    assert max(first) <= 0.8
    assert min(second) > 4.0


def test_slow_services_are_given_their_time() -> None:
    """Guards against plain answers that are cut and run again because they take a second."""
    plain = make_route(kind=RouteKind.IDEMPOTENT, target_seconds=1.0)
    assert find_first_answer_timeout(plain) >= 5.0
    assert find_first_answer_timeout(RESUMABLE) == 0.8
    assert find_first_answer_timeout(make_route(target_seconds=2.0)) >= 4.0


def test_attempts_of_a_route_are_not_exceeded() -> None:
    case = Case(RESUMABLE, Script(failure=BROKEN), Script(failure=BROKEN), WHOLE)
    assert case.refuse().status == 502
    assert len(case.link.sent) == 2


def test_failure_of_a_worker_is_tried_elsewhere_where_the_route_allows() -> None:
    """Guards against a sick worker whose errors reach callers that could have been served."""
    sick = Script(status=500, stream=False, pieces=(b"sick",))
    case = Case(RESUMABLE, sick, WHOLE)
    answer = case.run()
    assert answer.events is not None and b"".join(answer.events) == b"".join(EVENTS)
    answer = Case(ONCE, sick).run()
    assert (answer.status, answer.body) == (500, b"sick")
    answer = Case(RESUMABLE, sick, sick).run()
    assert (answer.status, answer.body) == (500, b"sick")


def test_request_of_dead_workers_is_not_sent_to_a_fourth() -> None:
    """Guards against a request that crashes one worker after the other."""
    route = make_route(max_runs=9)
    case = Case(route, *[Script(failure=BROKEN)] * 9, workers=6)
    case.link.dead = {f"w{n}" for n in range(6)}
    assert case.refuse().verdict is Verdict.MAY_HAVE_RUN
    assert len(case.link.sent) == 3
    assert case.refuse().status == 500
    assert len(case.link.sent) == 3


def test_caller_that_leaves_ends_the_run() -> None:
    """Guards against a worker that goes on for nobody."""
    gate = threading.Event()
    case = Case(RESUMABLE, Script(pieces=tuple(EVENTS[:2]), gate=gate))
    answer = case.run()
    threading.Timer(0.05, case.watch.mark).start()
    begun = time.monotonic()
    assert answer.events is not None
    with pytest.raises(AnswerCut):
        list(answer.events)
    assert time.monotonic() - begun < 0.5 and case.link.answers[0].closed
    assert len(case.link.sent) == 1
    case.assert_no_slot_taken()


def test_caller_that_leaves_while_it_waits_is_not_sent() -> None:
    case = Case(ONCE, workers=0)
    threading.Timer(0.05, case.watch.mark).start()
    assert case.refuse().status == 503
    assert case.link.sent == []


def test_no_slot_in_time_is_refused_with_a_time_to_come_back() -> None:
    case = Case(ONCE, workers=0)
    begun = time.monotonic()
    refusal = case.refuse(time_left=0.6)
    assert refusal.status == 503 and (refusal.retry_after or 0) > 0
    assert time.monotonic() - begun < 0.5


def test_account_over_its_rate_is_told_when_to_come_back() -> None:
    account = ACCOUNT._replace(rate=1.0, burst=1.0)
    case = Case(ONCE, WHOLE, WHOLE)
    case.tools.buckets.configure([account])
    request = OnlineRequest(make_call(), ONCE, account, case.tools.clock.now(), 5.0, "", None, "f")
    list(case.runner.run(request, CallerWatch()).events or ())
    with pytest.raises(Refusal) as caught:
        case.runner.run(request, CallerWatch())
    assert caught.value.status == 429 and 0 < (caught.value.retry_after or 0) <= 1.1
