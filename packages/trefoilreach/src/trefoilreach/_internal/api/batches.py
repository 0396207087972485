"""Handlers of the files and batches API."""

from collections.abc import Iterator
from typing import Any

from trefoilreach._internal.api.auth import require_account, take_quota
from trefoilreach._internal.api.multipart import FormPart, read_form
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json, routes
from trefoilreach._internal.coordination.batch.accept import (
    JobRequest,
    Upload,
    parse_window,
)
from trefoilreach._internal.coordination.batch.input import ENDPOINTS
from trefoilreach._internal.coordination.batch.reader import JobView, ResultFile
from trefoilreach._internal.protocol.openai import parse_json_object
from trefoilreach._internal.protocol.verdict import Refusal, build_bad_request_refusal
from trefoilreach._internal.state.jobs import COMPLETED, FINAL_STATUSES, FileRecord

_DEFAULT_WINDOW = "24h"
_DEFAULT_PAGE_JOBS = 20
_MAX_PAGE_JOBS = 100
_MAX_METADATA_ENTRIES = 16
_FORM_OVERHEAD_BYTES = 64 * 1024
_IDEMPOTENCY_HEADER = "Idempotency-Key"


@routes.register("POST", "/v1/files")
def upload_file(parts: Parts, request: WebRequest) -> WebResponse:
    """Store an input file for a batch job."""
    _, account = require_account(parts, request)
    limit = parts.settings.daemon.file_limit
    form = read_form(request, limit + _FORM_OVERHEAD_BYTES)
    upload = Upload(
        filename=_require_field(form, "file").filename or "file",
        purpose=_require_field(form, "purpose").data.decode("utf-8", "replace"),
        data=form["file"].data,
    )
    if upload.purpose != "batch":
        raise build_bad_request_refusal("'purpose' must be 'batch'", "purpose")
    if not upload.data:
        raise build_bad_request_refusal("'file' is empty", "file")
    if len(upload.data) > limit:
        raise Refusal(413, "file_too_large", f"the file is over {limit} bytes", param="file")
    record = parts.batches.acceptor.accept_file(
        account, upload, request.header(_IDEMPOTENCY_HEADER)
    )
    return respond_json(_describe_upload(record))


@routes.register("GET", "/v1/files/{file_id}")
def show_file(parts: Parts, request: WebRequest, file_id: str) -> WebResponse:
    """Return the description of an uploaded file or a result file."""
    _, account = require_account(parts, request)
    result = parts.batches.reader.find_result(account.name, file_id)
    if result is not None:
        return respond_json(_describe_result(result))
    return respond_json(_describe_upload(parts.batches.reader.find_file(account.name, file_id)))


@routes.register("GET", "/v1/files/{file_id}/content")
def read_file(parts: Parts, request: WebRequest, file_id: str) -> WebResponse:
    """Return the content of an uploaded file or a result file."""
    _, account = require_account(parts, request)
    reader = parts.batches.reader
    result = reader.find_result(account.name, file_id)
    if result is not None:
        size, pieces = result.size, reader.read_result(result)
    else:
        record = reader.find_file(account.name, file_id)
        size, pieces = record.size, reader.read_upload(record)
    headers = [("Content-Type", "application/octet-stream"), ("Content-Length", str(size))]
    return WebResponse(200, headers, _prefetch_first(pieces))


@routes.register("POST", "/v1/batches")
def create_batch(parts: Parts, request: WebRequest) -> WebResponse:
    """Accept a batch job."""
    _, account = require_account(parts, request)
    body = parse_json_object(request.read_body(parts.settings.daemon.body_limit))
    job_request = _parse_job_request(body)
    accept = parts.batches.acceptor
    take_quota(parts, account)
    job = accept.accept_job(account, job_request, request.header(_IDEMPOTENCY_HEADER))
    parts.batches.coordinator.request_refresh()
    return respond_json(_describe_job(parts.batches.reader.build_view(job)))


@routes.register("GET", "/v1/batches")
def list_batches(parts: Parts, request: WebRequest) -> WebResponse:
    """Return one page of the account's jobs, in the order of their ids."""
    _, account = require_account(parts, request)
    limit = _parse_limit(request.query.get("limit"))
    jobs = parts.batches.reader.list_jobs(account.name, request.query.get("after", ""), limit + 1)
    page = [_describe_job(parts.batches.reader.build_view(job)) for job in jobs[:limit]]
    return respond_json(
        {
            "object": "list",
            "data": page,
            "first_id": page[0]["id"] if page else None,
            "last_id": page[-1]["id"] if page else None,
            "has_more": len(jobs) > limit,
        }
    )


