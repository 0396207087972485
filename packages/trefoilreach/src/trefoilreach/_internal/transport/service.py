"""Adapter for backend servers that are plain HTTP services, not model engines."""

from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.protocol.completeness import Framing
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.http_client import (
    HttpExchange,
    HttpFailure,
    HttpPool,
    HttpPools,
    Interrupt,
)

_REQUEST_ID_HEADER = "X-Request-Id"
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ServiceError(Exception):
    """A service gave no complete answer.

    :param verdict: whether the service may have run the call.
    :param is_refused: whether the connection was refused, as after the service's process has ended.
    :param timed_out: whether a wait for the service timed out.
    """

    def __init__(
        self, message: str, verdict: Verdict, is_refused: bool = False, timed_out: bool = False
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.is_refused = is_refused
        self.timed_out = timed_out


class ServiceRequest(NamedTuple):
    """One call of a service.

    :param target: path and query string.
    :param timeout: longest wait in seconds for each receipt of data from the service.
    :param interrupt: lets another thread end the call.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    timeout: float
    interrupt: Interrupt | None = None


class ServiceReply(NamedTuple):
    """A complete answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Service(Protocol):
    """Operations of an adapter for plain services."""

    def call(self, server: Server, request: ServiceRequest) -> Result[ServiceReply, ServiceError]:
        """Make one call; it is sent at most once."""

    def is_gone(self, server: Server) -> bool:
        """Return whether no process listens at a server's address."""


class HttpService:
    """Service adapter over HTTP.

    Each call opens a new connection: a kept one may have stopped working unnoticed, and a call
    that must not be repeated would be lost on it.

    :param connect_timeout: seconds.
    """

    def __init__(self, clock: Clock, connect_timeout: float) -> None:
        self._pools = HttpPools(clock, connect_timeout)

    def call(self, server: Server, request: ServiceRequest) -> Result[ServiceReply, ServiceError]:
        """Make one call."""
        headers = {**request.headers, _REQUEST_ID_HEADER: request.request_id, "Connection": "close"}
        try:
            exchange = self._pool(server).request(
                request.method,
                request.target,
                request.body,
                headers,
                request.timeout,
                fresh=True,
                interrupt=request.interrupt,
            )
            try:
                return _check_response(exchange, exchange.read(), request)
            finally:
                exchange.close()
        except HttpFailure as failure:
            error = ServiceError(str(failure), failure.verdict, failure.refused, failure.timed_out)
            return Err(error)

    def is_gone(self, server: Server) -> bool:
        """Return whether no process listens at a server's address."""
        return self._pool(server).is_refused()

    def _pool(self, server: Server) -> HttpPool:
        return self._pools.get(server.host, server.port)


def _check_response(
    exchange: HttpExchange, body: bytes, request: ServiceRequest
) -> Result[ServiceReply, ServiceError]:
    response = exchange.response
    answered_id = response.headers.get(_REQUEST_ID_HEADER)
    if answered_id is not None and answered_id != request.request_id:
        return Err(ServiceError("answer belongs to another request", Verdict.MAY_HAVE_RUN))
    has_body = request.method != "HEAD" and response.status not in _STATUSES_WITHOUT_BODY
    if has_body and exchange.framing is Framing.CONNECTION:
        # Without a length, a complete body cannot be told from one cut off by a lost connection,
        # nor an empty one from one cut off before its first byte.
        return Err(ServiceError("the answer does not state its length", Verdict.MAY_HAVE_RUN))
    return Ok(ServiceReply(response.status, response.getheaders(), body))
