"""Which slots of the quota this daemon may use, and until when.

Rate and burst of each account are split into equal slots. A slot belongs to one process
of one VM through the table row :data:`~quota_row.SLOTS_KEY`. A daemon uses its slots only for
:data:`VALID_SECONDS` after the table, or most of the other owners, confirmed that no
newer row is known. A process that takes over a slot whose owner may still run first tells
the other owners of the new row and then waits until every earlier confirmation and the
loans made under it have ended.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from trefoilreach._internal.clock import DRIFT_MARGIN
from trefoilreach._internal.coordination.quota.row import (
    NEW,
    SLOTS_PER_SHARD,
    TAKEN,
    SlotRow,
    vm_of,
)

# A confirmation is refreshed every second; five seconds outlast a slow table answer.
VALID_SECONDS = 5.0

# Number of voters before the platform's list was consulted.
_UNKNOWN = -1


class Pending(NamedTuple):
    """Slots taken over, which are not used yet.

    :param voters: VMs whose knowledge of the row counts.
    :param needed: how many of them must know it.
    :param deposed: VMs that owned the slots.
    """

    indexes: frozenset[int]
    voters: frozenset[str]
    needed: int
    acknowledged: frozenset[str]
    active_at: float
    deposed: frozenset[str]


class Holding(NamedTuple):
    """What this daemon may use of one shard.

    :param owned: slots of the shard in use.
    :param lendable: slots in use that are not about to be passed on.
    :param ends: time of the clock until which they may be used.
    :param generation: changes whenever slots were gained, dropped or had lapsed.
    :param since: for each slot, the time from which unknown accounts fill their buckets.
    """

    owned: int
    lendable: int
    ends: float
    generation: int
    since: tuple[float, ...]


NOTHING_HELD = Holding(0, 0, 0.0, 0, ())


class SlotHolder:
    """Slots of this process; the caller holds the lock of the quota.

    :param owner: name of this process in the row.
    :param loan_seconds: duration of loans, for which a taken slot must rest.
    """

    def __init__(self, owner: str, loan_seconds: float) -> None:
        self._owner = owner
        self._rest_seconds = (VALID_SECONDS + loan_seconds) * DRIFT_MARGIN
        self._row: SlotRow | None = None
        self._since: dict[int, float] = {}
        self._pending: list[Pending] = []
        self._offered: set[int] = set()
        self._dropped: set[int] = set()
        self._valid_until = -math.inf
        self._confirmed_by: dict[str, float] = {}
        self._others: set[str] | None = None
        self._generation = 1
        self._holdings: dict[int, Holding] = {}

    @property
    def row(self) -> SlotRow | None:
        """The newest row known, or None."""
        return self._row

    @property
    def revision(self) -> int:
        """Revision of the newest row known, 0 for none."""
        return 0 if self._row is None else self._row.revision

    @property
    def valid_until(self) -> float:
        """Time until which the slots may be used."""
        return self._valid_until

    @property
    def pending(self) -> list[Pending]:
        """Slots taken over and not yet in use."""
        return self._pending

    @property
    def offered(self) -> set[int]:
        """Slots in use that are lent no more, because they are about to be passed on."""
        return self._offered

    @property
    def dropped(self) -> set[int]:
        """Slots out of use whose next owner is being written."""
        return self._dropped

    def adopt(self, row: SlotRow, now: float) -> bool:
        """Follow a newer row; return whether it was newer."""
        if row.revision <= self.revision:
            return False
        old, self._row = self._row, row
        mine = set(row.owned_by(self._owner))
        self._since = {index: since for index, since in self._since.items() if index in mine}
        self._offered &= mine
        self._dropped &= mine
        self._pending = [
            entry._replace(indexes=entry.indexes & mine)
            for entry in self._pending
            if entry.indexes & mine
        ]
        known = set(self._since).union(*(entry.indexes for entry in self._pending))
        gained = mine - known - self._dropped
        self._gain(gained, row, old or row, now)
        self._confirmed_by = {}
        self._change()
        return True

    def confirm_by_table(self, asked_at: float, now: float) -> None:
        """Note that the table held no newer row when it was asked."""
        self._confirm(asked_at + VALID_SECONDS, now)

    def confirm_by_peer(self, vm: str, revision: int, asked_at: float, now: float) -> None:
        """Note that another owner knew the same row when it was asked."""
        if self._row is None or revision != self.revision:
            return
        self._confirmed_by[vm] = max(asked_at, self._confirmed_by.get(vm, -math.inf))
        self._confirm_by_majority(self._row, now)

    def set_others(self, others: set[str], now: float) -> None:
        """Name the other VMs, most of which confirm the row when this daemon owns every slot."""
        self._others = others
        if self._row is not None:
            self._confirm_by_majority(self._row, now)

    def acknowledge(self, vm: str, revision: int, now: float) -> None:
        """Note that a VM knows the row under which slots were taken over."""
        if revision < self.revision:
            return
        self._pending = [
            self._count_voter(entry, vm, now) if math.isinf(entry.active_at) else entry
            for entry in self._pending
        ]

    def activate(self, now: float) -> None:
        """Begin to use slots whose rest is over."""
        ready = [entry for entry in self._pending if entry.active_at <= now]
        for entry in ready:
            self._since.update(dict.fromkeys(entry.indexes, now))
        if ready:
            self._pending = [entry for entry in self._pending if entry not in ready]
            self._change()

    def offer(self, indexes: Iterable[int]) -> None:
        """Choose the slots that are lent no more, so that they can be passed on."""
        self._offered = set(indexes) & set(self._since)
        self._change()

    def drop(self, indexes: Iterable[int]) -> None:
        """Stop using some slots, before their next owner is written."""
        for index in indexes:
            if self._since.pop(index, None) is not None:
                self._dropped.add(index)
        self._offered -= self._dropped
        self._change()

    def resume(self, indexes: Iterable[int], now: float) -> list[int]:
        """Use dropped slots again, whose next owner was certainly not written.

        :returns: those that still belong to this process.
        """
        resumed = sorted(self._dropped & set(indexes))
        self._since.update(dict.fromkeys(resumed, now))
        self._dropped -= set(resumed)
        self._change()
        return resumed

    def in_use(self) -> list[int]:
        """Return the slots in use."""
        return sorted(self._since)

    def hold(self, shard: int) -> Holding:
        """Return what may be used of a shard."""
        found = self._holdings.get(shard)
        if found is None:
            first = shard * SLOTS_PER_SHARD
            used = [i for i in range(first, first + SLOTS_PER_SHARD) if i in self._since]
            since = tuple(self._since[index] for index in used)
            lendable = len(set(used) - self._offered)
            ends = self._valid_until
            found = Holding(len(since), lendable, ends, self._generation, since)
            self._holdings[shard] = found
        return found

    def follow_list(self, listed: set[str], now: float) -> None:
        """Wait no longer for VMs that the platform's list does not name.

        Without another owner, half of the other VMs of the list must know the row.
        """
        self._pending = [
            self._limit_voters(entry, listed, now) if math.isinf(entry.active_at) else entry
            for entry in self._pending
        ]

    def _confirm_by_majority(self, row: SlotRow, now: float) -> None:
        vms = {vm_of(owner) for owner in row.owners()}
        others = vms - {vm_of(self._owner)}
        if others:
            self._confirm_by(others, len(vms) // 2, now)
        else:
            sole = self._others if self._others is not None else {""}
            self._confirm_by(sole, len(sole) // 2 + 1 if sole else 0, now)

    def _confirm_by(self, vms: set[str], needed: int, now: float) -> None:
        times = sorted((at for vm, at in self._confirmed_by.items() if vm in vms), reverse=True)
        if len(times) >= needed and self._row is not None and self._row.owned_by(self._owner):
            asked_at = times[needed - 1] if needed else now
            self._confirm(asked_at + VALID_SECONDS, now)

    def _change(self) -> None:
        self._generation += 1
        self._holdings = {}

    def _confirm(self, valid_until: float, now: float) -> None:
        if valid_until <= max(now, self._valid_until):
            return
        if -math.inf < self._valid_until <= now:
            # Others may have used the slots meanwhile, so nothing filled up.
            self._since = dict.fromkeys(self._since, now)
            self._generation += 1
        self._valid_until = valid_until
        self._holdings = {}

    def _gain(self, gained: set[int], row: SlotRow, old: SlotRow, now: float) -> None:
        taken = set()
        for index in gained:
            origin = row.slots[index].origin
            if origin == TAKEN:
                taken.add(index)
            else:
                self._since[index] = -math.inf if origin == NEW else now
        if not taken:
            return
        before = {vm_of(slot.owner) for slot in old.slots if slot.owner}
        deposed = {vm_of(old.slots[index].owner) for index in taken}
        voters = frozenset(before - deposed)
        needed = (len(before) + 1) // 2 if voters else _UNKNOWN
        entry = Pending(frozenset(taken), voters, needed, frozenset(), math.inf, frozenset(deposed))
        self._pending.append(self._count_voter(entry, vm_of(self._owner), now))

    def _limit_voters(self, entry: Pending, listed: set[str], now: float) -> Pending:
        if entry.needed != _UNKNOWN:
            return self._count_voter(entry._replace(voters=entry.voters & listed), "", now)
        voters = frozenset(listed - entry.deposed)
        entry = entry._replace(voters=voters, needed=(len(voters) + 1) // 2)
        return self._count_voter(entry, vm_of(self._owner), now)

    def _count_voter(self, entry: Pending, vm: str, now: float) -> Pending:
        acknowledged = entry.acknowledged | ({vm} & entry.voters)
        known = entry.needed != _UNKNOWN
        enough = known and len(acknowledged) >= min(entry.needed, len(entry.voters))
        active_at = now + self._rest_seconds if enough else math.inf
        return entry._replace(acknowledged=acknowledged, active_at=active_at)
