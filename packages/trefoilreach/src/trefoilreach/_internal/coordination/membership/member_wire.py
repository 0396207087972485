"""Encoding of members in peer messages, and precedence between two updates on a member."""

from trefoilreach._internal.coordination.membership.peers import (
    LEAVING,
    LIVE,
    SUSPECT,
    UNREACHABLE,
    Member,
)
from trefoilreach._internal.protocol.gen.peer.ttypes import MemberState, MemberUpdate

_CODES = {
    LIVE: MemberState.LIVE,
    LEAVING: MemberState.LEAVING,
    SUSPECT: MemberState.SUSPECT,
    UNREACHABLE: MemberState.UNREACHABLE,
}
_STATES = {code: state for state, code in _CODES.items()}


def to_update(member: Member) -> MemberUpdate:
    """Encode a member for the wire."""
    return MemberUpdate(
        vm=member.vm,
        host=member.host,
        peer_port=member.peer_port,
        http_port=member.http_port,
        data_centre=member.data_centre,
        region=member.region,
        incarnation=member.incarnation,
        state=_CODES[member.state],
    )


def from_update(update: MemberUpdate) -> Member:
    """Decode a member from the wire."""
    return Member(
        vm=update.vm,
        host=update.host,
        http_port=update.http_port,
        peer_port=update.peer_port,
        data_centre=update.data_centre,
        region=update.region,
        incarnation=update.incarnation,
        state=_STATES[update.state],
    )


def overrides(new: Member, old: Member) -> bool:
    """Return whether ``new`` takes precedence over ``old`` for the same VM.

    The higher incarnation wins; with equal incarnations, the higher state code does.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return _CODES[new.state] > _CODES[old.state]
