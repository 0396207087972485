"""HTTP client of the workers, in the platform's wire format."""

from contextlib import ExitStack, closing
from typing import Any

import orjson

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.worker_client import (
    Dispatch,
    LoadReport,
    WorkerFailure,
)
from trefoilreach._internal.logs import describe_error, log_event
from trefoilreach._internal.platform import names
from trefoilreach._internal.platform.wire import select_forwarded
from trefoilreach._internal.protocol.checked_values import check_integer
from trefoilreach._internal.protocol.completeness import (
    Framing,
    IncompleteAnswerError,
    check_single_answer,
)
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.serving import WorkerEntry
from trefoilreach._internal.transport.buffer_budget import BodyReservation, BufferBudget
from trefoilreach._internal.transport.http_client import (
    MAX_BODY_BYTES,
    HttpExchange,
    HttpFailure,
    HttpPools,
    Interrupt,
)

# Connecting takes a few ms; a worker that needs longer is down or unreachable.
_CONNECT_TIMEOUT_SECONDS = 0.3
_LOAD_TIMEOUT_SECONDS = 0.3
_READ_SIZE_BYTES = 65536
_MIN_TIMEOUT_SECONDS = 0.001
_STATUS_OK = 200
_WRONG_WORKER_STATUS = 421
# Errors may come from before the worker has read the request's id; other answers name it.
_FIRST_ERROR_STATUS = 400
# Each request has a connection, of which a worker's address has at most 65,535 to one caller. The
# figures go into reports, which carry 32-bit integers.
_MAX_REPORTED_REQUESTS = 65_535
_MILLISECONDS_PER_SECOND = 1000.0
# Headers of an answer that apply only to the connection to the worker.
_CONNECTION_HEADERS = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "trailers",
    "date",
    "server",
}


