"""Selects the daemon addresses that callers should use."""

import random
from typing import NamedTuple

from trefoilreach._internal.coordination.membership.peers import LIVE, SUSPECT, Member, Peers

# Part of the addresses are in other data centres, so that callers can still reach the fleet
# when the nearest data centre is lost.
_MAX_NEAREST = 24
_MAX_REMOTE = 8


class EntryPoint(NamedTuple):
    """Address and location of a daemon that callers may use."""

    vm: str
    host: str
    port: int
    data_centre: str
    region: str


class EntryPoints:
    """Chooses entry points from the membership."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def choose(self, data_centre: str | None = None) -> list[EntryPoint]:
        """Return the addresses to use now, nearest first.

        :param data_centre: where the caller is; None means near this daemon.
        """
        usable = self._list_usable()
        place = data_centre or self._peers.own_member.data_centre
        regions = [member.region for member in usable if member.data_centre == place]
        region = regions[0] if regions else self._peers.own_member.region
        # Callers try the first address first, so equally near daemons are shuffled to spread load.
        random.shuffle(usable)
        usable.sort(key=lambda member: _distance(member, place, region))
        far = [member for member in usable[_MAX_NEAREST:] if member.data_centre != place]
        chosen = usable[:_MAX_NEAREST] + far[:_MAX_REMOTE]
        return [_to_entry_point(member) for member in chosen]

    def _list_usable(self) -> list[Member]:
        live = self._peers.list_live()
        if live:
            return live
        # This daemon is leaving and no peer is live, so suspected peers are the best choice left.
        return [member for member in self._peers.members() if member.state in (LIVE, SUSPECT)]


def _distance(member: Member, data_centre: str, region: str) -> int:
    if member.data_centre == data_centre:
        return 0
    return 1 if member.region == region else 2


def _to_entry_point(member: Member) -> EntryPoint:
    return EntryPoint(member.vm, member.host, member.http_port, member.data_centre, member.region)
