"""Routing policies, which choose a backend server; ``[routing] policy`` names the one in use."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

import xxhash

from trefoilreach._internal.coordination.online.shares import SlotAllowance
from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.config import Server

# A daemon uses a subset of this size of a route that has more servers.
MAX_SUBSET_SERVERS = 16
# Number of randomly chosen servers that the "estimate" policy compares.
_RANDOM_CANDIDATES = 2


class Candidate(NamedTuple):
    """A server that could run a request now.

    :param estimate: estimated running and waiting requests.
    :param own: number of online requests of this daemon that run there.
    :param prefix_share: share of the prompt that the server has cached, 0 to 1.
    :param allowance: slots of the server that this daemon may use.
    """

    server: Server
    estimate: float
    own: int
    prefix_share: float = 0.0
    allowance: SlotAllowance = SlotAllowance(1)


class RoutingPolicy(Protocol):
    """Chooses a server from one or more candidates."""

    def has_free_slot(self, candidate: Candidate) -> bool:
        """Return whether a server can take one more request."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate to use."""


routing_policies: Registry[type[RoutingPolicy]] = Registry("routing policy")


@routing_policies.register("estimate")
class EstimatePolicy:
    """Compares two random servers and the one with the longest cached prefix.

    The random pair prevents daemons with the same outdated figures from choosing the same
    server. A cached prefix counts for at most one request, so it cannot cause a hot spot.
    """

    def has_free_slot(self, candidate: Candidate) -> bool:
        """Return whether unreserved slots are free, or this daemon is below its floor."""
        floor, reserve = candidate.allowance
        return candidate.estimate < candidate.server.slots - reserve or candidate.own < floor

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the least loaded of the compared servers."""
        count = min(_RANDOM_CANDIDATES, len(candidates))
        compared = random.sample(list(candidates), count)
        cached = max(candidates, key=lambda candidate: candidate.prefix_share)
        if cached.prefix_share > 0.0:
            compared.append(cached)
        return min(compared, key=_score)


def _score(candidate: Candidate) -> float:
    load = candidate.estimate + 1.0 - candidate.prefix_share
    return load / max(1, candidate.server.slots)


@routing_policies.register("least-own")
class LeastOwnPolicy:
    """Chooses the server with the fewest requests of this daemon; a baseline for comparison."""

    def has_free_slot(self, candidate: Candidate) -> bool:
        """Return whether this daemon's own requests are below the slots."""
        return candidate.own < candidate.server.slots

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a server with the fewest own requests."""
        fewest = min(candidate.own for candidate in candidates)
        return random.choice([entry for entry in candidates if entry.own == fewest])


@routing_policies.register("random")
class RandomPolicy:
    """Chooses a random server; a baseline for comparison."""

    def has_free_slot(self, candidate: Candidate) -> bool:
        """Return whether this daemon's own requests are below the slots."""
        return candidate.own < candidate.server.slots

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random server."""
        return random.choice(list(candidates))


def choose_subset(vm: str, data_centre: str, servers: Sequence[Server]) -> list[Server]:
    """Return the servers that a daemon uses: its own data centre first, then by rendezvous hash.

    The hash spreads daemons evenly over servers and reassigns few daemons when servers are
    added or removed.
    """
    if len(servers) <= MAX_SUBSET_SERVERS:
        return list(servers)

    def rank(server: Server) -> tuple[bool, int]:
        digest = xxhash.xxh64_intdigest(f"{vm}\0{server.name}".encode())
        return server.data_centre == data_centre, digest

    return sorted(servers, key=rank, reverse=True)[:MAX_SUBSET_SERVERS]
