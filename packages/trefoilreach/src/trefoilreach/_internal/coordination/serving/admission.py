"""Gives slots of the backend servers to the requests that wait on this daemon."""

import threading
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.serving.board import (
    PeerLoad,
    Runs,
    SlotBoard,
    Waiting,
    WorkerLoad,
)
from trefoilreach._internal.coordination.serving.outcomes import OutcomeBoard
from trefoilreach._internal.coordination.serving.overload import Pressure
from trefoilreach._internal.coordination.serving.turns import batch_reserve
from trefoilreach._internal.coordination.serving.workers import WorkerDirectory
from trefoilreach._internal.coordination.serving.yielding import count_to_yield
from trefoilreach._internal.logs import log_event

Action = Callable[[], None]


class SlotRequest(NamedTuple):
    """A request that needs a slot.

    :param rank: returns its place in the order at a time.
    :param choose: chooses a worker, or None while there is no fitting one.
    :param granted: called with the worker once it has a slot; must return soon.
    :param yields: called when a batch item must give its slot up; None for online requests.
    """

    service: str
    request_id: str
    rank: Callable[[float], Waiting]
    choose: Callable[[list[WorkerLoad]], str | None]
    granted: Callable[[str], None]
    yields: Action | None = None


class Ticket:
    """One request from its wait until it gives its slot back."""

    def __init__(self, request: SlotRequest) -> None:
        self.request = request
        self.worker: str | None = None

    @property
    def batch(self) -> bool:
        """Whether it is a batch item."""
        return self.request.yields is not None


