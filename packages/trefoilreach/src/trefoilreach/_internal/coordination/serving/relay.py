"""The events of one worker's answer to an online request."""

from trefoilreach._internal.coordination.serving.link import WorkerFailure
from trefoilreach._internal.coordination.serving.request import (
    Attempt,
    OnlineRequest,
    ServingTools,
)
from trefoilreach._internal.protocol.event_stream import EventSplitter, StreamEvent
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.serving import RouteKind, ServingRoute, WorkerEntry

# A worker with a free slot gives the first event within some 50 ms, a slow one within 0.3 s.
_FIRST_EVENT_SECONDS = 0.8
# Routes with larger targets have slower workers; a plain answer comes whole and takes longer.
_STREAM_TARGET_FACTOR = 2.5
_PLAIN_TARGET_FACTOR = 6.0
# A pause in a stream after which another worker goes on with it: twice the longest pause
# that is on time.
_STALL_FACTOR = 2.0
_MIN_STALL_SECONDS = 0.3
_LEAST_WAIT_SECONDS = 0.001


def find_first_wait(route: ServingRoute) -> float:
    """Return after how many seconds without an answer a request may go to another worker."""
    if route.kind is RouteKind.STREAM:
        return max(_FIRST_EVENT_SECONDS, _STREAM_TARGET_FACTOR * route.target_seconds)
    return max(_FIRST_EVENT_SECONDS, _PLAIN_TARGET_FACTOR * route.target_seconds)


class Relay:
    """Reads the events of an answer, and owns the slot that it holds.

    :param movable: whether the stream may go on at another worker, so that a long pause is not
        waited out.
    :param resumed: whether an earlier worker has sent the events before.
    """

    def __init__(
        self,
        tools: ServingTools,
        request: OnlineRequest,
        attempt: Attempt,
        movable: bool,
        resumed: bool = False,
    ) -> None:
        self._tools = tools
        self._request = request
        self._attempt = attempt
        self._movable = movable
        self._splitter = EventSplitter()
        # A stream that broke after its last event has none left.
        self._begun = resumed
        self.ended = False

    @property
    def worker(self) -> WorkerEntry:
        """The worker."""
        return self._attempt.worker

    def read_events(self) -> list[StreamEvent]:
        """Return the next events; none at the complete end.

        :raises WorkerFailure: when the stream breaks off, stalls or is out of time.
        """
        while not self.ended:
            data = self._attempt.answer.read_some(self._find_timeout())
            self._tools.admission.workers.note_alive(self.worker.id)
            self.ended = not data
            events = self._splitter.feed(data)
            if events:
                self._begun = True
                return events
        if self._splitter.rest:
            raise WorkerFailure("the stream ended inside an event", Verdict.MAY_HAVE_RUN)
        if not self._begun:
            raise WorkerFailure("the stream ended without an event", Verdict.MAY_HAVE_RUN)
        return []

    def close(self) -> None:
        """End the exchange and give the slot back."""
        self._attempt.answer.close()
        self._tools.admission.release(self._attempt.ticket)

    def _find_timeout(self) -> float:
        request = self._request
        left = max(request.end - self._tools.clock.now(), _LEAST_WAIT_SECONDS)
        if not self._movable:
            return left
        stall = max(_MIN_STALL_SECONDS, _STALL_FACTOR * request.route.stall_seconds)
        return min(left, stall if self._begun else find_first_wait(request.route))
