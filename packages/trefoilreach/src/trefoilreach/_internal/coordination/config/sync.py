"""Synchronises configuration and withdrawals with the platform's stores and with peers."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.key_withdrawal import KeyWithdrawal, WithdrawReport
from trefoilreach._internal.coordination.config.peer_exchange import ConfigPeers, PeerExchange
from trefoilreach._internal.coordination.config.replica import NOT_READY_VERSION, ConfigReplica
from trefoilreach._internal.coordination.config.store import ConfigStore, Head
from trefoilreach._internal.coordination.config.withdrawals import WithdrawalRecord, WithdrawalSet
from trefoilreach._internal.coordination.config.writer import ConfigWriter, DocumentEdit
from trefoilreach._internal.coordination.membership.peers import PeerState
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import ConfigReply, Withdrawal
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import ConfigDocument, ConfigError
from trefoilreach._internal.state.config_change import apply_changes
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import TableService

# Reads of a new version are spread over this time per 400 daemons, because the platform's
# stores handle about 2000 reads per second in total.
_SPREAD_SECONDS = 1.0
_SPREAD_DAEMONS = 400
_PEER_SYNC_PAUSE_SECONDS = 0.05


class ConfigSync:
    """Polls the head row, adopts higher versions, and merges withdrawals."""

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        objects: ObjectStore,
        holder: ActiveConfig,
        interval_seconds: float,
        peers: ConfigPeers | None = None,
    ) -> None:
        self._clock = clock
        self._interval = interval_seconds
        self._peers = peers
        own_vm = "" if peers is None else peers.own_member.vm
        self._replica = ConfigReplica(clock, holder, own_vm)
        self._store = ConfigStore(clock, table, objects)
        self._exchange = PeerExchange(self._replica, peers)
        self._writer = ConfigWriter(clock, self._store, self._replica, self.poll, self._push)
        self._withdrawal = KeyWithdrawal(clock, self._replica, self._writer, peers)
        self._lock = threading.Lock()
        self._store_ok = False
        self._store_answered_at: float | None = None
        self._peers_to_fetch: dict[str, PeerState] = {}
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._pushes = ThreadPoolExecutor(1, "config-push")

    @property
    def ready(self) -> bool:
        """Whether this daemon knows which configuration is in force."""
        return self._replica.ready

    @property
    def withdrawals(self) -> WithdrawalSet:
        """The merged withdrawals."""
        return self._replica.withdrawals

    def get_withdrawn_key_ids(self) -> frozenset[str]:
        """Return the ids of all withdrawn keys."""
        return self._replica.withdrawals.ids

    def list_withdrawal_records(self) -> list[WithdrawalRecord]:
        """Return recent withdrawals with the time in force on each daemon."""
        return self._replica.withdrawals.records()

    def build_state(self) -> PeerState:
        """Return the configuration state to send with probes."""
        return self._replica.state()

    def seconds_since_store_answer(self) -> float:
        """Return the seconds since the table service last answered."""
        if self._store_answered_at is None:
            return float("inf")
        return self._clock.now() - self._store_answered_at

    def is_store_unresponsive(self) -> bool:
        """Return whether the last read of the head failed or is overdue."""
        return not self._store_ok or self.seconds_since_store_answer() > 1.5 * self._interval

    def start(self, stack: ExitStack) -> None:
        """Synchronise with store and peers in threads until the exit stack closes."""
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
        adopted = head.version > self._replica.version and self._adopt_head(head)
        if self._replica.version >= head.version:
            self._replica.ready = True
        return adopted

    def change(
        self, base_version: int | None, edit: DocumentEdit
    ) -> Result[ConfigDocument, Refusal]:
        """Put an edited configuration into force; see :meth:`ConfigWriter.change`."""
        return self._writer.change(base_version, edit)

    def withdraw(self, key_id: str) -> Result[WithdrawReport, Refusal]:
        """Withdraw a key here, on all peers that answer, and in the stores."""
        return self._withdrawal.withdraw(key_id)

    def make_durable(self) -> Result[ConfigDocument, Refusal]:
        """Write withdrawals that the configuration in the stores lacks."""
        return self._writer.make_durable()

    def query_versions(self) -> dict[str, int | None]:
        """Query all live or leaving daemons for the version in force there.

        :returns: version by VM name; None for a VM that did not answer.
        """
        own = self._replica.state().config_version
        if self._peers is None:
            return {"": own}
        found: dict[str, int | None] = {member.vm: None for member in self._peers.members()}
        found[self._peers.own_member.vm] = own
        for vm, outcome in self._peers.push_state().items():
            found[vm] = outcome.ok_value.config_version if isinstance(outcome, Ok) else None
        return found

    def apply_peer_state(self, vm: str, state: PeerState) -> None:
        """Process the state that a peer sent with a probe; schedule a fetch if it differs."""
        own = self._replica.state()
        if state.withdrawals_digest == own.withdrawals_digest:
            self._replica.withdrawals.record_in_force(vm)
        elif state.config_version == NOT_READY_VERSION:
            # A daemon that is not ready fetches everything itself before it serves.
            return
        if state.withdrawals_digest == own.withdrawals_digest and (
            state.config_version <= own.config_version
        ):
            return
        with self._lock:
            self._peers_to_fetch[vm] = state
        self._wake.set()

    def answer_fetch(self, min_version: int, base_version: int | None = None) -> ConfigReply:
        """Return the withdrawals, and the configuration when its version is not too low."""
        return self._exchange.answer_fetch(min_version, base_version)

    def answer_withdraw(self, withdrawals: list[Withdrawal]) -> None:
        """Merge withdrawals pushed by a peer."""
        self._exchange.answer_withdraw(withdrawals)

    def fetch_from_changed_peers(self) -> None:
        """Fetch from the peers whose probes showed a different state."""
        with self._lock:
            sources, self._peers_to_fetch = self._peers_to_fetch, {}
        for vm, state in sources.items():
            if state.withdrawals_digest != self._replica.withdrawals.digest:
                self._exchange.fetch(vm)
            elif state.config_version > self._replica.version:
                self._delay_read()
                if not (self._store_ok and self.poll()):
                    self._exchange.fetch(vm)

    def bootstrap_from_peers(self) -> bool:
        """Adopt the highest version held by peers; return whether most known VMs answered.

        A daemon that starts while the stores are down serves only after this succeeded.
        """
        return self._exchange.bootstrap_from_peers()

    def _adopt_head(self, head: Head) -> bool:
        """Read and adopt the version that the head names; return whether one came into force."""
        base = self._replica.document
        changes = self._store.read_changes(head, base.version)
        if isinstance(changes, Ok):
            document = self._apply(base, changes.ok_value, head)
            if document is not None:
                return self._replica.adopt(document, changes.ok_value)
            found = self._store.read_document(head)
            if isinstance(found, Ok):
                return self._replica.adopt(found.ok_value)
            error = str(found.err_value)
        else:
            error = str(changes.err_value)
        log_event("config:unreadable", version=head.version, error=error)
        return self._exchange.fetch_from_any(head.version)

    def _apply(
        self, base: ConfigDocument, changes: list[bytes], head: Head
    ) -> ConfigDocument | None:
        """Return the head's document, or None when the changes do not lead to it."""
        if not changes:
            return None
        try:
            document = apply_changes(base, changes)
            if document.version != head.version:
                raise ConfigError(f"the changes lead to version {document.version}")
        except ConfigError as error:
            log_event("config:change-unusable", version=head.version, error=str(error))
            return None
        return document

    def _push(self) -> None:
        if self._peers is not None and not self._stop.is_set():
            self._pushes.submit(self._peers.push_state)

    def _delay_read(self) -> None:
        peers = 0 if self._peers is None else len(self._peers.members())
        spread = _SPREAD_SECONDS * peers / _SPREAD_DAEMONS
        self._clock.wait(self._stop, random.uniform(0.0, spread))

    def _should_retry_durable(self) -> bool:
        # When the daemon that accepted the withdrawal cannot store it, on average one daemon of
        # the fleet tries per interval.
        fleet = 1 + (0 if self._peers is None else len(self._peers.members()))
        return random.random() < 1.0 / fleet

    def _run_store(self) -> None:
        while not self._stop.is_set():
            self.poll()
            if not self._replica.ready and not self._store_ok:
                self.bootstrap_from_peers()
            if (
                self._store_ok
                and self._replica.has_unstored_withdrawals()
                and self._should_retry_durable()
            ):
                self.make_durable()
            self._clock.wait(self._stop, self._interval * random.uniform(0.75, 1.25))

    def _run_peers(self) -> None:
        while not self._stop.is_set():
            if not self._clock.wait(self._wake, self._interval):
                continue
            self._wake.clear()
            self.fetch_from_changed_peers()
            self._clock.wait(self._stop, _PEER_SYNC_PAUSE_SECONDS)

    def _close(self) -> None:
        self._stop.set()
        self._wake.set()
        self._pushes.shutdown(wait=False, cancel_futures=True)
