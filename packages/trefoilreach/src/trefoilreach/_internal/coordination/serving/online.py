"""Runs one online request: admission, attempts, relay, resume, final answer."""

import threading
from collections.abc import Callable, Generator
from contextlib import ExitStack

from trefoilreach._internal.coordination.serving.admission import SlotRequest, Ticket
from trefoilreach._internal.coordination.serving.answer_end import find_answer_end
from trefoilreach._internal.coordination.serving.caller import CallerConnection
from trefoilreach._internal.coordination.serving.choice import choose_online
from trefoilreach._internal.coordination.serving.crashing_parts import BlockedPart
from trefoilreach._internal.coordination.serving.overload import OverloadPolicy, Pressure
from trefoilreach._internal.coordination.serving.planned_stop import make_stopping_refusal
from trefoilreach._internal.coordination.serving.queue_order import (
    OnlineTimes,
    compute_online_times,
    is_retry,
    rank_online,
)
from trefoilreach._internal.coordination.serving.relay import Relay, find_first_answer_timeout
from trefoilreach._internal.coordination.serving.request import (
    Attempt,
    EventBody,
    OnlineAnswer,
    OnlineRequest,
    ServingDependencies,
)
from trefoilreach._internal.coordination.serving.slot_table import QueueRank, WorkerLoad
from trefoilreach._internal.coordination.serving.worker_belief import Source
from trefoilreach._internal.coordination.serving.worker_client import (
    Dispatch,
    WorkerAnswer,
    WorkerFailure,
)
from trefoilreach._internal.logs import log_decision, log_event
from trefoilreach._internal.protocol.completeness import (
    Framing,
    IncompleteAnswerError,
    check_plain,
)
from trefoilreach._internal.protocol.event_stream import StreamEvent
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.serving import RouteKind, ServingRoute, WorkerEntry
from trefoilreach._internal.transport.http_client import Interrupt
from trefoilreach._internal.transport.http_server import AnswerAbortedError

# Attempts that end without a run, for example because the worker's queue is full or another
# worker has its address.
_MAX_NOT_RUN_ATTEMPTS = 6
_NOT_RUN_RETRY_DELAY_SECONDS = 0.05
_MIN_RETRY_AFTER_SECONDS = 0.1
# A queued request is judged again at this interval. A refusal a quarter of a second after the loss
# of workers leaves the caller nearly all of its time.
_RECHECK_SECONDS = 0.25
# Time reserved at the end of a request, so that its final answer is within its limit.
_FINAL_ANSWER_MARGIN_SECONDS = 0.05
_STOPPING = "this daemon stops"
_NO_WORKER = "no worker takes new requests"
_PART_BLOCKED = "workers crashed under requests with a part of this prompt"


