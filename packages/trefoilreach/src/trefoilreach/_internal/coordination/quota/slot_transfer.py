"""Transfers slots of the quota, with their tokens, to VMs that own fewer.

The slots stay in use until no loan depends on them. They are suspended right before the row
that names their next owner is written, and resumed if that write fails.
"""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from result import Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.coordination.quota.borrower import Borrower
from trefoilreach._internal.coordination.quota.ledger import Ledger
from trefoilreach._internal.coordination.quota.lender import Lender
from trefoilreach._internal.coordination.quota.row import PASSED, Slot, SlotRow, vm_of
from trefoilreach._internal.state.table import OutcomeUnknown, StoreError

# A VM that owns few slots sends a message every second; slots go only to VMs whose last message
# is not older than this.
_RECENT_MESSAGE_SECONDS = 3.0

# Number of owners that a VM with few slots asks in one round.
_MAX_OWNERS_ASKED = 3


class Transfer(NamedTuple):
    """A row to write that assigns slots to other owners.

    :param owners: next owner by slot, an empty string for none.
    :param tokens: tokens taken out of each slot, by account.
    """

    row: SlotRow
    owners: dict[int, str]
    tokens: dict[int, dict[str, float]]


class SlotTransfers:
    """Chooses the slots to transfer and their next owners."""

    def __init__(
        self, clock: Clock, ledger: Ledger, lender: Lender, borrower: Borrower, peers: Peers
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._lender = lender
        self._borrower = borrower
        self._peers = peers

    def plan(self, row: SlotRow, sharing_vms: Sequence[str], leaving: bool) -> Transfer | None:
        """Return the transfer that is due, after suspending its slots, or None.

        Loans that depend on slots to be transferred are recalled first; the transfer is due when
        none is left.

        :param sharing_vms: VMs that share the slots.
        :param leaving: whether this process must give up all its slots.
        """
        with self._ledger.lock:
            slots = self._ledger.slots
            candidates = self._candidates(row, sharing_vms, leaving)
            suspended = sorted(slots.suspended)
            assigned = self._assign(row, suspended, slots.in_use(), candidates, leaving)
            self._ledger.set_draining(assigned)
            if not assigned:
                return None
            needed = self._ledger.overlent_entries()
            recalls = [
                recall for entry in needed for recall in self._lender.plan_drain_recalls(entry)
            ]
            if not needed:
                tokens = self._ledger.suspend(index for index in assigned if index not in suspended)
        if needed:
            self._borrower.send_recalls(recalls)
            return None
        changed = row
        for index, owner in assigned.items():
            changed = changed.with_slots([index], Slot(owner, PASSED))
        return Transfer(changed, assigned, tokens)

    def finish(self, transfer: Transfer, done: Result[list[int], StoreError]) -> None:
        """Send the tokens to the next owners, or resume the slots after a failed write.

        After an unknown outcome, the slots stay suspended.
        """
        if isinstance(done, Ok):
            for owner in sorted(set(transfer.owners.values()) - {""}):
                self._borrower.submit(self._borrower.send_row, owner, _tokens_for(owner, transfer))
        elif not isinstance(done.err_value, OutcomeUnknown):
            self._ledger.resume(transfer.tokens)

    def request_slots(self, row: SlotRow) -> None:
        """Send a message to owners of more slots, so that they transfer some to this process."""
        counts = _count_by_vm(row)
        mine = counts[vm_of(self._ledger.owner)]
        owners = [owner for owner in row.owners() if counts[vm_of(owner)] > mine + 1]
        owners.sort(key=lambda owner: -counts[vm_of(owner)])
        for owner in owners[:_MAX_OWNERS_ASKED]:
            self._borrower.submit(self._borrower.send_row, owner, {})

    def _candidates(
        self, row: SlotRow, sharing_vms: Sequence[str], leaving: bool
    ) -> dict[str, str]:
        """Return the processes that can receive slots, by VM."""
        now = self._clock.now()
        # The platform's list may still show a VM as live that is leaving and gave up its slots.
        live = {member.vm for member in self._peers.list_live()} & set(sharing_vms)
        live.discard(vm_of(self._ledger.owner))
        reporting_processes = {
            vm: entry for vm, entry in self._ledger.peer_processes.items() if vm in live
        }
        if not leaving:
            return {
                vm: process.owner
                for vm, process in reporting_processes.items()
                if now - process.last_message_at <= _RECENT_MESSAGE_SECONDS
            }
        candidates_by_vm = {vm_of(owner): owner for owner in row.owners() if vm_of(owner) in live}
        candidates_by_vm.update({vm: process.owner for vm, process in reporting_processes.items()})
        return candidates_by_vm

    def _assign(
        self,
        row: SlotRow,
        suspended: Sequence[int],
        used: Sequence[int],
        candidates: dict[str, str],
        leaving: bool,
    ) -> dict[int, str]:
        """Return the next owner of each slot that must be given up or that evens out the counts."""
        counts = _count_by_vm(row)
        mine = len(suspended) + len(used)
        assigned: dict[int, str] = {}
        for index in [*suspended, *reversed(used)]:
            vm = min(candidates, key=lambda name: (counts[name], name), default="")
            must_go = leaving or index in suspended
            if not must_go and (not vm or counts[vm] + 1 >= mine):
                break
            assigned[index] = candidates.get(vm, "")
            counts[vm] += 1
            mine -= 1
        return assigned


def _count_by_vm(row: SlotRow) -> Counter[str]:
    return Counter(vm_of(slot.owner) for slot in row.slots if slot.owner)


def _tokens_for(owner: str, transfer: Transfer) -> dict[str, float]:
    total: dict[str, float] = {}
    for index, tokens in transfer.tokens.items():
        if transfer.owners[index] == owner:
            for account, count in tokens.items():
                total[account] = total.get(account, 0.0) + count
    return total