class PlatformAnswer:
    """A worker's answer whose head was received and whose body is read on demand.

    :param expects_version: whether the request names the version of the weights that it needs.
    :param budget: space that the bodies of all answers share.
    """

    def __init__(
        self,
        exchange: HttpExchange,
        clock: Clock,
        expects_version: bool = False,
        budget: BufferBudget | None = None,
    ) -> None:
        self._clock = clock
        self._budget = budget or BufferBudget()
        self._expects_version = expects_version
        self._exchange = exchange
        self._response = exchange.response

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._exchange.status

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers to pass on to the caller."""
        return [
            (name, value)
            for name, value in self._response.getheaders()
            if name.lower() not in _CONNECTION_HEADERS
        ]

    @property
    def not_run(self) -> bool:
        """Whether the worker states that it has not run the request."""
        return (
            self.status == _WRONG_WORKER_STATUS
            or self._response.getheader(names.NOT_RUN) is not None
        )

    @property
    def is_wrong_worker(self) -> bool:
        """Whether another worker than the expected one has answered."""
        return self.status == _WRONG_WORKER_STATUS and not self._expects_version

    @property
    def says_leaving(self) -> bool:
        """Whether the worker states that it leaves."""
        return (
            self._response.getheader(names.LEAVING) is not None
            # Another worker at the address speaks for itself.
            and not self.is_wrong_worker
        )

    @property
    def has_receipt(self) -> bool:
        """Whether the answer carries the worker's receipt."""
        return bool(self._response.getheader(names.RECEIPT))

    @property
    def framing(self) -> Framing:
        """What marks the end of the body."""
        return self._exchange.framing

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of events."""
        return (self._response.getheader("Content-Type") or "").startswith("text/event-stream")

    def read_chunk(self, timeout: float) -> bytes:
        """Return the next bytes of the body, or no bytes at its end.

        :param timeout: limit in seconds on the wait.
        :raises WorkerFailure: when the connection fails or closes before the end, or nothing
            arrives in time.
        """
        self._exchange.limit_next_read(timeout)
        try:
            return self._exchange.read_some(_READ_SIZE_BYTES)
        except HttpFailure as failure:
            raise WorkerFailure(
                str(failure), failure.verdict, timed_out=failure.timed_out
            ) from failure

    def read_all(self, timeout: float) -> bytes:
        """Return the rest of the body.

        :param timeout: limit in seconds on the whole body.
        :raises WorkerFailure: as for :meth:`read_chunk`, or when the body is too large or
            another answer follows it.
        """
        deadline = self._clock.now() + timeout
        parts: list[bytes] = []
        size = 0
        with ExitStack() as held:
            # A failure keeps this frame until it is handled, and with it what was read.
            held.callback(parts.clear)
            reservation = held.enter_context(closing(BodyReservation(self._budget)))
            while data := self.read_chunk(max(deadline - self._clock.now(), _MIN_TIMEOUT_SECONDS)):
                parts.append(data)
                size += len(data)
                if size > MAX_BODY_BYTES or self._clock.now() > deadline:
                    message = f"the answer does not end after {size} bytes"
                    raise WorkerFailure(message, Verdict.MAY_HAVE_RUN, timed_out=True)
                if not reservation.grow(size):
                    message = f"no space for more than {size} bytes of the answer"
                    raise WorkerFailure(message, Verdict.MAY_HAVE_RUN)
            body = b"".join(parts)
        request_id = self._response.getheader(names.REQUEST_ID)
        if request_id is not None:
            try:
                check_single_answer(self.framing, body, request_id)
            except IncompleteAnswerError as error:
                raise WorkerFailure(str(error), Verdict.MAY_HAVE_RUN) from error
        return body

    def close(self) -> None:
        """End the exchange and release its connection."""
        self._exchange.close()


class PlatformWorkers:
    """Sends requests to workers over HTTP."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pools = HttpPools(clock, _CONNECT_TIMEOUT_SECONDS)
        self._budget = BufferBudget()

    def close(self) -> None:
        """Close the idle connections."""
        self._pools.close()

    def open(self, dispatch: Dispatch, timeout: float, interrupt: Interrupt) -> PlatformAnswer:
        """Send a request and return its answer as soon as the head has arrived.

        :raises WorkerFailure: when no answer comes, or the answer is for another request.
        """
        call, worker = dispatch.call, dispatch.worker
        pool = self._pools.get(worker.host, worker.port)
        try:
            # Each request has its own connection, so that neither a late extra answer nor a
            # connection that was dropped silently can affect another request.
            exchange = pool.request(
                call.method,
                call.target,
                call.body,
                _build_headers(dispatch),
                timeout,
                fresh=True,
                interrupt=interrupt,
            )
        except HttpFailure as failure:
            # A request that cannot be written says nothing about the worker.
            unreachable = failure.verdict is Verdict.NOT_RUN and not failure.unwritable
            raise WorkerFailure(
                str(failure), failure.verdict, unreachable, failure.timed_out
            ) from failure
        expects_version = any(
            name.lower() == names.EXPECTED_VERSION.lower() for name, _ in call.headers
        )
        answer = PlatformAnswer(exchange, self._clock, expects_version, self._budget)
        echoed = exchange.response.getheader(names.REQUEST_ID)
        is_refusal = echoed is None and exchange.status >= _FIRST_ERROR_STATUS
        if echoed != call.request_id and not is_refusal:
            exchange.close()
            message = f"worker {worker.id} answered request {echoed!r} instead"
            raise WorkerFailure(message, Verdict.MAY_HAVE_RUN)
        return answer

    def is_refused(self, worker: WorkerEntry) -> bool:
        """Return whether connections to a worker's address are refused."""
        return self._pools.get(worker.host, worker.port).is_refused()

    def has_ended(self, worker: WorkerEntry) -> bool:
        """Return whether the process at a worker's address has ended, after a short wait."""
        return self._pools.get(worker.host, worker.port).has_ended()

    def fetch_load(self, worker: WorkerEntry) -> LoadReport:
        """Return what a worker reports of itself."""
        pool = self._pools.get(worker.host, worker.port)
        headers = {names.EXPECTED_WORKER: worker.id}
        leaving = False
        try:
            exchange = pool.request(
                "GET", names.LOAD_PATH, headers=headers, timeout=_LOAD_TIMEOUT_SECONDS
            )
            answer = PlatformAnswer(exchange, self._clock, budget=self._budget)
            leaving = answer.says_leaving
            try:
                body = orjson.loads(exchange.read())
            finally:
                exchange.close()
            if exchange.status != _STATUS_OK:
                return LoadReport(None, leaving)
            requests = _check_count(body["running"]) + _check_count(body["waiting"])
            return LoadReport(requests, leaving)
        except (HttpFailure, KeyError, TypeError, ValueError) as error:
            log_event("worker:load-unknown", worker=worker.id, error=describe_error(error))
            return LoadReport(None, leaving)


def _check_count(value: Any) -> int:
    return check_integer(value, 0, _MAX_REPORTED_REQUESTS)


def _build_headers(dispatch: Dispatch) -> dict[str, str]:
    call = dispatch.call
    # Headers of batch items come as their callers wrote them.
    headers = dict(select_forwarded(call.headers))
    headers["Host"] = call.host
    headers["Connection"] = "close"
    headers[names.REQUEST_ID] = call.request_id
    headers[names.EXPECTED_WORKER] = dispatch.worker.id
    headers[names.TIME_LEFT_MS] = str(max(1, int(dispatch.time_left * _MILLISECONDS_PER_SECOND)))
    if dispatch.account is not None:
        headers[names.ACCOUNT] = dispatch.account
    if dispatch.resume_after is not None:
        headers[names.LAST_EVENT_ID] = str(dispatch.resume_after)
    return headers
