"""Lends the quota of this daemon's slots to daemons that need it, for a few seconds."""

from typing import NamedTuple

from trefoilreach._internal.clock import DRIFT_MARGIN, Clock
from trefoilreach._internal.coordination.quota.buckets import Terms
from trefoilreach._internal.coordination.quota.ledger import Entry, Ledger
from trefoilreach._internal.protocol.gen.peer.ttypes import (
    BorrowRequest,
    QuotaDemand,
    QuotaLoan,
    QuotaRecall,
    QuotaReturn,
)

# Shares below this are rounding, not something to lend or to ask back.
SMALL = 1e-9

# Two daemons that both want a small bucket would otherwise pull it back and forth.
_MIN_RECALL_INTERVAL_SECONDS = 0.05

# Tokens of capacity that a borrower keeps when another one has no whole token.
_TOKENS_LEFT = 2.0


class Recall(NamedTuple):
    """Terms to ask back from a borrower, down to what is left to it."""

    account: str
    borrower: str
    sequence: int
    left: Terms


class Missing(NamedTuple):
    """What a daemon lacks: bucket capacity and tokens."""

    capacity: float
    tokens: float


class Lender:
    """Answers borrowers and decides what to ask back from them.

    :param loan_seconds: duration of a loan.
    """

    def __init__(self, clock: Clock, ledger: Ledger, loan_seconds: float) -> None:
        self._clock = clock
        self._ledger = ledger
        self._loan_seconds = loan_seconds
        self._lending = True
        self._recalled_at: dict[tuple[str, str], float] = {}

    def stop(self) -> None:
        """Lend nothing more."""
        with self._ledger.lock:
            self._lending = False

    def lend(self, request: BorrowRequest) -> tuple[list[QuotaLoan], list[Recall]]:
        """Return the loans that a request is granted, and what to ask back for it."""
        loans: list[QuotaLoan] = []
        recalls: list[Recall] = []
        with self._ledger.lock:
            now = self._clock.now()
            if request.receiver != self._ledger.owner:
                return loans, recalls
            for returned in request.returns:
                self._take_back(request.sender, returned, now)
            for demand in request.demands:
                if not self._ledger.known(demand.account):
                    continue
                loan, missing = self._grant(request.sender, demand, now)
                if loan is not None:
                    loans.append(loan)
                if max(missing) > SMALL:
                    recalls += self.plan_recalls(demand.account, request.sender, missing)
        return loans, recalls

    def plan_recalls(self, account: str, for_whom: str, missing: Missing) -> list[Recall]:
        """Choose the terms to ask back for a daemon that lacks something."""
        with self._ledger.lock:
            now = self._clock.now()
            entry = self._ledger.touch(account, now)
            total = max(self._total_demand(entry, now), SMALL)
            recalls = []
            for borrower in entry.bucket.lent_to:
                fair = self._demand_of(entry, borrower, now) / total
                freed = self._may_free(entry, borrower, fair, missing)
                if borrower == for_whom or freed <= SMALL:
                    continue
                recall = self._plan_recall(entry, borrower, freed, now)
                if recall is not None:
                    recalls.append(recall)
            return recalls

    def plan_shrink(self, entry: Entry) -> list[Recall]:
        """Ask every borrower for its part of what is lent beyond the slots that may be lent."""
        with self._ledger.lock:
            now = self._clock.now()
            bucket, part = entry.bucket, entry.bucket.overlent_part
            recalls = [
                self._plan_recall(entry, borrower, bucket.lent(borrower).capacity * part, now)
                for borrower in bucket.lent_to
            ]
            return [recall for recall in recalls if recall is not None]

    def take_recalled(self, recall: Recall, returned: QuotaReturn) -> None:
        """Count what a borrower gave back when it was asked."""
        with self._ledger.lock:
            entry = self._ledger.touch(recall.account, self._clock.now())
            if entry.bucket.end_lent(recall.borrower, recall.sequence, recall.left):
                entry.bucket.add(returned.tokens)

    def _take_back(self, borrower: str, returned: QuotaReturn, now: float) -> None:
        entry = self._ledger.touch(returned.account, now)
        entry.demands.pop(borrower, None)
        # A repeated message finds no such terms and returns nothing twice.
        if entry.bucket.end_lent(borrower, returned.sequence, Terms(0.0, 0.0)):
            entry.bucket.add(returned.tokens)

    def _grant(
        self, borrower: str, demand: QuotaDemand, now: float
    ) -> tuple[QuotaLoan | None, Missing]:
        entry = self._ledger.touch(demand.account, now)
        bucket = entry.bucket
        entry.demands[borrower] = (demand.rate, now)
        bucket.confirm_lent(borrower, demand.sequence)
        held = bucket.lent(borrower)
        share = demand.rate / max(self._total_demand(entry, now), demand.rate, SMALL)
        free = bucket.free_for(borrower)
        if not self._lending or bucket.own.capacity <= SMALL:
            return None, Missing(0.0, 0.0)
        needed = held.capacity + max(0.0, demand.tokens - demand.room)
        part = 0.0 if self._is_small(entry) else share
        wanted = min(bucket.own.capacity, max(needed, bucket.own.capacity * part))
        # Terms never shrink in a renewal: tokens would be lost with the capacity.
        capacity = min(free.capacity, max(held.capacity, wanted))
        # Rate without capacity would be lost, so at least an equal part goes with it.
        part = max(part, capacity / max(bucket.own.capacity, SMALL))
        rate = min(free.rate, max(held.rate, bucket.own.rate * part))
        if rate <= SMALL and capacity <= SMALL:
            return None, Missing(wanted, demand.tokens)
        loan = self._lend(entry, borrower, demand, Terms(rate, capacity), share)
        return loan, Missing(wanted - capacity, demand.tokens - loan.tokens)

    def _lend(
        self, entry: Entry, borrower: str, demand: QuotaDemand, terms: Terms, share: float
    ) -> QuotaLoan:
        bucket = entry.bucket
        room = demand.room + max(0.0, terms.capacity - bucket.lent(borrower).capacity)
        tokens = bucket.remove(min(room, max(bucket.tokens * share, demand.tokens)))
        sequence = self._ledger.next_sequence()
        # The borrower counts the loan from before it asked, so its loan ends earlier.
        ends = self._clock.now() + self._loan_seconds * DRIFT_MARGIN
        bucket.add_lent(borrower, Terms(terms.rate, terms.capacity, ends, sequence))
        return QuotaLoan(
            account=entry.account,
            rate=terms.rate,
            capacity=terms.capacity,
            tokens=tokens,
            duration=self._loan_seconds,
            sequence=sequence,
        )

    def _plan_recall(self, entry: Entry, borrower: str, freed: float, now: float) -> Recall | None:
        key = (entry.account, borrower)
        held = entry.bucket.lent(borrower)
        sequence = entry.bucket.latest_sequence(borrower)
        recent = now - self._recalled_at.get(key, -1e9) < _MIN_RECALL_INTERVAL_SECONDS
        if held.capacity <= SMALL or sequence is None or recent:
            return None
        self._recalled_at[key] = now
        capacity = max(0.0, held.capacity - freed)
        left = Terms(held.rate * capacity / held.capacity, capacity)
        return Recall(entry.account, borrower, sequence, left)

    def _may_free(self, entry: Entry, borrower: str, fair: float, missing: Missing) -> float:
        """Return the capacity that a borrower can be asked for."""
        bucket = entry.bucket
        held = bucket.lent(borrower).capacity
        burst = self._ledger.account(entry.account).burst
        excess = held - bucket.own.capacity * fair
        if self._is_small(entry):
            excess = held
        elif missing.capacity > SMALL:
            excess = max(excess, held - _TOKENS_LEFT * bucket.own.capacity / burst)
        return max(0.0, min(held, excess, max(missing.capacity, missing.tokens)))

    def _is_small(self, entry: Entry) -> bool:
        """Return whether the burst is too small to be split by demand.

        Parts below one token are of no use to anyone, so the bucket then moves as a whole.
        """
        burst = self._ledger.account(entry.account).burst
        return burst < _TOKENS_LEFT * (len(entry.bucket.lent_to) + 1)

    def _total_demand(self, entry: Entry, now: float) -> float:
        stated = sum(self._demand_of(entry, borrower, now) for borrower in entry.demands)
        return entry.meter.rate(now) + stated

    def _demand_of(self, entry: Entry, borrower: str, now: float) -> float:
        rate, stated_at = entry.demands.get(borrower, (0.0, 0.0))
        return rate if now - stated_at <= self._loan_seconds else 0.0


def recall_message(recall: Recall) -> QuotaRecall:
    """Return the message of a recall."""
    return QuotaRecall(
        account=recall.account,
        sequence=recall.sequence,
        rate=recall.left.rate,
        capacity=recall.left.capacity,
    )
