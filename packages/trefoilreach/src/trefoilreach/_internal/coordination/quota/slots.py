"""Tracks which slots of the quota this daemon may use, and until when.

The rate and burst of each account are split into equal slots. The table row
:data:`~row.SLOTS_KEY` assigns each slot to one process of one VM. A daemon uses its slots only
for :data:`CONFIRMATION_VALID_SECONDS` after the table, or a majority of the owners, confirmed
that there is no newer row. A process that takes over a slot whose former owner may still be
running first sends the new row to the other owners, and then waits until every earlier
confirmation, and the loans made under it, have expired.
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

# Confirmations are renewed every second; 5 s leave time for a slow answer of the table.
CONFIRMATION_VALID_SECONDS = 5.0

# Quorum of a takeover without other owners, until the platform's list of VMs was read.
_QUORUM_UNKNOWN = -1


class PendingTakeover(NamedTuple):
    """Slots that were taken over but may not be used yet.

    :param voters: VMs whose acknowledgement of the row counts.
    :param quorum: number of voters that must acknowledge it.
    :param acknowledged: voters that have acknowledged it.
    :param active_at: time from which the slots may be used; infinite until the quorum is met.
    :param former_owner_vms: VMs that owned the slots before.
    """

    indexes: frozenset[int]
    voters: frozenset[str]
    quorum: int
    acknowledged: frozenset[str]
    active_at: float
    former_owner_vms: frozenset[str]


class ShardHolding(NamedTuple):
    """The slots of one shard that this daemon may use.

    :param owned: number of slots in use.
    :param lendable: number of slots in use that are not being drained for a transfer.
    :param ends_at: time of the clock until which they may be used.
    :param generation: changes whenever slots are gained or dropped, or are confirmed again after
        their confirmation expired.
    :param since: for each slot, the time from which it fills the buckets of accounts that have
        none yet.
    """

    owned: int
    lendable: int
    ends_at: float
    generation: int
    since: tuple[float, ...]


NO_HOLDING = ShardHolding(0, 0, 0.0, 0, ())


class OwnedSlots:
    """Slots of this process; the caller holds the lock of the quota.

    :param owner: name of this process in the row.
    :param loan_seconds: duration of loans; a slot that was taken over stays unused until the loans
        of its former owner have expired.
    """

    def __init__(self, owner: str, loan_seconds: float) -> None:
        self._owner = owner
        self._takeover_wait_seconds = (CONFIRMATION_VALID_SECONDS + loan_seconds) * DRIFT_MARGIN
        self._row: SlotRow | None = None
        self._since: dict[int, float] = {}
        self._pending: list[PendingTakeover] = []
        self._draining: set[int] = set()
        self._suspended: set[int] = set()
        self._valid_until = -math.inf
        self._confirmed_by: dict[str, float] = {}
        self._other_vms: set[str] | None = None
        self._generation = 1
        self._holdings: dict[int, ShardHolding] = {}

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
    def pending(self) -> list[PendingTakeover]:
        """Takeovers whose slots are not in use yet."""
        return self._pending

    @property
    def draining(self) -> set[int]:
        """Slots in use that are no longer lent because they are about to be transferred."""
        return self._draining

    @property
    def suspended(self) -> set[int]:
        """Slots no longer in use, whose next owner is being written to the table."""
        return self._suspended

    def adopt(self, row: SlotRow, now: float) -> bool:
        """Replace the known row by a newer one; return whether it was newer."""
        if row.revision <= self.revision:
            return False
        old, self._row = self._row, row
        mine = set(row.owned_by(self._owner))
        self._since = {index: since for index, since in self._since.items() if index in mine}
        self._draining &= mine
        self._suspended &= mine
        self._pending = [
            entry._replace(indexes=entry.indexes & mine)
            for entry in self._pending
            if entry.indexes & mine
        ]
        known = set(self._since).union(*(entry.indexes for entry in self._pending))
        gained = mine - known - self._suspended
        self._add_gained(gained, row, old or row, now)
        self._confirmed_by = {}
        self._invalidate_holdings()
        return True

    def confirm_by_table(self, asked_at: float, now: float) -> None:
        """Record that the table held no newer row when it was read at ``asked_at``."""
        self._confirm(asked_at + CONFIRMATION_VALID_SECONDS, now)

    def confirm_by_peer(self, vm: str, revision: int, asked_at: float, now: float) -> None:
        """Record that a peer knew the same row when it was asked at ``asked_at``."""
        if self._row is None or revision != self.revision:
            return
        self._confirmed_by[vm] = max(asked_at, self._confirmed_by.get(vm, -math.inf))
        self._confirm_by_majority(self._row, now)

    def set_other_vms(self, other_vms: set[str], now: float) -> None:
        """Set the other VMs, a majority of which confirms the row if this daemon owns all slots."""
        self._other_vms = other_vms
        if self._row is not None:
            self._confirm_by_majority(self._row, now)

    def acknowledge(self, vm: str, revision: int, now: float) -> None:
        """Record that a VM knows the row under which slots were taken over."""
        if revision < self.revision:
            return
        self._pending = [
            self._record_acknowledgement(entry, vm, now) if math.isinf(entry.active_at) else entry
            for entry in self._pending
        ]

    def activate(self, now: float) -> None:
        """Start to use the slots whose waiting time after a takeover has passed."""
        ready = [entry for entry in self._pending if entry.active_at <= now]
        for entry in ready:
            self._since.update(dict.fromkeys(entry.indexes, now))
        if ready:
            self._pending = [entry for entry in self._pending if entry not in ready]
            self._invalidate_holdings()

    def set_draining(self, indexes: Iterable[int]) -> None:
        """Set the slots that are no longer lent, so that they can be transferred."""
        self._draining = set(indexes) & set(self._since)
        self._invalidate_holdings()

    def suspend(self, indexes: Iterable[int]) -> None:
        """Stop using slots before their next owner is written to the table."""
        for index in indexes:
            if self._since.pop(index, None) is not None:
                self._suspended.add(index)
        self._draining -= self._suspended
        self._invalidate_holdings()

    def resume(self, indexes: Iterable[int], now: float) -> list[int]:
        """Use suspended slots again after the write of their next owner has definitely failed.

        :returns: the slots that still belong to this process.
        """
        resumed = sorted(self._suspended & set(indexes))
        self._since.update(dict.fromkeys(resumed, now))
        self._suspended -= set(resumed)
        self._invalidate_holdings()
        return resumed

    def in_use(self) -> list[int]:
        """Return the indexes of the slots in use."""
        return sorted(self._since)

    def holding_of(self, shard: int) -> ShardHolding:
        """Return the slots of a shard that may be used."""
        found = self._holdings.get(shard)
        if found is None:
            first = shard * SLOTS_PER_SHARD
            used = [i for i in range(first, first + SLOTS_PER_SHARD) if i in self._since]
            since = tuple(self._since[index] for index in used)
            lendable = len(set(used) - self._draining)
            ends_at = self._valid_until
            found = ShardHolding(len(since), lendable, ends_at, self._generation, since)
            self._holdings[shard] = found
        return found

    def apply_vm_list(self, listed: set[str], now: float) -> None:
        """Stop waiting for acknowledgements of VMs that are missing from the platform's list.

        If no other VM owned slots, half of the listed VMs that did not own the slots taken over,
        rounded up, must acknowledge the row.
        """
        self._pending = [
            self._restrict_voters(entry, listed, now) if math.isinf(entry.active_at) else entry
            for entry in self._pending
        ]

    def _confirm_by_majority(self, row: SlotRow, now: float) -> None:
        vms = {vm_of(owner) for owner in row.owners()}
        other_vms = vms - {vm_of(self._owner)}
        if other_vms:
            self._confirm_by_quorum(other_vms, len(vms) // 2, now)
        else:
            voters = self._other_vms if self._other_vms is not None else {""}
            self._confirm_by_quorum(voters, len(voters) // 2 + 1 if voters else 0, now)

    def _confirm_by_quorum(self, vms: set[str], quorum: int, now: float) -> None:
        times = sorted((at for vm, at in self._confirmed_by.items() if vm in vms), reverse=True)
        if len(times) >= quorum and self._row is not None and self._row.owned_by(self._owner):
            asked_at = times[quorum - 1] if quorum else now
            self._confirm(asked_at + CONFIRMATION_VALID_SECONDS, now)

    def _invalidate_holdings(self) -> None:
        self._generation += 1
        self._holdings = {}

    def _confirm(self, valid_until: float, now: float) -> None:
        if valid_until <= max(now, self._valid_until):
            return
        if -math.inf < self._valid_until <= now:
            # Another process may have used the slots in the meantime, so that time adds no tokens.
            self._since = dict.fromkeys(self._since, now)
            self._generation += 1
        self._valid_until = valid_until
        self._holdings = {}

    def _add_gained(self, gained: set[int], row: SlotRow, old: SlotRow, now: float) -> None:
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
        former_owner_vms = {vm_of(old.slots[index].owner) for index in taken}
        voters = frozenset(before - former_owner_vms)
        quorum = (len(before) + 1) // 2 if voters else _QUORUM_UNKNOWN
        entry = PendingTakeover(
            frozenset(taken), voters, quorum, frozenset(), math.inf, frozenset(former_owner_vms)
        )
        self._pending.append(self._record_acknowledgement(entry, vm_of(self._owner), now))

    def _restrict_voters(
        self, entry: PendingTakeover, listed: set[str], now: float
    ) -> PendingTakeover:
        if entry.quorum != _QUORUM_UNKNOWN:
            return self._record_acknowledgement(
                entry._replace(voters=entry.voters & listed), "", now
            )
        voters = frozenset(listed - entry.former_owner_vms)
        entry = entry._replace(voters=voters, quorum=(len(voters) + 1) // 2)
        return self._record_acknowledgement(entry, vm_of(self._owner), now)

    def _record_acknowledgement(
        self, entry: PendingTakeover, vm: str, now: float
    ) -> PendingTakeover:
        acknowledged = entry.acknowledged | ({vm} & entry.voters)
        known = entry.quorum != _QUORUM_UNKNOWN
        enough = known and len(acknowledged) >= min(entry.quorum, len(entry.voters))
        active_at = now + self._takeover_wait_seconds if enough else math.inf
        return entry._replace(acknowledged=acknowledged, active_at=active_at)
