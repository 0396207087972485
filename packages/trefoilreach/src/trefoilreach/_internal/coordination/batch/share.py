"""How much batch work one worker gets, and which daemon sends it."""

import threading
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from trefoilreach._internal.coordination.batch.items import StreamHandle
from trefoilreach._internal.coordination.batch.worker_owners import weigh
from trefoilreach._internal.coordination.config.view import ConfigView
from trefoilreach._internal.coordination.membership.peers import Member
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.engine import LoadReport

# Share of the slots kept free for the next online request; batch keeps over 85%.
_RESERVE_SHARE = 0.15
_GROW_SECONDS = 0.1
_SHRINK_SECONDS = 0.5
_SHRINK_FACTOR = 0.7
# Weight of the newest measurement in the moving averages.
_AVERAGE_WEIGHT = 0.1
# How long a worker that gave no answer gets no batch work, unless a load report comes.
DOWN_SECONDS = 2.0
_HISTORY_SECONDS = 10.0


class Targets(NamedTuple):
    """The strictest online targets on one worker, in seconds."""

    first_token: float = float("inf")
    token_interval: float = float("inf")


def find_sender(worker: str, live: Sequence[Member]) -> str:
    """Return the VM that sends batch work to a worker, by rendezvous hashing; empty for none."""
    if not live:
        return ""
    return max(live, key=lambda member: weigh(worker, member.vm)).vm


def find_targets(server: Server, view: ConfigView) -> Targets:
    """Return the strictest online targets of the routes that a worker serves."""
    routes = [view.routes[name] for name in server.routes if name in view.routes]
    classes = [
        view.classes[route.work_class] for route in routes if route.work_class in view.classes
    ]
    online = [entry for entry in classes if entry.kind == "online"]
    if not online:
        return Targets()
    return Targets(
        min(entry.first_token_seconds for entry in online),
        min(entry.token_interval_seconds for entry in online),
    )


class _Count(NamedTuple):
    when: float
    size: int


class WorkerShare:
    """Batch streams of one worker and the limit on their number.

    All times are readings of the daemon's clock in seconds.

    :param yielding: False runs batch on every slot whatever online requests do, which
        serves as a baseline for measurements.
    """

    def __init__(self, server: Server, targets: Targets, now: float, yielding: bool = True) -> None:
        self.server = server
        self.targets = targets
        self.streams: dict[str, StreamHandle] = {}
        self.draining = False
        self.trial = False
        self.urgent = False
        self.instance = ""
        self._report: LoadReport | None = None
        self._yielding = yielding
        self._cap = float(server.slots)
        self._grown_at = now
        self._shrunk_at = now
        self._down_until = 0.0
        self._reported_online = 0
        self._report_moment = now
        self._notices: deque[_Count] = deque()
        self._own: deque[_Count] = deque([_Count(now, 0)])
        self._averages = threading.Lock()
        self._first_token = 0.0
        self._token_interval = 0.0

    @property
    def running(self) -> int:
        """Batch streams that run and are not being cancelled."""
        return sum(not handle.cancelled for handle in self.streams.values())

    @property
    def _reserve(self) -> int:
        return 0 if self.urgent else int(self.server.slots * _RESERVE_SHARE)

    def is_up(self, now: float) -> bool:
        """Return whether the worker answered lately."""
        return bool(self.instance) and now >= self._down_until

    def carries(self, model: str) -> bool:
        """Return whether the worker serves a model, by its last load report."""
        if model not in self.server.routes:
            return False
        return self._report is None or self._report.can_serve(model)

    def room(self, now: float) -> int:
        """Return how many more streams may start."""
        if not self.is_up(now) or self.trial or self.draining:
            return 0
        # A stream that is being cancelled still occupies a slot of the worker.
        return self._limit(now) - len(self.streams)

    def start(self, handle: StreamHandle, now: float) -> None:
        """Count a stream that starts."""
        self.streams[handle.request_id] = handle
        self._note_own(now)

    def end(self, handle: StreamHandle, now: float) -> None:
        """Count a stream that has ended."""
        self.streams.pop(handle.request_id, None)
        self._note_own(now)

    def note_online(self, count: int, now: float) -> list[StreamHandle]:
        """Make way for online requests that go to the worker now.

        :returns: streams to cancel: those that started last, as many as are over the
            worker's slots.
        """
        while self._notices and self._notices[0].when < now - _HISTORY_SECONDS:
            self._notices.popleft()
        self._notices.append(_Count(now, count))
        if not self._yielding:
            return []
        over = self.running + self._online(now) - self.server.slots
        if over <= 0:
            return []
        if not self.urgent:
            self._cap = max(1.0, min(self._cap, self.running) / 2)
            self._grown_at = now
        live = [handle for handle in self.streams.values() if not handle.cancelled]
        return live[::-1][:over]

    def reported_batch(self) -> int:
        """Return how many batch streams the last load report counts."""
        return self._own_at(self._report_moment)

    def note_report(self, report: LoadReport, now: float) -> None:
        """Take a load report; its figures are ``age_seconds`` old."""
        self.instance = report.instance
        self._report = report
        self._down_until = 0.0
        moment = now - report.age_seconds
        self._reported_online = max(0, report.running + report.waiting - self._own_at(moment))
        self._report_moment = moment
        while self._notices and self._notices[0].when <= moment:
            self._notices.popleft()

    def note_down(self, now: float) -> None:
        """Send nothing to a worker that gave no answer."""
        self._down_until = now + DOWN_SECONDS

    def note_first_token(self, seconds: float) -> None:
        """Take the time to the first token of a batch stream on this worker."""
        with self._averages:
            self._first_token += _AVERAGE_WEIGHT * (seconds - self._first_token)

    def note_interval(self, seconds: float) -> None:
        """Take the time between two tokens of a batch stream on this worker."""
        with self._averages:
            self._token_interval += _AVERAGE_WEIGHT * (seconds - self._token_interval)

    def adjust(self, now: float) -> None:
        """Grow the share while the online targets are met, shrink it otherwise."""
        if self._misses_targets():
            if now - self._shrunk_at >= _SHRINK_SECONDS:
                self._cap = max(1.0, self._cap * _SHRINK_FACTOR)
                self._shrunk_at = now
            self._grown_at = now
            return
        steps = int((now - self._grown_at) / _GROW_SECONDS)
        self._cap = min(float(self.server.slots), self._cap + steps)
        self._grown_at += steps * _GROW_SECONDS

    def _misses_targets(self) -> bool:
        if not self._yielding:
            return False
        with self._averages:
            late = self._first_token > self.targets.first_token
            return late or self._token_interval > self.targets.token_interval

    def _limit(self, now: float) -> int:
        if not self._yielding:
            return self.server.slots
        idle = self.server.slots - self._reserve - self._online(now)
        return max(0, min(idle, int(self._cap)))

    def _online(self, now: float) -> int:
        """Return online requests on the worker: reported, and started since the report."""
        return self._reported_online + sum(notice.size for notice in self._notices)

    def _note_own(self, now: float) -> None:
        self._own.append(_Count(now, len(self.streams)))
        while len(self._own) > 1 and self._own[1].when < now - _HISTORY_SECONDS:
            self._own.popleft()

    def _own_at(self, moment: float) -> int:
        count = 0
        for entry in self._own:
            if entry.when > moment:
                break
            count = entry.size
        return count
