"""Runs the items of one job and lists their results.

Load patterns: batch work in the troughs of online traffic, and daemons that stop or die one
after the other or all at once. An item that gives its slot up keeps the events it has and
goes on after them at any worker. The events are also kept in the store from time to time,
so that the next owner of the job goes on from there.
"""

import threading
from collections.abc import Mapping
from concurrent.futures import Executor
from typing import NamedTuple

from result import Err

from trefoilreach._internal.coordination.jobs.records import (
    DONE,
    PIECE_BYTES,
    RESULT_TABLE,
    Item,
    ItemResult,
    JobRow,
    Partial,
    drop_input,
    find_part,
    job_key,
    key_range,
    partial_key,
    read_job,
    read_result,
    result_key,
    write_job,
    write_partial,
    write_result,
)
from trefoilreach._internal.coordination.serving.admission import Admission, SlotRequest, Ticket
from trefoilreach._internal.coordination.serving.board import Waiting, WorkerLoad
from trefoilreach._internal.coordination.serving.choice import choose_batch
from trefoilreach._internal.coordination.serving.crashes import find_fingerprint
from trefoilreach._internal.coordination.serving.link import (
    Call,
    Dispatch,
    WorkerAnswer,
    WorkerFailure,
)
from trefoilreach._internal.coordination.serving.request import ServingTools
from trefoilreach._internal.coordination.serving.turns import BatchNeed, rank_batch
from trefoilreach._internal.logs import log_decision, log_event
from trefoilreach._internal.protocol.event_stream import EventSplitter
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.rows import (
    BlobStore,
    ConditionFailed,
    Expectation,
    RowStore,
    RowWrite,
)
from trefoilreach._internal.state.serving import ServingRoute, WorkerEntry
from trefoilreach._internal.transport.http_client import Interrupt

# Expected length of a run before the first is known.
_FIRST_RUN_SECONDS = 5.0
_RUN_WEIGHT = 0.2
# Waits for a worker: a prompt that is read again takes up to 45 ms, a pause between events
# 20 ms; a slow worker takes eight times as long.
_FIRST_EVENT_SECONDS = 2.0
_STALL_SECONDS = 1.0
# Nobody reads an item's events before its end, so they are taken some at a time. A slot is
# given back this much later at most, 1 % of a run of 5 s on average.
_GATHER_SECONDS = 0.1
# A read that took longer has waited for the worker: what had come before is read.
_BLOCKED_SECONDS = 0.002
_RETRY_SECONDS = 0.3
_COMMIT_RETRY_SECONDS = 0.2
# How much work a lost daemon costs at most; a checkpoint of a job is one call.
_CHECKPOINT_SECONDS = 1.5
# A call holds 1 MB and 100 entries.
_PARTIALS_AT_ONCE = 15
_NEVER_DONE_STATUS = 422
_FAILED_STATUS = 500
_YIELDED = "an online request needs the slot"
_STOPPED = "the job is no longer run here"


def find_gather_pause(read_seconds: float) -> float:
    """Return for how long to let events of an item gather after a read.

    Load pattern: batch work in all slots that online requests leave, a thread that wakes for
    each event of each item, and a VM with half a core.
    """
    return _GATHER_SECONDS if read_seconds > _BLOCKED_SECONDS else 0.0


class JobTimes(NamedTuple):
    """Times of a job by the daemon's clock.

    :param due: when all results are due.
    :param keep: when an item may be given up.
    """

    due: float
    keep: float


class RunLength:
    """Mean length of an item's run, over the jobs of a daemon."""

    def __init__(self) -> None:
        self.seconds = _FIRST_RUN_SECONDS

    def note(self, seconds: float) -> None:
        """Take a run into the mean."""
        self.seconds += _RUN_WEIGHT * (seconds - self.seconds)


class JobWorld(NamedTuple):
    """What the runs of all jobs share."""

    tools: ServingTools
    rows: RowStore
    blobs: BlobStore
    executor: Executor
    length: RunLength


