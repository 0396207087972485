"""A fleet of admissions on one manual clock: messages with a delay, workers with slots.

Runs the decision modules themselves; only requests, workers and datagrams are modelled.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.serving.admission import Admission, SlotRequest, Ticket
from trefoilreach._internal.coordination.serving.board import PeerLoad, WorkerLoad
from trefoilreach._internal.coordination.serving.choice import choose_batch, choose_online
from trefoilreach._internal.coordination.serving.overload import OverloadPolicy
from trefoilreach._internal.coordination.serving.turns import (
    BatchNeed,
    OnlineTimes,
    compute_online_times,
    rank_batch,
    rank_online,
)
from trefoilreach._internal.state.serving import WorkerEntry

SERVICE = "pool"
TARGET_SECONDS = 0.3
ONLINE_SECONDS = 0.75
BATCH_SECONDS = 5.0
MESSAGE_SECONDS = 0.002
DEADLINE_SECONDS = 5.0


class Policy(NamedTuple):
    """What a world does; the defaults are the product's decisions.

    :param informed: whether daemons tell each other what they run.
    :param yielding: whether batch items give slots up.
    :param refusing: whether requests are refused at the door.
    :param divided: whether each daemon has an equal part of the slots for itself.
    """

    informed: bool = True
    yielding: bool = True
    refusing: bool = True
    divided: bool = False


class Outcome(NamedTuple):
    on_time: int
    late: int
    refused: int
    lost: int
    batch_seconds: float
    batch_done: int
    batch_on_time: int
    waits: list[float]

    @property
    def asked(self) -> int:
        return self.on_time + self.late + self.refused + self.lost


class _Worker:
    """Runs as many requests as it has slots and queues the others in order of arrival."""

    def __init__(self, world: "World", entry: WorkerEntry) -> None:
        self.world = world
        self.entry = entry
        self.running: set[int] = set()
        self.queue: list[tuple[int, Callable[[], None]]] = []

    def arrive(self, number: int, begin: Callable[[], None]) -> None:
        self.queue.append((number, begin))
        self._admit()

    def leave(self, number: int) -> None:
        self.running.discard(number)
        self.queue = [entry for entry in self.queue if entry[0] != number]
        self._admit()

    def _admit(self) -> None:
        while self.queue and len(self.running) < self.entry.slots:
            number, begin = self.queue.pop(0)
            self.running.add(number)
            begin()


class World:
    """Daemons, workers and callers."""

    def __init__(self, daemons: int, workers: int, policy: Policy, seed: int) -> None:
        self.clock = ManualClock(0.0)
        self.random = random.Random(seed)
        # Arrivals are the same under every policy.
        self.arrivals = random.Random(seed)
        self.policy = policy
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._refusals = 0
        self.entries = [
            WorkerEntry(f"w{n}", SERVICE, "10.0.0.1", 1000 + n, "a", 8, False, 0)
            for n in range(workers)
        ]
        self.workers = {entry.id: _Worker(self, entry) for entry in self.entries}
        self.daemons = [Admission(self.clock, f"d{n}") for n in range(daemons)]
        self.doors = [OverloadPolicy() for _ in range(daemons)]
        for number, admission in enumerate(self.daemons):
            admission.live_daemons = lambda: daemons
            admission.wake = lambda n=number: self._report(n)
            for entry in self._find_entries(number, daemons):
                admission.workers.put(entry)
            self.at(number * 0.02, lambda n=number: self._repeat(n))
        self.on_time = self.late = self.refused = self.lost = 0
        self.batch_done = self.batch_on_time = 0
        self.batch_seconds = 0.0
        self.waits: list[float] = []

    def _find_entries(self, number: int, daemons: int) -> list[WorkerEntry]:
        """Return the workers that a daemon uses, with the slots that are its own."""
        if not self.policy.divided:
            return self.entries
        slots = sum(entry.slots for entry in self.entries) // daemons
        return [self.entries[number % len(self.entries)]._replace(slots=slots)]

    def at(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.clock.now() + delay, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def run(self, seconds: float) -> Outcome:
        while self._events and self._events[0][0] <= seconds:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            action()
        return Outcome(
            self.on_time,
            self.late,
            self.refused,
            self.lost,
            self.batch_seconds,
            self.batch_done,
            self.batch_on_time,
            self.waits,
        )

    def offer_online(self, rate: Callable[[float], float], until: float) -> None:
        """Let callers come at a rate that depends on the time."""

        def arrive() -> None:
            now = self.clock.now()
            if now < until:
                self.ask(now)
                self.at(self.arrivals.expovariate(max(rate(now), 0.01)), arrive)

        self.at(0.0, arrive)

    def ask(self, since: float, returned: bool = False) -> None:
        """Send one attempt of a caller to a daemon."""
        number = self.random.randrange(len(self.daemons))
        admission, door, now = self.daemons[number], self.doors[number], self.clock.now()
        need = compute_online_times(
            0, now, TARGET_SECONDS, DEADLINE_SECONDS - (now - since), DEADLINE_SECONDS
        )
        if not returned and self.policy.refusing:
            pressure = admission.pressure(SERVICE, 0)
            if door.must_refuse(pressure, need.on_time_until - now):
                wait = door.assign_retry_delay(pressure, now)
                self._refusals += 1
                if now + wait - since < DEADLINE_SECONDS:
                    self.at(wait, lambda: self.ask(since, returned=True))
                else:
                    self.refused += 1
                return
        self._run_online(admission, need, now)

    def _run_online(self, admission: Admission, need: OnlineTimes, asked: float) -> None:
        key = next(self._numbers)

        def begin() -> None:
            wait = self.clock.now() - asked
            self.waits.append(wait)
            if wait <= TARGET_SECONDS:
                self.on_time += 1
            elif self.clock.now() - need.since + ONLINE_SECONDS <= DEADLINE_SECONDS:
                self.late += 1
            else:
                self.lost += 1
            self.at(ONLINE_SECONDS, end)

        def end() -> None:
            worker = ticket.worker
            admission.release(ticket)
            if worker is not None:
                self.workers[worker].leave(key)

        ticket = Ticket(
            SlotRequest(
                SERVICE,
                str(key),
                lambda now: rank_online(need, now),
                lambda loads: choose_online(loads, str(key % 50)),
                lambda worker: self.at(
                    MESSAGE_SECONDS / 2, lambda: self.workers[worker].arrive(key, begin)
                ),
            )
        )
        admission.submit(ticket)
        self.at(DEADLINE_SECONDS, lambda: self._expire(admission, ticket))

    def _expire(self, admission: Admission, ticket: Ticket) -> None:
        if admission.withdraw(ticket):
            self.lost += 1

    def offer_batch(self, items: int, due: float) -> None:
        """Hand a job in at one daemon."""
        admission = self.random.choice(self.daemons)
        for _ in range(items):
            _BatchItem(self, admission, due).submit()

    def _repeat(self, sender: int) -> None:
        """Report at least every quarter of a second."""
        self._report(sender)
        self.at(0.25, lambda: self._repeat(sender))

    def _report(self, sender: int) -> None:
        if not self.policy.informed:
            return
        admission = self.daemons[sender]
        runs, waiting = admission.runs(), admission.waiting()

        def deliver() -> None:
            load = PeerLoad(self.clock.now(), runs, waiting)
            for number, peer in enumerate(self.daemons):
                if number != sender:
                    peer.hear(f"d{sender}", load)
                    peer.settle()

        self.at(MESSAGE_SECONDS, deliver)


class _BatchItem:
    def __init__(self, world: World, admission: Admission, due: float) -> None:
        self.world = world
        self.admission = admission
        self.due = due
        self.left = BATCH_SECONDS
        self.round = 0
        self.key = 0
        self.begun: float | None = None
        self.worker = ""

    def submit(self) -> None:
        self.round += 1
        self.key = next(self.world._numbers)
        yields = self._yield if self.world.policy.yielding else (lambda: None)
        self.ticket = Ticket(
            SlotRequest(SERVICE, str(self.key), self._rank, self._choose, self._grant, yields)
        )
        self.admission.submit(self.ticket)

    def _rank(self, now: float) -> object:
        return rank_batch(BatchNeed(self.due, self.left), now)

    def _choose(self, loads: list[WorkerLoad]) -> str | None:
        return choose_batch(loads)

    def _grant(self, worker: str) -> None:
        self.worker, self.begun = worker, None
        self.world.at(
            MESSAGE_SECONDS / 2,
            lambda key=self.key: self.world.workers[worker].arrive(key, self._begin),
        )

    def _begin(self) -> None:
        self.begun = self.world.clock.now()
        number = self.round
        self.world.at(self.left, lambda: self._end(number))

    def _end(self, number: int) -> None:
        if number != self.round or self.left <= 0:
            return
        self._account()
        self.world.workers[self.worker].leave(self.key)
        self.admission.release(self.ticket)
        self.world.batch_done += 1
        self.world.batch_on_time += self.world.clock.now() <= self.due

    def _yield(self) -> None:
        self._account()
        worker, key = self.worker, self.key
        self.world.at(MESSAGE_SECONDS / 2, lambda: self.world.workers[worker].leave(key))
        # What was read is read again at the next worker.
        self.left = min(BATCH_SECONDS, self.left + 0.045)
        self.round += 1
        self.world.at(MESSAGE_SECONDS, self.submit)

    def _account(self) -> None:
        if self.begun is not None:
            worked = self.world.clock.now() - self.begun
            self.world.batch_seconds += worked
            self.left -= worked
