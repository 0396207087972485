"""Runs requests that carry an ``Idempotency-Key``."""

import hashlib
from collections.abc import Callable, Iterator

from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.refusals import respond_refusal
from trefoilreach._internal.api.web import IDEMPOTENCY_HEADER, WebRequest, WebResponse
from trefoilreach._internal.coordination.online.idempotency import Idempotency, Outcome, Record
from trefoilreach._internal.protocol.verdict import Refusal, Verdict


def run_keyed(
    parts: Parts, request: WebRequest, account: str, body: bytes, run: Callable[[], WebResponse]
) -> WebResponse:
    """Run a request, or return the first outcome of its idempotency key if it carries one."""
    key = request.header(IDEMPOTENCY_HEADER)
    if key is None:
        return run()
    records = parts.idempotency
    claimed = records.claim(account, key, _find_fingerprint(request, body))
    if isinstance(claimed, Outcome):
        return WebResponse(claimed.status, claimed.headers, [claimed.body])
    try:
        response = run()
    except Refusal as refusal:
        _settle_refusal(records, claimed, refusal)
        raise
    except BaseException:
        records.finish(claimed, _unknown_outcome())
        raise
    return response._replace(body=_record(records, claimed, response))


def _find_fingerprint(request: WebRequest, body: bytes) -> str:
    parts = (request.method, request.path, request.query_text)
    digest = hashlib.sha256("\0".join(parts).encode())
    digest.update(body)
    return digest.hexdigest()


def _record(records: Idempotency, record: Record, response: WebResponse) -> Iterator[bytes]:
    """Pass the body on and record it at its end; goes on to the end when the caller leaves."""
    source = iter(response.body)
    pieces: list[bytes] = []
    try:
        for piece in source:
            pieces.append(piece)
            yield piece
    except GeneratorExit:
        pieces.extend(source)
        raise
    except Exception:
        records.finish(record, _unknown_outcome())
        raise
    finally:
        # An outcome that is recorded already stays the first one.
        records.finish(record, Outcome(response.status, response.headers, b"".join(pieces)))


def _settle_refusal(records: Idempotency, record: Record, refusal: Refusal) -> None:
    if refusal.verdict is Verdict.NOT_RUN:
        records.abandon(record)
        return
    # A resend gets this same outcome, so coming back later cannot help.
    refusal.retry_after = None
    response = respond_refusal(refusal)
    records.finish(record, Outcome(response.status, response.headers, b"".join(response.body)))


def _unknown_outcome() -> Outcome:
    message = "the first request ended without an answer; it may have run"
    response = respond_refusal(Refusal(502, "outcome_unknown", message, Verdict.MAY_HAVE_RUN))
    return Outcome(response.status, response.headers, b"".join(response.body))
