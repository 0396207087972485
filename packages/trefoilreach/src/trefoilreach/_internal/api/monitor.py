"""Handler of the audit records that the monitor reads."""

from trefoilreach._internal.api.auth import require_role
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json, routes
from trefoilreach._internal.coordination.audit.reader import AuditReader
from trefoilreach._internal.protocol.verdict import build_bad_request_refusal

_DEFAULT_PAGE_RECORDS = 1000
_MAX_PAGE_RECORDS = 10_000


@routes.register("GET", "/v1/audit")
def read_audit(parts: Parts, request: WebRequest) -> WebResponse:
    """Return one page of audit records; ``next`` is the ``after`` value of the following page."""
    require_role(parts, request, "monitor")
    text = request.query.get("limit", str(_DEFAULT_PAGE_RECORDS))
    if not text.isdigit() or not 1 <= int(text) <= _MAX_PAGE_RECORDS:
        raise build_bad_request_refusal(f"'limit' must be from 1 to {_MAX_PAGE_RECORDS}", "limit")
    reader = AuditReader(parts.table, parts.objects)
    page = reader.read(request.query.get("after", ""), int(text))
    return respond_json({"object": "list", "data": page.records, "next": page.cursor})