class OnlineRunner:
    """Runs online requests.

    :ivar find_route: returns the route of a host and a path in the desired state in force, or None.
    """

    def __init__(self, tools: ServingDependencies) -> None:
        self.tools = tools
        self.find_route: Callable[[str, str], ServingRoute | None] = lambda host, path: None
        self._overload_policies: dict[str, OverloadPolicy] = {}
        self._lock = threading.Lock()
        # Callers of the requests whose answer has not begun.
        self._unanswered: set[CallerConnection] = set()

    def overload_policy(self, service: str) -> OverloadPolicy:
        """Return the refusal policy of a service."""
        policy = self._overload_policies.get(service)
        if policy is None:
            policy = self._overload_policies.setdefault(service, OverloadPolicy())
        return policy

    def run(self, request: OnlineRequest, caller: CallerConnection) -> OnlineAnswer:
        """Run a request and return its answer.

        :raises Refusal: when no worker answers it.
        """
        if self.tools.crashes.is_blocked(request.fingerprint):
            raise Refusal(500, "crashing", "this request crashed the workers that ran it")
        self._refuse_if_blocked(request)
        self._refuse_if_stopping(request)
        self._take_quota(request)
        run = _OnlineAttempts(self, request, caller)
        with self._lock:
            self._unanswered.add(caller)
        try:
            return run.start()
        except Refusal as refusal:
            if refusal.verdict is Verdict.NOT_RUN and request.account is not None:
                self.tools.buckets.refund(request.account)
            raise
        finally:
            self.note_answered(caller)

    def note_answered(self, caller: CallerConnection) -> None:
        """Record that an answer has begun, so that :meth:`end_unanswered` does not end it."""
        with self._lock:
            self._unanswered.discard(caller)

    def end_unanswered(self) -> None:
        """Answer the requests whose answer has not begun, at the end of a planned stop."""
        with self._lock:
            for caller in self._unanswered:
                caller.cancel(_STOPPING)

    def _refuse_if_blocked(self, request: OnlineRequest) -> None:
        """Refuse a request with a prompt part that crashes workers, unless it is time to try it.

        :raises Refusal: with the time after which a request may try the part.
        """
        block = self.tools.crashes.parts.find_block(request.shared_parts)
        if block is not None and block.retry_after > 0.0:
            _log_block(request, block, "refuse")
            retry_after = max(_MIN_RETRY_AFTER_SECONDS, block.retry_after)
            raise Refusal(503, "blocked_part", _PART_BLOCKED, retry_after=retry_after)

    def _refuse_if_stopping(self, request: OnlineRequest) -> None:
        """Refuse a request that cannot be finished before the end of a planned stop.

        :raises Refusal: with the promise that it has not run.
        """
        # Each event of a stream holds one token or more.
        most_events = request.most_output_tokens
        latest = self.tools.planned_stop.find_latest_start(
            request.route.name, request.end, most_events
        )
        now = self.tools.clock.now()
        if now < latest:
            return
        log_decision(
            "planned-stop",
            "refuse",
            "the request may not be finished before this daemon ends",
            request_id=request.call.request_id,
            account=request.account_name,
            seconds_late=round(now - latest, 3),
            most_events=most_events,
            time_left=round(request.end - now, 3),
        )
        raise make_stopping_refusal()

    def _take_quota(self, request: OnlineRequest) -> None:
        if request.account is None:
            return
        wait = self.tools.buckets.admit(request.account)
        if wait is not None:
            message = f"account {request.account.name!r} is over its rate"
            raise Refusal(429, "over_rate", message, retry_after=wait)


