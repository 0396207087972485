"""Makes and reads probes, with the state and the news that ride on them."""

from collections.abc import Callable

from trefoilreach._internal.coordination.membership.member_table import MemberTable
from trefoilreach._internal.coordination.membership.member_wire import from_update, to_update
from trefoilreach._internal.coordination.membership.peers import PeerState, RouteLoad
from trefoilreach._internal.protocol.gen.peer.ttypes import ModelDemand, ProbeReply, ProbeRequest
from trefoilreach._internal.protocol.gen.peer.ttypes import RouteLoad as RouteLoadMessage

# Per message, so that its size does not grow with the number of routes.
MAX_ROUTES = 32


class ProbeMessages:
    """Probes of this daemon and answers to those of peers.

    ``own_state`` gives what rides on probes; ``heard`` is told what rode on those of a peer.
    """

    def __init__(self, table: MemberTable) -> None:
        self.own_state: Callable[[], PeerState] = lambda: PeerState(0, 0)
        self.heard: Callable[[str, PeerState], None] = lambda vm, state: None
        self.own_demands: Callable[[], list[ModelDemand]] = list
        self.heard_demands: Callable[[str, list[ModelDemand]], None] = lambda vm, demands: None
        self._table = table

    def make_request(self, receiver: str | None) -> ProbeRequest:
        """Return a probe for a member, or for an address whose VM is not known."""
        own = self.own_state()
        return ProbeRequest(
            sender=to_update(self._table.own),
            config_version=own.config_version,
            withdrawals_digest=own.withdrawals_digest,
            updates=self._table.take_updates(receiver),
            routes=to_route_loads(own),
            demands=self.own_demands(),
        )

    def take_reply(self, reply: ProbeReply) -> PeerState:
        """Take the news of an answer; return the state that rode on it."""
        sender = from_update(reply.sender)
        self._table.merge([sender, *map(from_update, reply.updates)])
        state = to_state(reply)
        self.heard(sender.vm, state)
        self.heard_demands(sender.vm, reply.demands or [])
        return state

    def answer(self, request: ProbeRequest) -> ProbeReply:
        """Answer the probe of a peer."""
        sender = from_update(request.sender)
        self._table.merge([sender, *map(from_update, request.updates)])
        state = to_state(request)
        self.heard(sender.vm, state)
        self.heard_demands(sender.vm, request.demands or [])
        own = self.own_state()
        return ProbeReply(
            sender=to_update(self._table.own),
            config_version=own.config_version,
            withdrawals_digest=own.withdrawals_digest,
            updates=self._table.take_updates(sender.vm),
            routes=to_route_loads(own),
            demands=self.own_demands(),
        )


def to_route_loads(state: PeerState) -> list[RouteLoadMessage]:
    """Encode the load of a daemon, of the routes with the most waiting weight."""
    loads = sorted(state.routes.items(), key=lambda entry: entry[1], reverse=True)
    return [
        RouteLoadMessage(route, load.weight, int(load.running))
        for route, load in loads[:MAX_ROUTES]
    ]


def to_state(message: ProbeRequest | ProbeReply) -> PeerState:
    """Decode what a peer says about itself; earlier versions state no load."""
    routes = {entry.route: RouteLoad(entry.weight, entry.running) for entry in message.routes or ()}
    return PeerState(message.config_version, message.withdrawals_digest, routes)
