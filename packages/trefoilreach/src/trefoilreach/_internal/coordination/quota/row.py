"""The slot row: the table row that records which process owns which slot of the quota."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import orjson
import xxhash

SLOTS_KEY = "quota/slots"
SLOTS_PER_SHARD = 12

# How the owner got a slot: it had no owner before (its buckets are full), it was transferred by an
# owner that had stopped using it (its buckets are empty), or it was taken over from an owner that
# may still be running.
NEW = "new"
PASSED = "passed"
TAKEN = "taken"


class Slot(NamedTuple):
    """One slot of the quota.

    :param owner: ``<vm>/<process>``, empty for a free slot.
    :param origin: how the owner got the slot: ``NEW``, ``PASSED`` or ``TAKEN``.
    """

    owner: str
    origin: str


class SlotRow(NamedTuple):
    """One revision of the slot row."""

    revision: int
    slots: tuple[Slot, ...]

    @property
    def shards(self) -> int:
        """Number of shards, groups of slots over which the accounts are spread."""
        return len(self.slots) // SLOTS_PER_SHARD

    def owned_by(self, owner: str) -> list[int]:
        """Return the indexes of the slots of one owner."""
        return [index for index, slot in enumerate(self.slots) if slot.owner == owner]

    def owners(self) -> list[str]:
        """Return the distinct owners, sorted."""
        return sorted({slot.owner for slot in self.slots if slot.owner})

    def owners_of(self, shard: int) -> list[str]:
        """Return the distinct owners of a shard's slots, sorted."""
        slots_of_shard = self.slots[shard * SLOTS_PER_SHARD : (shard + 1) * SLOTS_PER_SHARD]
        return sorted({slot.owner for slot in slots_of_shard if slot.owner})

    def count_of(self, shard: int, owner: str) -> int:
        """Return how many slots of a shard an owner has."""
        slots_of_shard = self.slots[shard * SLOTS_PER_SHARD : (shard + 1) * SLOTS_PER_SHARD]
        return sum(slot.owner == owner for slot in slots_of_shard)

    def with_slots(self, indexes: Iterable[int], slot: Slot) -> "SlotRow":
        """Return a copy with some slots replaced."""
        slots = list(self.slots)
        for index in indexes:
            slots[index] = slot
        return self._replace(slots=tuple(slots))


def make_row(shards: int) -> SlotRow:
    """Return the row of a new fleet, in which every slot is free."""
    return SlotRow(0, (Slot("", NEW),) * (shards * SLOTS_PER_SHARD))


def encode_value(row: SlotRow, writer: str) -> dict[str, Any]:
    """Encode a row for the table.

    :param writer: text unique to each write.
    """
    return {"writer": writer, "slots": [list(slot) for slot in row.slots]}


def decode_value(revision: int, value: dict[str, Any]) -> SlotRow:
    """Decode a row from the table."""
    return SlotRow(revision, tuple(Slot(*slot) for slot in value["slots"]))


def encode_row(row: SlotRow) -> bytes:
    """Encode a row for a peer."""
    return orjson.dumps([row.revision, [list(slot) for slot in row.slots]])


def decode_row(data: bytes) -> SlotRow:
    """Decode a row from a peer."""
    revision, slots = orjson.loads(data)
    return SlotRow(int(revision), tuple(Slot(*slot) for slot in slots))


def vm_of(owner: str) -> str:
    """Return the VM part of an owner ``<vm>/<process>``."""
    return owner.rpartition("/")[0]


def shard_of(account: str, shards: int) -> int:
    """Return the shard of an account, the same on every daemon."""
    return xxhash.xxh32_intdigest(account.encode()) % shards
