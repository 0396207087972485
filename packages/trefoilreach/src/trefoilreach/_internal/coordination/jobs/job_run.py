"""Runs the items of one job and lists their results.

Load patterns: batch work in slots that online traffic leaves free, and daemons that stop or crash
one by one or all at once. An item that yields its slot keeps the events received so far, and any
worker can resume it after them. Checkpoints store the events, so that the next owner of the job can
resume its items too.

Each run of an item follows the desired state that is in force when it begins, since an operator may
move the job's route to another service at any time, and the workers of the former one may leave.
"""

import threading
from collections.abc import Mapping
from concurrent.futures import Executor
from typing import Any, NamedTuple

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.deferred_results import DeferredResults
from trefoilreach._internal.coordination.jobs.object_names import name_output, store_object
from trefoilreach._internal.coordination.jobs.records import (
    DONE,
    Item,
    ItemResult,
    JobRow,
    JobTarget,
    Partial,
    fits_in_row,
    input_deletions,
    job_key,
    job_write,
    parse_job,
    parse_result,
    partial_key,
    partial_write,
    read_results,
    result_key,
    result_write,
)
from trefoilreach._internal.coordination.serving.admission import Admission, SlotRequest, Ticket
from trefoilreach._internal.coordination.serving.answer_end import find_answer_end
from trefoilreach._internal.coordination.serving.choice import choose_batch
from trefoilreach._internal.coordination.serving.queue_order import BatchTimes, rank_batch
from trefoilreach._internal.coordination.serving.request import ServingDependencies
from trefoilreach._internal.coordination.serving.slot_table import QueueRank, WorkerLoad
from trefoilreach._internal.coordination.serving.worker_belief import Source
from trefoilreach._internal.coordination.serving.worker_client import (
    Call,
    Dispatch,
    WorkerAnswer,
    WorkerFailure,
)
from trefoilreach._internal.logs import describe_error, log_decision, log_event
from trefoilreach._internal.protocol.completeness import IncompleteAnswerError, UnprovenEndError
from trefoilreach._internal.protocol.event_stream import EventReader
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.rows import (
    BlobStore,
    ConditionFailed,
    RowPrecondition,
    RowStore,
    RowWrite,
)
from trefoilreach._internal.state.serving import ServingRoute, WorkerEntry
from trefoilreach._internal.transport.buffer_budget import BufferBudget
from trefoilreach._internal.transport.http_client import Interrupt

# Expected duration of a run until the first run has ended.
_INITIAL_RUN_SECONDS = 5.0
# Estimates how long the runs took whose events a checkpoint holds.
_EVENT_INTERVAL_SECONDS = 0.02
# Weight of the latest run in the moving average of run durations.
_NEW_RUN_WEIGHT = 0.2
# Timeouts for a worker's first and next event. Processing a prompt again takes up to 45 ms, and
# events come 20 ms apart; a slow worker takes eight times as long.
_FIRST_EVENT_TIMEOUT_SECONDS = 2.0
_NEXT_EVENT_TIMEOUT_SECONDS = 1.0
# Events of an item are not needed before its end, so they are read several at a time. This delays
# the release of a slot by at most this long, on average by 1 % of a run of 5 s.
_READ_PAUSE_SECONDS = 0.1
# A read that took longer than this waited for the worker: everything sent before was read.
_BLOCKING_READ_SECONDS = 0.002
_RETRY_SECONDS = 0.3
# Time for an item that starts just before it expires.
_MIN_RUN_SECONDS = 1.0
_COMMIT_RETRY_SECONDS = 0.2
# An object that is not dropped costs only room in the store.
_MAX_DROP_ATTEMPTS = 5
_DROP_RETRY_SECONDS = 1.0
# The loss of a daemon costs at most this much work. Each checkpoint of a job is one call.
_CHECKPOINT_INTERVAL_SECONDS = 1.5
# The store limits a call to 1 MB and 100 entries.
_MAX_PARTIALS_PER_CHECKPOINT = 15
# A ticket may be made just before the route moves and queued just after; later checks find it. Each
# of them goes through all open items, which may be tens of thousands.
_TICKET_CHECKS = 3
# Workers may crash in series while an item runs, and the item is owed all the same. Later runs
# wait, in case it crashes them by itself.
_CRASHES_WITHOUT_PAUSE = 2
_FIRST_CRASH_PAUSE_SECONDS = 0.5
_MAX_CRASH_PAUSE_SECONDS = 2.0
# A page of results, which holds at least one, has at most 1 MB. A worker that sends events without
# end would otherwise take all memory.
_MAX_OUTPUT_BYTES = 1_000_000
_PERMANENT_FAILURE_STATUS = 422
_RUN_FAILED_STATUS = 500
_YIELD_REASON = "an online request needs the slot"
_STOP_REASON = "the job is no longer run here"


