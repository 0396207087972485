"""Model engine emulator: streams tokens, batches continuously, reports load late."""

import os
import threading
import time
import uuid
from collections import OrderedDict, deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, NamedTuple

import orjson
import xxhash

from trefoilreach_emulator._internal.engine_models import EngineModels, ModelOptions
from trefoilreach_emulator._internal.server import Exchange

# Prompts that contain these words change what the emulator does with them.
CRASH_MARK = "crash-the-engine"
IMPOSSIBLE_MARK = "impossible-item"
SILENT_MARK = "go-silent"
TRUNCATE_MARK = "cut-the-answer"
_CROSSING_SECONDS = 0.5
_EVENT_HISTORY = 1000
_LOAD_HISTORY_SECONDS = 30.0
_DEFAULT_TOKENS = 16
_PREFIX_CHARACTERS = 64


class EngineOptions(NamedTuple):
    """Speed and size of an emulated engine; times in seconds.

    :param slots: requests at full speed; more slow all of them down.
    :param cache_entries: prompt prefixes kept.
    :param silence: how long a prompt with the mark for it gets no token, after the second.
    :param crossed: gives two requests that arrive together each other's answers.
    :param models: see :class:`ModelOptions`, as for the last three.
    """

    models: tuple[str, ...] = ("m",)
    slots: int = 8
    token_interval: float = 0.02
    first_token: float = 0.05
    load_lag: float = 0.5
    cache_entries: int = 64
    check_fencing: bool = False
    silence: float = 600.0
    crossed: bool = False
    model_limit: int = 0
    load_seconds: float = 0.0


class _Answered(NamedTuple):
    """The request that an answer is made for."""

    request_id: str
    text: str


