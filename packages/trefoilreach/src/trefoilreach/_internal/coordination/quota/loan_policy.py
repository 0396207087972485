"""Quota policy with slots and loans between the daemons; see section 5.1 of the design."""

import threading
from concurrent.futures import Executor, ThreadPoolExecutor
from contextlib import ExitStack

from result import Err, Ok, Result

from trefoilreach._internal.coordination.quota.borrower import Borrower
from trefoilreach._internal.coordination.quota.ledger import Ledger
from trefoilreach._internal.coordination.quota.lender import Lender
from trefoilreach._internal.coordination.quota.policy import (
    QuotaDependencies,
    Shortage,
    quota_policies,
)
from trefoilreach._internal.coordination.quota.row import decode_row, encode_row
from trefoilreach._internal.coordination.quota.slot_manager import (
    TABLE_READ_INTERVAL_SECONDS,
    SlotManager,
)
from trefoilreach._internal.coordination.quota.slot_transfer import SlotTransfers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import BorrowReply, BorrowRequest
from trefoilreach._internal.state.config import Account

# Limit on concurrent calls to peers.
_PEER_CALL_THREADS = 32

_RENEW_INTERVAL_SECONDS = 1.0

_CONFIRM_INTERVAL_SECONDS = 0.5

# A token spent more than this after the clock was read is discarded, because its terms may have
# expired during a pause of the process; another one is taken at the present time.
_MAX_SPEND_DELAY_SECONDS = 0.2

# Pause between two attempts to transfer the slots at a planned stop. Each may write to the table.
_TRANSFER_RETRY_SECONDS = 0.2

# Retry hint of a refused request when the local bucket cannot fill up to a token by itself.
_DEFAULT_RETRY_AFTER_SECONDS = 1.0


@quota_policies.register("loans")
class LoanQuota:
    """Admits requests by the tokens on this daemon and borrows more from the owners of slots."""

    def __init__(self, tools: QuotaDependencies, pool: Executor | None = None) -> None:
        self._clock = tools.clock
        self._settings = tools.settings
        vm = tools.peers.own_member.vm
        loan = tools.settings.loan
        self._pool = pool or ThreadPoolExecutor(_PEER_CALL_THREADS, "quota")
        self._ledger = Ledger(tools.clock, tools.config, vm, loan)
        self._lender = Lender(tools.clock, self._ledger, loan)
        self._borrower = Borrower(tools.clock, self._ledger, self._lender, tools.peers, self._pool)
        transfers = SlotTransfers(
            tools.clock, self._ledger, self._lender, self._borrower, tools.peers
        )
        self._slot_manager = SlotManager(
            tools.clock,
            self._ledger,
            tools.peers,
            tools.table,
            tools.settings,
            self._borrower,
            transfers,
        )
        self._stop = threading.Event()

    @property
    def ledger(self) -> Ledger:
        """Buckets and slots of this daemon, for measurements and tests."""
        return self._ledger

    @property
    def slot_manager(self) -> SlotManager:
        """Background work on the slots, for tests that run its steps themselves."""
        return self._slot_manager

    @property
    def borrower(self) -> Borrower:
        """Background work on loans, for tests that run its steps themselves."""
        return self._borrower

    def admit(self, account: Account) -> Result[None, Shortage]:
        """Spend one token, borrowed if necessary."""
        if self._take_token(account.name, is_arrival=True):
            return Ok(None)
        self._borrower.wait_for_token(account.name)
        if self._take_token(account.name, is_arrival=False):
            return Ok(None)
        return Err(self._make_shortage(account))

    def local_rate(self, account: Account) -> float:
        """Return the rate of the own slots, minus what is lent, plus what is borrowed.

        In requests a second; 0 for an account that is not configured.
        """
        with self._ledger.lock:
            if not self._ledger.has_account(account.name):
                return 0.0
            return self._ledger.refresh(account.name, self._clock.now()).bucket.rate

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Answer a peer: adopt its slot row, take back its loans, lend, and honour its recalls."""
        self._ledger.record_peer_process(request.sender)
        if request.slots is not None:
            passed = {part.account: part.tokens for part in request.passed or ()}
            self._ledger.receive_transfer(decode_row(request.slots), passed)
        loans, recalls = self._lender.lend(request)
        returns = self._borrower.return_recalled(request)
        self._borrower.send_recalls(recalls)
        with self._ledger.lock:
            row = self._ledger.slots.row
            newer = row is not None and row.revision > request.slots_revision
            return BorrowReply(
                sender=self._ledger.owner,
                loans=loans,
                returns=returns,
                slots_revision=self._ledger.slots.revision,
                slots=encode_row(row) if row is not None and newer else None,
            )

    def start(self, stack: ExitStack) -> None:
        """Renew loans and manage the slots in threads until the exit stack closes."""
        stack.callback(self._pool.shutdown, wait=False, cancel_futures=True)
        stack.callback(self._stop.set)
        for name, work, interval in (
            ("quota-slots", self._slot_manager.tick, TABLE_READ_INTERVAL_SECONDS),
            ("quota-confirm", self._slot_manager.confirm_by_peers, _CONFIRM_INTERVAL_SECONDS),
            ("quota-loans", self._borrower.renew, _RENEW_INTERVAL_SECONDS),
        ):
            arguments = (work, interval)
            threading.Thread(
                target=self._run_periodically, args=arguments, name=name, daemon=True
            ).start()

    def release_slots(self) -> None:
        """Stop lending, wait for the loans to end and transfer the slots.

        Gives up after twice the duration of a loan.
        """
        self._lender.stop_lending()
        self._slot_manager.leave()
        end = self._clock.now() + 2.0 * self._settings.loan
        while not self._slot_manager.transfer_slots() and self._clock.now() < end:
            self._clock.sleep(_TRANSFER_RETRY_SECONDS)

    def _take_token(self, name: str, is_arrival: bool) -> bool:
        with self._ledger.lock:
            while True:
                now = self._clock.now()
                if not self._ledger.has_account(name) or self._ledger.slots.row is None:
                    return False
                entry = self._ledger.refresh(name, now)
                if is_arrival:
                    entry.meter.record_arrival(now)
                    entry.last_arrival = now
                    is_arrival = False
                if not entry.bucket.take():
                    return False
                if self._clock.now() - now <= _MAX_SPEND_DELAY_SECONDS:
                    return True
                # The process was paused between reading the clock and spending the token.

    def _make_shortage(self, account: Account) -> Shortage:
        with self._ledger.lock:
            now = self._clock.now()
            entry = self._ledger.refresh(account.name, now)
            seconds = entry.bucket.seconds_to_token()
            over_rate = entry.meter.rate(now) > account.rate
        over_rate = over_rate or self._borrower.reaches_all_slots(account.name)
        if seconds is None and account.rate > 0.0:
            seconds = min(_DEFAULT_RETRY_AFTER_SECONDS, 1.0 / account.rate)
        return Shortage(_DEFAULT_RETRY_AFTER_SECONDS if seconds is None else seconds, over_rate)

    def _run_periodically(self, work: object, interval: float) -> None:
        assert callable(work)
        while not self._stop.is_set():
            try:
                work()
            except Exception as error:
                log_event("quota:error", error=repr(error))
            self._clock.wait(self._stop, interval)
