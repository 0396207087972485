"""Fills idle slots of this daemon's workers with items of its chunks, and yields to online."""

import threading
import uuid
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import NamedTuple

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch_held import (
    HeldChunk,
    ItemTask,
    error_line,
    output_line,
)
from trefoilreach._internal.coordination.batch_items import (
    CLIENT_ERROR_STATUSES,
    Attempt,
    Ending,
    ItemRunner,
    Pace,
    StreamHandle,
)
from trefoilreach._internal.coordination.batch_share import WorkerShare, find_targets
from trefoilreach._internal.coordination.batch_turns import FairTurns
from trefoilreach._internal.coordination.config_view import ConfigHolder
from trefoilreach._internal.coordination.crash_guard import (
    CrashGuard,
    Standing,
    TrialBusy,
    find_fingerprint,
)
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.jobs import OpenJob
from trefoilreach._internal.transport.engine import Engine

_TICK_SECONDS = 0.1
# Failed attempts that the item may have caused, after which it ends as an error.
_ATTEMPT_LIMIT = 4
_RETRY_SECONDS = 0.5
_STREAM_THREADS = 512
_CANCEL_THREADS = 8
_TOKEN_TIMEOUT_FACTOR = 10.0
_SHORTEST_TOKEN_TIMEOUT_SECONDS = 2.0
_LONGEST_TOKEN_TIMEOUT_SECONDS = 30.0


class OnlineNotice(NamedTuple):
    """Online requests that go to a worker now."""

    worker: str
    requests: int


