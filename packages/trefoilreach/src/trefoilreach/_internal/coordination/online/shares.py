"""Slots of the shared servers that a daemon may use; ``[routing] fairness`` names the policy.

Every daemon has its own admission queues. They are fair over the whole fleet only if a
daemon with more waiting work also gets more slots on the servers.
"""

import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

import xxhash

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.peers import NO_ROUTE_LOAD, RouteLoad
from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.config import Account, Server

# Share of a server's slots that a daemon above its floor leaves to daemons below theirs.
# Reports lag, so without it a daemon would refill each free slot before the daemon that
# should get it sees the slot.
_RESERVED_SLOT_SHARE = 0.125
# Smallest weight of an account on a daemon, as a share of its rate divided equally over the
# daemons: callers that have just begun to use a daemon need some weight there.
_MIN_LOCAL_RATE_SHARE = 0.25
# Each daemon exchanges load figures with about two peers per probe interval.
_PEER_LOAD_TTL_SECONDS = 10.0


class SlotAllowance(NamedTuple):
    """Slots of one server that a daemon may use.

    :param floor: online requests that it may always run there, so that neither batch
        items nor other daemons that refill each slot at once can starve it.
    :param reserve: slots that it leaves free once it runs ``floor`` requests or more.
    """

    floor: int
    reserve: int = 0


class ShareContext(NamedTuple):
    """What every policy needs from the daemon.

    :param vm: name of this daemon.
    :param live_daemons: number of daemons that share the servers.
    :param local_rate: share of an account's agreed rate that its callers use at this daemon.
    :param own_load: load of this daemon by route.
    """

    clock: Clock
    vm: str
    live_daemons: Callable[[], int]
    local_rate: Callable[[Account], float]
    own_load: Callable[[], Mapping[str, RouteLoad]]


class SharePolicy(Protocol):
    """Allocates server slots to daemons, and weights to accounts."""

    def account_weight(self, account: Account) -> float:
        """Return the weight of an account in the queues of this daemon."""

    def credit(self, account: Account) -> float:
        """Return how far before virtual time an account may start, in virtual seconds."""

    def allocate_slots(
        self, servers: Sequence[Server], scale: float = 1.0
    ) -> dict[str, SlotAllowance]:
        """Return the slot allowance of this daemon on each server.

        :param scale: slots of the whole fleet, divided by the slots of ``servers``.
        """

    def apply_peer_load(self, vm: str, routes: Mapping[str, RouteLoad]) -> None:
        """Store the load that a peer reports."""


share_policies: Registry[Callable[[ShareContext], SharePolicy]] = Registry("fairness policy")


@share_policies.register("local")
class LocalShares:
    """Allocates slots equally and weighs accounts alike on all daemons; a baseline."""

    def __init__(self, context: ShareContext) -> None:
        self._context = context

    def account_weight(self, account: Account) -> float:
        """Return the agreed rate, whichever daemons the account's callers use."""
        return account.rate

    def credit(self, account: Account) -> float:
        """Return 0: capacity that an account did not use is not credited later."""
        return 0.0

    def allocate_slots(
        self, servers: Sequence[Server], scale: float = 1.0
    ) -> dict[str, SlotAllowance]:
        """Return an equal share of each server."""
        return allocate_equally(servers, self._context.live_daemons())

    def apply_peer_load(self, vm: str, routes: Mapping[str, RouteLoad]) -> None:
        """Ignore the load of peers."""


class _PeerLoad(NamedTuple):
    """Load of one peer by route, and when it was received."""

    received_at: float
    routes: Mapping[str, RouteLoad]


