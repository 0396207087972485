"""Handler that forwards calls to plain services."""

import uuid

from trefoilreach._internal.api.auth import identify_caller, take_quota
from trefoilreach._internal.api.completions import KeyWatch
from trefoilreach._internal.api.idempotency import run_idempotent
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.scrub import (
    Secrets,
    find_secrets,
    scrub_body,
    scrub_headers,
    scrub_query,
)
from trefoilreach._internal.api.web import WebRequest, WebResponse, routes
from trefoilreach._internal.coordination.audit.audit import COMPLETED_KIND
from trefoilreach._internal.coordination.online.service_dispatch import ServiceJob
from trefoilreach._internal.protocol.verdict import Refusal, build_bad_request_refusal
from trefoilreach._internal.state.config import Account, Route
from trefoilreach._internal.transport.service import ServiceReply

# Hop-by-hop header fields, and those that the daemon sets itself.
_NOT_FORWARDED = {
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "server",
    "te",
    "trailer",
    "trailers",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
}


@routes.register("*", "/v1/services/{route}/{rest*}")
def call_service(parts: Parts, request: WebRequest, route: str, rest: str) -> WebResponse:
    """Forward one call to a backend server of a plain service."""
    service_route = parts.config.view.routes.get(route)
    if service_route is not None and service_route.kind != "service":
        service_route = None
    key, account = identify_caller(parts, request, service_route)
    if service_route is None:
        raise Refusal(404, "service_not_found", f"the service {route!r} does not exist")
    key_watch = KeyWatch(parts, request, "" if key is None else key.id)
    data = request.read_body(parts.settings.daemon.body_limit)
    job = _build_job(parts, request, account, service_route, rest, data)._replace(
        is_stopped=key_watch.must_stop
    )
    take_quota(parts, account)
    return run_idempotent(
        parts, request, account.name, data, lambda: _run_call(parts, key_watch, job)
    )


def _run_call(parts: Parts, key_watch: KeyWatch, job: ServiceJob) -> WebResponse:
    with key_watch.watch_key():
        try:
            reply = parts.services.run(job)
        finally:
            key_watch.raise_if_closed()
    parts.audit.record(
        COMPLETED_KIND,
        {
            "request_id": job.request_id,
            "account": job.account.name,
            "route": job.route.name,
            "status": reply.status,
        },
    )
    return respond_reply(reply)


def _build_job(
    parts: Parts, request: WebRequest, account: Account, route: Route, rest: str, body: bytes
) -> ServiceJob:
    secrets = find_secrets(request, parts.config.view.keys_by_hash)
    if secrets.occur_in(rest):
        raise build_bad_request_refusal("the path must not carry a key")
    headers = request.headers
    if headers.get("content-encoding", "identity").lower() != "identity":
        # A key inside an encoded body cannot be found and removed.
        raise build_bad_request_refusal("an encoded body is not accepted", "Content-Encoding")
    query = scrub_query(request.query_text, secrets)
    return ServiceJob(
        request_id=f"call-{uuid.uuid4().hex}",
        account=account,
        route=route,
        method=request.method,
        target=request.encode_path_after(f"/v1/services/{route.name}")
        + (f"?{query}" if query else ""),
        headers=_select_forwarded(headers, secrets),
        body=scrub_body(body, headers.get("content-type", ""), secrets) if body else b"",
    )


def _select_forwarded(headers: dict[str, str], secrets: Secrets) -> dict[str, str]:
    kept = scrub_headers(headers, secrets)
    return {name: value for name, value in kept.items() if name not in _NOT_FORWARDED}


def respond_reply(reply: ServiceReply) -> WebResponse:
    """Return the response to the caller for the reply of a service."""
    headers = [(name, value) for name, value in reply.headers if name.lower() not in _NOT_FORWARDED]
    headers.append(("Content-Length", str(len(reply.body))))
    return WebResponse(reply.status, headers, [reply.body])
