"""Choice of a backend server for one request; ``[routing] policy`` names the policy."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

import xxhash

from trefoilreach._internal.coordination.online.shares import Places
from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.config import Server

# With more servers for a route, a daemon uses a subset of this size.
SUBSET_SIZE = 16
_RANDOM_CANDIDATES = 2


class Candidate(NamedTuple):
    """A server that could run a request now.

    :param estimate: estimated running and waiting requests.
    :param own: online requests of this daemon that run there.
    :param prefix_share: share of the prompt that the server has cached, 0 to 1.
    :param places: what this daemon may use of the server.
    """

    server: Server
    estimate: float
    own: int
    prefix_share: float = 0.0
    places: Places = Places(1)


class RoutingPolicy(Protocol):
    """Chooses among at least one candidate."""

    def has_place(self, candidate: Candidate) -> bool:
        """Return whether a server can take one more request."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate to use."""


policies: Registry[type[RoutingPolicy]] = Registry("routing policy")


@policies.register("estimate")
class EstimatePolicy:
    """Compares two random servers and the one with the longest cached prefix.

    The random pair keeps daemons that hold the same late figures from choosing alike;
    a cached prefix counts for less than one request, so it cannot build a hot spot.
    """

    def has_place(self, candidate: Candidate) -> bool:
        """Return whether the estimate is below the slots, or the floor is not reached."""
        floor, reserve = candidate.places
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


@policies.register("least-own")
class LeastOwnPolicy:
    """Takes the server with the fewest requests of this daemon; a baseline."""

    def has_place(self, candidate: Candidate) -> bool:
        """Return whether this daemon's own requests are below the slots."""
        return candidate.own < candidate.server.slots

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a server with the fewest own requests."""
        fewest = min(candidate.own for candidate in candidates)
        return random.choice([entry for entry in candidates if entry.own == fewest])


@policies.register("random")
class RandomPolicy:
    """Takes any server; a baseline."""

    def has_place(self, candidate: Candidate) -> bool:
        """Return whether this daemon's own requests are below the slots."""
        return candidate.own < candidate.server.slots

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random server."""
        return random.choice(list(candidates))


def choose_subset(vm: str, data_centre: str, servers: Sequence[Server]) -> list[Server]:
    """Return the servers that a daemon uses: its own data centre first, then by rendezvous hash.

    The hash spreads daemons evenly and moves few of them when servers come or go.
    """
    if len(servers) <= SUBSET_SIZE:
        return list(servers)

    def rank(server: Server) -> tuple[bool, int]:
        digest = xxhash.xxh64_intdigest(f"{vm}\0{server.name}".encode())
        return server.data_centre == data_centre, digest

    return sorted(servers, key=rank, reverse=True)[:SUBSET_SIZE]
