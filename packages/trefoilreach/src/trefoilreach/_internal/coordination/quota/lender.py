"""Lends quota of this daemon's slots for a few seconds to daemons that need it."""

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

# Tokens, capacities and rates up to this are rounding errors and are neither lent nor recalled.
EPSILON = 1e-9

# Least time between two recalls from one borrower. Without it, two daemons that both need a small
# bucket would recall it from each other all the time.
_MIN_RECALL_INTERVAL_SECONDS = 0.05

# Capacity, in tokens, that a borrower keeps when another daemon lacks a whole token.
_MIN_BORROWER_CAPACITY_TOKENS = 2.0


# Part of the capacity above its fair share that a borrower gives up at one recall. If it gave up no
# more than the deficit, a burst would need a recall for each request.
_RECALLED_EXCESS_FRACTION = 0.5


class Recall(NamedTuple):
    """Request to a borrower to shrink its terms.

    :param sequence: number of the borrower's latest terms.
    :param remaining: rate and capacity that the borrower keeps.
    """

    account: str
    borrower: str
    sequence: int
    remaining: Terms


class Deficit(NamedTuple):
    """Bucket capacity and tokens that a daemon lacks."""

    capacity: float
    tokens: float


class Lender:
    """Grants loans to borrowers and decides what to recall from them.

    :param loan_seconds: duration of a loan.
    """

    def __init__(self, clock: Clock, ledger: Ledger, loan_seconds: float) -> None:
        self._clock = clock
        self._ledger = ledger
        self._loan_seconds = loan_seconds
        self._lending = True
        self._recalled_at: dict[tuple[str, str], float] = {}

    def stop_lending(self) -> None:
        """Grant no further loans."""
        with self._ledger.lock:
            self._lending = False

    def lend(self, request: BorrowRequest) -> tuple[list[QuotaLoan], list[Recall]]:
        """Return the loans granted to a request, and the recalls needed to grant it more.

        A request for another process than this one is granted nothing.
        """
        loans: list[QuotaLoan] = []
        recalls: list[Recall] = []
        with self._ledger.lock:
            now = self._clock.now()
            if request.receiver != self._ledger.owner:
                return loans, recalls
            for returned in request.returns:
                self._accept_return(request.sender, returned, now)
            for demand in request.demands:
                if not self._ledger.has_account(demand.account):
                    continue
                loan, deficit = self._grant(request.sender, demand, now)
                if loan is not None:
                    loans.append(loan)
                if max(deficit) > EPSILON:
                    recalls += self.plan_recalls(demand.account, request.sender, deficit)
        return loans, recalls

    def plan_recalls(self, account: str, requester: str, deficit: Deficit) -> list[Recall]:
        """Return the recalls from other borrowers for a daemon with a deficit.

        :param requester: process that lacks quota; nothing is recalled from it.
        """
        with self._ledger.lock:
            now = self._clock.now()
            entry = self._ledger.refresh(account, now)
            total = max(self._total_demand(entry, now), EPSILON)
            recalls = []
            for borrower in entry.bucket.borrowers:
                fair_share = self._demand_of(entry, borrower, now) / total
                freed = self._recallable_capacity(entry, borrower, fair_share, deficit)
                if borrower == requester or freed <= EPSILON:
                    continue
                recall = self._plan_recall(entry, borrower, freed, now)
                if recall is not None:
                    recalls.append(recall)
            return recalls

    def plan_drain_recalls(self, entry: Entry) -> list[Recall]:
        """Return recalls that bring the loans of an account down to what may be lent.

        While slots are draining, every borrower gives up the same fraction of its terms.
        """
        with self._ledger.lock:
            now = self._clock.now()
            bucket, fraction = entry.bucket, entry.bucket.overlent_fraction
            recalls = [
                self._plan_recall(entry, borrower, bucket.lent(borrower).capacity * fraction, now)
                for borrower in bucket.borrowers
            ]
            return [recall for recall in recalls if recall is not None]

    def accept_recalled(self, recall: Recall, returned: QuotaReturn) -> None:
        """Credit what a borrower returned in answer to a recall."""
        with self._ledger.lock:
            entry = self._ledger.refresh(recall.account, self._clock.now())
            if entry.bucket.shrink_lent(recall.borrower, recall.sequence, recall.remaining):
                entry.bucket.add(returned.tokens)

    def _accept_return(self, borrower: str, returned: QuotaReturn, now: float) -> None:
        entry = self._ledger.refresh(returned.account, now)
        entry.demands.pop(borrower, None)
        # A repeated message matches no terms by its sequence, so nothing is credited twice.
        if entry.bucket.shrink_lent(borrower, returned.sequence, Terms(0.0, 0.0)):
            entry.bucket.add(returned.tokens)

    def _grant(
        self, borrower: str, demand: QuotaDemand, now: float
    ) -> tuple[QuotaLoan | None, Deficit]:
        entry = self._ledger.refresh(demand.account, now)
        bucket = entry.bucket
        entry.demands[borrower] = (demand.rate, now)
        bucket.confirm_lent(borrower, demand.sequence)
        held = bucket.lent(borrower)
        share = demand.rate / max(self._total_demand(entry, now), demand.rate, EPSILON)
        free = bucket.lendable_to(borrower)
        if not self._lending or bucket.own.capacity <= EPSILON:
            return None, Deficit(0.0, 0.0)
        needed = held.capacity + max(0.0, demand.tokens - demand.room)
        fraction = 0.0 if self._is_too_small_to_split(entry) else share
        wanted = min(bucket.own.capacity, max(needed, bucket.own.capacity * fraction))
        # A renewal never shrinks the terms, because tokens would be lost with the capacity.
        capacity = min(free.capacity, max(held.capacity, wanted))
        # Rate without capacity is lost, so a loan has at least the same fraction of the rate as of
        # the capacity.
        fraction = max(fraction, capacity / max(bucket.own.capacity, EPSILON))
        rate = min(free.rate, max(held.rate, bucket.own.rate * fraction))
        if rate <= EPSILON and capacity <= EPSILON:
            return None, Deficit(wanted, demand.tokens)
        loan = self._lend(entry, borrower, demand, Terms(rate, capacity), share)
        return loan, Deficit(wanted - capacity, demand.tokens - loan.tokens)

    def _lend(
        self, entry: Entry, borrower: str, demand: QuotaDemand, terms: Terms, share: float
    ) -> QuotaLoan:
        bucket = entry.bucket
        room = demand.room + max(0.0, terms.capacity - bucket.lent(borrower).capacity)
        tokens = bucket.remove(min(room, max(bucket.tokens * share, demand.tokens)))
        sequence = self._ledger.next_sequence()
        # The borrower counts the duration from before its request, so its terms expire first.
        ends_at = self._clock.now() + self._loan_seconds * DRIFT_MARGIN
        bucket.add_lent(borrower, Terms(terms.rate, terms.capacity, ends_at, sequence))
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
        if held.capacity <= EPSILON or sequence is None or recent:
            return None
        self._recalled_at[key] = now
        capacity = max(0.0, held.capacity - freed)
        remaining = Terms(held.rate * capacity / held.capacity, capacity)
        return Recall(entry.account, borrower, sequence, remaining)

    def _recallable_capacity(
        self, entry: Entry, borrower: str, fair_share: float, deficit: Deficit
    ) -> float:
        """Return the capacity to recall from a borrower.

        Load pattern: one daemon holds all tokens of an account, and a burst of its requests arrives
        at another one.

        :param fair_share: the borrower's fraction of the total demand.
        """
        bucket = entry.bucket
        held = bucket.lent(borrower).capacity
        burst = self._ledger.account(entry.account).burst
        excess = held - bucket.own.capacity * fair_share
        wanted = max(deficit.capacity, deficit.tokens, _RECALLED_EXCESS_FRACTION * excess)
        if self._is_too_small_to_split(entry):
            excess = held
        elif deficit.capacity > EPSILON:
            excess = max(excess, held - _MIN_BORROWER_CAPACITY_TOKENS * bucket.own.capacity / burst)
        return max(0.0, min(held, excess, wanted))

    def _is_too_small_to_split(self, entry: Entry) -> bool:
        """Return whether the burst is too small to be split by demand.

        A part below one token admits no request, so the bucket then moves as a whole.
        """
        burst = self._ledger.account(entry.account).burst
        return burst < _MIN_BORROWER_CAPACITY_TOKENS * (len(entry.bucket.borrowers) + 1)

    def _total_demand(self, entry: Entry, now: float) -> float:
        stated = sum(self._demand_of(entry, borrower, now) for borrower in entry.demands)
        return entry.meter.rate(now) + stated

    def _demand_of(self, entry: Entry, borrower: str, now: float) -> float:
        rate, stated_at = entry.demands.get(borrower, (0.0, 0.0))
        return rate if now - stated_at <= self._loan_seconds else 0.0


def recall_message(recall: Recall) -> QuotaRecall:
    """Encode a recall for the borrower."""
    return QuotaRecall(
        account=recall.account,
        sequence=recall.sequence,
        rate=recall.remaining.rate,
        capacity=recall.remaining.capacity,
    )
