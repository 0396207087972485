"""Handlers of the completions API."""

import uuid
from collections.abc import Generator, Iterator
from itertools import chain
from typing import Any

import orjson

from trefoilreach._internal.api.auth import (
    identify_caller,
    may_use,
    require_account,
    take_quota,
)
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.scrub import find_secrets, scrub_json
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json, routes
from trefoilreach._internal.coordination.dispatch import Job
from trefoilreach._internal.protocol.openai import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    Completion,
    encode_error,
    parse_completion,
    parse_json_object,
)
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import Account, Route

_EVENT_STREAM_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]
_NO_CHOICES = b'"choices":[]'


@routes.register("POST", CHAT_PATH)
@routes.register("POST", COMPLETIONS_PATH)
def complete(parts: Parts, request: WebRequest) -> WebResponse:
    """Run one completion, plain or streamed."""
    body = parse_json_object(request.read_body(parts.settings.daemon.body_limit))
    account, completion, route = _check(parts, request, body)
    take_quota(parts, account)
    job = Job(f"cmpl-{uuid.uuid4().hex}", account, route, completion, request.caller_gone)
    if completion.stream:
        return WebResponse(200, _EVENT_STREAM_HEADERS, _start_stream(parts, job))
    return respond_json(parts.dispatcher.run_whole(job))


def _check(
    parts: Parts, request: WebRequest, body: dict[str, Any]
) -> tuple[Account, Completion, Route]:
    """Return who asks for what; the key is checked before the request's other faults."""
    model = body.get("model")
    route = parts.config.view.routes.get(model) if isinstance(model, str) else None
    account = identify_caller(parts, request, route)
    clean = scrub_json(body, find_secrets(request, parts.config.view.keys_by_hash))
    completion = parse_completion(request.path, clean)
    if route is None or route.kind != "model":
        message = f"the model {completion.model!r} does not exist"
        raise Refusal(404, "model_not_found", message, param="model")
    return account, completion, route


def _start_stream(parts: Parts, job: Job) -> Iterator[bytes]:
    """Return the encoded events once the first is there, so that a refusal has its status."""
    payloads = _wanted_events(parts, job)
    first = next(payloads, None)
    return _encode_events(chain(() if first is None else (first,), payloads), payloads)


def _wanted_events(parts: Parts, job: Job) -> Generator[bytes, None, None]:
    """Leave out the usage event unless the caller asked for it."""
    options = job.completion.body.get("stream_options")
    with_usage = isinstance(options, dict) and bool(options.get("include_usage"))
    for payload in parts.dispatcher.run_stream(job):
        if with_usage or _NO_CHOICES not in payload:
            yield payload


def _encode_events(
    payloads: Iterator[bytes], source: Generator[bytes, None, None]
) -> Iterator[bytes]:
    try:
        for payload in payloads:
            yield b"data: " + payload + b"\n\n"
        yield b"data: [DONE]\n\n"
    except Refusal as refusal:
        # Without [DONE] and with an error event, a client cannot take the answer as whole.
        yield b"data: " + encode_error(refusal) + b"\n\n"
    finally:
        source.close()


@routes.register("GET", "/v1/models")
def list_models(parts: Parts, request: WebRequest) -> WebResponse:
    """List the models that the caller's account may use."""
    return respond_json({"object": "list", "data": _allowed_models(parts, request)})


@routes.register("GET", "/v1/models/{name*}")
def show_model(parts: Parts, request: WebRequest, name: str) -> WebResponse:
    """Show one model."""
    for model in _allowed_models(parts, request):
        if model["id"] == name:
            return respond_json(model)
    raise Refusal(404, "model_not_found", f"the model {name!r} does not exist", param="model")


def _allowed_models(parts: Parts, request: WebRequest) -> list[dict[str, Any]]:
    _, account = require_account(parts, request)
    return [
        {"id": route.name, "object": "model", "created": 0, "owned_by": "operator"}
        for route in parts.config.view.document.routes
        if route.kind == "model" and may_use(route, account)
    ]


@routes.register("GET", "/healthz")
def report_health(parts: Parts, request: WebRequest) -> WebResponse:
    """Say that the process runs, with its configuration version."""
    version = parts.config.view.document.version
    return WebResponse(200, [], [orjson.dumps({"config_version": version})])
