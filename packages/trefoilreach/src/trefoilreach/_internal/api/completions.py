"""Handlers of the completions and models API and of the health check."""

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
from trefoilreach._internal.api.idempotency import run_idempotent
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.scrub import find_secrets, scrub_json
from trefoilreach._internal.api.web import (
    IDEMPOTENCY_HEADER,
    WebRequest,
    WebResponse,
    respond_json,
    routes,
)
from trefoilreach._internal.coordination.audit.audit import COMPLETED_KIND, REFUSED_KIND
from trefoilreach._internal.coordination.config.open_streams import build_stream_refusal
from trefoilreach._internal.coordination.online.dispatch import CompletionJob
from trefoilreach._internal.protocol.completion_events import join_events
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
_EMPTY_CHOICES = b'"choices":[]'
_DONE_EVENT = b"data: [DONE]\n\n"


@routes.register("POST", CHAT_PATH)
@routes.register("POST", COMPLETIONS_PATH)
def complete(parts: Parts, request: WebRequest) -> WebResponse:
    """Run one completion and return its response, whole or as an event stream."""
    data = request.read_body(parts.settings.daemon.body_limit)
    body = parse_json_object(data)
    model = body.get("model")
    route = parts.config.view.routes.get(model) if isinstance(model, str) else None
    # An invalid key is reported before any other error of the request.
    key, account = identify_caller(parts, request, route)
    scrubbed = scrub_json(body, find_secrets(request, parts.config.view.keys_by_hash))
    completion = parse_completion(request.path, scrubbed)
    if route is None or route.kind != "model":
        message = f"the model {completion.model!r} does not exist"
        raise Refusal(404, "model_not_found", message, param="model")
    take_quota(parts, account)
    key_watch = KeyWatch(parts, request, "" if key is None else key.id)
    job = CompletionJob(f"cmpl-{uuid.uuid4().hex}", account, route, completion, key_watch.must_stop)
    return run_idempotent(
        parts, request, account.name, data, lambda: _run_completion(parts, key_watch, job)
    )


def _run_completion(parts: Parts, key_watch: "KeyWatch", job: CompletionJob) -> WebResponse:
    events = _relay_payloads(parts, key_watch, job)
    if job.completion.stream:
        return WebResponse(200, _EVENT_STREAM_HEADERS, _start_stream(job, events))
    return respond_json(join_events(job.completion.path, events))


