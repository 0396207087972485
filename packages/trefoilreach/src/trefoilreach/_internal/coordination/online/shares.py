"""Part of the shared servers that a daemon may use; ``[routing] fairness`` names the policy.

Every daemon has admission queues of its own. Their turns add up to fair turns over the
fleet only if a daemon with much waiting work also gets more places on the servers.
"""

import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

import xxhash

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.peers import NO_ROUTE_LOAD, RouteLoad
from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.config import Account, Server

# A daemon keeps this part of a server's slots free for daemons below their part. Reports
# lag, so without it a daemon refills at once each place that another one should get.
_RESERVE_SHARE = 0.125
# An account holds some rate on a daemon that its callers have just begun to use.
_MIN_HELD_SHARE = 0.25
# Each daemon exchanges figures with about two peers per probe interval.
_HEARD_LIFE_SECONDS = 10.0


class Places(NamedTuple):
    """What a daemon may use of one server.

    :param floor: online requests that it may always run there, so that neither batch
        items nor other daemons that refill each slot at once can lock it out.
    :param reserve: slots that it leaves free once it runs as many as its floor.
    """

    floor: int
    reserve: int = 0


class ShareTools(NamedTuple):
    """What every policy is built from.

    :param vm: name of this daemon.
    :param live_daemons: number of daemons that share the servers.
    :param held_rate: part of an account's agreed rate that its callers use here.
    :param own_load: load of this daemon by route.
    """

    clock: Clock
    vm: str
    live_daemons: Callable[[], int]
    held_rate: Callable[[Account], float]
    own_load: Callable[[], Mapping[str, RouteLoad]]


class SharePolicy(Protocol):
    """Divides servers between daemons and turns between accounts."""

    def weigh(self, account: Account) -> float:
        """Return the weight of an account in the queues of this daemon."""

    def credit(self, account: Account) -> float:
        """Return how far an account may fall behind virtual time, in units of it."""

    def divide(self, servers: Sequence[Server], scale: float = 1.0) -> dict[str, Places]:
        """Return what this daemon may use of each server.

        :param scale: slots of the whole fleet for each slot of ``servers``.
        """

    def hear(self, vm: str, routes: Mapping[str, RouteLoad]) -> None:
        """Take the load that a peer states."""


share_policies: Registry[Callable[[ShareTools], SharePolicy]] = Registry("fairness policy")


@share_policies.register("local")
class LocalShares:
    """Divides equally and weighs accounts alike on all daemons; a baseline."""

    def __init__(self, tools: ShareTools) -> None:
        self._tools = tools

    def weigh(self, account: Account) -> float:
        """Return the agreed rate, wherever the account's callers are."""
        return account.rate

    def credit(self, account: Account) -> float:
        """Let no account use later what it left."""
        return 0.0

    def divide(self, servers: Sequence[Server], scale: float = 1.0) -> dict[str, Places]:
        """Return an equal part of each server."""
        return divide_equally(servers, self._tools.live_daemons())

    def hear(self, vm: str, routes: Mapping[str, RouteLoad]) -> None:
        """Use no figures of peers."""


class _Heard(NamedTuple):
    at: float
    routes: Mapping[str, RouteLoad]


@share_policies.register("fleet")
class FleetShares:
    """Divides in proportion to the agreed rate of the accounts that wait at each daemon.

    The sum over the fleet is the mean over the peers heard lately times their number, so
    that each daemon sends a constant number of bytes.
    """

    def __init__(self, tools: ShareTools) -> None:
        self._tools = tools
        self._lock = threading.Lock()
        self._heard: dict[str, _Heard] = {}

    def weigh(self, account: Account) -> float:
        """Return the part of the agreed rate that is in use here.

        With the whole rate on each daemon, an account would have a turn for each daemon
        that its callers use.
        """
        least = _MIN_HELD_SHARE * account.rate / max(1, self._tools.live_daemons())
        return min(account.rate, max(least, self._tools.held_rate(account)))

    def credit(self, account: Account) -> float:
        """Return the agreed burst in virtual time.

        The few requests of a small account come unevenly. Without credit it loses each turn
        that it does not use at once, and larger accounts get those.
        """
        return account.burst / account.rate if account.rate > 0.0 else 0.0

    def divide(self, servers: Sequence[Server], scale: float = 1.0) -> dict[str, Places]:
        """Return a part by weight while requests wait anywhere, else an equal one."""
        own = self._tools.own_load()
        names = {route for server in servers for route in server.routes}
        fleet = {name: self._sum_fleet(name, own.get(name, NO_ROUTE_LOAD)) for name in names}
        if not any(load.weight for load in fleet.values()):
            return divide_equally(servers, self._tools.live_daemons())
        parts = {
            server.name: scale * _find_part(server, servers, own, fleet, scale)
            for server in servers
        }
        floors = _round_parts(self._tools.vm, parts)
        return {
            server.name: Places(floors[server.name], int(server.slots * _RESERVE_SHARE))
            for server in servers
        }

    def hear(self, vm: str, routes: Mapping[str, RouteLoad]) -> None:
        """Take the load that a peer states."""
        now = self._tools.clock.now()
        with self._lock:
            self._heard[vm] = _Heard(now, routes)
            limit = now - _HEARD_LIFE_SECONDS
            for name in [name for name, heard in self._heard.items() if heard.at < limit]:
                del self._heard[name]

    def _sum_fleet(self, route: str, own: RouteLoad) -> RouteLoad:
        """Return the waiting weight of all daemons, and what daemons without any run."""
        limit = self._tools.clock.now() - _HEARD_LIFE_SECONDS
        with self._lock:
            heard = [
                entry.routes.get(route, NO_ROUTE_LOAD)
                for entry in self._heard.values()
                if entry.at >= limit
            ]
        others = max(0, self._tools.live_daemons() - 1) / max(1, len(heard))
        weight = own.weight + others * sum(load.weight for load in heard)
        running = sum(load.running for load in heard if not load.weight)
        return RouteLoad(weight, others * running)


def _find_part(
    server: Server,
    servers: Sequence[Server],
    own: Mapping[str, RouteLoad],
    fleet: Mapping[str, RouteLoad],
    scale: float,
) -> float:
    """Return the slots of a server that are this daemon's by weight.

    Daemons where nothing waits keep what they run; the others divide the rest.
    """
    all_weight = sum(fleet[name].weight for name in server.routes)
    if not all_weight:
        return 0.0
    own_weight = sum(own.get(name, NO_ROUTE_LOAD).weight for name in server.routes)
    kept = 0.0
    for name in server.routes:
        slots = scale * sum(entry.slots for entry in servers if name in entry.routes)
        kept += fleet[name].running * server.slots / slots
    return max(0.0, server.slots - kept) * own_weight / all_weight


def _round_parts(vm: str, parts: Mapping[str, float]) -> dict[str, int]:
    """Round parts to whole places with the same sum, at least one in all.

    The order of the servers that get the odd places differs between daemons.
    """
    floors = {name: int(part) for name, part in parts.items()}
    odd = max(1, round(sum(parts.values()))) - sum(floors.values())
    order = sorted(parts, key=lambda name: xxhash.xxh64_intdigest(f"{vm}\0{name}".encode()))
    for name in order[:odd]:
        floors[name] += 1
    return floors


def divide_equally(servers: Sequence[Server], daemons: int) -> dict[str, Places]:
    """Return an equal part of each server, at least one place on each."""
    return {server.name: Places(max(1, server.slots // max(1, daemons))) for server in servers}
