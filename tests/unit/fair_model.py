"""Deterministic model of daemons that share workers through lagging load reports.

The daemons are the real :class:`Backends` on a manual clock; the workers share their speed
among the requests that run there.
"""

import functools
import random
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.online.backends import Backends, SlotRequest
from trefoilreach._internal.coordination.online.fair_queue import RECHECK_INTERVAL_SECONDS, Waiter
from trefoilreach._internal.coordination.quota.buckets import ArrivalRateMeter
from trefoilreach._internal.settings import (
    DaemonSettings,
    LogSettings,
    RoutingSettings,
    Settings,
)
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Route,
    Server,
    WorkClass,
)
from trefoilreach._internal.transport.engine import LoadReport

_STEP_SECONDS = 0.005
# Duration of one answer in the bench: first token after 50 ms, then 16 tokens 20 ms apart.
_SERVICE_SECONDS = 0.37
_REPORT_LAG_SECONDS = 0.5
_REPORT_INTERVAL_SECONDS = 1.0
_PROBE_INTERVAL_SECONDS = 1.0
_MODEL = Route("m", "model", "counter")


class Caller(NamedTuple):
    """Open-loop arrivals of one account: ``rates`` in requests per second, by daemon."""

    account: Account
    rates: tuple[float, ...]


class Workload(NamedTuple):
    """Callers, fleet size, duration in seconds and policy of one run."""

    callers: Sequence[Caller]
    daemons: int
    workers: int = 5
    slots: int = 8
    seconds: float = 30.0
    seed: int = 1
    fairness: str = "fleet"


class _Worker:
    def __init__(self, server: Server) -> None:
        self._server = server
        self._remaining_seconds: dict[str, float] = {}
        self._history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def start(self, request_id: str) -> None:
        self._remaining_seconds[request_id] = _SERVICE_SECONDS

    def advance(self, now: float) -> list[str]:
        """Return the requests that ended in this step."""
        speed = min(1.0, self._server.slots / max(1, len(self._remaining_seconds)))
        for request_id in self._remaining_seconds:
            self._remaining_seconds[request_id] -= _STEP_SECONDS * speed
        ended = [
            request_id for request_id, seconds in self._remaining_seconds.items() if seconds <= 0.0
        ]
        for request_id in ended:
            del self._remaining_seconds[request_id]
        self._history.append((now, len(self._remaining_seconds)))
        return ended

    @property
    def excess(self) -> int:
        """Requests beyond the slots."""
        return max(0, len(self._remaining_seconds) - self._server.slots)

    def report(self, now: float) -> LoadReport:
        taken_at = now - _REPORT_LAG_SECONDS
        while len(self._history) > 1 and self._history[1][0] <= taken_at:
            self._history.popleft()
        total, slots = self._history[0][1], self._server.slots
        running = min(total, slots)
        return LoadReport(
            "i", int(now * 1000), running, total - running, slots, _REPORT_LAG_SECONDS, (), ""
        )


class _Daemon:
    def __init__(
        self, clock: ManualClock, workload: Workload, number: int, config: ActiveConfig
    ) -> None:
        settings = Settings(
            daemon=DaemonSettings(name=f"vm{number}"),
            routing=RoutingSettings(fairness=workload.fairness),
            log=LogSettings(decisions="no"),
        )
        self.backends = Backends(clock, settings, config, lambda: workload.daemons)
        self.meters: dict[str, ArrivalRateMeter] = {}
        self.waiting: list[tuple[SlotRequest, Waiter[Server], float]] = []


