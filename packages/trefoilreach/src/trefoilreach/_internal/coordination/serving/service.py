"""State of a serving daemon, and the checks of a request before its admission."""

import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Err, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.exchange.report_exchange import Peer, ReportExchange
from trefoilreach._internal.coordination.exchange.reports import Identity
from trefoilreach._internal.coordination.serving.admission import Admission
from trefoilreach._internal.coordination.serving.entry_points import EntryPoint, choose_entry_points
from trefoilreach._internal.coordination.serving.freshness import Freshness
from trefoilreach._internal.coordination.serving.online import OnlineRunner
from trefoilreach._internal.deployment import Deployment
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.serving import (
    DesiredState,
    RouteIndex,
    ServingAccount,
    ServingRoute,
)

# A daemon whose desired state is older is not offered to callers, which other daemons serve.
_MAX_ACCEPTING_AGE_SECONDS = 2.5
# Callers cache the entry points for at most this long. A shorter time moves them away sooner
# from a daemon that is lost.
_MAX_ENTRY_KEEP_SECONDS = 2.0
_NOT_READY_RETRY_SECONDS = 0.5

Decoder = Callable[[bytes], Result[DesiredState, ValueError]]


class CheckedRequest(NamedTuple):
    """Route and client account of a checked request.

    The account is None for a request without one on a route that is open to all, or if the
    desired state has no accounts.

    :param host: host of the request.
    :param path: its path, without the query.
    """

    route: ServingRoute
    account: ServingAccount | None
    host: str
    path: str


class ServingState:
    """State that the front ends of a daemon share."""

    # Builds that served keys used another path. They would take digests for keys.
    desired_state_path = "/internal/desired-state/2"

    def __init__(
        self,
        clock: Clock,
        deployment: Deployment,
        exchange: ReportExchange,
        admission: Admission,
        online: OnlineRunner,
        decode: Decoder,
    ) -> None:
        self.clock = clock
        self.deployment = deployment
        self.exchange = exchange
        self.admission = admission
        self.online = online
        self.freshness = Freshness(clock, deployment.revocation_seconds)
        self.metrics = online.tools.metrics
        self.route_index: RouteIndex | None = None
        self.leaving = False
        # Whether callers should be directed to this daemon, by its role in the fleet.
        self.offered = False
        self._decode = decode
        self._lock = threading.Lock()
        self._listeners: list[Callable[[DesiredState], None]] = []
        online.find_route = self.find_route

    @property
    def version(self) -> int:
        """Version of the desired state in force on this daemon; 0 before the first."""
        return 0 if self.route_index is None else self.route_index.state.version

    @property
    def accepting(self) -> bool:
        """Whether callers may be directed to this daemon."""
        fresh = self.freshness.age <= _MAX_ACCEPTING_AGE_SECONDS
        return self.ready and self.offered and fresh

    @property
    def ready(self) -> bool:
        """Whether this daemon knows the desired state and the workers, and is not leaving."""
        known = self.route_index is not None and self.admission.workers.loaded
        return known and not self.leaving

    def add_listener(self, listener: Callable[[DesiredState], None]) -> None:
        """Call a function with each new desired state on this daemon."""
        self._listeners.append(listener)

    def adopt(self, document: bytes, source: str) -> bool:
        """Put a desired state into force unless the current one is as new.

        Returns whether it could be decoded.
        """
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            log_event("desired-state:undecodable", source=source, error=str(decoded.err_value))
            return False
        state = decoded.ok_value
        with self._lock:
            if state.version <= self.version:
                return True
            self.route_index = RouteIndex(state)
        log_event(
            "desired-state:adopted",
            version=state.version,
            source=source,
            routes=len(state.routes),
            accounts=len(state.accounts),
        )
        for listener in self._listeners:
            listener(state)
        if self.exchange.active:
            # All daemons adopt a state at the same time, and the standby ones are many.
            self.exchange.request_report()
        return True

    def find_route(self, host: str, path: str) -> ServingRoute | None:
        """Return the route of a host and a path in the desired state in force, or None."""
        index = self.route_index
        return None if index is None else index.find_route(host, path)

    def find_route_by_name(self, name: str) -> ServingRoute | None:
        """Return the route with a name in the desired state in force, or None."""
        index = self.route_index
        return None if index is None else index.find_route_by_name(name)

    def check(self, host: str, path: str, key: str | None) -> CheckedRequest:
        """Return the route and the account of a request.

        :raises Refusal: when there is none, or when this daemon's state may be outdated.
        """
        index = self.route_index
        if index is None:
            raise _make_unsure_refusal("no desired state is known here yet")
        route = index.find_route(host, path)
        if route is None:
            raise self._make_unknown_refusal(404, "not_found", f"no route for {path!r}")
        return CheckedRequest(route, self._find_account(index, route, key), host, path)

    def check_account(self, key: str | None) -> ServingAccount:
        """Return the account of a key, independent of the route.

        :raises Refusal: when there is none, or when this daemon's state may be outdated.
        """
        index = self.route_index
        if index is None or not self.freshness.keys_valid:
            raise _make_unsure_refusal("the keys in force are not known here")
        account = None if key is None else index.find_account_by_key(key)
        if account is None:
            raise self._make_unknown_refusal(401, "unknown_key", "the key is not known")
        return account

    def entry_points(self) -> tuple[list[str], float]:
        """Return addresses for callers, and for how many seconds callers may cache them."""
        live = self.exchange.live_peers
        offered = [p.identity for p in live if p.statement.accepting]
        if self.accepting:
            offered.append(self.exchange.identity)
        if not offered:
            # No daemon has a recent desired state; any active daemon is better than none. Standby
            # ones do not know which slots are in use.
            offered = self._list_running(live, only_active=True)
        if not offered:
            offered = self._list_running(live, only_active=False)
        keep = min(_MAX_ENTRY_KEEP_SECONDS, self.deployment.entry_keep_seconds)
        entry_points = [EntryPoint(identity.front, identity.cores) for identity in offered]
        return choose_entry_points(self.deployment.vm, entry_points), keep

    def _list_running(self, live: Iterable[Peer], only_active: bool) -> list[Identity]:
        """Return the daemons that are not leaving, perhaps only the active ones."""
        running = [
            peer.identity
            for peer in live
            if not peer.statement.leaving and (peer.statement.active or not only_active)
        ]
        if not self.leaving and (self.exchange.active or not only_active):
            running.append(self.exchange.identity)
        return running

    def find_peer_with_newest_state(self) -> Peer | None:
        """Return the peer with the newest desired state; None if no peer has a newer one."""
        newer = [p for p in self.exchange.live_peers if p.statement.config_version > self.version]
        return max(newer, key=lambda peer: peer.statement.config_version, default=None)

    def _find_account(
        self, index: RouteIndex, route: ServingRoute, key: str | None
    ) -> ServingAccount | None:
        if not index.state.accounts:
            return None
        account = None if key is None else index.find_account_by_key(key)
        if route.open_to_all:
            return account
        if not self.freshness.keys_valid:
            raise _make_unsure_refusal("the keys may have changed since the store last answered")
        if account is None:
            raise self._make_unknown_refusal(401, "unknown_key", "the key is not known")
        return account

    def _make_unknown_refusal(self, status: int, code: str, message: str) -> Refusal:
        if not self.freshness.absence_is_certain:
            return _make_unsure_refusal(f"{message}, and the desired state is outdated")
        return Refusal(status, code, message)


def _make_unsure_refusal(message: str) -> Refusal:
    return Refusal(503, "unsure", message, retry_after=_NOT_READY_RETRY_SECONDS)
