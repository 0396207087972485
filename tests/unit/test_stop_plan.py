"""Tests which requests a stopping daemon still passes on, and their answers at its end."""

import math
import random
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager

import pytest
from serving_fakes import (
    ACCOUNT,
    EVENTS,
    FakeLink,
    Script,
    make_call,
    make_route,
    make_tools,
    take_all_slots,
)
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.serving.caller import CallerConnection
from trefoilreach._internal.coordination.serving.online import OnlineRunner
from trefoilreach._internal.coordination.serving.planned_stop import (
    RunLengths,
    find_latest_start,
    plan_stop,
)
from trefoilreach._internal.coordination.serving.request import OnlineAnswer, OnlineRequest
from trefoilreach._internal.coordination.serving.slot_table import RunCounts
from trefoilreach._internal.coordination.serving.worker_client import WorkerFailure
from trefoilreach._internal.protocol.completeness import Framing
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.serving import RouteKind, ServingRoute
from trefoilreach._internal.transport.http_server import AnswerAbortedError

STOP_SECONDS = 8.0
BROKEN = WorkerFailure("reset", Verdict.MAY_HAVE_RUN)
COMPLETE = Script(pieces=tuple(EVENTS))
PLAIN = Script(pieces=(b"whole",), stream=False)
RUN_ONCE = make_route(kind=RouteKind.STREAM, resumable=False, max_runs=1)
RESUMABLE = make_route()
READ = make_route(kind=RouteKind.IDEMPOTENT, resumable=False)
ACT = make_route(kind=RouteKind.NON_IDEMPOTENT, resumable=False, max_runs=1)
# Its requests may wait for a slot.
PATIENT = ACT._replace(target_seconds=2.0, timeout_seconds=30.0)
LIMITED = ACCOUNT._replace(rate=10.0, burst=10.0)
ALL_ROUTES = pytest.mark.parametrize("route", [RUN_ONCE, RESUMABLE, READ, ACT])


def make_lengths(*seconds: float) -> RunLengths:
    lengths = RunLengths()
    for length in seconds:
        lengths.record(length)
    return lengths


class Case:
    """Requests of a daemon on a paused clock, with scripted workers."""

    def __init__(self, *scripts: Script, workers: int = 3) -> None:
        self.clock = ManualClock()
        self.link = FakeLink(*scripts)
        self.tools = make_tools(self.link, workers, self.clock)
        self.tools.buckets.set_accounts([LIMITED])
        self.runner = OnlineRunner(self.tools)
        self.begun_at = self.clock.now()

    @property
    def admitted(self) -> int:
        """Number of requests that count against the account's rate."""
        return sum(use.admitted for use in self.tools.buckets.local_usage().values())

    def stop(self, usual_seconds: float = 0.0, usual_events: int = 1) -> None:
        """Begin the planned stop now.

        :param usual_seconds: length of the runs so far; 0 for none.
        :param usual_events: number of events of each of these runs.
        """
        for _ in range(100 if usual_seconds else 0):
            self.tools.planned_stop.record_run("r", usual_seconds, usual_events)
        self.begun_at = self.clock.now()
        self.tools.planned_stop.begin(plan_stop(self.begun_at, STOP_SECONDS))

    def advance_to(self, seconds: float) -> None:
        """Advance the clock to a time after the begin of the stop."""
        self.clock.advance(self.begun_at + seconds - self.clock.now())

    def run(
        self,
        route: ServingRoute,
        caller: CallerConnection | None = None,
        most_tokens: int | None = None,
    ) -> OnlineAnswer:
        seconds = route.timeout_seconds
        request = OnlineRequest(
            make_call(),
            route,
            LIMITED,
            self.clock.now(),
            seconds,
            ("part",),
            None,
            "f",
            most_tokens,
        )
        return self.runner.run(request, caller or CallerConnection())

    def expect_refusal(self, route: ServingRoute, most_tokens: int | None = None) -> Refusal:
        with pytest.raises(Refusal) as caught:
            self.run(route, most_tokens=most_tokens)
        return caught.value

    @contextmanager
    def start(
        self, route: ServingRoute, caller: CallerConnection | None = None
    ) -> Iterator["Future[OnlineAnswer]"]:
        """Run a request in a thread, which ends with the ``with`` block at the latest."""
        caller = caller or CallerConnection()
        with ThreadPoolExecutor(1) as pool:
            try:
                yield pool.submit(self.run, route, caller)
            finally:
                caller.cancel("the test ends")


