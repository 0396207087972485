"""Buckets of all accounts on this daemon, kept up to date with its slots and the configuration."""

import threading
import uuid
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig, ConfigView
from trefoilreach._internal.coordination.quota.buckets import ArrivalRateMeter, Bucket, Terms
from trefoilreach._internal.coordination.quota.row import (
    SLOTS_PER_SHARD,
    SlotRow,
    shard_of,
    vm_of,
)
from trefoilreach._internal.coordination.quota.slots import NO_HOLDING, OwnedSlots, ShardHolding
from trefoilreach._internal.state.config import Account

_NO_ACCOUNT = Account("", 0.0, 0.0)


class Entry:
    """Token bucket and measured and reported demand of one account on this daemon.

    :ivar generation: generation of the slots from which the bucket was last computed.
    :ivar last_arrival: clock time of the last request.
    """

    def __init__(self, account: str, now: float) -> None:
        self.account = account
        self.bucket = Bucket(now)
        self.meter = ArrivalRateMeter(now)
        self.generation = 0
        self.initial_tokens_added = False
        self.last_arrival = -1e9
        # Demand reported by other daemons: requests a second, and the time of the report.
        self.demands: dict[str, tuple[float, float]] = {}


class PeerProcess(NamedTuple):
    """Process of another VM that sent a message, with the clock time of the last one."""

    owner: str
    last_message_at: float


