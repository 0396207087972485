"""Grants slots of the backend servers to the requests that are queued on this daemon."""

import threading
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.outcomes import OutcomeTracker
from trefoilreach._internal.coordination.serving.overload import Pressure
from trefoilreach._internal.coordination.serving.preemption import count_to_preempt
from trefoilreach._internal.coordination.serving.queue_order import count_reserved_slots
from trefoilreach._internal.coordination.serving.slot_table import (
    PEER_TIMEOUT_SECONDS,
    PeerLoad,
    QueueRank,
    RunCounts,
    SlotTable,
    WorkerLoad,
)
from trefoilreach._internal.coordination.serving.workers import WorkerDirectory
from trefoilreach._internal.logs import log_event

Action = Callable[[], None]


class SlotRequest(NamedTuple):
    """A request that needs a slot.

    :param rank: returns its place in the queue at a given time.
    :param choose: chooses a worker by id, or returns None if none is suitable.
    :param on_granted: called with the worker's id once a slot is granted; must not block.
    :param on_preempted: called when a batch item is preempted; None for online requests.
    """

    service: str
    request_id: str
    rank: Callable[[float], QueueRank]
    choose: Callable[[list[WorkerLoad]], str | None]
    on_granted: Callable[[str], None]
    on_preempted: Action | None = None


class Ticket:
    """A queued or running request, from its submission until it releases its slot.

    ``worker`` is the id of the worker whose slot it holds, or None.
    """

    def __init__(self, request: SlotRequest) -> None:
        self.request = request
        self.worker: str | None = None

    @property
    def is_batch(self) -> bool:
        """Whether the request is a batch item, which can be preempted."""
        return self.request.on_preempted is not None