class _ItemRun:
    """Progress of one item.

    :param begun: events that an earlier owner of the job had received.
    """

    def __init__(self, item: Item, begun: Partial | None) -> None:
        self.item = item
        # Number and data of each event; replaced as a whole, appended by one thread.
        self.events: list[tuple[int | None, bytes]] = []
        if begun is not None and begun.last_event is not None:
            self.events = [(begun.last_event, begun.output.encode())]
        self.failures = 0 if begun is None else begun.failures
        self.saved = begun
        self.run_seconds = 0.0
        self.avoid: set[str] = set()
        self.ticket: Ticket | None = None
        self.interrupt: Interrupt | None = None

    @property
    def last_event(self) -> int | None:
        """Number of the last event."""
        return self.events[-1][0] if self.events else None

    @property
    def output(self) -> str:
        """Data of all events."""
        return _join(self.events)

    def snapshot(self) -> Partial | None:
        """Return the events so far; None when there is nothing new to keep."""
        events = list(self.events)
        last = events[-1][0] if events else None
        before = (None, 0) if self.saved is None else (self.saved.last_event, self.saved.failures)
        if (last, self.failures) == before:
            return None
        return Partial(self.item.id, last, _join(events), self.failures)

    def end(self, admission: Admission) -> None:
        """End the item's wait or its run here."""
        if self.ticket is not None:
            admission.withdraw(self.ticket)
        if self.interrupt is not None:
            self.interrupt.fire(_STOPPED)


def _join(events: list[tuple[int | None, bytes]]) -> str:
    return b"\n".join(data for _, data in events).decode(errors="replace")


