"""Tests that requests with a prompt part that crashes workers are stopped, and only these."""

from typing import NamedTuple

import pytest
from serving_fakes import ACCOUNT, EVENTS, FakeLink, Script, make_call, make_route, make_tools
from trefoilreach._internal.coordination.serving.caller import CallerConnection
from trefoilreach._internal.coordination.serving.online import OnlineRunner
from trefoilreach._internal.coordination.serving.request import OnlineRequest
from trefoilreach._internal.coordination.serving.worker_client import Dispatch, WorkerFailure
from trefoilreach._internal.protocol.verdict import Refusal, Verdict

ROUTE = make_route(max_runs=3)
CRASHED = WorkerFailure("reset", Verdict.MAY_HAVE_RUN)
# The users' limit: requests with the part that may still reach workers after its fifth crash.
CRASHES_BEFORE_LIMIT = 5
ALLOWED_AFTER_LIMIT = 3


class Sent(NamedTuple):
    """One request that reached a worker; ``crashes`` counts those before it."""

    request_id: str
    crashes: int


class CrashingFleet:
    """Daemons that report to each other after each request, and workers that a part crashes.

    :param deadly: id of the part under which each worker crashes before it begins to answer.
    """

    def __init__(self, deadly: str, daemons: int = 3, workers: int = 6) -> None:
        self.deadly = deadly
        self.sent: list[Sent] = []
        self.crashes = 0
        self.link = FakeLink(decide=self._decide)
        self.tools = [make_tools(self.link, workers) for _ in range(daemons)]
        self.runners = [OnlineRunner(tools) for tools in self.tools]
        self._requests = 0
        self._parts: tuple[str, ...] = ()

    def send(self, *parts: str) -> int:
        """Send a request that is like no other to the next daemon; return the answer's status."""
        self._requests += 1
        self._parts = parts
        name = f"q{self._requests}"
        runner = self.runners[self._requests % len(self.runners)]
        now = runner.tools.clock.now()
        request = OnlineRequest(make_call(name), ROUTE, ACCOUNT, now, 5.0, parts, None, name)
        try:
            answer = runner.run(request, CallerConnection())
            list(answer.events or ())
            status = answer.status
        except Refusal as refusal:
            status = refusal.status
        self._exchange_reports()
        self._restart_workers()
        return status

    def count_sent_after_limit(self) -> int:
        """Return how many requests with the part reached workers after the fifth crash."""
        return sum(sent.crashes >= CRASHES_BEFORE_LIMIT for sent in self.sent)

    def _decide(self, dispatch: Dispatch) -> Script:
        if self.deadly not in self._parts:
            return Script(pieces=tuple(EVENTS))
        self.sent.append(Sent(dispatch.call.request_id, self.crashes))
        self.crashes += 1
        self.link.dead.add(dispatch.worker.id)
        return Script(failure=CRASHED)

    def _exchange_reports(self) -> None:
        for tools in self.tools:
            for peer in self.tools:
                if peer is not tools:
                    tools.crashes.apply_peer_crashes(peer.crashes.own_crashes_to_report())

    def _restart_workers(self) -> None:
        for tools in self.tools:
            for entry in tools.admission.workers.entries():
                if entry.id in self.link.dead:
                    tools.admission.workers.put(
                        entry._replace(started_ms=entry.started_ms + self.crashes)
                    )
        self.link.dead.clear()


@pytest.mark.parametrize("place", range(3))
def test_different_requests_with_a_crashing_part_are_stopped(place: int) -> None:
    """Guards against requests of one kind that crash one worker after the other.

    All of them have two sound parts too, which sound requests share.
    """
    fleet = CrashingFleet("deadly")
    parts = ["system", "subject"]
    parts.insert(place, "deadly")
    served = []
    for number in range(30):
        fleet.send(*parts)
        served.append(fleet.send("system", ("subject", "other subject")[number % 2]))
        served.append(fleet.send("system"))
    assert fleet.count_sent_after_limit() <= ALLOWED_AFTER_LIMIT
    assert served == [200] * len(served)
