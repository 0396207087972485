"""Tells the batch sender of a worker that online requests go there."""

import threading
from collections.abc import Callable
from contextlib import ExitStack

from result import Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.share import find_sender
from trefoilreach._internal.coordination.membership.peers import Peers

_PUSH_TIMEOUT_SECONDS = 0.5
_TICK_SECONDS = 1.0


class OnlineNotices:
    """Passes notices to the sender; those that pile up during a push go in one message.

    A sender answers with the number of batch items that load reports count, as batch
    work must not make online requests wait for a place.

    :param yield_here: makes way on this daemon.
    """

    def __init__(self, clock: Clock, peers: Peers, yield_here: Callable[[str, int], int]) -> None:
        self.note_batch: Callable[[str, int], None] = lambda worker, count: None
        self.pump: Callable[[], None] = lambda: None
        self._clock = clock
        self._peers = peers
        self._yield_here = yield_here
        self._changed = threading.Condition()
        self._counts: dict[str, int] = {}
        self._stopped = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Push to peers until the exit stack closes."""
        stack.callback(self._stopped.set)
        threading.Thread(target=self._run, name="batch-notices", daemon=True).start()

    def note_online(self, worker: str) -> None:
        """Announce one online request that goes to a worker; returns at once."""
        if self._sender(worker) == self._peers.self_member.vm:
            self.note_batch(worker, self._yield_here(worker, 1))
            return
        with self._changed:
            self._counts[worker] = self._counts.get(worker, 0) + 1
            self._changed.notify()

    def _run(self) -> None:
        while not self._stopped.is_set():
            with self._changed:
                self._clock.wait_for(self._changed, lambda: bool(self._counts), _TICK_SECONDS)
                counts, self._counts = self._counts, {}
            for worker, count in counts.items():
                self._push(worker, count)

    def _push(self, worker: str, count: int) -> None:
        sender = self._sender(worker)
        if not sender or sender == self._peers.self_member.vm:
            return
        answer = self._peers.call(
            sender, lambda client: client.online_started(worker, count), _PUSH_TIMEOUT_SECONDS
        )
        if isinstance(answer, Ok):
            self.note_batch(worker, answer.ok_value)
            self.pump()

    def _sender(self, worker: str) -> str:
        return find_sender(worker, self._peers.live())
