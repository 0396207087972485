"""Runs calls of services: admission, attempts and the final verdict."""

import math
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.crash.attempts import compute_fingerprint
from trefoilreach._internal.coordination.crash.guarded_slot import (
    GuardedSlot,
    SlotSource,
    acquire_guarded_slot,
)
from trefoilreach._internal.coordination.online.backends import Backends, SlotRequest
from trefoilreach._internal.coordination.online.dispatch import CompletionDispatcher
from trefoilreach._internal.coordination.online.fair_queue import CallerGone
from trefoilreach._internal.coordination.online.running import RunningRequest
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.config import Account, Route, Server
from trefoilreach._internal.transport.service import (
    Service,
    ServiceError,
    ServiceReply,
    ServiceRequest,
)

_MAX_ATTEMPTS = 3
# A call times out after this many times the target of its class, and at least the minimum.
_ANSWER_TIMEOUT_FACTOR = 5.0
_MIN_ANSWER_TIMEOUT_SECONDS = 10.0
_FAILURE_RETRY_AFTER_SECONDS = 1.0
# Wait before the second check whether a server's process has exited.
_EXIT_RECHECK_SECONDS = 0.1


class ServiceJob(NamedTuple):
    """One service call to run.

    :param target: path and query of the request to the service.
    :param is_stopped: whether the caller disconnected.
    """

    request_id: str
    account: Account
    route: Route
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    is_stopped: Callable[[], bool] = lambda: False


class ServiceDispatcher:
    """Runs calls on the servers of a service.

    Slots, the retry budget and the limit of running requests are shared with completions.
    """

    def __init__(
        self, clock: Clock, service: Service, backends: Backends, dispatcher: CompletionDispatcher
    ) -> None:
        self._clock = clock
        self._service = service
        self._backends = backends
        self._dispatcher = dispatcher

    def run(self, job: ServiceJob) -> ServiceReply:
        """Return the complete answer of the service.

        :raises Refusal: when no attempt gives one.
        """
        started, planned_stop = self._clock.now(), self._dispatcher.planned_stop
        planned_stop.refuse_if_late(job.route.name, started, math.inf)
        request = RunningRequest(job.request_id, job.is_stopped)
        self._dispatcher.retry_budget.note_request()
        with self._dispatcher.track(request):
            reply = self._run_attempts(job, request)
        planned_stop.record_run(job.route.name, self._clock.now() - started)
        return reply

    def _run_attempts(self, job: ServiceJob, request: RunningRequest) -> ServiceReply:
        failed: list[str] = []
        may_have_run = False
        for attempt_number in range(_MAX_ATTEMPTS):
            request_id = f"{job.request_id}-{attempt_number}"
            slot = self._acquire_slot(job, request, request_id, failed, may_have_run)
            server = slot.server
            outcome = self._call(job, request, slot, request_id)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            error = outcome.err_value
            failed.append(server.name)
            may_have_run = may_have_run or error.verdict is Verdict.MAY_HAVE_RUN
            self._note_failure(job, server, error)
            if not self._may_retry(job, request, error, attempt_number):
                raise _build_refusal(502, "service_failed", str(error), may_have_run)
        raise AssertionError("the last attempt returns or raises")

    def _acquire_slot(
        self,
        job: ServiceJob,
        request: RunningRequest,
        request_id: str,
        failed: list[str],
        may_have_run: bool,
    ) -> GuardedSlot:
        slot_request = SlotRequest(
            request_id=request_id,
            account=job.account,
            route=job.route,
            avoid=failed,
            is_stopped=lambda: bool(request.stop_reason),
        )
        entrance = SlotSource(
            acquire=lambda preferred: self._backends.acquire(
                slot_request._replace(preferred=preferred)
            ),
            release=lambda server: self._backends.release(server, request_id),
            find_instance=lambda server: "",
            is_stopped=lambda: bool(request.stop_reason),
        )
        try:
            return acquire_guarded_slot(
                self._clock, self._dispatcher.crash_guard, _find_fingerprint(job), entrance
            )
        except CallerGone:
            raise _build_refusal(503, "stopped", request.stop_reason, may_have_run) from None
        except Refusal as refusal:
            if may_have_run:
                refusal.verdict = Verdict.MAY_HAVE_RUN
            raise

    def _call(
        self, job: ServiceJob, request: RunningRequest, slot: GuardedSlot, request_id: str
    ) -> Result[ServiceReply, ServiceError]:
        server, guard = slot.server, self._dispatcher.crash_guard
        outcome: Result[ServiceReply, ServiceError] | None = None
        target = self._backends.work_class(job.route).first_token_seconds
        # A call that must not be repeated is not interrupted when its caller disconnects: its
        # outcome may still be requested with the idempotency key.
        interrupt = request.begin_attempt(server.name) if job.route.idempotent else None
        started = self._clock.now()
        try:
            outcome = self._service.call(
                server,
                ServiceRequest(
                    request_id=request_id,
                    method=job.method,
                    target=job.target,
                    headers=job.headers,
                    body=job.body,
                    timeout=max(_MIN_ANSWER_TIMEOUT_SECONDS, _ANSWER_TIMEOUT_FACTOR * target),
                    interrupt=interrupt,
                ),
            )
            if isinstance(outcome, Err) and self._process_ended(request, server, outcome.err_value):
                guard.record_worker_death(server.name)
        finally:
            request.end_attempt()
            guard.end_attempt(slot.attempt, isinstance(outcome, Ok))
            self._backends.release(server, request_id)
        if isinstance(outcome, Ok):
            self._backends.note_service_time(job.route, self._clock.now() - started)
        return outcome

    def _process_ended(self, request: RunningRequest, server: Server, error: ServiceError) -> bool:
        """Return whether the server's process ended while it ran the call."""
        if error.verdict is Verdict.NOT_RUN or error.timed_out or request.stop_reason:
            return False
        if not self._service.is_gone(server):
            # A process that is exiting can drop a connection before it stops listening.
            self._clock.sleep(_EXIT_RECHECK_SECONDS)
            if not self._service.is_gone(server):
                return False
        self._backends.health.mark_refused(server.name, polled=False)
        return True

    def _note_failure(self, job: ServiceJob, server: Server, error: ServiceError) -> None:
        log_event(
            "request:attempt-failed",
            request_id=job.request_id,
            server=server.name,
            error=str(error),
            verdict=error.verdict.value,
        )
        if error.is_refused:
            self._backends.health.mark_refused(server.name, polled=False)

    def _may_retry(
        self, job: ServiceJob, request: RunningRequest, error: ServiceError, attempt_number: int
    ) -> bool:
        if attempt_number == _MAX_ATTEMPTS - 1 or request.stop_reason:
            return False
        allowed = error.verdict is Verdict.NOT_RUN or job.route.idempotent
        return allowed and self._dispatcher.retry_budget.try_take()


def _find_fingerprint(job: ServiceJob) -> str:
    path = f"{job.method} {job.route.name} {job.target}"
    return compute_fingerprint(job.account.name, path, {"data": job.body.decode("latin-1")})


def _build_refusal(status: int, code: str, message: str, may_have_run: bool) -> Refusal:
    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
    return Refusal(status, code, message, verdict, _FAILURE_RETRY_AFTER_SECONDS)
