"""Handler that lists the entry points for callers."""

from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json, routes


@routes.register("GET", "/v1/entrypoints")
def list_entrypoints(parts: Parts, request: WebRequest) -> WebResponse:
    """List the entry points that callers should use now; needs no key.

    The query parameter ``data_centre`` names the caller's data centre, which decides the order.
    """
    entries = parts.entrypoints.choose(request.query.get("data_centre"))
    keep_seconds = parts.settings.fleet.entry_keep
    response = respond_json(
        {
            "keep_seconds": keep_seconds,
            "entrypoints": [
                {**entry._asdict(), "url": f"http://{entry.host}:{entry.port}"} for entry in entries
            ],
        }
    )
    response.headers.append(("Cache-Control", f"max-age={int(keep_seconds)}"))
    return response
