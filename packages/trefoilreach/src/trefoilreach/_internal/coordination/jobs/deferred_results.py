"""Results whose output the object store has refused, until it takes them.

Load pattern: a full object store beside jobs with long outputs and jobs with short ones, which need
no object. A refused output holds neither a thread nor a slot, and what is kept in memory is
bounded: an item whose output does not fit runs again once the store takes objects.
"""

import threading
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.records import ItemResult
from trefoilreach._internal.transport.buffer_budget import BufferBudget

_FIRST_RETRY_SECONDS = 0.4
# All jobs of all daemons share 80 calls a second for objects.
_MAX_RETRY_SECONDS = 5.0


class DeferredResult(NamedTuple):
    """A result to list later.

    :param result: None if the output was dropped, so that the item must run again.
    :param size: bytes of the output that are kept.
    """

    result: ItemResult | None
    reason: str
    size: int = 0


class DeferredResults:
    """Deferred results of one job, in the order of their refusal.

    :param budget: space for outputs that all jobs of the daemon share.
    """

    def __init__(self, clock: Clock, budget: BufferBudget) -> None:
        self._clock = clock
        self._budget = budget
        self._lock = threading.Lock()
        self._entries: dict[str, DeferredResult] = {}
        self._delay = _FIRST_RETRY_SECONDS
        self._retry_at = 0.0

    def __contains__(self, item: str) -> bool:
        return item in self._entries

    @property
    def due(self) -> bool:
        """Whether it is time to store an output again."""
        return bool(self._entries) and self._clock.now() >= self._retry_at

    def add(self, result: ItemResult, reason: str) -> bool:
        """Defer a result; return whether its output is kept."""
        size = len(result.output or "")
        with self._lock:
            self._postpone()
            known = self._entries.get(result.id)
            if known is not None and known.result is not None:
                return True
            kept = self._budget.reserve(size)
            self._entries[result.id] = (
                DeferredResult(result, reason, size) if kept else DeferredResult(None, reason)
            )
        return kept

    def first(self) -> tuple[str, DeferredResult] | None:
        """Return the item that has waited longest, or None."""
        with self._lock:
            return next(iter(self._entries.items()), None)

    def note_stored(self) -> None:
        """Record that the store takes objects, so that the next result need not wait."""
        with self._lock:
            self._delay = _FIRST_RETRY_SECONDS
            self._retry_at = 0.0

    def discard(self, item: str) -> None:
        """Forget a result, because it is listed or its item runs again."""
        with self._lock:
            entry = self._entries.pop(item, None)
            if entry is None:
                return
            self._budget.release(entry.size)
            if entry.result is None:
                # Its next run shows whether the store takes objects.
                self._postpone()

    def clear(self) -> None:
        """Forget all results."""
        for item in list(self._entries):
            self.discard(item)

    def _postpone(self) -> None:
        self._retry_at = self._clock.now() + self._delay
        self._delay = min(_MAX_RETRY_SECONDS, self._delay * 2.0)
