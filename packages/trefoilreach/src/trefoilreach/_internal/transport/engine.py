"""Adapter for model engines that speak the public completions API over HTTP."""

import threading
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, Protocol

import orjson
from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.http_client import HttpExchange, HttpFailure, HttpPool

DONE = b"[DONE]"
_CONTROL_TIMEOUT_SECONDS = 1.0
_DATA_PREFIX = b"data: "


class EngineError(Exception):
    """An engine gave no complete answer.

    :param verdict: whether the engine may have run the request.
    :param gone: whether the engine's process seems to be gone.
    :param status: HTTP status when the engine answered with an error, else 0.
    """

    def __init__(self, message: str, verdict: Verdict, gone: bool = False, status: int = 0) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.gone = gone
        self.status = status


class EngineRequest(NamedTuple):
    """A completion for an engine; its answer is always streamed to the daemon.

    :param resume_text: text generated so far, after which the engine goes on.
    :param token_timeout: longest wait in seconds for the next event.
    """

    request_id: str
    path: str
    body: dict[str, Any]
    resume_text: str = ""
    token_timeout: float = 30.0


class LoadReport(NamedTuple):
    """What an engine last said of its load; ``instance`` changes when it restarts.

    :param sequence: grows with each report of one instance.
    :param age_seconds: how old the figures are.
    """

    instance: str
    sequence: int
    running: int
    waiting: int
    slots: int
    age_seconds: float
    models: tuple[str, ...]
    state: str


class CacheEvent(NamedTuple):
    """A prompt prefix that entered or left an engine's cache; ``action`` is add or remove."""

    sequence: int
    action: str
    prefix_hash: str


class Order(NamedTuple):
    """An order to an engine: ``load``, ``unload`` or ``role``."""

    fencing: int
    action: str
    model: str
    version: str = ""


class OrderOutcome(NamedTuple):
    """Answer to an order; ``status`` is ``done``, ``stale`` or ``refused``."""

    status: str
    fencing: int


class EngineStream(Protocol):
    """Payloads of the server-sent events of one answer, without the final ``[DONE]``."""

    def __iter__(self) -> Iterator[bytes]:
        """Yield payloads; raise :class:`EngineError` when the answer is incomplete."""

    def close(self) -> None:
        """Cancel the answer when it is incomplete."""


class Engine(Protocol):
    """What the daemon asks of model engines."""

    def open(self, server: Server, request: EngineRequest) -> Result[EngineStream, EngineError]:
        """Start a completion."""

    def cancel(self, server: Server, request_id: str) -> None:
        """Stop a completion."""

    def load(self, server: Server) -> Result[LoadReport, EngineError]:
        """Read the load report."""

    def cache_events(self, server: Server, after: int) -> Result[list[CacheEvent], EngineError]:
        """Read cache events above a sequence number."""

    def order(self, server: Server, order: Order) -> Result[OrderOutcome, EngineError]:
        """Give an order."""


engines: Registry[Callable[[Clock, float], Engine]] = Registry("engine adapter")


