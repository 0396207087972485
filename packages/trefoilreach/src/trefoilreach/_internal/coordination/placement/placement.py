"""Brings the engines to the models, versions and roles that are wanted.

For each worker, the daemon that rendezvous hashing chooses decides and gives the orders.
"""

import threading
from collections import Counter
from contextlib import ExitStack
from typing import NamedTuple

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.worker_owners import WorkerOwners
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.membership.leases import Leases
from trefoilreach._internal.coordination.membership.peers import LIVE, SUSPECT, UNREACHABLE, Peers
from trefoilreach._internal.coordination.online.backends import Backends
from trefoilreach._internal.coordination.placement.decision import LOAD, Action, propose
from trefoilreach._internal.coordination.placement.fleet import Fleet, Worker
from trefoilreach._internal.coordination.placement.holds import HOLD_SKEW_SECONDS
from trefoilreach._internal.coordination.placement.orders import (
    ACCEPTED,
    DONE,
    LOST,
    TRAFFIC_SECONDS,
    OrderRun,
    OrderTools,
    Steps,
)
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.metrics import Metrics
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.table import TableService
from trefoilreach._internal.state.weights import WeightStore
from trefoilreach._internal.transport.engine import Engine

# Older load reports are not decided on, beside the load interval and its lag.
_REPORT_LIFE_SECONDS = 5.0
# An engine that takes an order without doing it gets the order again ever more rarely.
_REPEAT_SECONDS = 5.0
_LONGEST_REPEAT_SECONDS = 600.0


class WorkerView:
    """The fleet by this daemon's load reports, configuration and demand."""

    def __init__(self, clock: Clock, config: ConfigHolder, backends: Backends) -> None:
        self._clock = clock
        self._config = config
        self._backends = backends

    def fleet(self, since: float) -> Fleet:
        """Return the fleet; workers without a report taken after ``since`` have none."""
        since = max(since, self._clock.now() - _REPORT_LIFE_SECONDS)
        demand = self._backends.demand
        document, engines = self._config.view.document, self._backends.engines()
        routes = {route.name: route for route in document.routes if route.kind == "model"}
        shares = self._known_shares(engines)
        return Fleet(
            workers=tuple(self._find_worker(server, since) for server in engines),
            routes=routes,
            demand={model: demand.fleet(model) * shares.get(model, 1.0) for model in routes},
            active=frozenset(
                model for model in routes if demand.traffic_age(model) < TRAFFIC_SECONDS
            ),
        )

    def taken_at(self, server: str) -> float:
        """Return when the last report's figures were taken."""
        return self._backends.load.taken_at(server)

    def _known_shares(self, engines: list[Server]) -> dict[str, float]:
        """Return the share of each model's workers that this daemon reads load reports of."""
        servers = self._config.view.document.servers
        live = Counter(name for entry in servers if entry.state == "live" for name in entry.routes)
        known = Counter(name for entry in engines for name in entry.routes)
        return {model: known[model] / count for model, count in live.items()}

    def _find_worker(self, server: Server, since: float) -> Worker:
        usable = server.state == "live" and self._backends.health.is_usable(server.name)
        fresh = usable and self._backends.load.taken_at(server.name) >= since
        report = self._backends.load.last_report(server.name) if fresh else None
        holds = self._backends.holds
        models = () if report is None else report.models
        held = frozenset(model for model in models if holds.may_be_held(server.name, model))
        return Worker(server, report, held)


class FleetHolds:
    """Holds requests back here and on every other daemon."""

    def __init__(self, backends: Backends, peers: Peers) -> None:
        self._backends = backends
        self._peers = peers

    def answer(self, server: str, models: list[str], seconds: float) -> float:
        """Hold requests back here; return the time since the last one here."""
        self._backends.holds.hold(server, models, seconds)
        return min((self._backends.demand.traffic_age(model) for model in models), default=0.0)

    def hold(self, server: str, models: tuple[str, ...], seconds: float) -> float | None:
        """Hold requests back on every daemon; return the time since the last one anywhere."""
        ages = [self.answer(server, list(models), seconds)]
        answers = self._peers.broadcast(
            lambda client: client.hold_back(server, list(models), seconds), HOLD_SKEW_SECONDS
        )
        for answer in answers.values():
            if isinstance(answer, Err):
                return None
            ages.append(answer.ok_value)
        states = {member.state for member in self._peers.members()}
        # A suspected daemon is not asked, but it may still send requests. Nothing is known
        # of the traffic of one that was unreachable for longer.
        if UNREACHABLE in states:
            ages.append(0.0)
        return None if SUSPECT in states else min(ages)


