"""Which slots of the backend servers are in use, over all daemons.

Load pattern: a square wave of online requests over batch work. Each daemon states its own
requests in its reports, so that all of them see a slot that was taken or given back within
one message instead of within the lag of the workers' own load reports.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilreach._internal.state.serving import WorkerEntry

# Reports come at least every 0.25 s; a daemon that missed six of them has died or is cut off,
# and its connections to the workers have ended with it.
PEER_SILENT_SECONDS = 1.5


class Runs(NamedTuple):
    """Requests of one daemon at one worker."""

    online: int = 0
    batch: int = 0


NO_RUNS = Runs()


class Waiting(NamedTuple):
    """Place of a waiting request in the order of the fleet; smaller goes first.

    :param urgency: class of the request, 0 first.
    :param order_at: online: when it began to wait; batch: when it is due.
    """

    urgency: int
    order_at: float


class PeerLoad(NamedTuple):
    """What a peer stated last.

    :param waiting: its waiting requests by service.
    """

    heard_at: float
    runs: Mapping[str, Runs]
    waiting: Mapping[str, tuple[Waiting, ...]]


class WorkerLoad(NamedTuple):
    """One worker with what runs there.

    :param doubtful: whether it fails many requests; others go first.
    """

    worker: WorkerEntry
    online: int
    batch: int
    doubtful: bool = False

    @property
    def free(self) -> int:
        """Slots that nothing uses."""
        return max(0, self.worker.slots - self.online - self.batch)

    @property
    def online_room(self) -> int:
        """Slots that online requests may take; batch work gives its own up."""
        return max(0, self.worker.slots - self.online)

    @property
    def excess(self) -> int:
        """Batch items that must leave for online requests."""
        return min(self.batch, max(0, self.online + self.batch - self.worker.slots))


class SlotBoard:
    """Counts by worker; not synchronized.

    Sums over the daemons are kept up to date with each report, so that neither a report nor
    a decision costs more in a larger fleet.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._peers: dict[str, PeerLoad] = {}
        # Requests by worker and daemon, this one included.
        self._runs: dict[str, dict[str, Runs]] = {}
        self._sums: dict[str, Runs] = {}
        self._own: dict[str, Runs] = {}

    @property
    def own(self) -> Mapping[str, Runs]:
        """Requests of this daemon by worker."""
        return self._own

    def change_own(self, worker: str, online: int = 0, batch: int = 0) -> None:
        """Add to the requests of this daemon at a worker."""
        now = self._own.get(worker, NO_RUNS)
        changed = Runs(now.online + online, now.batch + batch)
        if changed == NO_RUNS:
            self._own.pop(worker, None)
        else:
            self._own[worker] = changed
        self._set(self._vm, worker, changed)

    def hear(self, vm: str, load: PeerLoad) -> set[str]:
        """Take a peer's report in place of its earlier one; return the workers that changed."""
        known = self._peers.get(vm)
        before = {} if known is None else known.runs
        self._peers[vm] = load
        changed = {
            worker
            for worker in {*before, *load.runs}
            if before.get(worker, NO_RUNS) != load.runs.get(worker, NO_RUNS)
        }
        for worker in changed:
            self._set(vm, worker, load.runs.get(worker, NO_RUNS))
        return changed

    def forget(self, vm: str) -> None:
        """Drop a peer whose process has ended."""
        known = self._peers.pop(vm, None)
        for worker in () if known is None else known.runs:
            self._set(vm, worker, NO_RUNS)

    def drop_silent(self, now: float) -> None:
        """Drop the peers that have not been heard for too long."""
        limit = now - PEER_SILENT_SECONDS
        for vm in [vm for vm, load in self._peers.items() if load.heard_at < limit]:
            self.forget(vm)

    def loads(self, workers: Iterable[WorkerEntry]) -> list[WorkerLoad]:
        """Return workers with their load over all daemons."""
        return [WorkerLoad(worker, *self._sums.get(worker.id, NO_RUNS)) for worker in workers]

    def batch_by_vm(self, worker: str) -> dict[str, int]:
        """Return the daemons that run batch items at a worker."""
        runs = self._runs.get(worker, {})
        return {vm: entry.batch for vm, entry in runs.items() if entry.batch}

    def count_before(self, service: str, mine: Waiting) -> int:
        """Return how many requests of peers wait before one of this daemon."""
        return sum(
            other < mine for load in self._peers.values() for other in load.waiting.get(service, ())
        )

    def count_waiting(self, service: str, urgency: int) -> int:
        """Return how many requests of peers wait with at least an urgency."""
        return sum(
            other.urgency <= urgency
            for load in self._peers.values()
            for other in load.waiting.get(service, ())
        )

    def _set(self, vm: str, worker: str, runs: Runs) -> None:
        by_vm = self._runs.setdefault(worker, {})
        before = by_vm.pop(vm, NO_RUNS)
        if runs != NO_RUNS:
            by_vm[vm] = runs
        sums = self._sums.get(worker, NO_RUNS)
        after = Runs(
            sums.online + runs.online - before.online, sums.batch + runs.batch - before.batch
        )
        if after == NO_RUNS:
            self._sums.pop(worker, None)
            self._runs.pop(worker, None)
        else:
            self._sums[worker] = after
