"""How the product talks to a backend server that runs opaque requests."""

from typing import NamedTuple, Protocol

from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.serving import WorkerEntry
from trefoilreach._internal.transport.http_client import Interrupt


class Call(NamedTuple):
    """A request as its caller sent it, without what concerns the connection or this system.

    :param target: path and query, byte for byte.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Dispatch(NamedTuple):
    """One sending of a call to one worker.

    :param account: client account that the worker is told, or None.
    :param time_left: seconds after which the worker stops.
    :param resume_after: last event that the caller has, or None for the whole stream.
    """

    call: Call
    worker: WorkerEntry
    account: str | None
    time_left: float
    resume_after: int | None


class WorkerFailure(Exception):
    """A worker gave no usable answer.

    :param verdict: whether the request may have run.
    :param unreachable: whether no connection could be made.
    :param silent: whether a wait was over its limit.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        unreachable: bool = False,
        silent: bool = False,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.unreachable = unreachable
        self.silent = silent


class WorkerAnswer(Protocol):
    """An answer whose head has arrived."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers for the caller."""

    @property
    def not_run(self) -> bool:
        """Whether the worker states that it has not run the request."""

    @property
    def receipt(self) -> bool:
        """Whether the answer carries the worker's receipt."""

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of events."""

    def read_some(self, timeout: float) -> bytes:
        """Return the next bytes of the body; none at its complete end.

        :raises WorkerFailure: when the body breaks off or the wait is over.
        """

    def read_all(self, timeout: float) -> bytes:
        """Return the rest of the body.

        :raises WorkerFailure: when the body breaks off or a wait is over.
        """

    def close(self) -> None:
        """End the exchange; the worker stops an unfinished run."""


class WorkerLink(Protocol):
    """Sends requests to workers."""

    def open(self, dispatch: Dispatch, timeout: float, interrupt: Interrupt) -> WorkerAnswer:
        """Send a request and return its answer once the head is there.

        :param timeout: limit in seconds on the wait for the head.
        :param interrupt: lets another thread end the exchange.
        :raises WorkerFailure: when there is no answer.
        """

    def is_dead(self, worker: WorkerEntry) -> bool:
        """Return whether no process listens at a worker's address."""

    def count_load(self, worker: WorkerEntry) -> int | None:
        """Return how many requests run and wait at a worker; None when it does not say."""
