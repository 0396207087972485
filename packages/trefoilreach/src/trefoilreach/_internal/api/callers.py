"""Handlers of the completions API."""

import threading
import uuid
from collections.abc import Iterator
from typing import Any

import orjson

from trefoilreach._internal.api.auth import check_route, require_account, take_quota
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json, routes
from trefoilreach._internal.coordination.dispatch import Job
from trefoilreach._internal.coordination.keys import refuse_ended_stream
from trefoilreach._internal.protocol.openai import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    encode_error,
    parse_completion,
    parse_json_object,
)
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import Key

_EVENT_STREAM_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]


@routes.register("POST", CHAT_PATH)
@routes.register("POST", COMPLETIONS_PATH)
def complete(parts: Parts, request: WebRequest) -> WebResponse:
    """Run one completion, plain or streamed."""
    key, account = require_account(parts, request)
    body = parse_json_object(request.read_body(parts.settings.daemon.body_limit))
    completion = parse_completion(request.path, body)
    route = parts.config.view.routes.get(completion.model)
    if route is None or route.kind != "model":
        message = f"the model {completion.model!r} does not exist"
        raise Refusal(404, "model_not_found", message, param="model")
    check_route(route, account)
    take_quota(parts, account)
    job = Job(f"cmpl-{uuid.uuid4().hex}", account, route, completion)
    if completion.stream:
        return WebResponse(200, _EVENT_STREAM_HEADERS, _encode_events(parts, key, job))
    return respond_json(_run_whole(parts, key, job))


def _run_whole(parts: Parts, key: Key, job: Job) -> dict[str, Any]:
    ended = threading.Event()
    with parts.streams.register(key.id, ended.set):
        answer = parts.dispatcher.run_whole(job)
        withdrawn = key.id in parts.config_sync.withdrawn_ids()
        if withdrawn or ended.is_set():
            raise refuse_ended_stream(withdrawn)
    return answer


def _encode_events(parts: Parts, key: Key, job: Job) -> Iterator[bytes]:
    """Yield the events of a stream; one that is ended early gets an error and no ``[DONE]``."""
    ended = threading.Event()
    with parts.streams.register(key.id, ended.set):
        for payload in parts.dispatcher.run_stream(job):
            withdrawn = key.id in parts.config_sync.withdrawn_ids()
            if withdrawn or ended.is_set():
                yield b"data: " + encode_error(refuse_ended_stream(withdrawn)) + b"\n\n"
                return
            yield b"data: " + payload + b"\n\n"
    yield b"data: [DONE]\n\n"


@routes.register("GET", "/v1/models")
def list_models(parts: Parts, request: WebRequest) -> WebResponse:
    """List the models that the caller's account may use."""
    _, account = require_account(parts, request)
    models = [
        {"id": route.name, "object": "model", "created": 0, "owned_by": "operator"}
        for route in parts.config.view.document.routes
        if route.kind == "model" and (not route.accounts or account.name in route.accounts)
    ]
    return respond_json({"object": "list", "data": models})


@routes.register("GET", "/healthz")
def report_health(parts: Parts, request: WebRequest) -> WebResponse:
    """Say that the process runs, with its configuration version."""
    version = parts.config.view.document.version
    return WebResponse(200, [], [orjson.dumps({"config_version": version})])
