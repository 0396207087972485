"""Runs attempts of batch items that the crash guard permits."""

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.held_chunk import ItemTask
from trefoilreach._internal.coordination.batch.item_runner import (
    CLIENT_ERROR_STATUSES,
    Attempt,
    Ending,
    ItemRunner,
    LatencyCallbacks,
    StreamHandle,
)
from trefoilreach._internal.coordination.batch.worker_limit import WorkerBatchLimit
from trefoilreach._internal.coordination.crash.attempts import (
    RequestStatus,
    TrialPending,
    compute_fingerprint,
)
from trefoilreach._internal.coordination.crash.guard import CrashGuard
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.transport.engine import Engine

_TOKEN_TIMEOUT_FACTOR = 10.0
_MIN_TOKEN_TIMEOUT_SECONDS = 2.0
_MAX_TOKEN_TIMEOUT_SECONDS = 30.0


class ItemAttempts:
    """Runs attempts of items; each calling thread runs one at a time.

    :ivar guard: set before the first attempt; None in tests of batch work alone.
    """

    def __init__(self, clock: Clock, engine: Engine) -> None:
        self.crash_guard: CrashGuard | None = None
        self._items = ItemRunner(clock, engine)

    def run(self, share: WorkerBatchLimit, handle: StreamHandle) -> Attempt:
        """Run one attempt, unless the crash guard refuses it."""
        task, endpoint = handle.task, handle.task.held.job.endpoint
        timeout = self._token_timeout(share)
        latency = LatencyCallbacks(share.record_first_token_time, share.record_token_interval)
        if self.crash_guard is None:
            attempt = self._items.run(handle, endpoint, share.instance, timeout, latency)
            return attempt._replace(is_culprit=task.isolated)
        fingerprint = compute_fingerprint(task.held.job.account, endpoint, task.item.body)
        if (
            not task.isolated
            and self.crash_guard.get_request_status(fingerprint) is RequestStatus.SUSPECT
        ):
            task.isolated = True
            return Attempt(Ending.BUSY, task.text)
        begun = self.crash_guard.begin_attempt(fingerprint, share.server.name, share.instance)
        if isinstance(begun, Err):
            return _refuse_attempt(begun.err_value, task)
        attempt = self._items.run(handle, endpoint, share.instance, timeout, latency)
        if attempt.ending is Ending.CRASHED:
            self.crash_guard.record_worker_death(share.server.name)
            is_culprit = self.crash_guard.get_request_status(fingerprint) is RequestStatus.POISON
            attempt = attempt._replace(is_culprit=is_culprit)
        self.crash_guard.end_attempt(
            begun.ok_value, attempt.ending in (Ending.COMPLETED, Ending.REFUSED)
        )
        return attempt

    def _token_timeout(self, share: WorkerBatchLimit) -> float:
        seconds = share.targets.token_interval * _TOKEN_TIMEOUT_FACTOR
        upper_bound = min(seconds, _MAX_TOKEN_TIMEOUT_SECONDS)
        return max(upper_bound, _MIN_TOKEN_TIMEOUT_SECONDS)


def _refuse_attempt(error: Refusal | TrialPending, task: ItemTask) -> Attempt:
    if isinstance(error, Refusal) and error.status in CLIENT_ERROR_STATUSES:
        return Attempt(Ending.REFUSED, task.text, status=error.status, message=error.message)
    return Attempt(Ending.BUSY, task.text)