@engines.register("http")
class HttpEngine:
    """Engine adapter over HTTP.

    :param connect_timeout: seconds.
    """

    def __init__(self, clock: Clock, connect_timeout: float) -> None:
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], HttpPool] = {}

    def open(self, server: Server, request: EngineRequest) -> Result[EngineStream, EngineError]:
        """Start a completion."""
        body = {**request.body, "stream": True}
        if request.resume_text:
            body["resume_text"] = request.resume_text
        headers = {"Content-Type": "application/json", "X-Request-Id": request.request_id}
        try:
            exchange = self._pool(server).request(
                "POST", request.path, orjson.dumps(body), headers, request.token_timeout
            )
            if exchange.status != 200:
                return Err(_read_error(exchange))
        except HttpFailure as failure:
            return Err(EngineError(str(failure), failure.verdict, failure.refused))
        return Ok(_HttpEngineStream(exchange, request.request_id))

    def cancel(self, server: Server, request_id: str) -> None:
        """Stop a completion; a lost cancel is harmless because the stream is closed too."""
        self._call(server, "POST", "/v1/cancel", {"request_id": request_id})

    def load(self, server: Server) -> Result[LoadReport, EngineError]:
        """Read the load report."""
        return self._call(server, "GET", "/load").map(_decode_load)

    def cache_events(self, server: Server, after: int) -> Result[list[CacheEvent], EngineError]:
        """Read cache events above a sequence number."""
        reply = self._call(server, "GET", f"/cache/events?after={after}")
        return reply.map(lambda found: [CacheEvent(**event) for event in found["events"]])

    def order(self, server: Server, order: Order) -> Result[OrderOutcome, EngineError]:
        """Give an order."""
        reply = self._call(server, "POST", "/orders", order._asdict())
        return reply.map(lambda found: OrderOutcome(found["status"], found["fencing"]))

    def close(self) -> None:
        """Close the kept connections."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close()

    def _pool(self, server: Server) -> HttpPool:
        address = (server.host, server.port)
        with self._lock:
            if address not in self._pools:
                pool = HttpPool(server.host, server.port, self._clock, self._connect_timeout)
                self._pools[address] = pool
            return self._pools[address]

    def _call(
        self, server: Server, method: str, path: str, body: Any = None
    ) -> Result[Any, EngineError]:
        data = b"" if body is None else orjson.dumps(body)
        try:
            exchange = self._pool(server).request(
                method, path, data, timeout=_CONTROL_TIMEOUT_SECONDS
            )
            try:
                if exchange.status != 200:
                    return Err(_read_error(exchange))
                return Ok(orjson.loads(exchange.read()))
            finally:
                exchange.close()
        except HttpFailure as failure:
            return Err(EngineError(str(failure), failure.verdict, failure.refused))
        except orjson.JSONDecodeError as error:
            return Err(EngineError(f"answer is not JSON: {error}", Verdict.MAY_HAVE_RUN))


class _HttpEngineStream:
    """Server-sent events of one answer."""

    def __init__(self, exchange: HttpExchange, request_id: str) -> None:
        self._exchange = exchange
        self._request_id = request_id
        self._id_marker = b'"' + request_id.encode() + b'"'

    def __iter__(self) -> Iterator[bytes]:
        """Yield payloads until ``[DONE]``."""
        response = self._exchange.response
        while True:
            try:
                line = response.readline()
            except (OSError, ValueError) as error:
                raise EngineError(f"stream broke: {error!r}", Verdict.MAY_HAVE_RUN) from error
            if not line:
                raise EngineError("stream ended without [DONE]", Verdict.MAY_HAVE_RUN)
            if not line.startswith(_DATA_PREFIX):
                continue
            payload = line[len(_DATA_PREFIX) :].rstrip()
            if payload == DONE:
                self._finish()
                return
            if self._id_marker not in payload:
                raise EngineError("answer belongs to another request", Verdict.MAY_HAVE_RUN)
            yield payload

    def close(self) -> None:
        """Close the connection unless the answer was complete."""
        self._exchange.close()

    def _finish(self) -> None:
        try:
            self._exchange.read()
        except HttpFailure:
            # The answer itself was complete; only the connection cannot be reused.
            return


def _read_error(exchange: HttpExchange) -> EngineError:
    try:
        data = exchange.read()
    finally:
        exchange.close()
    try:
        message = orjson.loads(data)["error"]["message"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        message = f"engine answered {exchange.status}"
    verdict = Verdict.MAY_HAVE_RUN if exchange.status == 500 else Verdict.NOT_RUN
    return EngineError(message, verdict, status=exchange.status)


def _decode_load(found: dict[str, Any]) -> LoadReport:
    return LoadReport(
        instance=found["instance"],
        sequence=found["sequence"],
        running=found["running"],
        waiting=found["waiting"],
        slots=found["slots"],
        age_seconds=found["age_seconds"],
        models=tuple(found["models"]),
        state=found["state"],
    )
