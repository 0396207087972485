"""Runs online completions: admission, attempts, resumed streams and the final verdict."""

import math
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager, suppress
from typing import NamedTuple

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.crash.attempts import GuardedAttempt, compute_fingerprint
from trefoilreach._internal.coordination.crash.guard import CrashGuard
from trefoilreach._internal.coordination.crash.guarded_slot import SlotSource, acquire_guarded_slot
from trefoilreach._internal.coordination.online.affinity import hash_prefixes
from trefoilreach._internal.coordination.online.backends import Backends, SlotRequest
from trefoilreach._internal.coordination.online.fair_queue import CallerGone
from trefoilreach._internal.coordination.online.load_poller import LoadPoller
from trefoilreach._internal.coordination.online.load_view import LoadView
from trefoilreach._internal.coordination.online.retry_budget import RetryBudget
from trefoilreach._internal.coordination.online.running import RunningRequest, RunningRequests
from trefoilreach._internal.coordination.serving.planned_stop import PlannedStop
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.completion_events import read_text
from trefoilreach._internal.protocol.openai import Completion, render_prompt
from trefoilreach._internal.protocol.verdict import Refusal, Verdict, build_unavailable_refusal
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.config import Account, Route, Server
from trefoilreach._internal.transport.engine import Engine, EngineError, EngineRequest

_MAX_ATTEMPTS = 4
# A stream times out after this many token intervals of its class, and at least the minimum.
_TOKEN_TIMEOUT_INTERVALS = 10.0
_MIN_TOKEN_TIMEOUT_SECONDS = 2.0
# An attempt times out when its first token takes this many times the target of its class,
# and at least the minimum.
_FIRST_TOKEN_TIMEOUT_FACTOR = 3.0
_MIN_FIRST_TOKEN_TIMEOUT_SECONDS = 5.0
# Each silent attempt makes the caller wait for a whole timeout.
_MAX_SILENT_ATTEMPTS = 2
_FAILURE_RETRY_AFTER_SECONDS = 1.0
# HTTP server threads that completions and service calls leave free for other requests.
_RESERVED_THREADS = 16
_CANCEL_THREADS = 4
# Engine statuses that blame the request; they go to the caller without a retry.
_CLIENT_ERROR_STATUSES = {400, 413, 422}
# A process that is exiting can reset a connection before it refuses new ones, so the check
# is repeated after this time.
_EXIT_RECHECK_SECONDS = 0.1
# HTTP status of a refusal after failed attempts, or when the request was stopped.
FAILURE_STATUS = 503


class CompletionJob(NamedTuple):
    """One online completion to run.

    :param is_stopped: whether the caller disconnected.
    """

    request_id: str
    account: Account
    route: Route
    completion: Completion
    is_stopped: Callable[[], bool] = lambda: False


