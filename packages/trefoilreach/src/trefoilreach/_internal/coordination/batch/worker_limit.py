"""Limits the batch streams of one worker, and chooses the daemon that sends them."""

import threading
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from trefoilreach._internal.coordination.batch.item_runner import StreamHandle
from trefoilreach._internal.coordination.batch.worker_owners import rendezvous_weight
from trefoilreach._internal.coordination.config.active_config import ConfigView
from trefoilreach._internal.coordination.membership.peers import Member
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.engine import LoadReport

# Fraction of the slots kept free for the next online request, rounded down, so that batch work
# may use at least 85%.
_RESERVED_SLOT_FRACTION = 0.15
_GROW_INTERVAL_SECONDS = 0.1
_SHRINK_INTERVAL_SECONDS = 0.5
_SHRINK_FACTOR = 0.7
# Weight of the newest sample in the exponentially weighted moving averages.
_EWMA_WEIGHT = 0.1
# Time without batch work after a worker did not answer; a load report ends it early.
DOWN_SECONDS = 2.0
_HISTORY_SECONDS = 10.0


class LatencyTargets(NamedTuple):
    """The strictest online targets on one worker, in seconds."""

    first_token: float = float("inf")
    token_interval: float = float("inf")


def find_responsible_vm(key: str, live: Sequence[Member]) -> str:
    """Return the VM that sends batch work to a key, by rendezvous hashing.

    The result is empty when no VM is live.
    """
    if not live:
        return ""
    return max(live, key=lambda member: rendezvous_weight(key, member.vm)).vm


def find_latency_targets(server: Server, view: ConfigView) -> LatencyTargets:
    """Return the strictest online targets of the routes that a worker serves."""
    routes = [view.routes[name] for name in server.routes if name in view.routes]
    classes = [
        view.classes[route.work_class] for route in routes if route.work_class in view.classes
    ]
    online = [entry for entry in classes if entry.kind == "online"]
    if not online:
        return LatencyTargets()
    return LatencyTargets(
        min(entry.first_token_seconds for entry in online),
        min(entry.token_interval_seconds for entry in online),
    )


class _CountAt(NamedTuple):
    """A number of requests or streams at a reading of the daemon's clock."""

    when: float
    size: int