def choose_read_pause(read_seconds: float) -> float:
    """Return the seconds to wait after a read of an item's events, so that more of them arrive.

    Load pattern: batch work in all slots that online requests leave free, on a VM with half a core.
    Without the pause, a thread would wake up for each event of each item.
    """
    return _READ_PAUSE_SECONDS if read_seconds > _BLOCKING_READ_SECONDS else 0.0


def choose_crash_pause(crashes: int) -> float:
    """Return the seconds to wait before the next run of an item under which workers crashed.

    Load pattern: workers that crash in series, each with the same sound item in flight.
    """
    excess = crashes - _CRASHES_WITHOUT_PAUSE
    if excess <= 0:
        return 0.0
    return float(min(_MAX_CRASH_PAUSE_SECONDS, _FIRST_CRASH_PAUSE_SECONDS * 2 ** (excess - 1)))


class JobDeadlines(NamedTuple):
    """Deadlines of a job by the daemon's clock.

    :param due_at: when all results are due.
    :param expires_at: when items without a result are given up.
    """

    due_at: float
    expires_at: float


class MeanRunTime:
    """Moving average of the duration of item runs, over all jobs of a daemon."""

    def __init__(self) -> None:
        self.seconds = _INITIAL_RUN_SECONDS

    def add(self, seconds: float) -> None:
        """Add the duration of a run."""
        self.seconds += _NEW_RUN_WEIGHT * (seconds - self.seconds)


class JobRunContext(NamedTuple):
    """Dependencies that the runs of all jobs share.

    :param output_budget: space for outputs that the object store has refused.
    """

    tools: ServingDependencies
    rows: RowStore
    blobs: BlobStore
    executor: Executor
    run_time: MeanRunTime
    output_budget: BufferBudget


class _ItemRun:
    """Progress of one item.

    :param stored: checkpoint that an earlier owner of the job wrote.
    """

    def __init__(self, item: Item, stored: Partial | None) -> None:
        self.item = item
        # Id and data of each event. One thread appends; every other change replaces the list.
        self.events: list[tuple[int | None, bytes]] = []
        if stored is not None and stored.last_event is not None:
            self.events = [(stored.last_event, stored.output.encode())]
        self.failures = 0 if stored is None else stored.failures
        self.last_checkpoint = stored
        # Workers that crashed one after the other before they had sent an event.
        self.crashes = 0
        # At most a whole run, in case the worker sent events faster.
        self.run_seconds = min(
            _INITIAL_RUN_SECONDS, (self.last_event or 0) * _EVENT_INTERVAL_SECONDS
        )
        self.excluded_workers: set[str] = set()
        self.ticket: Ticket | None = None
        self.interrupt: Interrupt | None = None

    @property
    def last_event(self) -> int | None:
        """Id of the last event received."""
        return self.events[-1][0] if self.events else None

    @property
    def output(self) -> str:
        """Data of all events received, joined by line breaks."""
        return _join(self.events)

    def make_checkpoint(self) -> Partial | None:
        """Return the checkpoint to write; None when nothing changed since the last one."""
        events = list(self.events)
        last = events[-1][0] if events else None
        checkpointed = (
            (None, 0)
            if self.last_checkpoint is None
            else (self.last_checkpoint.last_event, self.last_checkpoint.failures)
        )
        if (last, self.failures) == checkpointed:
            return None
        return Partial(self.item.id, last, _join(events), self.failures)

    def cancel(self, admission: Admission) -> None:
        """Withdraw the item from the queue or interrupt its run."""
        if self.ticket is not None:
            admission.withdraw(self.ticket)
        if self.interrupt is not None:
            self.interrupt.trigger(_STOP_REASON)


def _join(events: list[tuple[int | None, bytes]]) -> str:
    return b"\n".join(data for _, data in events).decode(errors="replace")


