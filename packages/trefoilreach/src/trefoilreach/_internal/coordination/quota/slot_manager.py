"""Claims, transfers and takes over slots through the table row, and renews confirmations."""

import math
import uuid
from collections import Counter

import xxhash
from result import Err, Ok, Result

from trefoilreach._internal.clock import DRIFT_MARGIN, Clock
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.coordination.quota.borrower import Borrower
from trefoilreach._internal.coordination.quota.ledger import Ledger
from trefoilreach._internal.coordination.quota.row import (
    SLOTS_KEY,
    TAKEN,
    Slot,
    SlotRow,
    decode_value,
    encode_value,
    make_row,
    vm_of,
)
from trefoilreach._internal.coordination.quota.slot_transfer import SlotTransfers
from trefoilreach._internal.coordination.quota.slots import CONFIRMATION_VALID_SECONDS
from trefoilreach._internal.logs import log_decision
from trefoilreach._internal.settings import QuotaSettings
from trefoilreach._internal.state.table import StoreError, TableService, Write

# Twelve VMs make twelve reads of the row a second; larger fleets should ask their peers instead.
TABLE_READ_INTERVAL_SECONDS = 1.0

# The other owners are asked when the table has not confirmed the row for this long.
PEER_CONFIRMATION_DELAY_SECONDS = 2.0

# A VM counts as gone after this time off the platform's list at the earliest: the list lags.
_MIN_ABSENCE_SECONDS = 1.0

# VMs that compete for the same unclaimed slots wait by rank, so that they write one by one.
_CLAIM_DELAY_PER_RANK_SECONDS = 1.0


