"""Converts refusals to error responses of the API."""

import math

from trefoilreach._internal.api.web import JSON_TYPE, WebResponse, respond_bytes
from trefoilreach._internal.protocol.openai import encode_error
from trefoilreach._internal.protocol.verdict import Refusal

VERDICT_HEADER = "Trefoilreach-Verdict"


def respond_refusal(refusal: Refusal) -> WebResponse:
    """Return the error response for a refusal, with its verdict and retry delay in headers."""
    response = respond_bytes(encode_error(refusal), JSON_TYPE, refusal.status)
    response.headers.append((VERDICT_HEADER, refusal.verdict.value))
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after))
        response.headers.append(("Retry-After", str(seconds)))
        response.headers.append(("Retry-After-Ms", str(math.ceil(refusal.retry_after * 1000))))
    return response
