"""Types of the desired state that the operator writes to the platform's store.

These types are independent of the wire format; :mod:`trefoilreach._internal.platform` decodes
them.
"""

import bisect
import hashlib
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

# Callers choose the parts; daemons keep their ids and report them in datagrams.
_MAX_SHARED_PARTS = 64
_MAX_PART_ID_LENGTH = 32


class RouteKind(Enum):
    """Kind of a route: whether its requests may be repeated, and the form of its answers."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(NamedTuple):
    """A service that takes a weighted share of a route's requests."""

    service: str
    weight: float


class ServingRoute(NamedTuple):
    """Rules for the requests that match a host and a path prefix.

    :param services: services that requests go to, in proportion to their weights.
    :param max_runs: number of workers on which one client attempt may run.
    :param resumable: whether an interrupted stream may be resumed at another worker.
    :param open_to_all: whether requests need no key.
    :param priority: priority of its requests; 0 is served first.
    :param target_seconds: target for the time to the answer, or to the first event of a stream.
    :param timeout_seconds: longest time that a request may be kept waiting.
    :param event_gap_target_seconds: target for the longest pause between events of a stream.
    :param results_target_seconds: target for the time from submission to all results of a batch
        job.
    :param abandon_after_seconds: time from submission after which a batch item may be abandoned.
    :param waiting_token_limit: most tokens of waiting requests per account, 0 for no limit.
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
    event_gap_target_seconds: float
    results_target_seconds: float
    abandon_after_seconds: float
    waiting_token_limit: int

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def pick_service(self, request_id: str) -> str:
        """Return a service by weight; the same request id always gets the same one."""
        if len(self.services) == 1:
            return self.services[0].service
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        total = sum(entry.weight for entry in self.services)
        position = int.from_bytes(digest, "big") / 2**64 * total
        for entry in self.services:
            position -= entry.weight
            if position < 0:
                return entry.service
        return self.services[-1].service


class ServingAccount(NamedTuple):
    """A client account.

    :param keys: API keys of its callers.
    :param priority: priority of its requests; None for that of the route.
    :param rate: requests per second over all VMs, 0 for no limit.
    :param burst: requests that may exceed the rate at once.
    :param key_digests: digests of further keys, from a peer, which gives out no key.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float
    key_digests: frozenset[str] = frozenset()


def compute_key_digest(key: str) -> str:
    """Return a digest by which a daemon recognizes a key without knowing it."""
    return hashlib.sha256(key.encode()).hexdigest()


class RequestLimits(NamedTuple):
    """Limits on callers' requests; ``body_bytes`` is the largest body."""

    body_bytes: int = 4 * 1024 * 1024


class DesiredState(NamedTuple):
    """One version of the operator's desired state.

    :param document: its encoded form.
    """

    version: int
    routes: tuple[ServingRoute, ...]
    accounts: tuple[ServingAccount, ...]
    limits: RequestLimits
    document: bytes


class RouteIndex:
    """Index of the routes and accounts of one desired state."""

    def __init__(self, state: DesiredState) -> None:
        self._state = state
        # By prefix. Requests look their route up again while they wait, and a state may have
        # thousands of routes, but few lengths of prefixes.
        self._by_host: dict[str, dict[str, ServingRoute]] = {}
        for route in state.routes:
            self._by_host.setdefault(route.host, {}).setdefault(route.path_prefix, route)
        lengths = {len(route.path_prefix) for route in state.routes}
        self._prefix_lengths = sorted(lengths, reverse=True)
        self._by_digest = {
            digest: account
            for account in state.accounts
            for digest in (*map(compute_key_digest, account.keys), *account.key_digests)
        }
        self._by_name = {route.name: route for route in state.routes}
        self._services = {entry.service for route in state.routes for entry in route.services}

    @property
    def state(self) -> DesiredState:
        """The desired state."""
        return self._state

    def find_route(self, host: str, path: str) -> ServingRoute | None:
        """Return the route of a host whose path prefix is the longest match, or None."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        routes = self._by_host.get(host) or self._by_host.get(name) or {}
        for length in self._prefix_lengths:
            route = routes.get(path[:length])
            if route is not None:
                return route
        return None

    def find_route_by_name(self, name: str) -> ServingRoute | None:
        """Return the route with a name, or None."""
        return self._by_name.get(name)

    def uses_service(self, service: str) -> bool:
        """Return whether a route sends requests to a service."""
        return service in self._services

    def find_account_by_key(self, key: str) -> ServingAccount | None:
        """Return the account that a key belongs to, or None."""
        return self._by_digest.get(compute_key_digest(key))


class WorkerEntry(NamedTuple):
    """A backend server's registration.

    :param slots: requests that it runs concurrently.
    :param draining: whether it takes no new requests.
    :param started_ms: start time in ms; a different value for the same id means a restart, 0 is
        unknown.
    :param sequence: counter of the process; a smaller value for the same id means a restart.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    started_ms: int
    sequence: int = 0


class PromptPart(NamedTuple):
    """One part of a prompt; parts are listed in the order in which the model reads them."""

    id: str
    tokens: int


def list_shared_parts(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """Return the ids of the parts that other requests may share, long ones shortened to a hash.

    The very last part of a prompt is specific to its request.
    """
    return tuple(_limit_part_id(part.id) for part in parts[:-1][:_MAX_SHARED_PARTS])


def _limit_part_id(part: str) -> str:
    if len(part) <= _MAX_PART_ID_LENGTH:
        return part
    return hashlib.blake2b(part.encode(), digest_size=_MAX_PART_ID_LENGTH // 2).hexdigest()


def rank_by_rendezvous_hash(key: str, names: Sequence[str]) -> list[str]:
    """Return names ranked by rendezvous hashing for a key, in the same order on all VMs."""
    ranked: list[tuple[bytes, str]] = []
    for name in names:
        digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
        bisect.insort(ranked, (digest, name))
    return [name for _, name in ranked]
