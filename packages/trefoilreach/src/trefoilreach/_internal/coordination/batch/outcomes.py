"""Finishes a batch item after an attempt, or queues it again."""

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.held_chunk import ItemTask, error_line, output_line
from trefoilreach._internal.coordination.batch.item_runner import Attempt, Ending, StreamHandle
from trefoilreach._internal.coordination.batch.worker_limit import WorkerBatchLimit
from trefoilreach._internal.logs import log_event

# Failed attempts in a row without new text, possibly caused by the item, after which it ends
# as an error.
_FAILED_ATTEMPT_LIMIT = 4
_RETRY_DELAY_SECONDS = 0.5


class OutcomeHandler:
    """Applies the outcomes of attempts; the feed's lock guards its calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._delayed: list[ItemTask] = []

    def requeue_delayed(self, now: float) -> None:
        """Queue the items again whose retry delay has passed."""
        due = [task for task in self._delayed if task.not_before <= now]
        for task in due:
            self._delayed.remove(task)
            task.held.requeue(task)

    def apply(self, share: WorkerBatchLimit, handle: StreamHandle, attempt: Attempt) -> None:
        """Finish an item whose attempt has ended, or queue it again."""
        task = handle.task
        now = self._clock.now()
        share.end(handle, now)
        share.in_trial = False
        task.held.running.discard(task)
        if attempt.ending is Ending.COMPLETED and attempt.body is not None:
            task.held.finish(task, output_line(task.item, handle.request_id, attempt.body))
        elif attempt.ending is Ending.REFUSED:
            line = error_line(task.item, attempt.status, "invalid_request", attempt.message)
            task.held.finish(task, line)
        elif attempt.ending is Ending.CRASHED:
            self._apply_crash(share, task, attempt, now)
        elif attempt.ending is Ending.FAILED:
            self._apply_failure(task, attempt, now)
        elif attempt.ending is Ending.LOST:
            share.mark_down(now)
            task.isolated = True
            self._apply_failure(task, attempt, now)
        else:
            if attempt.ending is Ending.UNREACHABLE:
                share.mark_down(now)
            self._requeue(task, attempt, now)

    def _apply_crash(
        self, share: WorkerBatchLimit, task: ItemTask, attempt: Attempt, now: float
    ) -> None:
        share.mark_down(now)
        task.held.record_crash(task, attempt.is_culprit)
        log_event("batch:crash", chunk=task.held.key, item=task.index, crashes=task.crashes)

    def _apply_failure(self, task: ItemTask, attempt: Attempt, now: float) -> None:
        if len(attempt.text) > len(task.text):
            task.failed_attempts = 0
        task.failed_attempts += 1
        if task.failed_attempts < _FAILED_ATTEMPT_LIMIT:
            self._requeue(task, attempt, now)
            return
        message = f"{_FAILED_ATTEMPT_LIMIT} attempts failed, the last with: {attempt.message}"
        task.held.finish(task, error_line(task.item, 502, "server_failed", message))

    def _requeue(self, task: ItemTask, attempt: Attempt, now: float) -> None:
        task.text = attempt.text
        if attempt.ending is Ending.YIELDED:
            task.held.requeue(task)
            return
        task.not_before = now + _RETRY_DELAY_SECONDS
        self._delayed.append(task)
