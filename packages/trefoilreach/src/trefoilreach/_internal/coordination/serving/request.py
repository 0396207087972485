"""Data types of one online request, and the components that requests are run with."""

from collections.abc import Callable, Generator, Iterator
from contextlib import ExitStack
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.quota.fleet_buckets import FleetBuckets
from trefoilreach._internal.coordination.serving.admission import Admission
from trefoilreach._internal.coordination.serving.crashes import CrashRegistry
from trefoilreach._internal.coordination.serving.planned_stop import PlannedStop
from trefoilreach._internal.coordination.serving.worker_client import (
    Call,
    WorkerAnswer,
    WorkerClient,
)
from trefoilreach._internal.metrics_page import MetricsPage
from trefoilreach._internal.state.serving import ServingAccount, ServingRoute, WorkerEntry


class OnlineRequest(NamedTuple):
    """A request whose route and key have been checked.

    :param received_at: time of its arrival, by the daemon's clock.
    :param time_left: seconds that its caller will wait from then on.
    :param shared_parts: ids of the prompt parts that other requests may have too, in order.
    :param resume_after: id of the last event that the caller has received, or None.
    :param fingerprint: the same for all attempts of one request.
    :param most_output_tokens: tokens that its output has at most; None if it does not state this.
    """

    call: Call
    route: ServingRoute
    account: ServingAccount | None
    received_at: float
    time_left: float
    shared_parts: tuple[str, ...]
    resume_after: int | None
    fingerprint: str
    most_output_tokens: int | None = None

    @property
    def end(self) -> float:
        """Deadline of the final answer, by the daemon's clock."""
        return self.received_at + min(self.time_left, self.route.timeout_seconds)

    @property
    def shared_prefix_id(self) -> str:
        """Id of the last shared prompt part, which names the whole shared prefix; may be empty."""
        return self.shared_parts[-1] if self.shared_parts else ""

    @property
    def account_name(self) -> str:
        """Name of the client account; empty on a route that is open to all."""
        return "" if self.account is None else self.account.name


class EventBody(Iterator[bytes]):
    """Events of a stream, as the body of an answer; must be closed, even if it was never read.

    :param events: the events; releases what it uses at its end, but only if it was started.
    :param release: releases what the first events were read from; may be called more than once.
    """

    def __init__(self, events: Generator[bytes, None, None], release: Callable[[], None]) -> None:
        self._events = events
        self._release = release

    def __next__(self) -> bytes:
        """Return the next events."""
        return next(self._events)

    def close(self) -> None:
        """End the stream and release its slot."""
        try:
            self._events.close()
        finally:
            self._release()


class OnlineAnswer(NamedTuple):
    """An answer for the caller; a stream has ``events`` instead of a ``body``."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None
    events: EventBody | None = None


class ServingDependencies(NamedTuple):
    """Components that online requests and batch items are run with."""

    clock: Clock
    admission: Admission
    buckets: FleetBuckets
    crashes: CrashRegistry
    worker_client: WorkerClient
    metrics: MetricsPage
    planned_stop: PlannedStop


class Attempt(NamedTuple):
    """One attempt of a request.

    :param resources: owns the worker's slot and the answer.
    """

    worker: WorkerEntry
    answer: WorkerAnswer
    resources: ExitStack

    def close(self) -> None:
        """Close the answer and release the slot; does nothing if called again."""
        self.resources.close()
