"""The backend servers as online requests see them: who can serve, who has a place."""

import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.affinity import Prefix, PrefixView
from trefoilreach._internal.coordination.config_view import ConfigHolder
from trefoilreach._internal.coordination.fairness import Claim, FairQueue
from trefoilreach._internal.coordination.health import WorkerHealth
from trefoilreach._internal.coordination.load_view import LoadView
from trefoilreach._internal.coordination.placement_demand import Demand
from trefoilreach._internal.coordination.placement_holds import Holds
from trefoilreach._internal.coordination.routing import Candidate, choose_subset, policies
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


class PlaceRequest(NamedTuple):
    """A request that needs a place on a server.

    :param avoid: servers to use only when there is no other.
    :param gone: whether the request should stop waiting.
    """

    request_id: str
    account: Account
    route: Route
    prefixes: Sequence[Prefix] = ()
    avoid: Sequence[str] = ()
    gone: Callable[[], bool] = lambda: False


class _Subset(NamedTuple):
    document: ConfigDocument
    servers: list[Server]


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
        self._live_daemons = live_daemons
        self._policy = policies.get(settings.routing.policy)()
        self._lock = threading.Lock()
        self._queues: dict[str, FairQueue[Server]] = {}
        self._service_seconds: dict[str, float] = {}
        self._subsets: dict[str, _Subset] = {}

    def work_class(self, route: Route) -> WorkClass:
        """Return the class of a route."""
        return self._config.view.classes.get(route.work_class) or WorkClass(route.work_class)

    def enter(self, request: PlaceRequest) -> Server:
        """Wait for a place on a server; :meth:`release` gives it back.

        :raises Refusal: when no server can serve or the wait would be too long.
        :raises CallerGone: when the request should stop waiting.
        """
        route = request.route
        if not self.eligible(route):
            message = f"no server can serve {route.name!r} now"
            raise refuse_unavailable(message, _NO_SERVER_RETRY_SECONDS)
        claim = Claim(
            account=request.account.name,
            weight=request.account.rate,
            group=route.name,
            try_place=lambda: self._try_place(request),
            target=self.work_class(route).first_token_seconds,
            interval_hint=lambda: self._interval_hint(route),
            gone=request.gone,
        )
        return self._queue(route).enter(claim)

    def release(self, server: Server, request_id: str) -> None:
        """Give a place back."""
        self.load.finished(server.name, request_id)
        self.pump()

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
        servers = self.eligible(request.route)
        others = [server for server in servers if server.name not in request.avoid]
        candidates = self._compare(others or servers, request.prefixes)
        free = [entry for entry in candidates if self._policy.has_place(entry)]
        if not free:
            self._ask_to_yield(candidates)
            return None
        chosen = self._policy.choose(free)
        self.load.started(chosen.server.name, request.request_id, online=True)
        self._log_choice(request, chosen, candidates)
        return chosen.server

    def _compare(self, servers: list[Server], prefixes: Sequence[Prefix]) -> list[Candidate]:
        daemons = max(1, self._live_daemons())
        return [
            Candidate(
                server,
                self.load.online_estimate(server.name),
                self.load.own(server.name),
                self.prefixes.share(server.name, prefixes),
                max(1, server.slots // daemons),
            )
            for server in servers
        ]

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
        """Return the live servers of a route that this daemon uses, by configuration version."""
        document = self._config.view.document
        cached = self._subsets.get(route.name)
        if cached is not None and cached.document is document:
            return cached.servers
        servers = [
            server
            for server in document.servers
            if route.name in server.routes and server.state == "live"
        ]
        daemon = self._settings.daemon
        chosen = choose_subset(daemon.name, daemon.data_centre, servers)
        self._subsets[route.name] = _Subset(document, chosen)
        return chosen

    def _can_serve(self, server: Server, route: Route) -> bool:
        if not self.health.is_usable(server.name) or self.holds.is_held(server.name, route.name):
            return False
        report = self.load.last_report(server.name)
        return report is None or report.can_serve(route.name)
