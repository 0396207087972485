"""Runs one online request on a backend server."""

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

import orjson
from result import Err

from trefoilreach._internal.coordination.config_view import ConfigHolder
from trefoilreach._internal.logs import log_decision
from trefoilreach._internal.protocol.openai import CHAT_PATH, Completion
from trefoilreach._internal.protocol.verdict import Refusal, refuse_unavailable
from trefoilreach._internal.state.config import Account, Route, Server
from trefoilreach._internal.transport.engine import Engine, EngineError, EngineRequest


class Job(NamedTuple):
    """One admitted online request."""

    request_id: str
    account: Account
    route: Route
    completion: Completion


class Dispatcher:
    """Chooses a server for each request and relays its answer."""

    def __init__(self, config: ConfigHolder, engine: Engine) -> None:
        self._config = config
        self._engine = engine

    def run_stream(self, job: Job) -> Iterator[bytes]:
        """Yield the event payloads of the answer."""
        server = self._choose(job)
        request = EngineRequest(job.request_id, job.completion.path, job.completion.body)
        opened = self._engine.open(server, request)
        if isinstance(opened, Err):
            raise _refuse(opened.err_value)
        stream = opened.ok_value
        try:
            yield from stream
        except EngineError as error:
            raise _refuse(error) from error
        finally:
            stream.close()

    def run_whole(self, job: Job) -> dict[str, Any]:
        """Return the whole answer as one completion object."""
        return join_events(job.completion.path, self.run_stream(job))

    def _choose(self, job: Job) -> Server:
        candidates = [
            server
            for server in self._config.view.document.servers
            if job.route.name in server.routes and server.state == "live"
        ]
        if not candidates:
            raise refuse_unavailable(f"no server carries {job.route.name!r}", 1.0)
        chosen = random.choice(candidates)
        names = [server.name for server in candidates]
        log_decision("route", chosen.name, "random", request_id=job.request_id, candidates=names)
        return chosen


def _refuse(error: EngineError) -> Refusal:
    return Refusal(503, "server_failed", str(error), error.verdict, retry_after=1.0)


def join_events(path: str, payloads: Iterator[bytes]) -> dict[str, Any]:
    """Join streamed events into one completion object."""
    first: dict[str, Any] = {}
    text: list[str] = []
    finish_reason = None
    usage = None
    for payload in payloads:
        event = orjson.loads(payload)
        first = first or event
        usage = event.get("usage") or usage
        for choice in event.get("choices", ()):
            text.append(choice_text(choice))
            finish_reason = choice.get("finish_reason") or finish_reason
    return _build_completion(path, first, "".join(text), finish_reason, usage)


def choice_text(choice: dict[str, Any]) -> str:
    """Return the text of one choice of a streamed event."""
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""


def _build_completion(
    path: str, first: dict[str, Any], text: str, finish_reason: str | None, usage: Any
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if path == CHAT_PATH:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": first.get("id"),
        "object": "chat.completion" if path == CHAT_PATH else "text_completion",
        "created": first.get("created", 0),
        "model": first.get("model"),
        "choices": [choice],
        "usage": usage,
    }
