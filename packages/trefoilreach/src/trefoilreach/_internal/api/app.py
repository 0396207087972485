"""The WSGI application: calls handlers and converts refusals to error responses."""

import uuid
from collections.abc import Callable, Iterable
from typing import Any

from trefoilreach._internal.api import (  # noqa: F401 - register their routes
    admin,
    batches,
    completions,
    entrypoints,
    monitor,
    services,
)
from trefoilreach._internal.api.auth import find_configured_key, reject_withdrawn_key
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.refusals import respond_refusal
from trefoilreach._internal.api.web import WebRequest, WebResponse, routes
from trefoilreach._internal.coordination.audit.audit import REFUSED_KIND
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
# Answered even while the daemon is isolated.
HEALTH_PATH = "/healthz"


class Application:
    """WSGI callable that serves the HTTP API of a daemon."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        request = WebRequest(environ)
        started_at = self._parts.clock.now()
        response = self._handle_request(request)
        self._parts.metrics.count(f"requests.status.{response.status}")
        self._parts.metrics.time("requests.answer", self._parts.clock.now() - started_at)
        start_response(response.status_line, response.headers)
        return response.body

    def _handle_request(self, request: WebRequest) -> WebResponse:
        try:
            handler, values = routes.find_handler(request.method, request.path)
            if request.path != HEALTH_PATH:
                self._check_isolation(request)
            return handler(self._parts, request, **values)
        except Refusal as refusal:
            self._record_refusal(request, refusal)
            return respond_refusal(refusal)
        except Exception as error:
            incident = uuid.uuid4().hex
            log_event("api:error", incident=incident, path=request.path, error=repr(error))
            message = f"internal error, incident {incident}"
            return respond_refusal(Refusal(500, "internal", message, Verdict.MAY_HAVE_RUN))

    def _check_isolation(self, request: WebRequest) -> None:
        """Check that the daemon may serve a request.

        :raises Refusal: 401 when the key of the request is withdrawn, else 503.
        """
        try:
            self._parts.isolation.check()
        except Refusal:
            # No retry would be served, so the caller must not be told to come back.
            reject_withdrawn_key(self._parts, request)
            raise

    def _record_refusal(self, request: WebRequest, refusal: Refusal) -> None:
        key = find_configured_key(self._parts, request)
        fields = {
            "account": "" if key is None else key.account,
            "key_id": "" if key is None else key.id,
            "method": request.method,
            "path": request.path,
            "status": refusal.status,
            "code": refusal.code,
            "verdict": refusal.verdict.value,
        }
        self._parts.audit.record(REFUSED_KIND, fields)
