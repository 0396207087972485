"""Token buckets for the whole fleet, which every daemon keeps from the reports of its peers.

Reports state how many requests each daemon has admitted by account, so each daemon's copy of a
bucket is exact except for reports in transit, for which the platform's bound has slack. A daemon
that gets the reports of only a part of the fleet uses only that fraction of each quota. A daemon
that has just started begins with half of the excess that the bound allows.
"""

import threading
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.state.serving import ServingAccount

# Fraction of the daemons that may be silent before the quota is reduced in proportion. Two of
# twelve are within the bound's excess of a tenth and its slack.
_SILENT_PEERS_ALLOWED_FRACTION = 0.17
# Accounts without requests for this long are left out of reports.
_REPORTED_AFTER_USE_SECONDS = 10.0


class QuotaBound(NamedTuple):
    """The limit by which admissions may exceed rate and burst.

    :param window_seconds: length of the windows in which admissions are counted.
    :param excess: allowed excess as a fraction of the quota of a window.
    :param slack: number of requests allowed in addition.
    """

    window_seconds: float = 5.0
    excess: float = 0.1
    slack: float = 20.0


class AccountUsage(NamedTuple):
    """Admissions of an account as one daemon reports them.

    :param admitted: requests admitted by that daemon since its start.
    :param level: tokens left for the whole fleet by that daemon's count.
    """

    admitted: int
    level: float


class _Bucket:
    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.filled_at = now
        self.admitted = 0
        self.active_at = float("-inf")
        self.next_retry_at = now


class FleetBuckets:
    """Fleet-wide token buckets, one for each account."""

    def __init__(self, clock: Clock, bound: QuotaBound) -> None:
        self._clock = clock
        self._bound = bound
        self._lock = threading.Lock()
        self._buckets: dict[str, _Bucket] = {}
        self._peer_admissions: dict[tuple[str, int], dict[str, int]] = {}
        self._accounts: dict[str, ServingAccount] = {}
        self._quota_fraction = 1.0

    def set_accounts(self, accounts: Iterable[ServingAccount]) -> None:
        """Replace the accounts by those of a new desired state."""
        now = self._clock.now()
        with self._lock:
            for account in self._accounts.values():
                # The time up to now fills the bucket at the old rate.
                self._fill(account, now)
            self._accounts = {account.name: account for account in accounts if account.rate > 0}

    def set_reporting_daemons(self, reporting: int, known: int) -> None:
        """Set how many of the known daemons report, counting this one."""
        fraction = reporting / max(1, known)
        with self._lock:
            self._quota_fraction = (
                1.0 if fraction >= 1.0 - _SILENT_PEERS_ALLOWED_FRACTION else fraction
            )

    def admit(self, account: ServingAccount) -> float | None:
        """Take a token; return None, or the seconds after which to retry if there is none."""
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

    def refund(self, account: ServingAccount) -> None:
        """Put back the token of a request that was not run."""
        if account.rate <= 0.0:
            return
        with self._lock:
            bucket = self._fill(account, self._clock.now())
            bucket.level += 1.0
            bucket.admitted -= 1

    def local_usage(self) -> dict[str, AccountUsage]:
        """Return the recent admissions of this daemon for its next report.

        Accounts that only peers have admitted are left out: they would make the reports of all
        daemons grow with the accounts of the whole fleet.
        """
        limit = self._clock.now() - _REPORTED_AFTER_USE_SECONDS
        with self._lock:
            return {
                name: AccountUsage(bucket.admitted, bucket.level)
                for name, bucket in self._buckets.items()
                if bucket.active_at >= limit
            }

    def apply_peer_usage(
        self,
        vm: str,
        incarnation: int,
        reported_usage: Mapping[str, AccountUsage],
        peer_is_older: bool,
    ) -> None:
        """Apply the admissions that a peer reports.

        :param peer_is_older: whether the peer started before this daemon.
        """
        if not reported_usage and (vm, incarnation) in self._peer_admissions:
            return
        now = self._clock.now()
        with self._lock:
            counts = self._peer_admissions.setdefault((vm, incarnation), {})
            for name, use in reported_usage.items():
                account = self._accounts.get(name)
                if account is None:
                    continue
                bucket = self._fill(account, now)
                if peer_is_older and name not in counts:
                    # The peer's level accounts for its admissions before this daemon's start. An
                    # account that was idle then first appears in a later report of the peer.
                    bucket.level = min(bucket.level, use.level)
                else:
                    bucket.level -= use.admitted - counts.get(name, 0)
                counts[name] = use.admitted

    def remove_peer(self, vm: str, incarnation: int) -> None:
        """Drop the admission counts of a process that has ended."""
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
        """Return the tokens of a new bucket: half of the excess that the bound allows."""
        window = account.rate * self._bound.window_seconds + account.burst
        allowed = window * self._bound.excess + self._bound.slack
        return min(account.burst, allowed / 2)