class PlacementTools(NamedTuple):
    """What placement works with outside of this layer."""

    clock: Clock
    table: TableService
    engine: Engine
    weights: WeightStore
    metrics: Metrics


class _Run(NamedTuple):
    order: OrderRun
    steps: Steps


class _Sent(NamedTuple):
    """The last order that a worker took, and how often it was sent without an effect."""

    action: Action
    repeats: int


class Placement:
    """Decides for this daemon's workers and drives the orders to them."""

    def __init__(
        self,
        tools: PlacementTools,
        settings: Settings,
        config: ConfigHolder,
        backends: Backends,
        peers: Peers,
    ) -> None:
        clock = tools.clock
        self.holds = FleetHolds(backends, peers)
        self._clock = clock
        self._settings = settings.placement
        self._config = config
        self._peers = peers
        self._view = WorkerView(clock, config, backends)
        self._tools = OrderTools(
            clock=clock,
            settings=settings.placement,
            load_interval=settings.routing.load_interval,
            leases=Leases(clock, tools.table, settings.daemon.name, settings.placement.lease),
            engine=tools.engine,
            weights=tools.weights,
            view=self._view,
            holds=self.holds,
            metrics=tools.metrics,
        )
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._runs: dict[str, _Run] = {}
        self._not_before: dict[str, float] = {}
        self._sent: dict[str, _Sent] = {}
        self._permit_at = float("-inf")
        self._seen: dict[str, float] = {}
        self._owners = WorkerOwners()

    @property
    def enabled(self) -> bool:
        """Whether this daemon gives orders."""
        return self._settings.enabled == "yes"

    def start(self, stack: ExitStack) -> None:
        """Decide in a thread until the exit stack closes."""
        if self.enabled:
            stack.callback(self.stop)
            threading.Thread(target=self._run, name="placement", daemon=True).start()

    def stop(self) -> None:
        """Give no more orders, and release the leases of those that were not sent."""
        self._stop.set()
        with self._lock:
            runs, self._runs = self._runs, {}
            for run in runs.values():
                run.steps.close()

    def own_workers(self) -> list[Server]:
        """Return the workers that this daemon decides for."""
        if not self.enabled:
            return []
        servers = self._config.view.document.servers
        return self._owners.owned(servers, self._peers.live(), self._peers.self_member.vm)

    def tick(self) -> None:
        """Drive the orders and begin new ones."""
        with self._lock:
            for name in list(self._runs):
                self._step(name)
            if self._stop.is_set() or self._peers.self_member.state != LIVE:
                return
            own = {server.name: server for server in self.own_workers()}
            for action in self._choose(own):
                self._begin(own[action.server], action)

    def _choose(self, own: dict[str, Server]) -> list[Action]:
        proposed = propose(self._view.fleet(float("-inf")))
        now = self._clock.now()
        purposes = {action.purpose for action in proposed}
        self._seen = {purpose: self._seen.get(purpose, now) for purpose in purposes}
        return [
            action
            for action in proposed
            if action.server in own
            and (action.kind != LOAD or now >= self._permit_at)
            and now - self._seen[action.purpose] >= action.rank * self._settings.patience
        ]

    def _begin(self, server: Server, action: Action) -> None:
        now = self._clock.now()
        if server.name not in self._runs and now >= self._not_before.get(server.name, now):
            order = OrderRun(self._tools, server, action)
            self._runs[server.name] = _Run(order, order.steps())
            self._step(server.name)

    def _step(self, name: str) -> None:
        run = self._runs[name]
        outcome = ""
        try:
            next(run.steps)
            return
        except StopIteration as end:
            outcome = end.value
        except Exception as error:
            log_event("placement:error", server=name, error=repr(error))
        del self._runs[name]
        now = self._clock.now()
        wait = max(run.order.retry_after, self._repeat_wait(name, run.order.action, outcome))
        self._not_before[name] = now + wait
        self._permit_at = max(self._permit_at, now + run.order.permit_after)

    def _repeat_wait(self, name: str, action: Action, outcome: str) -> float:
        """Return how long an order that had no effect is not sent again."""
        if outcome not in (DONE, ACCEPTED, LOST):
            return 0.0
        last = self._sent.get(name)
        repeats = last.repeats + 1 if last is not None and last.action.is_same(action) else 0
        self._sent[name] = _Sent(action, repeats)
        return min(_LONGEST_REPEAT_SECONDS, _REPEAT_SECONDS * 2.0 ** min(repeats, 16))

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.tick()
            except Exception as error:
                log_event("placement:error", server="", error=repr(error))
            self._clock.wait(self._stop, self._settings.interval)