class Admission:
    """Queued and running requests of this daemon, admitted to the slots of the whole fleet.

    ``send_report_soon`` is called when the next report to the peers should be sent early.
    ``get_load_timeout`` returns the seconds without a report of a peer after which its requests
    count as ended.
    """

    def __init__(self, clock: Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._lock = threading.RLock()
        self._slot_table = SlotTable(vm)
        self._waiting: dict[str, list[Ticket]] = {}
        self._batch_running: dict[str, list[Ticket]] = {}
        self._leftovers: dict[str, int] = {}
        # Workers whose load at peers has changed since the last :meth:`schedule_after_reports`.
        self._changed_workers: set[str] = set()
        self.workers = WorkerDirectory(clock, self.grant_waiting)
        self.outcomes = OutcomeTracker(clock)
        self.send_report_soon: Action = lambda: None
        self.count_live_daemons: Callable[[], int] = lambda: 1
        self.get_load_timeout: Callable[[], float] = lambda: PEER_TIMEOUT_SECONDS

    def submit(self, *tickets: Ticket) -> None:
        """Queue requests for slots; a slot may be granted before this returns."""
        with self._lock:
            for ticket in tickets:
                self._waiting.setdefault(ticket.request.service, []).append(ticket)
        for service in {ticket.request.service for ticket in tickets}:
            self._schedule_service(service, wake=True)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a request from the queue; return whether it was still queued."""
        with self._lock:
            waiting = self._waiting.get(ticket.request.service, [])
            if ticket not in waiting:
                return False
            waiting.remove(ticket)
        self.send_report_soon()
        return True

    def release(self, ticket: Ticket) -> None:
        """Release a ticket's slot; does nothing if the ticket holds none."""
        with self._lock:
            if not self._free_slot(ticket):
                return
        self._schedule_service(ticket.request.service, wake=True)

    def apply_peer_load(self, vm: str, load: PeerLoad) -> None:
        """Store the requests that a peer reports; :meth:`schedule_after_reports` acts on them."""
        with self._lock:
            self._changed_workers |= self._slot_table.update_peer(vm, load)

    def schedule_after_reports(self) -> None:
        """Grant slots and preempt batch items after the reports of peers were stored."""
        with self._lock:
            changed, self._changed_workers = self._changed_workers, set()
            services = [name for name, waiting in self._waiting.items() if waiting]
            actions = self._preempt_batch_items(changed)
        self._run_actions(actions)
        for service in services:
            self._schedule_service(service, wake=False)
        if actions:
            self.send_report_soon()

    def remove_peer(self, vm: str) -> None:
        """Drop the requests of a daemon whose process has ended."""
        with self._lock:
            self._slot_table.remove_peer(vm)
        self.grant_waiting()

    def count_known_requests(self, worker: str) -> int:
        """Return how many requests the daemons report at a worker, without leftovers."""
        entry = self.workers.find(worker)
        if entry is None:
            return 0
        with self._lock:
            load = self._slot_table.loads([entry])[0]
            return load.online + load.batch - self._leftovers.get(worker, 0)

    def set_leftovers(self, worker: str, count: int) -> None:
        """Set how many orphaned requests at a worker are counted as this daemon's own."""
        with self._lock:
            before = self._leftovers.pop(worker, 0)
            if count:
                self._leftovers[worker] = count
            self._slot_table.change_own(worker, online=count - before)
        if count != before:
            log_event("leftovers:counted", worker=worker, requests=count, before=before)
            self.grant_waiting()
            self.send_report_soon()

    def clear_leftovers(self) -> None:
        """Stop counting orphaned requests at all workers."""
        for worker in list(self._leftovers):
            self.set_leftovers(worker, 0)

    def grant_waiting(self) -> None:
        """Grant slots and preempt batch items for all services by the current state."""
        with self._lock:
            self._slot_table.drop_silent(self._clock.now(), self.get_load_timeout())
            services = [name for name, waiting in self._waiting.items() if waiting]
        for service in services:
            self._schedule_service(service, wake=False)
        self._run_actions(self._preempt_batch_items(self._batch_running))

    @property
    def has_requests(self) -> bool:
        """Whether requests of this daemon run or are queued."""
        with self._lock:
            return bool(self._slot_table.own) or any(self._waiting.values())

    def running_by_worker(self) -> dict[str, RunCounts]:
        """Return the running requests of this daemon by worker."""
        with self._lock:
            return dict(self._slot_table.own)

    def queued_by_service(self) -> dict[str, tuple[QueueRank, ...]]:
        """Return the places of this daemon's queued requests by service."""
        now = self._clock.now()
        with self._lock:
            return {
                service: tuple(ticket.request.rank(now) for ticket in tickets)
                for service, tickets in self._waiting.items()
                if tickets
            }

    def pressure(self, service: str, urgency: int) -> Pressure:
        """Return the load of a service as a new online request of an urgency finds it."""
        now = self._clock.now()
        with self._lock:
            waiting = self._waiting.get(service, ())
            own = sum(ticket.request.rank(now).urgency <= urgency for ticket in waiting)
            before = own + self._slot_table.count_waiting(service, urgency)
            return self._make_pressure(service, before)

    def pressure_on(self, ticket: Ticket) -> Pressure:
        """Return the load of a service as a queued online request finds it."""
        now, service = self._clock.now(), ticket.request.service
        with self._lock:
            rank = ticket.request.rank(now)
            own = sum(
                other is not ticket and other.request.rank(now) < rank
                for other in self._waiting.get(service, ())
            )
            before = own + self._slot_table.count_before(service, rank)
            return self._make_pressure(service, before)

    def _make_pressure(self, service: str, before: int) -> Pressure:
        """Return the load of a service for a request that some queued ones go before."""
        loads = self._slot_table.loads(self.workers.list_usable(service))
        return Pressure(
            before=before,
            slots=sum(load.worker.slots for load in loads),
            taken=sum(min(load.online, load.worker.slots) for load in loads),
            daemons=self.count_live_daemons(),
        )

    def _schedule_service(self, service: str, wake: bool) -> None:
        with self._lock:
            actions = self._grant_slots(service)
            changed = wake or bool(actions)
            actions += self._preempt_batch_items(self._batch_running)
        self._run_actions(actions)
        if changed:
            self.send_report_soon()

    def _run_actions(self, actions: list[Action]) -> None:
        """Run callbacks; must be called without the lock."""
        for action in actions:
            action()

    def _grant_slots(self, service: str) -> list[Action]:
        now = self._clock.now()
        tickets = self._waiting.get(service) or []
        if not tickets:
            return []
        ranked = sorted(
            ((ticket.request.rank(now), ticket) for ticket in tickets), key=lambda pair: pair[0]
        )
        loads = self._list_usable_loads(service)
        actions: list[Action] = []
        skipped = 0
        for rank, ticket in ranked:
            before = skipped + self._slot_table.count_before(service, rank)
            if _count_available_slots(loads, ticket.is_batch) <= before:
                break
            worker = ticket.request.choose(loads)
            if worker is None:
                skipped += 1
                continue
            self._assign_slot(ticket, worker)
            loads = [
                _add_request(load, ticket.is_batch) if load.worker.id == worker else load
                for load in loads
            ]
            actions.append(partial(ticket.request.on_granted, worker))
        return actions

    def _list_usable_loads(self, service: str) -> list[WorkerLoad]:
        """Return the load of the usable workers, with doubtful ones marked."""
        workers = self.workers.list_usable(service)
        doubtful = self.outcomes.find_doubtful([worker.id for worker in workers])
        return [
            load._replace(doubtful=True) if load.worker.id in doubtful else load
            for load in self._slot_table.loads(workers)
        ]

    def _assign_slot(self, ticket: Ticket, worker: str) -> None:
        self._waiting[ticket.request.service].remove(ticket)
        ticket.worker = worker
        if ticket.is_batch:
            self._slot_table.change_own(worker, batch=1)
            self._batch_running.setdefault(worker, []).append(ticket)
        else:
            self._slot_table.change_own(worker, online=1)

    def _free_slot(self, ticket: Ticket) -> bool:
        worker = ticket.worker
        if worker is None:
            return False
        ticket.worker = None
        if ticket.is_batch:
            self._slot_table.change_own(worker, batch=-1)
            self._batch_running[worker].remove(ticket)
        else:
            self._slot_table.change_own(worker, online=-1)
        return True

    def _preempt_batch_items(self, workers: Iterable[str]) -> list[Action]:
        """Free the slots of batch items that must be preempted.

        Returns the callbacks that end their runs, to be called without the lock.
        """
        now = self._clock.now()
        actions: list[Action] = []
        with self._lock:
            for worker in workers:
                running = self._batch_running.get(worker)
                entry = self.workers.find(worker) if running else None
                if not running or entry is None:
                    continue
                excess = self._slot_table.loads([entry])[0].excess
                own_count = count_to_preempt(self._vm, self._slot_table.batch_by_vm(worker), excess)
                if not own_count:
                    continue
                # Preempt the items that come last in the order: late ones, then those with
                # the most time left.
                running.sort(key=lambda ticket: ticket.request.rank(now))
                for ticket in running[-own_count:]:
                    self._free_slot(ticket)
                    assert ticket.request.on_preempted is not None
                    actions.append(ticket.request.on_preempted)
        return actions


def _count_available_slots(loads: list[WorkerLoad], batch: bool) -> int:
    if not batch:
        return sum(load.available_to_online for load in loads)
    slots = sum(load.worker.slots for load in loads)
    online = sum(load.online for load in loads)
    return sum(load.free for load in loads) - count_reserved_slots(slots, online)


def _add_request(load: WorkerLoad, batch: bool) -> WorkerLoad:
    if batch:
        return load._replace(batch=load.batch + 1)
    return load._replace(online=load.online + 1)
