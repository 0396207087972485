"""Handling of requests that carry an ``Idempotency-Key`` header."""

import hashlib
from collections.abc import Callable, Iterator

from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.refusals import respond_refusal
from trefoilreach._internal.api.web import IDEMPOTENCY_HEADER, WebRequest, WebResponse
from trefoilreach._internal.coordination.online.idempotency import (
    IdempotencyStore,
    KeyClaim,
    Outcome,
)
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict


def run_idempotent(
    parts: Parts, request: WebRequest, account: str, body: bytes, run: Callable[[], WebResponse]
) -> WebResponse:
    """Run a request once for its idempotency key; a resend gets the first outcome.

    A request without the header always runs.
    """
    key = request.header(IDEMPOTENCY_HEADER)
    if key is None:
        return run()
    records = parts.idempotency
    claim = records.claim(account, key, _compute_fingerprint(request, body))
    if isinstance(claim, Outcome):
        return WebResponse(claim.status, claim.headers, [claim.body])
    try:
        response = run()
    except Refusal as refusal:
        _finish_refused(records, claim, refusal)
        raise
    except BaseException:
        records.record_outcome(claim, _build_unknown_outcome())
        raise
    return response._replace(body=_record_body(records, claim, response))


def _compute_fingerprint(request: WebRequest, body: bytes) -> str:
    parts = (request.method, request.path, request.query_text)
    digest = hashlib.sha256("\0".join(parts).encode())
    digest.update(body)
    return digest.hexdigest()


def _record_body(
    records: IdempotencyStore, claim: KeyClaim, response: WebResponse
) -> Iterator[bytes]:
    """Yield the body and record it when it is complete.

    When the caller disconnects, the rest is still read, so that the whole outcome is recorded.
    """
    source = iter(response.body)
    pieces: list[bytes] = []
    remaining = _find_content_length(response)
    recorded = False
    try:
        for piece in source:
            pieces.append(piece)
            if remaining is not None:
                remaining -= len(piece)
            if remaining == 0 and not recorded:
                # The caller has the whole answer after this piece, and a resend to another VM must
                # not be told that the first request still runs.
                recorded = True
                records.record_outcome(claim, _build_outcome(response, pieces))
            yield piece
    except GeneratorExit:
        if not recorded:
            records.record_outcome(claim, _read_rest(response, pieces, source))
        raise
    except Exception:
        if not recorded:
            records.record_outcome(claim, _build_unknown_outcome())
        raise
    if not recorded:
        records.record_outcome(claim, _build_outcome(response, pieces))


def _read_rest(response: WebResponse, pieces: list[bytes], source: Iterator[bytes]) -> Outcome:
    try:
        pieces.extend(source)
    except Exception as error:
        log_event("idempotency:body-failed", error=repr(error))
        return _build_unknown_outcome()
    return _build_outcome(response, pieces)


def _find_content_length(response: WebResponse) -> int | None:
    lengths = [value for name, value in response.headers if name.lower() == "content-length"]
    return int(lengths[0]) if lengths else None


def _build_outcome(response: WebResponse, pieces: list[bytes]) -> Outcome:
    return Outcome(response.status, response.headers, b"".join(pieces))


def _finish_refused(records: IdempotencyStore, record: KeyClaim, refusal: Refusal) -> None:
    if refusal.verdict is Verdict.NOT_RUN:
        records.release_key(record)
        return
    # A resend gets this same outcome, so a retry later is pointless.
    refusal.retry_after = None
    response = respond_refusal(refusal)
    records.record_outcome(
        record, Outcome(response.status, response.headers, b"".join(response.body))
    )


def _build_unknown_outcome() -> Outcome:
    message = "the first request ended without an answer; it may have run"
    response = respond_refusal(Refusal(502, "outcome_unknown", message, Verdict.MAY_HAVE_RUN))
    return Outcome(response.status, response.headers, b"".join(response.body))
