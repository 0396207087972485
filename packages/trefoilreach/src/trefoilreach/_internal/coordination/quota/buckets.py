"""Token buckets whose refill rate and capacity are partly lent and borrowed."""

import math
from collections.abc import Iterator
from typing import NamedTuple

# Absorbs floating-point error: twelve twelfths of a token must count as a whole one.
TOKEN_TOLERANCE = 1e-9


class Terms(NamedTuple):
    """Refill rate and capacity of a loan or of a daemon's own slots, for a limited time.

    :param rate: in requests a second.
    :param capacity: in requests.
    :param ends_at: clock time at which the terms expire.
    :param sequence: number that the lender gave to these terms.
    """

    rate: float
    capacity: float
    ends_at: float = math.inf
    sequence: int = 0


NO_TERMS = Terms(0.0, 0.0)


class Bucket:
    """Token bucket of one account on this daemon.

    The effective rate and capacity are those of the daemon's own slots, minus what it
    lent, plus what it borrowed. Each of these terms expires at its own time.
    :meth:`advance` processes the expiries in order, so a daemon that was paused loses
    all terms that expired meanwhile before it can spend a token.
    """

    def __init__(self, now: float) -> None:
        self._own = NO_TERMS
        self._borrowed: dict[str, Terms] = {}
        # Terms by borrower, oldest first. Until it confirms the latest, it may use any of them, so
        # the largest count.
        self._lent: dict[str, list[Terms]] = {}
        self._tokens = 0.0
        self._refilled_at = now
        self._rate = 0.0
        self._capacity = 0.0
        self._next_expiry = math.inf
        self._lendable_fraction = 1.0

    @property
    def tokens(self) -> float:
        """Tokens as of the last call of :meth:`advance`."""
        return self._tokens

    @property
    def rate(self) -> float:
        """Effective refill rate, in requests a second."""
        return self._rate

    @property
    def capacity(self) -> float:
        """Effective capacity, in requests."""
        return self._capacity

    @property
    def own(self) -> Terms:
        """Terms of the daemon's own slots."""
        return self._own

    @property
    def borrowed(self) -> dict[str, Terms]:
        """Borrowed terms by lender."""
        return self._borrowed

    @property
    def overlent_fraction(self) -> float:
        """Fraction of the lent terms beyond the lendable part, while slots are draining."""
        lent = self._sum_lent()
        rate = lent.rate - self._own.rate * self._lendable_fraction
        capacity = lent.capacity - self._own.capacity * self._lendable_fraction
        return max(
            rate / lent.rate if rate > TOKEN_TOLERANCE else 0.0,
            capacity / lent.capacity if capacity > TOKEN_TOLERANCE else 0.0,
        )

    @property
    def borrowers(self) -> list[str]:
        """Borrowers with terms that have not expired."""
        return list(self._lent)

    def advance(self, now: float) -> None:
        """Refill the bucket up to ``now`` and drop the terms that expired."""
        while self._next_expiry <= now:
            self._refill(self._next_expiry)
            self._drop_expired()
        self._refill(now)

    def take(self) -> bool:
        """Spend one token; return whether there was one."""
        if self._tokens < 1.0 - TOKEN_TOLERANCE:
            return False
        self._tokens -= 1.0
        return True

    def add(self, tokens: float) -> None:
        """Add tokens that were removed from another bucket, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def remove(self, tokens: float) -> float:
        """Remove up to ``tokens`` tokens; return how many were removed."""
        taken = max(0.0, min(tokens, self._tokens))
        self._tokens -= taken
        return taken

    def set_own(self, own: Terms) -> None:
        """Set the terms of the daemon's own slots."""
        self._own = own
        self._recompute_limits()

    def set_lendable_fraction(self, fraction: float) -> None:
        """Set the fraction of the own terms that may be lent; the rest serves requests here."""
        self._lendable_fraction = fraction

    def set_borrowed(self, lender: str, terms: Terms) -> None:
        """Replace the terms borrowed from a lender."""
        self._borrowed[lender] = terms
        self._recompute_limits()

    def drop_borrowed(self, lender: str) -> Terms | None:
        """Stop using a loan and return its terms; tokens above the capacity are lost."""
        terms = self._borrowed.pop(lender, None)
        self._recompute_limits()
        return terms

    def lent(self, borrower: str) -> Terms:
        """Return the largest terms that a borrower may be using."""
        return _largest(self._lent.get(borrower, []))

    def lendable_to(self, borrower: str) -> Terms:
        """Return the largest terms that a borrower can get, including those it already has."""
        if self._own.ends_at <= self._refilled_at:
            return NO_TERMS
        lent = self._sum_lent()
        held = self.lent(borrower)
        return Terms(
            max(0.0, self._own.rate * self._lendable_fraction - (lent.rate - held.rate)),
            max(
                0.0, self._own.capacity * self._lendable_fraction - (lent.capacity - held.capacity)
            ),
        )

    def latest_sequence(self, borrower: str) -> int | None:
        """Return the sequence number of a borrower's latest terms, or None without terms."""
        found = self._lent.get(borrower)
        return found[-1].sequence if found else None

    def add_lent(self, borrower: str, terms: Terms) -> None:
        """Count terms as lent until they expire or the borrower confirms later ones."""
        self._lent.setdefault(borrower, []).append(terms)
        self._recompute_limits()

    def confirm_lent(self, borrower: str, sequence: int) -> None:
        """Drop the terms older than those that a borrower reports as in use."""
        found = self._lent.get(borrower, [])
        kept = [terms for terms in found if terms.sequence >= sequence]
        if len(kept) != len(found):
            self._keep_lent(borrower, kept)
            self._recompute_limits()

    def shrink_lent(self, borrower: str, sequence: int, remaining: Terms) -> bool:
        """Shrink a borrower's terms to ``remaining`` if ``sequence`` is that of its latest ones.

        :returns: whether it was.
        """
        found = self._lent.get(borrower, [])
        if not found or found[-1].sequence != sequence:
            return False
        ends_at = found[-1].ends_at
        nothing_left = remaining.rate <= 0.0 and remaining.capacity <= 0.0
        self._keep_lent(
            borrower,
            [] if nothing_left else [remaining._replace(ends_at=ends_at, sequence=sequence)],
        )
        self._recompute_limits()
        return True

    def seconds_to_token(self) -> float | None:
        """Return the seconds until there is a whole token.

        None if the bucket has no rate or a capacity below one token.
        """
        missing = 1.0 - self._tokens
        if missing <= 0.0:
            return 0.0
        if self._rate <= 0.0 or self._capacity < 1.0 - TOKEN_TOLERANCE:
            return None
        return missing / self._rate

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            grown = self._tokens + self._rate * (now - self._refilled_at)
            self._tokens = min(self._capacity, grown)
            self._refilled_at = now

    def _drop_expired(self) -> None:
        if self._own.ends_at <= self._refilled_at:
            self._own = NO_TERMS
        for lender in [
            name for name, terms in self._borrowed.items() if terms.ends_at <= self._refilled_at
        ]:
            del self._borrowed[lender]
        for borrower in list(self._lent):
            kept = [terms for terms in self._lent[borrower] if terms.ends_at > self._refilled_at]
            self._keep_lent(borrower, kept)
        self._recompute_limits()

    def _keep_lent(self, borrower: str, kept: list[Terms]) -> None:
        if kept:
            self._lent[borrower] = kept
        else:
            self._lent.pop(borrower, None)

    def _sum_lent(self) -> Terms:
        largest = [_largest(found) for found in self._lent.values()]
        return Terms(sum(terms.rate for terms in largest), sum(terms.capacity for terms in largest))

    def _recompute_limits(self) -> None:
        lent = self._sum_lent()
        borrowed = self._borrowed.values()
        self._rate = max(0.0, self._own.rate - lent.rate) + sum(t.rate for t in borrowed)
        self._capacity = max(0.0, self._own.capacity - lent.capacity)
        self._capacity += sum(terms.capacity for terms in borrowed)
        self._tokens = min(self._tokens, self._capacity)
        self._next_expiry = min((terms.ends_at for terms in self._all_terms()), default=math.inf)

    def _all_terms(self) -> Iterator[Terms]:
        yield self._own
        yield from self._borrowed.values()
        for found in self._lent.values():
            yield from found


def _largest(found: list[Terms]) -> Terms:
    return Terms(
        max((terms.rate for terms in found), default=0.0),
        max((terms.capacity for terms in found), default=0.0),
    )


class ArrivalRateMeter:
    """Exponentially weighted moving average of the arrivals a second."""

    # Short enough to follow a burst of a few seconds, long enough for one request a second.
    TIME_CONSTANT_SECONDS = 3.0

    def __init__(self, now: float) -> None:
        self._value = 0.0
        self._updated_at = now

    def record_arrival(self, now: float) -> None:
        """Count one arrival."""
        self._value = self.rate(now) + 1.0 / self.TIME_CONSTANT_SECONDS
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return arrivals a second."""
        return self._value * math.exp(
            -max(0.0, now - self._updated_at) / self.TIME_CONSTANT_SECONDS
        )