class Fleet:
    """Simulates a workload in small time steps and counts the answers of each account."""

    def __init__(self, workload: Workload) -> None:
        self._workload = workload
        self._rng = random.Random(workload.seed)
        self._clock = ManualClock(0.0)
        self._servers = [
            Server(f"e{n}", "engine", "127.0.0.1", 9000, ("m",), slots=workload.slots)
            for n in range(workload.workers)
        ]
        self._workers = {server.name: _Worker(server) for server in self._servers}
        config = ActiveConfig()
        config.adopt(self._document())
        self.daemons = [_Daemon(self._clock, workload, n, config) for n in range(workload.daemons)]
        self._running: dict[str, tuple[_Daemon, SlotRequest, Server]] = {}
        self.served = {caller.account.name: 0 for caller in workload.callers}
        self.offered = dict(self.served)
        self._peers_to_probe: list[deque[int]] = [deque() for _ in self.daemons]
        self.excess = 0.0
        for daemon in self.daemons:
            daemon.backends.local_rate = functools.partial(self._held_rate, daemon)

    def run(self) -> "Fleet":
        """Run the whole workload."""
        random.seed(self._workload.seed)
        arrivals = self._arrivals()
        steps = round(self._workload.seconds / _STEP_SECONDS)
        for step in range(steps):
            self._clock.advance(_STEP_SECONDS)
            self._finish_requests()
            self._report(step)
            self._probe(step)
            while arrivals and arrivals[-1][0] <= self._clock.now():
                _, number, daemon, caller = arrivals.pop()
                self._arrive(f"r{number}", daemon, caller.account)
            self._recheck_waiting()
            self.excess += sum(worker.excess for worker in self._workers.values()) / steps
        return self

    def worst_share(self) -> float:
        """Return the smallest ratio of an account's answers to its fair share; 1.0 is fair."""
        rates = {caller.account.name: caller.account.rate for caller in self._workload.callers}
        fair = sum(self.served.values()) / sum(rates.values())
        return min(self.served[name] / rate for name, rate in rates.items()) / fair

    def _document(self) -> ConfigDocument:
        return ConfigDocument(
            version=1,
            classes=(WorkClass("counter", "online", first_token_seconds=1.0),),
            accounts=tuple(caller.account for caller in self._workload.callers),
            routes=(_MODEL,),
            servers=tuple(self._servers),
        )

    def _arrivals(self) -> list[tuple[float, int, int, Caller]]:
        found = []
        for caller in self._workload.callers:
            for daemon, rate in enumerate(caller.rates):
                at = self._rng.expovariate(rate) if rate else self._workload.seconds
                while at < self._workload.seconds:
                    found.append((at, len(found), daemon, caller))
                    at += self._rng.expovariate(rate)
        return sorted(found, key=lambda entry: entry[0], reverse=True)

    def _arrive(self, request_id: str, number: int, account: Account) -> None:
        daemon, now = self.daemons[number], self._clock.now()
        daemon.meters.setdefault(account.name, ArrivalRateMeter(now)).record_arrival(now)
        request = SlotRequest(request_id, account, _MODEL)
        self.offered[account.name] += 1
        waiter = daemon.backends.submit(request)
        daemon.waiting.append((request, waiter, self._clock.now()))

    def _recheck_waiting(self) -> None:
        for daemon in self.daemons:
            still_waiting = []
            for request, waiter, checked_at in daemon.waiting:
                now = self._clock.now()
                if not waiter.ready.is_set() and now - checked_at >= RECHECK_INTERVAL_SECONDS:
                    daemon.backends.recheck(request, waiter)
                    checked_at = now
                if not waiter.ready.is_set():
                    still_waiting.append((request, waiter, checked_at))
                elif waiter.granted is None:
                    continue
                else:
                    self._workers[waiter.granted.name].start(request.request_id)
                    self._running[request.request_id] = (daemon, request, waiter.granted)
            daemon.waiting = still_waiting

    def _finish_requests(self) -> None:
        for worker in self._workers.values():
            for request_id in worker.advance(self._clock.now()):
                daemon, request, server = self._running.pop(request_id)
                daemon.backends.note_service_time(_MODEL, _SERVICE_SECONDS)
                daemon.backends.release(server, request_id)
                self.served[request.account.name] += 1

    def _report(self, step: int) -> None:
        every = round(_REPORT_INTERVAL_SECONDS / _STEP_SECONDS)
        for number, daemon in enumerate(self.daemons):
            # The daemons poll at different times.
            if (step + number * every // len(self.daemons)) % every == 0:
                for name, worker in self._workers.items():
                    daemon.backends.load_view.update_report(name, worker.report(self._clock.now()))
                daemon.backends.grant_waiting()

    def _probe(self, step: int) -> None:
        """Exchange load figures with one peer after the other, as membership probes do."""
        every = round(_PROBE_INTERVAL_SECONDS / _STEP_SECONDS)
        for number, daemon in enumerate(self.daemons):
            if (step + number * every // len(self.daemons)) % every or len(self.daemons) == 1:
                continue
            if not self._peers_to_probe[number]:
                others = [n for n in range(len(self.daemons)) if n != number]
                self._peers_to_probe[number].extend(self._rng.sample(others, len(others)))
            peer_number = self._peers_to_probe[number].popleft()
            peer = self.daemons[peer_number]
            peer.backends.share_policy.apply_peer_load(f"vm{number}", daemon.backends.route_loads())
            daemon.backends.share_policy.apply_peer_load(
                f"vm{peer_number}", peer.backends.route_loads()
            )

    def _held_rate(self, daemon: _Daemon, account: Account) -> float:
        """Return a share of the agreed rate by arrivals, as lenders of quota do."""
        now, name = self._clock.now(), account.name
        here = daemon.meters[name].rate(now) if name in daemon.meters else 0.0
        everywhere = sum(
            other.meters[name].rate(now) for other in self.daemons if name in other.meters
        )
        return account.rate * here / everywhere if everywhere else 0.0


def make_accounts(rates: Sequence[float]) -> list[Account]:
    """Return accounts a0, a1 and so on."""
    return [Account(f"a{n}", rate, 2.0 * rate) for n, rate in enumerate(rates)]


def spread_evenly(rates: Sequence[float], daemons: int) -> list[Caller]:
    """Return callers that use every daemon equally."""
    return [Caller(a, (a.rate / daemons,) * daemons) for a in make_accounts(rates)]


def use_one_daemon_each(rates: Sequence[float], homes: Sequence[int], daemons: int) -> list[Caller]:
    """Return callers whose requests all go to one daemon for each account."""
    return [
        Caller(a, tuple(a.rate if n == home else 0.0 for n in range(daemons)))
        for a, home in zip(make_accounts(rates), homes, strict=True)
    ]