def wait_until(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + 5.0
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.002)


def test_times_of_a_stop_follow_from_the_time_to_stop() -> None:
    long, short, shortest = (plan_stop(100.0, seconds) for seconds in (8.0, 4.0, 0.5))
    assert long == pytest.approx((102.75, 104.8, 107.4))
    assert short == pytest.approx((102.75, 103.0, 103.4))
    assert shortest == pytest.approx((102.75, 100.0, 100.0))


def test_request_that_ends_in_time_by_itself_is_passed_on() -> None:
    plan = plan_stop(0.0, STOP_SECONDS)
    assert find_latest_start(plan, 7.0, RunLengths()) == math.inf
    assert find_latest_start(plan, 7.3, RunLengths()) == math.inf


def test_callers_that_have_not_learned_of_the_stop_are_served_if_runs_usually_end_in_time() -> None:
    """Guards against refusing the full load of a daemon whose callers cannot know better."""
    plan = plan_stop(0.0, STOP_SECONDS)
    assert find_latest_start(plan, 60.0, RunLengths()) == pytest.approx(2.75)
    assert find_latest_start(plan, 60.0, make_lengths(4.0, 4.0)) == pytest.approx(2.75)
    assert find_latest_start(plan, 60.0, make_lengths(5.0, 5.0)) == pytest.approx(2.4)


@pytest.mark.parametrize("signal_delay", [0.0, 0.1, 0.25])
def test_request_sent_after_the_time_for_informing_callers_needs_enough_time(
    signal_delay: float,
) -> None:
    """Guards against streams that are cut though they were sent later than 3 s after the signal.

    Callers count from the sending of the signal, which a busy daemon handles late.
    """
    signal_at = 100.0
    plan = plan_stop(signal_at + signal_delay, STOP_SECONDS)
    lengths = make_lengths(*[4.0, 0.2] * 100)
    assert find_latest_start(plan, math.inf, lengths) <= signal_at + 3.0


def test_late_request_needs_more_time_than_the_longest_recent_run() -> None:
    plan = plan_stop(0.0, STOP_SECONDS)
    known = make_lengths(*[0.5] * 200)
    assert 6.2 < find_latest_start(plan, 8.1, known) < 6.5
    assert find_latest_start(plan, 8.1, make_lengths(*[0.5] * 200, 2.0)) < 3.4
    # Few runs say little about the longest one.
    assert find_latest_start(plan, 8.1, make_lengths(0.5, 0.5)) < 3.4


def test_long_run_is_remembered_for_a_while() -> None:
    lengths = make_lengths(*[0.5] * 200, 4.0, *[0.5] * 60)
    assert lengths.longest > 4.0
    assert make_lengths(4.0, *[0.5] * 400).longest < 1.2


@pytest.mark.parametrize(
    ("draw", "most"),
    [
        (lambda numbers: 0.4 * numbers.lognormvariate(0.0, 0.4), 0.0005),
        (lambda numbers: 0.4 * numbers.lognormvariate(0.0, 0.7), 0.003),
        (lambda numbers: numbers.expovariate(2.0), 0.002),
    ],
    ids=["narrow", "wide", "exponential"],
)
def test_hardly_any_run_exceeds_the_longest_length(
    draw: Callable[[random.Random], float], most: float
) -> None:
    """Guards against streams that are cut because runs vary more than is allowed for."""
    exceeded = count = 0
    for seed in range(100):
        numbers, lengths = random.Random(seed), RunLengths()
        for _ in range(400):
            seconds = draw(numbers)
            exceeded += seconds > lengths.longest
            count += 1
            lengths.record(seconds)
    assert exceeded / count < most


