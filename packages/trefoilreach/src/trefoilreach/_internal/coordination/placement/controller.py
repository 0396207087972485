"""Brings the engines to the wanted models, versions and roles.

Rendezvous hashing assigns each worker to one daemon, which decides on its orders and sends
them.
"""

import threading
from collections import Counter
from contextlib import ExitStack
from typing import NamedTuple

from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.worker_owners import WorkerOwners
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.leases import LeaseManager
from trefoilreach._internal.coordination.membership.peers import LIVE, SUSPECT, UNREACHABLE, Peers
from trefoilreach._internal.coordination.online.backends import Backends
from trefoilreach._internal.coordination.placement.fleet import FleetSnapshot, Worker
from trefoilreach._internal.coordination.placement.holds import HOLD_SKEW_SECONDS
from trefoilreach._internal.coordination.placement.orders import (
    ACCEPTED,
    ACTIVE_TRAFFIC_SECONDS,
    DONE,
    LOST,
    OrderDependencies,
    OrderRun,
    OrderSteps,
)
from trefoilreach._internal.coordination.placement.proposals import LOAD, Action, propose_orders
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.metrics import Metrics
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.table import TableService
from trefoilreach._internal.state.weights import WeightStore
from trefoilreach._internal.transport.engine import Engine

# Load reports older than this are ignored. Their age includes the load interval and the lag
# of the engine's figures.
_MAX_REPORT_AGE_SECONDS = 5.0
# Exponential back-off of an order that an engine accepts without carrying it out.
_FIRST_REPEAT_SECONDS = 5.0
_MAX_REPEAT_SECONDS = 600.0


class WorkerView:
    """Builds fleet snapshots of this daemon's load reports, configuration and demand."""

    def __init__(self, clock: Clock, config: ActiveConfig, backends: Backends) -> None:
        self._clock = clock
        self._config = config
        self._backends = backends

    def build_fleet(self, since: float) -> FleetSnapshot:
        """Return a snapshot, without the load reports that were taken before ``since``."""
        since = max(since, self._clock.now() - _MAX_REPORT_AGE_SECONDS)
        demand = self._backends.demand
        document, engines = self._config.view.document, self._backends.list_polled_engines()
        routes = {route.name: route for route in document.routes if route.kind == "model"}
        shares = self._polled_shares(engines)
        return FleetSnapshot(
            workers=tuple(self._build_worker(server, since) for server in engines),
            routes=routes,
            demand={
                model: demand.estimate_fleet_demand(model) * shares.get(model, 1.0)
                for model in routes
            },
            active_models=frozenset(
                model for model in routes if demand.traffic_age(model) < ACTIVE_TRAFFIC_SECONDS
            ),
        )

    def report_taken_at(self, server: str) -> float:
        """Return when the last load report of a worker was taken, by this daemon's clock."""
        return self._backends.load_view.report_taken_at(server)

    def _polled_shares(self, engines: list[Server]) -> dict[str, float]:
        """Return, by model, the share of its live workers whose load this daemon polls."""
        servers = self._config.view.document.servers
        live = Counter(name for entry in servers if entry.state == "live" for name in entry.routes)
        known = Counter(name for entry in engines for name in entry.routes)
        return {model: known[model] / count for model, count in live.items()}

    def _build_worker(self, server: Server, since: float) -> Worker:
        usable = server.state == "live" and self._backends.health.is_usable(server.name)
        fresh = usable and self._backends.load_view.report_taken_at(server.name) >= since
        report = self._backends.load_view.last_report(server.name) if fresh else None
        holds = self._backends.holds
        models = () if report is None else report.models
        held = frozenset(model for model in models if holds.may_be_held(server.name, model))
        return Worker(server, report, held)


class FleetHolds:
    """Holds back requests on this daemon and on every other one."""

    def __init__(self, backends: Backends, peers: Peers) -> None:
        self._backends = backends
        self._peers = peers

    def hold_locally(self, server: str, models: list[str], seconds: float) -> float:
        """Hold requests back here; return the seconds since the last one, as far as known here."""
        self._backends.holds.hold(server, models, seconds)
        return min((self._backends.demand.traffic_age(model) for model in models), default=0.0)

    def hold(self, server: str, models: tuple[str, ...], seconds: float) -> float | None:
        """Hold requests back on every daemon; return the seconds since the last one at any.

        :returns: None when a daemon did not answer or is suspected.
        """
        ages = [self.hold_locally(server, list(models), seconds)]
        answers = self._peers.broadcast(
            lambda client: client.hold_back(server, list(models), seconds), HOLD_SKEW_SECONDS
        )
        for answer in answers.values():
            if isinstance(answer, Err):
                return None
            ages.append(answer.ok_value)
        states = {member.state for member in self._peers.members()}
        # A suspected daemon is not asked, but it may still send requests. The traffic of one
        # that has been unreachable for longer is not known, so it counts as a request just now.
        if UNREACHABLE in states:
            ages.append(0.0)
        return None if SUSPECT in states else min(ages)


