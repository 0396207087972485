"""Member states of the fleet, from gossip updates and from the platform's VM list."""

import math
import threading

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.member_wire import overrides, to_update
from trefoilreach._internal.coordination.membership.peers import (
    LEAVING,
    LIVE,
    SUSPECT,
    UNREACHABLE,
    Member,
)
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import MemberUpdate
from trefoilreach._internal.settings import DaemonSettings
from trefoilreach._internal.state.vms import Vm

MAX_UPDATES = 10  # per message, so that message size does not grow with the fleet
_SPREAD_FACTOR = 3  # an update is sent at most this factor times log2(members) times
_MAX_REMOVED_VMS = 4096


class MemberTable:
    """Holds the members, pending suspicions and the updates that are still to be gossiped."""

    def __init__(self, clock: Clock, daemon: DaemonSettings) -> None:
        self._clock = clock
        self._default_ports = (daemon.http_port, daemon.peer_port)
        self._lock = threading.RLock()
        # The wall clock gives a restarted daemon a higher incarnation than before. If the clock
        # went back, peers still send the old incarnation and this daemon raises its own above it.
        incarnation = int(clock.wall_time() * 1000)
        self._own = Member(
            daemon.name,
            daemon.host,
            daemon.http_port,
            daemon.peer_port,
            daemon.data_centre,
            daemon.region,
            incarnation,
            LIVE,
        )
        self._members: dict[str, Member] = {}
        self._suspected_at: dict[str, float] = {}
        self._send_counts: dict[str, int] = {}
        self._removed_vms: dict[str, None] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._listed: tuple[Vm, ...] | None = None

    @property
    def own(self) -> Member:
        """Member entry of this daemon."""
        with self._lock:
            return self._own

    def members(self) -> list[Member]:
        """Return every known daemon but this one, whatever its state."""
        with self._lock:
            return [self._apply_listed_state(member) for member in self._members.values()]

    def list_live(self) -> list[Member]:
        """Return the daemons that can be given work, this one included."""
        with self._lock:
            everyone = [self._own, *map(self._apply_listed_state, self._members.values())]
        return [member for member in everyone if member.state == LIVE]

    def listed(self) -> tuple[Vm, ...] | None:
        """Return the platform's last list of VMs, or None before the first answer."""
        with self._lock:
            return self._listed

    def find(self, vm: str) -> Member | None:
        """Return a member by VM name with its gossiped state, without the platform's list."""
        with self._lock:
            return self._members.get(vm)

    def names(self) -> list[str]:
        """Return the names of all members but this daemon."""
        with self._lock:
            return list(self._members)

    def addresses(self) -> set[tuple[str, int]]:
        """Return the peer addresses of all members but this daemon."""
        with self._lock:
            return {(member.host, member.peer_port) for member in self._members.values()}

    def leave(self) -> None:
        """Mark this daemon as leaving."""
        with self._lock:
            self._update_own(self._own.incarnation + 1, LEAVING)

    def apply_list(self, vms: list[Vm]) -> list[Member]:
        """Apply the platform's VM list; return the members that are no longer listed."""
        with self._lock:
            names = {vm.name for vm in vms}
            dropped = [vm.name for vm in self._listed or () if vm.name not in names]
            removed = [member for vm in dropped if (member := self._remove(vm)) is not None]
            self._listed = tuple(vms)
            self._listed_leaving = frozenset(vm.name for vm in vms if vm.state == LEAVING)
            for vm in vms:
                self._removed_vms.pop(vm.name, None)
                if vm.name != self._own.vm and vm.name not in self._members:
                    self._members[vm.name] = self._from_listed(vm)
            return removed

    def merge(self, members: list[Member]) -> None:
        """Merge gossip updates about members."""
        with self._lock:
            for member in members:
                if member.vm == self._own.vm:
                    self._refute(member)
                elif member.vm not in self._removed_vms:
                    self._adopt(member)

    def suspect(self, vm: str) -> None:
        """Mark a member that did not answer as suspect."""
        with self._lock:
            current = self._members.get(vm)
            if current is not None and current.state in (LIVE, LEAVING):
                self._adopt(current._replace(state=SUSPECT))

    def expire_suspicions(self, seconds: float) -> None:
        """Mark members unreachable that did not refute a suspicion within ``seconds``."""
        limit = self._clock.now() - seconds
        with self._lock:
            for vm in [vm for vm, since in self._suspected_at.items() if since <= limit]:
                self._adopt(self._members[vm]._replace(state=UNREACHABLE))

    def extend_suspicions(self, gap: float) -> None:
        """Extend suspicion timeouts by ``gap`` seconds for the time this daemon was paused.

        Members could not refute a suspicion here meanwhile.
        """
        with self._lock:
            for vm in self._suspected_at:
                self._suspected_at[vm] += gap

    def take_updates(self, receiver: str | None) -> list[MemberUpdate]:
        """Return the least often sent updates, at most ``MAX_UPDATES``.

        An update that marks the receiver as suspect or unreachable is always included, so that
        it can refute it.
        """
        with self._lock:
            chosen: list[str] = []
            held = self._members.get(receiver or "")
            if held is not None and held.state in (SUSPECT, UNREACHABLE):
                chosen.append(held.vm)
            fresh = sorted(self._send_counts, key=self._send_counts.__getitem__)
            chosen += [vm for vm in fresh if vm != receiver]
            del chosen[MAX_UPDATES:]
            self._count_sent(chosen)
            return [to_update(self._members[vm]) for vm in chosen if vm in self._members]

    def _from_listed(self, vm: Vm) -> Member:
        http_port, peer_port = self._default_ports
        return Member(
            vm.name,
            vm.host,
            vm.http_port or http_port,
            vm.peer_port or peer_port,
            vm.data_centre,
            vm.region,
            0,
            LIVE,
        )

    def _apply_listed_state(self, member: Member) -> Member:
        """Return the member, as leaving when the platform's list marks it so."""
        if member.state == LIVE and member.vm in self._listed_leaving:
            return member._replace(state=LEAVING)
        return member

    def _remove(self, vm: str) -> Member | None:
        member = self._members.pop(vm, None)
        self._suspected_at.pop(vm, None)
        self._send_counts.pop(vm, None)
        self._removed_vms[vm] = None
        while len(self._removed_vms) > _MAX_REMOVED_VMS:
            self._removed_vms.pop(next(iter(self._removed_vms)))
        if member is not None:
            log_event("membership:gone", peer=vm)
        return member

    def _refute(self, claim: Member) -> None:
        wrong_state = claim.state != self._own.state
        same = claim.incarnation == self._own.incarnation
        if claim.incarnation > self._own.incarnation or (same and wrong_state):
            self._update_own(claim.incarnation + 1, self._own.state)

    def _update_own(self, incarnation: int, state: str) -> None:
        self._own = self._own._replace(incarnation=incarnation, state=state)

    def _adopt(self, member: Member) -> None:
        known = self._members.get(member.vm)
        if known is not None and not overrides(member, known):
            return
        self._members[member.vm] = member
        self._send_counts[member.vm] = 0
        self._suspected_at.pop(member.vm, None)
        if member.state == SUSPECT:
            self._suspected_at[member.vm] = self._clock.now()
        if known is None or known.state != member.state:
            log_event("membership:state", peer=member.vm, state=member.state)

    def _count_sent(self, names: list[str]) -> None:
        limit = _SPREAD_FACTOR * max(1, math.ceil(math.log2(len(self._members) + 2)))
        for vm in names:
            if vm not in self._send_counts:
                continue
            self._send_counts[vm] += 1
            if self._send_counts[vm] >= limit:
                del self._send_counts[vm]
