"""Selects backend servers for online requests: which can serve a route and have a free slot."""

import threading
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import RouteLoad
from trefoilreach._internal.coordination.online.affinity import Prefix, PrefixView
from trefoilreach._internal.coordination.online.fair_queue import Claim, FairQueue, Waiter
from trefoilreach._internal.coordination.online.health import WorkerHealth
from trefoilreach._internal.coordination.online.load_view import LoadView
from trefoilreach._internal.coordination.online.routing import (
    Candidate,
    choose_subset,
    routing_policies,
)
from trefoilreach._internal.coordination.online.shares import (
    ShareContext,
    SlotAllowance,
    share_policies,
)
from trefoilreach._internal.coordination.placement.demand import ModelDemandTracker
from trefoilreach._internal.coordination.placement.holds import RequestHolds
from trefoilreach._internal.logs import log_decision
from trefoilreach._internal.protocol.verdict import build_unavailable_refusal
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Route,
    Server,
    WorkClass,
)

# Weight of the newest duration in the moving average of a route's service time.
_SERVICE_TIME_SAMPLE_WEIGHT = 0.1
_NO_SERVER_RETRY_AFTER_SECONDS = 1.0
# An account counts as waiting for this time after its last wait, because the requests of
# one account need not overlap.
_RECENT_WAIT_SECONDS = 1.0
# How long slot allowances are reused, so that not every request computes them.
_ALLOWANCE_CACHE_SECONDS = 0.1


class SlotRequest(NamedTuple):
    """A request that needs a slot on a server.

    :param avoid: names of servers to use only when there is no other.
    :param preferred: name of the server to use if it has a free slot; empty for none.
    :param is_stopped: whether the request should stop waiting.
    """

    request_id: str
    account: Account
    route: Route
    prefixes: Sequence[Prefix] = ()
    avoid: Sequence[str] = ()
    preferred: str = ""
    is_stopped: Callable[[], bool] = lambda: False


class _Subset(NamedTuple):
    """Servers of a route that this daemon uses, computed for one configuration document.

    :param scale: slots of all live servers of the route, divided by the slots of ``servers``.
    """

    document: ConfigDocument
    servers: list[Server]
    scale: float


class _CachedAllowances(NamedTuple):
    """Slot allowances of a route by server name, valid for one configuration document."""

    expires_at: float
    document: ConfigDocument
    allowances: dict[str, SlotAllowance]


