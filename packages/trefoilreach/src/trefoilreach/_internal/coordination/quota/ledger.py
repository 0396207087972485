"""Buckets of all accounts on this daemon, kept in step with its slots and the configuration."""

import threading
import uuid
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.view import ConfigHolder, ConfigView
from trefoilreach._internal.coordination.quota.buckets import Bucket, Meter, Terms
from trefoilreach._internal.coordination.quota.row import (
    SLOTS_PER_SHARD,
    SlotRow,
    shard_of,
    vm_of,
)
from trefoilreach._internal.coordination.quota.slots import NOTHING_HELD, Holding, SlotHolder
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


class Process(NamedTuple):
    """Process of another VM that sent a message, with the time of the last one."""

    owner: str
    heard_at: float


class Ledger:
    """Entries of all accounts; every access happens under :attr:`lock`."""

    def __init__(self, clock: Clock, config: ConfigHolder, vm: str, loan_seconds: float) -> None:
        self._clock = clock
        self._config = config
        self._owner = f"{vm}/{uuid.uuid4().hex}"
        self._holder = SlotHolder(self._owner, loan_seconds)
        self._entries: dict[str, Entry] = {}
        self._sequence = 0
        self._processes: dict[str, Process] = {}
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
    def processes(self) -> dict[str, Process]:
        """The processes that sent messages, by VM."""
        return self._processes

    @property
    def entries(self) -> list[Entry]:
        """All entries."""
        return list(self._entries.values())

    def note_process(self, owner: str) -> None:
        """Note that a message of a process came."""
        with self.lock:
            self._processes[vm_of(owner)] = Process(owner, self._clock.now())

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

    def offer(self, indexes: Iterable[int]) -> None:
        """Choose the slots that are lent no more, so that they can be passed on."""
        with self.lock:
            if self._holder.offered == set(indexes):
                return
            now = self._clock.now()
            self._touch_all(now)
            self._holder.offer(indexes)
            self._touch_all(now)

    def needed_by_loans(self) -> list[Entry]:
        """Return the accounts of which more is lent than the slots that are not offered hold."""
        with self.lock:
            self._touch_all(self._clock.now())
            return [entry for entry in self.entries if entry.bucket.overlent_part > 0.0]

    def drop(self, indexes: Iterable[int]) -> dict[int, dict[str, float]]:
        """Stop using some slots, on which no loan depends.

        :returns: tokens taken out of each slot, by account.
        """
        with self.lock:
            now = self._clock.now()
            for name in self._config.view.accounts:
                self.touch(name, now)
            tokens = self._take_out(indexes)
            self._holder.drop(tokens)
            self._touch_all(now)
            return tokens

    def resume(self, tokens: dict[int, dict[str, float]]) -> None:
        """Use dropped slots again, with the tokens that were taken out of them."""
        with self.lock:
            now = self._clock.now()
            self._touch_all(now)
            for index in self._holder.resume(tokens, now):
                self._add(tokens[index], now)

    def receive(self, row: SlotRow, tokens: dict[str, float]) -> None:
        """Follow a row from another owner that passed slots on with their tokens.

        The tokens count only when this row is news: later the slots have begun to
        refill, and their tokens would come on top.
        """
        with self.lock:
            now = self._clock.now()
            if self.adopt(row, now):
                self._add(tokens, now)

    def _take_out(self, indexes: Iterable[int]) -> dict[int, dict[str, float]]:
        """Remove the part of the tokens that the capacity of some slots in use holds."""
        assert self._holder.row is not None
        shards = self._holder.row.shards
        tokens: dict[int, dict[str, float]] = {index: {} for index in indexes}
        for entry in self.entries:
            shard = shard_of(entry.account, shards)
            dropped = [index for index in tokens if index // SLOTS_PER_SHARD == shard]
            bucket = entry.bucket
            if not dropped or bucket.own.capacity <= 0.0:
                continue
            capacity = self.account(entry.account).burst / SLOTS_PER_SHARD
            part = bucket.tokens * min(1.0, capacity / bucket.capacity)
            for index in dropped:
                tokens[index][entry.account] = bucket.remove(part)
        return tokens

    def _add(self, tokens: dict[str, float], now: float) -> None:
        for name, count in tokens.items():
            self.touch(name, now).bucket.add(count)

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
        bucket.set_lendable_part(held.lendable / held.owned if held.owned else 0.0)
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