@ALL_ROUTES
def test_late_request_is_refused_at_once_and_costs_no_quota(route: ServingRoute) -> None:
    """Guards against a request that is passed on and then cut by the end of the process."""
    case = Case(COMPLETE)
    case.stop(usual_seconds=1.0)
    case.advance_to(6.0)
    refusal = case.expect_refusal(route)
    assert (refusal.status, refusal.verdict) == (503, Verdict.NOT_RUN)
    assert refusal.retry_after is not None and refusal.retry_after < 0.2
    assert case.link.sent == []
    assert case.admitted == 0


@ALL_ROUTES
def test_request_that_can_be_finished_is_passed_on_late(route: ServingRoute) -> None:
    case = Case(COMPLETE if route.kind is RouteKind.STREAM else PLAIN)
    case.stop(usual_seconds=0.3)
    case.advance_to(6.0)
    answer = case.run(route)
    assert answer.status == 200 and case.admitted == 1
    assert b"".join(answer.events or ()) or answer.body


@ALL_ROUTES
def test_late_request_for_a_longer_output_than_usual_is_refused(route: ServingRoute) -> None:
    """Guards against long streams on a route of short ones that are cut at the end of a stop."""
    case = Case(COMPLETE)
    case.stop(usual_seconds=0.3, usual_events=3)
    case.advance_to(3.5)
    refusal = case.expect_refusal(route, most_tokens=40)
    assert (refusal.status, refusal.code) == (503, "stopping")
    assert case.link.sent == []
    assert case.admitted == 0


def test_late_request_for_a_short_output_is_passed_on() -> None:
    case = Case(COMPLETE)
    case.stop(usual_seconds=0.3, usual_events=3)
    case.advance_to(5.0)
    answer = case.run(RUN_ONCE, most_tokens=5)
    assert b"".join(answer.events or ()) == b"".join(EVENTS)


def test_stream_that_breaks_late_is_resumed_if_the_rest_is_short() -> None:
    """Guards against a stream that is cut though another worker could finish it in time."""
    broken = Script(pieces=tuple(EVENTS[:4]), failure_after_pieces=BROKEN)
    case = Case(broken, Script(pieces=tuple(EVENTS[4:])))
    case.stop(usual_seconds=2.5, usual_events=5)
    case.advance_to(2.5)
    answer = case.run(RESUMABLE, most_tokens=5)
    case.advance_to(6.0)
    assert b"".join(answer.events or ()) == b"".join(EVENTS)


@pytest.mark.parametrize("seed", range(20))
def test_stream_passed_on_late_ends_in_time_whatever_the_mix_of_lengths(seed: int) -> None:
    """Guards against a bound from recent runs that says nothing of the next request.

    Load pattern: outputs from 3 to 400 tokens, of which workers make one or several in each event,
    at a pace that varies by up to half with the load of the worker.
    """
    numbers = random.Random(seed)
    lengths, plan = RunLengths(), plan_stop(0.0, STOP_SECONDS)
    tokens_per_event = numbers.choice([1, 2, 10])
    passed = 0
    for _ in range(400):
        tokens = round(3 * 133 ** numbers.betavariate(0.5, 2.0))
        # Few outputs are as long as their requests allow.
        events = max(1, round(tokens * numbers.choice([0.1, 0.5, 1.0]) / tokens_per_event))
        seconds = 0.1 + events * 0.02 * numbers.uniform(1.0, 1.5)
        start = numbers.uniform(3.5, STOP_SECONDS)
        if start < find_latest_start(plan, 60.0, lengths, tokens):
            assert start + seconds <= plan.ends_at
            passed += 1
        lengths.record(seconds, events)
    assert passed


def test_queued_request_is_refused_once_it_could_not_be_finished() -> None:
    """Guards against a request that gets a slot just before the process ends."""
    case = Case(workers=1)
    take_all_slots(case.tools)
    for _ in range(100):
        # A slot may become free at any moment, so that only the stop ends the wait.
        case.runner.overload_policy("pool").record_run(0.0)
    with case.start(PATIENT) as waiting:
        wait_until(lambda: bool(case.tools.admission.queued_by_service()))
        case.stop(usual_seconds=2.0)
        case.advance_to(2.95)
        time.sleep(0.05)
        assert not waiting.done()
        # In steps: the thread may compute a wait before a step and begin it after that.
        wait_until(lambda: case.clock.advance(0.02) or waiting.done())
        seconds = case.clock.now() - case.begun_at
        assert seconds >= 3.0 and seconds < 7.4
        with pytest.raises(Refusal) as caught:
            waiting.result(5.0)
    assert (caught.value.status, caught.value.code) == (503, "stopping")
    assert caught.value.verdict is Verdict.NOT_RUN and caught.value.retry_after == 0.0
    assert not case.tools.admission.queued_by_service()
    assert case.tools.admission.running_by_worker() == {"w0": RunCounts(online=2)}


