"""Decides which requests a stopping daemon still passes on to workers.

Designed for a planned stop of one daemon of several. Callers learn within seconds that it leaves.
Until then they send as many requests as before, and each is served here if runs usually end in
time. Later requests come from the few callers that go on with addresses or connections that they
keep. Another daemon can serve these at once, so a refusal costs their callers one exchange, while
a cut costs the answer and leaves open whether the request ran. They are passed on only if there
is more time than any recent request of their kind took. That says nothing of a longer request, so
one that states how long its output may be needs time for all of it at the pace of recent runs.
"""

import math
from collections import defaultdict
from typing import NamedTuple

from trefoilreach._internal.protocol.verdict import Refusal

# Reserve at the end of the time to stop for closing what the daemon has opened.
_CLOSING_SECONDS = 0.6
# Share of the time to stop after which the daemon accepts no new connections.
_LISTENING_SHARE = 0.6
# Longest time until callers have learned that the daemon leaves: they keep an entry point answer
# for 2 s, and the news reaches the daemons that give these answers within a second. A request that
# was sent later must not be cut.
_INFORMING_SECONDS = 3.0
# Time from the sending of the signal until the stop begins, also on a busy machine.
_SIGNAL_DELAY_SECONDS = 0.25
# Weight of the newest run in the moving average of the length of runs.
_NEWEST_RUN_WEIGHT = 1.0 / 16.0
# Part by which the longest run shrinks with each run after it.
_LONGEST_DECAY = 1.0 / 128.0
# Runs differ in length with the output and with the load of their worker.
_SAFETY_FACTOR = 2.0
# Number of runs that says little about the longest one.
_FEW_RUNS = 20.0
# Another daemon can serve the request at once.
_RETRY_AFTER_SECONDS = 0.0


class StopPlan(NamedTuple):
    """Times of a planned stop, by the daemon's clock.

    :param informed_at: time from which requests of callers arrive that may know that the daemon
        leaves.
    :param listens_until: time from which no new connections are accepted.
    :param ends_at: latest end of an answer.
    """

    informed_at: float
    listens_until: float
    ends_at: float


def plan_stop(now: float, stop_seconds: float) -> StopPlan:
    """Return the times of a stop that begins now.

    :param stop_seconds: time until the process is killed.
    """
    ends_at = now + max(0.0, stop_seconds - _CLOSING_SECONDS)
    listening = max(_INFORMING_SECONDS, _LISTENING_SHARE * stop_seconds)
    # A request that arrives before this time was sent within the informing time after the signal.
    informed_at = now + _INFORMING_SECONDS - _SIGNAL_DELAY_SECONDS
    return StopPlan(informed_at, min(now + listening, ends_at), ends_at)


class _RecentMaximum:
    """Largest of the recent values, which shrinks slowly while smaller ones follow."""

    def __init__(self) -> None:
        self._count = 0
        self._value = 0.0

    @property
    def bound(self) -> float:
        """A value that is hardly ever exceeded; infinity before the first one."""
        if not self._count:
            return math.inf
        return self._value * (_SAFETY_FACTOR + _FEW_RUNS / self._count)

    def record(self, value: float) -> None:
        self._count += 1
        self._value = max(value, self._value * (1.0 - _LONGEST_DECAY))


class RunLengths:
    """Lengths of the recent runs of one kind of request.

    Threads may record runs at the same time; one that is lost for it makes no difference.
    """

    def __init__(self) -> None:
        self._count = 0
        self._average = 0.0
        self._longest = _RecentMaximum()
        self._longest_event = _RecentMaximum()

    @property
    def average(self) -> float:
        """Moving average in seconds; 0 before the first run."""
        return self._average

    @property
    def longest(self) -> float:
        """Length in seconds that a run hardly ever exceeds; infinity before the first run."""
        return self._longest.bound

    def find_longest(self, most_events: int | None) -> float:
        """Return the seconds that a run of at most some events hardly ever exceeds.

        :param most_events: None if the request does not state it.
        """
        if most_events is None:
            return self.longest
        return max(1, most_events) * self._longest_event.bound

    def record(self, seconds: float, events: int = 1) -> None:
        """Add the length of a complete run.

        :param events: number of events of its answer; one that is no stream counts as one event.
        """
        self._count += 1
        self._average += max(_NEWEST_RUN_WEIGHT, 1.0 / self._count) * (seconds - self._average)
        self._longest.record(seconds)
        self._longest_event.record(seconds / max(1, events))


def find_latest_start(
    plan: StopPlan, end: float, lengths: RunLengths, most_events: int | None = None
) -> float:
    """Return until when a request may be passed on to a worker.

    :param end: time at which the request ends in any case, by its caller's or its route's limit.
    :param most_events: events that its answer has at most; None if it does not state this.
    """
    if end <= plan.ends_at:
        return math.inf
    usually_in_time = min(plan.informed_at, plan.ends_at - lengths.average)
    return max(usually_in_time, plan.ends_at - lengths.find_longest(most_events))


class PlannedStop:
    """The planned stop of this daemon, and the run lengths by which it refuses requests."""

    def __init__(self) -> None:
        self._plan: StopPlan | None = None
        self._lengths: defaultdict[str, RunLengths] = defaultdict(RunLengths)

    def begin(self, plan: StopPlan) -> None:
        """Refuse requests that cannot be finished from now on."""
        self._plan = plan

    def record_run(self, kind: str, seconds: float, events: int = 1) -> None:
        """Add the length of a complete run of a kind of request, and its number of events."""
        self._lengths[kind].record(seconds, events)

    def find_latest_start(self, kind: str, end: float, most_events: int | None = None) -> float:
        """Return until when a request may be passed on; infinity if no stop limits it."""
        if self._plan is None:
            return math.inf
        return find_latest_start(self._plan, end, self._lengths[kind], most_events)

    def refuse_if_late(self, kind: str, now: float, end: float) -> None:
        """Check a request that has just arrived and states nothing of its length.

        :raises Refusal: when it cannot be finished.
        """
        if now >= self.find_latest_start(kind, end):
            raise make_stopping_refusal()


def make_stopping_refusal() -> Refusal:
    """Return the answer to a request that has not run and would not be finished here."""
    message = "this daemon stops before the request can be finished"
    return Refusal(503, "stopping", message, retry_after=_RETRY_AFTER_SECONDS)
