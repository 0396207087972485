"""Adapter for model engines that speak the public completions API over HTTP."""

import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, Protocol

import orjson
from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.http_client import (
    HttpExchange,
    HttpFailure,
    HttpPool,
    HttpPools,
    Interrupt,
)

_DONE_PAYLOAD = b"[DONE]"
_CONTROL_TIMEOUT_SECONDS = 1.0
# An order with its connect takes 7 s at most, less than the last 8 s of its lease, in
# which no order is sent.
ORDER_TIMEOUT_SECONDS = 5.0
_ORDER_CONNECT_TIMEOUT_SECONDS = 2.0
_DATA_PREFIX = b"data:"
_EVENT_END = b"\n\n"
_READ_LIMIT_BYTES = 65536
# Lines of the head of another answer, which no event has.
_HEAD_LINE = re.compile(rb"^(?:HTTP/1|Content-Type:|X-Request-Id:)", re.MULTILINE | re.IGNORECASE)


class EngineError(Exception):
    """An engine gave no complete answer.

    :param verdict: whether the engine may have run the request.
    :param is_refused: whether the connection was refused, as after the engine's process has ended.
    :param status: HTTP status when the engine answered with an error, else 0.
    :param timed_out: whether a wait for the engine timed out.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        is_refused: bool = False,
        status: int = 0,
        timed_out: bool = False,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.is_refused = is_refused
        self.status = status
        self.timed_out = timed_out


class EngineRequest(NamedTuple):
    """A completion request to an engine, which always streams its answer to the daemon.

    :param resume_text: text generated so far, which the engine continues.
    :param token_timeout: longest wait in seconds for each event after the first.
    :param first_token_timeout: longest wait in seconds for the first event.
    :param interrupt: lets another thread end the answer.
    """

    request_id: str
    path: str
    body: dict[str, Any]
    resume_text: str = ""
    token_timeout: float = 30.0
    first_token_timeout: float = 60.0
    interrupt: Interrupt | None = None


class LoadReport(NamedTuple):
    """Latest load that an engine reported; ``instance`` changes when it restarts.

    :param sequence: increases with each report of one instance.
    :param age_seconds: age of the figures.
    :param versions: version of each loaded model, or None if the engine reports none.
    :param loading: models that are being loaded, with the version.
    """

    instance: str
    sequence: int
    running: int
    waiting: int
    slots: int
    age_seconds: float
    models: tuple[str, ...]
    state: str
    versions: dict[str, str] | None = None
    loading: dict[str, str] = {}  # noqa: RUF012 - reports are never changed

    def can_serve(self, model: str) -> bool:
        """Return whether the engine serves a model; one that reports none may serve any."""
        if not self.models and self.versions is None:
            return True
        return model in self.models and model not in self.loading


class CacheEvent(NamedTuple):
    """A prompt prefix that entered or left an engine's cache; ``action`` is add or remove."""

    sequence: int
    action: str
    prefix_hash: str


class Order(NamedTuple):
    """An order to an engine: ``load``, ``unload`` or ``role``.

    For ``role``, ``model`` holds the role. Loading a loaded model replaces its version.
    """

    fencing: int
    action: str
    model: str
    version: str = ""


class OrderOutcome(NamedTuple):
    """Answer to an order.

    :param status: ``done``, ``accepted`` (later load reports show when it is done), ``stale``
        or ``refused``.
    """

    status: str
    fencing: int


class EngineStream(Protocol):
    """Payloads of the server-sent events of one answer, without the final ``[DONE]``."""

    def __iter__(self) -> Iterator[bytes]:
        """Yield payloads; raise :class:`EngineError` when the answer is incomplete."""

    def close(self) -> None:
        """Cancel the answer when it is incomplete."""


