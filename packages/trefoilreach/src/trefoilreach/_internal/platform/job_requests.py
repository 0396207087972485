"""Translates callers' requests for batch jobs between the wire format and the job keeper."""

from typing import Any
from urllib.parse import parse_qs, unquote

import orjson

from trefoilreach._internal.coordination.jobs.manager import JobManager
from trefoilreach._internal.coordination.jobs.records import ItemResult
from trefoilreach._internal.coordination.serving.request import OnlineAnswer
from trefoilreach._internal.coordination.serving.service import CheckedRequest, ServingState
from trefoilreach._internal.coordination.serving.worker_client import Call
from trefoilreach._internal.platform import names
from trefoilreach._internal.platform.wire import read_key, read_number
from trefoilreach._internal.protocol.verdict import Refusal

_MILLISECONDS_PER_SECOND = 1000.0


class JobRequestHandler:
    """Submits, reads and ends batch jobs for callers."""

    def __init__(self, service: ServingState, jobs: JobManager) -> None:
        self._service = service
        self._jobs = jobs

    def submit(self, call: Call, checked: CheckedRequest) -> OnlineAnswer:
        """Submit a job.

        :raises Refusal: when the method is not POST, or the request id or the key is missing.
        """
        if call.method != "POST" or not call.request_id or checked.account is None:
            raise Refusal(400, "invalid_job", "a job needs POST, a request id and a key")
        self._jobs.submit(call.request_id, checked, call.body)
        return _answer(202, {"id": call.request_id})

    def answer(self, environ: dict[str, Any]) -> OnlineAnswer:
        """Answer a call for a submitted job: its results, one item, or its end.

        :raises Refusal: when the method is not allowed, or the job keeper refuses the call.
        """
        account = self._service.check_account(read_key(environ)).name
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        query = parse_qs(environ["QUERY_STRING"])
        if path.startswith(names.ITEM_PATH):
            job = unquote(path.removeprefix(names.ITEM_PATH))
            body = self._jobs.read_item_body(job, account, query.get("id", [""])[0])
            return OnlineAnswer(200, [("Content-Type", "application/octet-stream")], body)
        job = unquote(path.removeprefix(names.JOB_PATH))
        if method == "DELETE":
            self._jobs.end(job, account)
            return _answer(200, {"id": job})
        if method != "GET":
            raise Refusal(405, "method_not_allowed", f"{method} is not allowed here")
        after = read_number(query.get("after", ["0"])[0]) or 0
        wait = (read_number(environ.get("HTTP_X_WAIT_MS")) or 0) / _MILLISECONDS_PER_SECOND
        page = self._jobs.read_results(job, account, after, wait)
        found = {
            "total": page.total,
            "next": page.next,
            "results": [_encode_result(result) for result in page.results],
        }
        return _answer(200, found)


def _encode_result(result: ItemResult) -> dict[str, str]:
    if result.output is None:
        return {"id": result.id, "state": "errored", "output": ""}
    return {"id": result.id, "state": "completed", "output": result.output}


def _answer(status: int, body: dict[str, Any]) -> OnlineAnswer:
    return OnlineAnswer(status, [names.JSON], orjson.dumps(body))
