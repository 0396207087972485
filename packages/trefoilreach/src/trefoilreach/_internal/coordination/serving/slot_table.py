"""Tracks which slots of the backend servers are in use, over all daemons.

Designed for a square wave of online requests on top of batch work. Each daemon includes its
own requests in its reports, so that every daemon learns of a taken or released slot after one
message instead of after the lag of the workers' own load reports.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilreach._internal.state.serving import WorkerEntry

# Reports arrive at least every 0.25 s. A daemon that missed six of them has died or is
# unreachable, and its connections to the workers have ended as well.
PEER_TIMEOUT_SECONDS = 1.5


class RunCounts(NamedTuple):
    """Number of running requests of one daemon at one worker."""

    online: int = 0
    batch: int = 0


NO_RUNS = RunCounts()


class QueueRank(NamedTuple):
    """Place of a queued request in the order of the whole fleet; smaller goes first.

    :param urgency: priority class of the request, 0 first.
    :param order_time: time that orders a class: when an online request was first sent, or when a
        batch item is due.
    """

    urgency: int
    order_time: float


class PeerLoad(NamedTuple):
    """Load of a peer by its latest report.

    :param received_at: when the report arrived, by this daemon's clock.
    :param runs: its running requests by worker.
    :param waiting: its queued requests by service.
    """

    received_at: float
    runs: Mapping[str, RunCounts]
    waiting: Mapping[str, tuple[QueueRank, ...]]


class WorkerLoad(NamedTuple):
    """Running requests of all daemons at one worker.

    :param doubtful: whether it fails many requests; other workers are preferred.
    """

    worker: WorkerEntry
    online: int
    batch: int
    doubtful: bool = False

    @property
    def free(self) -> int:
        """Number of unused slots."""
        return max(0, self.worker.slots - self.online - self.batch)

    @property
    def available_to_online(self) -> int:
        """Number of slots that online requests may take, including those of batch items."""
        return max(0, self.worker.slots - self.online)

    @property
    def excess(self) -> int:
        """Number of batch items that must be preempted for online requests."""
        return min(self.batch, max(0, self.online + self.batch - self.worker.slots))


class SlotTable:
    """Running requests by worker and daemon; not thread-safe.

    The sums over all daemons are updated with each report, so that the cost of a report or a
    decision doesn't grow with the fleet.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._peers: dict[str, PeerLoad] = {}
        # Requests by worker and daemon, including this daemon.
        self._runs: dict[str, dict[str, RunCounts]] = {}
        self._sums: dict[str, RunCounts] = {}
        self._own: dict[str, RunCounts] = {}

    @property
    def own(self) -> Mapping[str, RunCounts]:
        """Requests of this daemon by worker."""
        return self._own

    def change_own(self, worker: str, online: int = 0, batch: int = 0) -> None:
        """Add to the requests of this daemon at a worker."""
        now = self._own.get(worker, NO_RUNS)
        changed = RunCounts(now.online + online, now.batch + batch)
        if changed == NO_RUNS:
            self._own.pop(worker, None)
        else:
            self._own[worker] = changed
        self._set_requests(self._vm, worker, changed)

    def update_peer(self, vm: str, load: PeerLoad) -> set[str]:
        """Replace the load of a peer; return the workers whose counts changed."""
        known = self._peers.get(vm)
        before = {} if known is None else known.runs
        self._peers[vm] = load
        changed = {
            worker
            for worker in {*before, *load.runs}
            if before.get(worker, NO_RUNS) != load.runs.get(worker, NO_RUNS)
        }
        for worker in changed:
            self._set_requests(vm, worker, load.runs.get(worker, NO_RUNS))
        return changed

    def remove_peer(self, vm: str) -> None:
        """Remove the requests of a peer whose process has ended."""
        known = self._peers.pop(vm, None)
        for worker in () if known is None else known.runs:
            self._set_requests(vm, worker, NO_RUNS)

    def drop_silent(self, now: float, timeout: float = PEER_TIMEOUT_SECONDS) -> None:
        """Remove the peers that have sent no report for some seconds."""
        limit = now - timeout
        for vm in [vm for vm, load in self._peers.items() if load.received_at < limit]:
            self.remove_peer(vm)

    def loads(self, workers: Iterable[WorkerEntry]) -> list[WorkerLoad]:
        """Return the load of workers, summed over all daemons."""
        return [WorkerLoad(worker, *self._sums.get(worker.id, NO_RUNS)) for worker in workers]

    def batch_by_vm(self, worker: str) -> dict[str, int]:
        """Return the number of batch items at a worker by daemon, without zeros."""
        runs = self._runs.get(worker, {})
        return {vm: entry.batch for vm, entry in runs.items() if entry.batch}

    def count_before(self, service: str, place: QueueRank) -> int:
        """Return how many queued requests of peers go before one of this daemon."""
        return sum(
            other < place
            for load in self._peers.values()
            for other in load.waiting.get(service, ())
        )

    def count_waiting(self, service: str, urgency: int) -> int:
        """Return how many requests of peers are queued with this urgency or a smaller number."""
        return sum(
            other.urgency <= urgency
            for load in self._peers.values()
            for other in load.waiting.get(service, ())
        )

    def _set_requests(self, vm: str, worker: str, runs: RunCounts) -> None:
        by_vm = self._runs.setdefault(worker, {})
        before = by_vm.pop(vm, NO_RUNS)
        if runs != NO_RUNS:
            by_vm[vm] = runs
        sums = self._sums.get(worker, NO_RUNS)
        after = RunCounts(
            sums.online + runs.online - before.online, sums.batch + runs.batch - before.batch
        )
        if after == NO_RUNS:
            self._sums.pop(worker, None)
            self._runs.pop(worker, None)
        else:
            self._sums[worker] = after
