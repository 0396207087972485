"""Token buckets whose refill rate and capacity are partly lent and borrowed."""

import math
from collections.abc import Iterator
from typing import NamedTuple

# Twelve twelfths must make a whole token in floating point.
TOKEN_TOLERANCE = 1e-9


class Terms(NamedTuple):
    """Refill rate (requests a second) and capacity (requests) that end at a time of the clock.

    :param sequence: number that the lender gave to these terms.
    """

    rate: float
    capacity: float
    ends: float = math.inf
    sequence: int = 0


NO_TERMS = Terms(0.0, 0.0)


class Bucket:
    """Tokens of one account on this daemon.

    The effective rate and capacity are those of the daemon's own slots, minus what it
    lent, plus what it borrowed. Each part ends at its own time; time passes piece by
    piece, so that a daemon that was paused loses every part that ended meanwhile
    before it can spend.
    """

    def __init__(self, now: float) -> None:
        self._own = NO_TERMS
        self._borrowed: dict[str, Terms] = {}
        # A borrower may use any terms of its list, so the largest of them count.
        self._lent: dict[str, list[Terms]] = {}
        self._tokens = 0.0
        self._at = now
        self._rate = 0.0
        self._capacity = 0.0
        self._next_end = math.inf
        self._lendable_part = 1.0

    @property
    def tokens(self) -> float:
        """Tokens at the last time of :meth:`advance`."""
        return self._tokens

    @property
    def rate(self) -> float:
        """Refill rate in use here."""
        return self._rate

    @property
    def capacity(self) -> float:
        """Capacity in use here."""
        return self._capacity

    @property
    def own(self) -> Terms:
        """Terms of the daemon's own slots."""
        return self._own

    @property
    def borrowed(self) -> dict[str, Terms]:
        """Terms borrowed, by lender."""
        return self._borrowed

    @property
    def overlent_part(self) -> float:
        """Part of the lent terms that exceeds what may be lent, because slots are passed on."""
        lent = self._sum_lent()
        rate = lent.rate - self._own.rate * self._lendable_part
        capacity = lent.capacity - self._own.capacity * self._lendable_part
        return max(
            rate / lent.rate if rate > TOKEN_TOLERANCE else 0.0,
            capacity / lent.capacity if capacity > TOKEN_TOLERANCE else 0.0,
        )

    @property
    def lent_to(self) -> list[str]:
        """Borrowers whose terms have not ended."""
        return list(self._lent)

    def advance(self, now: float) -> None:
        """Let time pass up to ``now``."""
        while self._next_end <= now:
            self._accrue(self._next_end)
            self._drop_ended()
        self._accrue(now)

    def take(self) -> bool:
        """Spend one token; return whether there was one."""
        if self._tokens < 1.0 - TOKEN_TOLERANCE:
            return False
        self._tokens -= 1.0
        return True

    def add(self, tokens: float) -> None:
        """Add tokens that were debited elsewhere, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def remove(self, tokens: float) -> float:
        """Take up to ``tokens`` out and return how many came."""
        taken = max(0.0, min(tokens, self._tokens))
        self._tokens -= taken
        return taken

    def set_own(self, own: Terms) -> None:
        """Set the terms of the daemon's own slots."""
        self._own = own
        self._recompute()

    def set_lendable_part(self, part: float) -> None:
        """Set which part of the own terms may be lent; the rest only serves requests here."""
        self._lendable_part = part

    def set_borrowed(self, lender: str, terms: Terms) -> None:
        """Replace what a lender's earlier answer granted."""
        self._borrowed[lender] = terms
        self._recompute()

    def drop_borrowed(self, lender: str) -> Terms | None:
        """Stop using a loan and return its terms; tokens above the capacity are lost."""
        terms = self._borrowed.pop(lender, None)
        self._recompute()
        return terms

    def lent(self, borrower: str) -> Terms:
        """Return the largest terms that a borrower may be using."""
        return _largest(self._lent.get(borrower, []))

    def free_for(self, borrower: str) -> Terms:
        """Return the most that the own slots can lend to a borrower, its earlier terms included."""
        if self._own.ends <= self._at:
            return NO_TERMS
        lent = self._sum_lent()
        held = self.lent(borrower)
        return Terms(
            max(0.0, self._own.rate * self._lendable_part - (lent.rate - held.rate)),
            max(0.0, self._own.capacity * self._lendable_part - (lent.capacity - held.capacity)),
        )

    def latest_sequence(self, borrower: str) -> int | None:
        """Return the number of a borrower's latest terms, or None without any."""
        found = self._lent.get(borrower)
        return found[-1].sequence if found else None

    def add_lent(self, borrower: str, terms: Terms) -> None:
        """Count terms until they end or the borrower confirms later ones."""
        self._lent.setdefault(borrower, []).append(terms)
        self._recompute()

    def confirm_lent(self, borrower: str, sequence: int) -> None:
        """Forget terms older than those that a borrower says it uses."""
        found = self._lent.get(borrower, [])
        kept = [terms for terms in found if terms.sequence >= sequence]
        if len(kept) != len(found):
            self._keep_lent(borrower, kept)
            self._recompute()

    def end_lent(self, borrower: str, sequence: int, left: Terms) -> bool:
        """Shrink the latest terms of a borrower to ``left`` when they are still the latest."""
        found = self._lent.get(borrower, [])
        if not found or found[-1].sequence != sequence:
            return False
        ends = found[-1].ends
        small = left.rate <= 0.0 and left.capacity <= 0.0
        self._keep_lent(borrower, [] if small else [left._replace(ends=ends, sequence=sequence)])
        self._recompute()
        return True

    def seconds_to_token(self) -> float | None:
        """Return the seconds until a whole token is here, or None when that cannot be said."""
        missing = 1.0 - self._tokens
        if missing <= 0.0:
            return 0.0
        if self._rate <= 0.0 or self._capacity < 1.0 - TOKEN_TOLERANCE:
            return None
        return missing / self._rate

    def _accrue(self, now: float) -> None:
        if now > self._at:
            grown = self._tokens + self._rate * (now - self._at)
            self._tokens = min(self._capacity, grown)
            self._at = now

    def _drop_ended(self) -> None:
        if self._own.ends <= self._at:
            self._own = NO_TERMS
        for lender in [name for name, terms in self._borrowed.items() if terms.ends <= self._at]:
            del self._borrowed[lender]
        for borrower in list(self._lent):
            kept = [terms for terms in self._lent[borrower] if terms.ends > self._at]
            self._keep_lent(borrower, kept)
        self._recompute()

    def _keep_lent(self, borrower: str, kept: list[Terms]) -> None:
        if kept:
            self._lent[borrower] = kept
        else:
            self._lent.pop(borrower, None)

    def _sum_lent(self) -> Terms:
        largest = [_largest(found) for found in self._lent.values()]
        return Terms(sum(terms.rate for terms in largest), sum(terms.capacity for terms in largest))

    def _recompute(self) -> None:
        lent = self._sum_lent()
        borrowed = self._borrowed.values()
        self._rate = max(0.0, self._own.rate - lent.rate) + sum(t.rate for t in borrowed)
        self._capacity = max(0.0, self._own.capacity - lent.capacity)
        self._capacity += sum(terms.capacity for terms in borrowed)
        self._tokens = min(self._tokens, self._capacity)
        self._next_end = min((terms.ends for terms in self._parts()), default=math.inf)

    def _parts(self) -> Iterator[Terms]:
        yield self._own
        yield from self._borrowed.values()
        for found in self._lent.values():
            yield from found


def _largest(found: list[Terms]) -> Terms:
    return Terms(
        max((terms.rate for terms in found), default=0.0),
        max((terms.capacity for terms in found), default=0.0),
    )


class Meter:
    """Arrivals a second, averaged with exponentially falling weights."""

    # Short enough to follow a burst of some seconds, long enough for one request a second.
    TIME_CONSTANT_SECONDS = 3.0

    def __init__(self, now: float) -> None:
        self._value = 0.0
        self._at = now

    def note(self, now: float) -> None:
        """Count one arrival."""
        self._value = self.rate(now) + 1.0 / self.TIME_CONSTANT_SECONDS
        self._at = now

    def rate(self, now: float) -> float:
        """Return arrivals a second."""
        return self._value * math.exp(-max(0.0, now - self._at) / self.TIME_CONSTANT_SECONDS)