class SlotManager:
    """Maintains the table row of the slots; :meth:`tick` is called about every second."""

    def __init__(
        self,
        clock: Clock,
        ledger: Ledger,
        peers: Peers,
        table: TableService,
        settings: QuotaSettings,
        borrower: Borrower,
        transfers: SlotTransfers,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._peers = peers
        self._table = table
        self._settings = settings
        self._borrower = borrower
        self._transfers = transfers
        self._table_read_at = -math.inf
        self._absent_since: dict[str, float] = {}
        self._free_since: dict[int, float] = {}
        self._leaving = False
        takeover_wait = (CONFIRMATION_VALID_SECONDS + settings.loan) * DRIFT_MARGIN
        # The time set for a takeover covers the absence and the wait until the slots are used.
        self._absence_seconds = max(_MIN_ABSENCE_SECONDS, settings.take_over - takeover_wait)

    def tick(self) -> None:
        """Read the row, which confirms the slots, and write the changes that are due."""
        readable = self._read_row()
        self._notify_voters()
        if readable:
            self._update_row()

    def leave(self) -> None:
        """Stop claiming slots; :meth:`transfer_slots` then transfers those of this daemon."""
        self._leaving = True

    def transfer_slots(self) -> bool:
        """Transfer slots that no loan depends on; return whether none is left."""
        self._read_row()
        with self._ledger.lock:
            row = self._ledger.slots.row
        vms = self._sharing_vms()
        if row is not None and vms is not None:
            self._transfer_slots(row, vms)
        with self._ledger.lock:
            slots = self._ledger.slots
            return not slots.in_use() and not slots.suspended

    def confirm_by_peers(self) -> None:
        """Ask the other owners to confirm the slots if the table has not done so recently.

        Called from another thread than :meth:`tick`, which blocks while the table hangs.
        """
        with self._ledger.lock:
            now, slots = self._clock.now(), self._ledger.slots
            if slots.row is None or now - self._table_read_at < PEER_CONFIRMATION_DELAY_SECONDS:
                return
            others = {member.vm for member in self._peers.members()}
            slots.set_other_vms(others, now)
            owners = [name for name in slots.row.owners() if name != self._ledger.owner]
            if not owners:
                owners = [f"{vm}/" for vm in sorted(others)]
        for owner in owners:
            self._send_row_to(owner)

    def _send_row_to(self, owner: str) -> None:
        self._borrower.submit(self._borrower.send_row, owner, {})

    def _read_row(self) -> bool:
        asked_at = self._clock.now()
        found = self._table.get(SLOTS_KEY)
        if isinstance(found, Err):
            return False
        now = self._clock.now()
        row = found.ok_value
        with self._ledger.lock:
            if row is not None:
                self._ledger.adopt(decode_value(row.revision, row.value), now)
                if row.revision == self._ledger.slots.revision:
                    self._ledger.slots.confirm_by_table(asked_at, now)
                    self._table_read_at = asked_at
            self._ledger.activate(now)
        return True

    def _notify_voters(self) -> None:
        listed = self._peers.list_platform_vms()
        with self._ledger.lock:
            slots = self._ledger.slots
            waiting = [entry for entry in slots.pending if math.isinf(entry.active_at)]
            if listed is not None:
                slots.apply_vm_list({vm.name for vm in listed}, self._clock.now())
            voters = {vm for entry in waiting for vm in entry.voters - entry.acknowledged}
        for vm in sorted(voters):
            self._send_row_to(f"{vm}/")

    def _update_row(self) -> None:
        vms = self._sharing_vms()
        with self._ledger.lock:
            row = self._ledger.slots.row
        if vms is None or self._own_vm not in vms:
            return
        if row is None:
            row = make_row(self._settings.shards)
        self._record_absences(row, vms)
        if self._leaving:
            self._transfer_slots(row, vms)
        elif not self._claim(row, vms) and not self._transfer_slots(row, vms):
            self._transfers.request_slots(row)

    @property
    def _own_vm(self) -> str:
        return vm_of(self._ledger.owner)

    def _sharing_vms(self) -> list[str] | None:
        """Return the names of the VMs that share the slots, or None when that is unknown."""
        listed = self._peers.list_platform_vms()
        if listed is None:
            return None
        vms = {vm.name for vm in listed if vm.state == "live"}
        if not listed and not self._peers.members():
            vms = {self._own_vm}
        return sorted(vms)

    def _record_absences(self, row: SlotRow, vms: list[str]) -> None:
        """Record since when owners have been missing from the list and slots have been free."""
        now = self._clock.now()
        listed = {vm.name for vm in self._peers.list_platform_vms() or ()} | set(vms)
        gone = {vm_of(owner) for owner in row.owners()} - listed
        self._absent_since = {vm: self._absent_since.get(vm, now) for vm in gone}
        free = [index for index, slot in enumerate(row.slots) if not slot.owner]
        self._free_since = {index: self._free_since.get(index, now) for index in free}

    def _claim(self, row: SlotRow, vms: list[str]) -> bool:
        """Claim free or abandoned slots up to the fair share; return whether any were due."""
        now = self._clock.now()
        mine = len(row.owned_by(self._ledger.owner))
        from_earlier_process = [
            index
            for index, slot in enumerate(row.slots)
            if slot.owner != self._ledger.owner and vm_of(slot.owner) == self._own_vm
        ]
        if from_earlier_process:
            # An earlier process of this VM owned them; any excess over the share is transferred
            # later.
            self._write(
                row.with_slots(from_earlier_process, Slot(self._ledger.owner, TAKEN)), "claim"
            )
            return True
        min_slots, max_slots = _fair_share(len(row.slots), len(vms))
        candidates = self._candidates(row, now)
        limit = max_slots if self._may_claim_remainder(row, vms, candidates, now) else min_slots
        chosen = candidates[: max(0, limit - mine)]
        if not chosen:
            return False
        changed = row
        for index in chosen:
            origin = TAKEN if row.slots[index].owner else row.slots[index].origin
            changed = changed.with_slots([index], Slot(self._ledger.owner, origin))
        self._write(changed, "claim")
        return True

    def _candidates(self, row: SlotRow, now: float) -> list[int]:
        """Return the slots that are free or whose owner is gone, in an order unique to this VM."""
        gone = {
            vm for vm, since in self._absent_since.items() if now - since >= self._absence_seconds
        }
        found = [
            index
            for index, slot in enumerate(row.slots)
            if not slot.owner or vm_of(slot.owner) in gone
        ]
        found.sort(key=lambda index: xxhash.xxh32_intdigest(f"{self._own_vm} {index}".encode()))
        return found

    def _may_claim_remainder(
        self, row: SlotRow, vms: list[str], candidates: list[int], now: float
    ) -> bool:
        """Return whether this VM may go beyond the smaller share and claim what others left."""
        counts = Counter(vm_of(slot.owner) for slot in row.slots if slot.owner)
        rank = sorted(vms, key=lambda vm: (counts[vm], vm)).index(self._own_vm)
        waited = min(
            (now - self._claimable_since(row, index, now) for index in candidates), default=0.0
        )
        return waited >= (1 + rank) * _CLAIM_DELAY_PER_RANK_SECONDS

    def _claimable_since(self, row: SlotRow, index: int, now: float) -> float:
        owner = row.slots[index].owner
        if not owner:
            return self._free_since.get(index, now)
        return self._absent_since.get(vm_of(owner), now) + self._absence_seconds

    def _transfer_slots(self, row: SlotRow, vms: list[str]) -> bool:
        transfer = self._transfers.plan(row, vms, self._leaving)
        if transfer is None:
            return False
        self._transfers.finish(transfer, self._write(transfer.row, "pass on"))
        return True

    def _write(self, row: SlotRow, reason: str) -> Result[list[int], StoreError]:
        """Write a row derived from the current one; the next read shows an unknown outcome."""
        value = encode_value(row, uuid.uuid4().hex)
        asked_at = self._clock.now()
        done = self._table.commit([Write(SLOTS_KEY, value, row.revision)])
        log_decision(
            "quota-slots",
            reason,
            type(done).__name__,
            revision=row.revision,
            owners=[slot.owner for slot in row.slots],
        )
        if isinstance(done, Ok):
            with self._ledger.lock:
                now = self._clock.now()
                self._ledger.adopt(row._replace(revision=done.ok_value[0]), now)
                if self._ledger.slots.revision == done.ok_value[0]:
                    # The conditional write succeeded, so the table had no newer row.
                    self._ledger.slots.confirm_by_table(asked_at, now)
        return done


def _fair_share(slots: int, vms: int) -> tuple[int, int]:
    """Return the smallest and largest number of slots of a VM in an even distribution."""
    return slots // max(1, vms), -(-slots // max(1, vms))
