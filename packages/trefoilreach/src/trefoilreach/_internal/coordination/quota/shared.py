"""Token buckets that every daemon keeps for the whole fleet from the admissions it hears of.

Reports carry the number of requests that each daemon has admitted by account, so one bucket
over all daemons is exact up to the messages on their way. The platform's bound has slack
for these. A daemon that hears only a part of the fleet uses only that part of each quota,
and one that has just started begins with what the bound's slack allows.
"""

import threading
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.state.serving import ServingAccount

# Part of the peers that may be silent before the quota shrinks with them. Two of twelve are
# within the bound's excess of a tenth and its slack.
_SILENT_PEERS_ALLOWED_FRACTION = 0.17
# Accounts without requests for this long are left out of reports.
_REPORTED_AFTER_USE_SECONDS = 10.0


class QuotaBound(NamedTuple):
    """By how much admissions may exceed rate and burst.

    :param window_seconds: length of the windows in which requests are counted.
    :param excess: part of the quota of a window.
    :param slack: requests on top.
    """

    window_seconds: float = 5.0
    excess: float = 0.1
    slack: float = 20.0


class Use(NamedTuple):
    """Admissions of an account.

    :param admitted: by the reporting daemon since its start.
    :param level: tokens left over the fleet, as it believes.
    """

    admitted: int
    level: float


class _Bucket:
    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.filled_at = now
        self.admitted = 0
        self.active_at = now
        self.next_retry_at = now


class SharedBuckets:
    """One bucket for each account."""

    def __init__(self, clock: Clock, bound: QuotaBound) -> None:
        self._clock = clock
        self._bound = bound
        self._lock = threading.Lock()
        self._buckets: dict[str, _Bucket] = {}
        self._peer_admissions: dict[tuple[str, int], dict[str, int]] = {}
        self._accounts: dict[str, ServingAccount] = {}
        self._quota_fraction = 1.0

    def configure(self, accounts: Iterable[ServingAccount]) -> None:
        """Take the accounts of a new desired state."""
        now = self._clock.now()
        with self._lock:
            for account in self._accounts.values():
                # Tokens of the time before are filled by the old rate.
                self._fill(account, now)
            self._accounts = {account.name: account for account in accounts if account.rate > 0}

    def set_reach(self, heard: int, known: int) -> None:
        """Set how many of the known daemons are heard, this one included."""
        part = heard / max(1, known)
        with self._lock:
            self._quota_fraction = 1.0 if part >= 1.0 - _SILENT_PEERS_ALLOWED_FRACTION else part

    def admit(self, account: ServingAccount) -> float | None:
        """Take a token; return None, or the seconds after which to come back."""
        if account.rate <= 0.0:
            return None
        now = self._clock.now()
        with self._lock:
            bucket = self._fill(account, now)
            if bucket.level >= 1.0:
                bucket.level -= 1.0
                bucket.admitted += 1
                bucket.active_at = now
                return None
            rate = account.rate * self._quota_fraction
            wait = (1.0 - bucket.level) / rate
            bucket.next_retry_at = max(now + wait, bucket.next_retry_at + 1.0 / rate)
            return bucket.next_retry_at - now

    def give_back(self, account: ServingAccount) -> None:
        """Return the token of a request that has not run."""
        if account.rate <= 0.0:
            return
        with self._lock:
            bucket = self._fill(account, self._clock.now())
            bucket.level += 1.0
            bucket.admitted -= 1

    def own_use(self) -> dict[str, Use]:
        """Return the admissions of this daemon for its next report."""
        limit = self._clock.now() - _REPORTED_AFTER_USE_SECONDS
        with self._lock:
            return {
                name: Use(bucket.admitted, bucket.level)
                for name, bucket in self._buckets.items()
                if bucket.active_at >= limit
            }

    def hear(self, vm: str, incarnation: int, uses: Mapping[str, Use], older: bool) -> None:
        """Take a peer's admissions.

        :param older: whether the peer had started before this daemon did.
        """
        if not uses and (vm, incarnation) in self._peer_admissions:
            return
        now = self._clock.now()
        with self._lock:
            counts = self._peer_admissions.setdefault((vm, incarnation), {})
            for name, use in uses.items():
                account = self._accounts.get(name)
                if account is None:
                    continue
                bucket = self._fill(account, now)
                if older and name not in counts:
                    # Admissions before this daemon's start are in the level that the peer states;
                    # an account that was idle then is heard of later than the peer.
                    bucket.level = min(bucket.level, use.level)
                else:
                    bucket.level -= use.admitted - counts.get(name, 0)
                counts[name] = use.admitted

    def forget(self, vm: str, incarnation: int) -> None:
        """Drop the counts of a process that has ended."""
        with self._lock:
            self._peer_admissions.pop((vm, incarnation), None)

    def _fill(self, account: ServingAccount, now: float) -> _Bucket:
        capacity = max(1.0, account.burst * self._quota_fraction)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = _Bucket(self._initial_level(account), now)
        elapsed = max(0.0, now - bucket.filled_at)
        bucket.filled_at = now
        bucket.level = min(capacity, bucket.level + elapsed * account.rate * self._quota_fraction)
        return bucket

    def _initial_level(self, account: ServingAccount) -> float:
        """Return the tokens of a new bucket: half of what the bound allows in excess."""
        window = account.rate * self._bound.window_seconds + account.burst
        allowed = window * self._bound.excess + self._bound.slack
        return min(account.burst, allowed / 2)
