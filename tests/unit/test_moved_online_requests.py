"""Tests online requests whose route moves to another service while they wait for a slot."""

import time
from concurrent.futures import Future, ThreadPoolExecutor

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
    take_all_slots,
)
from trefoilreach._internal.coordination.serving.caller import CallerConnection
from trefoilreach._internal.coordination.serving.online import OnlineRunner
from trefoilreach._internal.coordination.serving.request import OnlineAnswer, OnlineRequest
from trefoilreach._internal.coordination.serving.worker_client import WorkerFailure
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.serving import RouteKind, ServingRoute, WeightedService

# Its requests may wait for a slot.
ROUTE = make_route(target_seconds=2.0, timeout_seconds=6.0)
NEW_SERVICE = "new-pool"
MOVED = ROUTE._replace(services=(WeightedService(NEW_SERVICE, 1.0),))
NEW_WORKER = make_workers(1)[0]._replace(id="n0", service=NEW_SERVICE, port=90)
BROKEN = WorkerFailure("reset", Verdict.MAY_HAVE_RUN)


class Case:
    """A daemon whose route can be changed."""

    def __init__(self, *scripts: Script) -> None:
        self.link = FakeLink(*scripts)
        self.tools = make_tools(self.link, workers=1)
        self.runner = OnlineRunner(self.tools)
        self.route: ServingRoute | None = ROUTE
        self.runner.find_route = lambda name: self.route
        # A slot may become free at any moment, so that requests wait.
        for service in ("pool", NEW_SERVICE):
            for _ in range(100):
                self.runner.overload_policy(service).record_run(0.0)

    def run(self) -> OnlineAnswer:
        now = self.tools.clock.now()
        request = OnlineRequest(make_call(), ROUTE, ACCOUNT, now, 6.0, (), None, "f")
        return self.runner.run(request, CallerConnection())


def start_waiting(case: Case, pool: ThreadPoolExecutor) -> "Future[OnlineAnswer]":
    take_all_slots(case.tools)
    running = pool.submit(case.run)
    while not case.tools.admission.queued_by_service():
        assert not running.done()
        time.sleep(0.002)
    return running


def test_waiting_request_of_a_moved_route_runs_at_its_new_service() -> None:
    """Guards against requests that wait for a busy service while workers of the new one idle."""
    case = Case(Script(pieces=tuple(EVENTS)))
    with ThreadPoolExecutor(1) as pool:
        running = start_waiting(case, pool)
        case.tools.admission.workers.put(NEW_WORKER)
        case.route = MOVED
        answer = running.result(2.0)
    assert b"".join(answer.events or ()) == b"".join(EVENTS)
    assert [sent.worker.service for sent in case.link.sent] == [NEW_SERVICE]
    assert not case.tools.admission.queued_by_service()


@pytest.mark.parametrize("route", [None, ROUTE._replace(kind=RouteKind.BATCH)])
def test_waiting_request_of_a_removed_route_keeps_its_place(route: ServingRoute | None) -> None:
    """Guards against a refusal of a request that was valid when it was sent."""
    case = Case(Script(pieces=tuple(EVENTS)))
    with ThreadPoolExecutor(1) as pool:
        running = start_waiting(case, pool)
        case.route = route
        time.sleep(0.4)
        assert not running.done()
        case.tools.admission.workers.put(make_workers(2)[1])
        answer = running.result(2.0)
    assert b"".join(answer.events or ()) == b"".join(EVENTS)


def test_stream_that_breaks_after_the_move_is_resumed_at_the_new_service() -> None:
    """Guards against a stream that is cut because the workers of its former service have left."""
    case = Case(
        Script(pieces=tuple(EVENTS[:2]), failure_after_pieces=BROKEN),
        Script(pieces=tuple(EVENTS[2:])),
    )
    answer = case.run()
    assert answer.events is not None
    received = next(answer.events)
    case.tools.admission.workers.put(NEW_WORKER)
    case.route = MOVED
    assert received + b"".join(answer.events) == b"".join(EVENTS)
    assert [sent.worker.service for sent in case.link.sent] == ["pool", NEW_SERVICE]


def test_cancelled_request_of_a_moved_route_does_not_wait_again() -> None:
    """Guards against requests that go on after their caller has left."""
    case = Case()
    caller = CallerConnection()
    now = case.tools.clock.now()
    request = OnlineRequest(make_call(), ROUTE, ACCOUNT, now, 6.0, (), None, "f")
    with ThreadPoolExecutor(1) as pool:
        take_all_slots(case.tools)
        running = pool.submit(case.runner.run, request, caller)
        while not case.tools.admission.queued_by_service():
            time.sleep(0.002)
        caller.mark_disconnected()
        case.route = MOVED
        with pytest.raises(Refusal):
            running.result(2.0)
    assert case.link.sent == []
