"""Runs items of held chunks on idle slots of workers; online requests preempt them."""

import threading
import uuid
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import NamedTuple

from result import Err, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.attempts import ItemAttempts
from trefoilreach._internal.coordination.batch.fair_queue import FairQueue
from trefoilreach._internal.coordination.batch.held_chunk import HeldChunk, ItemTask
from trefoilreach._internal.coordination.batch.item_runner import Attempt, Ending, StreamHandle
from trefoilreach._internal.coordination.batch.outcomes import OutcomeHandler
from trefoilreach._internal.coordination.batch.trials import choose_trial_workers, take_suspect
from trefoilreach._internal.coordination.batch.worker_limit import (
    WorkerBatchLimit,
    find_latency_targets,
)
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.jobs import OpenJob
from trefoilreach._internal.transport.engine import Engine, EngineError, LoadReport

_TICK_SECONDS = 0.1
_STREAM_THREADS = 512
_CANCEL_THREADS = 8


class OnlineNotice(NamedTuple):
    """A number of online requests that go to a worker now."""

    worker: str
    requests: int


class BatchScheduler:
    """Schedules items of the held chunks on the workers that this daemon sends batch work to.

    :param on_change: called, without the lock, when a chunk's row or result must be written.
    """

    def __init__(
        self,
        clock: Clock,
        engine: Engine,
        config: ActiveConfig,
        yielding: bool,
        on_change: Callable[[], None],
    ) -> None:
        self.record_batch_count: Callable[[str, int], None] = lambda worker, count: None
        self.is_on_hold: Callable[[str, str], bool] = lambda worker, model: False
        self._clock = clock
        self._engine = engine
        self._config = config
        self._yielding = yielding
        self._on_change = on_change
        self.attempt_runner = ItemAttempts(clock, engine)
        self._fair_queue = FairQueue()
        self._changed = threading.Condition()
        self._shares_by_worker: dict[str, WorkerBatchLimit] = {}
        self._held: dict[str, HeldChunk] = {}
        self._handles: dict[str, StreamHandle] = {}
        self._outcome_handler = OutcomeHandler(clock)
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
    def fair_queue(self) -> FairQueue:
        """Fair queue of the accounts; guarded by the lock."""
        return self._fair_queue

    @property
    def held(self) -> dict[str, HeldChunk]:
        """Held chunks by row key; guarded by the lock."""
        return self._held

    def start(self, stack: ExitStack) -> None:
        """Run until the exit stack closes."""
        stack.callback(self._close)
        threading.Thread(target=self._run, name="batch-feed", daemon=True).start()

    def set_workers(self, servers: Sequence[Server]) -> None:
        """Send batch work to these workers from now on; running streams elsewhere may finish."""
        view, now = self._config.view, self._clock.now()
        with self._changed:
            shares: dict[str, WorkerBatchLimit] = {}
            for server in servers:
                share = self._shares_by_worker.get(server.name)
                if share is None or share.server != server:
                    targets = find_latency_targets(server, view)
                    share = WorkerBatchLimit(server, targets, now, self._yielding)
                shares[server.name] = share
            self._shares_by_worker = shares
            self._signal()

    def polled_servers(self) -> list[Server]:
        """Return the workers whose load reports the shares need."""
        with self._changed:
            return [share.server for share in self._shares_by_worker.values()]

    def record_load_report(self, server: Server, reply: Result[LoadReport, EngineError]) -> None:
        """Record a load report of a worker, or its failure to give one."""
        now = self._clock.now()
        with self._changed:
            share = self._shares_by_worker.get(server.name)
            if share is None or share.server != server:
                return
            if isinstance(reply, Err):
                share.mark_down(now)
            else:
                share.record_load_report(reply.ok_value, now)
            self._signal()

    def capacity(self) -> dict[str, int]:
        """Return the slots of the workers that are up, by model."""
        slots: dict[str, int] = {}
        now = self._clock.now()
        with self._changed:
            for share in self._shares_by_worker.values():
                for model in share.server.routes if share.is_up(now) else ():
                    if self._can_run(share, model):
                        slots[model] = slots.get(model, 0) + share.server.slots
        return slots

    def add(self, held: HeldChunk) -> None:
        """Start to run the items of a claimed chunk."""
        with self._changed:
            self._held[held.key] = held
            self._signal()

    def set_urgent(self, is_urgent: Callable[[OpenJob], bool]) -> None:
        """Let batch work use the reserved slots of workers where a job would miss its deadline."""
        with self._changed:
            models = {held.model for held in self._held.values() if is_urgent(held.job)}
            for share in self._shares_by_worker.values():
                share.urgent = not models.isdisjoint(share.server.routes)

    def remove(self, held: HeldChunk) -> None:
        """Remove a chunk that was finished, released or lost."""
        with self._changed:
            self._held.pop(held.key, None)

    def stop_chunks(self, wanted: Callable[[HeldChunk], bool], stop_state: str) -> None:
        """Start no further items of the wanted chunks and cancel those that run.

        :param stop_state: ``done`` for a cancelled job, ``free`` to release the chunks.
        """
        with self._changed:
            handles = []
            for held in self._held.values():
                if not held.stop_state and wanted(held):
                    held.stop_state = stop_state
                    handles += self._mark_cancelled(held)
        self._cancel(handles)
        if handles:
            self._on_change()

    def queue_saved_suspects(self, tasks: Sequence[ItemTask]) -> None:
        """Queue suspects to run isolated, or end them, now that their crash counts are stored."""
        with self._changed:
            for task in tasks:
                task.held.queue_saved_suspect(task)
            self._signal()

    def announce_online(self, worker: str, count: int = 1) -> int:
        """Announce online requests, which preempt batch items; returns at once.

        :returns: the number of batch items in the worker's last load report; 0 when this
            daemon is not the worker's sender.
        """
        with self._changed:
            share = self._shares_by_worker.get(worker)
            if share is None:
                return 0
            self._notices.append(OnlineNotice(worker, count))
            if self._handles:
                # Without running batch items, nothing has to be preempted before the next tick.
                self._signal()
            return share.reported_batch_streams()

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
                started = self._assign_items()
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
            share = self._shares_by_worker.get(notice.worker)
            for handle in share.preempt_for_online(notice.requests, now) if share else ():
                handle.cancel()
                handles.append(handle)
        return handles

    def _assign_items(self) -> list[tuple[WorkerBatchLimit, StreamHandle]]:
        now = self._clock.now()
        self._outcome_handler.requeue_delayed(now)
        started: list[tuple[WorkerBatchLimit, StreamHandle]] = []
        for share in self._shares_by_worker.values():
            share.adjust(now)
            self.record_batch_count(share.server.name, share.reported_batch_streams())
        choose_trial_workers(
            self._shares_by_worker.values(), self._held.values(), self._can_run, now
        )
        for share in self._shares_by_worker.values():
            task = take_suspect(share, self._held.values(), self._can_run, now)
            while task is not None or share.free_slots(now) > 0:
                task = task or self._pick_item(share)
                if task is None:
                    break
                started.append((share, self._start(share, task, now)))
                task = None
        return started

    def _start(self, share: WorkerBatchLimit, task: ItemTask, now: float) -> StreamHandle:
        handle = StreamHandle(task, f"batch-{uuid.uuid4().hex}", share.server)
        share.start(handle, now)
        self._handles[handle.request_id] = handle
        task.held.running.add(task)
        return handle

    def _pick_item(self, share: WorkerBatchLimit) -> ItemTask | None:
        """Take the next item that the worker can serve, by fair queuing between accounts."""
        ready: dict[str, list[HeldChunk]] = {}
        for held in self._held.values():
            if held.pending and not held.stop_state and self._can_run(share, held.model):
                ready.setdefault(held.job.account, []).append(held)
        if not ready:
            return None
        account = self._fair_queue.order(ready)[0]
        held = min(ready[account], key=lambda entry: (entry.job.deadline, entry.key))
        self._fair_queue.charge(account, 1, self._rate(account))
        return held.pending.popleft()

    def _can_run(self, share: WorkerBatchLimit, model: str) -> bool:
        return share.serves(model) and not self.is_on_hold(share.server.name, model)

    def _rate(self, account: str) -> float:
        found = self._config.view.accounts.get(account)
        return found.rate if found is not None else 1.0

    def _run_item(self, share: WorkerBatchLimit, handle: StreamHandle) -> None:
        held = handle.task.held
        try:
            attempt = self.attempt_runner.run(share, handle)
        except Exception as error:
            log_event("batch:item-error", chunk=held.key, error=repr(error))
            attempt = Attempt(Ending.FAILED, handle.task.text, message=repr(error))
        with self._changed:
            self._handles.pop(handle.request_id, None)
            self._outcome_handler.apply(share, handle, attempt)
            needs_store = held.drained or bool(held.unsaved_suspects)
            self._signal()
        if needs_store:
            self._on_change()

    def _mark_cancelled(self, held: HeldChunk) -> list[StreamHandle]:
        handles = [handle for handle in self._handles.values() if handle.task.held is held]
        for handle in handles:
            handle.cancel()
        return handles

    def _cancel(self, handles: Sequence[StreamHandle]) -> None:
        if self._stopped.is_set():
            return
        for handle in handles:
            self._cancels.submit(self._engine.cancel, handle.server, handle.request_id)
