"""Desired state of a deployment whose operator writes it to the platform's store.

The types here are what the rest of the product sees; :mod:`trefoilreach._internal.platform`
decodes them.
"""

import bisect
import hashlib
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple


class RouteKind(Enum):
    """What may be repeated on a route, and in which form its answers come."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(NamedTuple):
    """A service that takes a part of a route's requests."""

    service: str
    weight: float


class ServingRoute(NamedTuple):
    """Requests that are handled alike, selected by host and path prefix.

    :param services: where requests go, in proportion to the weights.
    :param max_runs: workers on which one client attempt may run.
    :param resumable: whether a broken stream may go on at another worker.
    :param open_to_all: whether requests need no key.
    :param priority: rank among routes, 0 first.
    :param target_seconds: time to the answer, or to the first event of a stream.
    :param timeout_seconds: longest time that a request may be kept waiting.
    :param stall_seconds: longest pause between events of a stream that is on time.
    :param due_seconds: time from submission to all results of a batch job.
    :param keep_seconds: time from submission after which a batch item may be given up.
    :param waiting_token_limit: tokens that an account may have waiting, 0 for no limit.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    max_runs: int
    resumable: bool
    open_to_all: bool
    priority: int
    target_seconds: float
    timeout_seconds: float
    stall_seconds: float
    due_seconds: float
    keep_seconds: float
    waiting_token_limit: int

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def pick_service(self, request_id: str) -> str:
        """Return the service of a request; equal ids always get the same one."""
        if len(self.services) == 1:
            return self.services[0].service
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        total = sum(entry.weight for entry in self.services)
        point = int.from_bytes(digest, "big") / 2**64 * total
        for entry in self.services:
            point -= entry.weight
            if point < 0:
                return entry.service
        return self.services[-1].service


class ServingAccount(NamedTuple):
    """A client account.

    :param keys: keys that its callers may present.
    :param priority: rank of its requests; None leaves the route's.
    :param rate: requests a second over all VMs, 0 for no limit.
    :param burst: requests beyond the rate at once.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float


class RequestLimits(NamedTuple):
    """What a caller may send."""

    body_bytes: int = 4 * 1024 * 1024


class DesiredState(NamedTuple):
    """One version of what the operator wants.

    :param document: the bytes that it was decoded from, for peers that cannot read the store.
    """

    version: int
    routes: tuple[ServingRoute, ...]
    accounts: tuple[ServingAccount, ...]
    limits: RequestLimits
    document: bytes


class RouteIndex:
    """Finds routes and accounts of one desired state."""

    def __init__(self, state: DesiredState) -> None:
        self._state = state
        self._by_host: dict[str, list[ServingRoute]] = {}
        for route in state.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._by_key = {key: account for account in state.accounts for key in account.keys}
        self._by_name = {route.name: route for route in state.routes}

    @property
    def state(self) -> DesiredState:
        """The desired state."""
        return self._state

    def find_route(self, host: str, path: str) -> ServingRoute | None:
        """Return the route with the longest prefix of a path."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        routes = self._by_host.get(host) or self._by_host.get(name) or ()
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def route_named(self, name: str) -> ServingRoute | None:
        """Return the route of a name."""
        return self._by_name.get(name)

    def account_of_key(self, key: str) -> ServingAccount | None:
        """Return the account that holds a key."""
        return self._by_key.get(key)


class WorkerEntry(NamedTuple):
    """A backend server as it registers itself.

    :param slots: requests that it runs at once.
    :param draining: whether it takes no new requests.
    :param started_ms: time of its start; another value under the same id is another process.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    started_ms: int


class PromptPart(NamedTuple):
    """One part of a prompt, in the order in which the model reads them."""

    id: str
    tokens: int


def shared_part(parts: Sequence[PromptPart]) -> str:
    """Return the last part of a prompt that other requests may share, or an empty text."""
    return parts[-2].id if len(parts) > 1 else ""


def rank_by_hash(key: str, names: Sequence[str]) -> list[str]:
    """Return names in rendezvous order for a key, the same on all VMs."""
    scored: list[tuple[bytes, str]] = []
    for name in names:
        digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
        bisect.insort(scored, (digest, name))
    return [name for _, name in scored]