class WorkerBatchLimit:
    """Batch streams of one worker and the limit on their number.

    All times are readings of the daemon's clock in seconds.

    :param yielding: False runs batch work on every slot regardless of online requests, as a
        baseline for measurements.
    """

    def __init__(
        self, server: Server, targets: LatencyTargets, now: float, yielding: bool = True
    ) -> None:
        self.server = server
        self.targets = targets
        self.streams: dict[str, StreamHandle] = {}
        self.draining = False
        self.in_trial = False
        self.urgent = False
        self.instance = ""
        self._report: LoadReport | None = None
        self._yielding = yielding
        self._adaptive_limit = float(server.slots)
        self._grown_at = now
        self._shrunk_at = now
        self._down_until = 0.0
        self._reported_online = 0
        self._reported_at = now
        self._online_starts: deque[_CountAt] = deque()
        self._stream_counts: deque[_CountAt] = deque([_CountAt(now, 0)])
        self._averages_lock = threading.Lock()
        self._mean_first_token_seconds = 0.0
        self._mean_token_interval_seconds = 0.0

    @property
    def running(self) -> int:
        """Batch streams that run and are not being cancelled."""
        return sum(not handle.cancelled for handle in self.streams.values())

    @property
    def _reserved_slots(self) -> int:
        return 0 if self.urgent else int(self.server.slots * _RESERVED_SLOT_FRACTION)

    def is_up(self, now: float) -> bool:
        """Return whether the worker has reported its load and has not failed to answer since.

        A failure to answer counts for ``DOWN_SECONDS``.
        """
        return bool(self.instance) and now >= self._down_until

    def serves(self, model: str) -> bool:
        """Return whether the worker serves a model, by its last load report."""
        if model not in self.server.routes:
            return False
        return self._report is None or self._report.can_serve(model)

    def free_slots(self, now: float) -> int:
        """Return how many more streams may start."""
        if not self.is_up(now) or self.in_trial or self.draining:
            return 0
        # A stream that is being cancelled still occupies a slot of the worker.
        return self._stream_limit(now) - len(self.streams)

    def start(self, handle: StreamHandle, now: float) -> None:
        """Add a stream that starts."""
        self.streams[handle.request_id] = handle
        self._record_stream_count(now)

    def end(self, handle: StreamHandle, now: float) -> None:
        """Remove a stream that has ended."""
        self.streams.pop(handle.request_id, None)
        self._record_stream_count(now)

    def preempt_for_online(self, count: int, now: float) -> list[StreamHandle]:
        """Count online requests that go to the worker now and preempt batch streams for them.

        :returns: streams to cancel: the latest started ones, as many as exceed the worker's
            slots.
        """
        while self._online_starts and self._online_starts[0].when < now - _HISTORY_SECONDS:
            self._online_starts.popleft()
        self._online_starts.append(_CountAt(now, count))
        if not self._yielding:
            return []
        excess = self.running + self._count_online(now) - self.server.slots
        if excess <= 0:
            return []
        if not self.urgent:
            self._adaptive_limit = max(1.0, min(self._adaptive_limit, self.running) / 2)
            self._grown_at = now
        live = [handle for handle in self.streams.values() if not handle.cancelled]
        return live[::-1][:excess]

    def reported_batch_streams(self) -> int:
        """Return how many batch streams of this daemon the last load report includes."""
        return self._stream_count_at(self._reported_at)

    def record_load_report(self, report: LoadReport, now: float) -> None:
        """Record a load report, whose figures are ``age_seconds`` old."""
        self.instance = report.instance
        self._report = report
        self._down_until = 0.0
        measured_at = now - report.age_seconds
        self._reported_online = max(
            0, report.running + report.waiting - self._stream_count_at(measured_at)
        )
        self._reported_at = measured_at
        while self._online_starts and self._online_starts[0].when <= measured_at:
            self._online_starts.popleft()

    def mark_down(self, now: float) -> None:
        """Start no streams for ``DOWN_SECONDS``, as the worker did not answer."""
        self._down_until = now + DOWN_SECONDS

    def record_first_token_time(self, seconds: float) -> None:
        """Record the time to the first token of a batch stream on this worker."""
        with self._averages_lock:
            self._mean_first_token_seconds += _EWMA_WEIGHT * (
                seconds - self._mean_first_token_seconds
            )

    def record_token_interval(self, seconds: float) -> None:
        """Record the time between two tokens of a batch stream on this worker."""
        with self._averages_lock:
            self._mean_token_interval_seconds += _EWMA_WEIGHT * (
                seconds - self._mean_token_interval_seconds
            )

    def adjust(self, now: float) -> None:
        """Raise the limit while the online latency targets are met, lower it otherwise."""
        if self._misses_targets():
            if now - self._shrunk_at >= _SHRINK_INTERVAL_SECONDS:
                self._adaptive_limit = max(1.0, self._adaptive_limit * _SHRINK_FACTOR)
                self._shrunk_at = now
            self._grown_at = now
            return
        steps = int((now - self._grown_at) / _GROW_INTERVAL_SECONDS)
        self._adaptive_limit = min(float(self.server.slots), self._adaptive_limit + steps)
        self._grown_at += steps * _GROW_INTERVAL_SECONDS

    def _misses_targets(self) -> bool:
        if not self._yielding:
            return False
        with self._averages_lock:
            late = self._mean_first_token_seconds > self.targets.first_token
            return late or self._mean_token_interval_seconds > self.targets.token_interval

    def _stream_limit(self, now: float) -> int:
        if not self._yielding:
            return self.server.slots
        idle = self.server.slots - self._reserved_slots - self._count_online(now)
        return max(0, min(idle, int(self._adaptive_limit)))

    def _count_online(self, now: float) -> int:
        """Return the online requests on the worker: reported ones and later starts."""
        return self._reported_online + sum(sample.size for sample in self._online_starts)

    def _record_stream_count(self, now: float) -> None:
        self._stream_counts.append(_CountAt(now, len(self.streams)))
        while len(self._stream_counts) > 1 and self._stream_counts[1].when < now - _HISTORY_SECONDS:
            self._stream_counts.popleft()

    def _stream_count_at(self, moment: float) -> int:
        count = 0
        for entry in self._stream_counts:
            if entry.when > moment:
                break
            count = entry.size
        return count
