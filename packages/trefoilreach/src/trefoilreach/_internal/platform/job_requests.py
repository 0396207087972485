"""Translates callers' requests for batch jobs between the wire format and the job keeper."""

from typing import Any
from urllib.parse import parse_qs

import orjson

from trefoilreach._internal.coordination.exchange.report_exchange import Peer
from trefoilreach._internal.coordination.jobs.manager import JobManager
from trefoilreach._internal.coordination.jobs.records import ItemResult
from trefoilreach._internal.coordination.serving.request import OnlineAnswer
from trefoilreach._internal.coordination.serving.service import CheckedRequest, ServingState
from trefoilreach._internal.coordination.serving.worker_client import Call
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.platform import names
from trefoilreach._internal.platform.wire import read_key, read_number
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.transport.http_client import HttpFailure, HttpPool

_MILLISECONDS_PER_SECOND = 1000.0
_FORWARDED_VARIABLE = "HTTP_" + names.FORWARDED.upper().replace("-", "_")
# An active daemon of the fleet accepts a connection in a few ms, and a job in about 20 ms. Two of
# them that do not answer leave the caller most of its time for another daemon.
_CONNECT_TIMEOUT_SECONDS = 0.2
_FORWARD_TIMEOUT_SECONDS = 0.8
# Answers that promise that the job is not accepted.
_PROMISE_STATUSES = (429, 503)


class JobRequestHandler:
    """Submits, reads and ends batch jobs for callers."""

    def __init__(self, service: ServingState, jobs: JobManager) -> None:
        self._service = service
        self._jobs = jobs

    def submit(self, call: Call, checked: CheckedRequest, environ: dict[str, Any]) -> OnlineAnswer:
        """Submit a job, through an active daemon if this one stands by.

        :raises Refusal: when the method is not POST, the request id or the key is missing, or the
            daemon stops too soon.
        """
        if call.method != "POST" or not call.request_id or checked.account is None:
            raise Refusal(400, "invalid_job", "a job needs POST, a request id and a key")
        self._jobs.refuse_if_late(checked)
        outcome_unknown = False
        peers = [] if _FORWARDED_VARIABLE in environ else self._jobs.choose_acceptors()
        for peer in peers:
            try:
                answer = self._forward(call, environ, peer)
            except HttpFailure as failure:
                outcome_unknown = outcome_unknown or failure.verdict is not Verdict.NOT_RUN
                log_event(
                    "job:forward-failed",
                    request_id=call.request_id,
                    peer=peer.identity.vm,
                    error=str(failure),
                    verdict=failure.verdict.value,
                )
                continue
            if answer.status in _PROMISE_STATUSES and outcome_unknown:
                raise _make_unsure_refusal()
            return answer
        # A job is accepted once, so it may be submitted here after an unknown outcome elsewhere.
        try:
            self._jobs.submit(call.request_id, checked, call.body)
        except Refusal as refusal:
            if refusal.verdict is Verdict.NOT_RUN and outcome_unknown:
                raise _make_unsure_refusal() from refusal
            raise
        return _answer(202, {"id": call.request_id})

    def _forward(self, call: Call, environ: dict[str, Any], peer: Peer) -> OnlineAnswer:
        """Pass a submission on to a peer and return its answer.

        :raises HttpFailure: when the peer does not answer.
        """
        host, _, port = peer.identity.front.rpartition(":")
        pool = HttpPool(host, int(port), self._service.clock, _CONNECT_TIMEOUT_SECONDS)
        headers = {
            "Host": call.host,
            "Authorization": environ.get("HTTP_AUTHORIZATION", ""),
            names.REQUEST_ID: call.request_id,
            names.FORWARDED: "1",
            "Connection": "close",
        }
        exchange = pool.request("POST", call.target, call.body, headers, _FORWARD_TIMEOUT_SECONDS)
        try:
            body = exchange.read()
        finally:
            exchange.close()
        log_event(
            "job:forwarded",
            request_id=call.request_id,
            peer=peer.identity.vm,
            status=exchange.status,
        )
        retry = exchange.response.getheader("Retry-After")
        retry_headers = [] if retry is None else [("Retry-After", retry)]
        return OnlineAnswer(exchange.status, [names.JSON, *retry_headers], body)

    def answer(self, environ: dict[str, Any]) -> OnlineAnswer:
        """Answer a call for a submitted job: its results, one item, or its end.

        :raises Refusal: when the method is not allowed, or the job keeper refuses the call.
        """
        account = self._service.check_account(read_key(environ)).name
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        query = parse_qs(environ["QUERY_STRING"])
        if path.startswith(names.ITEM_PATH):
            job = path.removeprefix(names.ITEM_PATH)
            body = self._jobs.read_item_body(job, account, query.get("id", [""])[0])
            return OnlineAnswer(200, [("Content-Type", "application/octet-stream")], body)
        job = path.removeprefix(names.JOB_PATH)
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


def _make_unsure_refusal() -> Refusal:
    return Refusal(504, "unsure", "a peer may have accepted the job", Verdict.MAY_HAVE_RUN)


def _encode_result(result: ItemResult) -> dict[str, str]:
    if result.output is None:
        return {"id": result.id, "state": "errored", "output": ""}
    return {"id": result.id, "state": "completed", "output": result.output}


def _answer(status: int, body: dict[str, Any]) -> OnlineAnswer:
    return OnlineAnswer(status, [names.JSON], orjson.dumps(body))
