"""Buckets of all accounts on this daemon, kept in step with its slots and the configuration."""

import threading
import uuid
from collections.abc import Iterator

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config_view import ConfigHolder, ConfigView
from trefoilreach._internal.coordination.quota_buckets import Bucket, Meter, Terms
from trefoilreach._internal.coordination.quota_slots import (
    NOTHING_HELD,
    SLOTS_PER_SHARD,
    Holding,
    SlotHolder,
    SlotRow,
    shard_of,
)
from trefoilreach._internal.state.config import Account

_NO_ACCOUNT = Account("", 0.0, 0.0)


class Entry:
    """One account on this daemon."""

    def __init__(self, account: str, now: float) -> None:
        self.account = account
        self.bucket = Bucket(now)
        self.meter = Meter(now)
        self.generation = 0
        self.filled = False
        self.last_arrival = -1e9
        # Requests a second that other daemons stated, with the time at which they did.
        self.demands: dict[str, tuple[float, float]] = {}


class Ledger:
    """Entries of all accounts; every access happens under :attr:`lock`."""

    def __init__(self, clock: Clock, config: ConfigHolder, vm: str, loan_seconds: float) -> None:
        self._clock = clock
        self._config = config
        self._owner = f"{vm}/{uuid.uuid4().hex}"
        self._holder = SlotHolder(self._owner, loan_seconds)
        self._entries: dict[str, Entry] = {}
        self._sequence = 0
        self.lock = threading.RLock()
        config.add_listener(self._follow_config)

    @property
    def owner(self) -> str:
        """Name of this process in the row of the slots."""
        return self._owner

    @property
    def slots(self) -> SlotHolder:
        """Slots of this process; use under the lock."""
        return self._holder

    @property
    def entries(self) -> list[Entry]:
        """All entries."""
        return list(self._entries.values())

    def next_sequence(self) -> int:
        """Return a number for new terms."""
        self._sequence += 1
        return self._sequence

    def touch(self, name: str, now: float) -> Entry:
        """Return the entry of an account with its bucket brought up to ``now``."""
        account = self._config.view.accounts.get(name, _NO_ACCOUNT)
        return self._touch(name, account, now)

    def known(self, name: str) -> bool:
        """Return whether the configuration has the account."""
        return name in self._config.view.accounts

    def account(self, name: str) -> Account:
        """Return the account in force, or one without rate and burst."""
        return self._config.view.accounts.get(name, _NO_ACCOUNT)

    def lenders(self, name: str) -> list[str]:
        """Return the other owners of slots of an account's shard."""
        row = self._holder.row
        if row is None:
            return []
        owners = row.owners_of(shard_of(name, row.shards))
        return [owner for owner in owners if owner != self._owner]

    def adopt(self, row: SlotRow, now: float) -> bool:
        """Follow a newer row of the slots."""
        with self.lock:
            if row.revision <= self._holder.revision:
                return False
            self._touch_all(now)
            self._holder.adopt(row, now)
            self._touch_all(now)
            return True

    def activate(self, now: float) -> None:
        """Begin to use slots that were taken over long enough ago."""
        with self.lock:
            self._touch_all(now)
            self._holder.activate(now)

    def release(self, indexes: list[int], now: float) -> None:
        """Stop using some slots."""
        with self.lock:
            self._touch_all(now)
            self._holder.release(indexes, now)
            self._touch_all(now)

    def _follow_config(self, view: ConfigView) -> None:
        with self.lock:
            self._touch_all(self._clock.now())

    def _touch_all(self, now: float) -> None:
        for name in list(self._entries):
            self.touch(name, now)

    def _touch(self, name: str, account: Account, now: float) -> Entry:
        row = self._holder.row
        held = NOTHING_HELD if row is None else self._holder.hold(shard_of(name, row.shards))
        entry = self._entries.get(name)
        if entry is None:
            entry = self._entries[name] = Entry(name, now)
        bucket = entry.bucket
        if entry.generation == held.generation and held.ends != bucket.own.ends:
            bucket.set_own(bucket.own._replace(ends=held.ends))
        bucket.advance(now)
        own = _own_terms(account, held)
        if own != bucket.own and own.ends > now:
            bucket.set_own(own)
        entry.generation = held.generation
        if not entry.filled and own.ends > now and held.owned:
            # No token of these slots was spent for the account before now.
            entry.filled = True
            bucket.add(sum(_filled(account, held, now)))
        return entry


def _own_terms(account: Account, held: Holding) -> Terms:
    share = held.owned / SLOTS_PER_SHARD
    return Terms(account.rate * share, account.burst * share, held.ends)


def _filled(account: Account, held: Holding, now: float) -> Iterator[float]:
    capacity = account.burst / SLOTS_PER_SHARD
    rate = account.rate / SLOTS_PER_SHARD
    for since in held.since:
        yield min(capacity, rate * (now - since)) if rate > 0.0 else capacity * (since < -1e300)
