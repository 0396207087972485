"""Finds leftovers: orphaned requests that still run at a worker but that no daemon reports.

Designed for a cold start after a power failure of all daemons, with batch work outstanding: the
workers go on with the requests that they had, for up to the whole length of a batch item, so
that slots which look free are in use. For some seconds after a start or the loss of a peer, one
daemon for each worker therefore polls the worker's own load and counts the excess as its own
requests, so that all daemons see these slots as taken.
"""

import threading
from collections.abc import Callable
from contextlib import ExitStack

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.admission import Admission
from trefoilreach._internal.coordination.serving.worker_belief import Source
from trefoilreach._internal.coordination.serving.worker_client import WorkerClient
from trefoilreach._internal.logs import log_event

# The longest request that a lost daemon leaves running is a batch item of about 6 s.
_WATCH_SECONDS = 6.0
# The load that a worker reports is about 50 ms old. Polling more often costs requests but
# gives no newer figures.
_POLL_INTERVAL_SECONDS = 0.3


def count_leftovers(reported: int, known_before: int, known_now: int) -> int:
    """Return how many requests at a worker no daemon reports.

    The worker's figure is slightly old. Therefore the larger of two counts is subtracted: the
    requests that were known at the time of the figure, and those known now.

    :param reported: requests that the worker itself reports.
    """
    return max(0, reported - max(known_before, known_now))


class OrphanPoller:
    """Polls the load of workers for some seconds after a start or the loss of a peer.

    :param is_responsible_for: whether this daemon is the one that polls a worker.
    """

    def __init__(
        self,
        clock: Clock,
        admission: Admission,
        link: WorkerClient,
        is_responsible_for: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._link = link
        self._is_responsible_for = is_responsible_for
        self._watch_until = float("-inf")
        self._wake = threading.Event()
        self._stopped = False
        self._known_before: dict[str, int] = {}

    def start(self, stack: ExitStack) -> None:
        """Start the polling thread, which runs until the exit stack closes."""
        stack.callback(self._stop)
        threading.Thread(target=self._run, name="leftovers", daemon=True).start()

    def start_polling(self, reason: str) -> None:
        """Poll the workers for the next ``_WATCH_SECONDS``."""
        log_event("leftovers:watch", reason=reason, seconds=_WATCH_SECONDS)
        self._watch_until = self._clock.now() + _WATCH_SECONDS
        self._wake.set()

    def poll(self) -> None:
        """Poll the workers that this daemon is responsible for, and update their leftovers."""
        for worker in self._admission.workers.entries():
            if not self._is_responsible_for(worker.id):
                self._admission.set_leftovers(worker.id, 0)
                continue
            reported, leaving = self._link.fetch_load(worker)
            if leaving:
                self._admission.workers.note_leaving(worker, Source.LOAD_REPORT)
            known = self._admission.count_known_requests(worker.id)
            before = self._known_before.get(worker.id, known)
            self._known_before[worker.id] = known
            if reported is not None:
                count = count_leftovers(reported, before, known)
                self._admission.set_leftovers(worker.id, count)

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait()
            self._wake.clear()
            # Before the first reports of peers, each daemon would consider itself responsible
            # for every worker.
            self._clock.sleep(_POLL_INTERVAL_SECONDS)
            while self._clock.now() < self._watch_until and not self._stopped:
                try:
                    self.poll()
                except Exception as error:
                    log_event("leftovers:failed", error=repr(error))
                self._clock.sleep(_POLL_INTERVAL_SECONDS)
            self._admission.clear_leftovers()
            self._known_before.clear()

    def _stop(self) -> None:
        self._stopped = True
        self._wake.set()
