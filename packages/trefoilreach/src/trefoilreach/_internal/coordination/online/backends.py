"""The backend servers as online requests see them: who can serve, who has a place."""

import threading
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.membership.peers import RouteLoad
from trefoilreach._internal.coordination.online.affinity import Prefix, PrefixView
from trefoilreach._internal.coordination.online.fairness import Claim, FairQueue, Waiter
from trefoilreach._internal.coordination.online.health import WorkerHealth
from trefoilreach._internal.coordination.online.load_view import LoadView
from trefoilreach._internal.coordination.online.routing import Candidate, choose_subset, policies
from trefoilreach._internal.coordination.online.shares import Places, ShareTools, share_policies
from trefoilreach._internal.coordination.placement.demand import Demand
from trefoilreach._internal.coordination.placement.holds import Holds
from trefoilreach._internal.logs import log_decision
from trefoilreach._internal.protocol.verdict import refuse_unavailable
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Route,
    Server,
    WorkClass,
)

_SERVICE_TIME_WEIGHT = 0.1
_NO_SERVER_RETRY_SECONDS = 1.0
# Accounts that waited within this time count as waiting, since single requests come and go.
_WAITED_SECONDS = 1.0
# How long a division of the servers is used, so that not every request computes one.
_DIVISION_SECONDS = 0.1


class PlaceRequest(NamedTuple):
    """A request that needs a place on a server.

    :param avoid: servers to use only when there is no other.
    :param preferred: server to use when it has a place; empty for none.
    :param gone: whether the request should stop waiting.
    """

    request_id: str
    account: Account
    route: Route
    prefixes: Sequence[Prefix] = ()
    avoid: Sequence[str] = ()
    preferred: str = ""
    gone: Callable[[], bool] = lambda: False


class _Subset(NamedTuple):
    """Servers of a route that this daemon uses.

    :param scale: slots of all servers of the route for each slot of these.
    """

    document: ConfigDocument
    servers: list[Server]
    scale: float


class _Division(NamedTuple):
    until: float
    document: ConfigDocument
    places: dict[str, Places]


