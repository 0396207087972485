"""Grow-only set of withdrawn keys, merged from all daemons."""

import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.state.config import WithdrawnKey

_SIGNED_64_LIMIT = 1 << 63
_MAX_RECORDS = 1000


class WithdrawalRecord(NamedTuple):
    """One withdrawal as seen by this daemon.

    :param in_force: wall-clock time, by VM name, at which this daemon learned that the VM refuses
        the key.
    """

    key_id: str
    wall_time: float
    in_force: dict[str, float]


def _digest_id(key_id: str) -> int:
    return xxhash.xxh64_intdigest(key_id.encode())


class WithdrawalSet:
    """Withdrawn key ids, with a digest that is independent of the merge order."""

    def __init__(self, clock: Clock, own_vm: str) -> None:
        self._clock = clock
        self._own_vm = own_vm
        self._lock = threading.Lock()
        self._entries: dict[str, float] = {}
        self._ids: frozenset[str] = frozenset()
        self._digest = 0
        self._records: dict[str, WithdrawalRecord] = {}
        self._listeners: list[Callable[[frozenset[str]], object]] = []

    @property
    def ids(self) -> frozenset[str]:
        """All withdrawn key ids."""
        return self._ids

    @property
    def digest(self) -> int:
        """Signed 64-bit digest of the ids; equal sets have equal digests."""
        digest = self._digest
        return digest - 2 * _SIGNED_64_LIMIT if digest >= _SIGNED_64_LIMIT else digest

    def entries(self) -> list[WithdrawnKey]:
        """Return all withdrawals, ordered by key id."""
        with self._lock:
            return [WithdrawnKey(*entry) for entry in sorted(self._entries.items())]

    def add_listener(self, listener: Callable[[frozenset[str]], object]) -> None:
        """Call ``listener`` with the ids that come into force from now on."""
        with self._lock:
            self._listeners.append(listener)

    def merge(self, entries: Iterable[WithdrawnKey]) -> frozenset[str]:
        """Add withdrawals; return the ids that were new."""
        with self._lock:
            new = {entry.key_id: entry for entry in entries if entry.key_id not in self._entries}
            if not new:
                return frozenset()
            for entry in new.values():
                self._entries[entry.key_id] = entry.wall_time
                self._digest ^= _digest_id(entry.key_id)
                self._open_record(entry)
            # The request path reads this without the lock.
            self._ids = frozenset(self._entries)
            listeners = list(self._listeners)
        for listener in listeners:
            listener(frozenset(new))
        return frozenset(new)

    def record_in_force(self, vm: str, ids: Iterable[str] | None = None) -> None:
        """Record that a daemon refuses these keys; None means all recorded keys."""
        now = self._clock.wall_time()
        with self._lock:
            for key_id in self._records if ids is None else ids:
                record = self._records.get(key_id)
                if record is not None:
                    record.in_force.setdefault(vm, now)

    def records(self) -> list[WithdrawalRecord]:
        """Return the latest withdrawals, with the times in force known to this daemon."""
        with self._lock:
            return [
                record._replace(in_force=dict(record.in_force)) for record in self._records.values()
            ]

    def _open_record(self, entry: WithdrawnKey) -> None:
        in_force = {self._own_vm: self._clock.wall_time()}
        self._records[entry.key_id] = WithdrawalRecord(entry.key_id, entry.wall_time, in_force)
        while len(self._records) > _MAX_RECORDS:
            self._records.pop(next(iter(self._records)))
