"""Notifies the daemon that sends batch work to a worker of online requests to that worker."""

import threading
from collections.abc import Callable
from contextlib import ExitStack

from result import Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.worker_limit import find_responsible_vm
from trefoilreach._internal.coordination.membership.peers import Peers

_PEER_CALL_TIMEOUT_SECONDS = 0.5
_TICK_SECONDS = 1.0


class OnlineNotices:
    """Sends notices of online requests; notices queued during a call go in one message.

    The sender of a worker's batch work answers with the number of batch items in the worker's
    load report, as batch items must not make online requests wait for a slot.

    :ivar record_batch_count: called with a worker and its number of reported batch items.
    :ivar grant_waiting: called after a peer answered, to start waiting online requests.
    :param yield_locally: preempts batch items that this daemon sends; returns the number of
        reported batch items.
    """

    def __init__(
        self, clock: Clock, peers: Peers, yield_locally: Callable[[str, int], int]
    ) -> None:
        self.record_batch_count: Callable[[str, int], None] = lambda worker, count: None
        self.grant_waiting: Callable[[], None] = lambda: None
        self._clock = clock
        self._peers = peers
        self._yield_locally = yield_locally
        self._changed = threading.Condition()
        self._unsent_counts: dict[str, int] = {}
        self._stopped = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Send notices to peers until the exit stack closes."""
        stack.callback(self._stopped.set)
        threading.Thread(target=self._run, name="batch-notices", daemon=True).start()

    def announce_online(self, worker: str) -> None:
        """Announce one online request that goes to a worker; returns at once."""
        if self._sender(worker) == self._peers.own_member.vm:
            self.record_batch_count(worker, self._yield_locally(worker, 1))
            return
        with self._changed:
            self._unsent_counts[worker] = self._unsent_counts.get(worker, 0) + 1
            self._changed.notify()

    def _run(self) -> None:
        while not self._stopped.is_set():
            with self._changed:
                self._clock.wait_for(
                    self._changed, lambda: bool(self._unsent_counts), _TICK_SECONDS
                )
                counts, self._unsent_counts = self._unsent_counts, {}
            for worker, count in counts.items():
                self._send_notice(worker, count)

    def _send_notice(self, worker: str, count: int) -> None:
        sender = self._sender(worker)
        if not sender or sender == self._peers.own_member.vm:
            return
        answer = self._peers.call(
            sender, lambda client: client.online_started(worker, count), _PEER_CALL_TIMEOUT_SECONDS
        )
        if isinstance(answer, Ok):
            self.record_batch_count(worker, answer.ok_value)
            self.grant_waiting()

    def _sender(self, worker: str) -> str:
        return find_responsible_vm(worker, self._peers.list_live())