class BatchFeed:
    """Owns the held chunks and the shares of the workers that this daemon sends to.

    :param on_change: called, without the lock, when a chunk needs the store.
    """

    def __init__(
        self,
        clock: Clock,
        engine: Engine,
        config: ConfigHolder,
        load_interval: float,
        yielding: bool,
        on_change: Callable[[], None],
    ) -> None:
        self.guard: CrashGuard | None = None
        self.note_batch: Callable[[str, int], None] = lambda worker, count: None
        self.is_held: Callable[[str, str], bool] = lambda worker, model: False
        self._clock = clock
        self._engine = engine
        self._config = config
        self._load_interval = load_interval
        self._yielding = yielding
        self._on_change = on_change
        self._items = ItemRunner(clock, engine)
        self._turns = FairTurns()
        self._changed = threading.Condition()
        self._shares: dict[str, WorkerShare] = {}
        self._held: dict[str, HeldChunk] = {}
        self._handles: dict[str, StreamHandle] = {}
        self._delayed: list[ItemTask] = []
        self._signalled = False
        self._notices: list[OnlineNotice] = []
        self._stopped = threading.Event()
        self._streams = ThreadPoolExecutor(_STREAM_THREADS, "batch-item")
        self._cancels = ThreadPoolExecutor(_CANCEL_THREADS, "batch-cancel")

    @property
    def lock(self) -> threading.Condition:
        """Guards the held chunks, their tasks and the shares."""
        return self._changed

    @property
    def turns(self) -> FairTurns:
        """Fair turns of the accounts; guarded by the lock."""
        return self._turns

    @property
    def held(self) -> dict[str, HeldChunk]:
        """Held chunks by key; guarded by the lock."""
        return self._held

    def start(self, stack: ExitStack) -> None:
        """Run until the exit stack closes."""
        stack.callback(self._close)
        threading.Thread(target=self._run, name="batch-feed", daemon=True).start()
        threading.Thread(target=self._poll_loads, name="batch-load", daemon=True).start()

    def set_workers(self, servers: Sequence[Server]) -> None:
        """Send batch work to these workers from now on; streams elsewhere run to their end."""
        view, now = self._config.view, self._clock.now()
        with self._changed:
            shares: dict[str, WorkerShare] = {}
            for server in servers:
                share = self._shares.get(server.name)
                if share is None or share.server != server:
                    targets = find_targets(server, view)
                    share = WorkerShare(server, targets, now, self._yielding)
                shares[server.name] = share
            self._shares = shares
            self._signal()

    def capacity(self) -> dict[str, int]:
        """Return the slots of the workers that are up, by model."""
        slots: dict[str, int] = {}
        now = self._clock.now()
        with self._changed:
            for share in self._shares.values():
                for model in share.server.routes if share.is_up(now) else ():
                    if self._can_run(share, model):
                        slots[model] = slots.get(model, 0) + share.server.slots
        return slots

    def add(self, held: HeldChunk) -> None:
        """Begin to run a claimed chunk."""
        with self._changed:
            self._held[held.key] = held
            self._signal()

    def set_urgent(self, is_urgent: Callable[[OpenJob], bool]) -> None:
        """Raise the share of workers that serve a job which would miss its deadline."""
        with self._changed:
            models = {held.model for held in self._held.values() if is_urgent(held.job)}
            for share in self._shares.values():
                share.urgent = not models.isdisjoint(share.server.routes)

    def remove(self, held: HeldChunk) -> None:
        """Forget a chunk that was finished, given back or lost."""
        with self._changed:
            self._held.pop(held.key, None)

    def stop_chunks(self, wanted: Callable[[HeldChunk], bool], ending: str) -> None:
        """Start no further item of some chunks and cancel those that run.

        :param ending: ``done`` for a cancelled job, ``free`` to give the chunks back.
        """
        with self._changed:
            handles = []
            for held in self._held.values():
                if not held.ending and wanted(held):
                    held.ending = ending
                    handles += self._handles_of(held)
        self._cancel(handles)
        if handles:
            self._on_change()

    def note_saved(self, tasks: Sequence[ItemTask]) -> None:
        """Let suspects run alone, or end, whose counts are in their chunk's row now."""
        with self._changed:
            for task in tasks:
                task.held.note_saved(task)
            self._signal()

    def note_online(self, worker: str, count: int = 1) -> int:
        """Make way for online requests; returns at once.

        :returns: batch items that the worker's load reports count, 0 unless this daemon
            sends them.
        """
        with self._changed:
            share = self._shares.get(worker)
            if share is None:
                return 0
            self._notices.append(OnlineNotice(worker, count))
            self._signal()
            return share.reported_batch()

    def _close(self) -> None:
        self._stopped.set()
        with self._changed:
            self._signal()
        self._streams.shutdown(wait=False, cancel_futures=True)
        self._cancels.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.is_set():
            with self._changed:
                cancelled = self._take_notices()
                started = self._assign()
            self._cancel(cancelled)
            for share, handle in started:
                self._streams.submit(self._run_item, share, handle)
            with self._changed:
                self._clock.wait_for(self._changed, self._take_signal, _TICK_SECONDS)

    def _signal(self) -> None:
        self._signalled = True
        self._changed.notify_all()

    def _take_signal(self) -> bool:
        signalled, self._signalled = self._signalled, False
        return signalled

    def _take_notices(self) -> list[StreamHandle]:
        notices, self._notices = self._notices, []
        handles: list[StreamHandle] = []
        now = self._clock.now()
        for notice in notices:
            share = self._shares.get(notice.worker)
            for handle in share.note_online(notice.requests, now) if share else ():
                handle.cancel()
                handles.append(handle)
        return handles

    def _assign(self) -> list[tuple[WorkerShare, StreamHandle]]:
        now = self._clock.now()
        self._requeue_delayed(now)
        started: list[tuple[WorkerShare, StreamHandle]] = []
        for share in self._shares.values():
            share.adjust(now)
            self.note_batch(share.server.name, share.reported_batch())
        self._choose_trial_workers()
        for share in self._shares.values():
            task = self._start_trial(share, now)
            while task is not None or share.room(now) > 0:
                task = task or self._pick(share)
                if task is None:
                    break
                started.append((share, self._start(share, task, now)))
                task = None
        return started

    def _start(self, share: WorkerShare, task: ItemTask, now: float) -> StreamHandle:
        handle = StreamHandle(task, f"batch-{uuid.uuid4().hex}", share.server)
        share.start(handle, now)
        self._handles[handle.request_id] = handle
        task.held.running.add(task)
        return handle

    def _requeue_delayed(self, now: float) -> None:
        due = [task for task in self._delayed if task.not_before <= now]
        for task in due:
            self._delayed.remove(task)
            task.held.put_back(task)

    def _pick(self, share: WorkerShare) -> ItemTask | None:
        """Take the next item that the worker can serve, fair between accounts."""
        ready: dict[str, list[HeldChunk]] = {}
        for held in self._held.values():
            if held.todo and not held.ending and self._can_run(share, held.model):
                ready.setdefault(held.job.account, []).append(held)
        if not ready:
            return None
        account = self._turns.order(ready)[0]
        held = min(ready[account], key=lambda entry: (entry.job.deadline, entry.key))
        self._turns.charge(account, 1, self._rate(account))
        return held.todo.popleft()

    def _can_run(self, share: WorkerShare, model: str) -> bool:
        return share.carries(model) and not self.is_held(share.server.name, model)

    def _rate(self, account: str) -> float:
        found = self._config.view.accounts.get(account)
        return found.rate if found is not None else 1.0

    def _choose_trial_workers(self) -> None:
        """Drain one worker for each model with suspects, which run alone."""
        models = {held.model for held in self._held.values() if held.suspects and not held.ending}
        now = self._clock.now()
        for share in self._shares.values():
            able_to_try = any(self._can_run(share, model) for model in models)
            share.draining = share.draining and able_to_try
        for model in models:
            able = [share for share in self._shares.values() if self._can_run(share, model)]
            if any(share.trial or share.draining for share in able):
                continue
            up = [share for share in able if share.is_up(now)]
            if up:
                min(up, key=lambda share: len(share.streams)).draining = True

    def _start_trial(self, share: WorkerShare, now: float) -> ItemTask | None:
        if not share.draining or share.streams or not share.is_up(now):
            return None
        for held in self._held.values():
            if held.suspects and not held.ending and self._can_run(share, held.model):
                share.draining, share.trial = False, True
                return held.suspects.popleft()
        return None

    def _run_item(self, share: WorkerShare, handle: StreamHandle) -> None:
        held = handle.task.held
        try:
            attempt = self._attempt(share, handle)
        except Exception as error:
            log_event("batch:item-error", chunk=held.key, error=repr(error))
            attempt = Attempt(Ending.FAILED, handle.task.text, message=repr(error))
        with self._changed:
            self._settle(share, handle, attempt)
            wake = held.settled or bool(held.unsaved)
            self._signal()
        if wake:
            self._on_change()

    def _attempt(self, share: WorkerShare, handle: StreamHandle) -> Attempt:
        """Run one attempt, unless the crash guard of the fleet stands against it."""
        task, endpoint = handle.task, handle.task.held.job.endpoint
        timeout = self._token_timeout(share)
        pace = Pace(share.note_first_token, share.note_interval)
        if self.guard is None:
            return self._items.run(handle, endpoint, share.instance, timeout, pace)
        fingerprint = find_fingerprint(task.held.job.account, endpoint, task.item.body)
        if not task.alone and self.guard.check(fingerprint) is Standing.SUSPECT:
            task.alone = True
            return Attempt(Ending.BUSY, task.text)
        begun = self.guard.begin(fingerprint, share.server.name)
        if isinstance(begun, Err):
            return _refuse_attempt(begun.err_value, task)
        attempt = self._items.run(handle, endpoint, share.instance, timeout, pace)
        if attempt.ending is Ending.CRASHED:
            self.guard.worker_died(share.server.name)
        self.guard.end(begun.ok_value, attempt.ending in (Ending.COMPLETED, Ending.REFUSED))
        return attempt

    def _token_timeout(self, share: WorkerShare) -> float:
        seconds = share.targets.token_interval * _TOKEN_TIMEOUT_FACTOR
        longest = min(seconds, _LONGEST_TOKEN_TIMEOUT_SECONDS)
        return max(longest, _SHORTEST_TOKEN_TIMEOUT_SECONDS)

    def _settle(self, share: WorkerShare, handle: StreamHandle, attempt: Attempt) -> None:
        task = handle.task
        now = self._clock.now()
        share.end(handle, now)
        share.trial = False
        self._handles.pop(handle.request_id, None)
        task.held.running.discard(task)
        if attempt.ending is Ending.COMPLETED and attempt.body is not None:
            task.held.finish(task, output_line(task.item, handle.request_id, attempt.body))
        elif attempt.ending is Ending.REFUSED:
            line = error_line(task.item, attempt.status, "invalid_request", attempt.message)
            task.held.finish(task, line)
        elif attempt.ending is Ending.CRASHED:
            self._settle_crash(share, task, now)
        elif attempt.ending is Ending.FAILED:
            self._settle_failure(task, attempt, now)
        elif attempt.ending is Ending.LOST:
            share.note_down(now)
            task.alone = True
            self._settle_failure(task, attempt, now)
        else:
            if attempt.ending is Ending.UNREACHABLE:
                share.note_down(now)
            self._put_back(task, attempt, now)

    def _settle_crash(self, share: WorkerShare, task: ItemTask, now: float) -> None:
        share.note_down(now)
        task.held.note_crash(task)
        log_event("batch:crash", chunk=task.held.key, item=task.index, crashes=task.crashes)

    def _settle_failure(self, task: ItemTask, attempt: Attempt, now: float) -> None:
        if len(attempt.text) > len(task.text):
            task.attempts = 0
        task.attempts += 1
        if task.attempts < _ATTEMPT_LIMIT:
            self._put_back(task, attempt, now)
            return
        message = f"{_ATTEMPT_LIMIT} attempts failed, the last with: {attempt.message}"
        task.held.finish(task, error_line(task.item, 502, "server_failed", message))

    def _put_back(self, task: ItemTask, attempt: Attempt, now: float) -> None:
        task.text = attempt.text
        if attempt.ending is Ending.YIELDED:
            task.held.put_back(task)
            return
        task.not_before = now + _RETRY_SECONDS
        self._delayed.append(task)

    def _handles_of(self, held: HeldChunk) -> list[StreamHandle]:
        handles = [handle for handle in self._handles.values() if handle.task.held is held]
        for handle in handles:
            handle.cancel()
        return handles

    def _cancel(self, handles: Sequence[StreamHandle]) -> None:
        if self._stopped.is_set():
            return
        for handle in handles:
            self._cancels.submit(self._engine.cancel, handle.server, handle.request_id)

    def _poll_loads(self) -> None:
        while not self._stopped.is_set():
            with self._changed:
                shares = list(self._shares.values())
            for share in shares:
                self._poll_load(share)
            self._clock.wait(self._stopped, self._load_interval)

    def _poll_load(self, share: WorkerShare) -> None:
        report = self._engine.load(share.server)
        now = self._clock.now()
        with self._changed:
            if isinstance(report, Err):
                share.note_down(now)
            else:
                share.note_report(report.ok_value, now)
            self._signal()


def _refuse_attempt(error: Refusal | TrialBusy, task: ItemTask) -> Attempt:
    if isinstance(error, Refusal) and error.status in CLIENT_ERROR_STATUSES:
        return Attempt(Ending.REFUSED, task.text, status=error.status, message=error.message)
    return Attempt(Ending.BUSY, task.text)
