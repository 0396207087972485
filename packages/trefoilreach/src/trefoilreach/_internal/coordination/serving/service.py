"""What a daemon knows of its deployment, and the checks of a request at the door."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.exchange.exchange import Exchange, Peer
from trefoilreach._internal.coordination.serving.admission import Admission
from trefoilreach._internal.coordination.serving.freshness import Freshness
from trefoilreach._internal.coordination.serving.offers import Offer, choose_offers
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

# A daemon whose view is older is not offered to callers: they get served elsewhere.
_ACCEPTING_AGE_SECONDS = 2.5
# Callers keep an answer for this long; a shorter time moves them sooner from a lost daemon.
_ENTRY_KEEP_SECONDS = 2.0
_NOT_READY_RETRY_SECONDS = 0.5

Decoder = Callable[[bytes], Result[DesiredState, ValueError]]


class Checked(NamedTuple):
    """Route and account of a request."""

    route: ServingRoute
    account: ServingAccount | None


class ServingService:
    """State that the front ends of a daemon share."""

    desired_state_path = "/internal/desired-state"

    def __init__(
        self,
        clock: Clock,
        deployment: Deployment,
        exchange: Exchange,
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
        self.index: RouteIndex | None = None
        self.leaving = False
        self._decode = decode
        self._lock = threading.Lock()
        self._listeners: list[Callable[[DesiredState], None]] = []

    @property
    def version(self) -> int:
        """Version of the desired state in force here, 0 before the first."""
        return 0 if self.index is None else self.index.state.version

    @property
    def accepting(self) -> bool:
        """Whether callers may be sent here."""
        return self.ready and self.freshness.age <= _ACCEPTING_AGE_SECONDS

    @property
    def ready(self) -> bool:
        """Whether this daemon serves and goes on serving."""
        return self.index is not None and not self.leaving

    def add_listener(self, listener: Callable[[DesiredState], None]) -> None:
        """Call a function with each desired state that comes into force."""
        self._listeners.append(listener)

    def adopt(self, document: bytes, source: str) -> bool:
        """Put a desired state into force unless it is older than the present one."""
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            log_event("desired-state:undecodable", source=source, error=str(decoded.err_value))
            return False
        state = decoded.ok_value
        with self._lock:
            if state.version <= self.version:
                return True
            self.index = RouteIndex(state)
        log_event(
            "desired-state:adopted",
            version=state.version,
            source=source,
            routes=len(state.routes),
            accounts=len(state.accounts),
        )
        for listener in self._listeners:
            listener(state)
        self.exchange.wake()
        return True

    def check(self, host: str, path: str, key: str | None) -> Checked:
        """Return route and account of a request.

        :raises Refusal: when there is none, or when this daemon cannot know.
        """
        index = self.index
        if index is None:
            raise _refuse_unsure("no desired state is known here yet")
        route = index.find_route(host, path)
        if route is None:
            raise self._refuse_unknown(404, "not_found", f"no route for {path!r}")
        return Checked(route, self._find_account(index, route, key))

    def check_account(self, key: str | None) -> ServingAccount:
        """Return the account of a key, whatever the route.

        :raises Refusal: when there is none, or when this daemon cannot know.
        """
        index = self.index
        if index is None or not self.freshness.keys_valid:
            raise _refuse_unsure("the keys in force are not known here")
        account = None if key is None else index.account_of_key(key)
        if account is None:
            raise self._refuse_unknown(401, "unknown_key", "the key is not known")
        return account

    def entry_points(self) -> tuple[list[str], float]:
        """Return addresses for callers, and for how many seconds to keep them."""
        live = self.exchange.live
        offered = [p.identity for p in live if p.statement.accepting]
        if self.accepting:
            offered.append(self.exchange.identity)
        if not offered:
            # Nobody is sure of its view; any daemon that runs is better than none.
            offered = [p.identity for p in live if not p.statement.leaving]
            if not self.leaving:
                offered.append(self.exchange.identity)
        keep = min(_ENTRY_KEEP_SECONDS, self.deployment.entry_keep_seconds)
        offers = [Offer(identity.front, identity.cores) for identity in offered]
        return choose_offers(self.deployment.vm, offers), keep

    def newest_peer(self) -> Peer | None:
        """Return a peer with a newer desired state than this daemon's."""
        newer = [p for p in self.exchange.live if p.statement.config_version > self.version]
        return max(newer, key=lambda peer: peer.statement.config_version, default=None)

    def _find_account(
        self, index: RouteIndex, route: ServingRoute, key: str | None
    ) -> ServingAccount | None:
        if not index.state.accounts:
            return None
        account = None if key is None else index.account_of_key(key)
        if route.open_to_all:
            return account
        if not self.freshness.keys_valid:
            raise _refuse_unsure("the keys may have changed since the store last answered")
        if account is None:
            raise self._refuse_unknown(401, "unknown_key", "the key is not known")
        return account

    def _refuse_unknown(self, status: int, code: str, message: str) -> Refusal:
        if not self.freshness.absence_is_certain:
            return _refuse_unsure(f"{message}, and the view is old")
        return Refusal(status, code, message)


def _refuse_unsure(message: str) -> Refusal:
    return Refusal(503, "unsure", message, retry_after=_NOT_READY_RETRY_SECONDS)