@share_policies.register("fleet")
class FleetShares:
    """Allocates slots in proportion to the agreed rates of the accounts waiting at each daemon.

    The load of the other daemons is taken as their number times the mean of the peers that
    reported recently, so each daemon sends a constant number of bytes.
    """

    def __init__(self, context: ShareContext) -> None:
        self._context = context
        self._lock = threading.Lock()
        self._peer_loads: dict[str, _PeerLoad] = {}

    def account_weight(self, account: Account) -> float:
        """Return the share of the agreed rate that is in use at this daemon.

        With the whole rate as weight on each daemon, an account would get more the more
        daemons its callers use.
        """
        minimum = _MIN_LOCAL_RATE_SHARE * account.rate / max(1, self._context.live_daemons())
        return min(account.rate, max(minimum, self._context.local_rate(account)))

    def credit(self, account: Account) -> float:
        """Return the agreed burst in virtual time.

        The few requests of a small account arrive unevenly. Without credit, larger accounts
        would get the capacity that it does not use immediately.
        """
        return account.burst / account.rate if account.rate > 0.0 else 0.0

    def allocate_slots(
        self, servers: Sequence[Server], scale: float = 1.0
    ) -> dict[str, SlotAllowance]:
        """Return a share by weight while requests wait at any daemon, else an equal one."""
        own = self._context.own_load()
        names = {route for server in servers for route in server.routes}
        fleet = {
            name: self._estimate_fleet_load(name, own.get(name, NO_ROUTE_LOAD)) for name in names
        }
        if not any(load.weight for load in fleet.values()):
            return allocate_equally(servers, self._context.live_daemons())
        exact = {
            server.name: scale * _find_weighted_slots(server, servers, own, fleet, scale)
            for server in servers
        }
        floors = _round_to_whole_slots(self._context.vm, exact)
        return {
            server.name: SlotAllowance(
                floors[server.name], int(server.slots * _RESERVED_SLOT_SHARE)
            )
            for server in servers
        }

    def apply_peer_load(self, vm: str, routes: Mapping[str, RouteLoad]) -> None:
        """Store the load that a peer reports."""
        now = self._context.clock.now()
        with self._lock:
            self._peer_loads[vm] = _PeerLoad(now, routes)
            oldest = now - _PEER_LOAD_TTL_SECONDS
            for name in [
                name for name, reported in self._peer_loads.items() if reported.received_at < oldest
            ]:
                del self._peer_loads[name]

    def _estimate_fleet_load(self, route: str, own: RouteLoad) -> RouteLoad:
        """Return the waiting weight of all daemons, and the requests that the others run.

        Running requests count only at daemons where nothing waits.
        """
        oldest = self._context.clock.now() - _PEER_LOAD_TTL_SECONDS
        with self._lock:
            reported = [
                entry.routes.get(route, NO_ROUTE_LOAD)
                for entry in self._peer_loads.values()
                if entry.received_at >= oldest
            ]
        others = max(0, self._context.live_daemons() - 1) / max(1, len(reported))
        weight = own.weight + others * sum(load.weight for load in reported)
        running = sum(load.running for load in reported if not load.weight)
        return RouteLoad(weight, others * running)


def _find_weighted_slots(
    server: Server,
    servers: Sequence[Server],
    own: Mapping[str, RouteLoad],
    fleet: Mapping[str, RouteLoad],
    scale: float,
) -> float:
    """Return this daemon's slots of a server in proportion to its waiting weight.

    Daemons where nothing waits keep the slots that they use; the others divide the rest.
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


def _round_to_whole_slots(vm: str, exact: Mapping[str, float]) -> dict[str, int]:
    """Round shares to whole slots with the same sum, at least one in total.

    The order in which servers get the remaining slots differs between daemons.
    """
    floors = {name: int(slots) for name, slots in exact.items()}
    remainder = max(1, round(sum(exact.values()))) - sum(floors.values())
    order = sorted(exact, key=lambda name: xxhash.xxh64_intdigest(f"{vm}\0{name}".encode()))
    for name in order[:remainder]:
        floors[name] += 1
    return floors


def allocate_equally(servers: Sequence[Server], daemons: int) -> dict[str, SlotAllowance]:
    """Return an equal share of each server, at least one slot on each."""
    return {
        server.name: SlotAllowance(max(1, server.slots // max(1, daemons))) for server in servers
    }