class Admission:
    """Waiting and running requests of this daemon, over the slots of all."""

    def __init__(self, clock: Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._lock = threading.RLock()
        self._board = SlotBoard(vm)
        self._waiting: dict[str, list[Ticket]] = {}
        self._batch_running: dict[str, list[Ticket]] = {}
        self._leftovers: dict[str, int] = {}
        # Workers whose load has changed since slots were last given out.
        self._heard_workers: set[str] = set()
        self.workers = WorkerDirectory(clock, self.pump)
        self.outcomes = OutcomeBoard(clock)
        self.wake: Action = lambda: None
        self.live_daemons: Callable[[], int] = lambda: 1

    def submit(self, *tickets: Ticket) -> None:
        """Let requests wait for slots; they may get one at once."""
        with self._lock:
            for ticket in tickets:
                self._waiting.setdefault(ticket.request.service, []).append(ticket)
        for service in {ticket.request.service for ticket in tickets}:
            self._pump_service(service, wake=True)

    def withdraw(self, ticket: Ticket) -> bool:
        """End a wait; return whether the request still waited."""
        with self._lock:
            waiting = self._waiting.get(ticket.request.service, [])
            if ticket not in waiting:
                return False
            waiting.remove(ticket)
        self.wake()
        return True

    def release(self, ticket: Ticket) -> None:
        """Give a slot back; a ticket without one, or that gave it back before, is left alone."""
        with self._lock:
            if not self._take_slot(ticket):
                return
        self._pump_service(ticket.request.service, wake=True)

    def hear(self, vm: str, load: PeerLoad) -> None:
        """Take the requests that a peer states; :meth:`settle` acts on them."""
        with self._lock:
            self._heard_workers |= self._board.hear(vm, load)

    def settle(self) -> None:
        """Grant slots, and give batch slots up, after the reports of peers."""
        with self._lock:
            changed, self._heard_workers = self._heard_workers, set()
            services = [name for name, waiting in self._waiting.items() if waiting]
            actions = self._find_yields(changed)
        self._run(actions)
        for service in services:
            self._pump_service(service, wake=False)
        if actions:
            self.wake()

    def forget(self, vm: str) -> None:
        """Drop the requests of a daemon whose process has ended."""
        with self._lock:
            self._board.forget(vm)
        self.pump()

    def count_stated(self, worker: str) -> int:
        """Return the requests that daemons state at a worker, without leftovers."""
        entry = self.workers.find(worker)
        if entry is None:
            return 0
        with self._lock:
            load = self._board.loads([entry])[0]
            return load.online + load.batch - self._leftovers.get(worker, 0)

    def set_leftovers(self, worker: str, count: int) -> None:
        """Count requests that nobody states as this daemon's own."""
        with self._lock:
            before = self._leftovers.pop(worker, 0)
            if count:
                self._leftovers[worker] = count
            self._board.change_own(worker, online=count - before)
        if count != before:
            log_event("leftovers:counted", worker=worker, requests=count, before=before)
            self.pump()
            self.wake()

    def clear_leftovers(self) -> None:
        """Count no leftovers any more."""
        for worker in list(self._leftovers):
            self.set_leftovers(worker, 0)

    def pump(self) -> None:
        """Grant slots, and give batch slots up, as the present state asks."""
        with self._lock:
            self._board.drop_silent(self._clock.now())
            services = [name for name, waiting in self._waiting.items() if waiting]
        for service in services:
            self._pump_service(service, wake=False)
        self._run(self._find_yields(self._batch_running))

    def runs(self) -> dict[str, Runs]:
        """Return the running requests of this daemon by worker."""
        with self._lock:
            return dict(self._board.own)

    def waiting(self) -> dict[str, tuple[Waiting, ...]]:
        """Return the waiting requests of this daemon by service."""
        now = self._clock.now()
        with self._lock:
            return {
                service: tuple(ticket.request.rank(now) for ticket in tickets)
                for service, tickets in self._waiting.items()
                if tickets
            }

    def pressure(self, service: str, urgency: int) -> Pressure:
        """Return how busy a service is for a new online request."""
        now = self._clock.now()
        with self._lock:
            loads = self._board.loads(self.workers.usable(service))
            waiting = self._waiting.get(service, ())
            own = sum(ticket.request.rank(now).urgency <= urgency for ticket in waiting)
            return Pressure(
                before=own + self._board.count_waiting(service, urgency),
                slots=sum(load.worker.slots for load in loads),
                taken=sum(min(load.online, load.worker.slots) for load in loads),
                daemons=self.live_daemons(),
            )

    def _pump_service(self, service: str, wake: bool) -> None:
        with self._lock:
            actions = self._grant(service)
            changed = wake or bool(actions)
            actions += self._find_yields(self._batch_running)
        self._run(actions)
        if changed:
            self.wake()

    def _run(self, actions: list[Action]) -> None:
        """Run actions without the lock."""
        for action in actions:
            action()

    def _grant(self, service: str) -> list[Action]:
        now = self._clock.now()
        tickets = self._waiting.get(service) or []
        if not tickets:
            return []
        ranked = sorted(
            ((ticket.request.rank(now), ticket) for ticket in tickets), key=lambda pair: pair[0]
        )
        loads = self._load_workers(service)
        actions: list[Action] = []
        passed = 0
        for rank, ticket in ranked:
            before = passed + self._board.count_before(service, rank)
            if _count_room(loads, ticket.batch) <= before:
                break
            worker = ticket.request.choose(loads)
            if worker is None:
                passed += 1
                continue
            self._place(ticket, worker)
            loads = [
                _add(load, ticket.batch) if load.worker.id == worker else load for load in loads
            ]
            actions.append(partial(ticket.request.granted, worker))
        return actions

    def _load_workers(self, service: str) -> list[WorkerLoad]:
        """Return the usable workers with their load and what is held against them."""
        workers = self.workers.usable(service)
        doubtful = self.outcomes.find_doubtful([worker.id for worker in workers])
        return [
            load._replace(doubtful=True) if load.worker.id in doubtful else load
            for load in self._board.loads(workers)
        ]

    def _place(self, ticket: Ticket, worker: str) -> None:
        self._waiting[ticket.request.service].remove(ticket)
        ticket.worker = worker
        if ticket.batch:
            self._board.change_own(worker, batch=1)
            self._batch_running.setdefault(worker, []).append(ticket)
        else:
            self._board.change_own(worker, online=1)

    def _take_slot(self, ticket: Ticket) -> bool:
        worker = ticket.worker
        if worker is None:
            return False
        ticket.worker = None
        if ticket.batch:
            self._board.change_own(worker, batch=-1)
            self._batch_running[worker].remove(ticket)
        else:
            self._board.change_own(worker, online=-1)
        return True

    def _find_yields(self, workers: Iterable[str]) -> list[Action]:
        """Take the slots of batch items that must leave; their runs end outside of the lock."""
        now = self._clock.now()
        actions: list[Action] = []
        with self._lock:
            for worker in workers:
                running = self._batch_running.get(worker)
                entry = self.workers.find(worker) if running else None
                if not running or entry is None:
                    continue
                excess = self._board.loads([entry])[0].excess
                mine = count_to_yield(self._vm, self._board.batch_by_vm(worker), excess)
                if not mine:
                    continue
                # The items with most time left go first.
                running.sort(key=lambda ticket: ticket.request.rank(now))
                for ticket in running[-mine:]:
                    self._take_slot(ticket)
                    assert ticket.request.yields is not None
                    actions.append(ticket.request.yields)
        return actions


def _count_room(loads: list[WorkerLoad], batch: bool) -> int:
    if not batch:
        return sum(load.online_room for load in loads)
    slots = sum(load.worker.slots for load in loads)
    online = sum(load.online for load in loads)
    return sum(load.free for load in loads) - batch_reserve(slots, online)


def _add(load: WorkerLoad, batch: bool) -> WorkerLoad:
    if batch:
        return load._replace(batch=load.batch + 1)
    return load._replace(online=load.online + 1)