class CompletionDispatcher:
    """Runs completions on engines and relays their answers."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        config: ActiveConfig,
        engine: Engine,
        backends: Backends,
        guard: CrashGuard,
    ) -> None:
        self.clock = clock
        self.engine = engine
        self.backends = backends
        self.crash_guard = guard
        self.retry_budget = RetryBudget(clock, settings.routing.retry_share / 100.0)
        self.planned_stop = PlannedStop()
        self.poller = LoadPoller(clock, engine, backends, settings.routing.load_interval)
        self._settings = settings
        self._config = config
        self._running = RunningRequests(clock, backends.health)
        self._cancels = ThreadPoolExecutor(_CANCEL_THREADS, thread_name_prefix="cancel")

    @property
    def load_view(self) -> LoadView:
        """Load estimates of the servers, shared with batch work."""
        return self.backends.load_view

    def start(self, stack: ExitStack) -> None:
        """Poll servers and check running requests until the exit stack closes."""
        stack.callback(self._cancels.shutdown, wait=False, cancel_futures=True)
        self.poller.start(stack)
        self._running.start(stack)
        self._config.add_listener(lambda view: self.backends.grant_waiting())

    def run_stream(self, job: CompletionJob) -> Iterator[bytes]:
        """Yield the event payloads of the answer.

        :raises Refusal: when the answer cannot be completed.
        """
        started = self.clock.now()
        self.planned_stop.refuse_if_late(job.route.name, started, math.inf)
        request = RunningRequest(job.request_id, job.is_stopped)
        self.retry_budget.note_request()
        self.backends.demand.record_arrival(job.route.name)
        with self.track(request):
            yield from _CompletionRun(self, job, request).relay()
        self.planned_stop.record_run(job.route.name, self.clock.now() - started)

    def end_running(self) -> None:
        """Give running requests their last answer, at the end of a planned stop."""
        self._running.stop_all("this daemon stops")

    @contextmanager
    def track(self, request: RunningRequest) -> Iterator[None]:
        """Check a request periodically while a ``with`` block runs.

        :raises Refusal: when too many requests run already.
        """
        if self._running.count >= self._settings.daemon.threads - _RESERVED_THREADS:
            raise build_unavailable_refusal(
                "this VM has reached its limit of concurrent requests", 1.0
            )
        self._running.add(request)
        try:
            yield
        finally:
            self._running.remove(request)

    def cancel(self, server: Server, request_id: str) -> None:
        """Cancel a request at its engine in the background."""
        if self.backends.health.is_usable(server.name):
            with suppress(RuntimeError):  # during shutdown, closed connections cancel requests too
                self._cancels.submit(self.engine.cancel, server, request_id)


class _Attempt(NamedTuple):
    """One attempt on one server; ``instance`` is the process that the server last reported."""

    server: Server
    request_id: str
    instance: str
    guarded: GuardedAttempt


class _CompletionRun:
    """Runs the attempts of one completion."""

    def __init__(
        self, dispatcher: CompletionDispatcher, job: CompletionJob, request: RunningRequest
    ) -> None:
        self._dispatcher = dispatcher
        self._backends = dispatcher.backends
        self._job = job
        self._request = request
        self._prefixes = hash_prefixes(render_prompt(job.completion))
        self._fingerprint = compute_fingerprint(
            job.account.name, job.completion.path, job.completion.body
        )
        self._delivered: list[bytes] = []
        self._failed_servers: list[str] = []
        self._silent_attempts = 0
        self._may_have_run = False

    def relay(self) -> Iterator[bytes]:
        """Yield event payloads, retrying after failed attempts as far as allowed."""
        for attempt_number in range(_MAX_ATTEMPTS):
            attempt = self._start_attempt(attempt_number)
            try:
                yield from self._relay_attempt(attempt)
                return
            except EngineError as error:
                self._note_failure(attempt, error)
                self._check_retry(error, attempt_number)

    def _start_attempt(self, attempt_number: int) -> _Attempt:
        """Return an attempt that holds a slot; a suspected request waits for its trial run."""
        job, backends = self._job, self._backends
        # Each retry has its own id, so that a late answer to an earlier attempt cannot match.
        request_id = job.request_id if attempt_number == 0 else f"{job.request_id}-{attempt_number}"
        try:
            slot = acquire_guarded_slot(
                self._dispatcher.clock,
                self._dispatcher.crash_guard,
                self._fingerprint,
                SlotSource(
                    acquire=lambda preferred: self._acquire_slot(request_id, preferred),
                    release=lambda server: backends.release(server, request_id),
                    find_instance=backends.find_instance,
                    is_stopped=lambda: bool(self._request.stop_reason),
                ),
            )
        except CallerGone:
            raise self._build_refusal("stopped", self._request.stop_reason) from None
        except Refusal as refusal:
            if self._may_have_run:
                refusal.verdict = Verdict.MAY_HAVE_RUN
            raise
        return _Attempt(slot.server, request_id, slot.attempt.instance, slot.attempt)

    def _acquire_slot(self, request_id: str, preferred: str) -> Server:
        slot_request = SlotRequest(
            request_id=request_id,
            account=self._job.account,
            route=self._job.route,
            prefixes=self._prefixes,
            avoid=self._failed_servers,
            preferred=preferred,
            is_stopped=lambda: bool(self._request.stop_reason),
        )
        return self._backends.acquire(slot_request)

    def _relay_attempt(self, attempt: _Attempt) -> Iterator[bytes]:
        backends, clock = self._backends, self._dispatcher.clock
        started = clock.now()
        succeeded = False
        try:
            backends.on_online_request(attempt.server.name)
            yield from self._relay_events(attempt)
            succeeded = True
            backends.note_service_time(self._job.route, clock.now() - started)
            backends.demand.record_duration(self._job.route.name, clock.now() - started)
            backends.prefixes.record_prefixes(attempt.server.name, self._prefixes)
        except EngineError as error:
            if self._process_ended(attempt, error):
                backends.health.mark_refused(attempt.server.name, polled=True)
                self._dispatcher.crash_guard.record_worker_death(attempt.server.name)
            raise
        finally:
            self._request.end_attempt()
            self._dispatcher.crash_guard.end_attempt(attempt.guarded, succeeded)
            backends.release(attempt.server, attempt.request_id)

    def _process_ended(self, attempt: _Attempt, error: EngineError) -> bool:
        """Return whether the server's process ended while it ran the request."""
        interrupted = self._request.stop_reason or error.timed_out or error.status
        if error.verdict is Verdict.NOT_RUN or interrupted:
            return False
        for _ in range(2):
            reply = self._dispatcher.engine.load(attempt.server)
            if not isinstance(reply, Err):
                return bool(attempt.instance) and reply.ok_value.instance != attempt.instance
            if reply.err_value.is_refused:
                return True
            self._dispatcher.clock.sleep(_EXIT_RECHECK_SECONDS)
        return False

    def _relay_events(self, attempt: _Attempt) -> Iterator[bytes]:
        opened = self._dispatcher.engine.open(attempt.server, self._build_request(attempt))
        if isinstance(opened, Err):
            raise opened.err_value
        stream = opened.ok_value
        attempt_id, client_id = attempt.request_id.encode(), self._job.request_id.encode()
        delivered = self._delivered
        complete = False
        try:
            for payload in stream:
                event = (
                    payload if attempt_id == client_id else payload.replace(attempt_id, client_id)
                )
                delivered.append(event)
                yield event
            complete = True
        finally:
            stream.close()
            if not complete:
                self._dispatcher.cancel(attempt.server, attempt.request_id)

    def _build_request(self, attempt: _Attempt) -> EngineRequest:
        completion = self._job.completion
        target = self._backends.work_class(self._job.route)
        silent = _TOKEN_TIMEOUT_INTERVALS * target.token_interval_seconds
        first = _FIRST_TOKEN_TIMEOUT_FACTOR * target.first_token_seconds
        return EngineRequest(
            request_id=attempt.request_id,
            path=completion.path,
            body=completion.body,
            resume_text=read_text(self._delivered) or "",
            token_timeout=max(_MIN_TOKEN_TIMEOUT_SECONDS, silent),
            first_token_timeout=max(_MIN_FIRST_TOKEN_TIMEOUT_SECONDS, first),
            interrupt=self._request.begin_attempt(attempt.server.name),
        )

    def _note_failure(self, attempt: _Attempt, error: EngineError) -> None:
        name = attempt.server.name
        self._failed_servers.append(name)
        self._silent_attempts += error.timed_out
        if error.verdict is Verdict.MAY_HAVE_RUN:
            self._may_have_run = True
        log_event(
            "request:attempt-failed",
            request_id=self._job.request_id,
            server=name,
            error=str(error),
            verdict=error.verdict.value,
        )
        if error.is_refused:
            self._backends.health.mark_refused(name, polled=True)

    def _check_retry(self, error: EngineError, attempt_number: int) -> None:
        """Check that the request may be retried after a failed attempt.

        :raises Refusal: when it may not be.
        """
        if self._request.stop_reason:
            raise self._build_refusal("stopped", self._request.stop_reason) from error
        if error.status in _CLIENT_ERROR_STATUSES:
            raise Refusal(error.status, "invalid_request", str(error)) from error
        allowed = error.verdict is Verdict.NOT_RUN or self._job.route.idempotent
        last = attempt_number == _MAX_ATTEMPTS - 1 or self._silent_attempts >= _MAX_SILENT_ATTEMPTS
        if last or not allowed or not self._is_resumable():
            raise self._build_refusal("server_failed", str(error)) from error
        if not self._dispatcher.retry_budget.try_take():
            raise self._build_refusal(
                "server_failed", f"the retry budget is exhausted: {error}"
            ) from error

    def _is_resumable(self) -> bool:
        return read_text(self._delivered) is not None

    def _build_refusal(
        self, code: str, message: str, retry_after: float | None = _FAILURE_RETRY_AFTER_SECONDS
    ) -> Refusal:
        # The verdict covers all attempts, so one that may have run is enough.
        verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
        return Refusal(FAILURE_STATUS, code, message, verdict, retry_after)
