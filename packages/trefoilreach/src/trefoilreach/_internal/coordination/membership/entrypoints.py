"""Answers which addresses callers should use."""

import random
from typing import NamedTuple

from trefoilreach._internal.coordination.membership.peers import LIVE, SUSPECT, Member, Peers

# A caller keeps a few addresses; some of them are in other data centres, so that the
# answer is still of use when the nearest one is lost.
_NEAR_LIMIT = 24
_FAR_LIMIT = 8


class EntryPoint(NamedTuple):
    """One address for callers."""

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
        usable = self._usable()
        place = data_centre or self._peers.self_member.data_centre
        regions = [member.region for member in usable if member.data_centre == place]
        region = regions[0] if regions else self._peers.self_member.region
        # Callers start with the first address, so equals change places.
        random.shuffle(usable)
        usable.sort(key=lambda member: _distance(member, place, region))
        far = [member for member in usable[_NEAR_LIMIT:] if member.data_centre != place]
        chosen = usable[:_NEAR_LIMIT] + far[:_FAR_LIMIT]
        return [_to_entry(member) for member in chosen]

    def _usable(self) -> list[Member]:
        live = self._peers.live()
        if live:
            return live
        # Every other daemon is suspected and this one is leaving.
        return [member for member in self._peers.members() if member.state in (LIVE, SUSPECT)]


def _distance(member: Member, data_centre: str, region: str) -> int:
    if member.data_centre == data_centre:
        return 0
    return 1 if member.region == region else 2


def _to_entry(member: Member) -> EntryPoint:
    return EntryPoint(member.vm, member.host, member.http_port, member.data_centre, member.region)
