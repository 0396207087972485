"""Keeps configuration and withdrawals of this daemon up to date with store and peers."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config_store import (
    HEAD_KEY,
    STORE_RETRY_SECONDS,
    ConfigStore,
    refuse_stale,
)
from trefoilreach._internal.coordination.config_view import ConfigHolder
from trefoilreach._internal.coordination.peers import PeerError, Peers, PeerState
from trefoilreach._internal.coordination.withdrawals import WithdrawalRecord, WithdrawalSet
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import ConfigReply, Withdrawal
from trefoilreach._internal.protocol.verdict import Refusal, refuse_unavailable
from trefoilreach._internal.state.config import (
    BOOTSTRAP_KEY_ID,
    ConfigDocument,
    ConfigError,
    Withdrawn,
    decode_config,
    pack_config,
)
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import TableService

__all__ = ["HEAD_KEY", "ConfigPeers", "ConfigSync", "WithdrawReport", "refuse_stale"]

_REBASE_TRIES = 8
_REBASE_PAUSE_SECONDS = 0.05
_FETCH_TIMEOUT_SECONDS = 2.0
_PUSH_TIMEOUT_SECONDS = 1.0
# Version in an answer of a daemon that does not know yet which version is in force.
NOT_READY_VERSION = -1
# Daemons read a new version spread over this time for each 400 of them, because the
# platform's stores carry about two thousand reads a second in total.
_SPREAD_SECONDS = 1.0
_SPREAD_DAEMONS = 400
_PEER_SYNC_PAUSE_SECONDS = 0.05


class ConfigPeers(Peers, Protocol):
    """What the configuration needs of the fleet besides :class:`Peers`."""

    def known_count(self) -> int:
        """Return how many other VMs this daemon knows of."""

    def push_state(self) -> dict[str, Result[PeerState, PeerError]]:
        """Tell every live or leaving peer this daemon's state; return theirs."""


class WithdrawReport(NamedTuple):
    """How far a withdrawal has come.

    :param in_force: VMs that refuse the key now.
    :param pending: VMs that did not answer; they hear of it when they are back.
    :param durable: whether the configuration in the stores names it.
    """

    key_id: str
    in_force: tuple[str, ...]
    pending: tuple[str, ...]
    durable: bool