class Ledger:
    """Entries of all accounts and the slots of this process.

    Every access happens under :attr:`lock`.
    """

    def __init__(self, clock: Clock, config: ActiveConfig, vm: str, loan_seconds: float) -> None:
        self._clock = clock
        self._config = config
        self._owner = f"{vm}/{uuid.uuid4().hex}"
        self._slots = OwnedSlots(self._owner, loan_seconds)
        self._entries: dict[str, Entry] = {}
        self._sequence = 0
        self._peer_processes: dict[str, PeerProcess] = {}
        self.lock = threading.RLock()
        config.add_listener(self._on_config_change)

    @property
    def owner(self) -> str:
        """Name of this process in the slot row, ``<vm>/<process>``."""
        return self._owner

    @property
    def slots(self) -> OwnedSlots:
        """Slots of this process; use under the lock."""
        return self._slots

    @property
    def peer_processes(self) -> dict[str, PeerProcess]:
        """The latest process of each VM that sent a message, by VM."""
        return self._peer_processes

    @property
    def entries(self) -> list[Entry]:
        """Copy of the list of entries."""
        return list(self._entries.values())

    def record_peer_process(self, owner: str) -> None:
        """Record that a process sent a message just now."""
        with self.lock:
            self._peer_processes[vm_of(owner)] = PeerProcess(owner, self._clock.now())

    def next_sequence(self) -> int:
        """Return the next sequence number for lent terms."""
        self._sequence += 1
        return self._sequence

    def refresh(self, name: str, now: float) -> Entry:
        """Return the entry of an account with its bucket updated to ``now``."""
        account = self._config.view.accounts.get(name, _NO_ACCOUNT)
        return self._refresh(name, account, now)

    def has_account(self, name: str) -> bool:
        """Return whether the configuration has the account."""
        return name in self._config.view.accounts

    def account(self, name: str) -> Account:
        """Return the configured account, or one with zero rate and burst when there is none."""
        return self._config.view.accounts.get(name, _NO_ACCOUNT)

    def lenders(self, name: str) -> list[str]:
        """Return the other owners of slots of an account's shard."""
        row = self._slots.row
        if row is None:
            return []
        owners = row.owners_of(shard_of(name, row.shards))
        return [owner for owner in owners if owner != self._owner]

    def adopt(self, row: SlotRow, now: float) -> bool:
        """Adopt a slot row if it is newer than the known one; return whether it was."""
        with self.lock:
            if row.revision <= self._slots.revision:
                return False
            self._refresh_all(now)
            self._slots.adopt(row, now)
            self._refresh_all(now)
            return True

    def activate(self, now: float) -> None:
        """Start to use the slots whose waiting time after a takeover has passed."""
        with self.lock:
            self._refresh_all(now)
            self._slots.activate(now)

    def set_draining(self, indexes: Iterable[int]) -> None:
        """Replace the set of draining slots, which are no longer lent before their transfer."""
        with self.lock:
            if self._slots.draining == set(indexes):
                return
            now = self._clock.now()
            self._refresh_all(now)
            self._slots.set_draining(indexes)
            self._refresh_all(now)

    def overlent_entries(self) -> list[Entry]:
        """Return the entries that have lent more than the slots that are not draining provide."""
        with self.lock:
            self._refresh_all(self._clock.now())
            return [entry for entry in self.entries if entry.bucket.overlent_fraction > 0.0]

    def suspend(self, indexes: Iterable[int]) -> dict[int, dict[str, float]]:
        """Stop using slots on which no loan depends, until their transfer is settled.

        :returns: tokens withdrawn with each slot, by account.
        """
        with self.lock:
            now = self._clock.now()
            for name in self._config.view.accounts:
                self.refresh(name, now)
            tokens = self._withdraw_tokens(indexes)
            self._slots.suspend(tokens)
            self._refresh_all(now)
            return tokens

    def resume(self, tokens: dict[int, dict[str, float]]) -> None:
        """Use suspended slots again and put back the tokens that were withdrawn with them."""
        with self.lock:
            now = self._clock.now()
            self._refresh_all(now)
            for index in self._slots.resume(tokens, now):
                self._add_tokens(tokens[index], now)

    def receive_transfer(self, row: SlotRow, tokens: dict[str, float]) -> None:
        """Adopt a row from another owner that transfers slots with their tokens.

        The tokens are added only if the row is new here. If it was already known, the slots have
        already been refilling, and the tokens would be counted twice.
        """
        with self.lock:
            now = self._clock.now()
            if self.adopt(row, now):
                self._add_tokens(tokens, now)

    def _withdraw_tokens(self, indexes: Iterable[int]) -> dict[int, dict[str, float]]:
        """Remove the tokens that belong to slots in use, in proportion to their capacity."""
        assert self._slots.row is not None
        shards = self._slots.row.shards
        tokens: dict[int, dict[str, float]] = {index: {} for index in indexes}
        for entry in self.entries:
            shard = shard_of(entry.account, shards)
            suspended = [index for index in tokens if index // SLOTS_PER_SHARD == shard]
            bucket = entry.bucket
            if not suspended or bucket.own.capacity <= 0.0:
                continue
            capacity = self.account(entry.account).burst / SLOTS_PER_SHARD
            tokens_per_slot = bucket.tokens * min(1.0, capacity / bucket.capacity)
            for index in suspended:
                tokens[index][entry.account] = bucket.remove(tokens_per_slot)
        return tokens

    def _add_tokens(self, tokens: dict[str, float], now: float) -> None:
        for name, count in tokens.items():
            self.refresh(name, now).bucket.add(count)

    def _on_config_change(self, view: ConfigView) -> None:
        with self.lock:
            self._refresh_all(self._clock.now())

    def _refresh_all(self, now: float) -> None:
        for name in list(self._entries):
            self.refresh(name, now)

    def _refresh(self, name: str, account: Account, now: float) -> Entry:
        row = self._slots.row
        holding = NO_HOLDING if row is None else self._slots.holding_of(shard_of(name, row.shards))
        entry = self._entries.get(name)
        if entry is None:
            entry = self._entries[name] = Entry(name, now)
        bucket = entry.bucket
        if entry.generation == holding.generation and holding.ends_at != bucket.own.ends_at:
            bucket.set_own(bucket.own._replace(ends_at=holding.ends_at))
        bucket.advance(now)
        own = _own_terms(account, holding)
        if own != bucket.own and own.ends_at > now:
            bucket.set_own(own)
        bucket.set_lendable_fraction(holding.lendable / holding.owned if holding.owned else 0.0)
        entry.generation = holding.generation
        known = account is not _NO_ACCOUNT
        if known and not entry.initial_tokens_added and own.ends_at > now and holding.owned:
            # No token of these slots has been spent for the account so far. A peer may have named
            # the account before the configuration with it arrived here.
            entry.initial_tokens_added = True
            bucket.add(sum(_initial_tokens(account, holding, now)))
        return entry


def _own_terms(account: Account, holding: ShardHolding) -> Terms:
    share = holding.owned / SLOTS_PER_SHARD
    return Terms(account.rate * share, account.burst * share, holding.ends_at)


def _initial_tokens(account: Account, holding: ShardHolding, now: float) -> Iterator[float]:
    capacity = account.burst / SLOTS_PER_SHARD
    rate = account.rate / SLOTS_PER_SHARD
    for since in holding.since:
        yield min(capacity, rate * (now - since)) if rate > 0.0 else capacity * (since < -1e300)