class _Crossing:
    """Pairs requests that arrive together, so that each gets the other's answer."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: Future[_Answered] | None = None
        self._first = _Answered("", "")

    def exchange(self, own: _Answered) -> _Answered:
        """Return the request whose answer to give: the other of the pair, or this one."""
        with self._lock:
            if self._waiting is not None:
                waiting, self._waiting = self._waiting, None
                waiting.set_result(own)
                return self._first
            waiting = self._waiting = Future()
            self._first = own
        try:
            return waiting.result(_CROSSING_SECONDS)
        except TimeoutError:
            with self._lock:
                if self._waiting is waiting:
                    self._waiting = None
            return waiting.result() if waiting.done() else own


class EngineEmulator:
    """One engine; :meth:`handle` answers its HTTP requests."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._instance = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._running: dict[str, threading.Event] = {}
        self._models = EngineModels(
            ModelOptions(
                options.models, options.model_limit, options.load_seconds, options.check_fencing
            )
        )
        self._crossing = _Crossing()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: deque[dict[str, Any]] = deque(maxlen=_EVENT_HISTORY)
        self._event_sequence = 0
        self._load_history: deque[tuple[float, int]] = deque([(time.monotonic(), 0)])
        self._seen: list[dict[str, Any]] = []
        self._routes: dict[tuple[str, str], Callable[[Exchange], None]] = {
            ("POST", "/v1/chat/completions"): self._complete,
            ("POST", "/v1/completions"): self._complete,
            ("POST", "/v1/cancel"): self._cancel,
            ("GET", "/load"): self._report_load,
            ("GET", "/cache/events"): self._report_events,
            ("POST", "/orders"): self._take_order,
            ("GET", "/seen"): self._report_seen,
        }

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        handler = self._routes.get((exchange.method, exchange.path))
        if handler is None:
            exchange.reply({"error": {"message": "not found"}}, 404)
            return
        handler(exchange)

    def _complete(self, exchange: Exchange) -> None:
        body = exchange.json()
        request_id = exchange.headers.get("X-Request-Id") or f"cmpl-{uuid.uuid4().hex}"
        text = _read_prompt(body)
        self._record(request_id, exchange)
        if not self._models.has(body.get("model")):
            exchange.reply({"error": {"message": f"no model {body.get('model')!r}"}}, 404)
            return
        if IMPOSSIBLE_MARK in text:
            exchange.reply({"error": {"message": "the prompt cannot be completed"}}, 400)
            return
        if self._options.crossed:
            request_id, text = self._crossing.exchange(_Answered(request_id, text))
        stopped = self._start(request_id)
        try:
            self._stream(exchange, body, request_id, text, stopped)
        except OSError:
            # The caller closed the connection, which cancels the request.
            exchange.drop()
        finally:
            self._finish(request_id)

    def _stream(
        self,
        exchange: Exchange,
        body: dict[str, Any],
        request_id: str,
        text: str,
        stopped: threading.Event,
    ) -> None:
        chat = exchange.path.endswith("chat/completions")
        words = make_words(text, int(body.get("max_tokens") or _DEFAULT_TOKENS))
        done = len(str(body.get("resume_text") or "").split())
        exchange.start_events()
        time.sleep(self._first_token_delay(text))
        if CRASH_MARK in text:
            os._exit(70)
        for index in range(done, len(words)):
            if stopped.is_set():
                exchange.drop()
                return
            if SILENT_MARK in text and index > 1:
                time.sleep(self._options.silence)
            if TRUNCATE_MARK in text and index > 1:
                exchange.drop()
                return
            last = index == len(words) - 1
            event = _build_event(request_id, body["model"], chat, words[index], last)
            exchange.send_event(orjson.dumps(event))
            time.sleep(self._token_delay())
        usage = {
            "prompt_tokens": len(text.split()),
            "completion_tokens": len(words),
            "total_tokens": len(text.split()) + len(words),
        }
        event = _build_event(request_id, body["model"], chat, "", True)
        exchange.send_event(orjson.dumps({**event, "choices": [], "usage": usage}))
        exchange.end_events()

    def _first_token_delay(self, text: str) -> float:
        hit = self._touch_prefix(text)
        with self._lock:
            crowding = max(1.0, len(self._running) / self._options.slots)
        return self._options.first_token * crowding * (0.3 if hit else 1.0)

    def _token_delay(self) -> float:
        with self._lock:
            crowding = max(1.0, len(self._running) / self._options.slots)
        return self._options.token_interval * crowding

    def _touch_prefix(self, text: str) -> bool:
        prefix = xxhash.xxh64_hexdigest(text[:_PREFIX_CHARACTERS].encode())
        with self._lock:
            hit = prefix in self._cache
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
            if not hit:
                self._add_event("add", prefix)
            if len(self._cache) > self._options.cache_entries:
                evicted, _ = self._cache.popitem(last=False)
                self._add_event("remove", evicted)
        return hit

    def _add_event(self, action: str, prefix: str) -> None:
        self._event_sequence += 1
        self._events.append(
            {"sequence": self._event_sequence, "action": action, "prefix_hash": prefix}
        )

    def _start(self, request_id: str) -> threading.Event:
        stopped = threading.Event()
        with self._lock:
            self._running[request_id] = stopped
            self._note_load()
        return stopped

    def _finish(self, request_id: str) -> None:
        with self._lock:
            self._running.pop(request_id, None)
            self._note_load()

    def _note_load(self) -> None:
        now = time.monotonic()
        self._load_history.append((now, len(self._running)))
        while len(self._load_history) > 1 and self._load_history[1][0] < now - (
            _LOAD_HISTORY_SECONDS
        ):
            self._load_history.popleft()

    def _record(self, request_id: str, exchange: Exchange) -> None:
        with self._lock:
            self._seen.append({"request_id": request_id, "headers": dict(exchange.headers.items())})
            del self._seen[:-_EVENT_HISTORY]

    def _cancel(self, exchange: Exchange) -> None:
        request_id = exchange.json()["request_id"]
        with self._lock:
            stopped = self._running.get(request_id)
        if stopped is not None:
            stopped.set()
        exchange.reply({"cancelled": stopped is not None})

    def _report_load(self, exchange: Exchange) -> None:
        moment = time.monotonic() - self._options.load_lag
        with self._lock:
            total = 0
            for when, count in self._load_history:
                if when <= moment:
                    total = count
            report = {
                "instance": self._instance,
                "sequence": int(moment * 1000),
                "running": min(total, self._options.slots),
                "waiting": max(0, total - self._options.slots),
                "slots": self._options.slots,
                "age_seconds": self._options.load_lag,
                **self._models.report(moment),
            }
        exchange.reply(report)

    def _report_events(self, exchange: Exchange) -> None:
        after = int(exchange.query.get("after", "0"))
        with self._lock:
            events = [event for event in self._events if event["sequence"] > after]
        exchange.reply({"events": events})

    def _take_order(self, exchange: Exchange) -> None:
        exchange.reply(self._models.take_order(exchange.json()))

    def _report_seen(self, exchange: Exchange) -> None:
        with self._lock:
            seen = {"requests": list(self._seen), "orders": self._models.orders()}
        exchange.reply(seen)


def make_words(prompt: str, count: int) -> list[str]:
    """Return the words that the emulator answers a prompt with, the same each time."""
    seed = xxhash.xxh32_intdigest(prompt.encode())
    return [f"w{(seed + index * 7919) % 10000} " for index in range(count)]


def _read_prompt(body: dict[str, Any]) -> str:
    if "prompt" in body:
        return str(body["prompt"])
    parts = [f"{m.get('role')}:{m.get('content', '')}" for m in body.get("messages", [])]
    return "\n".join(parts)


def _build_event(request_id: str, model: str, chat: bool, word: str, last: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop" if last else None}
    if chat:
        choice["delta"] = {"content": word}
    else:
        choice["text"] = word
    return {
        "id": request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": int(time.time()),
        "model": model,
        "choices": [choice],
    }