class KeyWatch:
    """Tells whether a running request must stop, and why.

    It must when its caller disconnects. It is also closed when its key is withdrawn, and when
    this daemon is isolated and cannot learn about withdrawals.
    """

    def __init__(self, parts: Parts, request: WebRequest, key_id: str) -> None:
        self._parts = parts
        self._request = request
        self._key_id = key_id
        self._has_idempotency_key = request.header(IDEMPOTENCY_HEADER) is not None
        self._closed = threading.Event()

    def must_stop(self) -> bool:
        """Return whether the request must stop.

        With an idempotency key it continues after its caller disconnects, as the caller may
        resend it and then gets its outcome.
        """
        return self._closed.is_set() or (
            not self._has_idempotency_key and self._request.is_caller_disconnected()
        )

    def raise_if_closed(self) -> None:
        """Raise the refusal that closed the request while it ran, if any."""
        if self._closed.is_set():
            raise self._build_closing_refusal()

    def replace_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal to report for a request that failed with ``refusal``.

        If the request was closed, that is the cause and ``refusal`` only its effect.
        """
        return self._build_closing_refusal() if self._closed.is_set() else refusal

    def _build_closing_refusal(self) -> Refusal:
        withdrawn = self._key_id in self._parts.config_sync.get_withdrawn_key_ids()
        return build_stream_refusal(withdrawn)

    @contextmanager
    def watch_key(self) -> Iterator[None]:
        """Register the request to be closed during a ``with`` block, as by a key withdrawal."""
        with self._parts.streams.register(self._key_id, self._closed.set):
            if self._key_id in self._parts.config_sync.get_withdrawn_key_ids():
                # The key was withdrawn between its check and the registration.
                self._closed.set()
            yield


def _relay_payloads(
    parts: Parts, key_watch: KeyWatch, job: CompletionJob
) -> Generator[bytes, None, None]:
    """Yield the payloads of a completion; stop with a refusal when the request is closed."""
    started = False
    with key_watch.watch_key():
        try:
            for payload in parts.dispatcher.run_stream(job):
                key_watch.raise_if_closed()
                started = True
                yield payload
            key_watch.raise_if_closed()
        except Refusal as refusal:
            reported = key_watch.replace_refusal(refusal)
            if started and job.completion.stream:
                # The response has started with status 200, so the application does not record
                # this refusal.
                parts.audit.record(REFUSED_KIND, build_refusal_audit_fields(job, reported))
            raise reported from refusal
    parts.audit.record(COMPLETED_KIND, build_audit_fields(job))


def build_audit_fields(job: CompletionJob) -> dict[str, Any]:
    """Return the audit fields of a completion, without its prompt and key."""
    return {
        "request_id": job.request_id,
        "account": job.account.name,
        "route": job.route.name,
        "path": job.completion.path,
    }


def build_refusal_audit_fields(job: CompletionJob, refusal: Refusal) -> dict[str, Any]:
    """Return the audit fields of a completion that ended with an error event."""
    return {
        **build_audit_fields(job),
        "status": refusal.status,
        "code": refusal.code,
        "verdict": refusal.verdict.value,
    }


def _start_stream(job: CompletionJob, payloads: Generator[bytes, None, None]) -> Iterator[bytes]:
    """Wait for the first payload and return the encoded events.

    A refusal before the first payload is thus sent with its own status and not with 200.
    """
    requested = _drop_unrequested_usage(job, payloads)
    first = next(requested, None)
    return _encode_events(chain(() if first is None else (first,), requested), payloads)


def _drop_unrequested_usage(job: CompletionJob, payloads: Iterator[bytes]) -> Iterator[bytes]:
    """Drop the usage event, which has no choices, unless the caller requested it."""
    options = job.completion.body.get("stream_options")
    usage_requested = isinstance(options, dict) and bool(options.get("include_usage"))
    return (payload for payload in payloads if usage_requested or _EMPTY_CHOICES not in payload)


def _encode_events(
    payloads: Iterator[bytes], source: Generator[bytes, None, None]
) -> Iterator[bytes]:
    try:
        for payload in payloads:
            yield b"data: " + payload + b"\n\n"
        yield _DONE_EVENT
    except Refusal as refusal:
        # An error event and no [DONE] event: clients do not take the response as complete.
        yield b"data: " + encode_error(refusal) + b"\n\n"
    finally:
        source.close()


@routes.register("GET", "/v1/models")
def list_models(parts: Parts, request: WebRequest) -> WebResponse:
    """List the models that the caller's account may use."""
    _, account = require_account(parts, request)
    return respond_json({"object": "list", "data": _list_allowed_models(parts, account)})


@routes.register("GET", "/v1/models/{name*}")
def show_model(parts: Parts, request: WebRequest, name: str) -> WebResponse:
    """Describe one model that the caller's account may use."""
    _, account = require_account(parts, request)
    for model in _list_allowed_models(parts, account):
        if model["id"] == name:
            return respond_json(model)
    raise Refusal(404, "model_not_found", f"the model {name!r} does not exist", param="model")


def _list_allowed_models(parts: Parts, account: Account) -> list[dict[str, Any]]:
    return [
        {"id": route.name, "object": "model", "created": 0, "owned_by": "operator"}
        for route in parts.config.view.document.routes
        if route.kind == "model" and may_use(route, account)
    ]


@routes.register("GET", "/healthz")
def report_health(parts: Parts, request: WebRequest) -> WebResponse:
    """Report that the process runs, its configuration version and its peer traffic in bytes."""
    traffic = parts.membership.traffic
    return respond_json(
        {
            "config_version": parts.config.view.document.version,
            "peer_bytes": traffic.sent + traffic.received,
        }
    )