class Backends:
    """Choice of a server with a free place, through the admission queue of the class.

    :param live_daemons: number of daemons that share the servers.
    """

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        config: ConfigHolder,
        live_daemons: Callable[[], int] = lambda: 1,
    ) -> None:
        self.held_rate: Callable[[Account], float] = lambda account: account.rate
        self.note_online: Callable[[str], None] = lambda server: None
        self.load = LoadView(clock)
        self.prefixes = PrefixView(clock)
        self.health = WorkerHealth(clock)
        self.holds = Holds(clock)
        self.demand = Demand(clock, live_daemons)
        self.also_polled: Callable[[], list[Server]] = list
        self._clock = clock
        self._settings = settings
        self._config = config
        self._policy = policies.get(settings.routing.policy)()
        self._lock = threading.Lock()
        self._queues: dict[str, FairQueue[Server]] = {}
        self._service_seconds: dict[str, float] = {}
        self._subsets: dict[str, _Subset] = {}
        self._divisions: dict[str, _Division] = {}
        # Route of each online request that runs.
        self._placed: dict[str, str] = {}
        tools = ShareTools(
            clock,
            settings.daemon.name,
            live_daemons,
            lambda account: self.held_rate(account),
            self.route_loads,
        )
        self.shares = share_policies.get(settings.routing.fairness)(tools)

    def work_class(self, route: Route) -> WorkClass:
        """Return the class of a route."""
        return self._config.view.classes.get(route.work_class) or WorkClass(route.work_class)

    def enter(self, request: PlaceRequest) -> Server:
        """Wait for a place on a server; :meth:`release` gives it back.

        :raises Refusal: when no server can serve or the wait would be too long.
        :raises CallerGone: when the request should stop waiting.
        """
        return self._queue(request.route).wait(self.submit(request))

    def submit(self, request: PlaceRequest) -> Waiter[Server]:
        """Queue a request for a place without blocking.

        :raises Refusal: when no server can serve.
        """
        route = request.route
        if not self.eligible(route):
            message = f"no server can serve {route.name!r} now"
            raise refuse_unavailable(message, _NO_SERVER_RETRY_SECONDS)
        claim = Claim(
            account=request.account.name,
            weight=self.shares.weigh(request.account),
            group=route.name,
            try_place=lambda: self._try_place(request),
            target=self.work_class(route).first_token_seconds,
            interval_hint=lambda: self._interval_hint(route),
            gone=request.gone,
            credit=self.shares.credit(request.account),
        )
        return self._queue(route).submit(claim)

    def review(self, request: PlaceRequest, waiter: Waiter[Server]) -> None:
        """Look whether a submitted request must stop waiting.

        :raises CallerGone: when the request should stop waiting.
        """
        self._queue(request.route).review(waiter)

    def release(self, server: Server, request_id: str) -> None:
        """Give a place back."""
        self._placed.pop(request_id, None)
        self.load.finished(server.name, request_id)
        self.pump()

    def route_loads(self) -> dict[str, RouteLoad]:
        """Return this daemon's online requests by route."""
        with self._lock:
            queues = list(self._queues.values())
        weights: dict[str, float] = {}
        for queue in queues:
            weights.update(queue.waited.sum_weights(_WAITED_SECONDS))
        running = Counter(list(self._placed.values()))
        return {
            route: RouteLoad(weights.get(route, 0.0), running[route])
            for route in {*weights, *running}
        }

    def pump(self) -> None:
        """Let waiting requests go out if there is a place now."""
        with self._lock:
            queues = list(self._queues.values())
        for queue in queues:
            queue.pump()

    def note_service_time(self, route: Route, seconds: float) -> None:
        """Take the duration of a whole answer into the mean."""
        known = self._service_seconds.get(route.name, seconds)
        self._service_seconds[route.name] = known + _SERVICE_TIME_WEIGHT * (seconds - known)

    def eligible(self, route: Route) -> list[Server]:
        """Return the servers that can be given a request of a route."""
        return [server for server in self._subset(route) if self._can_serve(server, route)]

    def find_instance(self, server: str) -> str:
        """Return the process of an engine as last reported; empty when it is not known."""
        report = self.load.last_report(server)
        return "" if report is None else report.instance

    def engines(self) -> list[Server]:
        """Return the engines that this daemon uses."""
        chosen = {
            server.name: server
            for route in self._config.view.document.routes
            if route.kind == "model"
            for server in self._subset(route)
        }
        chosen.update((server.name, server) for server in self.also_polled())
        return list(chosen.values())

    def _try_place(self, request: PlaceRequest) -> Server | None:
        servers = self._include(self.eligible(request.route), request)
        others = [server for server in servers if server.name not in request.avoid]
        candidates = self._compare(request, others or servers)
        free = [entry for entry in candidates if self._policy.has_place(entry)]
        if not free:
            self._ask_to_yield(candidates)
            return None
        preferred = [entry for entry in free if entry.server.name == request.preferred]
        chosen = self._policy.choose(preferred or free)
        self.load.started(chosen.server.name, request.request_id, online=True)
        self._placed[request.request_id] = request.route.name
        self._log_choice(request, chosen, candidates)
        return chosen.server

    def _include(self, servers: list[Server], request: PlaceRequest) -> list[Server]:
        """Add the preferred server, which may be outside this daemon's subset."""
        if not request.preferred or any(entry.name == request.preferred for entry in servers):
            return servers
        route = request.route
        found = [
            server
            for server in self._config.view.document.servers
            if server.name == request.preferred
            and route.name in server.routes
            and server.state == "live"
            and self._can_serve(server, route)
        ]
        return servers + found

    def _compare(self, request: PlaceRequest, servers: list[Server]) -> list[Candidate]:
        places = self._divide(request.route)
        return [
            Candidate(
                server,
                self.load.online_estimate(server.name),
                self.load.own(server.name),
                self.prefixes.share(server.name, request.prefixes),
                places.get(server.name, Places(1)),
            )
            for server in servers
        ]

    def _divide(self, route: Route) -> dict[str, Places]:
        """Return what this daemon may use of the servers of a route, as of a moment ago."""
        now, document = self._clock.now(), self._config.view.document
        found = self._divisions.get(route.name)
        if found is None or found.until <= now or found.document is not document:
            servers = self.eligible(route)
            places = self.shares.divide(servers, self._find_subset(route).scale)
            found = _Division(now + _DIVISION_SECONDS, document, places)
            self._divisions[route.name] = found
        return found.places

    def _ask_to_yield(self, candidates: list[Candidate]) -> None:
        if candidates:
            self.note_online(min(candidates, key=lambda entry: entry.estimate).server.name)

    def _log_choice(
        self, request: PlaceRequest, chosen: Candidate, candidates: list[Candidate]
    ) -> None:
        if self._settings.log.decisions == "no":
            return
        log_decision(
            "route",
            chosen.server.name,
            self._settings.routing.policy,
            request_id=request.request_id,
            account=request.account.name,
            candidates={entry.server.name: entry.estimate for entry in candidates},
            prefix_share=chosen.prefix_share,
        )

    def _interval_hint(self, route: Route) -> float:
        slots = sum(server.slots for server in self.eligible(route))
        return self._service_seconds.get(route.name, 0.0) / max(1, slots)

    def _queue(self, route: Route) -> FairQueue[Server]:
        with self._lock:
            found = self._queues.get(route.work_class)
            if found is None:
                found = FairQueue(self._clock, self._settings.daemon.threads // 2)
                self._queues[route.work_class] = found
            return found

    def _subset(self, route: Route) -> list[Server]:
        return self._find_subset(route).servers

    def _find_subset(self, route: Route) -> _Subset:
        """Return the live servers of a route that this daemon uses, by configuration version."""
        document = self._config.view.document
        cached = self._subsets.get(route.name)
        if cached is not None and cached.document is document:
            return cached
        servers = [
            server
            for server in document.servers
            if route.name in server.routes and server.state == "live"
        ]
        daemon = self._settings.daemon
        chosen = choose_subset(daemon.name, daemon.data_centre, servers)
        slots = sum(server.slots for server in servers)
        scale = slots / max(1, sum(server.slots for server in chosen))
        found = self._subsets[route.name] = _Subset(document, chosen, scale)
        return found

    def _can_serve(self, server: Server, route: Route) -> bool:
        if not self.health.is_usable(server.name) or self.holds.is_held(server.name, route.name):
            return False
        report = self.load.last_report(server.name)
        return report is None or report.can_serve(route.name)
