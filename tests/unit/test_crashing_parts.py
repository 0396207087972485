"""Tests that requests with a prompt part that crashes workers are stopped, and only these."""

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st
from serving_fakes import ACCOUNT, EVENTS, FakeLink, Script, make_call, make_route, make_tools
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.serving.caller import CallerConnection
from trefoilreach._internal.coordination.serving.crashing_parts import (
    AnsweredPart,
    BlockedPart,
    CrashedRun,
    CrashingParts,
)
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
                    parts = peer.crashes.parts
                    tools.crashes.apply_peer_crashes(peer.crashes.own_crashes_to_report())
                    tools.crashes.parts.apply_peer_findings(
                        parts.list_answered(), parts.list_blocked()
                    )

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


def crash_workers(parts: CrashingParts, count: int, *shared: str, first: int = 0) -> list[str]:
    """Let workers crash, each under another request; return the parts that were blocked."""
    runs = [CrashedRun(f"f{n}", f"w{n}/1", shared) for n in range(first, first + count)]
    return [part for part in map(parts.add_crash, runs) if part is not None]


def test_part_that_was_answered_between_crashes_is_not_blocked() -> None:
    """Guards against a block of sound requests that are in flight while workers crash in series."""
    clock = ManualClock()
    parts = CrashingParts(clock)
    for number in range(12):
        assert crash_workers(parts, 1, "system", first=number) == []
        clock.advance(0.1)
        if number % 2:
            parts.record_answered(["system"])
    assert parts.find_block(["system"]) is None


def test_answer_that_began_before_the_crashes_does_not_clear_a_part() -> None:
    """Guards against a deadly part that stays in use because of an older or late report."""
    clock = ManualClock()
    parts = CrashingParts(clock)
    parts.record_answered(["p"])
    clock.advance(1.0)
    crash_workers(parts, 2, "p")
    parts.apply_peer_findings([AnsweredPart("p", 0.5)], [])
    assert crash_workers(parts, 1, "p", first=2) == ["p"]
    parts.apply_peer_findings([AnsweredPart("p", 0.5)], [])
    assert parts.find_block(["p"]) is not None


def test_repeats_of_one_request_do_not_block_its_parts() -> None:
    """Guards against a block of sound requests for a single one that is at fault by itself."""
    parts = CrashingParts(ManualClock())
    for number in range(6):
        assert parts.add_crash(CrashedRun("f", f"w{number}/1", ("system",))) is None


def test_part_of_other_crashes_is_blocked_beside_a_part_that_explains_some_of_them() -> None:
    """Guards against a deadly part that is overlooked, as a sound one was blocked in its place."""
    parts = CrashingParts(ManualClock())
    assert crash_workers(parts, 3, "deadly", "rare") == ["rare"]
    assert crash_workers(parts, 1, "deadly", first=3) == ["deadly"]


@given(st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=60))
def test_only_parts_without_an_answer_since_are_blocked_fuzz(
    runs: list[tuple[int, bool]],
) -> None:
    """Guards against a block that the crashes do not justify.

    Each run has one of three subjects and the part of all; it is answered or crashes its worker.
    """
    clock = ManualClock()
    parts = CrashingParts(clock)
    crashes: dict[str, int] = {}
    for number, (subject, answered) in enumerate(runs):
        shared = ("system", f"s{subject}")
        clock.advance(1.0)
        if parts.find_block(shared):
            continue
        if answered:
            parts.record_answered(shared)
            crashes.update(dict.fromkeys(shared, 0))
            continue
        for part in shared:
            crashes[part] = crashes.get(part, 0) + 1
        for part in crash_workers(parts, 1, *shared, first=number):
            assert crashes[part] >= 3
        if all(crashes[part] >= 3 for part in shared):
            assert parts.find_block(shared)


def test_blocked_part_is_reported_and_an_answer_unblocks_it_everywhere() -> None:
    """Guards against a daemon that does not learn of a block, or of its end."""
    clock = ManualClock()
    here, there = CrashingParts(clock), CrashingParts(clock)
    crash_workers(here, 3, "p")
    clock.advance(1.0)
    there.apply_peer_findings([], here.list_blocked())
    block = there.find_block(["x", "p"])
    assert block is not None and block.part == "p" and block.retry_after == pytest.approx(59.0)
    clock.advance(60.0)
    assert there.record_answered(["p"]) == ["p"]
    clock.advance(0.5)
    here.apply_peer_findings(there.list_answered(), [])
    assert here.find_block(["p"]) is None
    # A late report of the block is older than the answer.
    there.apply_peer_findings([], [BlockedPart("p", 30.0, 0)])
    assert there.find_block(["p"]) is None


def test_block_doubles_with_each_failed_trial() -> None:
    """Guards against trials that crash a worker each minute for hours."""
    clock = ManualClock()
    parts = CrashingParts(clock)
    crash_workers(parts, 3, "p")
    waits = []
    for trial in range(1, 9):
        parts.start_trial("p", trial)
        crash_workers(parts, 1, "p", first=10 + trial)
        block = parts.find_block(["p"])
        assert block is not None
        waits.append(block.retry_after)
        clock.advance(block.retry_after)
        block = parts.find_block(["p"])
        assert block is not None and block.retry_after == 0.0
    assert waits == [120.0, 240.0, 480.0, 960.0, 1920.0, 3600.0, 3600.0, 3600.0]
