"""Buffers audit records for the monitor and writes them to the object store in segments."""

import threading
import uuid
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

import orjson
from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.state.objects import ObjectStore

SEGMENT_PREFIX = "audit/"
COMPLETED_KIND = "completed"
REFUSED_KIND = "refused"
WITHDRAWN_KIND = "withdrawn"
CONFIG_KIND = "config"
_SEGMENT_INTERVAL_SECONDS = 5.0
# Up to this many daemons, each writes a segment every 5 s; beyond it, the interval grows in
# proportion to their number.
_DAEMONS_PER_INTERVAL = 420
# Limit while the object store is down, about 20 MB; the oldest records are dropped first.
_MAX_BUFFERED_RECORDS = 100_000


class AuditLog:
    """Buffers the records of this daemon and writes them every few seconds.

    :param live_daemons: returns the number of daemons that write segments.
    """

    def __init__(
        self, clock: Clock, objects: ObjectStore, vm: str, live_daemons: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._objects = objects
        self._vm = vm
        self._live_daemons = live_daemons
        self._lock = threading.Lock()
        self._buffer: list[dict[str, Any]] = []
        self._dropped = 0
        self._stopped = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Write segments until the exit stack closes, and then the records that are left."""
        stack.callback(self.stop)
        threading.Thread(target=self._run, name="audit", daemon=True).start()

    def record(self, kind: str, fields: dict[str, Any]) -> None:
        """Buffer one record. Its fields must not hold API keys or prompts."""
        entry = {"kind": kind, "vm": self._vm, "time": self._clock.wall_time(), **fields}
        with self._lock:
            self._buffer.append(entry)
            excess = len(self._buffer) - _MAX_BUFFERED_RECORDS
            if excess > 0:
                del self._buffer[:excess]
                self._dropped += excess

    def flush(self) -> bool:
        """Write the buffered records as one segment; return False if that failed."""
        with self._lock:
            records, self._buffer = self._buffer, []
            dropped, self._dropped = self._dropped, 0
        if dropped:
            log_event("audit:dropped", records=dropped)
        if not records:
            return True
        # Names sort by the time of writing, so that readers can continue after the last one read.
        milliseconds = int(self._clock.wall_time() * 1000)
        name = f"{SEGMENT_PREFIX}{milliseconds:015d}-{self._vm}-{uuid.uuid4().hex[:8]}"
        done = self._objects.put(name, b"\n".join(map(orjson.dumps, records)))
        if isinstance(done, Err):
            # If the outcome is unknown, the records may be written twice but are not lost.
            with self._lock:
                self._buffer = records + self._buffer
            return False
        return True

    def stop(self) -> None:
        """Stop the thread and write the records that are left."""
        if not self._stopped.is_set():
            self._stopped.set()
            self.flush()

    def _run(self) -> None:
        while not self._stopped.is_set():
            interval_factor = max(1.0, self._live_daemons() / _DAEMONS_PER_INTERVAL)
            self._clock.wait(self._stopped, _SEGMENT_INTERVAL_SECONDS * interval_factor)
            self.flush()
