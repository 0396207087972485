"""Simulation of a serving fleet on one manual clock.

Runs the real decision modules; only requests, workers with slots and delayed messages are
simulated.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.serving.admission import Admission, SlotRequest, Ticket
from trefoilreach._internal.coordination.serving.choice import choose_batch, choose_online
from trefoilreach._internal.coordination.serving.overload import OverloadPolicy
from trefoilreach._internal.coordination.serving.queue_order import (
    BatchTimes,
    OnlineTimes,
    compute_online_times,
    rank_batch,
    rank_online,
)
from trefoilreach._internal.coordination.serving.slot_table import PeerLoad, WorkerLoad
from trefoilreach._internal.state.serving import WorkerEntry

SERVICE = "pool"
TARGET_SECONDS = 0.3
ONLINE_SECONDS = 0.75
BATCH_SECONDS = 5.0
MESSAGE_SECONDS = 0.002
DEADLINE_SECONDS = 5.0


class Policy(NamedTuple):
    """Decisions of the simulated daemons; the defaults are those of trefoilreach.

    :param informed: whether daemons report their running requests to each other.
    :param yielding: whether batch items are preempted.
    :param refusing: whether requests are refused under overload.
    :param divided: whether the slots are divided equally among the daemons.
    """

    informed: bool = True
    yielding: bool = True
    refusing: bool = True
    divided: bool = False


class Outcome(NamedTuple):
    """Numbers of requests and items by outcome, and the waits for a slot in seconds."""

    on_time: int
    late: int
    refused: int
    lost: int
    batch_seconds: float
    batch_done: int
    batch_on_time: int
    waits: list[float]

    @property
    def request_count(self) -> int:
        return self.on_time + self.late + self.refused + self.lost


class _Worker:
    """Runs as many requests as it has slots and queues the others in order of arrival."""

    def __init__(self, simulation: "FleetSimulation", entry: WorkerEntry) -> None:
        self.simulation = simulation
        self.entry = entry
        self.running: set[int] = set()
        self.queue: list[tuple[int, Callable[[], None]]] = []

    def enqueue(self, number: int, start: Callable[[], None]) -> None:
        self.queue.append((number, start))
        self._start_queued()

    def remove(self, number: int) -> None:
        self.running.discard(number)
        self.queue = [entry for entry in self.queue if entry[0] != number]
        self._start_queued()

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.entry.slots:
            number, start = self.queue.pop(0)
            self.running.add(number)
            start()


class FleetSimulation:
    """Simulated daemons, workers and callers, with a queue of timed events."""

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
        self.overload_policies = [OverloadPolicy() for _ in range(daemons)]
        for number, admission in enumerate(self.daemons):
            admission.count_live_daemons = lambda: daemons
            admission.send_report_soon = lambda n=number: self._report(n)
            for entry in self._find_entries(number, daemons):
                admission.workers.put(entry)
            self.schedule(number * 0.02, lambda n=number: self._report_periodically(n))
        self.on_time = self.late = self.refused = self.lost = 0
        self.batch_done = self.batch_on_time = 0
        self.batch_seconds = 0.0
        self.preemptions = 0
        self.waits: list[float] = []

    def _find_entries(self, number: int, daemons: int) -> list[WorkerEntry]:
        """Return the workers that a daemon uses, with the slots available to it."""
        if not self.policy.divided:
            return self.entries
        slots = sum(entry.slots for entry in self.entries) // daemons
        return [self.entries[number % len(self.entries)]._replace(slots=slots)]

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
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

    def add_online_load(self, rate: Callable[[float], float], until: float) -> None:
        """Add callers at a rate per second that depends on the time."""

        def arrive() -> None:
            now = self.clock.now()
            if now < until:
                self.send_attempt(now)
                self.schedule(self.arrivals.expovariate(max(rate(now), 0.01)), arrive)

        self.schedule(0.0, arrive)

    def send_attempt(self, first_sent_at: float, is_retry: bool = False) -> None:
        """Send one attempt of a caller to a random daemon."""
        number = self.random.randrange(len(self.daemons))
        admission, overload_policy, now = (
            self.daemons[number],
            self.overload_policies[number],
            self.clock.now(),
        )
        times = compute_online_times(
            0, now, TARGET_SECONDS, DEADLINE_SECONDS - (now - first_sent_at), DEADLINE_SECONDS
        )
        if not is_retry and self.policy.refusing:
            pressure = admission.pressure(SERVICE, 0)
            if overload_policy.must_refuse(pressure, times.on_time_until - now):
                wait = overload_policy.assign_retry_delay(pressure, now)
                self._refusals += 1
                if now + wait - first_sent_at < DEADLINE_SECONDS:
                    self.schedule(wait, lambda: self.send_attempt(first_sent_at, is_retry=True))
                else:
                    self.refused += 1
                return
        self._run_online(admission, times, now)

    def _run_online(self, admission: Admission, times: OnlineTimes, sent_at: float) -> None:
        key = next(self._numbers)

        def start() -> None:
            wait = self.clock.now() - sent_at
            self.waits.append(wait)
            if wait <= TARGET_SECONDS:
                self.on_time += 1
            elif self.clock.now() - times.since + ONLINE_SECONDS <= DEADLINE_SECONDS:
                self.late += 1
            else:
                self.lost += 1
            self.schedule(ONLINE_SECONDS, end)

        def end() -> None:
            worker = ticket.worker
            admission.release(ticket)
            if worker is not None:
                self.workers[worker].remove(key)

        ticket = Ticket(
            SlotRequest(
                SERVICE,
                str(key),
                lambda now: rank_online(times, now),
                lambda loads: choose_online(loads, str(key % 50)),
                lambda worker: self.schedule(
                    MESSAGE_SECONDS / 2, lambda: self.workers[worker].enqueue(key, start)
                ),
            )
        )
        admission.submit(ticket)
        self.schedule(DEADLINE_SECONDS, lambda: self._expire(admission, ticket))

    def _expire(self, admission: Admission, ticket: Ticket) -> None:
        if admission.withdraw(ticket):
            self.lost += 1

    def submit_job(self, items: int, due: float) -> None:
        """Submit a batch job to a random daemon."""
        admission = self.random.choice(self.daemons)
        for _ in range(items):
            _BatchItem(self, admission, due).submit()

    def _report_periodically(self, sender: int) -> None:
        """Report at least every quarter of a second."""
        self._report(sender)
        self.schedule(0.25, lambda: self._report_periodically(sender))

    def _report(self, sender: int) -> None:
        if not self.policy.informed:
            return
        admission = self.daemons[sender]
        runs, waiting = admission.running_by_worker(), admission.queued_by_service()

        def deliver() -> None:
            load = PeerLoad(self.clock.now(), runs, waiting)
            for number, peer in enumerate(self.daemons):
                if number != sender:
                    peer.apply_peer_load(f"d{sender}", load)
                    peer.schedule_after_reports()

        self.schedule(MESSAGE_SECONDS, deliver)


class _BatchItem:
    def __init__(self, simulation: FleetSimulation, admission: Admission, due: float) -> None:
        self.simulation = simulation
        self.admission = admission
        self.due = due
        self.remaining_seconds = BATCH_SECONDS
        self.attempt = 0
        self.key = 0
        self.started_at: float | None = None
        self.worker = ""

    def submit(self) -> None:
        self.attempt += 1
        self.key = next(self.simulation._numbers)
        yields = self._yield if self.simulation.policy.yielding else (lambda: None)
        self.ticket = Ticket(
            SlotRequest(SERVICE, str(self.key), self._rank, self._choose, self._grant, yields)
        )
        self.admission.submit(self.ticket)

    def _rank(self, now: float) -> object:
        return rank_batch(BatchTimes(self.due, self.remaining_seconds), now)

    def _choose(self, loads: list[WorkerLoad]) -> str | None:
        return choose_batch(loads)

    def _grant(self, worker: str) -> None:
        self.worker, self.started_at = worker, None
        self.simulation.schedule(
            MESSAGE_SECONDS / 2,
            lambda key=self.key: self.simulation.workers[worker].enqueue(key, self._start),
        )

    def _start(self) -> None:
        self.started_at = self.simulation.clock.now()
        number = self.attempt
        self.simulation.schedule(self.remaining_seconds, lambda: self._end(number))

    def _end(self, number: int) -> None:
        if number != self.attempt or self.remaining_seconds <= 0:
            return
        self._count_run_time()
        self.simulation.workers[self.worker].remove(self.key)
        self.admission.release(self.ticket)
        self.simulation.batch_done += 1
        self.simulation.batch_on_time += self.simulation.clock.now() <= self.due

    def _yield(self) -> None:
        self.simulation.preemptions += 1
        self._count_run_time()
        worker, key = self.worker, self.key
        self.simulation.schedule(
            MESSAGE_SECONDS / 2, lambda: self.simulation.workers[worker].remove(key)
        )
        # The next worker has to read the prompt again.
        self.remaining_seconds = min(BATCH_SECONDS, self.remaining_seconds + 0.045)
        self.attempt += 1
        self.simulation.schedule(MESSAGE_SECONDS, self.submit)

    def _count_run_time(self) -> None:
        if self.started_at is not None:
            run_seconds = self.simulation.clock.now() - self.started_at
            self.simulation.batch_seconds += run_seconds
            self.remaining_seconds -= run_seconds
