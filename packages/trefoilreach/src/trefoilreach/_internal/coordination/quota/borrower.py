"""Borrows quota from the owners of slots, renews the loans and returns them."""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future
from typing import Any, NamedTuple

import xxhash
from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.peers import UNREACHABLE, Peers
from trefoilreach._internal.coordination.quota.buckets import Terms
from trefoilreach._internal.coordination.quota.ledger import Entry, Ledger
from trefoilreach._internal.coordination.quota.lender import (
    EPSILON,
    Deficit,
    Lender,
    Recall,
    recall_message,
)
from trefoilreach._internal.coordination.quota.row import (
    SLOTS_PER_SHARD,
    decode_row,
    encode_row,
    shard_of,
    vm_of,
)
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import (
    BorrowReply,
    BorrowRequest,
    QuotaDemand,
    QuotaLoan,
    QuotaRecall,
    QuotaReturn,
    QuotaTokens,
)

# Longest time that one request waits for a loan.
BORROW_WAIT_SECONDS = 0.1

# Extra wait for a lender that has not answered yet, for example on a busy VM. Without it, daemons
# that had just joined refused requests inside the rate.
_LATE_REPLY_GRACE_SECONDS = 0.2

# Pause between two attempts, which gives lenders time to recall loans of other borrowers.
_ATTEMPT_PAUSE_SECONDS = 0.01

# When borrowing yielded no token, requests of the account are refused at once for this long.
_REFUSAL_BACKOFF_SECONDS = 0.25

# Loans of an account without arrivals for this long are returned.
_IDLE_ACCOUNT_SECONDS = 5.0

# A lender that did not answer is not asked again for this long.
_LENDER_RETRY_DELAY_SECONDS = 1.0

# Factor on the measured arrival rate, which leaves room for the fluctuation of Poisson arrivals.
_RATE_HEADROOM = 2.0

# Limit on the requests of one account that wait for a loan at the same time.
_MAX_WAITERS_PER_ACCOUNT = 16

_CALL_TIMEOUT_SECONDS = 0.5

# Factor by which each further attempt raises the part that every lender is asked for.
_ATTEMPT_GROWTH_FACTOR = 3.0


class _BorrowAttempt(NamedTuple):
    """A running attempt to borrow for one account.

    :param done: set at its end; other requests of the account wait for it.
    """

    done: threading.Event


