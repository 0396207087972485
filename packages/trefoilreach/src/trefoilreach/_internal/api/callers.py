"""Handlers of the completions API."""

import threading
import uuid
from collections.abc import Generator, Iterator
from contextlib import contextmanager
from itertools import chain
from typing import Any

from trefoilreach._internal.api.auth import (
    identify_caller,
    may_use,
    require_account,
    take_quota,
)
from trefoilreach._internal.api.keyed import run_keyed
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.scrub import find_secrets, scrub_json
from trefoilreach._internal.api.web import (
    IDEMPOTENCY_HEADER,
    WebRequest,
    WebResponse,
    respond_json,
    routes,
)
from trefoilreach._internal.coordination.audit.audit import COMPLETED, REFUSED
from trefoilreach._internal.coordination.config.keys import refuse_ended_stream
from trefoilreach._internal.coordination.online.dispatch import Job
from trefoilreach._internal.protocol.events import join_events
from trefoilreach._internal.protocol.openai import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    encode_error,
    parse_completion,
    parse_json_object,
)
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import Account

_EVENT_STREAM_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]
_NO_CHOICES = b'"choices":[]'
_DONE_EVENT = b"data: [DONE]\n\n"


@routes.register("POST", CHAT_PATH)
@routes.register("POST", COMPLETIONS_PATH)
def complete(parts: Parts, request: WebRequest) -> WebResponse:
    """Run one completion, plain or streamed."""
    data = request.read_body(parts.settings.daemon.body_limit)
    body = parse_json_object(data)
    model = body.get("model")
    route = parts.config.view.routes.get(model) if isinstance(model, str) else None
    # The key is judged before the request's other faults.
    key, account = identify_caller(parts, request, route)
    clean = scrub_json(body, find_secrets(request, parts.config.view.keys_by_hash))
    completion = parse_completion(request.path, clean)
    if route is None or route.kind != "model":
        message = f"the model {completion.model!r} does not exist"
        raise Refusal(404, "model_not_found", message, param="model")
    take_quota(parts, account)
    watch = KeyWatch(parts, request, "" if key is None else key.id)
    job = Job(f"cmpl-{uuid.uuid4().hex}", account, route, completion, watch.stopped)
    return run_keyed(parts, request, account.name, data, lambda: _run(parts, watch, job))


def _run(parts: Parts, watch: "KeyWatch", job: Job) -> WebResponse:
    events = _relay(parts, watch, job)
    if job.completion.stream:
        return WebResponse(200, _EVENT_STREAM_HEADERS, _start_stream(job, events))
    return respond_json(join_events(job.completion.path, events))


class KeyWatch:
    """Whether a running request must end: its caller left or its key was withdrawn."""

    def __init__(self, parts: Parts, request: WebRequest, key_id: str) -> None:
        self._parts = parts
        self._request = request
        self._key_id = key_id
        self._keyed = request.header(IDEMPOTENCY_HEADER) is not None
        self._ended = threading.Event()

    def stopped(self) -> bool:
        """Return whether the request must end.

        With an idempotency key it goes on without its caller, who may ask again.
        """
        return self._ended.is_set() or (not self._keyed and self._request.caller_gone())

    def check(self) -> None:
        """Raise the refusal of a request whose key was withdrawn while it ran."""
        if self._ended.is_set():
            raise self._refuse_ended()

    def explain(self, refusal: Refusal) -> Refusal:
        """Return why a request stopped: its ended key comes before what followed from that."""
        return self._refuse_ended() if self._ended.is_set() else refusal

    def _refuse_ended(self) -> Refusal:
        withdrawn = self._key_id in self._parts.config_sync.withdrawn_ids()
        return refuse_ended_stream(withdrawn)

    @contextmanager
    def open(self) -> Iterator[None]:
        """Watch the key for the time of a ``with`` block."""
        with self._parts.streams.register(self._key_id, self._ended.set):
            if self._key_id in self._parts.config_sync.withdrawn_ids():
                # Withdrawn between the check of the request and the registration.
                self._ended.set()
            yield


def _relay(parts: Parts, watch: KeyWatch, job: Job) -> Generator[bytes, None, None]:
    """Yield payloads until the end or until the key is withdrawn."""
    begun = False
    with watch.open():
        try:
            for payload in parts.dispatcher.run_stream(job):
                watch.check()
                begun = True
                yield payload
            watch.check()
        except Refusal as refusal:
            ended = watch.explain(refusal)
            if begun and job.completion.stream:
                # Its answer has begun with status 200, so no one else records it.
                parts.audit.record(REFUSED, describe_refusal(job, ended))
            raise ended from refusal
    parts.audit.record(COMPLETED, describe_job(job))


def describe_job(job: Job) -> dict[str, Any]:
    """Return the audit fields of a completion; no prompt and no key."""
    return {
        "request_id": job.request_id,
        "account": job.account.name,
        "route": job.route.name,
        "path": job.completion.path,
    }


def describe_refusal(job: Job, refusal: Refusal) -> dict[str, Any]:
    """Return the audit fields of a completion that ended with an error event."""
    return {
        **describe_job(job),
        "status": refusal.status,
        "code": refusal.code,
        "verdict": refusal.verdict.value,
    }


def _start_stream(job: Job, payloads: Generator[bytes, None, None]) -> Iterator[bytes]:
    """Return the encoded events once the first is there, so that a refusal has its status."""
    wanted = _drop_unasked_usage(job, payloads)
    first = next(wanted, None)
    return _encode_events(chain(() if first is None else (first,), wanted), payloads)


def _drop_unasked_usage(job: Job, payloads: Iterator[bytes]) -> Iterator[bytes]:
    """Leave out the usage event, which has no choices, unless the caller asked for it."""
    options = job.completion.body.get("stream_options")
    with_usage = isinstance(options, dict) and bool(options.get("include_usage"))
    return (payload for payload in payloads if with_usage or _NO_CHOICES not in payload)


def _encode_events(
    payloads: Iterator[bytes], source: Generator[bytes, None, None]
) -> Iterator[bytes]:
    try:
        for payload in payloads:
            yield b"data: " + payload + b"\n\n"
        yield _DONE_EVENT
    except Refusal as refusal:
        # With an error event and without [DONE], no client takes the answer as whole.
        yield b"data: " + encode_error(refusal) + b"\n\n"
    finally:
        source.close()


@routes.register("GET", "/v1/models")
def list_models(parts: Parts, request: WebRequest) -> WebResponse:
    """List the models that the caller's account may use."""
    _, account = require_account(parts, request)
    return respond_json({"object": "list", "data": _list_allowed(parts, account)})


@routes.register("GET", "/v1/models/{name*}")
def show_model(parts: Parts, request: WebRequest, name: str) -> WebResponse:
    """Show one model."""
    _, account = require_account(parts, request)
    for model in _list_allowed(parts, account):
        if model["id"] == name:
            return respond_json(model)
    raise Refusal(404, "model_not_found", f"the model {name!r} does not exist", param="model")


def _list_allowed(parts: Parts, account: Account) -> list[dict[str, Any]]:
    return [
        {"id": route.name, "object": "model", "created": 0, "owned_by": "operator"}
        for route in parts.config.view.document.routes
        if route.kind == "model" and may_use(route, account)
    ]


@routes.register("GET", "/healthz")
def report_health(parts: Parts, request: WebRequest) -> WebResponse:
    """Say that the process runs, with its configuration version and peer traffic."""
    traffic = parts.membership.traffic
    return respond_json(
        {
            "config_version": parts.config.view.document.version,
            "peer_bytes": traffic.sent + traffic.received,
        }
    )
