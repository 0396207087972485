"""Policy of slots with loans between the daemons; see section 5.1 of the design."""

import threading
from concurrent.futures import Executor, ThreadPoolExecutor
from contextlib import ExitStack

from result import Err, Ok, Result

from trefoilreach._internal.coordination.quota.borrower import Borrower
from trefoilreach._internal.coordination.quota.keeper import (
    TABLE_INTERVAL_SECONDS,
    SlotKeeper,
)
from trefoilreach._internal.coordination.quota.ledger import Ledger
from trefoilreach._internal.coordination.quota.lender import Lender
from trefoilreach._internal.coordination.quota.passing import SlotPasser
from trefoilreach._internal.coordination.quota.quota import QuotaTools, Shortage, quota_policies
from trefoilreach._internal.coordination.quota.row import decode_row, encode_row
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import BorrowReply, BorrowRequest
from trefoilreach._internal.state.config import Account

# Calls to peers that run at the same time.
_POOL_SIZE = 32

_RENEW_INTERVAL_SECONDS = 1.0

_CONFIRM_INTERVAL_SECONDS = 0.5

# A token spent later than this after the clock was read is checked again.
_SPEND_SECONDS = 0.2

# Hint for a refused request when the bucket here cannot say when a token comes.
_RETRY_SECONDS = 1.0


@quota_policies.register("loans")
class LoanQuota:
    """Admits from the tokens on this daemon and borrows more from the owners of slots."""

    def __init__(self, tools: QuotaTools, pool: Executor | None = None) -> None:
        self._clock = tools.clock
        self._settings = tools.settings
        vm = tools.peers.self_member.vm
        loan = tools.settings.loan
        self._pool = pool or ThreadPoolExecutor(_POOL_SIZE, "quota")
        self._ledger = Ledger(tools.clock, tools.config, vm, loan)
        self._lender = Lender(tools.clock, self._ledger, loan)
        self._borrower = Borrower(tools.clock, self._ledger, self._lender, tools.peers, self._pool)
        passer = SlotPasser(tools.clock, self._ledger, self._lender, self._borrower, tools.peers)
        self._keeper = SlotKeeper(
            tools.clock,
            self._ledger,
            tools.peers,
            tools.table,
            tools.settings,
            self._borrower,
            passer,
        )
        self._stop = threading.Event()

    @property
    def ledger(self) -> Ledger:
        """State of the quota, for measurements and tests."""
        return self._ledger

    @property
    def keeper(self) -> SlotKeeper:
        """Work on the slots, for tests that call it in their own time."""
        return self._keeper

    @property
    def borrower(self) -> Borrower:
        """Work on loans, for tests that call it in their own time."""
        return self._borrower

    def admit(self, account: Account) -> Result[None, Shortage]:
        """Spend one token."""
        if self._take(account.name, arrived=True):
            return Ok(None)
        self._borrower.wait_for_token(account.name)
        if self._take(account.name, arrived=False):
            return Ok(None)
        return Err(self._explain(account))

    def held_rate(self, account: Account) -> float:
        """Return the rate of the own slots, minus what is lent, plus what is borrowed."""
        with self._ledger.lock:
            if not self._ledger.known(account.name):
                return 0.0
            return self._ledger.touch(account.name, self._clock.now()).bucket.rate

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Answer a peer: follow its row, take back, lend and give back."""
        self._ledger.note_process(request.sender)
        if request.slots is not None:
            passed = {part.account: part.tokens for part in request.passed or ()}
            self._ledger.receive(decode_row(request.slots), passed)
        loans, recalls = self._lender.lend(request)
        returns = self._borrower.give_back(request)
        self._borrower.recall(recalls)
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
        """Renew loans and keep the slots until the exit stack closes."""
        stack.callback(self._pool.shutdown, wait=False, cancel_futures=True)
        stack.callback(self._stop.set)
        for name, work, interval in (
            ("quota-slots", self._keeper.tick, TABLE_INTERVAL_SECONDS),
            ("quota-confirm", self._keeper.confirm_by_peers, _CONFIRM_INTERVAL_SECONDS),
            ("quota-loans", self._borrower.renew, _RENEW_INTERVAL_SECONDS),
        ):
            arguments = (work, interval)
            threading.Thread(target=self._run, args=arguments, name=name, daemon=True).start()

    def hand_back(self) -> None:
        """Stop lending, wait for the loans to end and pass the slots on."""
        self._lender.stop()
        self._keeper.leave()
        end = self._clock.now() + 2.0 * self._settings.loan
        while not self._keeper.pass_on() and self._clock.now() < end:
            self._clock.sleep(_SPEND_SECONDS)

    def _take(self, name: str, arrived: bool) -> bool:
        with self._ledger.lock:
            while True:
                now = self._clock.now()
                if not self._ledger.known(name) or self._ledger.slots.row is None:
                    return False
                entry = self._ledger.touch(name, now)
                if arrived:
                    entry.meter.note(now)
                    entry.last_arrival = now
                    arrived = False
                if not entry.bucket.take():
                    return False
                if self._clock.now() - now <= _SPEND_SECONDS:
                    return True
                # Paused between the reading of the clock and the spending.

    def _explain(self, account: Account) -> Shortage:
        with self._ledger.lock:
            now = self._clock.now()
            entry = self._ledger.touch(account.name, now)
            seconds = entry.bucket.seconds_to_token()
            over_rate = entry.meter.rate(now) > account.rate
        over_rate = over_rate or self._borrower.reaches_all(account.name)
        if seconds is None and account.rate > 0.0:
            seconds = min(_RETRY_SECONDS, 1.0 / account.rate)
        return Shortage(_RETRY_SECONDS if seconds is None else seconds, over_rate)

    def _run(self, work: object, interval: float) -> None:
        assert callable(work)
        while not self._stop.is_set():
            try:
                work()
            except Exception as error:
                log_event("quota:error", error=repr(error))
            self._clock.wait(self._stop, interval)
