"""Interface to a backend server that runs requests with opaque bodies."""

from typing import NamedTuple, Protocol

from trefoilreach._internal.protocol.completeness import Framing
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.serving import WorkerEntry
from trefoilreach._internal.transport.http_client import Interrupt


class Call(NamedTuple):
    """A request as its caller sent it, without the headers of the connection or of trefoilreach.

    :param target: path and query, byte for byte.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def path(self) -> str:
        """Path of the target, without its query."""
        return self.target.split("?")[0]


class Dispatch(NamedTuple):
    """One attempt to send a call to a worker.

    :param account: client account that is passed to the worker, or None.
    :param time_left: seconds after which the worker stops the run.
    :param resume_after: id of the last event that the caller has received, or None for the
        whole stream.
    """

    call: Call
    worker: WorkerEntry
    account: str | None
    time_left: float
    resume_after: int | None


class LoadReport(NamedTuple):
    """What a worker reports of itself.

    :param requests: number of requests that run or wait there; None if it does not say.
    :param leaving: whether it states that it leaves.
    """

    requests: int | None
    leaving: bool = False


class WorkerFailure(Exception):
    """Raised when a worker gives no usable answer.

    :param verdict: whether the request may have run.
    :param unreachable: whether no connection could be established.
    :param timed_out: whether the worker exceeded a timeout.
    :param maybe_whole: whether a resumed stream had no event, as one with nothing left to send.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        unreachable: bool = False,
        timed_out: bool = False,
        maybe_whole: bool = False,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.unreachable = unreachable
        self.timed_out = timed_out
        self.maybe_whole = maybe_whole


class WorkerAnswer(Protocol):
    """An answer whose status and headers have arrived."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers to pass on to the caller."""

    @property
    def not_run(self) -> bool:
        """Whether the worker states that it has not run the request."""

    @property
    def is_wrong_worker(self) -> bool:
        """Whether another worker than the expected one has answered."""

    @property
    def says_leaving(self) -> bool:
        """Whether the worker states that it leaves; its runs go on, but it takes no new ones."""

    @property
    def has_receipt(self) -> bool:
        """Whether the answer carries the worker's receipt."""

    @property
    def framing(self) -> Framing:
        """What marks the end of the body."""

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of events."""

    def read_chunk(self, timeout: float) -> bytes:
        """Return the next bytes of the body, or none once it is complete.

        :param timeout: limit in seconds on the wait for them.
        :raises WorkerFailure: when the connection breaks or the timeout expires.
        """

    def read_all(self, timeout: float) -> bytes:
        """Return the rest of the body.

        :raises WorkerFailure: when the connection breaks or the timeout expires.
        """

    def close(self) -> None:
        """Close the exchange; the worker stops an unfinished run."""


class WorkerClient(Protocol):
    """Sends requests to workers."""

    def open(self, dispatch: Dispatch, timeout: float, interrupt: Interrupt) -> WorkerAnswer:
        """Send a request and return its answer once status and headers have arrived.

        :param timeout: limit in seconds on the wait for them.
        :param interrupt: lets another thread abort the exchange.
        :raises WorkerFailure: when there is no answer.
        """

    def is_refused(self, worker: WorkerEntry) -> bool:
        """Return whether no process listens at a worker's address."""

    def has_ended(self, worker: WorkerEntry) -> bool:
        """As :meth:`is_refused`, also for a process that is just ending; waits for a moment."""

    def fetch_load(self, worker: WorkerEntry) -> LoadReport:
        """Return what a worker reports of itself."""