class Engine(Protocol):
    """Operations of an adapter for model engines."""

    def open(self, server: Server, request: EngineRequest) -> Result[EngineStream, EngineError]:
        """Start a completion."""

    def cancel(self, server: Server, request_id: str) -> None:
        """Stop a completion."""

    def load(self, server: Server) -> Result[LoadReport, EngineError]:
        """Read the load report."""

    def cache_events(self, server: Server, after: int) -> Result[list[CacheEvent], EngineError]:
        """Read cache events above a sequence number."""

    def order(self, server: Server, order: Order) -> Result[OrderOutcome, EngineError]:
        """Send an order and return the engine's answer to it."""


engines: Registry[Callable[[Clock, float], Engine]] = Registry("engine adapter")


@engines.register("http")
class HttpEngine:
    """Engine adapter over HTTP.

    :param connect_timeout: seconds.
    """

    def __init__(self, clock: Clock, connect_timeout: float) -> None:
        self._pools = HttpPools(clock, connect_timeout)
        self._order_pools = HttpPools(clock, min(connect_timeout, _ORDER_CONNECT_TIMEOUT_SECONDS))

    def open(self, server: Server, request: EngineRequest) -> Result[EngineStream, EngineError]:
        """Start a completion.

        Each completion opens a new connection: a kept one may have stopped working
        unnoticed, while a new handshake shows that the path works now.
        """
        body = {**request.body, "stream": True}
        if request.resume_text:
            body["resume_text"] = request.resume_text
        headers = {"Content-Type": "application/json", "X-Request-Id": request.request_id}
        try:
            exchange = self._pool(server).request(
                "POST",
                request.path,
                orjson.dumps(body),
                headers,
                request.first_token_timeout,
                fresh=True,
                interrupt=request.interrupt,
            )
            if exchange.status != 200:
                return Err(_decode_error(exchange))
        except HttpFailure as failure:
            return Err(_convert_failure(failure))
        return Ok(_HttpEngineStream(exchange, request))

    def cancel(self, server: Server, request_id: str) -> None:
        """Stop a completion; a lost cancel is harmless because the stream is closed too."""
        self._call(server, "POST", "/v1/cancel", {"request_id": request_id}, fresh=True)

    def load(self, server: Server) -> Result[LoadReport, EngineError]:
        """Read the load report."""
        return self._read(server, "/load").map(_decode_load)

    def cache_events(self, server: Server, after: int) -> Result[list[CacheEvent], EngineError]:
        """Read cache events above a sequence number."""
        reply = self._read(server, f"/cache/events?after={after}")
        return reply.map(lambda answer: [CacheEvent(**event) for event in answer["events"]])

    def order(self, server: Server, order: Order) -> Result[OrderOutcome, EngineError]:
        """Send an order and return the engine's answer to it."""
        pool = self._order_pools.get(server.host, server.port)
        data = orjson.dumps(order._asdict())
        reply = _send_control_request(
            pool, "POST", "/orders", data, ORDER_TIMEOUT_SECONDS, fresh=True
        )
        return reply.map(lambda answer: OrderOutcome(answer["status"], answer["fencing"]))

    def close(self) -> None:
        """Close the kept connections."""
        self._pools.close()
        self._order_pools.close()

    def _pool(self, server: Server) -> HttpPool:
        return self._pools.get(server.host, server.port)

    def _read(self, server: Server, path: str) -> Result[Any, EngineError]:
        """Read on a kept connection, and retry once on a new one if there is no answer."""
        reply = self._call(server, "GET", path)
        if isinstance(reply, Ok) or reply.err_value.is_refused or reply.err_value.status:
            return reply
        self._pool(server).drop_idle()
        return self._call(server, "GET", path, fresh=True)

    def _call(
        self, server: Server, method: str, path: str, body: Any = None, fresh: bool = False
    ) -> Result[Any, EngineError]:
        data = b"" if body is None else orjson.dumps(body)
        return _send_control_request(
            self._pool(server), method, path, data, _CONTROL_TIMEOUT_SECONDS, fresh
        )