class ConfigSync:
    """Polls the head row, adopts higher versions, and merges withdrawals."""

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        objects: ObjectStore,
        holder: ConfigHolder,
        interval: float,
        peers: ConfigPeers | None = None,
    ) -> None:
        self._clock = clock
        self._store = ConfigStore(clock, table, objects)
        self._holder = holder
        self._interval = interval
        self._peers = peers
        own_vm = "" if peers is None else peers.self_member.vm
        self._withdrawals = WithdrawalSet(clock, own_vm)
        self._change_lock = threading.Lock()
        self._lock = threading.Lock()
        self._ready = False
        self._store_ok = False
        self._store_answered_at: float | None = None
        self._sources: dict[str, PeerState] = {}
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._pushes = ThreadPoolExecutor(1, "config-push")

    @property
    def ready(self) -> bool:
        """Whether this daemon knows which configuration is in force."""
        return self._ready

    @property
    def withdrawals(self) -> WithdrawalSet:
        """The merged withdrawals."""
        return self._withdrawals

    def withdrawn_ids(self) -> frozenset[str]:
        """Return the ids of all withdrawn keys."""
        return self._withdrawals.ids

    def withdrawal_records(self) -> list[WithdrawalRecord]:
        """Return the last withdrawals with the time in force per daemon."""
        return self._withdrawals.records()

    def state(self) -> PeerState:
        """Return what rides on the probes of this daemon."""
        version = self._holder.view.document.version if self._ready else NOT_READY_VERSION
        return PeerState(version, self._withdrawals.digest)

    def store_age(self) -> float:
        """Return the seconds since the table service last answered."""
        if self._store_answered_at is None:
            return float("inf")
        return self._clock.now() - self._store_answered_at

    def store_silent(self) -> bool:
        """Return whether the last read of the head failed or is overdue."""
        return not self._store_ok or self.store_age() > 1.5 * self._interval

    def start(self, stack: ExitStack) -> None:
        """Read store and peers in threads until the exit stack closes."""
        stack.callback(self._close)
        threading.Thread(target=self._run_store, name="config-sync", daemon=True).start()
        threading.Thread(target=self._run_peers, name="config-peers", daemon=True).start()

    def poll(self) -> bool:
        """Read the head once; return whether a higher version came into force."""
        found = self._store.read_head()
        self._store_ok = isinstance(found, Ok)
        if isinstance(found, Err):
            return False
        self._store_answered_at = self._clock.now()
        head = found.ok_value
        adopted = False
        if head.version > self._holder.view.document.version:
            document = self._store.read_document(head)
            if isinstance(document, Ok):
                adopted = self.adopt(document.ok_value)
            else:
                error = str(document.err_value)
                log_event("config:unreadable", version=head.version, error=error)
                adopted = self._fetch_from_any(head.version)
        if self._holder.view.document.version >= head.version:
            self._ready = True
        return adopted

    def adopt(self, document: ConfigDocument) -> bool:
        """Put a document that was in force into force here, if it is higher."""
        self._withdrawals.merge(document.withdrawn)
        return self._holder.adopt(document)

    def change(
        self, base_version: int | None, edit: Callable[[ConfigDocument], ConfigDocument]
    ) -> Result[ConfigDocument, Refusal]:
        """Put an edited configuration into force by compare-and-swap on the head row.

        :param base_version: version that the change was made against; None applies the
            edit to the version in force, whichever it is.
        :param edit: returns the edited document, or raises :class:`Refusal`.
        :returns: the document in force; 409 when the base is not in force any more.
        """
        with self._change_lock:
            outcome = self._change_once(base_version, edit)
            for _ in range(_REBASE_TRIES):
                if base_version is not None or isinstance(outcome, Ok):
                    break
                if outcome.err_value.status != 409:
                    break
                self._clock.sleep(_REBASE_PAUSE_SECONDS * random.uniform(0.5, 2.0))
                outcome = self._change_once(None, edit)
        if isinstance(outcome, Ok):
            self._push()
        return outcome

    def withdraw(self, key_id: str) -> Result[WithdrawReport, Refusal]:
        """Withdraw a key here, on all peers that answer, and in the stores."""
        known = {key.id for key in self._holder.view.document.keys} | {BOOTSTRAP_KEY_ID}
        if key_id not in known and key_id not in self._withdrawals.ids:
            return Err(Refusal(404, "key_not_found", f"there is no key {key_id!r}"))
        self._withdrawals.merge([Withdrawn(key_id, self._clock.wall_time())])
        in_force, pending = self._push_withdrawal(key_id)
        durable = isinstance(self.make_durable(), Ok)
        log_event("withdrawal", key_id=key_id, pending=pending, durable=durable)
        return Ok(WithdrawReport(key_id, tuple(in_force), tuple(pending), durable))

    def make_durable(self) -> Result[ConfigDocument, Refusal]:
        """Write withdrawals that the configuration in the stores does not name yet."""
        if not self._undurable():
            return Ok(self._holder.view.document)
        return self.change(None, lambda document: document)

    def versions_in_force(self) -> dict[str, int | None]:
        """Ask all live or leaving daemons which version is in force there.

        :returns: version by VM name; None for a VM that did not answer.
        """
        own = self.state().config_version
        if self._peers is None:
            return {"": own}
        found: dict[str, int | None] = {member.vm: None for member in self._peers.members()}
        found[self._peers.self_member.vm] = own
        for vm, outcome in self._peers.push_state().items():
            found[vm] = outcome.ok_value.config_version if isinstance(outcome, Ok) else None
        return found

    def hear(self, vm: str, state: PeerState) -> None:
        """Take note of the state that rode on a probe of a peer."""
        own = self.state()
        if state.withdrawals_digest == own.withdrawals_digest:
            self._withdrawals.note_in_force(vm)
        elif state.config_version == NOT_READY_VERSION:
            # That daemon fetches everything itself before it serves.
            return
        if state.withdrawals_digest == own.withdrawals_digest and (
            state.config_version <= own.config_version
        ):
            return
        with self._lock:
            self._sources[vm] = state
        self._wake.set()

    def answer_fetch(self, min_version: int) -> ConfigReply:
        """Return the withdrawals, and the document when its version is not too low."""
        version = self.state().config_version
        document = b""
        if version >= max(min_version, 0):
            view = self._holder.view
            version, document = view.document.version, pack_config(view.document)
        withdrawals = [Withdrawal(*entry) for entry in self._withdrawals.entries()]
        return ConfigReply(version=version, document=document, withdrawals=withdrawals)

    def answer_withdraw(self, withdrawals: list[Withdrawal]) -> None:
        """Merge withdrawals that a peer pushed."""
        self._withdrawals.merge(Withdrawn(entry.key_id, entry.wall_time) for entry in withdrawals)

    def sync_with_peer(self, vm: str) -> Result[int, PeerError]:
        """Merge the withdrawals of a peer and adopt its document if it is higher.

        The peer heard of the difference too and does the same.

        :returns: version in force there.
        """
        assert self._peers is not None
        wanted = self._holder.view.document.version + 1 if self._ready else 0
        fetched = self._peers.call(
            vm, lambda client: client.fetch_config(wanted), _FETCH_TIMEOUT_SECONDS
        )
        if isinstance(fetched, Err):
            return fetched
        reply = fetched.ok_value
        self.answer_withdraw(reply.withdrawals)
        if reply.document:
            self._adopt_encoded(reply.document)
        return Ok(reply.version)

    def sync_with_sources(self) -> None:
        """Catch up with the peers whose probes showed another state."""
        with self._lock:
            sources, self._sources = self._sources, {}
        for vm, state in sources.items():
            if state.withdrawals_digest != self._withdrawals.digest:
                self.sync_with_peer(vm)
            elif state.config_version > self._holder.view.document.version:
                self._spread_reads()
                if not (self._store_ok and self.poll()):
                    self.sync_with_peer(vm)

    def start_from_peers(self) -> bool:
        """Take the highest version that most of the known VMs hold; return whether they answered.

        A daemon that starts while the stores are down serves only after this.
        """
        if self._peers is None:
            return False
        known = self._peers.known_count()
        answers = 0
        for member in self._peers.members():
            outcome = self.sync_with_peer(member.vm)
            if isinstance(outcome, Ok) and outcome.ok_value != NOT_READY_VERSION:
                answers += 1
        if known == 0 or 2 * answers <= known:
            return False
        self._ready = True
        log_event("config:from-peers", answers=answers, known=known)
        return True

    def _change_once(
        self, base_version: int | None, edit: Callable[[ConfigDocument], ConfigDocument]
    ) -> Result[ConfigDocument, Refusal]:
        found = self._store.read_head()
        if isinstance(found, Err):
            message = f"table service: {found.err_value}"
            return Err(refuse_unavailable(message, STORE_RETRY_SECONDS))
        head = found.ok_value
        if base_version is not None and base_version != head.version:
            return Err(refuse_stale(base_version, head.version))
        if head.version > self._holder.view.document.version:
            self.poll()
        current = self._holder.view.document
        if current.version != head.version:
            return Err(refuse_unavailable("the configuration in force cannot be read", 1.0))
        try:
            edited = edit(current)
        except Refusal as refusal:
            return Err(refusal)
        withdrawn = {entry.key_id: entry for entry in self._withdrawals.entries()}
        withdrawn.update({entry.key_id: entry for entry in edited.withdrawn})
        document = edited._replace(
            version=head.version + 1, withdrawn=tuple(sorted(withdrawn.values()))
        )
        written = self._store.write(document, head)
        if isinstance(written, Err):
            return written
        self.adopt(document)
        self._ready = True
        return Ok(document)

    def _undurable(self) -> bool:
        named = {entry.key_id for entry in self._holder.view.document.withdrawn}
        return not self._withdrawals.ids <= named

    def _push(self) -> None:
        if self._peers is not None and not self._stop.is_set():
            self._pushes.submit(self._peers.push_state)

    def _push_withdrawal(self, key_id: str) -> tuple[list[str], list[str]]:
        if self._peers is None:
            return [""], []
        entries = [entry for entry in self._withdrawals.entries() if entry.key_id == key_id]
        message = [Withdrawal(*entry) for entry in entries]
        outcomes = self._peers.broadcast(
            lambda client: client.withdraw(message), _PUSH_TIMEOUT_SECONDS
        )
        in_force = [self._peers.self_member.vm]
        for vm, outcome in outcomes.items():
            if isinstance(outcome, Ok):
                self._withdrawals.note_in_force(vm, [key_id])
                in_force.append(vm)
        pending = {member.vm for member in self._peers.members()} - set(in_force)
        return sorted(in_force), sorted(pending)

    def _adopt_encoded(self, data: bytes) -> bool:
        try:
            return self.adopt(decode_config(data))
        except ConfigError as error:
            log_event("config:undecodable", error=str(error))
            return False

    def _fetch_from_any(self, version: int) -> bool:
        """Fetch a version that the head names but the object store does not give."""
        if self._peers is None:
            return False
        before = self._holder.view.document.version
        members = self._peers.members()
        for member in random.sample(members, min(3, len(members))):
            self.sync_with_peer(member.vm)
            if self._holder.view.document.version >= version:
                break
        return self._holder.view.document.version > before

    def _spread_reads(self) -> None:
        peers = 0 if self._peers is None else len(self._peers.members())
        spread = _SPREAD_SECONDS * peers / _SPREAD_DAEMONS
        self._clock.wait(self._stop, random.uniform(0.0, spread))

    def _draws_durable_try(self) -> bool:
        # On average one daemon of the fleet tries per interval when the one that
        # took the withdrawal cannot.
        fleet = 1 + (0 if self._peers is None else len(self._peers.members()))
        return random.random() < 1.0 / fleet

    def _run_store(self) -> None:
        while not self._stop.is_set():
            self.poll()
            if not self._ready and not self._store_ok:
                self.start_from_peers()
            if self._store_ok and self._undurable() and self._draws_durable_try():
                self.make_durable()
            self._clock.wait(self._stop, self._interval * random.uniform(0.75, 1.25))

    def _run_peers(self) -> None:
        while not self._stop.is_set():
            if not self._clock.wait(self._wake, self._interval):
                continue
            self._wake.clear()
            self.sync_with_sources()
            self._clock.wait(self._stop, _PEER_SYNC_PAUSE_SECONDS)

    def _close(self) -> None:
        self._stop.set()
        self._wake.set()
        self._pushes.shutdown(wait=False, cancel_futures=True)
