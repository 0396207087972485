"""Borrows quota from the owners of slots, renews it and gives it back."""

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
    SMALL,
    Lender,
    Missing,
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

# Time added while a lender has not answered yet, as on a busy VM. Without it, daemons that
# had just joined refused requests inside the rate.
_LATE_ANSWER_SECONDS = 0.2

# Pause before the lenders are asked again, in which they call back what others hold.
_RECALL_PAUSE_SECONDS = 0.01

# After a loan was not enough, requests of the account are refused at once for this long.
_BACK_OFF_SECONDS = 0.25

# Loans of an account without arrivals for this long are given back.
_IDLE_SECONDS = 5.0

# A lender that did not answer is passed over for this long.
_LENDER_PAUSE_SECONDS = 1.0

# Room for the changes of a Poisson stream, as a factor on the measured arrivals.
_RATE_HEADROOM = 2.0

# Requests of one account that may wait for a loan at the same time.
_WAITERS_LIMIT = 16

_CALL_TIMEOUT_SECONDS = 0.5

_MORE_EACH_ATTEMPT = 3.0


class _Round(NamedTuple):
    """One attempt to borrow for waiting requests; others of the account wait for it."""

    done: threading.Event


class Borrower:
    """Keeps enough tokens here for the requests that arrive here.

    :param pool: runs the calls to peers.
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
        self._rounds: dict[str, _Round] = {}
        self._waiters: dict[str, int] = {}
        self._refused_until: dict[str, float] = {}
        # Accounts for which a lender did not answer in time.
        self._unanswered: set[str] = set()
        self._paused_until: dict[str, float] = {}
        self._calls_locks: dict[str, threading.Lock] = {}

    def wait_for_token(self, name: str) -> None:
        """Borrow for one request, or wait for the attempt that another request made."""
        with self._ledger.lock:
            now = self._clock.now()
            if now < self._refused_until.get(name, 0.0):
                return
            if self._waiters.get(name, 0) >= _WAITERS_LIMIT:
                return
            running = self._rounds.get(name)
            if running is None:
                self._rounds[name] = _Round(threading.Event())
            self._waiters[name] = self._waiters.get(name, 0) + 1
        try:
            if running is None:
                self._lead(name)
            else:
                self._clock.wait(running.done, BORROW_WAIT_SECONDS + _LATE_ANSWER_SECONDS)
        finally:
            with self._ledger.lock:
                self._waiters[name] -= 1

    def renew(self) -> list[Future[None]]:
        """Renew the loans in use and give the others back, one call for each lender."""
        with self._ledger.lock:
            now = self._clock.now()
            plans: dict[str, tuple[list[QuotaDemand], list[QuotaReturn]]] = {}
            for entry in self._ledger.entries:
                self._plan_renewal(entry, plans, now)
        return [
            self.start(self._call, lender, demands, returns)
            for lender, (demands, returns) in plans.items()
        ]

    def start(self, work: Callable[..., None], *arguments: Any) -> Future[None]:
        """Run a call in the background and log its failure."""
        return self._pool.submit(_log_failure, work, *arguments)

    def give_back(self, request: BorrowRequest) -> list[QuotaReturn]:
        """Shrink loans that their lender asks back."""
        with self._ledger.lock:
            now = self._clock.now()
            found = [self._shrink(request.sender, recall, now) for recall in request.recalls]
        return [returned for returned in found if returned is not None]

    def recall(self, recalls: Iterable[Recall]) -> list[Future[None]]:
        """Ask borrowers of this daemon's slots to shrink their loans."""
        return [self.start(self._call_recall, recall) for recall in recalls]

    def show_row(self, owner: str, passed: dict[str, float]) -> None:
        """Send the row of the slots to a process.

        :param passed: tokens by account of the slots that this row passes on to it.
        """
        tokens = [QuotaTokens(account=name, tokens=count) for name, count in passed.items()]
        request = BorrowRequest(demands=[], returns=[], recalls=[], passed=tokens or None)
        with self._ledger.lock:
            row = self._ledger.slots.row
            request.slots = encode_row(row) if row is not None else None
        self.exchange(owner, request)

    def exchange(self, owner: str, request: BorrowRequest) -> BorrowReply | None:
        """Send one message to a process; return its answer, or None without one."""
        with self._ledger.lock:
            asked_at = self._clock.now()
            request.sender, request.receiver = self._ledger.owner, owner
            request.slots_revision = self._ledger.slots.revision
        reply = self._peers.call(
            vm_of(owner), lambda client: client.borrow(request), _CALL_TIMEOUT_SECONDS
        )
        if isinstance(reply, Err):
            self._paused_until[owner] = self._clock.now() + _LENDER_PAUSE_SECONDS
            return None
        answer: BorrowReply = reply.ok_value
        if answer.slots is not None:
            self._ledger.adopt(decode_row(answer.slots), self._clock.now())
        with self._ledger.lock:
            now, slots = self._clock.now(), self._ledger.slots
            self._ledger.note_process(answer.sender)
            slots.confirm_by_peer(vm_of(owner), answer.slots_revision, asked_at, now)
            slots.acknowledge(vm_of(owner), answer.slots_revision, now)
        return answer

    def _lead(self, name: str) -> None:
        end = self._clock.now() + BORROW_WAIT_SECONDS
        attempt = 0
        try:
            while not self._borrow_once(name, end, attempt):
                attempt += 1
                if self._clock.now() + _RECALL_PAUSE_SECONDS >= end:
                    break
                self._clock.sleep(_RECALL_PAUSE_SECONDS)
        finally:
            with self._ledger.lock:
                done = self._rounds.pop(name)
                if not self._has_token(name):
                    self._refused_until[name] = self._clock.now() + _BACK_OFF_SECONDS
            done.done.set()

    def _borrow_once(self, name: str, end: float, attempt: int) -> bool:
        """Ask lenders once; return whether a token is here or no lender is left."""
        with self._ledger.lock:
            entry = self._ledger.touch(name, self._clock.now())
            lenders = self._choose(entry, everyone=attempt > 0)
            missing = self._missing(entry)
            if missing <= 0.0:
                return True
            # Each further attempt asks the lenders for a larger part than an equal one.
            parts = max(1.0, len(lenders) / _MORE_EACH_ATTEMPT**attempt)
            demands = [
                (lender, self._make_demand(entry, lender, missing / parts, len(lenders)))
                for lender in lenders
            ]
            own = entry.bucket.own.capacity > 0.0
            lacking = Missing(missing, missing)
            recalls = self._lender.plan_recalls(name, self._ledger.owner, lacking) if own else []
        calls = self.recall(recalls)
        calls += [self.start(self._call, lender, [need], []) for lender, need in demands]
        if not calls:
            return True
        answered = self._await(calls, end + _LATE_ANSWER_SECONDS)
        with self._ledger.lock:
            if answered:
                self._unanswered.discard(name)
            else:
                self._unanswered.add(name)
            return self._has_token(name)

    def _await(self, calls: list[Future[None]], end: float) -> bool:
        """Wait for calls; return whether all of them ended in time."""
        done = threading.Event()
        left = [len(calls)]
        lock = threading.Lock()

        def count(_: Future[None]) -> None:
            with lock:
                left[0] -= 1
                if left[0] == 0:
                    done.set()

        for call in calls:
            call.add_done_callback(count)
        return self._clock.wait(done, max(0.0, end - self._clock.now()))

    def _has_token(self, name: str) -> bool:
        return self._ledger.touch(name, self._clock.now()).bucket.tokens >= 1.0 - SMALL

    def _missing(self, entry: Entry) -> float:
        """Return how much capacity and tokens the waiting requests lack here."""
        waiting = max(1, self._waiters.get(entry.account, 1))
        burst = max(1.0, self._ledger.account(entry.account).burst)
        wanted = min(float(waiting), burst)
        return wanted - min(entry.bucket.tokens, entry.bucket.capacity)

    def reaches_all(self, name: str) -> bool:
        """Return whether every slot of an account is in use here or at a lender that answers."""
        with self._ledger.lock:
            now, slots = self._clock.now(), self._ledger.slots
            if slots.row is None or slots.valid_until <= now or name in self._unanswered:
                return False
            shard = shard_of(name, slots.row.shards)
            lenders = self._reachable_lenders(name, now)
            lent = sum(slots.row.count_of(shard, lender) for lender in lenders)
            return slots.hold(shard).owned + lent == SLOTS_PER_SHARD

    def _reachable_lenders(self, name: str, now: float) -> list[str]:
        away = {member.vm for member in self._peers.members() if member.state == UNREACHABLE}
        return [
            owner
            for owner in self._ledger.lenders(name)
            if vm_of(owner) not in away and self._paused_until.get(owner, 0.0) <= now
        ]

    def _choose(self, entry: Entry, everyone: bool) -> list[str]:
        """Return the lenders to ask: enough for the arrivals here, in an order of its own."""
        now = self._clock.now()
        lenders = self._reachable_lenders(entry.account, now)
        if everyone or not lenders:
            return lenders
        account = self._ledger.account(entry.account)
        share = _RATE_HEADROOM * entry.meter.rate(now) / max(account.rate, SMALL)
        share = max(share, _RATE_HEADROOM * self._missing(entry) / max(account.burst, SMALL))
        count = min(len(lenders), 1 + int(min(1.0, share) * SLOTS_PER_SHARD))
        own = self._ledger.owner
        lenders.sort(key=lambda lender: xxhash.xxh32_intdigest(f"{own} {lender}".encode()))
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
        idle = now - entry.last_arrival > _IDLE_SECONDS
        if idle and not entry.bucket.borrowed:
            return
        self._ledger.touch(entry.account, now)
        if idle:
            for lender in list(entry.bucket.borrowed):
                plans.setdefault(lender, ([], []))[1].append(self._return(entry, lender))
            return
        lenders = set(entry.bucket.borrowed)
        if entry.bucket.rate < _RATE_HEADROOM * entry.meter.rate(now):
            lenders.update(self._choose(entry, everyone=False))
        for lender in lenders:
            demand = self._make_demand(entry, lender, 0.0, len(lenders))
            plans.setdefault(lender, ([], []))[0].append(demand)

    def _return(self, entry: Entry, lender: str) -> QuotaReturn:
        bucket = entry.bucket
        held = bucket.borrowed[lender]
        part = held.capacity / bucket.capacity if bucket.capacity > 0.0 else 0.0
        tokens = bucket.remove(min(held.capacity, bucket.tokens * part))
        bucket.drop_borrowed(lender)
        return QuotaReturn(account=entry.account, sequence=held.sequence, tokens=tokens)

    def _shrink(self, lender: str, recall: QuotaRecall, now: float) -> QuotaReturn | None:
        entry = self._ledger.touch(recall.account, now)
        bucket = entry.bucket
        held = bucket.borrowed.get(lender)
        if held is None or held.sequence != recall.sequence:
            return None
        freed = max(0.0, held.capacity - recall.capacity)
        part = freed / bucket.capacity if bucket.capacity > 0.0 else 0.0
        tokens = bucket.remove(min(freed, bucket.tokens * part))
        left = Terms(
            min(held.rate, recall.rate),
            min(held.capacity, recall.capacity),
            held.ends,
            held.sequence,
        )
        bucket.set_borrowed(lender, left)
        return QuotaReturn(account=recall.account, sequence=recall.sequence, tokens=tokens)

    def _call(self, lender: str, demands: list[QuotaDemand], returns: list[QuotaReturn]) -> None:
        request = BorrowRequest(demands=demands, returns=returns, recalls=[])
        # Answers of one lender are applied in the order in which it gave them.
        with self._calls_lock(lender):
            asked_at = self._clock.now()
            with self._ledger.lock:
                self._restate(lender, demands, asked_at)
            reply = self.exchange(lender, request)
            if reply is None or reply.sender != lender:
                return
            with self._ledger.lock:
                for loan in reply.loans:
                    self._apply(lender, loan, asked_at)

    def _restate(self, lender: str, demands: list[QuotaDemand], now: float) -> None:
        for demand in demands:
            entry = self._ledger.touch(demand.account, now)
            held = entry.bucket.borrowed.get(lender)
            demand.sequence = held.sequence if held is not None else 0

    def _apply(self, lender: str, loan: QuotaLoan, asked_at: float) -> None:
        ends = asked_at + loan.duration
        now = self._clock.now()
        entry = self._ledger.touch(loan.account, now)
        if ends <= now:
            return
        entry.bucket.set_borrowed(lender, Terms(loan.rate, loan.capacity, ends, loan.sequence))
        entry.bucket.add(loan.tokens)

    def _call_recall(self, recall: Recall) -> None:
        request = BorrowRequest(demands=[], returns=[], recalls=[recall_message(recall)])
        reply = self.exchange(recall.borrower, request)
        if reply is None:
            return
        for returned in reply.returns:
            self._lender.take_recalled(recall, returned)

    def _calls_lock(self, lender: str) -> threading.Lock:
        with self._ledger.lock:
            return self._calls_locks.setdefault(lender, threading.Lock())


def _log_failure(work: Callable[..., None], *arguments: Any) -> None:
    try:
        work(*arguments)
    except Exception as error:
        log_event("quota:error", error=repr(error))
        raise
