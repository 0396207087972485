"""Requests that run at the workers although no daemon states them.

Load pattern: a cold start with batch debts. When all daemons lose power, workers go on with
what they had, up to the whole length of a batch item, and slots that look free are not. For
some seconds after a start or the loss of a peer, one daemon for each worker therefore reads
the worker's own load and counts what is in excess as its own requests, so that all daemons
see these slots as taken.
"""

import threading
from collections.abc import Callable
from contextlib import ExitStack

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.admission import Admission
from trefoilreach._internal.coordination.serving.link import WorkerLink
from trefoilreach._internal.logs import log_event

# The longest run that a lost daemon leaves behind is a batch item of some 6 s.
_WATCH_SECONDS = 6.0
# Reports lag by some 50 ms; more frequent ones would be priced without being newer.
_LOOK_SECONDS = 0.3


def count_leftovers(reported: int, known_before: int, known_now: int) -> int:
    """Return how many requests at a worker nobody states.

    The report is a little old, so that the larger of the numbers that were known at its
    time and are known now is taken off.
    """
    return max(0, reported - max(known_before, known_now))


class LeftoverWatch:
    """Reads the load of workers for some seconds after a disturbance.

    :param is_mine: whether this daemon reads the load of a worker.
    """

    def __init__(
        self, clock: Clock, admission: Admission, link: WorkerLink, is_mine: Callable[[str], bool]
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._link = link
        self._is_mine = is_mine
        self._until = float("-inf")
        self._wake = threading.Event()
        self._stopped = False
        self._known: dict[str, int] = {}

    def start(self, stack: ExitStack) -> None:
        """Work in the background until the exit stack closes."""
        stack.callback(self._stop)
        threading.Thread(target=self._run, name="leftovers", daemon=True).start()

    def note_disturbance(self, reason: str) -> None:
        """Watch the workers from now on, for some seconds."""
        log_event("leftovers:watch", reason=reason, seconds=_WATCH_SECONDS)
        self._until = self._clock.now() + _WATCH_SECONDS
        self._wake.set()

    def look(self) -> None:
        """Read the load of the workers that are this daemon's to read."""
        for worker in self._admission.workers.entries():
            if not self._is_mine(worker.id):
                self._admission.set_leftovers(worker.id, 0)
                continue
            reported = self._link.count_load(worker)
            known = self._admission.count_known_requests(worker.id)
            before = self._known.get(worker.id, known)
            self._known[worker.id] = known
            if reported is not None:
                count = count_leftovers(reported, before, known)
                self._admission.set_leftovers(worker.id, count)

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait()
            self._wake.clear()
            # Until the peers are heard, each daemon would take every worker for its own.
            self._clock.sleep(_LOOK_SECONDS)
            while self._clock.now() < self._until and not self._stopped:
                self.look()
                self._clock.sleep(_LOOK_SECONDS)
            self._admission.clear_leftovers()
            self._known.clear()

    def _stop(self) -> None:
        self._stopped = True
        self._wake.set()