def test_request_whose_worker_failed_late_is_not_sent_again() -> None:
    """Guards against a second run that is cut, and against a promise that the first did not run."""
    gate = threading.Event()
    late = Script(pieces=(b"a", b"b"), stream=False, failure_after_pieces=BROKEN, gate=gate)
    case = Case(late, PLAIN)
    case.stop(usual_seconds=1.0)
    case.advance_to(2.9)
    with case.start(READ) as running:
        wait_until(lambda: bool(case.link.answers))
        case.advance_to(6.5)
        gate.set()
        with pytest.raises(Refusal) as caught:
            running.result(5.0)
    assert (caught.value.status, caught.value.verdict) == (502, Verdict.MAY_HAVE_RUN)
    assert len(case.link.sent) == 1


def test_stream_that_breaks_late_is_not_resumed() -> None:
    """Guards against a resumed run that is cut too, while its caller could resume elsewhere."""
    case = Case(Script(pieces=tuple(EVENTS[:2]), failure_after_pieces=BROKEN), COMPLETE)
    case.stop(usual_seconds=1.0)
    case.advance_to(2.9)
    answer = case.run(RESUMABLE)
    case.advance_to(6.5)
    with pytest.raises(AnswerAbortedError):
        list(answer.events or ())
    assert len(case.link.sent) == 1


@pytest.mark.parametrize("framing", [Framing.CHUNKS, Framing.CONNECTION])
@pytest.mark.parametrize("route", [READ, ACT])
def test_request_without_answer_at_the_end_gets_a_final_true_one(
    route: ServingRoute, framing: Framing
) -> None:
    """Guards against a cut connection, an untrue 503 and a part of a body that looks whole."""
    script = Script(
        pieces=(b"part", b"rest"),
        stream=False,
        gate=threading.Event(),
        framing=framing,
    )
    case = Case(script, PLAIN)
    with case.start(route) as running:
        wait_until(lambda: bool(case.link.answers))
        case.stop(usual_seconds=1.0)
        case.advance_to(4.9)
        case.runner.end_unanswered()
        with pytest.raises(Refusal) as caught:
            running.result(5.0)
    assert (caught.value.status, caught.value.verdict) == (502, Verdict.MAY_HAVE_RUN)
    assert caught.value.retry_after is None
    assert len(case.link.sent) == 1
    assert not case.tools.admission.has_requests


def test_queued_request_at_the_end_is_refused_as_not_run() -> None:
    case = Case(workers=1)
    take_all_slots(case.tools)
    with case.start(PATIENT) as waiting:
        wait_until(lambda: bool(case.tools.admission.queued_by_service()))
        case.runner.end_unanswered()
        with pytest.raises(Refusal) as caught:
            waiting.result(5.0)
    assert (caught.value.status, caught.value.verdict) == (503, Verdict.NOT_RUN)
    assert case.link.sent == []


def test_stream_that_has_begun_is_relayed_to_the_end() -> None:
    """Guards against ending a stream that may still be completed."""
    case = Case(COMPLETE)
    answer = case.run(RUN_ONCE)
    case.runner.end_unanswered()
    assert b"".join(answer.events or ()) == b"".join(EVENTS)


def test_quota_of_a_cancelled_request_that_may_have_run_is_not_given_back() -> None:
    """Guards against an account that runs more than its rate by leaving early."""
    script = Script(pieces=(b"a", b"b"), stream=False, gate=threading.Event())
    case = Case(script)
    caller = CallerConnection()
    with case.start(ACT, caller) as running:
        wait_until(lambda: bool(case.link.answers))
        caller.mark_disconnected()
        with pytest.raises(Refusal) as caught:
            running.result(5.0)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert case.admitted == 1