class JobRun:
    """One job that this daemon owns."""

    def __init__(
        self,
        world: JobWorld,
        row: JobRow,
        route: ServingRoute,
        times: JobTimes,
        items: list[Item],
        listed: list[ItemResult],
        partials: Mapping[str, Partial],
        input_bytes: int,
    ) -> None:
        self._world = world
        self._tools = world.tools
        self._row = row
        self._route = route
        self._times = times
        self._input_bytes = input_bytes
        self._lock = threading.RLock()
        self._commit_lock = threading.Lock()
        self._results = len(listed)
        done = {result.id for result in listed}
        self._open = {
            item.id: _ItemRun(item, partials.get(item.id)) for item in items if item.id not in done
        }
        self._checkpoint_at = world.tools.clock.now()
        self._stopped = False
        self._taking = True

    @property
    def row(self) -> JobRow:
        """The job's row as last written."""
        return self._row

    @property
    def results(self) -> int:
        """Number of listed results."""
        return self._results

    @property
    def finished(self) -> bool:
        """Whether nothing is left to do here."""
        return self._stopped or not self._open

    @property
    def running(self) -> int:
        """Items that hold a slot."""
        with self._lock:
            return sum(run.interrupt is not None for run in self._open.values())

    def start(self) -> None:
        """Let all open items wait for slots."""
        tickets = [self._make_ticket(run) for run in list(self._open.values())]
        self._tools.admission.submit(*[ticket for ticket in tickets if ticket is not None])

    def save_progress(self) -> None:
        """Keep the events of running items in the store, from time to time."""
        now = self._tools.clock.now()
        if now - self._checkpoint_at < _CHECKPOINT_SECONDS or self.finished:
            return
        self._checkpoint_at = now
        self._world.executor.submit(self._checkpoint, self._row.record.owner)

    def suspend(self) -> None:
        """End the runs of items and begin no other."""
        with self._lock:
            self._taking = False
            runs = list(self._open.values())
        for run in runs:
            run.end(self._tools.admission)

    def hand_over(self) -> bool:
        """Give a suspended job to whoever takes it; return whether that is settled."""
        if self.finished:
            return True
        done = self._checkpoint("")
        if done:
            self.stop("handed over")
        return done

    def _checkpoint(self, owner: str) -> bool:
        """Write the events so far, and the owner; return whether that is settled."""
        with self._commit_lock:
            record, version = self._row
            found = [(run, run.snapshot()) for run in list(self._open.values())]
            kept = [(run, partial) for run, partial in found if partial is not None]
            kept = [(run, p) for run, p in kept if len(p.output) <= PIECE_BYTES][:_PARTIALS_AT_ONCE]
            writes = [write_partial(record.job, partial) for _, partial in kept]
            if owner != record.owner:
                record = record._replace(owner=owner)
                writes.append(write_job(record))
            if not writes or self._stopped:
                return True
            expected = [Expectation(job_key(record.job), version)]
            outcome = self._world.rows.commit(expected, writes)
            if isinstance(outcome, Err):
                log_event("job:checkpoint-failed", job=record.job, error=str(outcome.err_value))
                return isinstance(outcome.err_value, ConditionFailed)
            if owner != self._row.record.owner:
                self._row = JobRow(record, outcome.ok_value.version)
            for run, partial in kept:
                run.saved = partial
        return True

    def stop(self, reason: str) -> None:
        """End all runs; the job goes on elsewhere or has ended."""
        with self._lock:
            if self._stopped:
                return
            self._stopped = True
            open_items = len(self._open)
        log_event("job:stopped", job=self._row.record.job, reason=reason, open_items=open_items)
        self.suspend()

    def give_up_old(self, now: float) -> None:
        """List the items that were kept for as long as the route says."""
        if now < self._times.keep or self._stopped:
            return
        for run in list(self._open.values()):
            run.end(self._tools.admission)
            self._finish(run, None, "kept for its whole time")

    def _submit(self, run: _ItemRun) -> None:
        ticket = self._make_ticket(run)
        if ticket is not None:
            self._tools.admission.submit(ticket)

    def _make_ticket(self, run: _ItemRun) -> Ticket | None:
        """Return the ticket of an item's next run, or None when it is not to run."""
        if self._stopped or not self._taking or run.item.id not in self._open:
            return None
        item = run.item
        account = self._row.record.account
        if self._tools.crashes.is_blocked(find_fingerprint(account, item.target, item.body)):
            log_event("item:held", request_id=item.id, reason="it crashed the workers that ran it")
            return None
        run.ticket = Ticket(
            SlotRequest(
                service=self._route.pick_service(item.id),
                request_id=item.id,
                rank=lambda now: self._rank(run, now),
                choose=lambda loads: self._choose(run, loads),
                granted=lambda worker: self._grant(run, worker),
                yields=lambda: self._yield(run),
            )
        )
        return run.ticket

    def _release(self, run: _ItemRun) -> None:
        """Give the slot of an item back; its result may take longer to list."""
        ticket, run.ticket = run.ticket, None
        if ticket is not None:
            self._tools.admission.release(ticket)

    def _rank(self, run: _ItemRun, now: float) -> Waiting:
        left = max(0.0, self._world.length.seconds - run.run_seconds)
        return rank_batch(BatchNeed(self._times.due, left), now)

    def _choose(self, run: _ItemRun, loads: list[WorkerLoad]) -> str | None:
        chosen = choose_batch(loads, run.avoid)
        if chosen is None and run.avoid:
            chosen = choose_batch(loads)
        return chosen

    def _grant(self, run: _ItemRun, worker: str) -> None:
        run.interrupt = Interrupt()
        self._world.executor.submit(self._run_item, run, worker, run.interrupt)

    def _yield(self, run: _ItemRun) -> None:
        interrupt = run.interrupt
        if interrupt is not None:
            interrupt.fire(_YIELDED)

    def _run_item(self, run: _ItemRun, worker_id: str, interrupt: Interrupt) -> None:
        clock = self._tools.clock
        begun = clock.now()
        worker = self._tools.admission.workers.find(worker_id)
        pause = 0.0
        try:
            if worker is None:
                pause = _RETRY_SECONDS
            else:
                log_decision(
                    "batch",
                    worker_id,
                    "free slot",
                    request_id=run.item.id,
                    job=self._row.record.job,
                    after_event=run.last_event,
                    due_in=round(self._times.due - begun, 3),
                )
                pause = self._try_item(run, worker, interrupt)
        except Exception as error:
            log_event("item:error", request_id=run.item.id, error=repr(error))
            pause = _RETRY_SECONDS
        finally:
            run.run_seconds += clock.now() - begun
            run.interrupt = None
            self._release(run)
        if run.item.id in self._open and not self._stopped:
            if pause:
                clock.sleep(pause)
            self._submit(run)

    def _try_item(self, run: _ItemRun, worker: WorkerEntry, interrupt: Interrupt) -> float:
        """Run an item until its end, a failure or a yield; return the pause before another."""
        item, record = run.item, self._row.record
        call = Call(item.id, "POST", item.target, self._route.host, item.headers, item.body)
        left = max(1.0, self._times.keep - self._tools.clock.now())
        dispatch = Dispatch(call, worker, record.account, left, run.last_event)
        answer: WorkerAnswer | None = None
        try:
            answer = self._tools.link.open(dispatch, _FIRST_EVENT_SECONDS, interrupt)
            if answer.status == 200 and answer.receipt:
                self._tools.admission.workers.note_answer(worker.id)
                self._read_events(run, worker, answer)
                answer.close()
                self._release(run)
                self._tools.admission.outcomes.note(worker.id, good=True)
                self._finish(run, run.output, "complete")
                return 0.0
            return self._judge_status(run, worker, answer)
        except WorkerFailure as failure:
            return self._judge_failure(run, worker, failure, interrupt)
        finally:
            if answer is not None:
                answer.close()

    def _read_events(self, run: _ItemRun, worker: WorkerEntry, answer: WorkerAnswer) -> None:
        clock, splitter = self._tools.clock, EventSplitter()
        begun = clock.now()
        while data := answer.read_some(_STALL_SECONDS):
            self._tools.admission.workers.note_alive(worker.id)
            for event in splitter.feed(data):
                run.events.append((event.id, event.data))
            pause = find_gather_pause(clock.now() - begun)
            if pause:
                clock.sleep(pause)
            begun = clock.now()
        if splitter.rest or not run.events:
            raise WorkerFailure("the stream ended early", Verdict.MAY_HAVE_RUN)

    def _judge_status(self, run: _ItemRun, worker: WorkerEntry, answer: WorkerAnswer) -> float:
        log_event(
            "item:attempt-failed",
            request_id=run.item.id,
            worker=worker.id,
            status=answer.status,
            not_run=answer.not_run,
            failures=run.failures,
        )
        if answer.status == _NEVER_DONE_STATUS:
            self._finish(run, None, "the worker says it can never be done")
        elif answer.status == _FAILED_STATUS and not answer.not_run:
            run.failures += 1
            self._tools.admission.outcomes.note(worker.id, good=False)
            run.events = []
            if run.failures >= self._route.max_runs:
                self._finish(run, None, f"failed {run.failures} times")
        run.avoid = {worker.id}
        return _RETRY_SECONDS

    def _judge_failure(
        self, run: _ItemRun, worker: WorkerEntry, failure: WorkerFailure, interrupt: Interrupt
    ) -> float:
        if interrupt.reason:
            log_event("item:left-slot", request_id=run.item.id, reason=interrupt.reason)
            return 0.0
        log_event(
            "item:attempt-failed", request_id=run.item.id, worker=worker.id, reason=str(failure)
        )
        self._tools.admission.outcomes.note(worker.id, good=False)
        dead = not failure.silent and self._tools.link.is_dead(worker)
        if dead and not failure.unreachable:
            fingerprint = find_fingerprint(self._row.record.account, run.item.target, run.item.body)
            self._tools.crashes.note(fingerprint, f"{worker.id}/{worker.started_ms}", run.item.id)
        if dead or failure.silent or failure.unreachable:
            self._tools.admission.workers.note_failure(worker.id, str(failure), failure.silent)
        run.avoid = {worker.id}
        return 0.0

    def _finish(self, run: _ItemRun, output: str | None, reason: str) -> None:
        """List the result of an item, once."""
        result = ItemResult(run.item.id, output)
        with self._commit_lock:
            while run.item.id in self._open and not self._stopped:
                stored = self._store_output(result)
                if stored is not None and self._commit(stored):
                    break
                self._tools.clock.sleep(_COMMIT_RETRY_SECONDS)
        if output is not None:
            self._world.length.note(run.run_seconds or _FIRST_RUN_SECONDS)
        late = self._tools.clock.now() - self._times.due
        self._tools.metrics.note_item(late)
        log_event(
            "item:listed" if not self._stopped else "item:dropped",
            request_id=run.item.id,
            job=self._row.record.job,
            completed=output is not None,
            reason=reason,
            late_seconds=round(late, 3),
        )

    def _store_output(self, result: ItemResult) -> ItemResult | None:
        """Write an output that does not fit in a row; return None when the store did not."""
        data = (result.output or "").encode()
        if len(data) <= PIECE_BYTES:
            return result
        name = f"output-{self._row.record.job}-{result.id}"
        written = self._world.blobs.put(name, data)
        if isinstance(written, Err):
            log_event("job:output-failed", request_id=result.id, error=str(written.err_value))
            return None
        return result._replace(output="", output_blob=name)

    def _commit(self, result: ItemResult) -> bool:
        """Write one result at the next position; return whether that is settled."""
        record, version = self._row
        position = self._results
        last = len(self._open) == 1
        writes = [write_result(record.job, position, result)]
        if self._open[result.id].saved is not None:
            writes.append(RowWrite(partial_key(record.job, result.id), None))
        if last:
            record = record._replace(state=DONE)
            writes += [write_job(record), *drop_input(record.job, self._input_bytes)]
        expected = [
            Expectation(job_key(record.job), version),
            Expectation(result_key(record.job, position), 0),
        ]
        outcome = self._world.rows.commit(expected, writes)
        if isinstance(outcome, Err):
            if isinstance(outcome.err_value, ConditionFailed):
                return self._settle_conflict(result, outcome.err_value)
            log_event("job:commit-failed", job=record.job, error=str(outcome.err_value))
            return False
        if last:
            self._row = JobRow(record, outcome.ok_value.version)
        self._note_listed(result)
        return True

    def _settle_conflict(self, result: ItemResult, conflict: ConditionFailed) -> bool:
        """Find out whether an earlier try wrote the result, or the job has another owner."""
        record = self._row.record
        for stored in conflict.rows:
            if stored.name == job_key(record.job) and read_job(stored).record == record:
                # Written again by this daemon, which takes its own jobs at a restart.
                self._row = JobRow(record, stored.version)
        found = self._world.rows.read(RESULT_TABLE, find_part(record.job), *key_range(record.job))
        if isinstance(found, Err):
            return False
        listed = [read_result(row) for row in found.ok_value.rows]
        if any(entry.id == result.id for entry in listed):
            self._results = len(listed) - 1
            self._note_listed(result)
            return True
        if len(listed) == self._results and not self._is_current(conflict):
            # The positions agree, so the job's row has changed: another owner, or its end.
            self.stop("its row has changed")
            return True
        self._results = len(listed)
        return False

    def _is_current(self, conflict: ConditionFailed) -> bool:
        """Return whether the job's row is the one that this run knows."""
        name = job_key(self._row.record.job)
        return any(row.name == name and row.version == self._row.version for row in conflict.rows)

    def _note_listed(self, result: ItemResult) -> None:
        with self._lock:
            self._results += 1
            self._open.pop(result.id, None)
        self._tools.admission.wake()