class Borrower:
    """Borrows enough tokens for the requests that arrive at this daemon.

    :param pool: executor of the calls to peers.
    """

    def __init__(
        self,
        clock: Clock,
        ledger: Ledger,
        lender: Lender,
        peers: Peers,
        pool: Executor,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._lender = lender
        self._peers = peers
        self._pool = pool
        self._attempts: dict[str, _BorrowAttempt] = {}
        self._waiters: dict[str, int] = {}
        self._backoff_until: dict[str, float] = {}
        # Accounts for which some lender did not answer in time at the last attempt.
        self._accounts_without_reply: set[str] = set()
        self._lender_retry_at: dict[str, float] = {}
        self._lender_locks: dict[str, threading.Lock] = {}

    def wait_for_token(self, name: str) -> None:
        """Borrow for one request, or wait for the attempt that another request started.

        Returns without a token when borrowing failed; the caller then tries to spend one.
        """
        with self._ledger.lock:
            now = self._clock.now()
            if now < self._backoff_until.get(name, 0.0):
                return
            if self._waiters.get(name, 0) >= _MAX_WAITERS_PER_ACCOUNT:
                return
            running = self._attempts.get(name)
            if running is None:
                self._attempts[name] = _BorrowAttempt(threading.Event())
            self._waiters[name] = self._waiters.get(name, 0) + 1
        try:
            if running is None:
                self._borrow_until_token(name)
            else:
                self._clock.wait(running.done, BORROW_WAIT_SECONDS + _LATE_REPLY_GRACE_SECONDS)
        finally:
            with self._ledger.lock:
                self._waiters[name] -= 1

    def renew(self) -> list[Future[None]]:
        """Renew the loans in use and return the idle ones, with one call for each lender."""
        with self._ledger.lock:
            now = self._clock.now()
            plans: dict[str, tuple[list[QuotaDemand], list[QuotaReturn]]] = {}
            for entry in self._ledger.entries:
                self._plan_renewal(entry, plans, now)
        return [
            self.submit(self._send_demands, lender, demands, returns)
            for lender, (demands, returns) in plans.items()
        ]

    def submit(self, work: Callable[..., None], *arguments: Any) -> Future[None]:
        """Run a call in the background and log its failure."""
        return self._pool.submit(_log_failure, work, *arguments)

    def return_recalled(self, request: BorrowRequest) -> list[QuotaReturn]:
        """Shrink the loans that their lender recalls; return the tokens to give back to it."""
        with self._ledger.lock:
            now = self._clock.now()
            returns = [self._shrink(request.sender, recall, now) for recall in request.recalls]
        return [returned for returned in returns if returned is not None]

    def send_recalls(self, recalls: Iterable[Recall]) -> list[Future[None]]:
        """Ask borrowers of this daemon's slots in the background to shrink their loans."""
        return [self.submit(self._send_recall, recall) for recall in recalls]

    def send_row(self, owner: str, passed_tokens: dict[str, float]) -> None:
        """Send the slot row to a process.

        :param passed_tokens: tokens, by account, of the slots that this row transfers to it.
        """
        tokens = [QuotaTokens(account=name, tokens=count) for name, count in passed_tokens.items()]
        request = BorrowRequest(demands=[], returns=[], recalls=[], passed=tokens or None)
        with self._ledger.lock:
            row = self._ledger.slots.row
            request.slots = encode_row(row) if row is not None else None
        self.exchange(owner, request)

    def exchange(self, owner: str, request: BorrowRequest) -> BorrowReply | None:
        """Send one message to a process; return its reply, or None when the call failed."""
        with self._ledger.lock:
            asked_at = self._clock.now()
            request.sender, request.receiver = self._ledger.owner, owner
            request.slots_revision = self._ledger.slots.revision
        reply = self._peers.call(
            vm_of(owner), lambda client: client.borrow(request), _CALL_TIMEOUT_SECONDS
        )
        if isinstance(reply, Err):
            self._lender_retry_at[owner] = self._clock.now() + _LENDER_RETRY_DELAY_SECONDS
            return None
        answer: BorrowReply = reply.ok_value
        if answer.slots is not None:
            self._ledger.adopt(decode_row(answer.slots), self._clock.now())
        with self._ledger.lock:
            now, slots = self._clock.now(), self._ledger.slots
            self._ledger.record_peer_process(answer.sender)
            slots.confirm_by_peer(vm_of(owner), answer.slots_revision, asked_at, now)
            slots.acknowledge(vm_of(owner), answer.slots_revision, now)
        return answer

    def _borrow_until_token(self, name: str) -> None:
        end = self._clock.now() + BORROW_WAIT_SECONDS
        attempt = 0
        try:
            while not self._borrow_once(name, end, attempt):
                attempt += 1
                if self._clock.now() + _ATTEMPT_PAUSE_SECONDS >= end:
                    break
                self._clock.sleep(_ATTEMPT_PAUSE_SECONDS)
        finally:
            with self._ledger.lock:
                ended = self._attempts.pop(name)
                if not self._has_token(name):
                    self._backoff_until[name] = self._clock.now() + _REFUSAL_BACKOFF_SECONDS
            ended.done.set()

    def _borrow_once(self, name: str, end: float, attempt: int) -> bool:
        """Ask lenders once; return whether there is a token now or there was no call to make."""
        with self._ledger.lock:
            entry = self._ledger.refresh(name, self._clock.now())
            lenders = self._choose_lenders(entry, all_lenders=attempt > 0)
            missing = self._missing_tokens(entry)
            if missing <= 0.0:
                return True
            # The first attempt asks each lender for an equal part, later ones for larger parts.
            parts = max(1.0, len(lenders) / _ATTEMPT_GROWTH_FACTOR**attempt)
            demands = [
                (lender, self._make_demand(entry, lender, missing / parts, len(lenders)))
                for lender in lenders
            ]
            owns_slots = entry.bucket.own.capacity > 0.0
            deficit = Deficit(missing, missing)
            recalls = (
                self._lender.plan_recalls(name, self._ledger.owner, deficit) if owns_slots else []
            )
        calls = self.send_recalls(recalls)
        calls += [
            self.submit(self._send_demands, lender, [demand], []) for lender, demand in demands
        ]
        if not calls:
            return True
        answered = self._wait_for_calls(calls, end + _LATE_REPLY_GRACE_SECONDS)
        with self._ledger.lock:
            if answered:
                self._accounts_without_reply.discard(name)
            else:
                self._accounts_without_reply.add(name)
            return self._has_token(name)

    def _wait_for_calls(self, calls: list[Future[None]], end: float) -> bool:
        """Wait for calls until ``end``; return whether all of them ended in time."""
        done = threading.Event()
        remaining = [len(calls)]
        lock = threading.Lock()

        def count(_: Future[None]) -> None:
            with lock:
                remaining[0] -= 1
                if remaining[0] == 0:
                    done.set()

        for call in calls:
            call.add_done_callback(count)
        return self._clock.wait(done, max(0.0, end - self._clock.now()))

    def _has_token(self, name: str) -> bool:
        return self._ledger.refresh(name, self._clock.now()).bucket.tokens >= 1.0 - EPSILON

    def _missing_tokens(self, entry: Entry) -> float:
        """Return the tokens, and thus the bucket capacity, that the waiting requests lack here."""
        waiting = max(1, self._waiters.get(entry.account, 1))
        burst = max(1.0, self._ledger.account(entry.account).burst)
        wanted = min(float(waiting), burst)
        return wanted - min(entry.bucket.tokens, entry.bucket.capacity)

    def reaches_all_slots(self, name: str) -> bool:
        """Return whether every slot of an account is in use here or at a lender that answers."""
        with self._ledger.lock:
            now, slots = self._clock.now(), self._ledger.slots
            if (
                slots.row is None
                or slots.valid_until <= now
                or name in self._accounts_without_reply
            ):
                return False
            shard = shard_of(name, slots.row.shards)
            lenders = self._reachable_lenders(name, now)
            lent = sum(slots.row.count_of(shard, lender) for lender in lenders)
            return slots.holding_of(shard).owned + lent == SLOTS_PER_SHARD

    def _reachable_lenders(self, name: str, now: float) -> list[str]:
        unreachable = {member.vm for member in self._peers.members() if member.state == UNREACHABLE}
        return [
            owner
            for owner in self._ledger.lenders(name)
            if vm_of(owner) not in unreachable and self._lender_retry_at.get(owner, 0.0) <= now
        ]

    def _choose_lenders(self, entry: Entry, all_lenders: bool) -> list[str]:
        """Return enough reachable lenders for the arrivals here, in this process's own order.

        With ``all_lenders``, return all of them.
        """
        now = self._clock.now()
        lenders = self._reachable_lenders(entry.account, now)
        if all_lenders or not lenders:
            return lenders
        account = self._ledger.account(entry.account)
        share = _RATE_HEADROOM * entry.meter.rate(now) / max(account.rate, EPSILON)
        share = max(
            share, _RATE_HEADROOM * self._missing_tokens(entry) / max(account.burst, EPSILON)
        )
        count = min(len(lenders), 1 + int(min(1.0, share) * SLOTS_PER_SHARD))
        own_name = self._ledger.owner
        lenders.sort(key=lambda lender: xxhash.xxh32_intdigest(f"{own_name} {lender}".encode()))
        return lenders[:count]

    def _make_demand(self, entry: Entry, lender: str, tokens: float, lenders: int) -> QuotaDemand:
        bucket = entry.bucket
        held = bucket.borrowed.get(lender)
        return QuotaDemand(
            account=entry.account,
            rate=min(entry.meter.rate(self._clock.now()), self._ledger.account(entry.account).rate),
            tokens=tokens,
            room=max(0.0, bucket.capacity - bucket.tokens) / lenders,
            sequence=held.sequence if held is not None else 0,
        )

    def _plan_renewal(
        self,
        entry: Entry,
        plans: dict[str, tuple[list[QuotaDemand], list[QuotaReturn]]],
        now: float,
    ) -> None:
        idle = now - entry.last_arrival > _IDLE_ACCOUNT_SECONDS
        if idle and not entry.bucket.borrowed:
            return
        self._ledger.refresh(entry.account, now)
        if idle:
            for lender in list(entry.bucket.borrowed):
                plans.setdefault(lender, ([], []))[1].append(self._return(entry, lender))
            return
        lenders = set(entry.bucket.borrowed)
        if entry.bucket.rate < _RATE_HEADROOM * entry.meter.rate(now):
            lenders.update(self._choose_lenders(entry, all_lenders=False))
        for lender in lenders:
            demand = self._make_demand(entry, lender, 0.0, len(lenders))
            plans.setdefault(lender, ([], []))[0].append(demand)

    def _return(self, entry: Entry, lender: str) -> QuotaReturn:
        bucket = entry.bucket
        held = bucket.borrowed[lender]
        fraction = held.capacity / bucket.capacity if bucket.capacity > 0.0 else 0.0
        tokens = bucket.remove(min(held.capacity, bucket.tokens * fraction))
        bucket.drop_borrowed(lender)
        return QuotaReturn(account=entry.account, sequence=held.sequence, tokens=tokens)

    def _shrink(self, lender: str, recall: QuotaRecall, now: float) -> QuotaReturn | None:
        entry = self._ledger.refresh(recall.account, now)
        bucket = entry.bucket
        held = bucket.borrowed.get(lender)
        if held is None or held.sequence != recall.sequence:
            return None
        freed = max(0.0, held.capacity - recall.capacity)
        fraction = freed / bucket.capacity if bucket.capacity > 0.0 else 0.0
        tokens = bucket.remove(min(freed, bucket.tokens * fraction))
        remaining = Terms(
            min(held.rate, recall.rate),
            min(held.capacity, recall.capacity),
            held.ends_at,
            held.sequence,
        )
        bucket.set_borrowed(lender, remaining)
        return QuotaReturn(account=recall.account, sequence=recall.sequence, tokens=tokens)

    def _send_demands(
        self, lender: str, demands: list[QuotaDemand], returns: list[QuotaReturn]
    ) -> None:
        request = BorrowRequest(demands=demands, returns=returns, recalls=[])
        # One call at a time to each lender, so its replies are applied in the order of sending.
        with self._lender_lock(lender):
            asked_at = self._clock.now()
            with self._ledger.lock:
                self._update_sequences(lender, demands, asked_at)
            reply = self.exchange(lender, request)
            if reply is None or reply.sender != lender:
                return
            with self._ledger.lock:
                for loan in reply.loans:
                    self._apply_loan(lender, loan, asked_at)

    def _update_sequences(self, lender: str, demands: list[QuotaDemand], now: float) -> None:
        for demand in demands:
            entry = self._ledger.refresh(demand.account, now)
            held = entry.bucket.borrowed.get(lender)
            demand.sequence = held.sequence if held is not None else 0

    def _apply_loan(self, lender: str, loan: QuotaLoan, asked_at: float) -> None:
        ends_at = asked_at + loan.duration
        now = self._clock.now()
        entry = self._ledger.refresh(loan.account, now)
        if ends_at <= now:
            return
        entry.bucket.set_borrowed(lender, Terms(loan.rate, loan.capacity, ends_at, loan.sequence))
        entry.bucket.add(loan.tokens)

    def _send_recall(self, recall: Recall) -> None:
        request = BorrowRequest(demands=[], returns=[], recalls=[recall_message(recall)])
        reply = self.exchange(recall.borrower, request)
        if reply is None:
            return
        for returned in reply.returns:
            self._lender.accept_recalled(recall, returned)

    def _lender_lock(self, lender: str) -> threading.Lock:
        with self._ledger.lock:
            return self._lender_locks.setdefault(lender, threading.Lock())


def _log_failure(work: Callable[..., None], *arguments: Any) -> None:
    try:
        work(*arguments)
    except Exception as error:
        log_event("quota:error", error=repr(error))
        raise