@routes.register("GET", "/v1/batches/{job_id}")
def show_batch(parts: Parts, request: WebRequest, job_id: str) -> WebResponse:
    """Return the description of a job with its current counts."""
    _, account = require_account(parts, request)
    reader = parts.batches.reader
    return respond_json(_describe_job(reader.build_view(reader.find_job(account.name, job_id))))


@routes.register("POST", "/v1/batches/{job_id}/cancel")
def cancel_batch(parts: Parts, request: WebRequest, job_id: str) -> WebResponse:
    """Cancel a job; the results of finished items stay readable."""
    _, account = require_account(parts, request)
    job = parts.batches.canceller.cancel(account.name, job_id)
    return respond_json(_describe_job(parts.batches.reader.build_view(job)))


def _require_field(form: dict[str, FormPart], name: str) -> FormPart:
    if name not in form:
        raise build_bad_request_refusal(f"the form has no field {name!r}", name)
    return form[name]


def _prefetch_first(pieces: Iterator[bytes]) -> Iterator[bytes]:
    """Read the first piece before the response starts.

    A store that is down thus gives a 503 and not a broken response.
    """
    first = next(pieces, b"")

    def rest() -> Iterator[bytes]:
        yield first
        yield from pieces

    return rest()


def _parse_limit(text: str | None) -> int:
    if text is None:
        return _DEFAULT_PAGE_JOBS
    if not text.isdigit() or not 1 <= int(text) <= _MAX_PAGE_JOBS:
        raise build_bad_request_refusal(f"'limit' must be from 1 to {_MAX_PAGE_JOBS}", "limit")
    return int(text)


def _parse_job_request(body: dict[str, Any]) -> JobRequest:
    input_file, endpoint = body.get("input_file_id"), body.get("endpoint")
    if not isinstance(input_file, str) or not input_file:
        raise build_bad_request_refusal(
            "'input_file_id' must be a non-empty string", "input_file_id"
        )
    if endpoint not in ENDPOINTS:
        raise build_bad_request_refusal(
            f"'endpoint' must be one of {', '.join(ENDPOINTS)}", "endpoint"
        )
    window = body.get("completion_window", _DEFAULT_WINDOW)
    if not isinstance(window, str):
        raise build_bad_request_refusal("'completion_window' must be a string", "completion_window")
    parse_window(window)
    return JobRequest(input_file, endpoint, window, _parse_metadata(body.get("metadata")))


def _parse_metadata(metadata: Any) -> dict[str, str]:
    if metadata is None:
        return {}
    is_small_object = isinstance(metadata, dict) and len(metadata) <= _MAX_METADATA_ENTRIES
    if not is_small_object or not all(isinstance(value, str) for value in metadata.values()):
        message = f"'metadata' must be an object of up to {_MAX_METADATA_ENTRIES} strings"
        raise build_bad_request_refusal(message, "metadata")
    return dict(metadata)


def _describe_upload(record: FileRecord) -> dict[str, Any]:
    return _describe_file(record.id, record.size, record.created, record.filename, record.purpose)


def _describe_result(result: ResultFile) -> dict[str, Any]:
    created = result.job.final_at or result.job.created
    name = f"{result.job.id}_{result.kind}.jsonl"
    return _describe_file(result.id, result.size, created, name, "batch_output")


def _describe_file(
    file_id: str, size: int, created: float, filename: str, purpose: str
) -> dict[str, Any]:
    return {
        "id": file_id,
        "object": "file",
        "bytes": size,
        "created_at": int(created),
        "filename": filename,
        "purpose": purpose,
        "status": "processed",
    }


def _describe_job(view: JobView) -> dict[str, Any]:
    job = view.job
    final = job.status in FINAL_STATUSES
    final_at = None if job.final_at is None else int(job.final_at)
    return {
        "id": job.id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.input_file,
        "completion_window": job.window,
        "status": job.status,
        "output_file_id": view.output_file if final else None,
        "error_file_id": view.error_file if final else None,
        "created_at": int(job.created),
        "in_progress_at": int(job.created),
        "expires_at": int(job.deadline),
        "finalizing_at": None,
        "completed_at": final_at if job.status == COMPLETED else None,
        "failed_at": None,
        "expired_at": None,
        "cancelling_at": None if job.cancelling_at is None else int(job.cancelling_at),
        "cancelled_at": final_at if final and job.status != COMPLETED else None,
        "request_counts": {
            "total": job.total,
            "completed": view.completed,
            "failed": view.failed,
        },
        "metadata": job.metadata or None,
    }