class JobRun:
    """Runs the items of one job that this daemon owns.

    :param route: the job's route; None if it was removed, so that no item can run.
    :param target: host and path that the job was submitted to; None if they are not known.
    :ivar route_was_in_force: whether a desired state on this daemon has had the route since the
        start of the run.
    """

    def __init__(
        self,
        context: JobRunContext,
        row: JobRow,
        route: ServingRoute | None,
        deadlines: JobDeadlines,
        items: list[Item],
        listed: list[ItemResult],
        partials: Mapping[str, Partial],
        input_bytes: int,
        target: JobTarget | None = None,
    ) -> None:
        self.target = target
        self._context = context
        self._tools = context.tools
        self._row = row
        self._route = route
        self.route_was_in_force = False
        # Further checks for tickets of a former route.
        self._ticket_checks = 0
        self._deadlines = deadlines
        self._input_bytes = input_bytes
        self._lock = threading.RLock()
        self._commit_lock = threading.Lock()
        self._listed_count = len(listed)
        done = {result.id for result in listed}
        self._open_items = {
            item.id: _ItemRun(item, partials.get(item.id)) for item in items if item.id not in done
        }
        self._deferred = DeferredResults(context.tools.clock, context.output_budget)
        self._retry_lock = threading.Lock()
        self._checkpoint_at = context.tools.clock.now()
        self._stopped = False
        self._submits_items = True

    @property
    def row(self) -> JobRow:
        """The job's row as last written or read."""
        return self._row

    @property
    def listed_count(self) -> int:
        """Number of listed results."""
        return self._listed_count

    @property
    def finished(self) -> bool:
        """Whether this daemon has nothing left to do for the job."""
        return self._stopped or not self._open_items

    @property
    def running_count(self) -> int:
        """Number of items that hold a slot."""
        with self._lock:
            return sum(run.interrupt is not None for run in self._open_items.values())

    def start(self) -> None:
        """Queue all open items for slots."""
        self._submit(*list(self._open_items.values()))

    def follow_route(self, route: ServingRoute | None) -> None:
        """Begin further runs as a route states, and queue waiting items for its services.

        Runs that have begun go on.

        :param route: the job's route in the desired state in force; None if it was removed, so that
            no further run begins.
        """
        self.route_was_in_force = self.route_was_in_force or route is not None
        before, self._route = self._route, route
        if route != before:
            self._ticket_checks = _TICKET_CHECKS
        if not self._ticket_checks:
            return
        self._ticket_checks -= 1
        withdrawn = [run for run in list(self._open_items.values()) if self._withdraw_moved(run)]
        if route != before or withdrawn:
            log_decision(
                "job-route",
                "follow" if route is not None else "give-up",
                "the desired state has changed",
                job=self._row.record.job,
                route=self._row.record.route,
                services=[] if route is None else [entry.service for entry in route.services],
                moved_items=len(withdrawn),
            )
        self._submit(*withdrawn)

    def _withdraw_moved(self, run: _ItemRun) -> bool:
        """Withdraw an item that waits for a service of a former route; return whether it did."""
        ticket, route = run.ticket, self._route
        if ticket is None or ticket.worker is not None:
            return False
        if route is not None and ticket.request.service == route.pick_service(run.item.id):
            return False
        return self._tools.admission.withdraw(ticket)

    def save_progress(self) -> None:
        """Write a checkpoint in the background if the last one is old enough."""
        now = self._tools.clock.now()
        if now - self._checkpoint_at < _CHECKPOINT_INTERVAL_SECONDS or self.finished:
            return
        self._checkpoint_at = now
        self._context.executor.submit(self._checkpoint, self._row.record.owner)

    def suspend(self) -> None:
        """Cancel all items and start no more runs."""
        with self._lock:
            self._submits_items = False
            runs = list(self._open_items.values())
        for run in runs:
            run.cancel(self._tools.admission)

    def hand_over(self) -> bool:
        """Checkpoint a suspended job without an owner; return False if this must be repeated."""
        if self.finished:
            return True
        done = self._checkpoint("")
        if done:
            self.stop("handed over")
        return done

    def _checkpoint(self, owner: str) -> bool:
        """Write the events so far and the owner; return False if the write must be repeated."""
        with self._commit_lock:
            record, version = self._row
            candidates = [(run, run.make_checkpoint()) for run in list(self._open_items.values())]
            chosen = [(run, partial) for run, partial in candidates if partial is not None]
            chosen = [(run, p) for run, p in chosen if fits_in_row(p.output)][
                :_MAX_PARTIALS_PER_CHECKPOINT
            ]
            writes = [partial_write(record.job, partial) for _, partial in chosen]
            if owner != record.owner:
                record = record._replace(owner=owner)
                writes.append(job_write(record))
            if not writes or self._stopped:
                return True
            expected = [RowPrecondition(job_key(record.job), version)]
            outcome = self._context.rows.commit(expected, writes)
            if isinstance(outcome, Err):
                log_event("job:checkpoint-failed", job=record.job, error=str(outcome.err_value))
                if isinstance(outcome.err_value, ConditionFailed):
                    self._follow_row(outcome.err_value)
                return self._stopped
            if owner != self._row.record.owner:
                self._row = JobRow(record, outcome.ok_value.version)
            for run, partial in chosen:
                run.last_checkpoint = partial
        return True

    def stop(self, reason: str) -> None:
        """Stop the job here, because it has ended or another daemon runs it."""
        with self._lock:
            if self._stopped:
                return
            self._stopped = True
            open_items = len(self._open_items)
        log_event("job:stopped", job=self._row.record.job, reason=reason, open_items=open_items)
        self.suspend()
        self._deferred.clear()

    def give_up_hopeless(self, now: float) -> None:
        """List the open items without an output once the job has expired or lost its route."""
        expired = now >= self._deadlines.expires_at
        if self._stopped or not (expired or self._route is None):
            return
        reason = "the route was removed" if self._route is None else "the job has expired"
        for run in list(self._open_items.values()):
            if not expired and run.interrupt is not None:
                # A run that began before the route was removed may still complete.
                continue
            run.cancel(self._tools.admission)
            self._list_result(run, None, reason)

    def _submit(self, *runs: _ItemRun) -> None:
        """Queue items for slots, except those that must not run."""
        tickets = [self._make_ticket(run) for run in runs]
        self._tools.admission.submit(*[ticket for ticket in tickets if ticket is not None])

    def _make_ticket(self, run: _ItemRun) -> Ticket | None:
        """Return the ticket for an item's next run, or None when the item must not run."""
        route = self._route
        if route is None or not self._may_run(run):
            return None
        run.ticket = Ticket(
            SlotRequest(
                service=route.pick_service(run.item.id),
                request_id=run.item.id,
                rank=lambda now: self._rank(run, now),
                choose=lambda loads: self._choose(run, loads),
                on_granted=lambda worker: self._start_run(run, worker),
                on_preempted=lambda: self._yield_slot(run),
            )
        )
        return run.ticket

    def _may_run(self, run: _ItemRun) -> bool:
        return (
            self._is_open(run)
            and self._submits_items
            and run.item.id not in self._deferred
            # An item that has expired is given up at the next check.
            and self._tools.clock.now() < self._deadlines.expires_at
        )

    def _release(self, run: _ItemRun) -> None:
        """Release the slot of an item; listing the result may take longer."""
        ticket, run.ticket = run.ticket, None
        if ticket is not None:
            self._tools.admission.release(ticket)

    def _rank(self, run: _ItemRun, now: float) -> QueueRank:
        remaining = max(0.0, self._context.run_time.seconds - run.run_seconds)
        return rank_batch(BatchTimes(self._deadlines.due_at, remaining), now)

    def _choose(self, run: _ItemRun, loads: list[WorkerLoad]) -> str | None:
        chosen = choose_batch(loads, run.excluded_workers)
        if chosen is None and run.excluded_workers:
            chosen = choose_batch(loads)
        return chosen

    def _start_run(self, run: _ItemRun, worker: str) -> None:
        run.interrupt = Interrupt()
        self._context.executor.submit(self._run_item, run, worker, run.interrupt)

    def _yield_slot(self, run: _ItemRun) -> None:
        interrupt = run.interrupt
        if interrupt is not None:
            interrupt.trigger(_YIELD_REASON)

    def _run_item(self, run: _ItemRun, worker_id: str, interrupt: Interrupt) -> None:
        clock, route = self._tools.clock, self._route
        started_at = clock.now()
        # The worker may have left while the item waited for a thread; the item is queued again.
        worker = self._tools.admission.workers.find_open(worker_id)
        pause = 0.0
        try:
            # The job may have stopped, or its route may have moved, between the making of the
            # ticket and its queueing.
            if (
                worker is not None
                and route is not None
                and worker.service == route.pick_service(run.item.id)
                and self._may_run(run)
            ):
                log_decision(
                    "batch",
                    worker_id,
                    "free slot",
                    request_id=run.item.id,
                    job=self._row.record.job,
                    after_event=run.last_event,
                    due_in=round(self._deadlines.due_at - started_at, 3),
                )
                pause = self._attempt_item(run, worker, route, interrupt)
        except Exception as error:
            log_event("item:error", request_id=run.item.id, error=repr(error))
            pause = _RETRY_SECONDS
        finally:
            run.run_seconds += clock.now() - started_at
            run.interrupt = None
            self._release(run)
        if run.item.id in self._open_items and not self._stopped:
            if pause:
                clock.sleep(pause)
            self._submit(run)

    def _attempt_item(
        self, run: _ItemRun, worker: WorkerEntry, route: ServingRoute, interrupt: Interrupt
    ) -> float:
        """Run an item until it completes, fails or yields; return the seconds before a retry."""
        item, record = run.item, self._row.record
        call = Call(item.id, "POST", item.target, route.host, item.headers, item.body)
        now = self._tools.clock.now()
        remaining = max(_MIN_RUN_SECONDS, self._deadlines.expires_at - now)
        dispatch = Dispatch(call, worker, record.account, remaining, run.last_event)
        events_before = len(run.events)
        answer: WorkerAnswer | None = None
        try:
            answer = self._tools.worker_client.open(
                dispatch, _FIRST_EVENT_TIMEOUT_SECONDS, interrupt
            )
            if answer.says_leaving:
                self._tools.admission.workers.note_leaving(worker, Source.ANSWER)
            if answer.status == 200 and answer.has_receipt:
                self._tools.admission.workers.note_answer(worker.id)
                self._read_events(run, worker, answer, now + remaining)
                _log_run_end(run, worker, answer, events_before, interrupt)
                answer.close()
                self._release(run)
                self._tools.admission.outcomes.note(worker.id, good=True)
                self._list_result(run, run.output, "complete")
                return 0.0
            return self._handle_error_status(run, worker, answer, route.max_runs)
        except WorkerFailure as failure:
            begun = len(run.events) > events_before
            _log_run_end(run, worker, answer, events_before, interrupt)
            pause = self._handle_failure(run, worker, failure, interrupt, begun)
            if answer is not None and not begun and not interrupt.reason:
                # A worker that answers without an event would answer each further run at once.
                pause = max(pause, _RETRY_SECONDS)
            return pause
        finally:
            if answer is not None:
                answer.close()

    def _read_events(
        self, run: _ItemRun, worker: WorkerEntry, answer: WorkerAnswer, deadline: float
    ) -> None:
        """Read a run to its end.

        :param deadline: time until which the worker was to run the item.
        :raises WorkerFailure: when it is not whole.
        """
        try:
            self._read_until_end(run, worker, answer, deadline)
        except IncompleteAnswerError as error:
            if isinstance(error, UnprovenEndError):
                # The next run repeats the last event, which shows that it has begun.
                run.events = run.events[:-1]
            raise WorkerFailure(str(error), Verdict.MAY_HAVE_RUN) from error

    def _read_until_end(
        self, run: _ItemRun, worker: WorkerEntry, answer: WorkerAnswer, deadline: float
    ) -> None:
        clock, reader = self._tools.clock, EventReader(run.last_event)
        read_started_at = progressed_at = clock.now()
        size = sum(len(stored) for _, stored in run.events)
        while data := answer.read_chunk(_NEXT_EVENT_TIMEOUT_SECONDS):
            self._tools.admission.workers.record_partial_answer(worker.id)
            for event in reader.feed(data):
                if not event.is_empty:
                    run.events.append((event.id, event.data))
                    size += len(event.data)
                    progressed_at = clock.now()
            if size > _MAX_OUTPUT_BYTES:
                run.events = []
                raise IncompleteAnswerError(f"the output exceeds {_MAX_OUTPUT_BYTES} bytes")
            # A stalled worker may still send a byte or a comment now and then.
            if clock.now() - progressed_at > _NEXT_EVENT_TIMEOUT_SECONDS:
                message = "the stream made no progress"
                raise WorkerFailure(message, Verdict.MAY_HAVE_RUN, timed_out=True)
            pause = choose_read_pause(clock.now() - read_started_at)
            if pause:
                clock.sleep(pause)
            read_started_at = clock.now()
        if not reader.begun and not answer.is_event_stream:
            raise IncompleteAnswerError("the answer is not a stream of events")
        reader.finish(find_answer_end(self._tools, worker, answer, deadline))

    def _handle_error_status(
        self, run: _ItemRun, worker: WorkerEntry, answer: WorkerAnswer, max_runs: int
    ) -> float:
        _log_failed_attempt(
            run, worker, status=answer.status, not_run=answer.not_run, failures=run.failures
        )
        if answer.not_run and answer.is_wrong_worker:
            self._tools.admission.workers.note_replaced(worker.id)
        elif answer.status == _PERMANENT_FAILURE_STATUS:
            self._list_result(run, None, "the worker reported a permanent failure")
        elif answer.status == _RUN_FAILED_STATUS and not answer.not_run:
            run.failures += 1
            self._tools.admission.outcomes.note(worker.id, good=False)
            run.events = []
            if run.failures >= max_runs:
                self._list_result(run, None, f"failed {run.failures} times")
        run.excluded_workers = {worker.id}
        return _RETRY_SECONDS

    def _handle_failure(
        self,
        run: _ItemRun,
        worker: WorkerEntry,
        failure: WorkerFailure,
        interrupt: Interrupt,
        begun: bool,
    ) -> float:
        """Record a run that broke off; return the seconds before the next.

        :param begun: whether the worker had sent an event.
        """
        if interrupt.reason:
            log_event("item:left-slot", request_id=run.item.id, reason=interrupt.reason)
            return 0.0
        self._tools.admission.outcomes.note(worker.id, good=False)
        dead = not failure.timed_out and self._tools.worker_client.is_refused(worker)
        if begun:
            run.crashes = 0
        crashed = dead and not failure.unreachable and not begun
        if crashed:
            run.crashes += 1
        _log_failed_attempt(run, worker, reason=str(failure), begun=begun, crashes=run.crashes)
        if dead or failure.timed_out or failure.unreachable:
            self._tools.admission.workers.note_failure(worker.id, str(failure), failure.timed_out)
        run.excluded_workers = {worker.id}
        return choose_crash_pause(run.crashes) if crashed else 0.0

    def _list_result(self, run: _ItemRun, output: str | None, reason: str) -> None:
        """Write the result of an item, and repeat until it is listed or the job is stopped.

        A result whose output the object store refuses is listed later.
        """
        result = ItemResult(run.item.id, output)
        stored = self._store_output(result) if self._is_open(run) else None
        if stored is None and self._is_open(run):
            self._defer(run, result, reason)
            return
        # A commit of unknown outcome is repeated before any other, which would take its position.
        with self._commit_lock:
            while stored is not None and self._is_open(run) and not self._commit(stored):
                self._tools.clock.sleep(_COMMIT_RETRY_SECONDS)
        self._deferred.discard(run.item.id)
        if self._row.record.input_blob and not self._open_items:
            self._context.executor.submit(
                drop_object, self._tools.clock, self._context.blobs, self._row.record.input_blob
            )
        if output is not None:
            self._context.run_time.add(run.run_seconds or _INITIAL_RUN_SECONDS)
        late_seconds = self._tools.clock.now() - self._deadlines.due_at
        self._tools.metrics.observe_item_lateness(late_seconds)
        log_event(
            "item:listed" if not self._stopped else "item:dropped",
            request_id=run.item.id,
            job=self._row.record.job,
            completed=output is not None,
            reason=reason,
            late_seconds=round(late_seconds, 3),
        )

    def _defer(self, run: _ItemRun, result: ItemResult, reason: str) -> None:
        kept = self._deferred.add(result, reason)
        if not kept:
            run.events = []
        if self._stopped:
            self._deferred.clear()
        log_event(
            "item:deferred", request_id=run.item.id, job=self._row.record.job, output_kept=kept
        )

    def retry_deferred(self) -> None:
        """List deferred results in the background if it is time for that."""
        if self._deferred.due and not self.finished and not self._retry_lock.locked():
            self._context.executor.submit(self._list_deferred)

    def _list_deferred(self) -> None:
        """List deferred results one after the other until the store refuses an output again."""
        if not self._retry_lock.acquire(blocking=False):
            return
        try:
            while self._deferred.due and (found := self._deferred.first()) is not None:
                item, (result, reason, _) = found
                run = self._open_items.get(item)
                if run is None or result is None:
                    self._deferred.discard(item)
                    if run is not None:
                        self._submit(run)
                    continue
                self._list_result(run, result.output, reason)
        except Exception as error:
            log_event("item:deferred-error", job=self._row.record.job, error=repr(error))
        finally:
            self._retry_lock.release()

    def _store_output(self, result: ItemResult) -> ItemResult | None:
        """Move an output that does not fit in a row to an object; return None if that failed."""
        data = (result.output or "").encode()
        if fits_in_row(result.output or ""):
            return result
        name = name_output(self._row.record, result.id)
        written = store_object(self._context.blobs, name, data)
        if isinstance(written, Err):
            log_event("job:output-failed", request_id=result.id, error=str(written.err_value))
            return None
        self._deferred.note_stored()
        return result._replace(output="", output_blob=written.ok_value)

    def _is_open(self, run: _ItemRun) -> bool:
        return not self._stopped and run.item.id in self._open_items

    def _commit(self, result: ItemResult) -> bool:
        """Write a result at the next position; return False if the write must be repeated."""
        record, version = self._row
        position = self._listed_count
        last = len(self._open_items) == 1
        writes = [result_write(record.job, position, result)]
        if self._open_items[result.id].last_checkpoint is not None:
            writes.append(RowWrite(partial_key(record.job, result.id), None))
        if last:
            record = record._replace(state=DONE)
            writes += [job_write(record), *input_deletions(record.job, self._input_bytes)]
        expected = [
            RowPrecondition(job_key(record.job), version),
            RowPrecondition(result_key(record.job, position), 0),
        ]
        outcome = self._context.rows.commit(expected, writes)
        if isinstance(outcome, Err):
            if isinstance(outcome.err_value, ConditionFailed):
                return self._resolve_conflict(result, outcome.err_value)
            log_event("job:commit-failed", job=record.job, error=str(outcome.err_value))
            return False
        if last:
            self._row = JobRow(record, outcome.ok_value.version)
        self._record_listed(result)
        return True

    def _resolve_conflict(self, result: ItemResult, conflict: ConditionFailed) -> bool:
        """Handle a failed condition: an earlier attempt succeeded, or the job's row has changed.

        Returns False if the write must be repeated.
        """
        record = self._row.record
        found = read_results(self._context.rows, record.job)
        if isinstance(found, Err):
            return False
        listed = [parse_result(row) for row in found.ok_value.rows]
        if any(entry.id == result.id for entry in listed):
            self._listed_count = len(listed) - 1
            self._record_listed(result)
            return True
        self._listed_count = len(listed)
        self._follow_row(conflict)
        return self._stopped

    def _follow_row(self, conflict: ConditionFailed) -> None:
        """Adopt the job's row from a failed condition, or stop if the job is not run here now."""
        record = self._row.record
        for stored in conflict.rows:
            if stored.name != job_key(record.job):
                continue
            if stored.version == self._row.version:
                return
            try:
                row = parse_job(stored)
            except ValueError as error:
                log_event("job:undecodable", job=record.job, error=describe_error(error))
                break
            if row.record == record:
                # This daemon wrote the row again, when it took over a job that it already owned.
                self._row = row
                return
        self.stop("its row has changed")

    def _record_listed(self, result: ItemResult) -> None:
        with self._lock:
            self._listed_count += 1
            self._open_items.pop(result.id, None)
        self._tools.admission.send_report_soon()


def drop_object(clock: Clock, blobs: BlobStore, name: str) -> None:
    """Delete an object that is not needed any more; give up after some attempts."""
    for _ in range(_MAX_DROP_ATTEMPTS):
        dropped = blobs.drop(name)
        if not isinstance(dropped, Err):
            log_event("object:dropped", object=name)
            return
        log_event("object:drop-failed", object=name, error=str(dropped.err_value))
        clock.sleep(_DROP_RETRY_SECONDS)


def _log_run_end(
    run: _ItemRun,
    worker: WorkerEntry,
    answer: WorkerAnswer | None,
    events_before: int,
    interrupt: Interrupt,
) -> None:
    events = run.events[events_before:]
    log_event(
        "item:run-ended",
        request_id=run.item.id,
        worker=worker.id,
        framing=None if answer is None else answer.framing.value,
        first_event=events[0][0] if events else None,
        last_event=run.last_event,
        events=len(events),
        ended_here=interrupt.reason,
    )


def _log_failed_attempt(run: _ItemRun, worker: WorkerEntry, **fields: Any) -> None:
    log_event("item:attempt-failed", request_id=run.item.id, worker=worker.id, **fields)
