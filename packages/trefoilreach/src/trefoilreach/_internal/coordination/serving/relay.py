"""Reads the events of one worker's answer to an online request."""

import math

from trefoilreach._internal.coordination.serving.answer_end import find_answer_end
from trefoilreach._internal.coordination.serving.request import (
    Attempt,
    OnlineRequest,
    ServingDependencies,
)
from trefoilreach._internal.coordination.serving.worker_client import WorkerFailure
from trefoilreach._internal.protocol.completeness import (
    Framing,
    IncompleteAnswerError,
    UnprovenEndError,
)
from trefoilreach._internal.protocol.event_stream import EventReader, StreamEvent
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.serving import RouteKind, ServingRoute, WorkerEntry

# A worker with a free slot sends the first event within about 50 ms, a slow one within 0.3 s.
_MIN_FIRST_ANSWER_TIMEOUT_SECONDS = 0.8
# Routes with larger targets have slower workers. A plain answer arrives only when it is
# complete, so it takes longer than the first event of a stream.
_STREAM_TARGET_FACTOR = 2.5
_PLAIN_TARGET_FACTOR = 6.0
# A stream is resumed at another worker after a pause of twice the longest pause that still
# counts as on time.
_STALL_FACTOR = 2.0
_MIN_STALL_TIMEOUT_SECONDS = 0.3
_MIN_TIMEOUT_SECONDS = 0.001
# What has arrived at the end of a request's time is passed on, for example after a freeze of this
# process. A worker that sends without end always has more.
_LAST_READS_SECONDS = 0.05
_TIMEOUT_STEP_SECONDS = 0.1


def find_first_answer_timeout(route: ServingRoute) -> float:
    """Return after how many seconds without an answer a request may be sent to another worker."""
    if route.kind is RouteKind.STREAM:
        return max(_MIN_FIRST_ANSWER_TIMEOUT_SECONDS, _STREAM_TARGET_FACTOR * route.target_seconds)
    return max(_MIN_FIRST_ANSWER_TIMEOUT_SECONDS, _PLAIN_TARGET_FACTOR * route.target_seconds)


class Relay:
    """Reads the events of an answer; closes the attempt on close.

    :param may_resume: whether the stream may be resumed at another worker, so that a long pause
        ends the attempt.
    :param after: id of the last event that the caller has, or None for a stream from its start.
    """

    def __init__(
        self,
        tools: ServingDependencies,
        request: OnlineRequest,
        attempt: Attempt,
        may_resume: bool,
        after: int | None = None,
    ) -> None:
        self._tools = tools
        self._request = request
        self._attempt = attempt
        self._may_resume = may_resume
        self._after = after
        # Where streams may not be resumed, workers need not heed the caller's last event.
        self._reader = EventReader(after, may_restart=not request.route.resumable)
        self._progressed_at = tools.clock.now()
        # Time of the first read after the end of the request's time.
        self._overdue_since: float | None = None
        self.ended = False

    @property
    def worker(self) -> WorkerEntry:
        """The worker that sends the answer."""
        return self._attempt.worker

    @property
    def begun(self) -> bool:
        """Whether the worker has sent an event."""
        return self._reader.begun

    @property
    def framing(self) -> Framing:
        """What marks the end of the answer."""
        return self._attempt.answer.framing

    def read_events(self) -> list[StreamEvent]:
        """Return the next events, or none once the stream is complete.

        :raises WorkerFailure: when the stream breaks off, stalls or exceeds the time limit.
        """
        while not self.ended:
            data = self._attempt.answer.read_chunk(self._find_timeout())
            self._tools.admission.workers.record_partial_answer(self.worker.id)
            self.ended = not data
            begun = self.begun
            events = self._read(data)
            now = self._tools.clock.now()
            if not all(event.is_empty for event in events):
                self._progressed_at = now
            elif (
                not self.ended
                and self._may_resume
                and now - self._progressed_at > self._stall_timeout
            ):
                # A stalled worker may still send a byte or a comment now and then.
                message = f"no progress for {self._stall_timeout:.3g} s"
                raise WorkerFailure(message, Verdict.MAY_HAVE_RUN, timed_out=True)
            if self.begun and not begun:
                self._tools.crashes.record_answered(self._request.shared_parts)
            if events:
                return events
        return []

    def _check_last_reads(self, now: float) -> None:
        """Check that a stream may still be read after the end of its request's time.

        The timeout of a read ends only a stream that pauses.

        :raises WorkerFailure: when the time of the last reads is over, too.
        """
        if self._overdue_since is None:
            self._overdue_since = now
        elif now - self._overdue_since > _LAST_READS_SECONDS:
            message = "the stream did not end in the time of its request"
            raise WorkerFailure(message, Verdict.MAY_HAVE_RUN, timed_out=True)

    def _read(self, data: bytes) -> list[StreamEvent]:
        """Return the events that the next bytes complete, or check the end of the stream."""
        try:
            if data:
                return self._reader.feed(data)
            deadline = self._request.received_at + self._request.time_left
            end = find_answer_end(self._tools, self.worker, self._attempt.answer, deadline)
            self._reader.finish(end)
        except IncompleteAnswerError as error:
            maybe_whole = isinstance(error, UnprovenEndError)
            message, verdict = str(error), Verdict.MAY_HAVE_RUN
            raise WorkerFailure(message, verdict, maybe_whole=maybe_whole) from error
        return []

    def close(self) -> None:
        """Close the exchange and release the slot."""
        self._attempt.close()

    @property
    def _stall_timeout(self) -> float:
        """Seconds without an event after which another worker is tried."""
        route = self._request.route
        if not self.begun and self._after == self._request.resume_after:
            return find_first_answer_timeout(route)
        return max(_MIN_STALL_TIMEOUT_SECONDS, _STALL_FACTOR * route.event_gap_target_seconds)

    def _find_timeout(self) -> float:
        """Return how long to wait for more of the stream.

        :raises WorkerFailure: when the request's time is over.
        """
        end, now = self._request.end, self._tools.clock.now()
        if now >= end:
            self._check_last_reads(now)
        time_left = max(end - now, _MIN_TIMEOUT_SECONDS)
        if not self._may_resume:
            return time_left
        left = self._progressed_at + self._stall_timeout - now
        # After a stall of this process the next events may have arrived already. In coarse steps,
        # so that the socket's timeout need not be set again for every event.
        steps = max(1, math.ceil(left / _TIMEOUT_STEP_SECONDS))
        return min(time_left, steps * _TIMEOUT_STEP_SECONDS)