class Backends:
    """Chooses servers with a free slot, through one admission queue for each class of work.

    :param live_daemons: number of daemons that share the servers.
    """

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        config: ActiveConfig,
        live_daemons: Callable[[], int] = lambda: 1,
    ) -> None:
        # The daemon replaces these callbacks: the rate of an account in use here, a notice of
        # online requests to a server (by name), and further servers to poll.
        self.local_rate: Callable[[Account], float] = lambda account: account.rate
        self.on_online_request: Callable[[str], None] = lambda server: None
        self.load_view = LoadView(clock)
        self.prefixes = PrefixView(clock)
        self.health = WorkerHealth(clock)
        self.holds = RequestHolds(clock)
        self.demand = ModelDemandTracker(clock, live_daemons)
        self.extra_polled_servers: Callable[[], list[Server]] = list
        self._clock = clock
        self._settings = settings
        self._config = config
        self._policy = routing_policies.get(settings.routing.policy)()
        self._lock = threading.Lock()
        self._queues: dict[str, FairQueue[Server]] = {}
        self._mean_service_seconds: dict[str, float] = {}
        self._subsets: dict[str, _Subset] = {}
        self._allowances: dict[str, _CachedAllowances] = {}
        # Route name of each running online request, by request id.
        self._route_by_request: dict[str, str] = {}
        context = ShareContext(
            clock,
            settings.daemon.name,
            live_daemons,
            lambda account: self.local_rate(account),
            self.route_loads,
        )
        self.share_policy = share_policies.get(settings.routing.fairness)(context)

    def work_class(self, route: Route) -> WorkClass:
        """Return the class of work of a route, or one with default values if it is unknown."""
        return self._config.view.classes.get(route.work_class) or WorkClass(route.work_class)

    def acquire(self, request: SlotRequest) -> Server:
        """Wait for a slot on a server; :meth:`release` returns it.

        :raises Refusal: when no server can serve or the wait would be too long.
        :raises CallerGone: when the request should stop waiting.
        """
        return self._get_queue(request.route).wait(self.submit(request))

    def submit(self, request: SlotRequest) -> Waiter[Server]:
        """Queue a request for a slot without blocking.

        :raises Refusal: when no server can serve.
        """
        route = request.route
        if not self.list_eligible_servers(route):
            message = f"no server can serve {route.name!r} now"
            raise build_unavailable_refusal(message, _NO_SERVER_RETRY_AFTER_SECONDS)
        claim = Claim(
            account=request.account.name,
            weight=self.share_policy.account_weight(request.account),
            group=route.name,
            try_acquire=lambda: self._try_acquire(request),
            target=self.work_class(route).first_token_seconds,
            interval_hint=lambda: self._interval_hint(route),
            is_stopped=request.is_stopped,
            credit=self.share_policy.credit(request.account),
        )
        return self._get_queue(route).submit(claim)

    def recheck(self, request: SlotRequest, waiter: Waiter[Server]) -> None:
        """Remove a submitted request that must stop waiting, or refuse it if the wait is too long.

        :raises CallerGone: when the request should stop waiting.
        """
        self._get_queue(request.route).recheck(waiter)

    def release(self, server: Server, request_id: str) -> None:
        """Return the slot of a request and offer it to waiting requests."""
        self._route_by_request.pop(request_id, None)
        self.load_view.request_finished(server.name, request_id)
        self.grant_waiting()

    def route_loads(self) -> dict[str, RouteLoad]:
        """Return the waiting weight and the running online requests of this daemon by route."""
        with self._lock:
            queues = list(self._queues.values())
        weights: dict[str, float] = {}
        for queue in queues:
            weights.update(queue.recent_waits.sum_weights(_RECENT_WAIT_SECONDS))
        running = Counter(list(self._route_by_request.values()))
        return {
            route: RouteLoad(weights.get(route, 0.0), running[route])
            for route in {*weights, *running}
        }

    def grant_waiting(self) -> None:
        """Grant free slots to waiting requests."""
        with self._lock:
            queues = list(self._queues.values())
        for queue in queues:
            queue.grant_waiting()

    def note_service_time(self, route: Route, seconds: float) -> None:
        """Add the duration of a whole answer to the route's moving average."""
        known = self._mean_service_seconds.get(route.name, seconds)
        self._mean_service_seconds[route.name] = known + _SERVICE_TIME_SAMPLE_WEIGHT * (
            seconds - known
        )

    def list_eligible_servers(self, route: Route) -> list[Server]:
        """Return the servers of this daemon's subset that can serve a route now."""
        return [server for server in self._list_subset(route) if self._can_serve(server, route)]

    def find_instance(self, server: str) -> str:
        """Return the process instance that an engine last reported; empty if unknown."""
        report = self.load_view.last_report(server)
        return "" if report is None else report.instance

    def list_polled_engines(self) -> list[Server]:
        """Return the engines whose load this daemon polls."""
        chosen = {
            server.name: server
            for route in self._config.view.document.routes
            if route.kind == "model"
            for server in self._list_subset(route)
        }
        chosen.update((server.name, server) for server in self.extra_polled_servers())
        return list(chosen.values())

    def _try_acquire(self, request: SlotRequest) -> Server | None:
        servers = self._add_preferred(self.list_eligible_servers(request.route), request)
        others = [server for server in servers if server.name not in request.avoid]
        candidates = self._build_candidates(request, others or servers)
        free = [entry for entry in candidates if self._policy.has_free_slot(entry)]
        if not free:
            self._ask_batch_to_yield(candidates)
            return None
        preferred = [entry for entry in free if entry.server.name == request.preferred]
        chosen = self._policy.choose(preferred or free)
        self.load_view.request_started(chosen.server.name, request.request_id, online=True)
        self._route_by_request[request.request_id] = request.route.name
        self._log_choice(request, chosen, candidates)
        return chosen.server

    def _add_preferred(self, servers: list[Server], request: SlotRequest) -> list[Server]:
        """Return the servers with the preferred one, which may be outside this daemon's subset."""
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

    def _build_candidates(self, request: SlotRequest, servers: list[Server]) -> list[Candidate]:
        allowances = self._find_allowances(request.route)
        return [
            Candidate(
                server,
                self.load_view.online_estimate(server.name),
                self.load_view.own_online_count(server.name),
                self.prefixes.cached_share(server.name, request.prefixes),
                allowances.get(server.name, SlotAllowance(1)),
            )
            for server in servers
        ]

    def _find_allowances(self, route: Route) -> dict[str, SlotAllowance]:
        """Return this daemon's slot allowances for a route, cached for a short time."""
        now, document = self._clock.now(), self._config.view.document
        found = self._allowances.get(route.name)
        if found is None or found.expires_at <= now or found.document is not document:
            servers = self.list_eligible_servers(route)
            allowances = self.share_policy.allocate_slots(servers, self._find_subset(route).scale)
            found = _CachedAllowances(now + _ALLOWANCE_CACHE_SECONDS, document, allowances)
            self._allowances[route.name] = found
        return found.allowances

    def _ask_batch_to_yield(self, candidates: list[Candidate]) -> None:
        if candidates:
            self.on_online_request(min(candidates, key=lambda entry: entry.estimate).server.name)

    def _log_choice(
        self, request: SlotRequest, chosen: Candidate, candidates: list[Candidate]
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
        slots = sum(server.slots for server in self.list_eligible_servers(route))
        return self._mean_service_seconds.get(route.name, 0.0) / max(1, slots)

    def _get_queue(self, route: Route) -> FairQueue[Server]:
        with self._lock:
            found = self._queues.get(route.work_class)
            if found is None:
                found = FairQueue(self._clock, self._settings.daemon.threads // 2)
                self._queues[route.work_class] = found
            return found

    def _list_subset(self, route: Route) -> list[Server]:
        return self._find_subset(route).servers

    def _find_subset(self, route: Route) -> _Subset:
        """Return the live servers of a route that this daemon uses, cached by configuration."""
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
        report = self.load_view.last_report(server.name)
        return report is None or report.can_serve(route.name)
