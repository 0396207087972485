"""WSGI applications for requests of callers and for the platform's checks."""

import sys
from collections.abc import Callable, Iterable
from contextlib import ExitStack, suppress
from http import HTTPStatus
from typing import Any

import orjson

from trefoilreach._internal.coordination.serving.caller import CallerConnection
from trefoilreach._internal.coordination.serving.crashes import compute_fingerprint
from trefoilreach._internal.coordination.serving.request import OnlineAnswer, OnlineRequest
from trefoilreach._internal.coordination.serving.service import ServingState
from trefoilreach._internal.logs import describe_error, log_event
from trefoilreach._internal.platform import names
from trefoilreach._internal.platform.desired_state import encode_for_peers
from trefoilreach._internal.platform.job_requests import JobRequestHandler
from trefoilreach._internal.platform.wire import (
    read_call,
    read_key,
    read_most_output_tokens,
    read_number,
    read_prompt_parts,
    read_request_id,
    read_time_left,
)
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.serving import RouteKind, list_shared_parts
from trefoilreach._internal.transport.http_server import ON_DISCONNECT

StartResponse = Callable[..., Any]


class CallerApplication:
    """Handles callers' requests: online requests itself, batch jobs through ``jobs``.

    :param jobs: handles submissions of batch jobs and calls for them.
    """

    def __init__(self, service: ServingState, jobs: JobRequestHandler) -> None:
        self._service = service
        self._jobs = jobs

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        started = self._service.clock.now()
        try:
            answer = self._answer(environ)
        except Refusal as refusal:
            answer = self._build_error_answer(environ, refusal)
        except Exception as error:
            log_event("ingress:error", request_id=read_request_id(environ), error=repr(error))
            failed = Refusal(500, "internal", "internal error", Verdict.MAY_HAVE_RUN)
            answer = self._build_error_answer(environ, failed)
        with ExitStack() as resources:
            if answer.events is not None:
                resources.callback(answer.events.close)
            try:
                _start_answer(answer, start_response)
            except (AssertionError, ValueError) as error:
                reason = f"the head of the answer cannot be written: {describe_error(error)}"
                failed = Refusal(502, "bad_head", reason, Verdict.MAY_HAVE_RUN)
                answer = self._build_error_answer(environ, failed)
                _start_answer(answer, start_response, sys.exc_info())
            else:
                # The server closes a body that it was given.
                resources.pop_all()
        self._service.metrics.record_answer(answer.status, self._service.clock.now() - started)
        return [answer.body or b""] if answer.events is None else answer.events

    def _answer(self, environ: dict[str, Any]) -> OnlineAnswer:
        path = environ["PATH_INFO"]
        if path.startswith((names.JOB_PATH, names.ITEM_PATH)):
            return self._jobs.answer(environ)
        self._check_size(environ)
        call = read_call(environ)
        parts = read_prompt_parts(environ.get("HTTP_X_PROMPT_PREFIX", ""))
        checked = self._service.check(call.host, call.path, read_key(environ))
        if checked.route.kind is RouteKind.BATCH:
            return self._jobs.submit(call, checked, environ)
        account = "" if checked.account is None else checked.account.name
        request = OnlineRequest(
            call=call,
            route=checked.route,
            account=checked.account,
            received_at=self._service.clock.now(),
            time_left=read_time_left(environ),
            shared_parts=list_shared_parts(parts),
            resume_after=read_number(environ.get("HTTP_LAST_EVENT_ID")),
            fingerprint=compute_fingerprint(account, call.target, call.body),
            most_output_tokens=read_most_output_tokens(environ.get("HTTP_X_TOKEN_USAGE", "")),
        )
        log_event(
            "request:admitted",
            request_id=call.request_id,
            route=checked.route.name,
            account=account,
            shared_parts=request.shared_parts,
            time_left=request.time_left,
            desired_state=self._service.version,
            desired_state_age=round(self._service.freshness.age, 3),
        )
        watch = CallerConnection()
        on_disconnect = environ.get(ON_DISCONNECT)
        if on_disconnect is not None:
            on_disconnect(watch.mark_disconnected)
        return self._service.online.run(request, watch)

    def _check_size(self, environ: dict[str, Any]) -> None:
        index = self._service.route_index
        size = read_number(environ.get("CONTENT_LENGTH")) or 0
        if index is not None and size > index.state.limits.body_bytes:
            raise Refusal(
                413,
                "too_large",
                f"the body has {size} bytes; allowed: {index.state.limits.body_bytes}",
            )

    def _build_error_answer(self, environ: dict[str, Any], refusal: Refusal) -> OnlineAnswer:
        log_event(
            "request:refused",
            request_id=read_request_id(environ),
            status=refusal.status,
            code=refusal.code,
            reason=refusal.message,
            verdict=refusal.verdict.value,
            retry_after=refusal.retry_after,
        )
        headers = [names.JSON]
        request_id = read_request_id(environ)
        if request_id:
            headers.append((names.REQUEST_ID, request_id))
        if refusal.retry_after is not None:
            headers.append(("Retry-After", f"{refusal.retry_after:.3f}"))
        body = orjson.dumps({"error": refusal.code, "message": refusal.message})
        return OnlineAnswer(refusal.status, headers, body)


class ChecksApplication:
    """Serves readiness, entry addresses for callers, metrics, and the desired state for peers.

    :param serves_peers: whether peers use the address. Callers and the platform know the others.
    """

    def __init__(self, service: ServingState, serves_peers: bool) -> None:
        self._service = service
        self._serves_peers = serves_peers
        # The last document for peers, with its version.
        self._for_peers = (0, b"")

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == names.READY_PATH:
            ready = self._service.ready
            return _respond(start_response, 200 if ready else 503, {"ready": ready})
        if path == names.RESOLVE_PATH:
            addresses, ttl_seconds = self._service.entry_points()
            return _respond(start_response, 200, {"addresses": addresses, "ttlS": ttl_seconds})
        if path == self._service.metrics.path:
            body = self._service.metrics.render()
            headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
            start_response(_status_line(200), headers)
            return [body]
        if path == self._service.desired_state_path and self._serves_peers:
            return self._answer_peer(start_response)
        return _respond(start_response, 404, {"error": "not found"})

    def _answer_peer(self, start_response: StartResponse) -> Iterable[bytes]:
        """Answer with the desired state; whoever asks learns no key from it."""
        index = self._service.route_index
        if index is None:
            return _respond(start_response, 503, {"error": "no desired state yet"})
        state = index.state
        version, body = self._for_peers
        if version != state.version:
            body = encode_for_peers(state.document)
            self._for_peers = (state.version, body)
        start_response(_status_line(200), [names.JSON, ("Content-Length", str(len(body)))])
        return [body]


def _start_answer(answer: OnlineAnswer, start_response: StartResponse, error: Any = None) -> None:
    """Start an answer, in place of one whose start failed with ``error``.

    :raises AssertionError: when the server refuses a header that applies to one connection only.
    :raises ValueError: when the server cannot write the head.
    """
    headers = list(answer.headers)
    if answer.events is None:
        headers.append(("Content-Length", str(len(answer.body or b""))))
    start_response(_status_line(answer.status), headers, error)


def _respond(start_response: StartResponse, status: int, body: Any) -> list[bytes]:
    data = orjson.dumps(body)
    start_response(_status_line(status), [names.JSON, ("Content-Length", str(len(data)))])
    return [data]


def _status_line(status: int) -> str:
    phrase = ""
    with suppress(ValueError):
        phrase = HTTPStatus(status).phrase
    return f"{status} {phrase or 'Unknown'}"