def _send_control_request(
    pool: HttpPool, method: str, path: str, data: bytes, timeout: float, fresh: bool
) -> Result[Any, EngineError]:
    """Send a control request and decode its JSON answer."""
    try:
        exchange = pool.request(method, path, data, timeout=timeout, fresh=fresh)
        try:
            if exchange.status != 200:
                return Err(_decode_error(exchange))
            return Ok(orjson.loads(exchange.read()))
        finally:
            exchange.close()
    except HttpFailure as failure:
        return Err(_convert_failure(failure))
    except orjson.JSONDecodeError as error:
        return Err(EngineError(f"answer is not JSON: {error}", Verdict.MAY_HAVE_RUN))


def _convert_failure(failure: HttpFailure) -> EngineError:
    return EngineError(
        str(failure), failure.verdict, is_refused=failure.refused, timed_out=failure.timed_out
    )


class _HttpEngineStream:
    """Server-sent events of one answer."""

    def __init__(self, exchange: HttpExchange, request: EngineRequest) -> None:
        self._exchange = exchange
        self._request = request
        self._id_marker = b'"' + request.request_id.encode() + b'"'

    def __iter__(self) -> Iterator[bytes]:
        """Yield payloads until ``[DONE]``."""
        marker = self._id_marker
        waiting_for_first = True
        for event in self._read_events():
            if b"\n" in event and _HEAD_LINE.search(event):
                raise EngineError("another answer follows the stream", Verdict.MAY_HAVE_RUN)
            payload = _extract_payload(event)
            if payload == _DONE_PAYLOAD:
                return
            if not payload:
                continue
            if marker not in payload:
                raise _build_foreign_event_error(payload)
            if waiting_for_first:
                self._exchange.set_timeout(self._request.token_timeout)
                waiting_for_first = False
            yield payload
        raise EngineError("stream ended without [DONE]", Verdict.MAY_HAVE_RUN)

    def close(self) -> None:
        """Close the connection, which cancels an incomplete answer."""
        self._exchange.close()

    def _read_events(self) -> Iterator[bytes]:
        # read1 returns the data of one chunk, which is usually one complete event.
        incomplete = b""
        while True:
            try:
                data = self._exchange.read_some(_READ_LIMIT_BYTES)
            except HttpFailure as failure:
                raise _convert_failure(failure) from failure
            if not data:
                return
            if b"\r" in data:
                data = data.replace(b"\r\n", b"\n")
            *events, incomplete = (incomplete + data).split(_EVENT_END)
            yield from events


def _extract_payload(event: bytes) -> bytes:
    if event.startswith(_DATA_PREFIX) and b"\n" not in event:
        return event[len(_DATA_PREFIX) :].strip()
    lines = [line for line in event.split(b"\n") if line.startswith(_DATA_PREFIX)]
    return b"\n".join(line[len(_DATA_PREFIX) :].strip() for line in lines)


def _build_foreign_event_error(payload: bytes) -> EngineError:
    if payload.startswith(b'{"error"'):
        return EngineError("the engine reported an error during its answer", Verdict.MAY_HAVE_RUN)
    return EngineError("answer belongs to another request", Verdict.MAY_HAVE_RUN)


def _decode_error(exchange: HttpExchange) -> EngineError:
    try:
        data = exchange.read()
    except HttpFailure:
        data = b""
    finally:
        exchange.close()
    try:
        message = orjson.loads(data)["error"]["message"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        message = f"engine answered {exchange.status}"
    # Only a status below 500, which rejects the request, shows that the engine did not run it.
    verdict = Verdict.MAY_HAVE_RUN if exchange.status >= 500 else Verdict.NOT_RUN
    return EngineError(message, verdict, status=exchange.status)


def _decode_load(report: dict[str, Any]) -> LoadReport:
    return LoadReport(
        instance=report["instance"],
        sequence=report["sequence"],
        running=report["running"],
        waiting=report["waiting"],
        slots=report["slots"],
        age_seconds=report["age_seconds"],
        models=tuple(report["models"]),
        state=report["state"],
        versions=report.get("versions"),
        loading=report.get("loading") or {},
    )
