"""Runs one call of a plain service: admission, attempts, verdict."""

from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.crash.place import (
    Entrance,
    GuardedPlace,
    enter_guarded,
)
from trefoilreach._internal.coordination.crash.runs import find_fingerprint
from trefoilreach._internal.coordination.online.backends import Backends, PlaceRequest
from trefoilreach._internal.coordination.online.dispatch import Dispatcher
from trefoilreach._internal.coordination.online.fairness import CallerGone
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

_ATTEMPTS = 3
# A service that needs this many times its class target, and at least the minimum, is silent.
_ANSWER_FACTOR = 5.0
_ANSWER_MIN_SECONDS = 10.0
_RETRY_AFTER_FAILURE_SECONDS = 1.0
_DYING_SECONDS = 0.1


class ServiceJob(NamedTuple):
    """One admitted call.

    :param target: path and query for the service.
    :param gone: whether the caller went away.
    """

    request_id: str
    account: Account
    route: Route
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    gone: Callable[[], bool] = lambda: False


class ServiceDispatcher:
    """Runs calls on the servers of a service; shares places and retries with completions."""

    def __init__(
        self, clock: Clock, service: Service, backends: Backends, dispatcher: Dispatcher
    ) -> None:
        self._clock = clock
        self._service = service
        self._backends = backends
        self._dispatcher = dispatcher

    def run(self, job: ServiceJob) -> ServiceReply:
        """Return the service's whole answer.

        :raises Refusal: when there is none.
        """
        request = RunningRequest(job.request_id, job.gone)
        self._dispatcher.budget.note_request()
        with self._dispatcher.watch(request):
            return self._run_attempts(job, request)

    def _run_attempts(self, job: ServiceJob, request: RunningRequest) -> ServiceReply:
        failed: list[str] = []
        may_have_run = False
        for number in range(_ATTEMPTS):
            request_id = f"{job.request_id}-{number}"
            place = self._place(job, request, request_id, failed, may_have_run)
            server = place.server
            outcome = self._call(job, request, place, request_id)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            error = outcome.err_value
            failed.append(server.name)
            may_have_run = may_have_run or error.verdict is Verdict.MAY_HAVE_RUN
            self._note_failure(job, server, error)
            if not self._may_retry(job, request, error, number):
                raise _refuse(502, "service_failed", str(error), may_have_run)
        raise AssertionError("the last attempt returns or raises")

    def _place(
        self,
        job: ServiceJob,
        request: RunningRequest,
        request_id: str,
        failed: list[str],
        may_have_run: bool,
    ) -> GuardedPlace:
        place = PlaceRequest(
            request_id=request_id,
            account=job.account,
            route=job.route,
            avoid=failed,
            gone=lambda: bool(request.stop_reason),
        )
        entrance = Entrance(
            enter=lambda preferred: self._backends.enter(place._replace(preferred=preferred)),
            release=lambda server: self._backends.release(server, request_id),
            instance=lambda server: "",
            stopped=lambda: bool(request.stop_reason),
        )
        try:
            return enter_guarded(
                self._clock, self._dispatcher.guard, _find_fingerprint(job), entrance
            )
        except CallerGone:
            raise _refuse(503, "stopped", request.stop_reason, may_have_run) from None
        except Refusal as refusal:
            if may_have_run:
                refusal.verdict = Verdict.MAY_HAVE_RUN
            raise

    def _call(
        self, job: ServiceJob, request: RunningRequest, place: GuardedPlace, request_id: str
    ) -> Result[ServiceReply, ServiceError]:
        server, guard = place.server, self._dispatcher.guard
        outcome: Result[ServiceReply, ServiceError] | None = None
        target = self._backends.work_class(job.route).first_token_seconds
        # A call that must not be repeated is not cut when its caller leaves: its outcome
        # may still be asked for with an idempotency key.
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
                    timeout=max(_ANSWER_MIN_SECONDS, _ANSWER_FACTOR * target),
                    interrupt=interrupt,
                ),
            )
            if isinstance(outcome, Err) and self._has_died(request, server, outcome.err_value):
                guard.worker_died(server.name)
        finally:
            request.end_attempt()
            guard.end(place.run, isinstance(outcome, Ok))
            self._backends.release(server, request_id)
        if isinstance(outcome, Ok):
            self._backends.note_service_time(job.route, self._clock.now() - started)
        return outcome

    def _has_died(self, request: RunningRequest, server: Server, error: ServiceError) -> bool:
        """Return whether the server's process ended while it had the call."""
        if error.verdict is Verdict.NOT_RUN or error.silent or request.stop_reason:
            return False
        if not self._service.is_gone(server):
            # A process that is just ending can drop a connection before it stops listening.
            self._clock.sleep(_DYING_SECONDS)
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
        if error.gone:
            self._backends.health.mark_refused(server.name, polled=False)

    def _may_retry(
        self, job: ServiceJob, request: RunningRequest, error: ServiceError, number: int
    ) -> bool:
        if number == _ATTEMPTS - 1 or request.stop_reason:
            return False
        allowed = error.verdict is Verdict.NOT_RUN or job.route.idempotent
        return allowed and self._dispatcher.budget.take()


def _find_fingerprint(job: ServiceJob) -> str:
    path = f"{job.method} {job.route.name} {job.target}"
    return find_fingerprint(job.account.name, path, {"data": job.body.decode("latin-1")})


def _refuse(status: int, code: str, message: str, may_have_run: bool) -> Refusal:
    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
    return Refusal(status, code, message, verdict, _RETRY_AFTER_FAILURE_SECONDS)