class PlacementDependencies(NamedTuple):
    """Dependencies of placement outside of this layer."""

    clock: Clock
    table: TableService
    engine: Engine
    weights: WeightStore
    metrics: Metrics


class _ActiveOrder(NamedTuple):
    """An order under way, and the generator that runs it."""

    order: OrderRun
    steps: OrderSteps


class _SentOrder(NamedTuple):
    """The last order that a worker may have run, and how often it was repeated since."""

    action: Action
    repeats: int


class PlacementController:
    """Decides on the orders for this daemon's workers and runs them."""

    def __init__(
        self,
        tools: PlacementDependencies,
        settings: Settings,
        config: ActiveConfig,
        backends: Backends,
        peers: Peers,
    ) -> None:
        clock = tools.clock
        self.fleet_holds = FleetHolds(backends, peers)
        self._clock = clock
        self._settings = settings.placement
        self._config = config
        self._peers = peers
        self._view = WorkerView(clock, config, backends)
        self._tools = OrderDependencies(
            clock=clock,
            settings=settings.placement,
            load_interval=settings.routing.load_interval,
            leases=LeaseManager(clock, tools.table, settings.daemon.name, settings.placement.lease),
            engine=tools.engine,
            weights=tools.weights,
            view=self._view,
            holds=self.fleet_holds,
            metrics=tools.metrics,
        )
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._active_orders: dict[str, _ActiveOrder] = {}
        self._next_order_at: dict[str, float] = {}
        self._last_sent: dict[str, _SentOrder] = {}
        self._next_permit_at = float("-inf")
        self._proposed_since: dict[str, float] = {}
        self._owners = WorkerOwners()

    @property
    def enabled(self) -> bool:
        """Whether this daemon sends orders."""
        return self._settings.enabled == "yes"

    def start(self, stack: ExitStack) -> None:
        """Run placement in a thread until the exit stack closes."""
        if self.enabled:
            stack.callback(self.stop)
            threading.Thread(target=self._run, name="placement", daemon=True).start()

    def stop(self) -> None:
        """Send no more orders, and release the leases of those that were not sent."""
        self._stop.set()
        with self._lock:
            runs, self._active_orders = self._active_orders, {}
            for run in runs.values():
                run.steps.close()

    def list_own_workers(self) -> list[Server]:
        """Return the workers whose orders this daemon decides on."""
        if not self.enabled:
            return []
        servers = self._config.view.document.servers
        return self._owners.list_owned(servers, self._peers.list_live(), self._peers.own_member.vm)

    def tick(self) -> None:
        """Advance the orders under way and start new ones."""
        with self._lock:
            for name in list(self._active_orders):
                self._advance_order(name)
            if self._stop.is_set() or self._peers.own_member.state != LIVE:
                return
            own = {server.name: server for server in self.list_own_workers()}
            for action in self._choose_due(own):
                self._start_order(own[action.server], action)

    def _choose_due(self, own: dict[str, Server]) -> list[Action]:
        """Return the proposed orders to own workers whose turn has come."""
        proposed = propose_orders(self._view.build_fleet(float("-inf")))
        now = self._clock.now()
        purposes = {action.purpose for action in proposed}
        self._proposed_since = {
            purpose: self._proposed_since.get(purpose, now) for purpose in purposes
        }
        return [
            action
            for action in proposed
            if action.server in own
            and (action.kind != LOAD or now >= self._next_permit_at)
            and now - self._proposed_since[action.purpose] >= action.rank * self._settings.patience
        ]

    def _start_order(self, server: Server, action: Action) -> None:
        now = self._clock.now()
        if server.name not in self._active_orders and now >= self._next_order_at.get(
            server.name, now
        ):
            order = OrderRun(self._tools, server, action)
            self._active_orders[server.name] = _ActiveOrder(order, order.steps())
            self._advance_order(server.name)

    def _advance_order(self, name: str) -> None:
        """Run the order of a worker until it waits again or ends."""
        run = self._active_orders[name]
        outcome = ""
        try:
            next(run.steps)
            return
        except StopIteration as end:
            outcome = end.value
        except Exception as error:
            log_event("placement:error", server=name, error=repr(error))
        del self._active_orders[name]
        now = self._clock.now()
        wait = max(run.order.retry_after, self._repeat_wait(name, run.order.action, outcome))
        self._next_order_at[name] = now + wait
        self._next_permit_at = max(self._next_permit_at, now + run.order.permit_after)

    def _repeat_wait(self, name: str, action: Action, outcome: str) -> float:
        """Return the seconds until the next order to the worker; doubled with each repeat."""
        if outcome not in (DONE, ACCEPTED, LOST):
            return 0.0
        last = self._last_sent.get(name)
        repeats = last.repeats + 1 if last is not None and last.action.is_same(action) else 0
        self._last_sent[name] = _SentOrder(action, repeats)
        return min(_MAX_REPEAT_SECONDS, _FIRST_REPEAT_SECONDS * 2.0 ** min(repeats, 16))

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.tick()
            except Exception as error:
                log_event("placement:error", server="", error=repr(error))
            self._clock.wait(self._stop, self._settings.interval)