class _OnlineAttempts:
    """The attempts of one request, up to its final answer."""

    def __init__(
        self, runner: OnlineRunner, request: OnlineRequest, caller: CallerConnection
    ) -> None:
        self._runner = runner
        self._tools = runner.tools
        self._request = request
        self._caller = caller
        # Blocked prompt part that one run of this request may try; may be empty.
        self._tried_part = ""
        # Whether a worker has begun to answer.
        self._begun = False
        self._service = request.route.pick_service(request.call.request_id)
        self._times = self._compute_times()
        self._failed_workers: set[str] = set()
        self._run_count = 0
        self._not_run_attempts = 0
        self._may_have_run = False
        self._last_event = request.resume_after
        # Events that were passed on to the caller.
        self._event_count = 0
        # Whether the last run ended after the last event, and only its connection ended it.
        self._maybe_whole = False
        self._interrupt: Interrupt | None = None
        # Time of the first attempt.
        self._sent_at = 0.0
        caller.listen(self._stop_for_caller)

    @property
    def _now(self) -> float:
        return self._tools.clock.now()

    @property
    def _overload_policy(self) -> OverloadPolicy:
        return self._runner.overload_policy(self._service)

    def start(self) -> OnlineAnswer:
        """Return the answer; that of a stream once its first event has arrived."""
        self._refuse_if_overloaded()
        while True:
            with ExitStack() as resources:
                attempt = self._open_attempt()
                resources.callback(attempt.close)
                stream = self._request.route.kind is RouteKind.STREAM
                if stream and attempt.answer.status == 200:
                    answer = self._start_stream(attempt)
                else:
                    answer = self._read_answer(attempt)
                if answer is not None:
                    if answer.events is not None:
                        resources.pop_all()
                    return answer

    def _compute_times(self) -> OnlineTimes:
        request, route = self._request, self._request.route
        account = request.account
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return compute_online_times(
            priority,
            request.received_at,
            route.target_seconds,
            request.time_left,
            route.timeout_seconds,
        )

    def _refuse_if_overloaded(self) -> None:
        """Refuse a new request that cannot start within its target.

        :raises Refusal: with the time after which the caller should retry.
        """
        request, now = self._request, self._now
        if is_retry(request.time_left, request.route.timeout_seconds):
            return
        urgency = rank_online(self._times, now).urgency
        pressure = self._tools.admission.pressure(self._service, urgency)
        if not self._overload_policy.must_refuse(pressure, self._times.on_time_until - now):
            return
        code, reason = "overloaded", "no slot within the target"
        if not pressure.slots:
            code, reason = "no_worker", _NO_WORKER
        seconds = self._overload_policy.assign_retry_delay(pressure, now)
        log_decision(
            "refuse",
            "retry-later",
            reason,
            request_id=request.call.request_id,
            account=request.account_name,
            pressure=pressure._asdict(),
            unused=self._tools.admission.workers.describe_unused(self._service),
            retry_after=round(seconds, 3),
        )
        raise Refusal(503, code, reason, retry_after=seconds)

    def _open_attempt(self) -> Attempt:
        """Return the answer of a worker that has started, or at least accepted, the request.

        :raises Refusal: when no attempt gets one.
        """
        while True:
            with ExitStack() as resources:
                attempt = self._try_worker(self._wait_for_slot(resources), resources)
                if attempt is not None:
                    return attempt

    def _try_worker(self, ticket: Ticket, resources: ExitStack) -> Attempt | None:
        """Send the request to the worker of a slot; return None if it did not take the request.

        :param resources: holds the slot; an attempt takes over what it holds.
        :raises Refusal: when the request may not be sent again.
        """
        workers = self._tools.admission.workers
        block = self._find_forbidding_block()
        if block is not None:
            raise self._give_up(_PART_BLOCKED, block.retry_after)
        worker = workers.find_open(ticket.worker or "")
        if worker is None:
            self._log_lost_worker(ticket)
            return None
        try:
            answer = self._send(worker)
        except WorkerFailure as failure:
            resources.close()
            self._record_failure(worker, failure)
            return None
        resources.callback(answer.close)
        if answer.not_run and answer.is_wrong_worker:
            workers.note_replaced(worker.id)
        else:
            workers.note_answer(worker.id)
        if answer.says_leaving:
            workers.note_leaving(worker, Source.ANSWER)
        if not answer.not_run:
            return Attempt(worker, answer, resources.pop_all())
        resources.close()
        # A worker that leaves is not chosen again, so that its refusals need no limit.
        reason = f"worker answered {answer.status}, not run"
        self._record_not_run(worker, reason, counts=not answer.says_leaving)
        return None

    def _log_lost_worker(self, ticket: Ticket) -> None:
        """Log that a worker began to leave, or that its entry went, since the choice."""
        worker = ticket.worker or ""
        obstacle = self._tools.admission.workers.find_obstacle(worker)
        log_decision(
            "route",
            "choose-again",
            "the worker has gone" if obstacle is None else obstacle.describe(),
            request_id=self._request.call.request_id,
            worker=worker,
        )

    def _find_forbidding_block(self) -> BlockedPart | None:
        """Return the block that forbids the next run, or None; claims a trial that is due.

        A request that a worker has begun to answer did not crash it, and is resumed in any case.
        """
        block = self._tools.crashes.parts.find_block(self._request.shared_parts)
        if block is None or self._begun:
            return None
        if not self._may_have_run:
            if block.part == self._tried_part:
                return None
            if block.retry_after == 0.0 and self._tools.crashes.claim_trial(block.part):
                self._tried_part = block.part
                _log_block(self._request, block, "try")
                return None
        _log_block(self._request, block, "refuse")
        return block

    def _wait_for_slot(self, resources: ExitStack) -> Ticket:
        """Return a ticket that holds a slot of the service to which the request goes now.

        :param resources: releases the slot.
        :raises Refusal: when there is no slot in time.
        """
        begun = self._now
        while True:
            self._follow_route()
            granted = threading.Event()
            self._caller.listen(granted.set)
            if self._now >= self._latest_start:
                raise self._give_up_start("no time left to run")
            ticket = self._make_ticket(granted)
            # A slot that is not released counts as used until the daemon ends.
            resources.callback(self._drop_ticket, ticket)
            self._tools.admission.submit(ticket)
            reason = self._wait_for_grant(ticket, granted)
            if ticket.worker is not None or not self._tools.admission.withdraw(ticket):
                break
            if not self._has_moved():
                raise self._give_up_start(reason)
        self._tools.metrics.observe_slot_wait(self._now - begun)
        if self._caller.cancel_reason or self._now >= self._latest_stop_start:
            raise self._give_up_start("the request was cancelled")
        return ticket

    def _make_ticket(self, granted: threading.Event) -> Ticket:
        return Ticket(
            SlotRequest(
                service=self._service,
                request_id=self._request.call.request_id,
                rank=self._rank,
                choose=self._choose,
                on_granted=lambda worker: granted.set(),
            )
        )

    def _find_service(self) -> str:
        """Return the service to which the desired state in force sends the request.

        The route is looked up by host and path, as a name may be given to another route. The
        request keeps its service if no route of its kind matches, or if that route needs a key and
        the request came without one.
        """
        request, call = self._request, self._request.call
        route = self._runner.find_route(call.host, call.path)
        if route is None or route.kind is not request.route.kind:
            return self._service
        if request.account is None and request.route.open_to_all and not route.open_to_all:
            return self._service
        return route.pick_service(call.request_id)

    def _has_moved(self) -> bool:
        """Return whether the request goes to another service now, and its caller still waits."""
        return not self._caller.cancel_reason and self._find_service() != self._service

    def _follow_route(self) -> None:
        """Use the service to which the desired state in force sends the request."""
        service = self._find_service()
        if service == self._service:
            return
        log_decision(
            "request-route",
            "follow",
            "the desired state has changed since the request arrived",
            request_id=self._request.call.request_id,
            former_service=self._service,
            service=service,
        )
        self._service = service

    def _drop_ticket(self, ticket: Ticket) -> None:
        """Withdraw a ticket from the queue, or release its slot."""
        if ticket.worker is None:
            self._tools.admission.withdraw(ticket)
        self._tools.admission.release(ticket)

    @property
    def _latest_start(self) -> float:
        """Time until which a run may start, so that it ends in time."""
        latest = self._request.end - self._overload_policy.run_seconds / 2
        return min(latest, self._latest_stop_start)

    @property
    def _latest_stop_start(self) -> float:
        """Time until which a run may start by the planned stop of this daemon."""
        request = self._request
        most_events = request.most_output_tokens
        if most_events is not None:
            most_events -= self._event_count
        return self._tools.planned_stop.find_latest_start(
            request.route.name, request.end, most_events
        )

    def _give_up_start(self, reason: str) -> Refusal:
        """Return the final answer for a request that may not start a run, or not any more.

        :param reason: applies unless the caller or the planned stop ended the wait.
        """
        stopping = self._caller.cancel_reason == _STOPPING or self._now >= self._latest_stop_start
        if stopping and not self._may_have_run:
            return make_stopping_refusal()
        return self._give_up(self._caller.cancel_reason or (_STOPPING if stopping else reason))

    def _wait_for_grant(self, ticket: Ticket, granted: threading.Event) -> str:
        """Wait until a ticket has a slot, its caller leaves or there is no hope of a slot.

        :returns: the reason if no slot was granted.
        """
        queued = False
        # A planned stop may begin during the wait.
        while not granted.is_set() and self._now < (latest_start := self._latest_start):
            if self._has_moved():
                return "the request goes to another service now"
            pressure = self._tools.admission.pressure_on(ticket)
            # A stream that has begun elsewhere is kept as long as there is any chance.
            hopeless = not self._may_have_run and self._overload_policy.is_hopeless(
                pressure, latest_start - self._now
            )
            reason = "no free slot"
            if hopeless:
                reason = "no slot can become free in time" if pressure.slots else _NO_WORKER
            if hopeless or not queued:
                self._log_wait(pressure, latest_start, "leave" if hopeless else "wait", reason)
                queued = True
            if hopeless:
                return reason
            self._tools.clock.wait(granted, min(latest_start - self._now, _RECHECK_SECONDS))
        return "no slot became free in time"

    def _log_wait(self, pressure: Pressure, latest_start: float, choice: str, reason: str) -> None:
        log_decision(
            "queue",
            choice,
            reason,
            request_id=self._request.call.request_id,
            account=self._request.account_name,
            pressure=pressure._asdict(),
            unused=self._tools.admission.workers.describe_unused(self._service),
            estimated_wait=round(self._overload_policy.estimate_wait(pressure), 3),
            seconds_to_latest_start=round(latest_start - self._now, 3),
        )

    def _rank(self, now: float) -> QueueRank:
        return rank_online(self._times, now)

    def _choose(self, loads: list[WorkerLoad]) -> str | None:
        prefix, request_id = self._request.shared_prefix_id, self._request.call.request_id
        chosen = choose_online(loads, prefix, self._failed_workers, request_id)
        if chosen is None and self._failed_workers:
            chosen = choose_online(loads, prefix, request_id=request_id)
        if chosen is not None:
            log_decision(
                "route",
                chosen,
                "free slot" if any(load.free for load in loads) else "slot of batch work",
                request_id=self._request.call.request_id,
                account=self._request.account_name,
                loads={x.worker.id: (x.online, x.batch, x.worker.slots) for x in loads},
            )
        return chosen

    def _send(self, worker: WorkerEntry) -> WorkerAnswer:
        request = self._request
        self._interrupt = interrupt = Interrupt()
        if self._caller.cancel_reason:
            raise self._give_up(self._caller.cancel_reason)
        self._sent_at = self._sent_at or self._now
        time_left = request.end - self._now
        dispatch = Dispatch(
            request.call,
            worker,
            None if request.account is None else request.account.name,
            request.received_at + request.time_left - self._now,
            self._last_event,
        )
        timeout = (
            min(time_left, find_first_answer_timeout(request.route))
            if self._may_run_again()
            else time_left
        )
        return self._tools.worker_client.open(
            dispatch, max(timeout, _FINAL_ANSWER_MARGIN_SECONDS), interrupt
        )

    def _read_answer(self, attempt: Attempt) -> OnlineAnswer | None:
        """Return a complete answer, or None if the request is to be sent again."""
        begun = self._now
        answer = attempt.answer
        try:
            body = answer.read_all(max(self._request.end - self._now, _FINAL_ANSWER_MARGIN_SECONDS))
            self._check_end(attempt)
        except WorkerFailure as failure:
            self._record_failure(attempt.worker, failure)
            return None
        finally:
            attempt.close()
        if answer.status in (429, 503, 408):
            # To the caller these mean that the request has not run, which is not certain
            # without the worker's mark that it has not.
            self._record_failed_run(attempt.worker, f"worker answered {answer.status}")
            return None
        if answer.status < 300 and not answer.has_receipt:
            self._record_failed_run(attempt.worker, "the answer has no receipt")
            return None
        if answer.status >= 500 and self._may_run_again():
            self._record_failed_run(attempt.worker, f"worker answered {answer.status}")
            return None
        if answer.status < 500:
            self._tools.crashes.record_answered(self._request.shared_parts)
        self._record_outcome(attempt.worker, good=answer.status < 500)
        self._overload_policy.record_run(self._now - begun)
        self._record_length()
        self._log_end("answered", attempt.worker, answer.status, answer.framing)
        return OnlineAnswer(answer.status, answer.headers, body)

    def _check_end(self, attempt: Attempt) -> None:
        """Check the end of an answer that is no stream.

        :raises WorkerFailure: when the body may have broken off.
        """
        deadline = self._request.received_at + self._request.time_left
        end = find_answer_end(self._tools, attempt.worker, attempt.answer, deadline)
        try:
            check_plain(end)
        except IncompleteAnswerError as error:
            raise WorkerFailure(str(error), Verdict.MAY_HAVE_RUN) from error

    def _start_stream(self, attempt: Attempt) -> OnlineAnswer | None:
        """Return a stream whose first events have arrived, or None to send the request again."""
        if not attempt.answer.has_receipt:
            attempt.close()
            self._record_failed_run(attempt.worker, "the answer has no receipt")
            return None
        relay = Relay(self._tools, self._request, attempt, self._may_run_again(), self._last_event)
        try:
            first = self._read_events(relay)
            self._runner.note_answered(self._caller)
            self._check_not_interrupted()
        except WorkerFailure as failure:
            relay.close()
            self._record_failure(attempt.worker, failure)
            return None
        events = EventBody(self._relay(relay, first), relay.close)
        return OnlineAnswer(200, attempt.answer.headers, None, events)

    def _check_not_interrupted(self) -> None:
        """Check that a stream whose first events were read may go on.

        :raises WorkerFailure: when the attempt was interrupted.
        """
        if self._interrupt is not None and self._interrupt.reason:
            raise WorkerFailure(self._interrupt.reason, Verdict.MAY_HAVE_RUN)

    def _record_length(self) -> None:
        """Add the time from the first attempt to the end of the answer to the run lengths."""
        seconds = self._now - self._sent_at
        self._tools.planned_stop.record_run(self._request.route.name, seconds, self._event_count)

    def _relay(self, relay: Relay, events: list[StreamEvent]) -> Generator[bytes, None, None]:
        """Yield the events of a stream, resuming it at other workers after failures."""
        begun = self._now
        try:
            while events:
                self._event_count += sum(not event.is_empty for event in events)
                numbered = [event.id for event in events if event.id is not None]
                self._last_event = numbered[-1] if numbered else self._last_event
                yield b"".join(event.raw for event in events)
                relay, events = self._next_events(relay)
            self._overload_policy.record_run(self._now - begun)
            self._record_length()
            self._record_outcome(relay.worker, good=True)
            self._log_end("streamed", relay.worker, 200, relay.framing)
        finally:
            relay.close()

    def _next_events(self, relay: Relay) -> tuple[Relay, list[StreamEvent]]:
        """Return the next events and the relay of the worker that sent them."""
        while True:
            try:
                return relay, self._read_events(relay)
            except WorkerFailure as failure:
                relay.close()
                relay = self._resume(relay, failure)

    def _read_events(self, relay: Relay) -> list[StreamEvent]:
        """Return the next events of a stream; none once it is complete.

        A run whose end is no proof may have broken off; a further one without an event shows that
        none is left.

        :raises WorkerFailure: when the stream breaks off.
        """
        try:
            events = relay.read_events()
        except WorkerFailure as failure:
            if not (failure.maybe_whole and self._maybe_whole):
                self._maybe_whole = failure.maybe_whole
                raise
            return []
        self._maybe_whole = self._maybe_whole and not events
        return events

    def _resume(self, broken: Relay, failure: WorkerFailure) -> Relay:
        """Resume a broken stream at another worker.

        :raises AnswerAbortedError: when it cannot be resumed.
        """
        request = self._request
        try:
            self._record_failure(broken.worker, failure, broken.begun)
            while True:
                with ExitStack() as resources:
                    attempt = self._open_attempt()
                    resources.callback(attempt.close)
                    answer = attempt.answer
                    if answer.status == 200 and answer.is_event_stream and answer.has_receipt:
                        log_event(
                            "request:resumed",
                            request_id=request.call.request_id,
                            worker=attempt.worker.id,
                            after_event=self._last_event,
                        )
                        relay = Relay(
                            self._tools, request, attempt, self._may_run_again(), self._last_event
                        )
                        resources.pop_all()
                        return relay
                self._record_failed_run(
                    attempt.worker, f"worker answered {answer.status} to a resume"
                )
        except Refusal as refusal:
            log_event(
                "request:cut",
                request_id=request.call.request_id,
                after_event=self._last_event,
                reason=refusal.message,
            )
            raise AnswerAbortedError(refusal.message) from failure

    def _record_failure(
        self, worker: WorkerEntry, failure: WorkerFailure, begun: bool = False
    ) -> None:
        """Record a failed attempt; returns if the request may be sent again.

        :param begun: whether the worker had begun to write the answer.
        :raises Refusal: when it may not.
        """
        request, workers = self._request, self._tools.admission.workers
        if self._caller.cancel_reason:
            self._may_have_run = self._may_have_run or failure.verdict is Verdict.MAY_HAVE_RUN
            raise self._give_up(self._caller.cancel_reason)
        if failure.unreachable:
            workers.note_failure(worker.id, str(failure))
        if failure.verdict is Verdict.NOT_RUN:
            self._record_not_run(worker, str(failure))
            return
        self._begun = self._begun or begun
        dead = not failure.timed_out and self._tools.worker_client.is_refused(worker)
        if dead:
            self._tools.crashes.record(
                request.fingerprint,
                f"{worker.id}/{worker.started_ms}",
                request.call.request_id,
                request.shared_parts,
                begun,
            )
            self._tools.admission.send_report_soon()
        if dead or failure.timed_out:
            workers.note_failure(worker.id, str(failure), failure.timed_out)
        # An attempt at a worker that has crashed doesn't count towards the route's limit of runs.
        self._record_failed_run(worker, str(failure), counts=not dead)

    def _record_failed_run(self, worker: WorkerEntry, reason: str, counts: bool = True) -> None:
        """Record an attempt that may have run but gave no usable answer.

        :param counts: whether it counts towards the route's limit of runs.
        :raises Refusal: when the request may not be sent again.
        """
        request = self._request
        self._may_have_run = True
        self._run_count += counts
        self._failed_workers.add(worker.id)
        self._record_outcome(worker, good=False)
        log_event(
            "request:attempt-failed",
            request_id=request.call.request_id,
            worker=worker.id,
            reason=reason,
            verdict=Verdict.MAY_HAVE_RUN.value,
            runs=self._run_count,
        )
        if not request.route.is_repeatable or self._run_count >= request.route.max_runs:
            raise self._give_up(reason)
        if self._tools.crashes.is_blocked(request.fingerprint):
            raise self._give_up("this request crashed the workers that ran it")

    def _may_run_again(self) -> bool:
        """Return whether another run is allowed after the current one."""
        return (
            self._request.route.is_repeatable and self._run_count + 1 < self._request.route.max_runs
        )

    def _record_outcome(self, worker: WorkerEntry, good: bool) -> None:
        self._tools.admission.outcomes.note(worker.id, good)

    def _record_not_run(self, worker: WorkerEntry, reason: str, counts: bool = True) -> None:
        """Record an attempt that the worker did not run.

        :param counts: whether it counts towards the limit of such attempts.
        :raises Refusal: when the request may not be sent again.
        """
        self._not_run_attempts += counts
        self._failed_workers.add(worker.id)
        log_event(
            "request:attempt-failed",
            request_id=self._request.call.request_id,
            worker=worker.id,
            reason=reason,
            verdict=Verdict.NOT_RUN.value,
            attempts=self._not_run_attempts,
        )
        if self._not_run_attempts >= _MAX_NOT_RUN_ATTEMPTS:
            raise self._give_up(reason)
        if counts and self._not_run_attempts > 1:
            self._tools.clock.sleep(_NOT_RUN_RETRY_DELAY_SECONDS)

    def _give_up(self, reason: str, retry_after: float | None = None) -> Refusal:
        """Return the final answer for a request that no worker has answered.

        :param retry_after: seconds after which the caller should retry a request that has not run;
            None for the time until a slot is expected.
        """
        request = self._request
        verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
        status = 503
        if self._may_have_run:
            status = 504 if self._now >= request.end - _FINAL_ANSWER_MARGIN_SECONDS else 502
        if retry_after is None:
            pressure = self._tools.admission.pressure(self._service, 0)
            retry_after = self._overload_policy.assign_retry_delay(pressure, self._now)
        log_decision(
            "give-up",
            str(status),
            reason,
            request_id=request.call.request_id,
            account=request.account_name,
            verdict=verdict.value,
            runs=self._run_count,
            held_seconds=round(self._now - request.received_at, 3),
        )
        seconds = max(_MIN_RETRY_AFTER_SECONDS, retry_after) if status == 503 else None
        return Refusal(status, "unavailable", reason, verdict, seconds)

    def _stop_for_caller(self) -> None:
        interrupt = self._interrupt
        if interrupt is not None:
            interrupt.trigger(self._caller.cancel_reason)

    def _log_end(self, outcome: str, worker: WorkerEntry, status: int, framing: Framing) -> None:
        log_event(
            f"request:{outcome}",
            request_id=self._request.call.request_id,
            account=self._request.account_name,
            route=self._request.route.name,
            worker=worker.id,
            status=status,
            framing=framing.value,
            seconds=round(self._now - self._request.received_at, 3),
        )


def _log_block(request: OnlineRequest, block: BlockedPart, choice: str) -> None:
    log_decision(
        "blocked-part",
        choice,
        "workers crashed under requests with this part",
        request_id=request.call.request_id,
        account=request.account_name,
        part=block.part,
        trials=block.trials,
        age=round(block.age_seconds, 3),
        retry_after=round(block.retry_after, 3),
    )
