"""Runs one batch item on a worker, continuing the text generated so far."""

import threading
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

import orjson
from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.held_chunk import ItemTask
from trefoilreach._internal.protocol.completion_events import choice_text, join_events
from trefoilreach._internal.protocol.openai import CHAT_PATH
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.engine import Engine, EngineError, EngineRequest

# Statuses with which an engine rejects the request itself.
CLIENT_ERROR_STATUSES = frozenset({400, 413, 422})
# Statuses that say nothing about the item: the worker is full or leaving.
BUSY_STATUSES = frozenset({429, 503})
# A dead worker can leave many pooled connections, each of which fails one check at once.
_DEATH_CHECK_INTERVAL_SECONDS = 0.05
_DEATH_CHECK_TIMEOUT_SECONDS = 3.0


class Ending(Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    REFUSED = "refused"  # the engine rejected the item
    YIELDED = "yielded"  # cancelled by this daemon
    BUSY = "busy"
    UNREACHABLE = "unreachable"  # not run
    LOST = "lost"  # may have run, and the worker does not answer
    FAILED = "failed"  # the worker is alive; the item may be the cause
    CRASHED = "crashed"  # the worker died with the item in flight


class Attempt(NamedTuple):
    """Outcome of one attempt; ``text`` is the text generated so far, over all attempts.

    :param is_culprit: whether the item is known to have crashed the worker.
    """

    ending: Ending
    text: str = ""
    body: dict[str, Any] | None = None
    status: int = 0
    message: str = ""
    is_culprit: bool = False


class StreamHandle:
    """One running attempt, which other threads can cancel."""

    def __init__(self, task: ItemTask, request_id: str, server: Server) -> None:
        self.task = task
        self.request_id = request_id
        self.server = server
        self._cancelled = threading.Event()

    @property
    def cancelled(self) -> bool:
        """Whether the attempt was asked to end."""
        return self._cancelled.is_set()

    def cancel(self) -> None:
        """Ask the reading thread to end the attempt at the next token."""
        self._cancelled.set()


class LatencyCallbacks(NamedTuple):
    """Callbacks for the time to the first token and the time between two tokens, in seconds."""

    first_token: Callable[[float], None]
    token_interval: Callable[[float], None]


class ItemRunner:
    """Runs attempts; keeps no state between them."""

    def __init__(self, clock: Clock, engine: Engine) -> None:
        self._clock = clock
        self._engine = engine

    def run(
        self,
        handle: StreamHandle,
        endpoint: str,
        instance: str,
        token_timeout: float,
        latency: LatencyCallbacks,
    ) -> Attempt:
        """Run one attempt.

        :param instance: the worker's instance id when the attempt began; another id afterwards
            means that the worker died.
        """
        task = handle.task
        request = EngineRequest(
            handle.request_id, endpoint, task.item.body, task.text, token_timeout
        )
        opened = self._engine.open(handle.server, request)
        if isinstance(opened, Err):
            return self._classify_error(handle, opened.err_value, task.text, instance)
        payloads: list[bytes] = []
        try:
            self._read(handle, opened.ok_value, payloads, latency)
        except EngineError as error:
            return self._classify_error(handle, error, task.text + _join_text(payloads), instance)
        finally:
            opened.ok_value.close()
        if handle.cancelled and not _is_complete(payloads):
            return Attempt(Ending.YIELDED, task.text + _join_text(payloads))
        body = join_events(endpoint, iter(payloads))
        return Attempt(Ending.COMPLETED, body=_prepend_text(endpoint, body, task.text))

    def _read(
        self, handle: StreamHandle, stream: Any, payloads: list[bytes], latency: LatencyCallbacks
    ) -> None:
        last = self._clock.now()
        for payload in stream:
            now = self._clock.now()
            if payloads:
                latency.token_interval(now - last)
            else:
                latency.first_token(now - last)
            last = now
            payloads.append(payload)
            if handle.cancelled:
                return

    def _classify_error(
        self, handle: StreamHandle, error: EngineError, text: str, instance: str
    ) -> Attempt:
        if error.status in CLIENT_ERROR_STATUSES:
            return Attempt(Ending.REFUSED, text, status=error.status, message=str(error))
        if error.status in BUSY_STATUSES:
            return Attempt(Ending.BUSY, text)
        if error.status:
            return Attempt(Ending.FAILED, text, status=error.status, message=str(error))
        if error.verdict is Verdict.NOT_RUN:
            return Attempt(Ending.UNREACHABLE, text)
        return self._classify_broken_stream(handle, error, text, instance)

    def _classify_broken_stream(
        self, handle: StreamHandle, error: EngineError, text: str, instance: str
    ) -> Attempt:
        died = self._has_worker_died(handle.server, instance)
        if died:
            return Attempt(Ending.CRASHED, text, message=str(error))
        if handle.cancelled:
            return Attempt(Ending.YIELDED, text)
        if died is None:
            return Attempt(Ending.LOST, text, message=str(error))
        return Attempt(Ending.FAILED, text, message=str(error))

    def _has_worker_died(self, server: Server, instance: str) -> bool | None:
        """Return whether the worker died, or None when it does not answer."""
        end = self._clock.now() + _DEATH_CHECK_TIMEOUT_SECONDS
        while self._clock.now() < end:
            report = self._engine.load(server)
            if not isinstance(report, Err):
                return report.ok_value.instance != instance
            if report.err_value.is_refused:
                return True
            self._clock.sleep(_DEATH_CHECK_INTERVAL_SECONDS)
        return None


def _is_complete(payloads: list[bytes]) -> bool:
    """Return whether every choice has ended, even if ``[DONE]`` was not read."""
    ended: dict[int, bool] = {}
    for payload in payloads:
        for choice in orjson.loads(payload).get("choices", ()):
            index = choice.get("index", 0)
            ended[index] = ended.get(index, False) or bool(choice.get("finish_reason"))
    return bool(ended) and all(ended.values())


def _join_text(payloads: list[bytes]) -> str:
    return "".join(
        choice_text(choice)
        for payload in payloads
        for choice in orjson.loads(payload).get("choices", ())
    )


def _prepend_text(endpoint: str, body: dict[str, Any], text: str) -> dict[str, Any]:
    choice = body["choices"][0]
    if endpoint == CHAT_PATH:
        choice["message"]["content"] = text + choice["message"]["content"]
    else:
        choice["text"] = text + choice["text"]
    return body
