"""Builds and reads probe messages, with the state and member updates that they carry."""

from collections.abc import Callable

from trefoilreach._internal.coordination.membership.member_table import MemberTable
from trefoilreach._internal.coordination.membership.member_wire import from_update, to_update
from trefoilreach._internal.coordination.membership.peers import PeerState, RouteLoad
from trefoilreach._internal.protocol.gen.peer.ttypes import ModelDemand, ProbeReply, ProbeRequest
from trefoilreach._internal.protocol.gen.peer.ttypes import RouteLoad as RouteLoadMessage

# Per message, so that message size does not grow with the number of routes.
MAX_ROUTES = 32


class ProbeMessages:
    """Builds probes of this daemon and answers probes of peers.

    ``own_state`` returns the state to send with a probe; ``on_peer_state`` is called with the
    VM and state of a peer. ``own_demands`` and ``on_peer_demands`` do so for model demands.
    """

    def __init__(self, table: MemberTable) -> None:
        self.own_state: Callable[[], PeerState] = lambda: PeerState(0, 0)
        self.on_peer_state: Callable[[str, PeerState], None] = lambda vm, state: None
        self.own_demands: Callable[[], list[ModelDemand]] = list
        self.on_peer_demands: Callable[[str, list[ModelDemand]], None] = lambda vm, demands: None
        self._table = table

    def make_request(self, receiver: str | None) -> ProbeRequest:
        """Build a probe for a member; ``receiver`` is None for seeds and broadcasts."""
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
        """Merge the updates of a probe answer; return the peer's state."""
        sender = from_update(reply.sender)
        self._table.merge([sender, *map(from_update, reply.updates)])
        state = decode_state(reply)
        self.on_peer_state(sender.vm, state)
        self.on_peer_demands(sender.vm, reply.demands or [])
        return state

    def answer(self, request: ProbeRequest) -> ProbeReply:
        """Merge the updates of a peer's probe and build the answer."""
        sender = from_update(request.sender)
        self._table.merge([sender, *map(from_update, request.updates)])
        state = decode_state(request)
        self.on_peer_state(sender.vm, state)
        self.on_peer_demands(sender.vm, request.demands or [])
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
    """Encode the load of the routes with the highest waiting weight, up to ``MAX_ROUTES``."""
    loads = sorted(state.routes.items(), key=lambda entry: entry[1], reverse=True)
    return [
        RouteLoadMessage(route, load.weight, int(load.running))
        for route, load in loads[:MAX_ROUTES]
    ]


def decode_state(message: ProbeRequest | ProbeReply) -> PeerState:
    """Decode the state of a peer; daemons of earlier versions send no load."""
    routes = {entry.route: RouteLoad(entry.weight, entry.running) for entry in message.routes or ()}
    return PeerState(message.config_version, message.withdrawals_digest, routes)
