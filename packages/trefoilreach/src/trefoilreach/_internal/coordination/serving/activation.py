"""Decides which daemons are active: take callers, follow each other's every change and run jobs.

Load pattern: a fleet of hundreds of VMs whose requests need only some of them. Every active daemon
reads the reports of all active ones, so that the cost of the reports grows with the square of their
number. The others stand by: they report rarely, can serve a request that reaches them, and replace
active daemons that are lost. A fleet with fewer VMs than it needs active ones has no standby.

Each daemon decides for itself by what the others report. Daemons that decide differently are too
many or too few active ones for a moment, which costs messages or shares the load among fewer.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

# Slots of the workers for each active daemon. An online run takes about 4 ms of processor time, and
# a slot ends fewer than two runs a second, so 16 busy slots take less than an eighth of a core.
_SLOTS_PER_ACTIVE_DAEMON = 16
# With fewer active daemons, the loss of one would break too many streams.
_MIN_ACTIVE_DAEMONS = 16
# A data centre may be cut off together with its active daemons.
_MIN_ACTIVE_PER_DATA_CENTRE = 3
# Callers of the platform accept no more addresses than this.
MAX_ACTIVE_DAEMONS = 64
# A VM with less than this share of the cores of the strongest VM counts as weak.
_STRONG_VM_CORES_SHARE = 0.5
# A daemon that has just started knows few of the others, and would consider itself among the best.
_LEARNING_SECONDS = 1.5
# Standby daemons hear of a new active one within about this time.
_ROLE_HEARD_SECONDS = 1.0
# While active daemons are missing after that, each such time twice as many standby daemons may
# replace them, because some of those that should may be lost as well.
_SHORTAGE_DOUBLING_SECONDS = 0.6
_MAX_SHORTAGE_DOUBLINGS = 10.0
# Longest time for which callers use the addresses that they were given.
_CALLERS_LEAVE_SECONDS = 10.0
# An active daemon still takes callers for this long after better ones have become active.
_SURPLUS_SECONDS = 3.0


class FleetMember(NamedTuple):
    """A daemon that is live and not leaving.

    :param cores: processor cores of its VM.
    """

    vm: str
    data_centre: str
    cores: float
    active: bool


class FleetView(NamedTuple):
    """What a daemon knows of the fleet when it decides on its own role.

    :param members: all members, including this daemon.
    :param known_daemons: number of daemons that the store names, live or not; 0 before its answer.
    :param slots: slots of all workers.
    """

    members: Sequence[FleetMember]
    known_daemons: int
    slots: int


class Role(NamedTuple):
    """Role of a daemon.

    :param active: whether it follows every change of the active daemons and may own jobs.
    :param offered: whether callers are directed to it; only if it is active.
    """

    active: bool
    offered: bool


def is_strong(cores: float, strongest: float) -> bool:
    """Return whether a VM is strong.

    :param cores: its processor cores.
    :param strongest: cores of the strongest VM.
    """
    return cores >= _STRONG_VM_CORES_SHARE * strongest


def count_wanted(view: FleetView) -> int:
    """Return how many daemons of the fleet should be active."""
    data_centres = len({member.data_centre for member in view.members})
    wanted = max(
        _MIN_ACTIVE_DAEMONS,
        _MIN_ACTIVE_PER_DATA_CENTRE * data_centres,
        -(-view.slots // _SLOTS_PER_ACTIVE_DAEMON),
    )
    return min(wanted, MAX_ACTIVE_DAEMONS)


def rank_members(members: Iterable[FleetMember]) -> list[FleetMember]:
    """Return members in the order in which they should be active.

    Strong VMs go first, in turn from each data centre. The order is the same on all daemons.
    """
    ordered = sorted(members, key=lambda member: (-member.cores, member.vm))
    strongest = ordered[0].cores if ordered else 0.0
    counts: dict[tuple[bool, str], int] = {}
    keys: dict[str, tuple[bool, int, str]] = {}
    for member in ordered:
        weak = not is_strong(member.cores, strongest)
        turn = counts.get((weak, member.data_centre), 0)
        counts[weak, member.data_centre] = turn + 1
        keys[member.vm] = (weak, turn, member.data_centre)
    return sorted(ordered, key=lambda member: keys[member.vm])


class RolePolicy:
    """Decides on the role of one daemon; not thread-safe.

    :param vm: VM of the daemon.
    :param started_at: start of its process.
    """

    def __init__(self, vm: str, started_at: float) -> None:
        self._vm = vm
        self._started_at = started_at
        self._shortage_since: float | None = None
        self._surplus_since: float | None = None
        self._withdrawn_at = float("-inf")
        self._learning = True
        self.role = Role(active=False, offered=False)

    @property
    def deciding(self) -> bool:
        """Whether the role may change soon although the fleet stays as it is."""
        waiting = self._shortage_since is not None or self._surplus_since is not None
        return self._learning or waiting or self.role.active != self.role.offered

    def update(self, view: FleetView, now: float, busy: bool) -> Role:
        """Decide by what is known now and return the role.

        :param busy: whether requests or jobs of this daemon are running.
        """
        wanted = count_wanted(view)
        small_fleet = 0 < view.known_daemons <= wanted
        if now - self._started_at < _LEARNING_SECONDS and not small_fleet:
            return self.role
        self._learning = False
        ranked = rank_members(view.members)
        vms = [member.vm for member in ranked]
        place = vms.index(self._vm) if self._vm in vms else len(vms)
        if self.role.offered:
            if self._must_withdraw(ranked, place, wanted, now):
                self._withdrawn_at = now
                self._surplus_since = None
                self.role = Role(active=True, offered=False)
        elif place < wanted or self._must_replace_lost(ranked, wanted, now):
            self._shortage_since = None
            self.role = Role(active=True, offered=True)
        elif not busy and now - self._withdrawn_at >= _CALLERS_LEAVE_SECONDS:
            self.role = Role(active=False, offered=False)
        return self.role

    def activate(self, now: float) -> Role:
        """Become active without being offered to callers, because one of them needs it."""
        if not self.role.active:
            self._withdrawn_at = now
            self.role = Role(active=True, offered=False)
        return self.role

    def _must_withdraw(
        self, ranked: Sequence[FleetMember], place: int, wanted: int, now: float
    ) -> bool:
        """Return whether enough better daemons have been active for a while."""
        better = sum(member.active for member in ranked[:place])
        if better < wanted:
            self._surplus_since = None
            return False
        if self._surplus_since is None:
            self._surplus_since = now
        return now - self._surplus_since >= _SURPLUS_SECONDS

    def _must_replace_lost(self, ranked: Sequence[FleetMember], wanted: int, now: float) -> bool:
        """Return whether this standby daemon is among those that replace lost active ones."""
        missing = wanted - sum(member.active for member in ranked)
        if missing <= 0:
            self._shortage_since = None
            return False
        if self._shortage_since is None:
            self._shortage_since = now
        overdue = max(0.0, now - self._shortage_since - _ROLE_HEARD_SECONDS)
        doublings = min(_MAX_SHORTAGE_DOUBLINGS, overdue / _SHORTAGE_DOUBLING_SECONDS)
        standby = [member.vm for member in ranked if not member.active]
        return self._vm in standby[: int(missing * 2.0**doublings)]
